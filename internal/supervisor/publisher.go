package supervisor

import (
	"math/rand"
	"sync"

	"willowdeck/internal/distribution"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// fullStateBytesPerSecond bounds the answers with a full version, in bytes a second and as a burst: instances
// are processes of this host, and each needs the full version once in its life.
const fullStateBytesPerSecond = 64 << 20

// publisher answers instances with what has changed of the rules since they last asked. It is safe for
// concurrent use.
type publisher struct {
	cluster string

	mu           sync.Mutex
	publications map[string]*publication // by the instance's name; "" is that of all without address overrides
}

// publication is what is published to instances: one for all of them, and one for each with address
// overrides. The lock of the publisher guards it.
type publication struct {
	source  *distribution.Source
	step    uint64 // of pending
	version uint64 // of rules
	rules   *versioned.State
	pending *versioned.State
}

func newPublisher(cluster string) *publisher {
	return &publisher{cluster: cluster, publications: map[string]*publication{}}
}

// answer answers an instance by the snapshot that is current under the publisher's lock. An instance with
// address overrides has a publication of its own. The time is milliseconds of raftlog.BootClockMillis.
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

// snapshotOf returns the snapshot of a lease. The entries of a version are made once.
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
