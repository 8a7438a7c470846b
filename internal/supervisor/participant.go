package supervisor

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/gateway/recovery/crashstate"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/history"
)

// historyDirVariable is the environment variable that holds the directory of the event history, which tests
// check. If it is not set, no history is written.
const historyDirVariable = "WILLOWDECK_HISTORY"

// rulesSource provides the rules in force to a daemon and receives reports of the steps that its processes
// hold. It is either the host's voter in the raft group or its subscription to relays. It is safe for
// concurrent use, and no method blocks.
type rulesSource interface {
	// Changed returns a channel that receives a value when another version comes into force.
	Changed() <-chan struct{}
	// InForce returns the version in force. The version number is 0 if none is known.
	InForce() ruleset.Version
	// ProcessStarted records a process of this host. adopted is true if an earlier daemon started the process.
	ProcessStarted(pid int, adopted bool)
	// ProcessExited records the exit of a process.
	ProcessExited(pid int)
	// RenewLease records the step that a process holds and the index of its endpoint list from service
	// discovery (-1: none). It returns a lease for the process, or false if no lease can be granted.
	RenewLease(pid int, name string, heldStep uint64, discoveryIndex int64) (ruleset.Lease, bool)
	// HighestDiscoveryIndex returns the highest discovery index that any process has reported.
	HighestDiscoveryIndex() int64
	Close()
}

// rulesParticipant connects a daemon to the replicated ruleset, as a voter or as a subscriber to relays.
type rulesParticipant struct {
	rulesSource
	voter         *raftlog.RulesetNode // nil below relays
	subscription  *subscription        // nil for a voter
	publisher     *publisher
	relayRoot     *relay.Root   // nil if this daemon does not serve relays
	history       *history.Log  // nil if no history is written
	file          *FleetFile    // the file loaded last; guarded by the daemon's lock
	proposedStamp string        // ProposedStamp of the latest proposal; guarded by the daemon's lock
	followEnded   chan struct{} // closed when followRules returns
}

// joinRules makes this host a voter of the raft group, or subscribes it to relays. The daemon starts with the
// instances of the version that was applied last on this host, or with those of the rules file if there is
// none.
func (d *Daemon) joinRules(settings *Settings) error {
	rules := settings.Rules
	if err := settings.restoreAppliedRules(); err != nil {
		return err
	}
	if rules.ProposedErr != nil {
		d.log.Error().
			Err(rules.ProposedErr).
			Msg("rules file invalid: starting with the rules that were applied last")
	}
	participant := &rulesParticipant{
		publisher:     newPublisher(settings.Name),
		file:          settings.file,
		proposedStamp: rules.ProposedStamp,
		followEnded:   make(chan struct{}),
	}
	recorder, err := participant.openHistory()
	if err != nil {
		return err
	}
	if rules.Relay != nil {
		participant.subscription = newSubscription(settings.Name, rules.Relay, recorder, d.log)
		participant.rulesSource = participant.subscription
	} else {
		participant.voter, err = raftlog.NewRulesetNode(rules.Raft, rules.Proposed, recorder, d.log)
		participant.rulesSource = participant.voter
	}
	if err != nil {
		_ = participant.history.Close()
		return err
	}
	if rules.RelayListen != "" {
		participant.relayRoot, err = relay.NewRoot(participant.voter, rules.Raft.HostName, rules.Raft.Cluster,
			rules.RelayListen, d.log)
		if err != nil {
			participant.Close()
			_ = participant.history.Close()
			return fmt.Errorf("council.serve: %w", err)
		}
	}
	d.rules = participant
	return nil
}

// openHistory opens the event history. It returns a nil recorder if historyDirVariable is not set.
func (p *rulesParticipant) openHistory() (history.Recorder, error) {
	dir := os.Getenv(historyDirVariable)
	if dir == "" {
		return nil, nil
	}
	host := p.file.hostName()
	path := filepath.Join(dir, fmt.Sprintf("%s.%d.jsonl", host, os.Getpid()))
	var err error
	if p.history, err = history.Open(path, host, crashstate.UptimeCentiseconds()); err != nil {
		return nil, err
	}
	return p.history, nil
}

// restoreAppliedRules replaces the instances by those of the rules that were applied last on this host. If
// there are no usable applied rules, the instances of the rules file stay, and the error is that of the rules
// file, if it is invalid.
func (s *Settings) restoreAppliedRules() error {
	applied, err := s.readAppliedRules()
	if err != nil {
		return s.Rules.ProposedErr
	}
	instances, err := s.file.instancesOf(applied)
	if err != nil {
		return s.Rules.ProposedErr
	}
	s.Instances, s.fleetSize = instances, len(applied.Members)
	return nil
}

// followRules applies each version that comes into force, until all instances have stopped.
func (d *Daemon) followRules() {
	defer close(d.rules.followEnded)
	for {
		select {
		case <-d.allStopped:
			return
		case <-d.rules.Changed():
		}
		d.mu.Lock()
		if err := d.applyRules(); err != nil {
			d.log.Error().Err(err).Msg("rules in force cannot be applied on this host: instances stay as they are")
		}
		d.reconcile()
		d.mu.Unlock()
	}
}

// applyRules sets the desired instances to those of the version in force. The caller holds the lock.
func (d *Daemon) applyRules() error {
	version := d.rules.InForce()
	if version.Number == 0 {
		return nil
	}
	instances, err := d.rules.file.instancesOf(&version.Rules)
	if err != nil {
		return err
	}
	settings := *d.settings
	settings.Instances = instances
	settings.fleetSize = len(version.Rules.Members)
	d.setDesired(&settings)
	if err := writeAppliedRules(settings.RunDir, &version); err != nil {
		d.log.Warn().Err(err).
			Msg("applied rules not saved: the next daemon may start with the instances of older rules")
	}
	return nil
}

// reloadRules applies reloaded settings. A voter uses the new addresses of the other hosts and proposes its
// rules file if that has changed; a subscriber uses the new list of relays. The caller holds the lock.
func (d *Daemon) reloadRules(settings *Settings) error {
	old, updated := d.settings.Rules, settings.Rules
	switch {
	case (old == nil) != (updated == nil) || updated != nil && (old.Relay == nil) != (updated.Relay == nil):
		return errors.New("council, relay: neither can be added or removed while the daemon runs")
	case updated == nil:
		return nil
	case updated.Relay != nil:
		if old.Relay.HostName != updated.Relay.HostName || old.Relay.StorePath != updated.Relay.StorePath {
			return errors.New("relay.me and relay.store can't change while the daemon runs")
		}
		d.rules.file = settings.file
		d.rules.subscription.setUpstreams(updated.Relay.Upstreams)
		return nil
	}
	if updated.ProposedErr != nil {
		return updated.ProposedErr
	}
	if old.Raft.HostName != updated.Raft.HostName || old.Raft.Listen != updated.Raft.Listen ||
		old.Raft.StorePath != updated.Raft.StorePath || old.RelayListen != updated.RelayListen {
		return errors.New("council.me, .listen, .store and .serve can't change while the daemon runs")
	}
	d.rules.voter.SetHosts(updated.Raft.Hosts, updated.Raft.AddressOverrides)
	d.rules.file = settings.file
	if updated.ProposedStamp == d.rules.proposedStamp {
		return nil
	}
	d.rules.proposedStamp = updated.ProposedStamp
	proposalID, err := d.rules.voter.Propose(updated.Proposed)
	if err != nil {
		return fmt.Errorf("council.rules: %w", err)
	}
	d.log.Info().Str("proposal", proposalID).Msg("rules file submitted as a proposal")
	return nil
}

// leaveRules waits until followRules has returned, which it does once all instances have stopped, and closes
// the relay root, the rules source and the event history.
func (d *Daemon) leaveRules() {
	if d.rules == nil {
		return
	}
	<-d.rules.followEnded
	if d.rules.relayRoot != nil {
		d.rules.relayRoot.Close()
	}
	d.rules.Close()
	if err := d.rules.history.Close(); err != nil {
		d.log.Warn().Err(err).Msg("event history not closed")
	}
}
