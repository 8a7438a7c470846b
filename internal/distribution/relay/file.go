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
	mostUpstreams   = 16
	mostName        = 64 // bytes, as members' names
	mostConnections = 65536
	mostKB          = 1 << 20
	leastLease      = 100.0   // ms, as rules have it
	mostLease       = 60000.0 // ms
)

// File is a relay as its file says it.
type File struct {
	Name     string
	Cluster  string   // the council's name
	Listen   string   // HOST:PORT for those below
	Control  string   // HOST:PORT for operators
	Upstream []string `toml:"upstream"` // HOST:PORT of those above, in the order in which they are asked
	Store    string   `toml:"store"`    // the file of the copy; none where empty
	LeaseMS  float64  `toml:"lease_ms"` // of the rules: until some are known, and then theirs holds
	Seed     int64    // of the pauses' jitter; 0 is drawn
	Limits   struct {
		Connections int     // from below, at once
		WholeKBS    float64 `toml:"whole_kb_s"` // kB a second of states that are given whole
		WholeKB     float64 `toml:"whole_kb"`   // and kB of them at once
	}
}

// Read reads and checks a relay's file. An error names the file, and the line or the key.
func Read(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &File{LeaseMS: 1000}
	f.Limits.Connections, f.Limits.WholeKBS, f.Limits.WholeKB = 4096, 8192, 8192
	if err := strictoml.Decode(string(raw), f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if f.Store != "" && !filepath.IsAbs(f.Store) {
		f.Store = filepath.Join(filepath.Dir(path), f.Store)
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// check names the first key that is wrong.
func (f *File) check() error {
	switch {
	case f.Name == "" || len(f.Name) > mostName:
		return fmt.Errorf("name: it has 1 to %d bytes, not %d", mostName, len(f.Name))
	case f.Cluster == "" || len(f.Cluster) > mostName:
		return fmt.Errorf("cluster: it has 1 to %d bytes, not %d", mostName, len(f.Cluster))
	case len(f.Upstream) == 0 || len(f.Upstream) > mostUpstreams:
		return fmt.Errorf("upstream: %d are not from 1 to %d", len(f.Upstream), mostUpstreams)
	case !(f.LeaseMS >= leastLease && f.LeaseMS <= mostLease):
		return fmt.Errorf("lease_ms: %v is not from %v to %v", f.LeaseMS, leastLease, mostLease)
	case f.Limits.Connections < 1 || f.Limits.Connections > mostConnections:
		return fmt.Errorf("limits.connections: %d is not from 1 to %d", f.Limits.Connections, mostConnections)
	case !(f.Limits.WholeKBS >= 1 && f.Limits.WholeKBS <= mostKB):
		return fmt.Errorf("limits.whole_kb_s: %v is not from 1 to %d", f.Limits.WholeKBS, mostKB)
	case !(f.Limits.WholeKB >= 1 && f.Limits.WholeKB <= mostKB):
		return fmt.Errorf("limits.whole_kb: %v is not from 1 to %d", f.Limits.WholeKB, mostKB)
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
	for i, at := range f.Upstream {
		if _, err := netip.ParseAddrPort(at); err != nil {
			return fmt.Errorf("upstream.%d: %w", i, err)
		}
		if seen[at] || at == f.Listen {
			return fmt.Errorf("upstream.%d: %s is there twice, or this relay's own", i, at)
		}
		seen[at] = true
	}
	if f.Store != "" {
		if info, err := os.Stat(filepath.Dir(f.Store)); err == nil && !info.IsDir() {
			return fmt.Errorf("store: %s is no folder", filepath.Dir(f.Store))
		}
	}
	return nil
}
