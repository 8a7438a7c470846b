package loadgen

import (
	"context"
	"strings"
	"testing"
	"time"

	"willowdeck/internal/lab/workload"
	"willowdeck/internal/testkit/fakes"
)

// runAgainstStall sends a steady load to a fake worker that stalls for a while, and returns the report.
func runAgainstStall(t *testing.T, closed int) *Report {
	t.Helper()
	worker, err := fakes.NewWorker("g", time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer worker.Close()
	var arrivals []workload.Arrival
	for at := 0.0; at < 2000; at += 5 {
		arrivals = append(arrivals, workload.Arrival{AtMillis: at, Customer: 1, Units: 1, SetOffset: len(arrivals)})
	}
	load := &Load{Arrivals: arrivals, Targets: []string{worker.Addr}, SetSize: 1, Plans: []string{"basic"},
		MaxInFlight:       1000,
		ClosedLoopClients: closed,
		Products:          []Product{{Name: "check", Idempotency: "inquiry", Timeout: 5 * time.Second}}}
	time.AfterFunc(500*time.Millisecond, func() { worker.SetFault(fakes.Stalls) })
	time.AfterFunc(1100*time.Millisecond, func() { worker.SetFault(fakes.None) })
	report, err := load.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if n := report.Counts["check"]; n[Completed] != int64(len(arrivals)) ||
		len(worker.Received()) != len(arrivals) {
		t.Errorf("%v of %d, the worker got %d", n, len(arrivals), len(worker.Received()))
	}
	return report
}

// A closed loop hides the queue that a stall builds up; an open loop shows it.
func TestOpenLoopShowsAStallThatAClosedLoopHides(t *testing.T) {
	open, closed := runAgainstStall(t, 0), runAgainstStall(t, 2)
	quantileMillis := func(r *Report, q float64) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1000 }
	t.Logf("open p90 %.1f p99 %.1f ms, closed p90 %.1f p99 %.1f ms", quantileMillis(open, 90),
		quantileMillis(open, 99), quantileMillis(closed, 90),
		quantileMillis(closed, 99))
	if quantileMillis(open, 90) < 200 || quantileMillis(open, 99) < 450 {
		t.Errorf("the stall does not show: p90 %.1f ms, p99 %.1f ms", quantileMillis(open, 90),
			quantileMillis(open, 99))
	}
	if quantileMillis(closed, 99) > 200 {
		t.Errorf("the closed loop shows the stall: p99 %.1f ms", quantileMillis(closed, 99))
	}
	if !strings.Contains(open.String(), "settled 400") {
		t.Error(open.String())
	}
}

// Faults of a worker give distinct outcomes, and a request that was due and could not be sent is counted.
func TestOutcomesOfWorkerFaults(t *testing.T) {
	cases := []struct {
		fault fakes.Fault
		want  Outcome
	}{{fakes.None, Completed}, {fakes.Full, Rejected}, {fakes.Errs, Failed}, {fakes.Cuts, NoResponse},
		{fakes.Silent, NoResponse}, {fakes.Garbage, NoResponse}}
	for _, c := range cases {
		t.Run(c.want.String(), func(t *testing.T) {
			worker, err := fakes.NewWorker("g", 0)
			if err != nil {
				t.Fatal(err)
			}
			defer worker.Close()
			worker.SetFault(c.fault)
			load := &Load{Arrivals: []workload.Arrival{{Units: 1}, {Units: 1, Product: 1}, {Units: 1, Product: 2}},
				Targets: []string{worker.Addr}, SetSize: 1, Plans: []string{"basic"}, MaxInFlight: 9, Products: []Product{
					{"check", "inquiry", 200 * time.Millisecond, 0}, {"sale", "referenced", 200 * time.Millisecond, 20},
					{"issue", "once", 200 * time.Millisecond, 20}}}
			report, err := load.Run(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			for name, n := range report.Counts {
				if n[c.want] != 1 {
					t.Errorf("%s: %v, want %v", name, n, c.want)
				}
			}
			if len(worker.Received()) != 3 {
				t.Errorf("%d sent: no request may be sent twice", len(worker.Received()))
			}
		})
	}
	worker, err := fakes.NewWorker("g", 100*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer worker.Close()
	load := &Load{
		Arrivals:    make([]workload.Arrival, 9),
		Targets:     []string{worker.Addr},
		SetSize:     1,
		Plans:       []string{"basic"},
		MaxInFlight: 4,
		Products:    []Product{{"check", "inquiry", time.Second, 0}},
	}
	if report, err := load.Run(context.Background()); err != nil || report.Counts["check"][NotSent] != 5 {
		t.Errorf("%v, %v", report, err)
	}
}

func TestLoadValidate(t *testing.T) {
	validLoad := func() *Load {
		return &Load{Arrivals: make([]workload.Arrival, 1), Targets: []string{"127.0.0.1:1"}, SetSize: 1,
			Plans: []string{"basic"}, Products: []Product{{Name: "check"}}, MaxInFlight: 1}
	}
	cases := []struct {
		message string
		change  func(*Load)
	}{
		{"targets: there", func(load *Load) { load.Targets = nil }}, {"targets[0]",
			func(load *Load) { load.Targets[0] = "here" }},
		{"spread", func(load *Load) { load.SetSize = 2 }}, {"most", func(load *Load) { load.MaxInFlight = 0 }},
		{"arrival 0", func(load *Load) { load.Arrivals[0].Plan = 3 }},
	}
	for _, c := range cases {
		load := validLoad()
		c.change(load)
		if _, err := load.Run(context.Background()); err == nil || !strings.HasPrefix(err.Error(), c.message) {
			t.Errorf("got %v, want %q", err, c.message)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	load := validLoad()
	load.Arrivals[0].AtMillis = 5000
	if report, err := load.Run(ctx); err == nil || report != nil {
		t.Error("a cancelled load has a report")
	}
}
