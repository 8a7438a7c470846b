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

// What a gatekeeper takes where its configuration does not say.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024

	defaultIdleLimit = 10000.0 // ms; short, as it must be under what the workers' side allows
	defaultConnect   = 250.0   // ms
)

// Gatekeeper is all that one gatekeeper's program is told.
type Gatekeeper struct {
	Name      string
	Listen    string
	Discovery string
	FD        int    // of a listening socket that the platform holds for clients; 0 is none
	Scratch   string // the folder that this process shares with one that takes its place; empty where none
	Control   string // where operators call; empty where they don't
	Seed      int64
	Cores     float64
	MemoryMB  int
	Sockets   int
	PeerPort  netip.AddrPort   // where peers' datagrams arrive; not valid where peers are not talked to
	Peers     []netip.AddrPort // by number, this gatekeeper's own included
	Known     endpoints.List
	Ask       []string // operators' ports of running instances, that a newcomer asks for their list
	Tells     bool     // newcomers may ask this one for its list, at the operators' port
	Hall      string   // where this gatekeeper stands; where it is said, its word is told at the operators' port
	Host      string   // whose daemon keeps it
	Group     string   // of those that share quotas; empty is told by their addresses
	Residue   string   // the file that outlives a sudden end of this process; empty where none is kept
	Recall    bool     // beside it, a copy of quotas and demand
	Agree     string   // HOST:PORT of the daemon that tells which rules are in force; empty where none
	History   string   // the folder in which this process records what it does; empty where it does not
	Forward   *Forward // nil where forward authentication is off
	Journal   *Journal // nil where once-only txns are not written down
	Terms
}

// Read reads the configuration file. What it lacks of name, listen and discovery comes from the
// environment.
func Read(path string, env func(string) string) (Gatekeeper, error) {
	if path == "" {
		return Gatekeeper{}, errors.New("NODE_CONFIG is not set: it names the configuration file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Gatekeeper{}, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	g, err := Decode(raw, env)
	if err != nil {
		return g, fmt.Errorf("%s: %w", path, err)
	}
	return g, nil
}

// Decode reads and checks a configuration.
func Decode(raw []byte, env func(string) string) (Gatekeeper, error) {
	var m struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Cores    float64
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Control    string
		Counter    string
		PeerListen string `json:"peer_listen"`
		Peers      []string
		Known      json.RawMessage
		Settings   json.RawMessage
	}
	g := Gatekeeper{}
	if err := json.Unmarshal(raw, &m); err != nil {
		return g, err
	}
	if len(m.Settings) == 0 {
		return g, errors.New("settings is missing")
	}
	s, err := read(m.Settings)
	if err != nil {
		return g, err
	}
	if err = s.mixed(); err != nil {
		return g, fmt.Errorf("settings.%w", err)
	}
	g.Terms = s.terms()
	if len(m.Known) > 0 {
		if g.Known, err = endpoints.Decode(m.Known); err != nil {
			return g, fmt.Errorf("known: %w", err)
		}
		g.Known.Snapshot = true
	}
	if m.Seed != "" {
		seed, err := strconv.ParseUint(m.Seed, 16, 64)
		if err != nil {
			return g, fmt.Errorf("seed: %w", err)
		}
		g.Seed = int64(seed)
	}
	g.Name = cmp.Or(m.Name, env("NODE_NAME"))
	if g.Listen, err = address("listen", cmp.Or(m.Listen, env("NODE_LISTEN"))); err != nil {
		return g, err
	}
	if g.Discovery, err = address("discovery", cmp.Or(m.Discovery, env("NODE_DISCOVERY"))); err != nil {
		return g, err
	}
	if g.Control = cmp.Or(m.Control, env("NODE_CONTROL")); g.Control != "" {
		if _, err = address("control", g.Control); err != nil {
			return g, err
		}
	}
	if fd := env("NODE_FD"); fd != "" {
		if g.FD, err = strconv.Atoi(fd); err != nil || g.FD < 3 {
			return g, fmt.Errorf("NODE_FD: %q is no descriptor that a process may inherit", fd)
		}
		g.Scratch = env("TMPDIR")
	}
	if m.Counter != "" { // not used, but what is wrong in a configuration is said
		if _, err = address("counter", m.Counter); err != nil {
			return g, err
		}
		if g.Charter.LoadTold {
			return g, errors.New("counter: there is none where settings.report.how is answers")
		}
	}
	g.Cores = cmp.Or(m.Limits.Cores, defaultCores)
	g.MemoryMB = cmp.Or(m.Limits.MemoryMB, defaultMemoryMB)
	g.Sockets = cmp.Or(m.Limits.Sockets, defaultSockets)
	switch {
	case g.Cores < 0:
		return g, fmt.Errorf("limits.cores: %v is below nought", g.Cores)
	case g.MemoryMB < 0:
		return g, fmt.Errorf("limits.memory_mb: %d is below nought", g.MemoryMB)
	case g.Sockets < 0:
		return g, fmt.Errorf("limits.sockets: %d is below nought", g.Sockets)
	}
	if g.Charter.MayTell && g.Charter.Gatekeepers > 1 {
		return g, g.peers(m.PeerListen, m.Peers)
	}
	return g, nil
}

func (g *Gatekeeper) peers(listen string, list []string) error {
	var err error
	if g.PeerPort, err = netip.ParseAddrPort(listen); err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	if len(list) != g.Charter.Gatekeepers {
		return fmt.Errorf("peers: %d addresses for settings.balancers of %d", len(list), g.Charter.Gatekeepers)
	}
	for i, p := range list {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
		g.Peers = append(g.Peers, a)
	}
	return nil
}

// address checks an address that must be there.
func address(key, value string) (string, error) {
	if value == "" {
		return "", fmt.Errorf("%s is missing", key)
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return "", fmt.Errorf("%s: %w", key, err)
	}
	return value, nil
}
