package relay

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"willowdeck/internal/strictoml"
)

// Bounds of a configuration.
const (
	maxUpstreams   = 16
	maxNameBytes   = 64 // as of a member of the ruleset
	maxConnections = 65536
	maxFullStateKB = 1 << 20
	minLeaseMillis = 100.0 // as of a ruleset
	maxLeaseMillis = 60000.0

	// Defaults of the keys that may be left out.
	defaultLeaseMillis          = 1000
	defaultConnections          = 4096
	defaultFullStateKBPerSecond = 8192
	defaultFullStateBurstKB     = 8192
)

// Config is a relay's configuration file.
type Config struct {
	Name           string
	Cluster        string   // the raft group's name
	Listen         string   // HOST:PORT for requests from below
	Control        string   // HOST:PORT for operators
	Upstreams      []string `toml:"upstream"` // HOST:PORT of each
	CheckpointPath string   `toml:"store"`    // with an empty one no checkpoint is kept
	LeaseMillis    float64  `toml:"lease_ms"` // until a ruleset says its own
	Seed           int64    // of the order of upstreams and of jitter; 0: drawn
	Limits         struct {
		Connections          int     // from below, at once
		FullStateKBPerSecond float64 `toml:"whole_kb_s"` // rate limit of full states
		FullStateBurstKB     float64 `toml:"whole_kb"`   // burst of that limit
	}
}

// ReadConfig reads and checks a configuration file. A relative CheckpointPath is taken from the file's
// folder. An error names the file, and the line or the key.
func ReadConfig(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &Config{LeaseMillis: defaultLeaseMillis}
	c.Limits.Connections = defaultConnections
	c.Limits.FullStateKBPerSecond = defaultFullStateKBPerSecond
	c.Limits.FullStateBurstKB = defaultFullStateBurstKB
	if err := strictoml.Decode(string(raw), c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if c.CheckpointPath != "" && !filepath.IsAbs(c.CheckpointPath) {
		c.CheckpointPath = filepath.Join(filepath.Dir(path), c.CheckpointPath)
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// check returns an error that begins with the first key that is wrong.
func (c *Config) check() error {
	switch {
	case c.Name == "" || len(c.Name) > maxNameBytes:
		return fmt.Errorf("name: it has 1 to %d bytes, not %d", maxNameBytes, len(c.Name))
	case c.Cluster == "" || len(c.Cluster) > maxNameBytes:
		return fmt.Errorf("cluster: it has 1 to %d bytes, not %d", maxNameBytes, len(c.Cluster))
	case len(c.Upstreams) == 0 || len(c.Upstreams) > maxUpstreams:
		return fmt.Errorf("upstream: %d are not from 1 to %d", len(c.Upstreams), maxUpstreams)
	case !(c.LeaseMillis >= minLeaseMillis && c.LeaseMillis <= maxLeaseMillis):
		return fmt.Errorf("lease_ms: %v is not from %v to %v", c.LeaseMillis, minLeaseMillis, maxLeaseMillis)
	}
	if err := c.checkLimits(); err != nil {
		return err
	}
	if err := c.checkAddresses(); err != nil {
		return err
	}
	if c.CheckpointPath != "" {
		folder := filepath.Dir(c.CheckpointPath)
		if info, err := os.Stat(folder); err == nil && !info.IsDir() {
			return fmt.Errorf("store: %s is no folder", folder)
		}
	}
	return nil
}

func (c *Config) checkLimits() error {
	l := &c.Limits
	switch {
	case l.Connections < 1 || l.Connections > maxConnections:
		return fmt.Errorf("limits.connections: %d is not from 1 to %d", l.Connections, maxConnections)
	case !(l.FullStateKBPerSecond >= 1 && l.FullStateKBPerSecond <= maxFullStateKB):
		return fmt.Errorf("limits.whole_kb_s: %v is not from 1 to %d", l.FullStateKBPerSecond, maxFullStateKB)
	case !(l.FullStateBurstKB >= 1 && l.FullStateBurstKB <= maxFullStateKB):
		return fmt.Errorf("limits.whole_kb: %v is not from 1 to %d", l.FullStateBurstKB, maxFullStateKB)
	}
	return nil
}

func (c *Config) checkAddresses() error {
	for _, address := range []struct{ key, value string }{{"listen", c.Listen}, {"control", c.Control}} {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return fmt.Errorf("%s: %w", address.key, err)
		}
	}
	if c.Listen == c.Control {
		return errors.New("control: it is the same as listen")
	}
	seen := map[string]bool{}
	for i, address := range c.Upstreams {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("upstream.%d: %w", i, err)
		}
		if seen[address] || address == c.Listen {
			return fmt.Errorf("upstream.%d: %s is there twice, or this relay's own", i, address)
		}
		seen[address] = true
	}
	return nil
}
