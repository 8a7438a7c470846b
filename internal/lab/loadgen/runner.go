// Package loadgen sends txns to gatekeepers on sockets by a plan made ahead: each is due at its moment,
// whatever
// became of those before it, and its latency counts from that moment.
package loadgen

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"willowdeck/internal/lab/workload"
)

// Product is what a request needs of a product.
type Product struct {
	Name   string
	Repeat string        // inquiry, referenced or once
	Waits  time.Duration // how long its client waits
	Body   int           // bytes; inquiries have none
}

// Job is a load to send.
type Job struct {
	Arrivals []workload.Arrival
	Targets  []string // gatekeepers by number, host:port
	Spread   int      // of a customer's set
	Plans    []string
	Products []Product
	Most     int   // requests out at once; one more is due and not sent, and counted so
	Closed   int   // if above nought: so many clients, each sending its next one once it has its answer
	Seed     int64 // of marks

	// Each, where it is there, is told what became of each request, by its place in Arrivals, as it is known.
	Each func(i int, o Outcome, took time.Duration)

	// Credential names the header that says whose a request is; without one none is sent.
	Credential string
}

// Outcome is what became of a request.
type Outcome uint8

// The outcomes.
const (
	Settled Outcome = iota
	Declined
	Voided
	NoAnswer // none in its time, or the connection failed
	Unsent   // too many were out
	outcomes
)

var outcomeNames = [outcomes]string{"settled", "declined", "voided", "no_answer", "unsent"}

func (o Outcome) String() string { return outcomeNames[o] }

// Report is what a load has seen. Latencies count from the moment a request was due, in microseconds.
type Report struct {
	Counts  map[string][outcomes]int64 // by product
	Latency *hdrhistogram.Histogram    // of all that were answered
	Lag     *hdrhistogram.Histogram    // how late requests were sent
	Took    time.Duration
	Seconds []Second // by when requests were due
}

// Second is what a load has seen of the requests that were due in one second.
type Second struct {
	Counts  [outcomes]int64
	Latency *hdrhistogram.Histogram
}

// mostLag is how late the 99th of a hundred requests may be sent until the report says that the schedule
// was not kept: a tenth of the shortest answers that are of interest.
const mostLag = 2 * time.Millisecond

// Kept tells whether requests were sent when they were due.
func (r *Report) Kept() bool {
	return time.Duration(r.Lag.ValueAtQuantile(99))*time.Microsecond <= mostLag
}

// Check finds what is wrong with a job.
func (j *Job) Check() error {
	switch {
	case len(j.Targets) == 0:
		return errors.New("targets: there is none")
	case j.Spread < 1 || j.Spread > len(j.Targets):
		return fmt.Errorf("spread: %d of %d targets", j.Spread, len(j.Targets))
	case j.Most < 1 && j.Closed < 1:
		return fmt.Errorf("most: %d requests out at once", j.Most)
	}
	for i, t := range j.Targets {
		if _, _, err := net.SplitHostPort(t); err != nil {
			return fmt.Errorf("targets[%d]: %w", i, err)
		}
	}
	for i, a := range j.Arrivals {
		if a.Plan >= len(j.Plans) || a.Product >= len(j.Products) {
			return fmt.Errorf("arrival %d: plan or product is unknown", i)
		}
	}
	return nil
}

// sender is a job under way.
type sender struct {
	*Job
	client *fasthttp.Client
	mu     sync.Mutex
	report *Report
	start  time.Time
	next   atomic.Int64
}

// Run sends a job, and gives a report once all is answered. ctx ends it early, with an error.
func (j *Job) Run(ctx context.Context) (*Report, error) {
	if err := j.Check(); err != nil {
		return nil, err
	}
	s := &sender{Job: j, report: &Report{Counts: map[string][outcomes]int64{},
		Latency: hdrhistogram.New(1, 600e6, 3), Lag: hdrhistogram.New(1, 600e6, 3)}}
	s.client = &fasthttp.Client{MaxConnsPerHost: 1 << 20, MaxIdemponentCallAttempts: 1,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration: 2 * time.Second, NoDefaultUserAgentHeader: true,
		DisablePathNormalizing: true}
	defer s.client.CloseIdleConnections()
	start := time.Now()
	s.start = start
	var err error
	if j.Closed > 0 {
		err = s.closed(ctx, start)
	} else {
		err = s.open(ctx, start)
	}
	s.report.Took = time.Since(start)
	if err != nil {
		return nil, err
	}
	return s.report, nil
}

// open sends each request when it is due.
func (s *sender) open(ctx context.Context, start time.Time) error {
	var all sync.WaitGroup
	defer all.Wait()
	out := make(chan struct{}, s.Most)
	for i := range s.Arrivals {
		due := start.Add(time.Duration(s.Arrivals[i].At * float64(time.Millisecond)))
		if wait := time.Until(due); wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
				return ctx.Err()
			}
		}
		select {
		case out <- struct{}{}:
		default:
			s.note(i, Unsent, due, due)
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			s.send(i, due)
			<-out
		}()
	}
	return nil
}

// closed has some clients send one after another, as fast as they are answered but none before it is due:
// what a test does that waits for its answers. It is there to be held against the open one.
func (s *sender) closed(ctx context.Context, start time.Time) error {
	var all sync.WaitGroup
	for range s.Closed {
		all.Add(1)
		go func() {
			defer all.Done()
			for ctx.Err() == nil {
				i := int(s.next.Add(1)) - 1
				if i >= len(s.Arrivals) {
					return
				}
				due := start.Add(time.Duration(s.Arrivals[i].At * float64(time.Millisecond)))
				time.Sleep(time.Until(due))
				s.send(i, time.Now()) // from when it is sent: the wait before is not seen
			}
		}()
	}
	all.Wait()
	return ctx.Err()
}

// send sends one request, and notes what became of it.
func (s *sender) send(i int, due time.Time) {
	a := &s.Arrivals[i]
	p := &s.Products[a.Product]
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	s.encode(req, i)
	sent := time.Now()
	left := p.Waits - sent.Sub(due)
	if left <= 0 {
		s.note(i, NoAnswer, due, sent)
		return
	}
	req.Header.Set("X-Deadline", strconv.FormatInt(left.Microseconds(), 10)+"u")
	err := s.client.DoTimeout(req, res, left+20*time.Millisecond)
	switch code := res.StatusCode(); {
	case err != nil:
		s.note(i, NoAnswer, due, sent)
	case code == fasthttp.StatusOK:
		s.note(i, Settled, due, sent)
	case code == fasthttp.StatusTooManyRequests || code == fasthttp.StatusServiceUnavailable:
		s.note(i, Declined, due, sent)
	default:
		s.note(i, Voided, due, sent)
	}
}

// encode writes a request as gatekeepers take it.
func (s *sender) encode(req *fasthttp.Request, i int) {
	a := &s.Arrivals[i]
	p := &s.Products[a.Product]
	n := len(s.Targets)
	first := int(uint64(a.Customer+1) * 0x9E3779B97F4A7C15 >> 33 % uint64(n))
	to := s.Targets[(first+a.Set%s.Spread)%n]
	rng := rand.New(rand.NewSource(s.Seed ^ int64(i+1)*0x5851F42D4C957F2D))
	h := &req.Header
	req.SetRequestURI("http://" + to + "/" + p.Name + "?n=" + strconv.Itoa(i))
	h.SetHost("backend.local")
	req.UseHostHeader = true
	h.Set("X-Request-Id", fmt.Sprintf("%016x", rng.Uint64()))
	h.Set("Plan", s.Plans[a.Plan])
	h.Set("Cookie", fmt.Sprintf("key=%016x", a.Customer))
	h.Set("Quota-Info", fmt.Sprintf("units=%g,spread=%d,first=%d", a.Units, s.Spread, first))
	if s.Credential != "" {
		h.Set(s.Credential, fmt.Sprintf("Bearer %d", a.Customer))
	}
	if p.Repeat == "inquiry" {
		return
	}
	h.SetMethod(fasthttp.MethodPost)
	body := make([]byte, p.Body)
	for k := range body {
		body[k] = 'a' + byte(rng.Intn(26))
	}
	req.SetBody(body)
	if p.Repeat == "referenced" {
		h.Set("Idempotency-Key", fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64()))
	}
}

func (s *sender) note(i int, o Outcome, due, sent time.Time) {
	took := time.Since(due)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Each != nil {
		s.Each(i, o, took)
	}
	name := s.Products[s.Arrivals[i].Product].Name
	c := s.report.Counts[name]
	c[o]++
	s.report.Counts[name] = c
	at := max(int(due.Sub(s.start)/time.Second), 0)
	for len(s.report.Seconds) <= at {
		s.report.Seconds = append(s.report.Seconds, Second{Latency: hdrhistogram.New(1, 600e6, 2)})
	}
	s.report.Seconds[at].Counts[o]++
	if o != Unsent {
		_ = s.report.Lag.RecordValue(max(sent.Sub(due).Microseconds(), 1))
		_ = s.report.Latency.RecordValue(max(took.Microseconds(), 1))
		_ = s.report.Seconds[at].Latency.RecordValue(max(took.Microseconds(), 1))
	}
}

// String is the report as a page of text.
func (r *Report) String() string {
	var b strings.Builder
	names := slices.Sorted(maps.Keys(r.Counts))
	for _, name := range names {
		fmt.Fprintf(&b, "%-12s", name)
		for o, n := range r.Counts[name] {
			fmt.Fprintf(&b, "  %s %d", Outcome(o), n)
		}
		b.WriteByte('\n')
	}
	line := func(name string, h *hdrhistogram.Histogram) {
		fmt.Fprintf(&b, "%-12s  n %d  mean %.2f", name, h.TotalCount(), h.Mean()/1000)
		for _, q := range []float64{50, 90, 99, 99.9, 100} {
			fmt.Fprintf(&b, "  p%g %.2f", q, float64(h.ValueAtQuantile(q))/1000)
		}
		b.WriteString(" ms\n")
	}
	line("from due", r.Latency)
	line("sent late", r.Lag)
	fmt.Fprintf(&b, "took %.1f s, schedule kept: %v\n", r.Took.Seconds(), r.Kept())
	return b.String()
}
