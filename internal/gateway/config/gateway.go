package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"willowdeck/internal/gateway/transport/endpoints"
)

// Defaults of what the configuration does not say.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024

	defaultIdleTimeoutMillis    = 10000.0 // has to be less than what workers allow
	defaultConnectTimeoutMillis = 250.0
)

// Gateway is the complete configuration of one gateway process: the configuration file, the environment, and
// what the command line adds.
type Gateway struct {
	// Name identifies the instance in logs and at its peers.
	Name string
	// ListenAddress is where clients connect, IP:PORT.
	ListenAddress string
	// DiscoveryAddress is where the list of workers comes from, IP:PORT.
	DiscoveryAddress string
	// ListenerFD is the descriptor of a listening socket for clients that the platform passes on; 0 is none.
	ListenerFD int
	// SharedDir is the directory that this process shares with its successor in a hot restart; empty where there
	// is none.
	SharedDir string
	// AdminAddress is where operators call, IP:PORT; empty where they do not.
	AdminAddress string
	// Seed seeds the policy's random numbers.
	Seed int64
	// Cores bounds the processors used. Default: 1.
	Cores float64
	// MemoryMB bounds the memory used. Default: 192.
	MemoryMB int
	// MaxSockets bounds the open descriptors. Default: 1024.
	MaxSockets int
	// PeerListenAddress is where peers' datagrams arrive; not valid where there are no peers.
	PeerListenAddress netip.AddrPort
	// PeerAddresses are the addresses of all instances by index, this one's included.
	PeerAddresses []netip.AddrPort
	// KnownEndpoints is the list of workers to begin with; it may be old.
	KnownEndpoints endpoints.List
	// PeerAdminAddresses are the operators' ports of running instances, which a starting one asks for their list
	// of workers.
	PeerAdminAddresses []string
	// SharesEndpoints allows starting instances to ask this one for its list, at the operators' port.
	SharesEndpoints bool
	// Region is where this instance runs; if set, it serves its forecast report at the operators' port.
	Region string
	// Host is the supervisor's host, for the forecast report.
	Host string
	// Group names the instances that share quotas, for the forecast report; if empty, their addresses do.
	Group string
	// CrashStatePath is the file of package crashstate; empty where none is kept.
	CrashStatePath string
	// KeepsCheckpoint adds a checkpoint of quotas and demand beside the crash state.
	KeepsCheckpoint bool
	// RulesetAddress is the HOST:PORT of the supervisor that grants leases on the ruleset in force; empty where
	// there is no ruleset.
	RulesetAddress string
	// HistoryDir is the directory in which this process records what it does; empty where it does not.
	HistoryDir string
	// ForwardAuth is nil where forward authentication is off.
	ForwardAuth *ForwardAuth
	// Journal is nil where non-idempotent requests are not journaled.
	Journal *Journal
	Settings
}

// gatewayFile is the form of the configuration file. Every field carries its key as a tag, as in
// settingsFile.
type gatewayFile struct {
	Name             string          `json:"name"`      // default: NODE_NAME
	ListenAddress    string          `json:"listen"`    // default: NODE_LISTEN
	DiscoveryAddress string          `json:"discovery"` // default: NODE_DISCOVERY
	Seed             string          `json:"seed"`      // 64 bits in hexadecimal; default: 0
	Limits           limitSettings   `json:"limits"`
	AdminAddress     string          `json:"control"` // default: NODE_CONTROL, or no port for operators
	CounterAddress   string          `json:"counter"` // checked only; the gateway does not use a shared counter
	PeerListen       string          `json:"peer_listen"`
	Peers            []string        `json:"peers"`
	Known            json.RawMessage `json:"known"` // a list of workers in discovery's form; default: none
	Settings         json.RawMessage `json:"settings"`
}

// limitSettings bounds what the process uses of its machine.
type limitSettings struct {
	Cores    float64 `json:"cores"`     // default: defaultCores
	MemoryMB int     `json:"memory_mb"` // default: defaultMemoryMB
	Sockets  int     `json:"sockets"`   // default: defaultSockets
}

// Read reads the configuration file at path. Name, addresses and descriptor come from the environment
// where the file lacks them. An error names the file and the key, or the variable.
func Read(path string, env func(string) string) (Gateway, error) {
	if path == "" {
		return Gateway{}, errors.New("NODE_CONFIG is not set: it names the configuration file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	g, err := Decode(raw, env)
	if err != nil {
		return g, fmt.Errorf("%s: %w", path, err)
	}
	return g, nil
}

// Decode decodes and checks a configuration. An error names the key at fault.
func Decode(raw []byte, env func(string) string) (Gateway, error) {
	var file gatewayFile
	g := Gateway{}
	if err := json.Unmarshal(raw, &file); err != nil {
		return g, err
	}
	if len(file.Settings) == 0 {
		return g, errors.New("settings is missing")
	}
	settings, err := decodeSettings(file.Settings)
	if err != nil {
		return g, err
	}
	if err = settings.checkShape(); err != nil {
		return g, fmt.Errorf("settings.%w", err)
	}
	g.Settings = settings.settings()
	if len(file.Known) > 0 {
		if g.KnownEndpoints, err = endpoints.Decode(file.Known); err != nil {
			return g, fmt.Errorf("known: %w", err)
		}
		g.KnownEndpoints.Snapshot = true
	}
	if file.Seed != "" {
		seed, err := strconv.ParseUint(file.Seed, 16, 64)
		if err != nil {
			return g, fmt.Errorf("seed: %w", err)
		}
		g.Seed = int64(seed)
	}
	if err := g.setAddresses(&file, env); err != nil {
		return g, err
	}
	if file.CounterAddress != "" { // not used, but an error in it is reported
		if _, err = address("counter", file.CounterAddress); err != nil {
			return g, err
		}
		if g.Policy.WorkersReportLoad {
			return g, errors.New("counter: there is none where settings.report.how is answers")
		}
	}
	if err := g.setLimits(file.Limits); err != nil {
		return g, err
	}
	if g.Policy.AllowGossip && g.Policy.GatewayCount > 1 {
		return g, g.setPeers(file.PeerListen, file.Peers)
	}
	return g, nil
}

// setAddresses sets the name, the addresses, and the descriptor that the platform passes on.
func (g *Gateway) setAddresses(file *gatewayFile, env func(string) string) (err error) {
	g.Name = cmp.Or(file.Name, env("NODE_NAME"))
	if g.ListenAddress, err = address("listen", cmp.Or(file.ListenAddress, env("NODE_LISTEN"))); err != nil {
		return err
	}
	g.DiscoveryAddress, err = address("discovery", cmp.Or(file.DiscoveryAddress, env("NODE_DISCOVERY")))
	if err != nil {
		return err
	}
	if g.AdminAddress = cmp.Or(file.AdminAddress, env("NODE_CONTROL")); g.AdminAddress != "" {
		if _, err = address("control", g.AdminAddress); err != nil {
			return err
		}
	}
	if fd := env("NODE_FD"); fd != "" {
		if g.ListenerFD, err = strconv.Atoi(fd); err != nil || g.ListenerFD < 3 {
			return fmt.Errorf("NODE_FD: %q is no descriptor that a process may inherit", fd)
		}
		g.SharedDir = env("TMPDIR")
	}
	return nil
}

// setLimits sets the limits, or their defaults.
func (g *Gateway) setLimits(limits limitSettings) error {
	g.Cores = cmp.Or(limits.Cores, defaultCores)
	g.MemoryMB = cmp.Or(limits.MemoryMB, defaultMemoryMB)
	g.MaxSockets = cmp.Or(limits.Sockets, defaultSockets)
	switch {
	case g.Cores < 0:
		return fmt.Errorf("limits.cores: %v is negative", g.Cores)
	case g.MemoryMB < 0:
		return fmt.Errorf("limits.memory_mb: %d is negative", g.MemoryMB)
	case g.MaxSockets < 0:
		return fmt.Errorf("limits.sockets: %d is negative", g.MaxSockets)
	}
	return nil
}

// setPeers sets the addresses of the peer network.
func (g *Gateway) setPeers(listen string, list []string) error {
	var err error
	if g.PeerListenAddress, err = netip.ParseAddrPort(listen); err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	if len(list) != g.Policy.GatewayCount {
		return fmt.Errorf("peers: %d addresses for settings.balancers of %d", len(list), g.Policy.GatewayCount)
	}
	for i, p := range list {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
		g.PeerAddresses = append(g.PeerAddresses, a)
	}
	return nil
}

// address checks an IP:PORT that has to be there.
func address(key, value string) (string, error) {
	if value == "" {
		return "", fmt.Errorf("%s is missing", key)
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return "", fmt.Errorf("%s: %w", key, err)
	}
	return value, nil
}
