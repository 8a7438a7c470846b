package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"time"

	"willowdeck/internal/accord"
	"willowdeck/internal/load"
	"willowdeck/internal/standin"
	"willowdeck/internal/traffic"
)

const (
	deskCustomers = 50
	deskWaits     = 2 * time.Second
	deskOut       = 2000 // requests out at once; one more is counted as not sent
)

// desk measures what changes of the list add to a txn at a real gatekeeper, by an open load. All workers that
// are listed have the address of one of a few that stand in for them.
func desk(ctx context.Context, s *Scenario, t *Table, p Programs, dir string, n int) error {
	var stand []*standin.Worker
	defer func() {
		for _, w := range stand {
			w.Close()
		}
	}()
	for i := range s.Desk.Stand {
		w, err := standin.NewWorker(fmt.Sprintf("stand-%d", i), time.Millisecond)
		if err != nil {
			return err
		}
		stand = append(stand, w)
	}
	all := entries(workersOf(s, n))
	for i := range all {
		all[i].Address = stand[i%len(stand)].At
	}
	d, err := standin.NewDiscovery(all...)
	if err != nil {
		return err
	}
	defer d.Close()
	net, err := newLoopback()
	if err != nil {
		return err
	}
	defer net.close()
	at := fmt.Sprintf("%s:%d", net.ip(), listenPort)
	control := fmt.Sprintf("%s:%d", net.ip(), controlPort)
	r := accord.Rules{Plans: plans(s.Council.Plans)}
	for i := range r.Plans { // no quota is in the way
		r.Plans[i].Rate, r.Plans[i].Burst, r.Plans[i].CeilingRate, r.Plans[i].CeilingDepth = 1e6, 1e6, 0, 0
	}
	raw, err := json.Marshal(gatekeeperFile(d.At, standin.List{Index: 0, Snapshot: true}, &r,
		map[string]any{"name": "g0", "listen": at, "control": control}))
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "gatekeeper.json"), raw, 0o600)
	}
	if err != nil {
		return err
	}
	began := time.Now()
	g, err := spawn("gatekeeper", dir, false, p.Willowdeck, "serve", "--config", "gatekeeper.json",
		"--log", "warn")
	if err != nil {
		return err
	}
	defer g.stop()
	err = wait(ctx, 100*time.Second, "the gatekeeper has the list", func() (bool, error) {
		if g.over() {
			return false, fmt.Errorf("it has ended: %s", g.says())
		}
		page, err := ask(control, "/admin/stats")
		return err == nil && number(page, "svc.pool_size") >= float64(len(all)), nil
	})
	if err != nil {
		t.refuse(fmt.Sprintf("%v: %s", err, lastLine(g.says())))
		t.add(listRole, "refused", 1)
		return ctx.Err()
	}
	t.add(keeperRole, "list_up_real", float64(time.Since(began))/float64(time.Millisecond))
	quiet, err := deskLoad(ctx, s, at, 1)
	if err != nil {
		return err
	}
	before, _, _ := usage(g.pid())
	from := time.Now()
	changing, cancel := context.WithCancel(ctx)
	told := make(chan int, 1)
	go func() {
		k := 0
		for ; changing.Err() == nil; k++ {
			e := all[(k/2*97)%len(all)]
			if e.Status = "leaving"; k%2 == 1 {
				e.Status = "active"
			}
			d.Tell(e)
			select {
			case <-changing.Done():
			case <-time.After(time.Duration(s.Desk.EveryMS * float64(time.Millisecond))):
			}
		}
		told <- k
	}()
	busy, err := deskLoad(ctx, s, at, 2)
	cancel()
	<-told
	if err != nil {
		return err
	}
	after, rss, descriptors := usage(g.pid())
	ms := func(r *load.Report, q float64) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1000 }
	t.add(keeperRole, "p50", ms(quiet, 50))
	t.add(keeperRole, "p99", ms(quiet, 99))
	t.add(keeperRole, "p50_changes", ms(busy, 50))
	t.add(keeperRole, "p99_changes", ms(busy, 99))
	t.add(keeperRole, "p99_added", ms(busy, 99)-ms(quiet, 99))
	t.add(keeperRole, "lag_p99", float64(max(quiet.Lag.ValueAtQuantile(99), busy.Lag.ValueAtQuantile(99)))/1000)
	settled := int64(0)
	for _, c := range busy.Counts {
		settled += c[load.Settled]
	}
	t.add(keeperRole, "answered", float64(settled))
	t.add(keeperRole, "cpu_changes", (after-before)/time.Since(from).Seconds()*100)
	t.add(keeperRole, "rss_list", rss/1e6)
	t.add(keeperRole, "descriptors", float64(descriptors))
	if page, err := ask(control, "/admin/stats"); err == nil {
		if _, there := line(page, "svc.desk.longest_us"); there {
			t.add(keeperRole, "hold_worst", number(page, "svc.desk.longest_us")/1000)
		}
	}
	return nil
}

// deskLoad sends an open load to one gatekeeper.
func deskLoad(ctx context.Context, s *Scenario, at string, seed int64) (*load.Report, error) {
	rng := rand.New(rand.NewSource(s.Seed*1000 + seed))
	var all []traffic.Arrival
	for ms := 0.0; ms < s.Desk.Seconds*1000; ms += rng.ExpFloat64() * 1000 / s.Desk.TxnsPerS {
		all = append(all, traffic.Arrival{At: ms, Customer: rng.Intn(deskCustomers), Units: 1})
	}
	j := &load.Job{Arrivals: all, Targets: []string{at}, Spread: 1, Plans: []string{"plan-0"}, Most: deskOut,
		Seed: seed, Products: []load.Product{{Name: "check", Repeat: "inquiry", Waits: deskWaits}}}
	return j.Run(ctx)
}
