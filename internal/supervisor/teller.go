package supervisor

import (
	"fmt"
	"math/rand"
	"sync"

	"willowdeck/internal/distribution"
	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// teller tells instances what has changed of the rules since they last asked, from what this daemon may tell.
// It is safe for concurrent use.
type teller struct {
	cluster string
	mu      sync.Mutex
	of      map[string]*telling
}

// telling is what instances are told: one for all of them, and one of its own for each that reaches others at
// other addresses.
type telling struct {
	source         *distribution.Source
	step, number   uint64
	rules, pending *versioned.State
}

func newTeller(cluster string) *teller { return &teller{cluster: cluster, of: map[string]*telling{}} }

// longestTold is for how many bytes of whole rules a second instances may be answered with: they are
// processes of this host, as many at most as it keeps, and each asks for the whole once in its life.
const longestTold = 64 << 20

// view is what a lease says as a view; rules are made entries once.
func (t *telling) view(l *ruleset.Lease, now float64) (v distribution.View, err error) {
	if n := l.Version.Number; n != t.number || t.rules == nil {
		if t.rules, err = ruleset.VersionToState(&l.Version); err != nil {
			return v, err
		}
		t.number = n
	}
	if l.Step != t.step {
		t.pending = nil
		if l.Pending != nil {
			if t.pending, err = ruleset.VersionToState(&ruleset.Version{Number: l.Version.Number + 1,
				Rules: *l.Pending}); err != nil {
				return v, err
			}
		}
		t.step = l.Step
	}
	return distribution.View{
		Step:    l.Step,
		Settled: l.TransitionComplete,
		Begun:   now - l.AgeMillis,
		Rules:   t.rules,
		Pending: t.pending,
		Index:   -1,
	}, nil
}

// answer answers an instance; own: it is told what no other is.
func (t *teller) answer(
	a *distribution.Ask,
	own bool,
	now float64,
	view func(*telling) (distribution.View, error),
) (
	*distribution.Answer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := ""
	if own {
		name = a.From
	}
	x := t.of[name]
	if x == nil {
		x = &telling{
			source: distribution.NewSource(t.cluster, t.cluster, distribution.Bounds{WholeRate: longestTold,
				WholeBurst: longestTold, Life: rand.Uint64()}),
		}
		t.of[name] = x
	}
	v, err := view(x)
	if err != nil {
		return nil, err
	}
	x.source.Offer(v)
	return x.source.Answer(a, now)
}

// ask answers an instance with what has changed of the rules, and how long ago they were in force. It waits
// for nothing, as asked does.
func (d *Daemon) ask(a *distribution.Ask) (*distribution.Answer, error) {
	if who, runs := d.pids.Load(a.Process); !runs || who != a.From {
		return nil, &relay.Refusal{Reason: "stranger",
			Says: fmt.Sprintf("%d is no process of %q that this daemon keeps", a.Process, a.From)}
	}
	now := raftlog.BootClockMillis() // no later than the one by which the lease's age is counted
	l, ok := d.seat.RenewLease(a.Process, a.From, a.Holds, a.Index)
	if !ok {
		return nil, &relay.Refusal{Reason: "unconfirmed", Says: notConfirmed}
	}
	a.Cluster, a.Seen = d.seat.teller.cluster, nil // it knows of no cluster, and speaks of itself alone
	own := d.rewrites(a.From)
	told, err := d.seat.teller.answer(a, own, now, func(t *telling) (distribution.View, error) {
		if d.seat.branch != nil && !own { // as it came, whether this program knows all of it or not
			return d.seat.branch.given(), nil
		}
		if own {
			l.Version.Rules = d.rewritten(a.From, &l.Version.Rules)
			if l.Pending != nil {
				p := d.rewritten(a.From, l.Pending)
				l.Pending = &p
			}
		}
		return t.view(&l, now)
	})
	if err != nil {
		return nil, err
	}
	answer := *told
	answer.Index = d.seat.HighestDiscoveryIndex()
	return &answer, nil
}
