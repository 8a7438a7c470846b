package e2e

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/fakes"
	"willowdeck/internal/testkit/faultinject"
	"willowdeck/internal/testkit/history"
)

// spell is the record of a worker's life at hand.
type spell struct {
	mu   sync.Mutex
	life uint32
	log  *history.Log
}

func (s *spell) Write(e history.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Write(e)
}

// stage is where a schedule is played: hosts (h0, that is daemons, and in links their instances too),
// instances (g0), workers (w0), discovery's list, and "fleet" for the one end of links to these two.
type stage struct {
	*party
	*faultinject.Rig
}

// Cut cuts a direction. What cuts two hosts off cuts their instances off as well.
func (s stage) Cut(from, to string, how faultinject.Cut) error {
	s.cuts[[2]string{from, to}] = how
	s.pairs(from, to, func(a, b string) {
		s.net.Cut(a, b, max(s.cuts[[2]string{a, b}], s.cuts[[2]string{s.hostOf(a), s.hostOf(b)}]))
	})
	return nil
}

// Heal ends a direction's cut.
func (s stage) Heal(from, to string) error { return s.Cut(from, to, faultinject.Connected) }

// Shape shapes a direction. Two instances' own shape goes before their hosts'.
func (s stage) Shape(from, to string, shape faultinject.Shape) error {
	s.shapes[[2]string{from, to}] = shape
	s.pairs(from, to, func(a, b string) {
		own := s.shapes[[2]string{a, b}]
		if own == (faultinject.Shape{}) {
			own = s.shapes[[2]string{s.hostOf(a), s.hostOf(b)}]
		}
		s.net.Shape(a, b, own)
	})
	return nil
}

// pairs gives the links that two ends stand for.
func (s stage) pairs(from, to string, do func(a, b string)) {
	do(from, to)
	for _, m := range s.entered {
		for _, o := range s.entered {
			if m.Host == from && o.Host == to {
				do(m.Name, o.Name)
			}
		}
	}
}

func (s stage) worker(name string) *fakes.Worker {
	for _, w := range s.workers {
		if w.Name == name {
			return w
		}
	}
	return nil
}

// Stall stops a process; a worker takes txns then and answers none. An instance that is not there is let be.
func (s stage) Stall(name string) error {
	if w := s.worker(name); w != nil {
		w.SetFault(fakes.Stalls)
		return nil
	}
	if s.hostOf(name) == "" {
		return s.Rig.Stall(name)
	}
	i, there := s.instance(name)
	if !there || i.Stall() != nil {
		return nil
	}
	s.stalled[name] = i
	s.log.Write(history.Event{Kind: history.Stalls, Peer: name})
	return nil
}

// Resume lets a stalled one go on.
func (s stage) Resume(name string) error {
	if w := s.worker(name); w != nil {
		w.SetFault(fakes.None)
		return nil
	}
	if s.hostOf(name) == "" {
		return s.Rig.Resume(name)
	}
	if i, there := s.stalled[name]; there && i.Runs() {
		s.log.Write(history.Event{Kind: history.Wakes, Peer: name})
		_ = i.Resume()
	}
	delete(s.stalled, name)
	return nil
}

// Crash kills a process. A worker's connections break, and nobody tells of it.
func (s stage) Crash(name string) error {
	if w := s.worker(name); w != nil {
		w.Down()
		s.log.Write(history.Event{Kind: history.Died, Peer: name})
		return nil
	}
	if s.hostOf(name) == "" {
		err := s.Rig.Crash(name)
		s.log.Write(history.Event{Kind: history.Died, Peer: name})
		return err
	}
	i, there := s.instance(name)
	if !there || i.Kill() != nil {
		return nil
	}
	for end := time.Now().Add(5 * time.Second); i.Runs(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s does not end", name)
		}
	}
	s.log.Write(history.Event{Kind: history.Died, Peer: name})
	return nil
}

// Restart starts a process anew; an instance is its daemon's to start. A worker is back as a new process,
// cold, of which discovery tells.
func (s stage) Restart(name string) error {
	w := s.worker(name)
	if w == nil {
		if s.hostOf(name) != "" {
			return nil
		}
		return s.Rig.Restart(name)
	}
	h := s.spells[name]
	h.mu.Lock()
	h.life++
	h.log = s.record(name, h.life)
	h.mu.Unlock()
	var err error
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if err = w.Reopen(); err == nil {
			break
		}
	}
	s.tell(name, "left", 0)
	s.tell(name, "active", time.Now().UnixMilli())
	return err
}

// tell has discovery tell of a worker.
func (s stage) tell(name, status string, since int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.entries {
		if e := &s.entries[i]; e.Name == name {
			e.Status, e.Since = status, max(since, e.Since)
			s.list.Publish(*e)
		}
	}
}

// cast is who there is, by names.
func cast(n, k int) (hosts, members, stores []string) {
	for i := range n {
		hosts = append(hosts, fmt.Sprint("h", i))
	}
	for i := range n * k {
		members = append(members, fmt.Sprint("g", i))
	}
	for i := range workers {
		stores = append(stores, fmt.Sprint("w", i))
	}
	return hosts, members, stores
}

// draw makes a schedule over all from a seed: four of their own, laid over each other. Disks are spoilt at a
// minority of hosts, as the council rests on a majority that keeps its own; w0 and w1 stay up, so that txns
// have where to go. A full disk would cut records short, and is a case of its own in internal/supervisor.
func draw(seed int64, n, k, span int) faultinject.Schedule {
	hosts, members, workers := cast(n, k)
	steps := func(every int) int { return max(span/every, 3) }
	var all faultinject.Schedule
	for i, c := range []faultinject.Cast{
		{Ends: hosts, Steps: steps(6000), Kinds: []faultinject.Kind{faultinject.Cuts, faultinject.Parts,
			faultinject.Splits,
			faultinject.Shapes}},
		{Processes: hosts, Disks: hosts[:(n-1)/2], Steps: steps(6000),
			Kinds: []faultinject.Kind{faultinject.Stalls, faultinject.Crashes, faultinject.Spoils}},
		{Ends: members, Processes: members, Steps: steps(1500), Kinds: []faultinject.Kind{faultinject.Cuts,
			faultinject.Parts,
			faultinject.Shapes, faultinject.Stalls, faultinject.Crashes, faultinject.Crashes}},
		{Ends: append([]string{"list"}, workers[2:]...), Processes: workers[2:], Steps: steps(4000),
			Kinds: []faultinject.Kind{faultinject.Cuts, faultinject.Parts, faultinject.Shapes, faultinject.Stalls,
				faultinject.Crashes}},
	} {
		s := faultinject.Draw(seed+int64(i)<<32, c, span)
		for j := range s.Steps {
			step := &s.Steps[j]
			step.Until = min(step.Until, step.At+longest)
			if i == 3 && len(step.Whom) == 2 { // the other end is the fleet
				step.Whom[step.At%2] = "fleet"
			}
		}
		all.Steps = append(all.Steps, s.Steps...)
	}
	slices.SortStableFunc(all.Steps, func(a, b faultinject.Step) int { return a.At - b.At })
	all.Seed, all.Span = seed, span
	all.Ends = slices.Concat(hosts, members, workers, []string{"list", "fleet"})
	return all
}

// longest is how long a fault lasts at the most, ms: a long run has many, not some that outlast all else.
const longest = 6000

// around gives the part of a schedule from which a break may have come, with its time of rest.
func around(s faultinject.Schedule, at int) faultinject.Schedule {
	const before, after, rest = 15000, 1000, 4000
	from := max(at-before, 0)
	out := faultinject.Schedule{Seed: s.Seed, Ends: s.Ends}
	for _, step := range s.Steps {
		if step.Until > from && step.At < at+after {
			step.At, step.Until = max(step.At-from, 0), step.Until-from
			out.Steps, out.Span = append(out.Steps, step), max(out.Span, step.Until)
		}
	}
	out.Span += rest
	return out
}

// changes has operators at work for a time: they propose rules at any of the hosts, and discovery tells of
// workers that drain. It is drawn from the schedule's seed.
func (s stage) changes(seed int64, over <-chan struct{}) (proposed int) {
	rng := rand.New(rand.NewSource(seed ^ 0x5DEECE66D))
	drained, absent := "", -1
	for turn := 0; ; turn++ {
		select {
		case <-over:
			if drained != "" {
				s.tell(drained, "active", 0)
			}
			s.lowest()
			return proposed + 1
		case <-time.After(time.Duration(700+rng.Intn(1500)) * time.Millisecond):
		}
		r := s.ceilings(0)
		switch turn % 8 {
		case 0, 3, 5, 7:
			r = s.ceilings(0.3 + 0.7*rng.Float64())
		case 1: // a word, or none
			r.WorkerOverrides = nil
			if w := (ruleset.WorkerOverride{Worker: fmt.Sprint("w", 2+rng.Intn(workers-2))}); turn < 8 ||
				rng.Intn(4) > 0 {
				w.Barred, w.Weight = rng.Intn(2) == 0, float64(rng.Intn(2))*0.5
				w.Drained = !w.Barred
				r.WorkerOverrides = []ruleset.WorkerOverride{w}
			}
		case 4: // a member leaves its place, or is back at it
			if absent >= 0 {
				r.Members[absent] = s.entered[absent]
				s.away(absent, false)
				absent = -1
			} else {
				absent = 1 + rng.Intn(len(r.Members)-2)
				s.away(absent, true)
				r.Members[absent] = ruleset.Member{}
			}
		case 6:
			r.Plans[0].Rate = float64(300 + rng.Intn(200))
		default:
			if drained == "" {
				drained = fmt.Sprint("w", 2+rng.Intn(workers-2))
				s.tell(drained, "leaving", 0)
			} else {
				s.tell(drained, "active", 0)
				drained = ""
			}
			continue
		}
		h := s.hosts[rng.Intn(len(s.hosts))]
		s.write(h, r)
		// One that does not answer may not have come as far as taking signals, and SIGHUP would end it.
		if _, up := h.sitting(); up && s.Processes[h.name].Renew() == nil {
			proposed++
		}
		s.rules = r
	}
}

// lowest has the lowest ceiling come in force: whoever went on by another would contradict it.
func (s stage) lowest() {
	h := s.hosts[0]
	s.rules = s.ceilings(0.25)
	for end := time.Now().Add(readyIn); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		now, ok := h.sitting()
		if ok && now.Rules.PendingVersion == 0 && now.Rules.WantedProposal == "" {
			if mark := s.write(h, s.rules); now.Rules.Digest == mark {
				return
			}
			_ = s.Processes[h.name].Renew()
		}
	}
	s.t.Errorf("the last change does not come in force")
}

// ceilings gives rules as they were last proposed with a part of the ceiling that there may be; nought leaves
// it as it is.
func (p *party) ceilings(part float64) ruleset.Rules {
	r := p.rules
	r.Plans, r.Members = slices.Clone(r.Plans), slices.Clone(r.Members)
	if all := float64(len(p.entered)) * part; part > 0 {
		r.Plans[1].CeilingRate, r.Plans[1].CeilingDepth = ceiling*all, depth*all
	}
	return r
}

// away has clients ask a place no more, or again.
func (p *party) away(place int, gone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.absent[place] = gone
}
