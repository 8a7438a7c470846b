package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"time"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/lab/loadgen"
	"willowdeck/internal/lab/workload"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/fakes"
)

const (
	deskCustomers = 50
	deskWaits     = 2 * time.Second
	deskOut       = 2000 // requests out at once; one more is counted as not sent
)

// desk measures what changes of the list add to a txn at a real gatekeeper, by an open load. All workers that
// are listed have the address of one of a few that stand in for them.
func desk(ctx context.Context, s *Scenario, t *Table, p Programs, where *site, n int) error {
	dir, net := where.dir, where.net
	var stand []*fakes.Worker
	defer func() {
		for _, w := range stand {
			w.Close()
		}
	}()
	for i := range s.Desk.Stand {
		w, err := fakes.NewWorker(fmt.Sprintf("stand-%d", i), time.Millisecond)
		if err != nil {
			return err
		}
		stand = append(stand, w)
	}
	all := entries(workersOf(s, n))
	for i := range all {
		all[i].Address = stand[i%len(stand)].Addr
	}
	d, err := fakes.NewDiscovery(all...)
	if err != nil {
		return err
	}
	defer d.Close()
	at := fmt.Sprintf("%s:%d", net.ip(), listenPort)
	control := fmt.Sprintf("%s:%d", net.ip(), controlPort)
	r := ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: s.Council.LeaseMS,
		ConflictBoundMillis: s.Council.BoundMS,
		Fallback: ruleset.Fallback{Fraction: s.Council.FallbackPart,
			DurationMillis: s.Council.FallbackMS},
		Plans: plans(s.Council.Plans)}
	r.Needs = needs(n)
	for i := range n {
		r.Members = append(r.Members, ruleset.Member{Name: fmt.Sprintf("g%d", i),
			Host: fmt.Sprintf("host-%d", i/s.Hollow.PerHost), Peers: fmt.Sprintf("127.0.0.1:%d", 1+i)})
	}
	for i := range r.Plans { // no quota is in the way
		r.Plans[i].Rate, r.Plans[i].Burst, r.Plans[i].CeilingRate, r.Plans[i].CeilingDepth = 1e6, 1e6, 0, 0
	}
	raw, err := json.Marshal(gatekeeperFile(d.Addr, fakes.List{Index: 0, Snapshot: true}, &r,
		map[string]any{"name": "g0", "listen": at, "control": control}))
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "gatekeeper.json"), raw, 0o600)
	}
	if err != nil {
		return err
	}
	rules, err := json.Marshal(&r)
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "rules.json"), rules, 0o600)
	}
	if err != nil {
		return err
	}
	daemon, err := where.hollow("daemon", p.Lab)
	if err != nil {
		return err
	}
	defer daemon.stop()
	above := HollowHost{Name: "host-0", Control: fmt.Sprintf("%s:%d", net.ip(), controlPort),
		Trial: filepath.Join(dir, "rules.json"), Changes: true}
	if err := daemon.tell(Hollow{Role: hostRole, Cluster: "scale", Hosts: []HollowHost{above}}); err != nil {
		return err
	}
	if _, err := daemon.order(Order{Do: "begin"}); err != nil {
		return err
	}
	began := time.Now()
	g, err := where.real("gatekeeper", dir, p.Willowdeck, "serve", "--config", "gatekeeper.json",
		"--log", "warn", "--tell", "--agree", above.Control)
	if err != nil {
		return err
	}
	defer g.stop()
	err = wait(ctx, 100*time.Second, "the gatekeeper has the list", func() (bool, error) {
		if g.over() {
			return false, fmt.Errorf("it has ended: %s", g.says())
		}
		if strings.Contains(g.says(), endpoints.ErrTooLong.Error()) {
			return false, endpoints.ErrTooLong
		}
		page, err := ask(control, "/admin/stats")
		return err == nil && number(page, "svc.pool_size") >= float64(len(all)) &&
			number(page, "svc.rules.mode") == float64(ruleset.ModeLeased), nil
	})
	if errors.Is(err, endpoints.ErrTooLong) {
		t.refuse(err.Error())
		t.add(listRole, "refused", 1)
		return nil
	}
	if err != nil {
		return fmt.Errorf("%w: %s", err, lastLine(g.says()))
	}
	t.add(keeperRole, "list_up_real", float64(time.Since(began))/float64(time.Millisecond))
	quiet, err := deskLoad(ctx, s, at, 1)
	if err != nil {
		return err
	}
	before, _, _ := usage(g.pid())
	from := time.Now()
	changing, cancel := context.WithCancel(ctx)
	told := make(chan error, 1)
	go func() {
		var err error
		rules := time.Now()
		for k := 0; changing.Err() == nil && err == nil; k++ {
			if float64(time.Since(rules)) >= s.Desk.RulesMS*float64(time.Millisecond) {
				rules = time.Now()
				_, err = daemon.order(Order{Do: "again", Hosts: 1})
			}
			e := all[(k/2*97)%len(all)]
			if e.Status = "leaving"; k%2 == 1 {
				e.Status = "active"
			}
			d.Publish(e)
			select {
			case <-changing.Done():
			case <-time.After(time.Duration(s.Desk.EveryMS * float64(time.Millisecond))):
			}
		}
		told <- err
	}()
	busy, err := deskLoad(ctx, s, at, 2)
	cancel()
	if err := errors.Join(err, <-told); err != nil {
		return err
	}
	after, rss, descriptors := usage(g.pid())
	ms := func(r *loadgen.Report, q float64) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1000 }
	t.add(keeperRole, "p50", ms(quiet, 50))
	t.add(keeperRole, "p99", ms(quiet, 99))
	t.add(keeperRole, "p50_changes", ms(busy, 50))
	t.add(keeperRole, "p99_changes", ms(busy, 99))
	t.add(keeperRole, "p99_added", ms(busy, 99)-ms(quiet, 99))
	t.add(keeperRole, "lag_p99", float64(max(quiet.ScheduleLag.ValueAtQuantile(99),
		busy.ScheduleLag.ValueAtQuantile(99)))/1000)
	settled := int64(0)
	for _, c := range busy.Counts {
		settled += c[loadgen.Completed]
	}
	t.add(keeperRole, "answered", float64(settled))
	t.add(keeperRole, "cpu_changes", (after-before)/time.Since(from).Seconds()*100)
	t.add(keeperRole, "rss_list", rss/1e6)
	t.add(keeperRole, "descriptors", float64(descriptors))
	page, err := ask(control, "/admin/stats")
	if err != nil {
		return err
	}
	for _, what := range []string{"list", "change", "rules"} {
		t.add(keeperRole, "hold_"+what, number(page, "svc.desk.longest."+what+"_us")/1000)
	}
	t.add(keeperRole, "rules_taken", number(page, "svc.rules.version"))
	return nil
}

// deskLoad sends an open load to one gatekeeper.
func deskLoad(ctx context.Context, s *Scenario, at string, seed int64) (*loadgen.Report, error) {
	rng := rand.New(rand.NewSource(s.Seed*1000 + seed))
	var all []workload.Arrival
	for ms := 0.0; ms < s.Desk.Seconds*1000; ms += rng.ExpFloat64() * 1000 / s.Desk.TxnsPerS {
		all = append(all, workload.Arrival{AtMillis: ms, Customer: rng.Intn(deskCustomers), Units: 1})
	}
	j := &loadgen.Load{Arrivals: all, Targets: []string{at}, SetSize: 1, Plans: []string{"plan-0"},
		MaxInFlight: deskOut,
		Seed:        seed, Products: []loadgen.Product{{Name: "check", Idempotency: "inquiry", Timeout: deskWaits}}}
	return j.Run(ctx)
}
