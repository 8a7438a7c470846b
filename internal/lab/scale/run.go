package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

const asksPerLease = 5 // of a gatekeeper, as accord has it

// Programs are the ones that a run starts: the gatekeeper's, and the laboratory's own for hollow processes.
type Programs struct{ Willowdeck, Lab string }

// Run plays a scenario's sizes, one after another, and gives what was measured, also beside an error. It ends
// within the scenario's time and leaves no process, file or port behind.
func Run(ctx context.Context, s *Scenario, p Programs, log zerolog.Logger) (t *Table, err error) {
	t = NewTable(s)
	if p.Willowdeck, err = filepath.Abs(p.Willowdeck); err != nil {
		return t, err
	}
	if _, err := os.Stat(p.Willowdeck); err != nil {
		return t, fmt.Errorf("program: %w", err)
	}
	for _, n := range s.Sizes {
		t.size = n
		for _, part := range s.Parts {
			began := time.Now()
			log.Info().Int("size", n).Str("part", part).Str("distribution", s.Distribution).Msg("begins")
			if err := one(ctx, s, t, p, n, part); err != nil {
				return t, fmt.Errorf("size %d, %s: %w", n, part, err)
			}
			log.Info().Int("size", n).Str("part", part).Dur("took_ms", time.Since(began)).Msg("done")
		}
	}
	return t, nil
}

// one plays a part at a size, in a folder of its own.
func one(ctx context.Context, s *Scenario, t *Table, p Programs, n int, part string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.Machine.SizeS*float64(time.Second)))
	defer cancel()
	ctx, room := keepRoom(ctx, s)
	defer func() {
		if over := room.close(); over != nil {
			err = over
		}
		t.most(machineRole, "processes", float64(room.processes))
		t.most(machineRole, "rss", room.rss)
	}()
	at, err := newSite(p.Lab)
	if err != nil {
		return err
	}
	defer at.close()
	defer caller.CloseIdleConnections()
	switch part {
	case Rules:
		a, err := newAssembly(s, t, p, at, n)
		if err != nil {
			return err
		}
		defer a.close()
		return a.play(ctx)
	case Lists:
		return lists(ctx, s, t, p, at, n)
	case Desk:
		return desk(ctx, s, t, p, at, n)
	case Words:
		return wordsPart(ctx, s, t, n)
	}
	return fmt.Errorf("parts: %q is not built", part)
}

// play measures how rules reach all gatekeepers of a size.
func (a *assembly) play(ctx context.Context) error {
	began := boot()
	text, err := json.Marshal(&a.rules)
	if err != nil {
		return err
	}
	a.bytes = len(text)
	a.t.add(fleetRole, "rules_bytes", float64(a.bytes))
	refused, err := a.start(ctx)
	if err != nil {
		return err
	}
	if refused != "" {
		a.t.refuse(lastLine(refused))
		a.t.add(fleetRole, "refused", 1)
		return a.trial(ctx, text)
	}
	a.t.add(fleetRole, "refused", 0)
	a.t.add(fleetRole, "hosts", float64(len(a.hosts)+len(a.keeping())))
	a.t.add(fleetRole, "per_host", float64(a.perHost))
	if a.relayed() {
		if err := errors.Join(a.grow(), a.follow()); err != nil {
			return err
		}
	}
	if err := a.playHosts(ctx); err != nil {
		return err
	}
	empty, err := a.all(Order{Do: "figures"})
	if err != nil {
		return err
	}
	if _, err = a.all(Order{Do: "begin"}); err != nil {
		return err
	}
	at, err := a.reached(ctx, 1, 60*time.Second)
	if err != nil {
		return err
	}
	a.t.add(fleetRole, "start", slices.Max(append(at, began))-began)
	if err := a.realGatekeepers(ctx, 1, 30*time.Second); err != nil {
		return err
	}
	if err := a.window(ctx, empty); err != nil {
		return err
	}
	version, err := a.change(ctx)
	if err != nil {
		return err
	}
	if err := a.restarts(ctx, &version); err != nil {
		return err
	}
	if err := a.zone(ctx, version); err != nil {
		return err
	}
	if !a.relayed() {
		return nil
	}
	return a.faults(ctx, version)
}

func lastLine(s string) string { return s[strings.LastIndexByte(s, '\n')+1:] }

// playHosts starts hollow hosts and gatekeepers.
func (a *assembly) playHosts(context.Context) (err error) {
	if a.hostProcess, err = a.hollow("hosts", Hollow{Role: hostRole, Hosts: a.hosts}); err != nil {
		return err
	}
	if a.hostless, err = a.hostProcess.order(Order{Do: "figures"}); err != nil {
		return err
	}
	if _, err = a.hostProcess.order(Order{Do: "begin"}); err != nil {
		return err
	}
	most := a.s.Hollow.MostAsking
	if !a.relayed() { // each is told all rules, each time
		perS := float64(a.bytes) * asksPerLease * 1000 / a.rules.LeaseMillis
		most = max(min(most, int(a.s.Hollow.MostMBS*1e6/perS)), 1)
	}
	if err := a.populate(most, false); err != nil {
		return err
	}
	a.t.add(fleetRole, "asking", float64(a.asking))
	return nil
}

// trial measures gatekeepers alone, by rules that the program refuses and that are told unchecked.
func (a *assembly) trial(ctx context.Context, rules []byte) (err error) {
	a.t.distribution += "-trial"
	defer func() { a.t.distribution = strings.TrimSuffix(a.t.distribution, "-trial") }()
	path := filepath.Join(a.dir, "rules.json")
	if err := os.WriteFile(path, rules, 0o600); err != nil {
		return err
	}
	for _, d := range a.real {
		d.stop()
	}
	a.hosts = a.hosts[:1]
	a.hosts[0].Trial, a.hosts[0].Upstream, a.hosts[0].Changes = path, nil, a.relayed()
	for i := range a.rules.Members { // a sample of all are asked for by one host
		a.rules.Members[i].Host = a.hosts[0].Name
	}
	if a.hostProcess, err = a.hollow("hosts", Hollow{Role: hostRole, Hosts: a.hosts}); err != nil {
		return err
	}
	if a.hostless, err = a.hostProcess.order(Order{Do: "figures"}); err != nil {
		return err
	}
	if _, err = a.hostProcess.order(Order{Do: "begin"}); err != nil {
		return err
	}
	if err := a.populate(min(a.s.Hollow.Sample, a.s.Hollow.MostAsking), true); err != nil {
		return err
	}
	a.t.add(fleetRole, "asking", float64(a.asking))
	empty, err := a.all(Order{Do: "figures"})
	if err != nil {
		return err
	}
	if _, err = a.all(Order{Do: "begin"}); err != nil {
		return err
	}
	if _, err := a.reached(ctx, 1, 30*time.Second); err != nil {
		return err
	}
	return a.window(ctx, empty)
}

// window measures what goes on while nothing changes.
func (a *assembly) window(ctx context.Context, empty Report) error {
	type state struct {
		keepers, hosts Report
		cpu            []float64
		in, out, calls []int64
		of             map[string]float64 // processor time of real gatekeepers
		relays         map[string][]flows
		told           float64   // to a real gatekeeper, bytes
		below          []float64 // processor time of real daemons below relays
		at             time.Time
	}
	look := func() (s state, err error) {
		if s.keepers, err = a.all(Order{Do: "figures"}); err != nil {
			return s, err
		}
		if s.hosts, err = a.hostProcess.order(Order{Do: "figures"}); err != nil {
			return s, err
		}
		s.of = map[string]float64{}
		if s.relays, err = a.relays(); err != nil {
			return s, err
		}
		for _, d := range a.real {
			if d.over() {
				continue
			}
			cpu, _, _ := usage(d.pid())
			var in, out, calls int64
			for _, m := range d.meters {
				in, out, calls = in+m.Out.Load(), out+m.In.Load(), calls+m.Messages.Load()
			}
			in, out, calls = in+d.front.In.Load(), out+d.front.Out.Load(), calls+d.front.Messages.Load()
			if a.relayed() {
				f, err := flow(d.child, d.at(controlPort))
				if err != nil {
					return s, err
				}
				in, out, calls = in+int64(f.in), out+int64(f.out), calls+int64(f.asks)
			}
			s.cpu, s.calls = append(s.cpu, cpu), append(s.calls, calls)
			s.in, s.out = append(s.in, in), append(s.out, out)
		}
		for _, d := range a.keeping() {
			if d.over() {
				continue
			}
			for _, pid := range a.pids(d) {
				s.of[strconv.Itoa(pid)], _, _ = usage(pid)
			}
			s.told += a.told(d)
			if a.relayed() {
				cpu, _, _ := usage(d.pid())
				s.below = append(s.below, cpu)
			}
		}
		s.at = time.Now()
		return s, nil
	}
	before, err := look()
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(a.s.Council.WindowS * float64(time.Second))):
	}
	after, err := look()
	if err != nil {
		return err
	}
	span := after.at.Sub(before.at).Seconds()
	n := float64(max(after.keepers.Count, 1))
	rate := func(role string, x, y Report, n float64) {
		a.t.add(role, "bytes_in_per_s", float64(y.In-x.In)/span/n)
		a.t.add(role, "bytes_out_per_s", float64(y.Out-x.Out)/span/n)
		a.t.add(role, "messages_per_s", float64(y.Messages-x.Messages)/span/n)
		a.t.add(role, "cpu", (y.CPU-x.CPU)/span/n*100)
	}
	rate(keeperRole, before.keepers, after.keepers, n)
	a.t.add(keeperRole, "rss_each", (after.keepers.RSS-empty.RSS)/n/1024)
	a.t.add(keeperRole, "descriptors_each", float64(after.keepers.Descriptors-empty.Descriptors)/n)
	if after.keepers.AnswerBytes > 0 {
		a.t.add(keeperRole, "answer_bytes", float64(after.keepers.AnswerBytes))
	}
	a.t.add(keeperRole, "silent", float64(after.keepers.Silent-before.keepers.Silent))
	a.t.add(keeperRole, "late", float64(after.keepers.Late-before.keepers.Late))
	a.t.add(keeperRole, "spoilt", float64(after.keepers.Spoilt-before.keepers.Spoilt))
	h := float64(len(a.hosts))
	rate(hostRole, before.hosts, after.hosts, h)
	a.t.add(hostRole, "rss_each", (after.hosts.RSS-a.hostless.RSS)/h/1024)
	a.t.add(hostRole, "descriptors_each", float64(after.hosts.Descriptors-a.hostless.Descriptors)/h)
	if len(after.cpu) == 0 {
		return nil
	}
	a.relayWindow(before.relays, after.relays, span)
	worst := 0
	for i := range after.cpu { // the one that leads
		if after.out[i]-before.out[i] > after.out[worst]-before.out[worst] {
			worst = i
		}
	}
	a.t.add(councilRole, "bytes_in_per_s", float64(after.in[worst]-before.in[worst])/span)
	a.t.add(councilRole, "bytes_out_per_s", float64(after.out[worst]-before.out[worst])/span)
	a.t.add(councilRole, "messages_per_s", float64(after.calls[worst]-before.calls[worst])/span)
	a.t.add(councilRole, "cpu", (after.cpu[worst]-before.cpu[worst])/span*100)
	_, rss, descriptors := usage(a.real[worst].pid())
	a.t.add(councilRole, "rss", rss/1e6)
	a.t.add(councilRole, "descriptors", float64(descriptors))
	var cpus, sizes []float64
	for i := range after.below {
		_, rss, _ := usage(a.below[i].pid())
		cpus, sizes = append(cpus, (after.below[i]-before.below[i])/span*100), append(sizes, rss/1e6)
	}
	if len(cpus) > 0 {
		a.t.add(hostRole, "cpu_real", median(cpus))
		a.t.add(hostRole, "rss_real", median(sizes))
	}
	cpus, sizes = nil, nil
	for _, d := range a.keeping() {
		for _, pid := range a.pids(d) {
			if was, there := before.of[strconv.Itoa(pid)]; there {
				_, rss, _ := usage(pid)
				cpus = append(cpus, (after.of[strconv.Itoa(pid)]-was)/span*100)
				sizes = append(sizes, rss/1e6)
			}
		}
	}
	if len(cpus) > 0 {
		a.t.add(keeperRole, "cpu_real", median(cpus))
		a.t.add(keeperRole, "rss_real", median(sizes))
		if after.told > before.told {
			a.t.add(keeperRole, "rules_real", (after.told-before.told)/span/float64(len(cpus)))
		}
	}
	return nil
}

// pids are those of a real daemon's gatekeepers.
func (a *assembly) pids(d *daemon) (all []int) {
	page, err := ask(d.at(controlPort), "/fleet/stats")
	if err != nil {
		return nil
	}
	for _, m := range a.rules.Members {
		if pid := int(number(page, "fleet."+m.Name+".pid")); m.Host == d.name && pid > 0 {
			all = append(all, pid)
		}
	}
	return all
}

// told is how many bytes a daemon's gatekeepers say that they were told of rules; 0 where they do not say.
func (a *assembly) told(d *daemon) (sum float64) {
	page, err := ask(d.at(controlPort), "/fleet/stats")
	if err != nil {
		return 0
	}
	for _, m := range a.rules.Members {
		if control, there := line(page, "fleet."+m.Name+".control"); there && m.Host == d.name {
			if figures, err := ask(control, "/admin/stats"); err == nil {
				sum += number(figures, "svc.rules.bytes_in")
			}
		}
	}
	return sum
}

// changed puts the next version in force, and gives how long each hollow gatekeeper took to go by it, ms.
func (a *assembly) changed(ctx context.Context, version *uint64) (times []float64, err error) {
	next := a.rules
	next.Plans = slices.Clone(a.rules.Plans)
	next.Plans[0].Rate = 400 + float64(*version%2)*50
	a.rules = next
	at, err := a.propose(&next)
	if err != nil {
		return nil, err
	}
	*version++
	if times, err = a.reached(ctx, *version, 30*time.Second); err != nil {
		return nil, err
	}
	for k := range times {
		times[k] -= at
	}
	return times, a.realGatekeepers(ctx, *version, 20*time.Second)
}

// change puts versions in force one after another.
func (a *assembly) change(ctx context.Context) (version uint64, err error) {
	version = 1
	medians, worsts, err := a.series(ctx, &version)
	if err == nil && len(worsts) > 0 {
		a.t.add(fleetRole, "in_force_median_gatekeeper", median(medians))
		a.t.add(fleetRole, "in_force_median", median(worsts))
		a.t.add(fleetRole, "in_force_worst", slices.Max(worsts))
	}
	return version, err
}

// series puts versions in force at the scenario's pace, and gives for each the times, ms, until the
// gatekeeper in the middle and the last one go by it.
func (a *assembly) series(ctx context.Context, version *uint64) (medians, worsts []float64, err error) {
	for range a.s.Changes.Count {
		began := time.Now()
		times, err := a.changed(ctx, version)
		if err != nil {
			return nil, nil, err
		}
		medians, worsts = append(medians, median(times)), append(worsts, slices.Max(append(times, 0)))
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-time.After(time.Duration(a.s.Changes.EveryMS*float64(time.Millisecond)) - time.Since(began)):
		}
	}
	return medians, worsts, nil
}

// restarts puts versions in force while hollow gatekeepers are killed, one after another, and start anew.
func (a *assembly) restarts(ctx context.Context, version *uint64) error {
	if a.s.Changes.RestartsPerS == 0 || a.asking == 0 || a.s.Changes.Count == 0 {
		return nil
	}
	done, ended := make(chan struct{}), make(chan error, 1)
	count := 0
	go func() {
		t := time.NewTicker(time.Duration(float64(time.Second) / a.s.Changes.RestartsPerS))
		defer t.Stop()
		for {
			select {
			case <-done:
				ended <- nil
				return
			case <-t.C:
			}
			if err := a.restart(count * 7919 % a.asking); err != nil { // a prime, so that all have their turn
				ended <- err
				return
			}
			count++
		}
	}()
	_, worsts, err := a.series(ctx, version)
	close(done)
	if err := errors.Join(err, <-ended); err != nil {
		return fmt.Errorf("restarts: %w", err)
	}
	a.t.add(fleetRole, "restarts", float64(count))
	a.t.add(fleetRole, "in_force_restarts", slices.Max(worsts))
	return nil
}

// restart kills one hollow gatekeeper, as its host sees it too, and starts it anew.
func (a *assembly) restart(n int) error {
	at := n % a.s.Hollow.PerProcess
	c, one := a.keepers[n/a.s.Hollow.PerProcess], Order{Do: "end", From: at, To: at + 1}
	if _, err := c.order(one); err != nil {
		return err
	}
	if _, err := a.hostProcess.order(Order{Do: "end", From: 1 + n, To: 2 + n}); err != nil {
		return err
	}
	one.Do = "again"
	_, err := c.order(one)
	return err
}

// zone takes the zone's share of the gatekeepers away, and has it come back at once.
func (a *assembly) zone(ctx context.Context, version uint64) error {
	share := max(int(math.Round(float64(a.asking)*a.s.Changes.Zone)), 1)
	if a.asking == 0 {
		return nil
	}
	each := func(o Order) error {
		for i, c := range a.keepers {
			o.From, o.To = 0, min(max(share-i*a.s.Hollow.PerProcess, 0), a.s.Hollow.PerProcess)
			if _, err := c.order(o); err != nil {
				return err
			}
		}
		return nil
	}
	if err := each(Order{Do: "end"}); err != nil {
		return err
	}
	hosts := 0 // their daemons are gone too, where they have no seat
	if a.relayed() {
		hosts = max(int(math.Round(float64(len(a.hosts))*a.s.Changes.Zone)), 1)
	}
	if _, err := a.hostProcess.order(Order{Do: "end", From: 1, To: 1 + share, Hosts: hosts}); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(a.s.Changes.AwayMS * float64(time.Millisecond))):
	}
	at := boot()
	if _, err := a.hostProcess.order(Order{Do: "again", Hosts: hosts}); err != nil {
		return err
	}
	if err := each(Order{Do: "again"}); err != nil {
		return err
	}
	times, err := a.reached(ctx, version, 60*time.Second)
	if err != nil {
		return err
	}
	a.t.add(fleetRole, "zone_back", max(slices.Max(append(times, at))-at, 0))
	return nil
}
