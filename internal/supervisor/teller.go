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
func (t *telling) view(l *ruleset.Lease, now float64) (v distribution.Snapshot, err error) {
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
	return distribution.Snapshot{
		Step:               l.Step,
		TransitionComplete: l.TransitionComplete,
		ReadStartMillis:    now - l.AgeMillis,
		Rules:              t.rules,
		Pending:            t.pending,
		DiscoveryIndex:     -1,
	}, nil
}

// answer answers an instance; own: it is told what no other is.
func (t *teller) answer(
	a *distribution.Request,
	own bool,
	now float64,
	view func(*telling) (distribution.Snapshot, error),
) (
	*distribution.Response, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := ""
	if own {
		name = a.Sender
	}
	x := t.of[name]
	if x == nil {
		x = &telling{
			source: distribution.NewSource(t.cluster, t.cluster,
				distribution.SourceConfig{FullStateBytesPerSecond: longestTold,
					FullStateBurstBytes: longestTold, Incarnation: rand.Uint64()}),
		}
		t.of[name] = x
	}
	v, err := view(x)
	if err != nil {
		return nil, err
	}
	x.source.Publish(v)
	return x.source.Respond(a, now)
}

// ask answers an instance with what has changed of the rules, and how long ago they were in force. It waits
// for nothing, as asked does.
func (d *Daemon) ask(a *distribution.Request) (*distribution.Response, error) {
	if who, runs := d.pids.Load(a.ProcessID); !runs || who != a.Sender {
		return nil, &relay.RejectionError{Reason: "stranger",
			Message: fmt.Sprintf("%d is no process of %q that this daemon keeps", a.ProcessID, a.Sender)}
	}
	now := raftlog.BootClockMillis() // no later than the one by which the lease's age is counted
	l, ok := d.seat.RenewLease(a.ProcessID, a.Sender, a.AckedStep, a.DiscoveryIndex)
	if !ok {
		return nil, &relay.RejectionError{Reason: "unconfirmed", Message: notConfirmed}
	}
	a.Cluster, a.HostAcks = d.seat.teller.cluster, nil // it knows of no cluster, and speaks of itself alone
	own := d.rewrites(a.Sender)
	told, err := d.seat.teller.answer(a, own, now, func(t *telling) (distribution.Snapshot, error) {
		if d.seat.branch != nil && !own { // as it came, whether this program knows all of it or not
			return d.seat.branch.given(), nil
		}
		if own {
			l.Version.Rules = d.rewritten(a.Sender, &l.Version.Rules)
			if l.Pending != nil {
				p := d.rewritten(a.Sender, l.Pending)
				l.Pending = &p
			}
		}
		return t.view(&l, now)
	})
	if err != nil {
		return nil, err
	}
	answer := *told
	answer.DiscoveryIndex = d.seat.HighestDiscoveryIndex()
	return &answer, nil
}
