package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"willowdeck/internal/testkit/fakes"
)

const zones = 14 // of the fleet that is coming

// entries are a list of workers as it is at a size. Nobody calls them.
func entries(n int) (all []fakes.Entry) {
	for i := range n {
		all = append(all, fakes.Entry{Name: fmt.Sprintf("worker-%06d", i),
			Zone: fmt.Sprintf("zone-%02d", i%zones), Type: "m2", Group: i % 4, Status: "active", Weight: 1,
			Address: fmt.Sprintf("10.%d.%d.%d:5000", i>>16&255, i>>8&255, i&255)})
	}
	return all
}

func workersOf(s *Scenario, n int) int { return max(int(math.Round(float64(n)*s.Lists.Workers)), 1) }

// lists measures what discovery's list costs who follows it.
func lists(ctx context.Context, s *Scenario, t *Table, p Programs, at *site, n int) error {
	all := entries(workersOf(s, n))
	d, err := fakes.NewDiscovery(all...)
	if err != nil {
		return err
	}
	defer d.Close()
	text, err := json.Marshal(d.List())
	if err != nil {
		return err
	}
	t.add(listRole, "workers", float64(len(all)))
	t.add(listRole, "list_bytes", float64(len(text)))
	m, err := newMeter("127.0.0.1:0", d.Addr)
	if err != nil {
		return err
	}
	defer m.close()
	c, err := at.hollow("watches", p.Lab)
	if err != nil {
		return err
	}
	defer c.stop()
	w := &HollowWatch{Discovery: m.at, Watches: s.Lists.Watches, Seed: s.Seed}
	if err := c.tell(Hollow{Role: listRole, Watch: w}); err != nil {
		return err
	}
	if _, err := c.order(Order{Do: "begin"}); err != nil {
		return err
	}
	var r Report
	reached := func(version uint64, within time.Duration) error {
		return wait(ctx, within, fmt.Sprintf("all have version %d of the list", version), func() (bool, error) {
			var err error
			r, err = c.order(Order{Do: "reached", Version: version})
			return r.Reached == r.Count || r.Failed != "" && r.Reached == 0 && r.FailedTimes >= s.Lists.Watches, err
		})
	}
	if err := reached(1, 110*time.Second); err != nil {
		return err
	}
	if r.Reached < r.Count {
		t.refuse(r.Failed)
		t.add(listRole, "refused", 1)
		return nil
	}
	t.add(listRole, "refused", 0)
	t.add(keeperRole, "first_list", median(r.First))
	t.add(keeperRole, "place_list", median(r.Place))
	if r, err = c.order(Order{Do: "figures"}); err != nil {
		return err
	}
	t.add(keeperRole, "list_kb", r.HeapPerElement/1024)
	watches, version := float64(s.Lists.Watches), uint64(1) // the stand-in's first
	tell := func(some []fakes.Entry) (took, bytes float64, err error) {
		out, at := m.Out.Load(), boot()
		d.Publish(some...)
		version++
		if err := reached(version, 30*time.Second); err != nil {
			return 0, 0, err
		}
		return slices.Max(append(r.At, at)) - at, float64(m.Out.Load()-out) / watches, nil
	}
	var took, bytes []float64
	for i := range s.Lists.Changes {
		e := all[(i/2*97)%len(all)]
		if e.Status = "leaving"; i%2 == 1 {
			e.Status = "active"
		}
		ms, b, err := tell([]fakes.Entry{e})
		if err != nil {
			return err
		}
		took, bytes = append(took, ms), append(bytes, b)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(s.Lists.EveryMS * float64(time.Millisecond))):
		}
	}
	if len(took) > 0 {
		t.add(keeperRole, "change", median(took))
		t.add(keeperRole, "change_worst", slices.Max(took))
		t.add(keeperRole, "change_bytes", median(bytes))
		t.add(keeperRole, "change_cpu", median(r.Change))
	}
	var some []fakes.Entry
	for i := 0; i < len(all); i += zones {
		all[i].Status = "leaving"
		some = append(some, all[i])
	}
	ms, b, err := tell(some)
	if err != nil {
		return err
	}
	t.add(keeperRole, "zone_change", ms)
	t.add(keeperRole, "zone_bytes", b)
	return nil
}
