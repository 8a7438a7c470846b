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

// Quorum is what a Root needs of a member of the raft group; raftlog.RulesetNode implements it.
type Quorum interface {
	LastConfirmed() (raftlog.ConfirmedState, bool)
	Confirmations() <-chan struct{}
	RecordHostAcks(acks []ruleset.HostAck, highestIndex int64)
	HighestDiscoveryIndex() int64
	RequestFrequentReads()
}

const (
	rootMaxConnections = 4096
	// rootFullStateBytesPerSecond is the rate limit of full states and its burst: a tenth of a core.
	rootFullStateBytesPerSecond = 8 << 20
	rootLeaseMillis             = 1000.0 // by which active clients are counted
)

// Root serves what a quorum has confirmed. It is the upstream of the first level of relays.
type Root struct {
	name, cluster string
	log           zerolog.Logger
	quorum        Quorum
	server        *server
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup

	mu             sync.Mutex // guards what follows
	snapshot       distribution.Snapshot
	rules, pending *versioned.State // of the snapshot, or of one that could not be published completely
}

// NewRoot listens at an address. Name is the host of the daemon.
func NewRoot(quorum Quorum, name, cluster, listen string, log zerolog.Logger) (*Root, error) {
	r := &Root{name: name, cluster: cluster, log: log, quorum: quorum}
	source := distribution.NewSource(name, cluster, distribution.SourceConfig{
		FullStateBytesPerSecond: rootFullStateBytesPerSecond,
		FullStateBurstBytes:     rootFullStateBytesPerSecond,
		Incarnation:             rand.Uint64(),
	})
	var err error
	r.server, err = startServer(listen, rootMaxConnections, rootLeaseMillis, source, quorum.RecordHostAcks)
	if err != nil {
		return nil, err
	}
	quorum.RequestFrequentReads()
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		for {
			select {
			case <-ctx.Done():
				return
			case <-quorum.Confirmations():
				r.publish()
			}
		}
	}()
	return r, nil
}

// Address is where the root listens.
func (r *Root) Address() string { return r.server.address }

// Close stops the root and waits for all of its goroutines.
func (r *Root) Close() {
	r.cancel()
	r.server.close()
	r.goroutines.Wait()
}

// publish publishes what the quorum confirmed last. The rules of a version are made a state once. A pending
// version is made one at each step, as a withdrawn one may have had its number.
func (r *Root) publish() {
	confirmed, ok := r.quorum.LastConfirmed()
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := distribution.Snapshot{
		Step:               confirmed.Step,
		TransitionComplete: confirmed.TransitionComplete,
		ReadStartMillis:    confirmed.ReadStartMillis,
		DiscoveryIndex:     r.quorum.HighestDiscoveryIndex(),
	}
	if confirmed.Step != r.snapshot.Step || r.rules == nil {
		rules, err := stateOf(r.rules, &confirmed.InForce)
		var pending *versioned.State
		if err == nil && confirmed.Pending != nil {
			pending, err = ruleset.VersionToState(confirmed.Pending)
		}
		if err != nil {
			r.log.Error().Err(err).Uint64("step", confirmed.Step).Msg("version in force can't be encoded")
			return
		}
		r.rules, r.pending = rules, pending
	}
	snapshot.Rules, snapshot.Pending = r.rules, r.pending
	r.snapshot = snapshot
	r.server.publish(snapshot)
}

// stateOf gives the state of a version, which may be the known one.
func stateOf(known *versioned.State, version *ruleset.Version) (*versioned.State, error) {
	if known != nil && known.ID().Number == version.Number {
		return known, nil
	}
	return ruleset.VersionToState(version)
}
