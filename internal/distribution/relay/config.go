package relay

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"willowdeck/internal/strictoml"
)

const (
	maxUpstreams   = 16
	maxNameBytes   = 64 // bytes, as members' names
	maxConnections = 65536
	maxFullStateKB = 1 << 20
	minLeaseMillis = 100.0   // ms, as rules have it
	maxLeaseMillis = 60000.0 // ms
)

// File is a relay as its file says it.
type Config struct {
	Name           string
	Cluster        string   // the council's name
	Listen         string   // HOST:PORT for those below
	Control        string   // HOST:PORT for operators
	Upstreams      []string `toml:"upstream"` // HOST:PORT of those above, in the order in which they are asked
	CheckpointPath string   `toml:"store"`    // the file of the copy; none where empty
	LeaseMillis    float64  `toml:"lease_ms"` // of the rules: until some are known, and then theirs holds
	Seed           int64    // of the pauses' jitter; 0 is drawn
	Limits         struct {
		Connections          int     // from below, at once
		FullStateKBPerSecond float64 `toml:"whole_kb_s"` // kB a second of states that are given whole
		FullStateBurstKB     float64 `toml:"whole_kb"`   // and kB of them at once
	}
}

// Read reads and checks a relay's file. An error names the file, and the line or the key.
func ReadConfig(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &Config{LeaseMillis: 1000}
	f.Limits.Connections, f.Limits.FullStateKBPerSecond, f.Limits.FullStateBurstKB = 4096, 8192, 8192
	if err := strictoml.Decode(string(raw), f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if f.CheckpointPath != "" && !filepath.IsAbs(f.CheckpointPath) {
		f.CheckpointPath = filepath.Join(filepath.Dir(path), f.CheckpointPath)
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// check names the first key that is wrong.
func (f *Config) check() error {
	switch {
	case f.Name == "" || len(f.Name) > maxNameBytes:
		return fmt.Errorf("name: it has 1 to %d bytes, not %d", maxNameBytes, len(f.Name))
	case f.Cluster == "" || len(f.Cluster) > maxNameBytes:
		return fmt.Errorf("cluster: it has 1 to %d bytes, not %d", maxNameBytes, len(f.Cluster))
	case len(f.Upstreams) == 0 || len(f.Upstreams) > maxUpstreams:
		return fmt.Errorf("upstream: %d are not from 1 to %d", len(f.Upstreams), maxUpstreams)
	case !(f.LeaseMillis >= minLeaseMillis && f.LeaseMillis <= maxLeaseMillis):
		return fmt.Errorf("lease_ms: %v is not from %v to %v", f.LeaseMillis, minLeaseMillis, maxLeaseMillis)
	case f.Limits.Connections < 1 || f.Limits.Connections > maxConnections:
		return fmt.Errorf("limits.connections: %d is not from 1 to %d", f.Limits.Connections, maxConnections)
	case !(f.Limits.FullStateKBPerSecond >= 1 && f.Limits.FullStateKBPerSecond <= maxFullStateKB):
		return fmt.Errorf("limits.whole_kb_s: %v is not from 1 to %d", f.Limits.FullStateKBPerSecond,
			maxFullStateKB)
	case !(f.Limits.FullStateBurstKB >= 1 && f.Limits.FullStateBurstKB <= maxFullStateKB):
		return fmt.Errorf("limits.whole_kb: %v is not from 1 to %d", f.Limits.FullStateBurstKB, maxFullStateKB)
	}
	for _, at := range []struct{ key, value string }{{"listen", f.Listen}, {"control", f.Control}} {
		if _, err := netip.ParseAddrPort(at.value); err != nil {
			return fmt.Errorf("%s: %w", at.key, err)
		}
	}
	if f.Listen == f.Control {
		return errors.New("control: it is the same as listen")
	}
	seen := map[string]bool{}
	for i, at := range f.Upstreams {
		if _, err := netip.ParseAddrPort(at); err != nil {
			return fmt.Errorf("upstream.%d: %w", i, err)
		}
		if seen[at] || at == f.Listen {
			return fmt.Errorf("upstream.%d: %s is there twice, or this relay's own", i, at)
		}
		seen[at] = true
	}
	if f.CheckpointPath != "" {
		if info, err := os.Stat(filepath.Dir(f.CheckpointPath)); err == nil && !info.IsDir() {
			return fmt.Errorf("store: %s is no folder", filepath.Dir(f.CheckpointPath))
		}
	}
	return nil
}
