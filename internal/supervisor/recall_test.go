package supervisor

import (
	"flag"
	"fmt"
	"math/rand"
	"strings"
	"syscall"
	"testing"
	"time"

	"willowdeck/internal/lab/loadgen"
	"willowdeck/internal/lab/workload"
)

var recallFor = flag.Duration("recall", 0, "how long instances are killed while too much of a quota is asked")

// quota has a plan whose store is good as never full again, and one that is asked for more than it gives.
func (d *deployed) quota() {
	d.config(map[string]any{"tariffs": []map[string]any{
		{"name": "basic", "rate": 500, "most_at_once": 500, "worth_factor": 1},
		{"name": "slow", "rate": 0.1, "most_at_once": 20, "worth_factor": 1},
		{"name": "pressed", "rate": 40, "most_at_once": 80, "worth_factor": 1}}})
}

// job asks as arrivals say.
func (d *deployed) job(all []workload.Arrival) *loadgen.Report {
	d.t.Helper()
	j := &loadgen.Job{Arrivals: all, Targets: d.targets(d.n), Spread: d.n,
		Plans: []string{"basic", "slow", "pressed"}, Most: 2000,
		Products: []loadgen.Product{{Name: "check", Repeat: "inquiry", Waits: 400 * time.Millisecond}}}
	r, err := j.Run(d.t.Context())
	if err != nil {
		d.t.Fatal(err)
	}
	return r
}

// kill ends an instance's process with SIGKILL.
func (d *deployed) kill(x *Daemon, those func(i int) bool) (n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, s := range x.reconciler.Statuses() {
		if r := x.processes[s.ProcessNumber]; r != nil && those(i) {
			_ = syscall.Kill(r.PID, syscall.SIGKILL)
			n++
		}
	}
	return n
}

// A process that is killed comes back with its customer's store as it was: what was spent is not let in
// again. Without a copy it is.
func TestQuotaOutlivesKill(t *testing.T) {
	program(t) // once for both
	for _, recall := range []bool{true, false} {
		t.Run(fmt.Sprintf("recall %t", recall), func(t *testing.T) {
			t.Parallel()
			quotaOutlivesKill(t, recall)
		})
	}
}

func quotaOutlivesKill(t *testing.T, recall bool) {
	d := prepare(t, 1)
	d.quota()
	d.write(1, fmt.Sprintf("recall = %t", recall))
	x := d.daemon()
	defer x.Stop()
	d.until(x, 1)
	ask := func() int64 {
		var all []workload.Arrival
		for i := range 25 {
			all = append(all, workload.Arrival{At: float64(i * 5), Customer: 9, Plan: 1, Units: 1})
		}
		return d.job(all).Counts["check"][loadgen.Settled]
	}
	before := ask()
	time.Sleep(500 * time.Millisecond) // some copies' time
	d.kill(x, func(int) bool { return true })
	for end := time.Now().Add(10 * time.Second); x.Statuses()[0].Restarts == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	d.until(x, 1)
	if after := ask(); before < 10 || (after == 0) != recall || !recall && after < 10 {
		t.Errorf("%d settled before, %d after", before, after)
	}
}

// Instances are killed at random while a customer asks for three times its quota. With copies it gets no more
// of it than without, within the spread of such runs, and others are served as well.
func TestQuotaUnderKills(t *testing.T) {
	if *recallFor == 0 {
		t.Skip("the long form, by -recall")
	}
	sent, settled := map[bool]int{}, map[bool]float64{}
	for _, recall := range []bool{false, true} {
		d := prepare(t, max(*instances, 3))
		d.quota()
		d.write(d.n, fmt.Sprintf("recall = %t", recall))
		x := d.daemon()
		d.until(x, d.n)
		var all []workload.Arrival
		for at := 0.0; at < float64(*recallFor/time.Millisecond); at += 4 {
			a := workload.Arrival{At: at, Customer: len(all) % 7, Units: 1, Set: len(all)}
			if len(all)%2 == 0 {
				a.Customer, a.Plan = 100, 2
			}
			all = append(all, a)
		}
		done := make(chan *loadgen.Report, 1)
		go func() { done <- d.job(all) }()
		rng, kills := rand.New(rand.NewSource(1)), 0
		var report *loadgen.Report
		for wait := time.NewTicker(300 * time.Millisecond); report == nil; {
			select {
			case report = <-done:
				wait.Stop()
			case <-wait.C:
				kills += d.kill(x, func(int) bool { return rng.Intn(8) == 0 })
			}
		}
		n, ran := 0, map[string]bool{}
		for _, w := range d.workers {
			for _, got := range w.Got() {
				i := -1
				_, query, _ := strings.Cut(got.Target, "?n=")
				if fmt.Sscan(query, &i); i >= 0 && all[i].Plan == 2 && !ran[got.ID] {
					ran[got.ID] = true
					n++
				}
			}
		}
		c := report.Counts["check"]
		sent[recall] = n
		settled[recall] = (float64(c[loadgen.Settled]) - float64(n)) / float64(len(all)/2)
		t.Logf("recall %t: %d kills, %d sent of the pressed quota, which gives %.0f; %.3f of the others settled; "+
			"%v", recall, kills, n, 80+40*recallFor.Seconds(), settled[recall], c)
		x.Stop()
	}
	if float64(sent[true]) > 1.15*float64(sent[false]) || settled[true] < settled[false]-0.1 {
		t.Errorf("sent %v, settled %v", sent, settled)
	}
}
