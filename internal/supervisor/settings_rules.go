package supervisor

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/ruleset/rulefile"
)

const (
	// unroutableAddress stands in an instance's configuration for each member that has no peer address.
	// Messages sent to it are dropped on this host.
	unroutableAddress = "0.0.0.0:0"
	// raftOverridesKey is the key in FleetFile.AddressOverrides of the overrides that the raft group uses; the
	// other keys are instance names.
	raftOverridesKey = "council"
	// maxVoters limits the hosts of a raft group, because each log entry waits for a majority of them.
	maxVoters = 31
	// maxUpstreams limits the upstream relays of a host, because the host tries them one after another while
	// none has fresh rules.
	maxUpstreams = 16
)

// RaftGroupSettings are the settings of a host that is a voter of the raft group (settings key council).
type RaftGroupSettings struct {
	HostName   string `toml:"me"`     // name of this host; one of Hosts
	RaftListen string `toml:"listen"` // IP:PORT for the other voters
	StorePath  string `toml:"store"`  // file of the raft log
	RulesPath  string `toml:"rules"`  // file of the rules that this daemon proposes
	// BootstrapCluster permits bootstrapping a new raft group once all hosts are up with empty stores.
	BootstrapCluster bool                             `toml:"found"`
	RelayListen      string                           `toml:"serve"` // IP:PORT for relays; empty: disabled
	Hosts            []struct{ Name, Address string } `toml:"hosts"`
}

// RelaySettings are the settings of a host that subscribes to the ruleset through relays (settings key
// relay).
type RelaySettings struct {
	HostName  string   `toml:"me"`       // name of this host in Member.Host of the rules
	Upstreams []string `toml:"upstream"` // IP:PORT of relays, or of voters that serve relays
	StorePath string   `toml:"store"`    // checkpoint file of the version received last, the base for deltas
}

// RulesSettings are the validated settings of a host's access to the ruleset, as a voter or as a subscriber
// to relays.
type RulesSettings struct {
	Raft             raftlog.Config // of a voter
	Relay            *RelaySettings // nil for a voter
	Proposed         *ruleset.Rules // content of the rules file; nil if it is invalid, and for a subscriber
	ProposedErr      error          // why the rules file is invalid; fatal only if no rules were applied
	ProposedStamp    string         // time and size of the rules file; an unchanged file is not proposed
	AddressOverrides map[string]map[string]string
	RelayListen      string // IP:PORT for relays; empty: relays are not served
}

// rulesSettings validates the settings of the ruleset. It returns nil if the file has neither council nor
// relay.
func (f *FleetFile) rulesSettings() (*RulesSettings, error) {
	switch {
	case f.Council == nil && f.Relay == nil && len(f.AddressOverrides) > 0:
		return nil, errors.New("reach: requires council or relay")
	case f.Council == nil && f.Relay == nil:
		return nil, nil
	case f.Council != nil && f.Relay != nil:
		return nil, errors.New("relay: there is a council, and its hosts need no relay")
	case f.InstanceCount != 0:
		return nil, errors.New("instances: the rules define the instances of this host")
	case f.FirstPeer != "":
		return nil, errors.New("peers: the rules define the peer addresses")
	case f.Relay != nil:
		return f.relayRulesSettings()
	default:
		return f.councilRulesSettings()
	}
}

// councilRulesSettings validates the settings of a voter and reads its rules file.
func (f *FleetFile) councilRulesSettings() (*RulesSettings, error) {
	council := f.Council
	switch {
	case council.StorePath == "":
		return nil, errors.New("council.store: missing")
	case council.RulesPath == "":
		return nil, errors.New("council.rules: missing")
	case len(council.Hosts) == 0 || len(council.Hosts) > maxVoters:
		return nil, fmt.Errorf("council.hosts: %d hosts, want 1 to %d", len(council.Hosts), maxVoters)
	}
	if _, err := netip.ParseAddrPort(council.RaftListen); err != nil {
		return nil, fmt.Errorf("council.listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(council.RelayListen); err != nil && council.RelayListen != "" {
		return nil, fmt.Errorf("council.serve: %w", err)
	}
	hosts, err := council.raftHosts()
	if err != nil {
		return nil, err
	}
	if err := f.checkAddressOverrides(); err != nil {
		return nil, err
	}
	settings := &RulesSettings{
		AddressOverrides: f.AddressOverrides,
		RelayListen:      council.RelayListen,
		Raft: raftlog.Config{Cluster: f.Name, HostName: council.HostName, Listen: council.RaftListen,
			StorePath: council.StorePath, Bootstrap: council.BootstrapCluster, Hosts: hosts,
			AddressOverrides: f.AddressOverrides[raftOverridesKey]},
	}
	info, err := os.Stat(council.RulesPath)
	if err != nil {
		return nil, fmt.Errorf("council.rules: %w", err)
	}
	settings.ProposedStamp = fmt.Sprint(info.ModTime().UnixNano(), info.Size())
	rules, err := rulefile.Read(council.RulesPath)
	if err != nil {
		settings.ProposedErr = fmt.Errorf("council.rules: %w", err)
		return settings, nil
	}
	settings.Proposed = &rules
	return settings, nil
}

// raftHosts validates and returns the hosts of the raft group, which must include this host.
func (c *RaftGroupSettings) raftHosts() ([]raftlog.Host, error) {
	var hosts []raftlog.Host
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, host := range c.Hosts {
		if host.Name == "" || names[host.Name] {
			return nil, fmt.Errorf("council.hosts.%d.name: %q is empty or used by another host", i, host.Name)
		}
		if _, err := netip.ParseAddrPort(host.Address); err != nil || addresses[host.Address] {
			return nil, fmt.Errorf("council.hosts.%d.address: %q is not IP:PORT or is used twice", i, host.Address)
		}
		names[host.Name], addresses[host.Address] = true, true
		hosts = append(hosts, raftlog.Host{Name: host.Name, Address: host.Address})
	}
	if !names[c.HostName] {
		return nil, fmt.Errorf("council.me: %q is not in council.hosts", c.HostName)
	}
	return hosts, nil
}

// relayRulesSettings validates the settings of a host that subscribes to relays.
func (f *FleetFile) relayRulesSettings() (*RulesSettings, error) {
	relay, seen := f.Relay, map[string]bool{}
	switch {
	case relay.HostName == "":
		return nil, errors.New("relay.me: missing")
	case relay.StorePath == "":
		return nil, errors.New("relay.store: missing")
	case len(relay.Upstreams) == 0 || len(relay.Upstreams) > maxUpstreams:
		return nil, fmt.Errorf("relay.upstream: %d addresses, want 1 to %d", len(relay.Upstreams), maxUpstreams)
	}
	for i, address := range relay.Upstreams {
		if _, err := netip.ParseAddrPort(address); err != nil || seen[address] {
			return nil, fmt.Errorf("relay.upstream.%d: %q is not IP:PORT or is listed twice", i, address)
		}
		seen[address] = true
	}
	return &RulesSettings{AddressOverrides: f.AddressOverrides, Relay: relay}, f.checkAddressOverrides()
}

// checkAddressOverrides checks that the keys and values of all overrides are valid addresses (IP:PORT).
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

// hostName returns the name of this host in the ruleset. The file must have relay or council.
func (f *FleetFile) hostName() string {
	if f.Relay != nil {
		return f.Relay.HostName
	}
	return f.Council.HostName
}

// instancesOf returns the instances that the rules assign to this host. The ports of an instance follow from
// its member's position in the list, which never changes: the client port is the first client port plus the
// position, and the two admin ports begin at the first admin port plus twice the position.
func (f *FleetFile) instancesOf(rules *ruleset.Rules) ([]Instance, error) {
	count, reserved := len(rules.Members), []portRange(nil)
	if _, err := reservePortRange("control", f.ControlAddress, 1, &reserved); err != nil {
		return nil, err
	}
	listens, err := reservePortRange("listen", f.FirstListen, count, &reserved)
	if err != nil {
		return nil, err
	}
	admins, err := reservePortRange("operators", f.FirstAdmin, 2*count, &reserved)
	if err != nil {
		return nil, err
	}
	shared, err := os.ReadFile(f.GatewayConfig)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var instances []Instance
	for position, member := range rules.Members {
		if member.Name == "" || member.Host != f.hostName() {
			continue
		}
		instance, gateway, err := f.buildInstance(shared, instanceSpec{
			name:          member.Name,
			index:         position,
			fleetSize:     count,
			listenAddress: listens.address(position),
			peerListen:    member.Peers,
			peers:         f.peerAddresses(&member, rules),
		})
		if err != nil {
			return nil, err
		}
		instance.AdminAddresses = [2]string{admins.address(2 * position), admins.address(2*position + 1)}
		for _, plan := range rules.Plans {
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

// peerAddresses returns the addresses at which a member reaches each member, indexed by position. It returns
// nil if the member has no peer address of its own.
func (f *FleetFile) peerAddresses(member *ruleset.Member, rules *ruleset.Rules) (peers []string) {
	if member.Peers == "" {
		return nil
	}
	for _, other := range rules.Members {
		peers = append(peers, f.peerAddress(member.Name, other.Peers))
	}
	return peers
}

// peerAddress returns the address at which the named instance reaches a peer: the override for the peer's
// address if there is one, or else that address itself.
func (f *FleetFile) peerAddress(name, peer string) string {
	if peer == "" {
		return unroutableAddress
	}
	if override := f.AddressOverrides[name][peer]; override != "" {
		return override
	}
	return peer
}
