package retrybudget

import (
	"math/rand"
	"testing"
	"time"
)

// TestWindowKeepsTheBound records random requests and retries, and checks that the retries of each window
// that begins with a retry keep to the bound.
func TestWindowKeepsTheBound(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 54.0
		edges  = 7
		window = 10 * time.Second
	)
	for seed := range int64(60) {
		random := rand.New(rand.NewSource(seed))
		budget := New(ratio, slack, window)
		var requests, retries []time.Duration
		for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
			busy := (now/(7*time.Second))%2 == 0
			if busy && random.Intn(3) == 0 {
				budget.RecordRequest(now)
				requests = append(requests, now)
			}
			if random.Intn(2) == 0 && budget.AllowRetry(now, edges) {
				retries = append(retries, now)
			}
		}
		for _, start := range retries {
			used := within(retries, start, window)
			most := ratio*countedRequests(requests, start, window) + slack/edges
			if float64(used) > most {
				t.Fatalf("seed %d: %d retries in the window from %v on, bound %.1f", seed, used, start, most)
			}
		}
	}
}

// countedRequests returns the requests that the bound allows for a window: those of that window, or of the
// one that begins half a window or a window earlier.
func countedRequests(requests []time.Duration, start, window time.Duration) float64 {
	return float64(max(within(requests, start, window), within(requests, start-window/2, window),
		within(requests, start-window, window)))
}

// within returns how many of the times are in the window that begins at start.
func within(times []time.Duration, start, length time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= start && at < start+length {
			count++
		}
	}
	return count
}

func TestSlackIsSharedByEdges(t *testing.T) {
	budget := New(0, 54, 10*time.Second)
	allowed := 0
	for range 100 {
		if budget.AllowRetry(time.Second, 9) {
			allowed++
		}
	}
	if allowed != 6 {
		t.Errorf("%d retries of one edge of nine, want its share of 6", allowed)
	}
}

// TestRestartedEdgesKeepTheBound guards against BUDGET (review/REPORT-2): edges are killed and start again,
// each without a memory of what it has used. Each had its whole share of the slack again, so that the retries
// of all edges exceeded the bound.
func TestRestartedEdgesKeepTheBound(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 56.0
		edges  = 5
		window = 10 * time.Second
	)
	for seed := range int64(60) {
		random := rand.New(rand.NewSource(seed))
		budgets, started := [edges]*Budget{}, [edges]time.Duration{}
		var requests, retries []time.Duration
		for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
			edge := random.Intn(edges)
			if budgets[edge] == nil || random.Intn(100) == 0 {
				budgets[edge], started[edge] = New(ratio, slack, window), now
				budgets[edge].WithholdSlack(window)
			}
			if random.Intn(3) == 0 {
				budgets[edge].RecordRequest(now - started[edge])
				requests = append(requests, now)
			}
			for budgets[edge].AllowRetry(now-started[edge], edges) && random.Intn(3) > 0 {
				retries = append(retries, now)
			}
		}
		for _, start := range retries {
			most := ratio*countedRequests(requests, start, window) + slack
			if used := within(retries, start, window); float64(used) > most {
				t.Fatalf("seed %d: %d retries in the window from %v on, bound %.1f", seed, used, start, most)
			}
		}
	}
}
