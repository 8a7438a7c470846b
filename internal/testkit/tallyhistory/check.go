package tallyhistory

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxNamedAdds is the number of adds that the message of a violation names.
const maxNamedAdds = 5

// Check returns the violations of the rules in a history, ordered by the ends of the reads that show them.
// The order of the events does not matter.
//
// A read returns only a total. Check reports adds as missing if the total is less than the sum of all adds
// that it must include. The amount of an add of unknown outcome may therefore hide a missing add.
func Check(events []Event, limits Limits) []Violation {
	c := &checker{limits: limits, adds: map[string][]*add{}, reads: map[string][]Event{}}
	c.collect(events)
	var violations []Violation
	for _, reads := range c.reads {
		slices.SortStableFunc(reads, compareEnds)
		for i, read := range reads {
			violations = append(violations, c.checkRead(read)...)
			if violation := checkBackwards(read, reads[:i]); violation != nil {
				violations = append(violations, *violation)
			}
		}
	}
	slices.SortFunc(violations, func(a, b Violation) int {
		if order := compareEnds(a.Read, b.Read); order != 0 {
			return order
		}
		return strings.Compare(a.String(), b.String())
	})
	return violations
}

// compareEnds orders events by their ends.
func compareEnds(a, b Event) int { return int(a.Ended - b.Ended) }

// add is an add with the results of all its attempts.
type add struct {
	id           string
	amount       uint64
	mayCount     bool          // at least one attempt was not refused
	startedFirst time.Duration // start of the first attempt that was not refused
	acknowledged []Event       // attempts that were acknowledged
}

// span is the time that a disturbance lasted.
type span struct{ from, to time.Duration }

// checker is the state of one check.
type checker struct {
	limits       Limits
	adds         map[string][]*add  // by tally
	reads        map[string][]Event // by tally
	disturbances []span
	partitions   []span // network partitions, joined if they are close to one another
	diskLosses   []Event
}

// collect sorts the events by kind into the fields of the checker.
func (c *checker) collect(events []Event) {
	byID := map[[2]string]*add{}
	var partitions []span
	for _, event := range events {
		switch event.Kind {
		case Add:
			key := [2]string{event.Tally, event.ID}
			known := byID[key]
			if known == nil {
				known = &add{id: event.ID}
				byID[key] = known
				c.adds[event.Tally] = append(c.adds[event.Tally], known)
			}
			known.attempt(event)
		case Read, FinalRead:
			c.reads[event.Tally] = append(c.reads[event.Tally], event)
		case Disturbance:
			c.disturbances = append(c.disturbances, span{event.Started, event.Ended})
			if event.Partition {
				partitions = append(partitions, span{event.Started, event.Ended})
			}
		case DiskLoss:
			c.diskLosses = append(c.diskLosses, event)
		}
	}
	c.partitions = join(partitions, c.limits.Merge)
}

// attempt records an attempt of the add.
func (a *add) attempt(event Event) {
	a.amount = max(a.amount, event.Amount)
	if event.Outcome == Refused {
		return
	}
	if !a.mayCount || event.Started < a.startedFirst {
		a.startedFirst = event.Started
	}
	a.mayCount = true
	if event.Outcome == Acknowledged {
		a.acknowledged = append(a.acknowledged, event)
	}
}

// join joins spans that overlap or follow one another within a gap.
func join(spans []span, gap time.Duration) []span {
	slices.SortFunc(spans, func(a, b span) int { return int(a.from - b.from) })
	var joined []span
	for _, next := range spans {
		if last := len(joined) - 1; last >= 0 && next.from <= joined[last].to+gap {
			joined[last].to = max(joined[last].to, next.to)
			continue
		}
		joined = append(joined, next)
	}
	return joined
}

// checkRead checks one read against all adds of its tally.
func (c *checker) checkRead(read Event) []Violation {
	if read.Outcome != Acknowledged {
		if read.Kind != FinalRead {
			return nil
		}
		message := fmt.Sprintf("the final read of %s at %s was not answered", read.Tally, read.Core)
		return []Violation{{Lost, read, message}}
	}
	var violations []Violation
	if violation := c.checkTwice(read); violation != nil {
		violations = append(violations, *violation)
	}
	if violation := c.checkMissing(Stale, read, c.requiredNow); violation != nil {
		violations = append(violations, *violation)
	}
	if read.Kind == FinalRead {
		if violation := c.checkMissing(Lost, read, c.requiredAtEnd); violation != nil {
			violations = append(violations, *violation)
		}
	}
	return violations
}

// checkTwice checks that a read returns at most the sum of the adds that could have counted.
func (c *checker) checkTwice(read Event) *Violation {
	possible := uint64(0)
	for _, a := range c.adds[read.Tally] {
		if a.mayCount && a.startedFirst < read.Ended {
			possible += a.amount
		}
	}
	if read.Total <= possible {
		return nil
	}
	message := fmt.Sprintf("%s at %s reads %d at %v, more than %d, the sum of what could have counted",
		read.Tally, read.Core, read.Total, read.Ended, possible)
	return &Violation{Twice, read, message}
}

// checkMissing checks that a read returns at least the sum of the adds with a required acknowledgement.
func (c *checker) checkMissing(rule Rule, read Event, required func(read, add Event) bool) *Violation {
	sum := uint64(0)
	var newest []Event
	for _, a := range c.adds[read.Tally] {
		for _, acknowledgement := range a.acknowledged {
			if required(read, acknowledgement) {
				sum += a.amount
				newest = append(newest, acknowledgement)
				break
			}
		}
	}
	if read.Total >= sum {
		return nil
	}
	slices.SortFunc(newest, func(a, b Event) int { return int(b.Ended - a.Ended) })
	var named []string
	for _, acknowledgement := range newest[:min(len(newest), maxNamedAdds)] {
		named = append(named, fmt.Sprintf("%s of %d at %s, acknowledged at %v", acknowledgement.ID,
			acknowledgement.Amount, acknowledgement.Core, acknowledgement.Ended))
	}
	message := fmt.Sprintf(
		"%s at %s in its incarnation %q reads %d from %v to %v, less than %d of %d adds; the newest: %s",
		read.Tally, read.Core, read.Incarnation, read.Total, read.Started, read.Ended, sum, len(newest),
		strings.Join(named, "; "))
	return &Violation{rule, read, message}
}

// requiredNow reports whether a read must include an acknowledged add, either because the same incarnation
// acknowledged it earlier, or because the read is undisturbed and requiredAtEnd holds.
func (c *checker) requiredNow(read, acknowledgement Event) bool {
	if acknowledgement.Ended > read.Started {
		return false
	}
	if read.Incarnation != "" && read.Core == acknowledgement.Core &&
		read.Incarnation == acknowledgement.Incarnation {
		return true
	}
	return c.undisturbed(read) && c.requiredAtEnd(read, acknowledgement)
}

// undisturbed reports whether no disturbance overlaps a read or the time Limits.Merge before it.
func (c *checker) undisturbed(read Event) bool {
	for _, d := range c.disturbances {
		if d.to > read.Started-c.limits.Merge && d.from < read.Ended {
			return false
		}
	}
	return true
}

// requiredAtEnd reports whether a final read must include an acknowledged add: one acknowledged at least
// Limits.Merge earlier, unless its loss is excused by lostInPartition.
func (c *checker) requiredAtEnd(read, acknowledgement Event) bool {
	return acknowledgement.Ended <= read.Started-c.limits.Merge && !c.lostInPartition(acknowledgement)
}

// lostInPartition reports whether a core acknowledged an add during a partition, which Limits.Reconnect
// prolongs, and lost its disk after that, before Limits.Merge had passed since the end of the partition.
func (c *checker) lostInPartition(acknowledgement Event) bool {
	for _, partition := range c.partitions {
		if acknowledgement.Ended < partition.from || acknowledgement.Started > partition.to+c.limits.Reconnect {
			continue
		}
		for _, loss := range c.diskLosses {
			if loss.Core == acknowledgement.Core && loss.Started >= acknowledgement.Started &&
				loss.Started < partition.to+c.limits.Merge {
				return true
			}
		}
	}
	return false
}

// checkBackwards checks that a read does not return less than an earlier read of the same incarnation.
func checkBackwards(read Event, earlier []Event) *Violation {
	if read.Outcome != Acknowledged || read.Incarnation == "" {
		return nil
	}
	for _, before := range slices.Backward(earlier) {
		sameIncarnation := before.Core == read.Core && before.Incarnation == read.Incarnation
		if !sameIncarnation || before.Outcome != Acknowledged || before.Ended > read.Started {
			continue
		}
		if before.Total > read.Total {
			message := fmt.Sprintf("%s at %s in its incarnation %q reads %d at %v, but %d at %v",
				read.Tally, read.Core, read.Incarnation, read.Total, read.Ended, before.Total, before.Ended)
			return &Violation{Backwards, read, message}
		}
		return nil // the previous read was itself compared with the earlier ones
	}
	return nil
}
