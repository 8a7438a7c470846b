package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	rollEvents    = 20              // of a stream, which takes 4 s
	rollGap       = time.Second     // between two machines
	rollAfter     = 6 * time.Second // of traffic
	rollQuiet     = 3 * time.Second // of traffic after the last machine's return
	excusedAfter  = 3 * time.Second // after SIGTERM: what was sent before may be cut
	clientsOfZone = 12
	maxPause      = time.Second // of a client between two requests
	longHolder    = 3           // every third client keeps an answer of the directory three times as long
	connectTime   = time.Second
)

// stops holds when each edge got its last SIGTERM.
type stops struct {
	mu sync.Mutex
	at map[string]time.Time // by address of the front
}

// lateBy returns how long after the SIGTERM of an edge a moment is, and whether it is between excusedAfter
// and the end of the rule's span.
func (s *stops) lateBy(front string, moment time.Time) (late time.Duration, counts bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known := s.at[front]
	late = moment.Sub(at)
	return late, known && late > excusedAfter && late < gracePeriod+time.Second
}

// rollingClient is a client that sends one request after the other.
type rollingClient struct {
	cluster *cluster
	zone    zone
	holds   time.Duration // answers of the directory, times their ttl_s
	answer  []string      // fronts, by the directory
	until   time.Time     // when answer gets too old
	failed  map[string]bool
}

// playRollingStop sends streams while, with the disruption, the edges are stopped and started in turn.
func playRollingStop(c *cluster, trouble bool) (int, error) {
	if err := c.replaceConfiguration(0, streamConfiguration); err != nil {
		return 0, err
	}
	var workers []*workerProcess
	for i, z := range zones {
		w, err := c.startWorker(fmt.Sprintf("i-%d", i), 101+i, z, "-events", fmt.Sprint(rollEvents), "-chunked")
		if err != nil {
			return 0, err
		}
		workers = append(workers, w)
	}
	if err := c.awaitWorkers(workers); err != nil {
		return 0, err
	}
	var broken atomic.Int64
	stopped := &stops{at: map[string]time.Time{}}
	end := make(chan struct{})
	var clients sync.WaitGroup
	for i := range clientsOfZone * len(zones) {
		client := &rollingClient{cluster: c, zone: zones[i%len(zones)], holds: 1, failed: map[string]bool{}}
		if i%longHolder == 0 {
			client.holds = 3
		}
		clients.Go(func() { client.run(i, end, stopped, &broken) })
	}
	time.Sleep(rollAfter)
	err := c.roll(trouble, stopped)
	time.Sleep(rollQuiet)
	close(end)
	clients.Wait()
	return int(broken.Load()), err
}

// roll restarts the edges in turn, or waits as long as that takes.
func (c *cluster) roll(trouble bool, stopped *stops) error {
	if !trouble {
		time.Sleep(time.Duration(len(c.edges))*rollGap + gracePeriod)
		return nil
	}
	errs := make(chan error, len(c.edges))
	for _, m := range c.edges {
		stopped.mu.Lock()
		stopped.at[c.address(m, frontOffset)] = time.Now()
		stopped.mu.Unlock()
		go func() { errs <- c.restartMachine(m) }()
		time.Sleep(rollGap)
	}
	for range c.edges {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// run sends requests until end is closed, and counts those whose answer the rule forbids.
func (r *rollingClient) run(number int, end chan struct{}, stopped *stops, broken *atomic.Int64) {
	for try := 0; ; try++ {
		select {
		case <-end:
			return
		default:
		}
		time.Sleep(time.Duration(rand.Int63n(int64(maxPause))))
		front := r.choose()
		if front == "" {
			time.Sleep(pollPause)
			continue
		}
		id := fmt.Sprintf("q-%d-%d", number, try)
		sentAt := time.Now()
		text, connected := r.cluster.exchange(front, id)
		if !connected {
			r.failed[front] = true
			continue
		}
		late, counts := stopped.lateBy(front, sentAt)
		_, ran := r.cluster.ran.Load(id)
		pastEnd := time.Since(sentAt) >= routeTimeout
		if !complete(text) && ran && counts && !pastEnd {
			broken.Add(1)
			r.cluster.record.printf("RULE BROKEN: %s was sent to %s %v after its SIGTERM and has run; it is cut",
				id, front, late.Round(time.Millisecond))
		}
		if retryAfter := retryAfterOf(text); retryAfter > 0 {
			time.Sleep(retryAfter)
		}
	}
}

// choose picks a front by chance from the directory's answer, without those that have failed this client.
func (r *rollingClient) choose() string {
	if time.Now().After(r.until) {
		r.resolve()
	}
	var usable []string
	for _, front := range r.answer {
		if !r.failed[front] {
			usable = append(usable, front)
		}
	}
	if len(usable) == 0 {
		r.until = time.Time{}
		clear(r.failed)
		return ""
	}
	return usable[rand.Intn(len(usable))]
}

// resolve asks the cores, near ones first. An old answer stays if no new one can be had.
func (r *rollingClient) resolve() {
	cores := slices.Clone(r.cluster.cores)
	slices.SortStableFunc(cores, func(x, y *machine) int { return r.distance(x.zone) - r.distance(y.zone) })
	for _, m := range cores {
		response, err := operatorClient.Get(fmt.Sprintf("http://%s/resolve?name=%s&region=%s&zone=%s",
			r.cluster.address(m, directoryOffset), streamHost, r.zone.region, r.zone.name))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		r.answer = answer.Addresses
		r.until = time.Now().Add(time.Duration(answer.TTL*float64(time.Second)) * r.holds)
		clear(r.failed)
		return
	}
}

// distance is 0 for the client's zone, 1 for its region and 2 for another one.
func (r *rollingClient) distance(z zone) int {
	switch {
	case z == r.zone:
		return 0
	case z.region == r.zone.region:
		return 1
	}
	return 2
}

// exchange sends a request on a new connection and returns what came back until its end. connected is false
// where there was no connection.
func (c *cluster) exchange(front, id string) (text string, connected bool) {
	return c.exchangePath(front, id, streamPath)
}

// exchangePath is exchange for a request with another path.
func (c *cluster) exchangePath(front, id, path string) (text string, connected bool) {
	connection, err := net.DialTimeout("tcp4", front, connectTime)
	if err != nil {
		return "", false
	}
	return c.sendStream(connection, front, id, path), true
}

// complete reports whether an answer is a whole one: a whole stream, or a response without a body.
func complete(answer string) bool {
	head, body, _ := strings.Cut(answer, "\r\n\r\n")
	if strings.HasPrefix(head, "HTTP/1.1 200 ") {
		return strings.HasSuffix(body, "0\r\n\r\n")
	}
	return strings.HasPrefix(head, "HTTP/1.1 ") && strings.Contains(head, "Content-Length: 0")
}

// retryAfterOf returns the time that a response asks its client to wait.
func retryAfterOf(answer string) time.Duration {
	seconds := 0.0
	for line := range strings.SplitSeq(answer, "\r\n") {
		if text, ok := strings.CutPrefix(line, http.CanonicalHeaderKey("Retry-After")+": "); ok {
			if _, err := fmt.Sscan(text, &seconds); err != nil {
				return 0
			}
		}
	}
	return time.Duration(seconds * float64(time.Second))
}
