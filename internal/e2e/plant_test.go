package e2e

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"willowdeck/internal/testkit/history"
)

// plants are breaks that are put into a record that has none: what the check of a name has to find, and what
// it has to say of it.
var plants = []struct {
	name, check, says string
	into              func(e *evidence) bool
}{
	{"a once-only txn runs again", "five rules", "once-only, and run 2 times", func(e *evidence) bool {
		return e.again(e.last(func(o history.Event) bool {
			return o.Kind == history.Ran && e.asks()[o.Txn].Product == "issue"
		}), 0)
	}},
	{"two final answers", "five rules", "a second final answer", func(e *evidence) bool {
		return e.again(e.last(settled), 0)
	}},
	{"sent after its final answer", "five rules", "after its final answer", func(e *evidence) bool {
		i := e.last(settled)
		return e.again(e.last(func(o history.Event) bool {
			return o.Kind == history.Sends && o.Txn == e.Events[i].Txn
		}), e.Events[i].At+1e6)
	}},
	{"an answer that never came", "five rules", "no final answer", func(e *evidence) bool {
		r, _ := e.judged()
		left := map[string]bool{}
		for _, o := range r.Events {
			left[o.Txn] = left[o.Txn] || o.Kind == history.Ends && o.Says == history.Left
		}
		return e.drop(e.last(func(o history.Event) bool { return settled(o) && !left[o.Txn] }))
	}},
	{"sent to a worker that drains", "five rules", "told to drain or gone", func(e *evidence) bool {
		type word struct{ who, worker string }
		shut := map[word]int64{}
		for i := range e.Events {
			o := &e.Events[i]
			switch {
			case o.Kind == history.Began:
				maps.DeleteFunc(shut, func(w word, _ int64) bool { return w.who == o.Who })
			case o.Kind == history.Notified && o.Mode == history.Active:
				delete(shut, word{o.Who, o.Worker})
			case o.Kind == history.Notified:
				shut[word{o.Who, o.Worker}] = o.At
			case o.Kind == history.Sends:
				for w, at := range shut {
					if w.who == o.Who && o.At > at+int64(2*bunched*1e6) {
						o.Worker = w.worker
						return true
					}
				}
			}
		}
		return false
	}},
	{"a unit more sent than a ceiling lets pass", "five rules", "beyond its ceiling", func(e *evidence) bool {
		return e.more(history.Sends, "capped", (depth+ceiling*bunched/1000)*float64(len(e.members)))
	}},
	{"a cold worker gets a warm one's load at once", "five rules", "bears", func(e *evidence) bool {
		cold := map[string]bool{} // told of by any
		for _, o := range e.Events {
			if o.Kind == history.Began && o.Who[0] == 'w' && o.Incarnation > 1 {
				cold[o.Who] = true
			}
			if o.Kind == history.Notified && o.Mode == history.Active && cold[o.Worker] {
				var all []history.Event
				ask := e.Events[e.last(func(a history.Event) bool {
					return a.Kind == history.Asks && a.Plan == "basic" && a.Peer == o.Who
				})]
				for n := range int(perS) {
					ask.Txn, ask.At = fmt.Sprint("planted ", n), o.At+2e6
					send := history.Event{At: ask.At, Who: o.Who, Incarnation: o.Incarnation, Seq: o.Seq,
						Kind:   history.Sends,
						Worker: o.Worker, Txn: ask.Txn}
					all = append(all, ask, send)
				}
				i := slices.IndexFunc(e.Events, func(a history.Event) bool { return a.At > o.At+2e6 })
				e.Events = slices.Insert(e.Events, i, all...)
				return true
			}
		}
		return false
	}},
	{"a unit more got than a ceiling lets pass", "ceiling", "over", func(e *evidence) bool {
		return e.more(history.Got, "capped", (depth+ceiling*bunched/1000)*float64(len(e.members)))
	}},
	{"sent under a ceiling by no version", "ceiling", "sent bare", func(e *evidence) bool {
		asks := e.asks()
		return e.change(func(o history.Event) bool {
			return o.Kind == history.Sends && asks[o.Txn].Plan == "capped"
		}, func(o *history.Event) { o.Mode = history.Bare })
	}},
	{"a unit more got than the quota and the line give", "window of credit", "over", func(e *evidence) bool {
		return e.more(history.Got, "lent", lentAll+lentRate*lentS+hearsay)
	}},
	{"a worker is named an old version", "contradiction", "names version 1", func(e *evidence) bool {
		return e.change(func(o history.Event) bool { return o.Kind == history.Got && o.Version > 1 },
			func(o *history.Event) { o.Version = 1 })
	}},
	{"one goes on by rules that the others have left", "contradiction", "contradict each other",
		func(e *evidence) bool {
			low := history.Stance{Version: e.highest(), Mode: history.Leased}
			for i, o := range e.Events {
				first := history.Stance{Version: o.Version, Mode: o.Mode}
				if o.Kind != history.Acts || !history.Leases(e.rules)(first, low) || !e.acts(o, low) {
					continue
				}
				e.Events = append(slices.Clone(e.Events[:i+1]), slices.DeleteFunc(e.Events[i+1:],
					func(later history.Event) bool {
						of := later.Who == o.Who && later.Incarnation == o.Incarnation
						return later.Kind == history.Got || of && (later.Kind == history.Acts || later.Kind == history.Sends)
					})...)
				return true
			}
			return false
		}},
	{"a version of two contents", "versions", "is not the same", func(e *evidence) bool {
		return e.change(func(o history.Event) bool { return o.Kind == history.ReportedInForce },
			func(o *history.Event) { o.Digest = "another" })
	}},
	{"a version that was in force is read again", "versions", "was in force", func(e *evidence) bool {
		return e.change(func(o history.Event) bool { return o.Kind == history.ReportedInForce && o.Version > 2 },
			func(o *history.Event) { o.Version, o.Age, o.Digest = 1, 1, "" })
	}},
	{"a loan counted once too few", "ledger", "does not owe", func(e *evidence) bool {
		return e.drop(e.last(func(o history.Event) bool { return o.Kind == history.Lends }))
	}},
	{"a right taken twice", "ledger", "again", func(e *evidence) bool {
		return e.again(e.last(func(o history.Event) bool { return o.Kind == history.Takes && o.Says == "" }), 0)
	}},
	{"a hand-over believed twice", "heard twice", "again", func(e *evidence) bool {
		return e.again(e.last(func(o history.Event) bool { return o.Kind == history.Takes }), 0)
	}},
	{"sent against the operators' word", "words", "word", func(e *evidence) bool {
		barred := func(o history.Event) string {
			for _, w := range e.rules[o.Version].WorkerOverrides {
				if w.Barred || w.Drained {
					return w.Worker
				}
			}
			return ""
		}
		return e.change(func(o history.Event) bool { return o.Kind == history.Sends && barred(o) != "" },
			func(o *history.Event) { o.Worker = barred(*o) })
	}},
}

func settled(o history.Event) bool { return o.Kind == history.Ends && o.Says == history.Succeeded }

// highest gives the last version in force.
func (e *evidence) highest() (n uint64) {
	for v := range e.rules {
		n = max(n, v)
	}
	return n
}

// acts tells whether the life that an event is of goes by a stance.
func (e *evidence) acts(life history.Event, s history.Stance) bool {
	return slices.ContainsFunc(e.Events, func(o history.Event) bool {
		return o.Kind == history.Acts && o.Who == life.Who && o.Incarnation == life.Incarnation &&
			o.Version == s.Version &&
			o.Mode == s.Mode
	})
}

// asks gives what clients have asked for.
func (e *evidence) asks() map[string]history.Event {
	all := map[string]history.Event{}
	for _, o := range e.Events {
		if o.Kind == history.Asks {
			all[o.Txn] = o
		}
	}
	return all
}

// last finds the last event of a kind; -1 is none.
func (e *evidence) last(is func(history.Event) bool) int {
	for i, o := range slices.Backward(e.Events) {
		if is(o) {
			return i
		}
	}
	return -1
}

// change alters the last event of a kind; false where there is none.
func (e *evidence) change(is func(history.Event) bool, to func(*history.Event)) bool {
	i := e.last(is)
	if i >= 0 {
		to(&e.Events[i])
	}
	return i >= 0
}

// again puts an event in once more, at a time or at once; drop takes it away. False where it is none.
func (e *evidence) again(i int, at int64) bool {
	if i < 0 {
		return false
	}
	o := e.Events[i]
	o.At = max(at, o.At+1)
	j := i + 1
	for j < len(e.Events) && e.Events[j].At < o.At {
		j++
	}
	e.Events = slices.Insert(e.Events, j, o)
	return true
}

func (e *evidence) drop(i int) bool {
	if i >= 0 {
		e.Events = slices.Delete(e.Events, i, i+1)
	}
	return i >= 0
}

// more has so many units of a plan come at once, and one more.
func (e *evidence) more(kind history.Kind, plan string, units float64) bool {
	asks := e.asks()
	i := e.last(func(o history.Event) bool { return o.Kind == kind && asks[o.Txn].Plan == plan })
	if i < 0 {
		return false
	}
	var all []history.Event
	for n := range int(units) + 2 {
		ask, o := asks[e.Events[i].Txn], e.Events[i]
		ask.Txn = fmt.Sprint("planted ", n)
		ask.At, o.Txn = o.At, ask.Txn
		all = append(all, ask, o)
	}
	e.Events = slices.Insert(e.Events, i+1, all...)
	return true
}

// planted puts each plant into a record in which no check finds anything.
func planted(t *testing.T, e *evidence) {
	t.Helper()
	for _, p := range plants {
		t.Run(p.name, func(t *testing.T) {
			spoilt := *e
			spoilt.Events = slices.Clone(e.Events)
			if !p.into(&spoilt) {
				if *seed != ciSeed || *long > 0 || *replay != "" {
					t.Skip("the record has no place for it")
				}
				t.Fatal("the record has no place for it")
			}
			for _, check := range checks {
				if check.name != p.check {
					continue
				}
				if v := check.run(&spoilt); v.Count == 0 || !strings.Contains(v.String(), p.says) {
					t.Errorf("%s does not find it: %.2000s", check.name, v.Result)
				}
			}
		})
	}
}
