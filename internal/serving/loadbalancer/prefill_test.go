package loadbalancer

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// promptOf makes a request whose own part has so many tokens.
func promptOf(shared string, own int) *Request {
	header := fmt.Sprintf("base:500,%s:4800,of-%s:%d", shared, shared, own)
	return &Request{Parts: ParsePrompt(header), PauseMs: 400}
}

// TestReadTimesAreLearned shows an engine's times to the first token, most of them with some waiting in them.
func TestReadTimesAreLearned(t *testing.T) {
	for _, perMs := range []float64{30, 140, 400} {
		r := newReadTimes()
		random := rand.New(rand.NewSource(1))
		for range 200 {
			unread := math.Exp(5 + 5*random.Float64())
			ms := 60 + unread/perMs
			if random.Float64() < 0.5 {
				ms += random.ExpFloat64() * 80
			}
			r.observe(time.Duration(ms*float64(time.Millisecond)), unread, unread)
		}
		want := 15_000 / perMs
		if got := r.estimate(15_000, 15_000); got < want/2 || got > want*2 {
			t.Errorf("%v tokens a ms: 15,000 tokens take %.0f ms, not %.0f", perMs, got, want)
		}
	}
}

// TestFollowFindsTheQuantile checks the step rule itself.
func TestFollowFindsTheQuantile(t *testing.T) {
	random := rand.New(rand.NewSource(2))
	estimate := 1.0
	for range 5_000 {
		estimate = follow(estimate, 100*random.Float64(), 0.02, 0.25)
	}
	if estimate < 18 || estimate > 33 {
		t.Errorf("%.1f instead of about 25", estimate)
	}
}

// TestLongPromptsPack sends long prompts: while one engine is idle again before the next comes, all go to it.
func TestLongPromptsPack(t *testing.T) {
	b := newBalancer(1)
	candidates := workers(20)
	used := map[int]int{}
	for i := range 20 {
		now := time.Duration(i) * 3 * time.Second
		request := &Request{Parts: ParsePrompt(fmt.Sprintf("own-%d:45000", i)), PauseMs: 400}
		chosen := b.Choose(now, request, candidates)
		used[chosen]++
		if told := b.Sent(now, request, candidates[chosen].Instance); !told.Long || told.ReadMs < 400 {
			t.Fatalf("told as %+v", told)
		}
		b.FirstToken(now+time.Second, request, candidates[chosen].Instance)
		b.Done(candidates[chosen].Instance)
	}
	if len(used) != 1 {
		t.Errorf("engines used by long prompts one after the other: %v", used)
	}
}

// TestLongPromptsDoNotQueue sends some at once: each gets an engine of its own, and the first ones of the
// agreed order are taken, whichever edge sends.
func TestLongPromptsDoNotQueue(t *testing.T) {
	candidates := workers(20)
	first, second := newBalancer(1), newBalancer(2)
	used := map[int]bool{}
	for i := range 4 {
		sender, other := first, second
		if i%2 == 1 {
			sender, other = second, first
		}
		request := promptOf(fmt.Sprint("p", i), 45_000)
		chosen := sender.Choose(0, request, candidates)
		other.Read(0, sender.Sent(0, request, candidates[chosen].Instance))
		used[chosen] = true
	}
	places := longOrder(candidates)
	for chosen := range used {
		if places[candidates[chosen].Instance] > 4 {
			t.Errorf("place %d of the order was taken", places[candidates[chosen].Instance])
		}
	}
	if len(used) != 4 {
		t.Errorf("%d engines for four long prompts at once", len(used))
	}
}

// TestShortPromptsAvoidLongOnes tells of long prompts at an engine: homes leave it and short prompts go
// elsewhere; when no more come, all is as before.
func TestShortPromptsAvoidLongOnes(t *testing.T) {
	b := newBalancer(1)
	candidates := workers(10)
	request := promptOf("shared", 200)
	home := b.Choose(0, request, candidates)
	for i := range 5 {
		now := time.Duration(i) * time.Second
		b.Read(now, Prompt{Instance: candidates[home].Instance, ReadMs: 700, Long: true})
	}
	now := 10 * time.Second
	if got := b.Choose(now, promptOf("shared", 200), candidates); got == home {
		t.Error("a short prompt goes where long ones are read")
	}
	if shares := b.LongShares(now); len(shares) != 1 || shares[candidates[home].Instance] < 0.1 {
		t.Errorf("shares %v", shares)
	}
	now += 3 * time.Minute
	if got := b.Choose(now, promptOf("shared", 201), candidates); got != home {
		t.Error("the home is not back after the long prompts ended")
	}
}

// TestToldPromptsAreWaitedFor lets another edge tell of what it has sent: the busy engine is left alone until
// it has read that.
func TestToldPromptsAreWaitedFor(t *testing.T) {
	b := newBalancer(1)
	candidates := workers(2)
	b.Read(0, Prompt{Instance: candidates[0].Instance, ReadMs: 300})
	for i := range 10 {
		if got := b.Choose(0, &Request{Parts: ParsePrompt("own:100")}, candidates); got != 1 {
			t.Fatalf("choice %d goes to the busy engine", i)
		}
	}
	if wait := b.tracked(candidates[0].Instance).reading.wait(400 * time.Millisecond); wait != 0 {
		t.Errorf("%.0f ms to wait after it has been read", wait)
	}
}

// TestSenselessNoticesAreLeftOut gives times that no engine takes.
func TestSenselessNoticesAreLeftOut(t *testing.T) {
	b := newBalancer(1)
	for _, ms := range []float64{-1, 0, math.NaN(), math.Inf(1), 1e9} {
		b.Read(0, Prompt{Instance: "i-0", ReadMs: ms, Long: true})
	}
	if wait := b.tracked("i-0").reading.wait(0); wait != 0 {
		t.Errorf("%.0f ms to wait", wait)
	}
}

// TestGoneWorkerIsLeftAlone finds another worker at an address: other workers are preferred for long, though
// one that failed otherwise would be tried again soon.
func TestGoneWorkerIsLeftAlone(t *testing.T) {
	b := newBalancer(1)
	candidates := workers(2)
	b.Gone(0, candidates[0].Instance)
	for _, now := range []time.Duration{0, time.Second, 9 * time.Second} {
		if got := b.Choose(now, &Request{}, candidates); got != 1 {
			t.Errorf("after %v the gone worker is chosen", now)
		}
	}
}

// TestCutOffWorkersComeLast marks workers behind a path in doubt: they are chosen only where there is no
// other.
func TestCutOffWorkersComeLast(t *testing.T) {
	b := newBalancer(1)
	candidates := workers(3)
	candidates[0].PathInDoubt, candidates[1].PathInDoubt = true, true
	if got := b.Choose(0, promptOf("shared", 200), candidates); got != 2 {
		t.Errorf("worker %d is chosen", got)
	}
	if got := b.Choose(0, promptOf("shared", 200), candidates[:2]); got < 0 {
		t.Error("none is chosen where all are in doubt")
	}
}

// TestHearsayOfTheDead tells that another edge finds a worker dead: it is left alone while that is said, but
// not where this edge has just heard it.
func TestHearsayOfTheDead(t *testing.T) {
	b := newBalancer(1)
	candidates := workers(2)
	dead := candidates[0].Instance
	chooses := func(now time.Duration) int { return b.Choose(now, promptOf("shared", 200), candidates[:2]) }
	b.Succeeded(0, dead)
	b.Dead(100*time.Millisecond, dead, true)
	if b.tracked(dead).inDoubt(100 * time.Millisecond) {
		t.Error("hearsay counts for more than what was seen just now")
	}
	if b.Dead(time.Second, dead, true) || !b.Dead(1200*time.Millisecond, dead, false) {
		t.Error("the first word is news, the second is not")
	}
	if chooses(1500*time.Millisecond) != 1 || !b.tracked(dead).inDoubt(2*time.Second) {
		t.Error("a dead worker is chosen")
	}
	b.Succeeded(2*time.Second, dead)
	if b.tracked(dead).inDoubt(2 * time.Second) {
		t.Error("in doubt after a sign of life")
	}
}
