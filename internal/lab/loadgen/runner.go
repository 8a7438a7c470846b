package loadgen

import (
	"context"
	"fmt"
	"math/rand"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

const (
	// maxLatencyMicros is the largest latency that a histogram records, in microseconds.
	maxLatencyMicros = 600e6
	// answerGrace is how long after the deadline that the gateway is given the client still takes an answer.
	answerGrace = 20 * time.Millisecond
)

// runner is a load under way.
type runner struct {
	*Load
	client      *fasthttp.Client
	start       time.Time
	nextArrival atomic.Int64 // closed loop: index of the next request

	mu     sync.Mutex // guards report, and calls of OnOutcome
	report *Report
}

// Run sends the load and returns a report once every request has an outcome. Cancelling ctx ends it early,
// with an error and no report.
func (l *Load) Run(ctx context.Context) (*Report, error) {
	if err := l.Validate(); err != nil {
		return nil, err
	}
	r := &runner{Load: l, report: &Report{Counts: map[string][outcomeCount]int64{},
		Latency: hdrhistogram.New(1, maxLatencyMicros, 3), ScheduleLag: hdrhistogram.New(1, maxLatencyMicros, 3)}}
	r.client = &fasthttp.Client{MaxConnsPerHost: 1 << 20, MaxIdemponentCallAttempts: 1,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration: 2 * time.Second, NoDefaultUserAgentHeader: true,
		DisablePathNormalizing: true}
	defer r.client.CloseIdleConnections()
	start := time.Now()
	r.start = start
	var err error
	if l.ClosedLoopClients > 0 {
		err = r.closedLoop(ctx, start)
	} else {
		err = r.openLoop(ctx, start)
	}
	r.report.Duration = time.Since(start)
	if err != nil {
		return nil, err
	}
	return r.report, nil
}

// openLoop sends each request when it is due, whatever became of those before it.
func (r *runner) openLoop(ctx context.Context, start time.Time) error {
	var requests sync.WaitGroup
	defer requests.Wait()
	inFlight := make(chan struct{}, r.MaxInFlight)
	for i := range r.Arrivals {
		due := start.Add(time.Duration(r.Arrivals[i].AtMillis * float64(time.Millisecond)))
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
		case inFlight <- struct{}{}:
		default:
			r.record(i, NotSent, due, due)
			continue
		}
		requests.Add(1)
		go func() {
			defer requests.Done()
			r.send(i, due)
			<-inFlight
		}()
	}
	return nil
}

// closedLoop has a fixed number of clients send one request after another, each as soon as the one before it
// is answered but not before it is due. It is there to be compared with the open loop: latencies count from
// sending, so that a stall delays requests without showing in them (coordinated omission).
func (r *runner) closedLoop(ctx context.Context, start time.Time) error {
	var clients sync.WaitGroup
	for range r.ClosedLoopClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for ctx.Err() == nil {
				i := int(r.nextArrival.Add(1)) - 1
				if i >= len(r.Arrivals) {
					return
				}
				due := start.Add(time.Duration(r.Arrivals[i].AtMillis * float64(time.Millisecond)))
				time.Sleep(time.Until(due))
				r.send(i, time.Now()) // not from when it was due: see above
			}
		}()
	}
	clients.Wait()
	return ctx.Err()
}

// send sends one request, waits for its response, and records the outcome.
func (r *runner) send(i int, due time.Time) {
	arrival := &r.Arrivals[i]
	product := &r.Products[arrival.Product]
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	r.buildRequest(request, i)
	sent := time.Now()
	remaining := product.Timeout - sent.Sub(due)
	if remaining <= 0 {
		r.record(i, NoResponse, due, sent)
		return
	}
	request.Header.Set("X-Deadline", strconv.FormatInt(remaining.Microseconds(), 10)+"u")
	err := r.client.DoTimeout(request, response, remaining+answerGrace)
	switch code := response.StatusCode(); {
	case err != nil:
		r.record(i, NoResponse, due, sent)
	case code == fasthttp.StatusOK:
		r.record(i, Completed, due, sent)
	case code == fasthttp.StatusTooManyRequests || code == fasthttp.StatusServiceUnavailable:
		r.record(i, Rejected, due, sent)
	default:
		r.record(i, Failed, due, sent)
	}
}

// buildRequest fills in a request as the gateway expects it. Identifiers and bodies depend on the seed and
// the index only.
func (r *runner) buildRequest(request *fasthttp.Request, i int) {
	arrival := &r.Arrivals[i]
	product := &r.Products[arrival.Product]
	targets := len(r.Targets)
	first := int(uint64(arrival.Customer+1) * 0x9E3779B97F4A7C15 >> 33 % uint64(targets))
	target := r.Targets[(first+arrival.SetOffset%r.SetSize)%targets]
	rng := rand.New(rand.NewSource(r.Seed ^ int64(i+1)*0x5851F42D4C957F2D))
	header := &request.Header
	request.SetRequestURI("http://" + target + "/" + product.Name + "?n=" + strconv.Itoa(i))
	header.SetHost("backend.local")
	request.UseHostHeader = true
	header.Set("X-Request-Id", fmt.Sprintf("%016x", rng.Uint64()))
	header.Set("Plan", r.Plans[arrival.Plan])
	header.Set("Cookie", fmt.Sprintf("key=%016x", arrival.Customer))
	header.Set("Quota-Info", fmt.Sprintf("units=%g,spread=%d,first=%d", arrival.Units, r.SetSize, first))
	if r.CredentialHeader != "" {
		header.Set(r.CredentialHeader, fmt.Sprintf("Bearer %d", arrival.Customer))
	}
	if product.Idempotency == IdempotencyInquiry {
		return
	}
	header.SetMethod(fasthttp.MethodPost)
	body := make([]byte, product.BodyBytes)
	for k := range body {
		body[k] = 'a' + byte(rng.Intn(26))
	}
	request.SetBody(body)
	if product.Idempotency == IdempotencyReferenced {
		header.Set("Idempotency-Key", fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64()))
	}
}

// record adds the outcome of a request to the report. sent is due for one that was not sent.
func (r *runner) record(i int, outcome Outcome, due, sent time.Time) {
	latency := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.OnOutcome != nil {
		r.OnOutcome(i, outcome, latency)
	}
	product := r.Products[r.Arrivals[i].Product].Name
	counts := r.report.Counts[product]
	counts[outcome]++
	r.report.Counts[product] = counts
	second := max(int(due.Sub(r.start)/time.Second), 0)
	for len(r.report.Seconds) <= second {
		r.report.Seconds = append(r.report.Seconds, Second{Latency: hdrhistogram.New(1, maxLatencyMicros, 2)})
	}
	r.report.Seconds[second].Counts[outcome]++
	if outcome != NotSent {
		_ = r.report.ScheduleLag.RecordValue(max(sent.Sub(due).Microseconds(), 1))
		_ = r.report.Latency.RecordValue(max(latency.Microseconds(), 1))
		_ = r.report.Seconds[second].Latency.RecordValue(max(latency.Microseconds(), 1))
	}
}
