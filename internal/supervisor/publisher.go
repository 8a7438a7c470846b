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
type publisher struct {
	cluster      string
	mu           sync.Mutex
	publications map[string]*publication
}

// telling is what instances are told: one for all of them, and one of its own for each that reaches others at
// other addresses.
type publication struct {
	source         *distribution.Source
	step, version  uint64
	rules, pending *versioned.State
}

func newPublisher(cluster string) *publisher {
	return &publisher{cluster: cluster, publications: map[string]*publication{}}
}

// longestTold is for how many bytes of whole rules a second instances may be answered with: they are
// processes of this host, as many at most as it keeps, and each asks for the whole once in its life.
const fullStateBytesPerSecond = 64 << 20

// view is what a lease says as a view; rules are made entries once.
func (t *publication) viewOf(lease *ruleset.Lease, now float64) (view distribution.View, err error) {
	if number := lease.Version.Number; number != t.version || t.rules == nil {
		if t.rules, err = ruleset.Entries(&lease.Version); err != nil {
			return view, err
		}
		t.version = number
	}
	if lease.Step != t.step {
		t.pending = nil
		if lease.Pending != nil {
			if t.pending, err = ruleset.Entries(&ruleset.Version{Number: lease.Version.Number + 1,
				Rules: *lease.Pending}); err != nil {
				return view, err
			}
		}
		t.step = lease.Step
	}
	return distribution.View{
		Step:    lease.Step,
		Settled: lease.Settled,
		Begun:   now - lease.Age,
		Rules:   t.rules,
		Pending: t.pending,
		Index:   -1,
	}, nil
}

// answer answers an instance; own: it is told what no other is.
func (p *publisher) answer(
	request *distribution.Ask,
	overridden bool,
	now float64,
	view func(*publication) (distribution.View, error),
) (
	*distribution.Answer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := ""
	if overridden {
		name = request.From
	}
	pub := p.publications[name]
	if pub == nil {
		pub = &publication{
			source: distribution.NewSource(p.cluster, p.cluster, distribution.Bounds{WholeRate: fullStateBytesPerSecond,
				WholeBurst: fullStateBytesPerSecond, Life: rand.Uint64()}),
		}
		p.publications[name] = pub
	}
	current, err := view(pub)
	if err != nil {
		return nil, err
	}
	pub.source.Offer(current)
	return pub.source.Answer(request, now)
}

// ask answers an instance with what has changed of the rules, and how long ago they were in force. It waits
// for nothing, as asked does.
func (d *Daemon) answerUpdateRequest(request *distribution.Ask) (*distribution.Answer, error) {
	if owner, known := d.instanceByPID.Load(request.Process); !known || owner != request.From {
		return nil, &relay.Refusal{Reason: "stranger",
			Says: fmt.Sprintf("%d is no process of %q that this daemon keeps", request.Process, request.From)}
	}
	now := raftlog.Clock() // no later than the one by which the lease's age is counted
	lease, ok := d.rules.Asked(request.Process, request.From, request.Holds, request.Index)
	if !ok {
		return nil, &relay.Refusal{Reason: "unconfirmed", Says: notConfirmed}
	}
	request.Cluster, request.Seen = d.rules.publisher.cluster, nil // it knows of no cluster, and speaks of itself alone
	overridden := d.hasAddressOverrides(request.From)
	published, err := d.rules.publisher.answer(request, overridden, now, func(publication *publication) (distribution.View, error) {
		if d.rules.subscription != nil && !overridden { // as it came, whether this program knows all of it or not
			return d.rules.subscription.currentView(), nil
		}
		if overridden {
			lease.Version.Rules = d.withAddressOverrides(request.From, &lease.Version.Rules)
			if lease.Pending != nil {
				pending := d.withAddressOverrides(request.From, lease.Pending)
				lease.Pending = &pending
			}
		}
		return publication.viewOf(&lease, now)
	})
	if err != nil {
		return nil, err
	}
	answer := *published
	answer.Index = d.rules.Highest()
	return &answer, nil
}
