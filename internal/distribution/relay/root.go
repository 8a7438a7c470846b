package relay

import (
	"context"
	"math/rand"
	"sync"

	"github.com/rs/zerolog"

	"willowdeck/internal/distribution"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// Quorum is what a Root needs of a council's daemon; see raftlog.RulesetNode.
type Quorum interface {
	LastConfirmed() (raftlog.ConfirmedState, bool)
	Confirmations() <-chan struct{}
	RecordHostAcks(all []ruleset.HostAck, index int64)
	HighestDiscoveryIndex() int64
	RequestFrequentReads()
}

const (
	rootMaxConnections          = 4096
	rootFullStateBytesPerSecond = 8 << 20 // bytes of whole states in a second, and at once: a tenth of a core
	rootLeaseMillis             = 1000.0  // ms, for who counts as below
)

// Root serves what a quorum has confirmed to those that follow it.
type Root struct {
	name, cluster string
	log           zerolog.Logger
	quorum        Quorum
	server        *server
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup

	mu             sync.Mutex
	snapshot       distribution.Snapshot
	rules, pending *versioned.State
}

// NewRoot begins to listen at an address. Name is the daemon's host.
func NewRoot(q Quorum, name, cluster, listen string, log zerolog.Logger) (*Root, error) {
	r := &Root{name: name, cluster: cluster, log: log, quorum: q}
	g, err := startServer(listen, rootMaxConnections, rootLeaseMillis, distribution.NewSource(name, cluster,
		distribution.SourceConfig{FullStateBytesPerSecond: rootFullStateBytesPerSecond,
			FullStateBurstBytes: rootFullStateBytesPerSecond, Incarnation: rand.Uint64()}), q.RecordHostAcks)
	if err != nil {
		return nil, err
	}
	r.server = g
	q.RequestFrequentReads()
	ctx, stop := context.WithCancel(context.Background())
	r.cancel = stop
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		for {
			select {
			case <-ctx.Done():
				return
			case <-q.Confirmations():
				r.publish()
			}
		}
	}()
	return r, nil
}

// At is where it listens.
func (r *Root) Address() string { return r.server.address }

// Close ends it and waits for all of its goroutines.
func (r *Root) Close() {
	r.cancel()
	r.server.close()
	r.goroutines.Wait()
}

// offer gives on what was confirmed last. A version is made entries once; what waits has its own number, and
// one that was withdrawn may have had the same.
func (r *Root) publish() {
	w, ok := r.quorum.LastConfirmed()
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v := distribution.Snapshot{Step: w.Step, Settled: w.TransitionComplete, ReadStartMillis: w.ReadStartMillis,
		DiscoveryIndex: r.quorum.HighestDiscoveryIndex()}
	if w.Step != r.snapshot.Step || r.rules == nil {
		rules, err := r.stateOf(r.rules, &w.InForce)
		var pending *versioned.State
		if err == nil && w.Pending != nil {
			pending, err = ruleset.VersionToState(w.Pending)
		}
		if err != nil {
			r.log.Error().Err(err).Uint64("step", w.Step).Msg("what is in force can't be given on")
			return
		}
		r.rules, r.pending = rules, pending
	}
	v.Rules, v.Pending = r.rules, r.pending
	r.snapshot = v
	r.server.publish(v)
}

// entries gives a version as a state, or the one that is there already.
func (r *Root) stateOf(had *versioned.State, v *ruleset.Version) (*versioned.State, error) {
	if had != nil && had.ID().Number == v.Number {
		return had, nil
	}
	return ruleset.VersionToState(v)
}

// Status tells how it stands.
func (r *Root) Status() Status {
	s := Status{Name: r.name, Cluster: r.cluster, FormatVersion: distribution.FormatVersion, AgeMillis: -1}
	r.mu.Lock()
	if r.snapshot.Rules != nil {
		s.setSnapshot(&r.snapshot)
	}
	r.mu.Unlock()
	r.server.fillStatus(&s)
	return s
}
