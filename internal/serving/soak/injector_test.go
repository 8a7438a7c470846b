package soak

import (
	"slices"
	"sync"
	"time"
)

const (
	maxMachines      = 12 // that a cluster has over time, replaced ones included
	lossWait         = 15 * time.Second
	lossPollInterval = 100 * time.Millisecond
	seedLag          = 3 * time.Second // after which the settings files follow a replacement
)

// injector carries out faults on a cluster.
type injector struct {
	cluster  *cluster
	troubles *troubles
	faults   sync.WaitGroup
}

// run carries out rounds of a plan for a while, and returns when all that was stopped or cut runs again.
func (j *injector) run(rounds *plan, duration time.Duration) {
	began := time.Now()
	for time.Since(began) < duration && !j.cluster.t.Failed() {
		next := rounds.nextRound()
		started := time.Now()
		for _, f := range next {
			if f.kind.losesDisks() {
				if !j.takeDisks(f) {
					j.cluster.logf("left out, since the other machines have not recovered: %v", f)
				}
				started = time.Now()
				continue
			}
			j.faults.Go(func() {
				time.Sleep(time.Until(started.Add(f.at)))
				j.cluster.logf("%v", f)
				j.inject(f)
			})
		}
		j.faults.Wait()
	}
}

// inject carries out a fault that leaves the disks.
func (j *injector) inject(f fault) {
	one := f.places[:1]
	switch f.kind {
	case terminate:
		j.restart(one, f.delays, (*machine).terminate)
	case kill:
		j.restart(one, f.delays, (*machine).kill)
	case killAll:
		j.restart(f.places, f.delays, (*machine).kill)
	case reload:
		j.reload(f)
	case freeze:
		j.freeze(f)
	case isolate:
		j.cut(f, one, j.between(one, f.places[1:], true))
	case halve:
		j.cut(f, f.places[:2], j.between(f.places[:2], f.places[2:], true))
	case oneWay:
		j.cut(f, one, j.between(one, f.places[1:], false))
	case bridge:
		j.cut(f, f.places[:2], j.between(one, f.places[1:2], true))
	}
}

// lock locks the operation of the machines at places, in the order of the places, and returns them.
func (j *injector) lock(places []int) []*machine {
	var locked []*machine
	for _, place := range slices.Sorted(slices.Values(places)) {
		for {
			m := j.cluster.at(place)
			m.operation.Lock()
			if j.cluster.at(place) == m {
				locked = append(locked, m)
				break
			}
			m.operation.Unlock()
		}
	}
	return locked
}

func unlock(machines []*machine) {
	for _, m := range machines {
		m.operation.Unlock()
	}
}

// each calls f for each of some machines at once, and waits.
func each(machines []*machine, f func(m *machine)) {
	var calls sync.WaitGroup
	for _, m := range machines {
		calls.Go(func() { f(m) })
	}
	calls.Wait()
}

// restart stops processes at the same moment, and starts each one after its delay.
func (j *injector) restart(places []int, delays []time.Duration, stop func(*machine)) {
	machines := j.lock(places)
	defer unlock(machines)
	j.troubles.begin(places)
	defer j.troubles.end(places)
	defer j.cluster.recorder.disturbance(false)()
	each(machines, stop)
	each(machines, func(m *machine) {
		time.Sleep(delays[m.place])
		m.restart()
	})
}

// reload gives a machine other seeds and tells its process.
func (j *injector) reload(f fault) {
	machines := j.lock(f.places[:1])
	defer unlock(machines)
	machines[0].writeSettings(j.cluster.seeds(f.places), false)
	if err := machines[0].process.Renew(); err != nil {
		j.cluster.t.Error(err)
	}
}

// freeze stops a process from running for a while.
func (j *injector) freeze(f fault) {
	machines := j.lock(f.places[:1])
	defer unlock(machines)
	j.troubles.begin(f.places[:1])
	defer j.troubles.end(f.places[:1])
	defer j.cluster.recorder.disturbance(false)()
	if err := machines[0].process.Stall(); err != nil {
		j.cluster.t.Error(err)
	}
	time.Sleep(f.lasts)
	if err := machines[0].process.Resume(); err != nil {
		j.cluster.t.Error(err)
	}
}

// between returns the directions from the machines of some places to those of others, and back if both.
func (j *injector) between(from, to []int, both bool) []direction {
	var ways []direction
	for _, a := range from {
		for _, b := range to {
			ways = append(ways, direction{j.cluster.at(a).number, j.cluster.at(b).number})
			if both {
				ways = append(ways, direction{j.cluster.at(b).number, j.cluster.at(a).number})
			}
		}
	}
	return ways
}

// cut cuts directions for a while. The machines of the places lost count as lost meanwhile.
func (j *injector) cut(f fault, lost []int, ways []direction) {
	j.troubles.begin(lost)
	defer j.troubles.end(lost)
	defer j.cluster.recorder.disturbance(true)()
	j.cluster.network.cut(ways)
	defer j.cluster.network.heal(ways)
	time.Sleep(f.lasts)
}

// takeDisks carries out a fault that takes disks, once the machines have recovered from others. It returns
// false where they do not in time.
func (j *injector) takeDisks(f fault) bool {
	lost := f.places[:1]
	if f.kind == wipeTwo || f.kind == killAllWipeTwo || f.kind == wipeCutOff {
		lost = f.places[:2]
	}
	for began := time.Now(); !j.troubles.beginLoss(lost); time.Sleep(lossPollInterval) {
		if time.Since(began) > lossWait {
			return false
		}
	}
	defer j.troubles.end(lost)
	j.cluster.logf("%v", f)
	switch f.kind {
	case wipe, wipeTwo:
		j.wipe(lost, lost, f.delays)
	case killAllWipeTwo:
		j.wipe(lost, f.places, f.delays)
	case wipeCutOff:
		j.faults.Go(func() { j.cut(f, lost, j.between(lost, f.places[2:], true)) })
		time.Sleep(f.lasts / 2)
		j.wipe(lost[:1], lost[:1], f.delays)
	case replaceStopped:
		j.replace(f, (*machine).terminate)
	case replaceKilled:
		j.replace(f, (*machine).kill)
	}
	return true
}

// wipe kills the processes of some places at the same moment, and starts them after their delays. Those of
// the places lost have empty disks then.
func (j *injector) wipe(lost, killed []int, delays []time.Duration) {
	machines := j.lock(killed)
	defer unlock(machines)
	j.troubles.begin(killed)
	defer j.troubles.end(killed)
	defer j.cluster.recorder.disturbance(false)()
	each(machines, (*machine).kill)
	for _, m := range machines {
		if slices.Contains(lost, m.place) {
			j.cluster.recorder.diskLoss(m)
			m.wipe()
		}
	}
	each(machines, func(m *machine) {
		time.Sleep(delays[m.place])
		m.restart()
	})
}

// replace stops the process of a machine for good and starts a new machine in its place.
func (j *injector) replace(f fault, stop func(*machine)) {
	if j.cluster.machineCount() == maxMachines {
		j.wipe(f.places[:1], f.places[:1], f.delays)
		return
	}
	place := f.places[0]
	old := j.lock(f.places[:1])
	defer unlock(old)
	defer j.cluster.recorder.disturbance(false)()
	stop(old[0])
	old[0].replaced = true
	j.cluster.recorder.diskLoss(old[0])
	time.Sleep(f.delays[place])
	j.cluster.replace(place, f.places[1:])
	j.faults.Go(func() {
		time.Sleep(seedLag)
		j.cluster.writeSeeds(f.places)
	})
}
