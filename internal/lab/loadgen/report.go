package loadgen

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what became of a request.
type Outcome uint8

// The outcomes.
const (
	Completed  Outcome = iota // a worker's answer
	Rejected                  // by quota or load shedding
	Failed                    // another error
	NoResponse                // none in time, or the connection failed
	NotSent                   // Load.MaxInFlight were in flight
	outcomeCount
)

// outcomeNames are the outcomes as reports print them.
var outcomeNames = [outcomeCount]string{"settled", "declined", "voided", "no_answer", "unsent"}

// String returns the outcome's name in reports.
func (o Outcome) String() string { return outcomeNames[o] }

// Report is what a load generator has measured. Latencies are in microseconds and count from the moment at
// which a request was due.
type Report struct {
	Counts      map[string][outcomeCount]int64 // by product
	Latency     *hdrhistogram.Histogram        // of all that were sent
	ScheduleLag *hdrhistogram.Histogram        // how long after they were due requests were sent
	Duration    time.Duration
	Seconds     []Second // by the second in which requests were due
}

// Second is what has become of the requests that were due in one second.
type Second struct {
	Counts  [outcomeCount]int64
	Latency *hdrhistogram.Histogram
}

// maxScheduleLag bounds the 99th percentile of ScheduleLag of a run whose schedule was kept: a tenth of the
// shortest latencies of interest.
const maxScheduleLag = 2 * time.Millisecond

// ScheduleKept reports whether requests were sent when they were due.
func (r *Report) ScheduleKept() bool {
	return time.Duration(r.ScheduleLag.ValueAtQuantile(99))*time.Microsecond <= maxScheduleLag
}

// String formats the report as text.
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
	line("sent late", r.ScheduleLag)
	fmt.Fprintf(&b, "took %.1f s, schedule kept: %v\n", r.Duration.Seconds(), r.ScheduleKept())
	return b.String()
}
