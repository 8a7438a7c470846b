package supervisor

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/gateway/lifecycle"
	"willowdeck/internal/gateway/recovery/crashstate"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/ruleset/rulefile"
	"willowdeck/internal/testkit/history"
)

const (
	// nobody stands in a configuration for a peer that has no address: what is sent to it is dropped here.
	unroutableAddress = "0.0.0.0:0"
	// toCouncil is the name under reach by which the council's own addresses are rewritten.
	raftOverridesKey = "council"
	maxVoters        = 31 // of a council: each entry waits for half of them
	maxUpstreams     = 16 // of a host's: each is asked in turn while none is fresh
	appliedRulesFile = "rules.json"
)

// CouncilFile is what a fleet's file says of the council; nil where there is none.
type CouncilSettings struct {
	HostName         string                           `toml:"me"`     // this host among the hosts
	RaftListen       string                           `toml:"listen"` // HOST:PORT for the other daemons
	StorePath        string                           `toml:"store"`  // the file of the log
	RulesPath        string                           `toml:"rules"`  // the file of the rules that this daemon proposes
	BootstrapCluster bool                             `toml:"found"`  // on a first start: a council is founded once all hosts are there with empty stores
	RelayListen      string                           `toml:"serve"`  // HOST:PORT for relays that follow this daemon; empty: none do
	Hosts            []struct{ Name, Address string } `toml:"hosts"`
}

// RelayFile is what a fleet's file says of a host that hears by relays what a council has agreed on; nil
// where there is none.
type RelaySettings struct {
	HostName  string   `toml:"me"`       // this host, as members name it
	Upstreams []string `toml:"upstream"` // HOST:PORT of relays, or of council daemons that serve: each may be asked
	StorePath string   `toml:"store"`    // the file of what was heard last, as a base for changes of it
}

// Agreed is a fleet's part in rules that are agreed on, as it is carried out: by a seat in the council, or
// below relays.
type RulesSettings struct {
	Raft             raftlog.Charter
	Relay            *RelaySettings // nil in a council
	Proposed         *ruleset.Rules
	ProposedErr      error  // what is wrong with the rules' file: it keeps a daemon from starting only on its first start
	ProposedStamp    string // of the rules' file: what has not been written since is not proposed anew
	AddressOverrides map[string]map[string]string
	RelayListen      string // HOST:PORT for relays; empty: none follow
}

// agreed checks what the file says of the council, or of relays.
func (f *FleetFile) rulesSettings() (*RulesSettings, error) {
	council := f.Council
	switch {
	case council == nil && f.Relay == nil && len(f.AddressOverrides) > 0:
		return nil, errors.New("reach: it is for agreed rules, and there are none")
	case council == nil && f.Relay == nil:
		return nil, nil
	case council != nil && f.Relay != nil:
		return nil, errors.New("relay: there is a council, and a host that sits in it hears its own word")
	case f.InstanceCount != 0:
		return nil, errors.New("instances: the rules say which there are")
	case f.FirstPeer != "":
		return nil, errors.New("peers: the rules say where they hear")
	case f.Relay != nil:
		return f.relayRulesSettings()
	case council.StorePath == "":
		return nil, errors.New("council.store: there is none")
	case council.RulesPath == "":
		return nil, errors.New("council.rules: there is none")
	case len(council.Hosts) == 0 || len(council.Hosts) > maxVoters:
		return nil, fmt.Errorf("council.hosts: %d are not from 1 to %d", len(council.Hosts), maxVoters)
	}
	settings := &RulesSettings{AddressOverrides: f.AddressOverrides, RelayListen: council.RelayListen, Raft: raftlog.Charter{Cluster: f.Name, Me: council.HostName,
		Listen: council.RaftListen,
		Store:  council.StorePath, Found: council.BootstrapCluster, Reach: f.AddressOverrides[raftOverridesKey]}}
	if _, err := netip.ParseAddrPort(council.RaftListen); err != nil {
		return nil, fmt.Errorf("council.listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(council.RelayListen); err != nil && council.RelayListen != "" {
		return nil, fmt.Errorf("council.serve: %w", err)
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, host := range council.Hosts {
		if host.Name == "" || names[host.Name] {
			return nil, fmt.Errorf("council.hosts.%d.name: %q is none, or another's", i, host.Name)
		}
		if _, err := netip.ParseAddrPort(host.Address); err != nil || addresses[host.Address] {
			return nil, fmt.Errorf("council.hosts.%d.address: %q is none, or another's", i, host.Address)
		}
		names[host.Name], addresses[host.Address] = true, true
		settings.Raft.Hosts = append(settings.Raft.Hosts, raftlog.Host{Name: host.Name, Address: host.Address})
	}
	if !names[council.HostName] {
		return nil, fmt.Errorf("council.me: %q is none of the hosts", council.HostName)
	}
	if err := f.checkAddressOverrides(); err != nil {
		return nil, err
	}
	info, err := os.Stat(council.RulesPath)
	if err != nil {
		return nil, fmt.Errorf("council.rules: %w", err)
	}
	settings.ProposedStamp = fmt.Sprint(info.ModTime().UnixNano(), info.Size())
	rules, err := rulefile.Read(council.RulesPath)
	if settings.Proposed = &rules; err != nil {
		settings.Proposed, settings.ProposedErr = nil, fmt.Errorf("council.rules: %w", err)
	}
	return settings, nil
}

// ways checks the addresses that are reached in place of others.
func (f *FleetFile) checkAddressOverrides() error {
	for name, overrides := range f.AddressOverrides {
		for from, to := range overrides {
			_, fromErr := netip.ParseAddrPort(from)
			_, toErr := netip.ParseAddrPort(to)
			if err := errors.Join(fromErr, toErr); err != nil {
				return fmt.Errorf("reach.%s: %w", name, err)
			}
		}
	}
	return nil
}

// below checks what the file says of relays.
func (f *FleetFile) relayRulesSettings() (*RulesSettings, error) {
	relay, seen := f.Relay, map[string]bool{}
	switch {
	case relay.HostName == "":
		return nil, errors.New("relay.me: there is none")
	case relay.StorePath == "":
		return nil, errors.New("relay.store: there is none")
	case len(relay.Upstreams) == 0 || len(relay.Upstreams) > maxUpstreams:
		return nil, fmt.Errorf("relay.upstream: %d are not from 1 to %d", len(relay.Upstreams), maxUpstreams)
	}
	for i, address := range relay.Upstreams {
		if _, err := netip.ParseAddrPort(address); err != nil || seen[address] {
			return nil, fmt.Errorf("relay.upstream.%d: %q is no address, or there twice", i, address)
		}
		seen[address] = true
	}
	return &RulesSettings{AddressOverrides: f.AddressOverrides, Relay: relay}, f.checkAddressOverrides()
}

// me is this host, as members name it.
func (f *FleetFile) hostName() string {
	if f.Relay != nil {
		return f.Relay.HostName
	}
	return f.Council.HostName
}

// members gives this host's instances by rules. A member's place gives its ports, as it keeps it for life:
// the address for clients is place ports above the first, the two operators' ports twice that.
func (f *FleetFile) instancesOf(r *ruleset.Rules) ([]Instance, error) {
	count, taken := len(r.Members), []portRange(nil)
	if _, err := reservePortRange("control", f.ControlAddress, 1, &taken); err != nil {
		return nil, err
	}
	listens, err := reservePortRange("listen", f.FirstListen, count, &taken)
	if err != nil {
		return nil, err
	}
	admins, err := reservePortRange("operators", f.FirstAdmin, 2*count, &taken)
	if err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(f.GatewayConfig)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var instances []Instance
	for slot, member := range r.Members {
		if member.Name == "" || member.Host != f.hostName() {
			continue
		}
		var peers []string
		if member.Peers != "" {
			for _, other := range r.Members {
				peers = append(peers, f.peerAddress(member.Name, other.Peers))
			}
		}
		instance, gateway, err := f.buildInstance(raw, member.Name, slot, count, listens.address(slot), member.Peers, peers)
		if err != nil {
			return nil, err
		}
		instance.AdminAddresses = [2]string{admins.address(2 * slot), admins.address(2*slot + 1)}
		for _, plan := range r.Plans {
			if _, known := gateway.Names.Plans[plan.Name]; !known {
				return nil, fmt.Errorf("rules: plans.%s: %s has no such tariff", plan.Name, f.GatewayConfig)
			}
		}
		if err := f.checkHostCapacity(gateway, len(instances)+1); err != nil {
			return nil, err
		}
		instances = append(instances, instance)
	}
	return instances, nil
}

// reaches is where a peer hears that one instance speaks to.
func (f *FleetFile) peerAddress(name, peer string) string {
	if peer == "" {
		return unroutableAddress
	}
	if override := f.AddressOverrides[name][peer]; override != "" {
		return override
	}
	return peer
}

// voice is where a daemon hears which rules are in force, and says what its processes go by: its seat in the
// council, or the relays above it. It is safe for concurrent use, and nothing of it waits.
type rulesSource interface {
	Changed() <-chan struct{}
	InForce() ruleset.Version
	Began(pid int, before bool)
	Ended(pid int)
	Asked(pid int, name string, holds uint64, index int64) (ruleset.Lease, bool)
	Highest() int64
	Close()
}

// seat is a daemon's part in agreed rules.
type rulesParticipant struct {
	rulesSource
	voter         *raftlog.Seat // nil below relays
	subscription  *subscription // nil in a council
	publisher     *publisher
	file          *FleetFile
	history       *history.Log
	proposedStamp string
	followEnded   chan struct{}
	relayRoot     *relay.Root // nil where no relay follows
}

// convene takes this host's seat, or its place below relays. Its instances are those of the version that a
// daemon before this one knew last, or of the file.
func (d *Daemon) joinRules(settings *Settings) error {
	rulesSettings := settings.Rules
	if err := settings.restoreAppliedRules(); err != nil {
		return err
	}
	if rulesSettings.ProposedErr != nil {
		d.log.Error().Err(rulesSettings.ProposedErr).Msg("going on with the rules that were carried out last")
	}
	participant := &rulesParticipant{file: settings.file, proposedStamp: rulesSettings.ProposedStamp, followEnded: make(chan struct{})}
	var record history.Recorder
	if dir := os.Getenv("WILLOWDECK_HISTORY"); dir != "" {
		var err error
		path := filepath.Join(dir, fmt.Sprintf("%s.%d.jsonl", settings.file.hostName(), os.Getpid()))
		if participant.history, err = history.Open(path, settings.file.hostName(), crashstate.Uptime()); err != nil {
			return err
		}
		record = participant.history
	}
	var err error
	if rulesSettings.Relay != nil {
		participant.subscription = newSubscription(settings.Name, rulesSettings.Relay, record, d.log)
		participant.rulesSource = participant.subscription
	} else {
		participant.voter, err = raftlog.NewSeat(rulesSettings.Raft, rulesSettings.Proposed, record, d.log)
		participant.rulesSource = participant.voter
	}
	if err != nil {
		_ = participant.history.Close()
		return err
	}
	participant.publisher = newPublisher(settings.Name)
	if rulesSettings.RelayListen != "" {
		if participant.relayRoot, err = relay.NewRoot(participant.voter, rulesSettings.Raft.Me, rulesSettings.Raft.Cluster, rulesSettings.RelayListen, d.log); err != nil {
			participant.Close()
			_ = participant.history.Close()
			return fmt.Errorf("council.serve: %w", err)
		}
	}
	d.rules = participant
	return nil
}

// resume has the instances be those of the rules that were carried out last on this host, if there were any;
// else those of the rules' file, which has to be right then.
func (f *Settings) restoreAppliedRules() error {
	applied, err := f.readAppliedRules()
	if err == nil {
		var instances []Instance
		if instances, err = f.file.instancesOf(applied); err == nil {
			f.Instances, f.fleetSize = instances, len(applied.Members)
			return nil
		}
	}
	return f.Rules.ProposedErr
}

// last gives the rules that were carried out last on this host.
func (f *Settings) readAppliedRules() (*ruleset.Rules, error) {
	raw, err := os.ReadFile(filepath.Join(f.RunDir, appliedRulesFile))
	if err != nil {
		return nil, err
	}
	var version ruleset.Version
	if err := json.Unmarshal(raw, &version); err != nil {
		return nil, err
	}
	if f.Rules.Relay != nil { // a part of them is all that this host is told
		return &version.Rules, ruleset.CheckPart(&version.Rules)
	}
	return &version.Rules, ruleset.Check(&version.Rules)
}

// follow carries out each version that comes in force.
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
			d.log.Error().Err(err).Msg("rules in force that can't be carried out here: instances stay as they are")
		}
		d.reconcile()
		d.mu.Unlock()
	}
}

// carry has the instances be those of the version in force, under the lock.
func (d *Daemon) applyRules() error {
	participant := d.rules
	version := participant.InForce()
	if version.Number == 0 {
		return nil
	}
	instances, err := participant.file.instancesOf(&version.Rules)
	if err != nil {
		return err
	}
	settings := *d.settings
	settings.Instances = instances
	settings.fleetSize = len(version.Rules.Members)
	d.setDesired(&settings)
	raw, err := json.Marshal(version)
	path := filepath.Join(settings.RunDir, appliedRulesFile)
	if err == nil {
		err = os.WriteFile(path+".part", raw, 0o600)
	}
	if err == nil {
		err = os.Rename(path+".part", path)
	}
	if err != nil {
		d.log.Warn().Err(err).Msg("a daemon after this one starts with the instances of its file")
	}
	return nil
}

// recall takes up a file that has been read anew: where the others are, and the rules that it proposes.
func (d *Daemon) reloadRules(settings *Settings) error {
	participant, old, updated := d.rules, d.settings.Rules, settings.Rules
	switch {
	case (old == nil) != (updated == nil) || updated != nil && (old.Relay == nil) != (updated.Relay == nil):
		return errors.New("council, relay: neither can come or go while the daemon runs")
	case updated == nil:
		return nil
	case updated.Relay != nil:
		if old.Relay.HostName != updated.Relay.HostName || old.Relay.StorePath != updated.Relay.StorePath {
			return errors.New("relay.me and relay.store can't change while the daemon runs")
		}
		participant.file = settings.file
		participant.subscription.setUpstreams(updated.Relay.Upstreams)
		return nil
	}
	if updated.ProposedErr != nil {
		return updated.ProposedErr
	}
	oldRaft, newRaft := old.Raft, updated.Raft
	if oldRaft.Me != newRaft.Me || oldRaft.Listen != newRaft.Listen || oldRaft.Store != newRaft.Store || old.RelayListen != updated.RelayListen {
		return errors.New("council.me, .listen, .store and .serve can't change while the daemon runs")
	}
	participant.voter.Hosts(newRaft.Hosts, newRaft.Reach)
	participant.file = settings.file
	if updated.ProposedStamp == participant.proposedStamp {
		return nil
	}
	participant.proposedStamp = updated.ProposedStamp
	proposalID, err := participant.voter.Propose(updated.Proposed)
	if err != nil {
		return fmt.Errorf("council.rules: %w", err)
	}
	d.log.Info().Str("proposal", proposalID).Msg("council: to be proposed")
	return nil
}

// adjourn gives the seat up, once all instances have ended.
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
		d.log.Warn().Err(err).Msg("record")
	}
}

// leaves books a process that a daemon before this one has left and that is to end: until it has, it may go
// by what it was told.
func (d *Daemon) trackOrphan(process *processRecord) {
	if d.rules != nil {
		d.recordStart(process, true)
		d.orphans = append(d.orphans, process)
	}
}

// left books the ends of those, under the lock.
func (d *Daemon) reapOrphans() {
	d.orphans = slices.DeleteFunc(d.orphans, func(process *processRecord) bool {
		if processStartTime(process.PID) == process.StartTime {
			return false
		}
		d.instanceByPID.Delete(process.PID)
		d.rules.Ended(process.PID)
		return true
	})
}

const notConfirmed = "no quorum has confirmed within the lease what is in force"

// asked reads what an instance's question says beside its path, books it, and gives the lease to answer it
// by; false: it has been answered. It waits for nothing: what it says is what a quorum has confirmed last,
// and how long ago that is.
func (d *Daemon) readLeaseRequest(w http.ResponseWriter, r *http.Request) (name string, lease ruleset.Lease, ok bool) {
	query := r.URL.Query()
	name = query.Get("instance")
	pid, err := strconv.Atoi(query.Get("pid"))
	heldStep, holdsErr := strconv.ParseUint(query.Get("holds"), 10, 64)
	index, indexErr := strconv.ParseInt(query.Get("index"), 10, 64)
	if err := errors.Join(err, holdsErr, indexErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return name, lease, false
	}
	if owner, known := d.instanceByPID.Load(pid); !known || owner != name {
		http.Error(w, fmt.Sprintf("%d is no process of %q that this daemon keeps", pid, name), http.StatusForbidden)
		return name, lease, false
	}
	w.Header().Set(lifecycle.IndexHeader, strconv.FormatInt(d.rules.Highest(), 10))
	if lease, ok = d.rules.Asked(pid, name, heldStep, index); !ok {
		http.Error(w, notConfirmed, http.StatusServiceUnavailable)
	}
	return name, lease, ok
}

// rewrites tells whether an instance reaches others at other addresses than they are known by.
func (d *Daemon) hasAddressOverrides(name string) bool {
	overrides := d.addressOverrides.Load()
	return overrides != nil && len((*overrides)[name]) > 0
}

// rewritten are rules with the addresses by which one instance reaches the others.
func (d *Daemon) withAddressOverrides(name string, r *ruleset.Rules) ruleset.Rules {
	rules := *r
	if !d.hasAddressOverrides(name) {
		return rules
	}
	overrides := (*d.addressOverrides.Load())[name]
	rules.Members = slices.Clone(r.Members)
	for i, member := range rules.Members {
		if address := overrides[member.Peers]; address != "" {
			rules.Members[i].Peers = address
		}
	}
	return rules
}

// lease answers an instance of an older program: with all rules, each time.
func (d *Daemon) handleLease(w http.ResponseWriter, r *http.Request) {
	name, lease, ok := d.readLeaseRequest(w, r)
	if !ok {
		return
	}
	lease.Version.Rules = d.withAddressOverrides(name, &lease.Version.Rules)
	raw, err := lease.Bytes()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// Sitting is how the council and its rules stand.
type CouncilStatus struct {
	raftlog.View
	Rules raftlog.Agreement `json:"rules"`
}

// relays tells how those stand that follow this daemon.
func (d *Daemon) handleRelayStatus(w http.ResponseWriter, _ *http.Request) {
	if d.rules.relayRoot == nil {
		http.Error(w, "council.serve: there is none", http.StatusNotFound)
		return
	}
	relay.Show(w, d.rules.relayRoot.Status())
}

func (d *Daemon) handleCouncilStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	_ = encoder.Encode(CouncilStatus{d.rules.voter.View(), d.rules.voter.Agreement()})
}

// rulesText is the version in force as a file of rules, for operators that change it.
func (d *Daemon) handleRules(w http.ResponseWriter, _ *http.Request) {
	version := d.rules.InForce()
	if version.Number == 0 {
		http.Error(w, "no version is in force", http.StatusServiceUnavailable)
		return
	}
	text, err := rulefile.Encode(&version.Rules)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "# version %d\n%s", version.Number, text)
}
