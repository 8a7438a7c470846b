package supervisor

import (
	"math/rand"
	"sync"

	"willowdeck/internal/distribution"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// fullStateBytesPerSecond is the rate limit of responses that carry a full version, and its burst in bytes.
// The limit can be high because instances are processes of this host, and each process needs the full version
// only once.
const fullStateBytesPerSecond = 64 << 20

// publisher answers update requests of instances with the changes of the rules since the version that the
// instance holds. It is safe for concurrent use.
type publisher struct {
	cluster string

	mu           sync.Mutex
	publications map[string]*publication // by instance name; "" for those without address overrides
}

// publication is the source of rules for one group of instances. All instances without address overrides
// share one publication; each instance with overrides has its own. The publisher's lock guards it.
type publication struct {
	source  *distribution.Source
	step    uint64 // step of the lease that pending was made from
	version uint64 // version number of rules
	rules   *versioned.State
	pending *versioned.State
}

func newPublisher(cluster string) *publisher {
	return &publisher{cluster: cluster, publications: map[string]*publication{}}
}

// answer publishes the current snapshot and responds to an instance's request from it. currentSnapshot is
// called under the publisher's lock. An instance with address overrides has its own publication. nowMillis is
// the time by raftlog.BootClockMillis.
func (p *publisher) answer(request *distribution.Request, overridden bool, nowMillis float64,
	currentSnapshot func(*publication) (distribution.Snapshot, error)) (*distribution.Response, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := ""
	if overridden {
		name = request.Sender
	}
	current := p.publications[name]
	if current == nil {
		current = &publication{source: distribution.NewSource(p.cluster, p.cluster, distribution.SourceConfig{
			FullStateBytesPerSecond: fullStateBytesPerSecond,
			FullStateBurstBytes:     fullStateBytesPerSecond,
			Incarnation:             rand.Uint64(),
		})}
		p.publications[name] = current
	}
	snapshot, err := currentSnapshot(current)
	if err != nil {
		return nil, err
	}
	current.source.Publish(snapshot)
	return current.source.Respond(request, nowMillis)
}

// snapshotOf returns the snapshot of a lease. The states of the rules and the pending rules are encoded only
// when the version number or the step changes.
func (p *publication) snapshotOf(
	lease *ruleset.Lease,
	nowMillis float64,
) (snapshot distribution.Snapshot, err error) {
	if number := lease.Version.Number; number != p.version || p.rules == nil {
		if p.rules, err = ruleset.VersionToState(&lease.Version); err != nil {
			return snapshot, err
		}
		p.version = number
	}
	if lease.Step != p.step {
		p.pending = nil
		if lease.Pending != nil {
			next := ruleset.Version{Number: lease.Version.Number + 1, Rules: *lease.Pending}
			if p.pending, err = ruleset.VersionToState(&next); err != nil {
				return snapshot, err
			}
		}
		p.step = lease.Step
	}
	return distribution.Snapshot{
		Step:               lease.Step,
		TransitionComplete: lease.TransitionComplete,
		ReadStartMillis:    nowMillis - lease.AgeMillis,
		Rules:              p.rules,
		Pending:            p.pending,
		DiscoveryIndex:     -1,
	}, nil
}
