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
	// unroutableAddress replaces, in an instance's configuration, the address of a member without a peer
	// address: what is sent to it is dropped on this host.
	unroutableAddress = "0.0.0.0:0"
	// raftOverridesKey is the name in FleetFile.AddressOverrides of the raft group's own overrides.
	raftOverridesKey = "council"
	// maxVoters bounds the hosts of a raft group: each log entry waits for half of them.
	maxVoters = 31
	// maxUpstreams bounds the relays of a host: they are asked in turn while none has fresh rules.
	maxUpstreams = 16
)

// RaftGroupSettings are the settings of a host that is a voter of the raft group.
type RaftGroupSettings struct {
	HostName   string `toml:"me"`     // this host among Hosts
	RaftListen string `toml:"listen"` // HOST:PORT for the other voters
	StorePath  string `toml:"store"`  // file of the raft log
	RulesPath  string `toml:"rules"`  // file of the rules that this daemon proposes
	// BootstrapCluster allows the founding of a new raft group, once all hosts are up with empty stores.
	BootstrapCluster bool                             `toml:"found"`
	RelayListen      string                           `toml:"serve"` // HOST:PORT for relays; empty: none
	Hosts            []struct{ Name, Address string } `toml:"hosts"`
}

// RelaySettings are the settings of a host that subscribes to the ruleset by way of relays.
type RelaySettings struct {
	HostName  string   `toml:"me"`       // this host, as members name it
	Upstreams []string `toml:"upstream"` // HOST:PORT of relays or of voters that serve them
	StorePath string   `toml:"store"`    // file of the version received last, to which changes are applied
}

// RulesSettings are the checked settings of a host's part in the ruleset: as a voter, or by a subscription.
type RulesSettings struct {
	Raft             raftlog.Config // of a voter
	Relay            *RelaySettings // nil for a voter
	Proposed         *ruleset.Rules // content of the rules file; nil if it is invalid, or below relays
	ProposedErr      error          // what is wrong with the rules file; it only prevents the first start
	ProposedStamp    string         // of the rules file; the same one is not proposed again
	AddressOverrides map[string]map[string]string
	RelayListen      string // HOST:PORT for relays; empty: none subscribes
}

// rulesSettings checks the keys of the ruleset; nil if there are none.
func (f *FleetFile) rulesSettings() (*RulesSettings, error) {
	switch {
	case f.Council == nil && f.Relay == nil && len(f.AddressOverrides) > 0:
		return nil, errors.New("reach: it needs council or relay")
	case f.Council == nil && f.Relay == nil:
		return nil, nil
	case f.Council != nil && f.Relay != nil:
		return nil, errors.New("relay: there is a council, and its hosts need no relay")
	case f.InstanceCount != 0:
		return nil, errors.New("instances: the rules name them")
	case f.FirstPeer != "":
		return nil, errors.New("peers: the rules name their addresses")
	case f.Relay != nil:
		return f.relayRulesSettings()
	default:
		return f.councilRulesSettings()
	}
}

// councilRulesSettings checks the settings of a voter, and reads its rules file.
func (f *FleetFile) councilRulesSettings() (*RulesSettings, error) {
	council := f.Council
	switch {
	case council.StorePath == "":
		return nil, errors.New("council.store: missing")
	case council.RulesPath == "":
		return nil, errors.New("council.rules: missing")
	case len(council.Hosts) == 0 || len(council.Hosts) > maxVoters:
		return nil, fmt.Errorf("council.hosts: %d are not from 1 to %d", len(council.Hosts), maxVoters)
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

// raftHosts checks the hosts of the raft group, of which this one has to be one.
func (c *RaftGroupSettings) raftHosts() ([]raftlog.Host, error) {
	var hosts []raftlog.Host
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, host := range c.Hosts {
		if host.Name == "" || names[host.Name] {
			return nil, fmt.Errorf("council.hosts.%d.name: %q is empty, or another host's", i, host.Name)
		}
		if _, err := netip.ParseAddrPort(host.Address); err != nil || addresses[host.Address] {
			return nil, fmt.Errorf("council.hosts.%d.address: %q is no address, or another host's", i, host.Address)
		}
		names[host.Name], addresses[host.Address] = true, true
		hosts = append(hosts, raftlog.Host{Name: host.Name, Address: host.Address})
	}
	if !names[c.HostName] {
		return nil, fmt.Errorf("council.me: %q is none of the hosts", c.HostName)
	}
	return hosts, nil
}

// relayRulesSettings checks the settings of a host below relays.
func (f *FleetFile) relayRulesSettings() (*RulesSettings, error) {
	relay, seen := f.Relay, map[string]bool{}
	switch {
	case relay.HostName == "":
		return nil, errors.New("relay.me: missing")
	case relay.StorePath == "":
		return nil, errors.New("relay.store: missing")
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

// checkAddressOverrides checks that all overrides are addresses.
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

// hostName is the name of this host in the ruleset, of which there has to be one.
func (f *FleetFile) hostName() string {
	if f.Relay != nil {
		return f.Relay.HostName
	}
	return f.Council.HostName
}

// instancesOf returns this host's instances by the rules. A member keeps its position among the members for
// life, and that gives its ports: the address for clients is as many ports above the first one, the two admin
// addresses are twice as many.
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

// peerAddresses returns the addresses at which a member reaches each member, by position; nil if it has no
// peers.
func (f *FleetFile) peerAddresses(member *ruleset.Member, rules *ruleset.Rules) (peers []string) {
	if member.Peers == "" {
		return nil
	}
	for _, other := range rules.Members {
		peers = append(peers, f.peerAddress(member.Name, other.Peers))
	}
	return peers
}

// peerAddress returns the address at which an instance reaches a peer.
func (f *FleetFile) peerAddress(name, peer string) string {
	if peer == "" {
		return unroutableAddress
	}
	if override := f.AddressOverrides[name][peer]; override != "" {
		return override
	}
	return peer
}
