package loadgen

import (
	"context"
	"strings"
	"testing"
	"time"

	"willowdeck/internal/lab/workload"
	"willowdeck/internal/testkit/fakes"
)

// stalled sends a steady load to a stand-in that stands still for a while, and gives the report.
func stalled(t *testing.T, closed int) *Report {
	t.Helper()
	w, err := fakes.NewWorker("g", time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	var all []workload.Arrival
	for at := 0.0; at < 2000; at += 5 {
		all = append(all, workload.Arrival{At: at, Customer: 1, Units: 1, Set: len(all)})
	}
	j := &Job{Arrivals: all, Targets: []string{w.Addr}, Spread: 1, Plans: []string{"basic"}, Most: 1000,
		Closed:   closed,
		Products: []Product{{Name: "check", Repeat: "inquiry", Waits: 5 * time.Second}}}
	time.AfterFunc(500*time.Millisecond, func() { w.SetFault(fakes.Stalls) })
	time.AfterFunc(1100*time.Millisecond, func() { w.SetFault(fakes.None) })
	r, err := j.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if n := r.Counts["check"]; n[Settled] != int64(len(all)) || len(w.Received()) != len(all) {
		t.Errorf("%v of %d, the stand-in got %d", n, len(all), len(w.Received()))
	}
	return r
}

// What waits in turn for its answers hides the queue that a stall makes; what is sent when it is due
// shows it.
func TestOpenAgainstClosed(t *testing.T) {
	open, closed := stalled(t, 0), stalled(t, 2)
	at := func(r *Report, q float64) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1000 }
	t.Logf("open p90 %.1f p99 %.1f ms, closed p90 %.1f p99 %.1f ms", at(open, 90), at(open, 99), at(closed, 90),
		at(closed, 99))
	if at(open, 90) < 200 || at(open, 99) < 450 {
		t.Errorf("the stall does not show: p90 %.1f ms, p99 %.1f ms", at(open, 90), at(open, 99))
	}
	if at(closed, 99) > 200 {
		t.Errorf("the closed loop shows it, which it can't: p99 %.1f ms", at(closed, 99))
	}
	if !strings.Contains(open.String(), "settled 400") {
		t.Error(open.String())
	}
}

// Outcomes are told apart, and what was due and could not be sent is counted.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		fault fakes.Fault
		want  Outcome
	}{{fakes.None, Settled}, {fakes.Full, Declined}, {fakes.Errs, Voided}, {fakes.Cuts, NoAnswer},
		{fakes.Silent, NoAnswer}, {fakes.Garbage, NoAnswer}}
	for _, c := range cases {
		t.Run(c.want.String(), func(t *testing.T) {
			w, err := fakes.NewWorker("g", 0)
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			w.SetFault(c.fault)
			j := &Job{Arrivals: []workload.Arrival{{Units: 1}, {Units: 1, Product: 1}, {Units: 1, Product: 2}},
				Targets: []string{w.Addr}, Spread: 1, Plans: []string{"basic"}, Most: 9, Products: []Product{
					{"check", "inquiry", 200 * time.Millisecond, 0}, {"sale", "referenced", 200 * time.Millisecond, 20},
					{"issue", "once", 200 * time.Millisecond, 20}}}
			r, err := j.Run(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			for name, n := range r.Counts {
				if n[c.want] != 1 {
					t.Errorf("%s: %v, want %v", name, n, c.want)
				}
			}
			if len(w.Received()) != 3 {
				t.Errorf("%d sent: nothing may be sent twice", len(w.Received()))
			}
		})
	}
	w, err := fakes.NewWorker("g", 100*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	j := &Job{
		Arrivals: make([]workload.Arrival, 9),
		Targets:  []string{w.Addr},
		Spread:   1,
		Plans:    []string{"basic"},
		Most:     4,
		Products: []Product{{"check", "inquiry", time.Second, 0}},
	}
	if r, err := j.Run(context.Background()); err != nil || r.Counts["check"][Unsent] != 5 {
		t.Errorf("%v, %v", r, err)
	}
}

func TestBadJobs(t *testing.T) {
	good := func() *Job {
		return &Job{Arrivals: make([]workload.Arrival, 1), Targets: []string{"127.0.0.1:1"}, Spread: 1,
			Plans: []string{"basic"}, Products: []Product{{Name: "check"}}, Most: 1}
	}
	cases := []struct {
		says string
		make func(*Job)
	}{
		{"targets: there", func(j *Job) { j.Targets = nil }}, {"targets[0]",
			func(j *Job) { j.Targets[0] = "here" }},
		{"spread", func(j *Job) { j.Spread = 2 }}, {"most", func(j *Job) { j.Most = 0 }},
		{"arrival 0", func(j *Job) { j.Arrivals[0].Plan = 3 }},
	}
	for _, c := range cases {
		j := good()
		c.make(j)
		if _, err := j.Run(context.Background()); err == nil || !strings.HasPrefix(err.Error(), c.says) {
			t.Errorf("got %v, want %q", err, c.says)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	j := good()
	j.Arrivals[0].At = 5000
	if r, err := j.Run(ctx); err == nil || r != nil {
		t.Error("a stopped load has a report")
	}
}
