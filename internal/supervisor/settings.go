package supervisor

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/strictoml"
)

// maxInstances limits the instances of a host without a ruleset: each is a process of some 20 MB, and the
// daemon goes through all of them at each health check. It does not limit the members of a ruleset.
const maxInstances = 500

// The defaults of fleet.toml.
const (
	defaultInitialBackoffMillis = 200
	defaultMaxBackoffMillis     = 10000
	defaultBackoffResetSeconds  = 30
	defaultReadyTimeoutSeconds  = 6
	defaultStopTimeoutSeconds   = 4
	defaultMaxReplacing         = 1
)

// FleetFile is the content of fleet.toml.
type FleetFile struct {
	Name          string `toml:"name"`
	InstanceCount int    `toml:"instances"`
	Program       string `toml:"program"` // path of the gateway's program; empty: the daemon's own
	GatewayConfig string `toml:"config"`  // path of the gateway configuration without name, number and addresses
	RunDir        string `toml:"run_dir"` // directory of the files that the daemon writes

	ControlAddress string `toml:"control"`   // HOST:PORT of the daemon's control port
	FirstListen    string `toml:"listen"`    // HOST:PORT for clients of the first instance; the rest follow
	FirstAdmin     string `toml:"operators"` // HOST:PORT of the first admin port; each instance has two ports
	FirstPeer      string `toml:"peers"`     // HOST:PORT of the first instance for datagrams of peers

	Host struct { // limits of all instances together; 0: no limit
		MemoryMB int `toml:"memory_mb"`
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

	CrashState        bool             `toml:"remember"` // instances keep state that survives a kill
	RestoreCheckpoint bool             `toml:"recall"`   // and restore a checkpoint of quotas and demand
	PeerBootstrap     bool             `toml:"warm"`     // new instances get the endpoints from other instances
	Region            string           `toml:"hall"`
	Forecast          ForecastSettings `toml:"outlook"`

	Council *RaftGroupSettings `toml:"council"` // this host is a voter of the raft group; nil: it is not
	Relay   *RelaySettings     `toml:"relay"`   // this host subscribes to the ruleset; nil: it does not
	// AddressOverrides maps HOST:PORT addresses to those to use in their place. The key is an instance's name,
	// or raftOverridesKey for the addresses of the raft group.
	AddressOverrides map[string]map[string]string `toml:"reach"`
}

// Settings are the validated settings of a daemon.
type Settings struct {
	Name           string
	Program        string // path of the gateway's program; empty: the daemon's own
	RunDir         string
	ControlAddress string // HOST:PORT
	Policy         Policy
	Instances      []Instance

	CrashState        bool
	RestoreCheckpoint bool
	PeerBootstrap     bool
	Region            string // empty: the daemon makes no forecast
	Forecast          ForecastSettings
	Rules             *RulesSettings // nil if there is no ruleset

	file      *FleetFile
	fleetSize int // number of gateway instances on all hosts
}

// Instance is one gateway instance of this host.
type Instance struct {
	Name           string
	ListenAddress  string    // HOST:PORT for clients
	AdminAddresses [2]string // HOST:PORT, used alternately, as a process and its successor run at once
	Config         []byte    // the configuration as JSON, complete except for the admin address
}

// LoadSettings reads and validates a fleet.toml and the gateway configuration that it names. An error names
// the file and the line or key.
func LoadSettings(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file := FleetFile{
		ReadyTimeoutSeconds: defaultReadyTimeoutSeconds,
		StopTimeoutSeconds:  defaultStopTimeoutSeconds,
		MaxReplacing:        defaultMaxReplacing,
		CrashState:          true,
		RestoreCheckpoint:   true,
		PeerBootstrap:       true,
		Forecast:            defaultForecastSettings(),
	}
	file.Restart.InitialBackoffMillis = defaultInitialBackoffMillis
	file.Restart.MaxBackoffMillis = defaultMaxBackoffMillis
	file.Restart.BackoffResetSeconds = defaultBackoffResetSeconds
	if err := strictoml.Decode(string(raw), &file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	file.resolvePaths(filepath.Dir(path))
	settings, err := file.resolve()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

// resolvePaths makes relative paths relative to dir, the file's directory.
func (f *FleetFile) resolvePaths(dir string) {
	paths := []*string{&f.GatewayConfig, &f.RunDir}
	if f.Council != nil {
		paths = append(paths, &f.Council.StorePath, &f.Council.RulesPath)
	}
	if f.Relay != nil {
		paths = append(paths, &f.Relay.StorePath)
	}
	for _, path := range paths {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
}

// resolve validates the file and returns the settings that it gives.
func (f *FleetFile) resolve() (*Settings, error) {
	rules, err := f.rulesSettings()
	if err != nil {
		return nil, err
	}
	if err := f.check(rules != nil); err != nil {
		return nil, err
	}
	settings := &Settings{
		Name:           f.Name,
		Program:        f.Program,
		RunDir:         f.RunDir,
		ControlAddress: f.ControlAddress,
		Policy: Policy{
			InitialBackoffMillis: f.Restart.InitialBackoffMillis,
			MaxBackoffMillis:     f.Restart.MaxBackoffMillis,
			BackoffResetMillis:   f.Restart.BackoffResetSeconds * 1000,
			ReadyTimeoutMillis:   f.ReadyTimeoutSeconds * 1000,
			StopTimeoutMillis:    f.StopTimeoutSeconds * 1000,
			MaxReplacing:         f.MaxReplacing,
		},
		CrashState:        f.CrashState,
		RestoreCheckpoint: f.RestoreCheckpoint,
		PeerBootstrap:     f.PeerBootstrap,
		Rules:             rules,
		file:              f,
		fleetSize:         f.InstanceCount,
	}
	if err := f.resolveForecast(settings); err != nil {
		return nil, err
	}
	switch {
	case rules == nil:
		settings.Instances, err = f.numberedInstances()
	case rules.Proposed != nil:
		settings.fleetSize = len(rules.Proposed.Members)
		settings.Instances, err = f.instancesOf(rules.Proposed)
	case rules.Relay != nil: // the members are not known yet; a stand-in member checks the rest
		_, err = f.instancesOf(&ruleset.Rules{Members: []ruleset.Member{{Name: f.Name, Host: f.Relay.HostName}}})
	}
	if err != nil {
		return nil, err
	}
	return settings, nil
}

// check validates the keys whose check needs no other file.
func (f *FleetFile) check(hasRules bool) error {
	tooFew := f.InstanceCount < 0 || f.InstanceCount == 0 && f.Region == ""
	switch {
	case f.Name == "":
		return errors.New("name: missing")
	case !hasRules && (tooFew || f.InstanceCount > maxInstances):
		return fmt.Errorf("instances: %d is not from 1 to %d, nor 0 with a hall", f.InstanceCount, maxInstances)
	case f.RunDir == "":
		return errors.New("run_dir: missing")
	case !(f.Restart.InitialBackoffMillis > 0):
		return fmt.Errorf("restart.first_ms: %v is not above 0", f.Restart.InitialBackoffMillis)
	case !(f.Restart.MaxBackoffMillis >= f.Restart.InitialBackoffMillis):
		return fmt.Errorf("restart.most_ms: %v is under restart.first_ms", f.Restart.MaxBackoffMillis)
	case !(f.Restart.BackoffResetSeconds > 0):
		return fmt.Errorf("restart.calm_s: %v is not above 0", f.Restart.BackoffResetSeconds)
	case !(f.ReadyTimeoutSeconds > 0) || !(f.StopTimeoutSeconds > 0):
		return errors.New("ready_s, grace_s: they must be above 0")
	case f.MaxReplacing < 1:
		return fmt.Errorf("step: %d is under 1", f.MaxReplacing)
	}
	return nil
}

// numberedInstances returns the instances of a host without a ruleset, with consecutive numbers and ports.
func (f *FleetFile) numberedInstances() ([]Instance, error) {
	var reserved []portRange
	if _, err := reservePortRange("control", f.ControlAddress, 1, &reserved); err != nil {
		return nil, err
	}
	if f.InstanceCount == 0 { // the daemon only makes forecasts
		return nil, nil
	}
	listens, err := reservePortRange("listen", f.FirstListen, f.InstanceCount, &reserved)
	if err != nil {
		return nil, err
	}
	admins, err := reservePortRange("operators", f.FirstAdmin, 2*f.InstanceCount, &reserved)
	if err != nil {
		return nil, err
	}
	peers, err := f.numberedPeers()
	if err != nil {
		return nil, err
	}
	shared, err := os.ReadFile(f.GatewayConfig)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var instances []Instance
	for i := range f.InstanceCount {
		spec := instanceSpec{
			name:          fmt.Sprintf("%s-%d", f.Name, i),
			index:         i,
			fleetSize:     f.InstanceCount,
			listenAddress: listens.address(i),
			peers:         peers,
		}
		if len(peers) > 0 {
			spec.peerListen = peers[i]
		}
		instance, gateway, err := f.buildInstance(shared, spec)
		if err != nil {
			return nil, err
		}
		instance.AdminAddresses = [2]string{admins.address(2 * i), admins.address(2*i + 1)}
		if err := f.checkHostCapacity(gateway, f.InstanceCount); err != nil {
			return nil, err
		}
		instances = append(instances, instance)
	}
	return instances, nil
}

// numberedPeers returns the instances' addresses for datagrams of peers on a host without a ruleset; nil if
// none are set. They are UDP ports, and so may overlap the other ranges, which are TCP.
func (f *FleetFile) numberedPeers() (peers []string, err error) {
	if f.FirstPeer == "" {
		return nil, nil
	}
	ports, err := reservePortRange("peers", f.FirstPeer, f.InstanceCount, &[]portRange{})
	if err != nil {
		return nil, err
	}
	for i := range f.InstanceCount {
		peers = append(peers, ports.address(i))
	}
	return peers, nil
}

// instanceSpec holds the parts of a configuration that differ between instances.
type instanceSpec struct {
	name          string
	index         int // the instance's number in the fleet
	fleetSize     int
	listenAddress string   // HOST:PORT for clients
	peerListen    string   // HOST:PORT for datagrams of peers
	peers         []string // HOST:PORT of all members by their number; empty: the instance has no peers
}

// buildInstance returns an instance without its admin addresses, and its decoded configuration: the shared
// one with the instance's own values of spec.
func (f *FleetFile) buildInstance(shared []byte, spec instanceSpec) (Instance, config.Gateway, error) {
	instance := Instance{Name: spec.name, ListenAddress: spec.listenAddress}
	var document map[string]any
	if err := json.Unmarshal(shared, &document); err != nil {
		return instance, config.Gateway{}, fmt.Errorf("config: %s: %w", f.GatewayConfig, err)
	}
	settings, ok := document["settings"].(map[string]any)
	if !ok {
		return instance, config.Gateway{}, fmt.Errorf("config: %s: settings is missing", f.GatewayConfig)
	}
	settings["me"], settings["balancers"] = spec.index, spec.fleetSize
	document["name"], document["listen"] = instance.Name, instance.ListenAddress
	delete(document, "control")
	if len(spec.peers) > 0 {
		document["peer_listen"], document["peers"] = spec.peerListen, spec.peers
	}
	var err error
	if instance.Config, err = json.MarshalIndent(document, "", " "); err != nil {
		return instance, config.Gateway{}, fmt.Errorf("config: %w", err)
	}
	gateway, err := config.Decode(instance.Config, func(string) string { return "" })
	if err != nil {
		err = fmt.Errorf("config: %s: %w", f.GatewayConfig, err)
	}
	return instance, gateway, err
}

// checkHostCapacity checks that count instances with this configuration fit within the limits of the host.
func (f *FleetFile) checkHostCapacity(gateway config.Gateway, count int) error {
	if total := gateway.MemoryMB * count; f.Host.MemoryMB > 0 && total > f.Host.MemoryMB {
		return fmt.Errorf("host.memory_mb: %d instances of %d MB need %d, over %d", count, gateway.MemoryMB, total,
			f.Host.MemoryMB)
	}
	if total := gateway.MaxSockets * count; f.Host.Sockets > 0 && total > f.Host.Sockets {
		return fmt.Errorf("host.sockets: %d instances of %d need %d, over %d", count, gateway.MaxSockets, total,
			f.Host.Sockets)
	}
	return nil
}
