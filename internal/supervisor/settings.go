package supervisor

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/strictoml"
)

// mostInstances is of one host without rules that are agreed on: each is a process of some 20 MB, and the
// daemon looks at all of them in each turn. It is no bound on the gatekeepers that agreed rules name.
const maxInstances = 500

// File is a fleet as its file says it.
type FleetFile struct {
	Name           string `toml:"name"`
	InstanceCount  int    `toml:"instances"`
	Program        string `toml:"program"`   // the gatekeeper's; empty is the daemon's own
	GatewayConfig  string `toml:"config"`    // what each is told, but for its own name, number and addresses
	RunDir         string `toml:"run_dir"`   // of what the daemon writes
	ControlAddress string `toml:"control"`   // the daemon's own operators' port
	FirstListen    string `toml:"listen"`    // the first instance's address for clients; each next one has the next port
	FirstAdmin     string `toml:"operators"` // the first instance's operators' port; each has two, as one process may follow another
	FirstPeer      string `toml:"peers"`     // the first instance's address for peers' datagrams
	Host           struct {
		MemoryMB int `toml:"memory_mb"` // that all instances may have together; 0 is not checked
		Sockets  int `toml:"sockets"`
	} `toml:"host"`
	Restart struct {
		InitialBackoffMillis float64 `toml:"first_ms"`
		MaxBackoffMillis     float64 `toml:"most_ms"`
		BackoffResetSeconds  float64 `toml:"calm_s"`
	} `toml:"restart"`
	ReadyTimeoutSeconds float64 `toml:"ready_s"`
	StopTimeoutSeconds  float64 `toml:"grace_s"`
	MaxReplacing        int     `toml:"step"`

	CrashState        bool             `toml:"remember"` // instances keep what outlives a sudden end
	RestoreCheckpoint bool             `toml:"recall"`   // of quotas and demand too
	PeerBootstrap     bool             `toml:"warm"`     // and ask others for their list until discovery has spoken
	Region            string           `toml:"hall"`
	Forecast          ForecastSettings `toml:"outlook"`

	Council          *CouncilSettings             `toml:"council"` // several hosts agree on the rules
	Relay            *RelaySettings               `toml:"relay"`   // others do, and this host hears of them by relays
	AddressOverrides map[string]map[string]string `toml:"reach"`   // by instance, and for the council: address in place of another
}

// Read reads and checks a fleet's file, and the configuration that it names. An error names the file, and
// the line or the key.
func LoadSettings(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file := FleetFile{ReadyTimeoutSeconds: 6, StopTimeoutSeconds: 4, MaxReplacing: 1, CrashState: true, RestoreCheckpoint: true, PeerBootstrap: true, Forecast: defaultForecastSettings()}
	file.Restart.InitialBackoffMillis, file.Restart.MaxBackoffMillis, file.Restart.BackoffResetSeconds = 200, 10000, 30
	if err := strictoml.Decode(string(raw), &file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	paths := []*string{&file.GatewayConfig, &file.RunDir}
	if file.Council != nil {
		paths = append(paths, &file.Council.StorePath, &file.Council.RulesPath)
	}
	if file.Relay != nil {
		paths = append(paths, &file.Relay.StorePath)
	}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(path), *p)
		}
	}
	settings, err := file.resolve()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

// Fleet is a fleet's file as it is carried out.
type Settings struct {
	Name, Program, RunDir, ControlAddress        string
	Policy                                       Policy
	Instances                                    []Instance
	CrashState, RestoreCheckpoint, PeerBootstrap bool
	Region                                       string // where it stands; empty where it looks ahead at nothing
	Forecast                                     ForecastSettings
	Rules                                        *RulesSettings // nil where no rules are agreed on

	file      *FleetFile
	fleetSize int // gatekeepers that there are, on all hosts
}

// Instance is one gatekeeper of it.
type Instance struct {
	Name           string
	ListenAddress  string
	AdminAddresses [2]string // in turn, so that two processes can be there at once
	Config         []byte    // all that it is told, but for the operators' port
}

// span is n addresses in a row, each one port above the one before.
type portRange struct {
	key   string
	first netip.AddrPort
	count int
}

// spanOf reads one, that meets none of those taken before it.
func reservePortRange(key, first string, count int, taken *[]portRange) (portRange, error) {
	address, err := netip.ParseAddrPort(first)
	if err != nil {
		return portRange{}, fmt.Errorf("%s: %w", key, err)
	}
	if address.Port() == 0 || int(address.Port())+count > 65536 {
		return portRange{}, fmt.Errorf("%s: there are no %d ports from %d on", key, count, address.Port())
	}
	reserved := portRange{key, address, count}
	for _, other := range *taken {
		if from := max(int(other.first.Port()), int(address.Port())); other.first.Addr() == address.Addr() &&
			from < min(int(other.first.Port())+other.count, int(address.Port())+count) {
			return portRange{}, fmt.Errorf("%s: %s is one of %s", key, netip.AddrPortFrom(address.Addr(), uint16(from)), other.key)
		}
	}
	*taken = append(*taken, reserved)
	return reserved, nil
}

// at gives the i-th address.
func (s portRange) address(i int) string {
	return netip.AddrPortFrom(s.first.Addr(), s.first.Port()+uint16(i)).String()
}

func (f *FleetFile) resolve() (*Settings, error) {
	agreed, err := f.rulesSettings()
	switch {
	case err != nil:
		return nil, err
	case f.Name == "":
		return nil, errors.New("name: there is none")
	case agreed == nil && (f.InstanceCount < 0 || f.InstanceCount > maxInstances || f.InstanceCount == 0 && f.Region == ""):
		return nil, fmt.Errorf("instances: %d is not from 1 to %d, nor nought beside a hall", f.InstanceCount,
			maxInstances)
	case f.RunDir == "":
		return nil, errors.New("run_dir: there is none")
	case !(f.Restart.InitialBackoffMillis > 0) || !(f.Restart.MaxBackoffMillis >= f.Restart.InitialBackoffMillis):
		return nil, fmt.Errorf("restart.most_ms: %v is under restart.first_ms, or that is nought", f.Restart.MaxBackoffMillis)
	case !(f.Restart.BackoffResetSeconds > 0):
		return nil, fmt.Errorf("restart.calm_s: %v is not above nought", f.Restart.BackoffResetSeconds)
	case !(f.ReadyTimeoutSeconds > 0) || !(f.StopTimeoutSeconds > 0):
		return nil, errors.New("ready_s, grace_s: they must be above nought")
	case f.MaxReplacing < 1:
		return nil, fmt.Errorf("step: %d is under one", f.MaxReplacing)
	}
	settings := &Settings{CrashState: f.CrashState, RestoreCheckpoint: f.RestoreCheckpoint, PeerBootstrap: f.PeerBootstrap, Rules: agreed, file: f,
		fleetSize: f.InstanceCount, Name: f.Name, Program: f.Program, RunDir: f.RunDir, ControlAddress: f.ControlAddress,
		Policy: Policy{InitialBackoffMillis: f.Restart.InitialBackoffMillis, MaxBackoffMillis: f.Restart.MaxBackoffMillis, BackoffResetMillis: f.Restart.BackoffResetSeconds * 1000,
			ReadyTimeoutMillis: f.ReadyTimeoutSeconds * 1000, StopTimeoutMillis: f.StopTimeoutSeconds * 1000, MaxReplacing: f.MaxReplacing}}
	if err := f.resolveForecast(settings); err != nil {
		return nil, err
	}
	switch {
	case agreed == nil:
	case agreed.Proposed != nil:
		settings.fleetSize = len(agreed.Proposed.Members)
		settings.Instances, err = f.instancesOf(agreed.Proposed)
	case agreed.Relay != nil: // which there are the relays say; what they will be told is checked now
		_, err = f.instancesOf(&ruleset.Rules{Members: []ruleset.Member{{Name: f.Name, Host: f.Relay.HostName}}})
	}
	if agreed != nil {
		return settings, err
	}
	var taken []portRange
	if _, err := reservePortRange("control", f.ControlAddress, 1, &taken); err != nil {
		return nil, err
	}
	if f.InstanceCount == 0 { // it only looks ahead
		return settings, nil
	}
	listens, err := reservePortRange("listen", f.FirstListen, f.InstanceCount, &taken)
	if err != nil {
		return nil, err
	}
	admins, err := reservePortRange("operators", f.FirstAdmin, 2*f.InstanceCount, &taken)
	if err != nil {
		return nil, err
	}
	var peers []string
	if f.FirstPeer != "" {
		peerRange, err := reservePortRange("peers", f.FirstPeer, f.InstanceCount, &[]portRange{}) // datagrams
		if err != nil {
			return nil, err
		}
		for i := range f.InstanceCount {
			peers = append(peers, peerRange.address(i))
		}
	}
	raw, err := os.ReadFile(f.GatewayConfig)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	for i := range f.InstanceCount {
		listen := ""
		if len(peers) > 0 {
			listen = peers[i]
		}
		instance, gateway, err := f.buildInstance(raw, fmt.Sprintf("%s-%d", f.Name, i), i, f.InstanceCount, listens.address(i), listen,
			peers)
		if err != nil {
			return nil, err
		}
		instance.AdminAddresses = [2]string{admins.address(2 * i), admins.address(2*i + 1)}
		if err := f.checkHostCapacity(gateway, f.InstanceCount); err != nil {
			return nil, err
		}
		settings.Instances = append(settings.Instances, instance)
	}
	return settings, nil
}

// instance makes one of what all are told: the i-th of n.
func (f *FleetFile) buildInstance(raw []byte, name string, index, count int, listen, peerListen string, peers []string) (instance Instance,
	gateway config.Gatekeeper, err error) {
	instance = Instance{Name: name, ListenAddress: listen}
	var document map[string]any
	if err := json.Unmarshal(raw, &document); err != nil {
		return instance, gateway, fmt.Errorf("config: %s: %w", f.GatewayConfig, err)
	}
	settings, ok := document["settings"].(map[string]any)
	if !ok {
		return instance, gateway, fmt.Errorf("config: %s: settings is missing", f.GatewayConfig)
	}
	settings["me"], settings["balancers"] = index, count
	document["name"], document["listen"] = instance.Name, instance.ListenAddress
	delete(document, "control")
	if len(peers) > 0 {
		document["peer_listen"], document["peers"] = peerListen, peers
	}
	if instance.Config, err = json.MarshalIndent(document, "", " "); err != nil {
		return instance, gateway, fmt.Errorf("config: %w", err)
	}
	if gateway, err = config.Decode(instance.Config, func(string) string { return "" }); err != nil {
		err = fmt.Errorf("config: %s: %w", f.GatewayConfig, err)
	}
	return instance, gateway, err
}

// roomFor checks that the host has room for n of them.
func (f *FleetFile) checkHostCapacity(gateway config.Gatekeeper, count int) error {
	if total := gateway.MemoryMB * count; f.Host.MemoryMB > 0 && total > f.Host.MemoryMB {
		return fmt.Errorf("host.memory_mb: %d instances of %d MB have %d, over %d", count, gateway.MemoryMB, total,
			f.Host.MemoryMB)
	}
	if total := gateway.Sockets * count; f.Host.Sockets > 0 && total > f.Host.Sockets {
		return fmt.Errorf("host.sockets: %d instances of %d have %d, over %d", count, gateway.Sockets, total, f.Host.Sockets)
	}
	return nil
}
