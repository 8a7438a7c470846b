package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"willowdeck/internal/config"
	"willowdeck/internal/strict"
)

// File is a fleet as its file says it.
type File struct {
	Name      string
	Instances int
	Program   string // the gatekeeper's; empty is the daemon's own
	Config    string // what each is told, but for its own name, number and addresses
	RunDir    string `toml:"run_dir"` // of what the daemon writes
	Control   string // the daemon's own operators' port
	Listen    string // the first instance's address for clients; each next one has the next port
	Operators string // the first instance's operators' port; each has two, as one process may follow another
	Peers     string // the first instance's address for peers' datagrams
	Host      struct {
		MemoryMB int `toml:"memory_mb"` // that all instances may have together; 0 is not checked
		Sockets  int
	}
	Restart struct {
		FirstMS float64 `toml:"first_ms"`
		MostMS  float64 `toml:"most_ms"`
		CalmS   float64 `toml:"calm_s"`
	}
	ReadyS float64 `toml:"ready_s"`
	GraceS float64 `toml:"grace_s"`
	Step   int

	Remember bool // instances keep what outlives a sudden end
	Recall   bool // of quotas and demand too
	Warm     bool // and ask others for their list until discovery has spoken
	Hall     string
	Outlook  Looks

	Council *CouncilFile                 // several hosts agree on the rules
	Reach   map[string]map[string]string // by instance, and for the council: address in place of another
}

// Read reads and checks a fleet's file, and the configuration that it names. An error names the file, and
// the line or the key.
func Read(path string) (*Fleet, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := File{ReadyS: 6, GraceS: 4, Step: 1, Remember: true, Recall: true, Warm: true, Outlook: usualLooks()}
	f.Restart.FirstMS, f.Restart.MostMS, f.Restart.CalmS = 200, 10000, 30
	if err := strict.Decode(string(raw), &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	paths := []*string{&f.Config, &f.RunDir}
	if f.Council != nil {
		paths = append(paths, &f.Council.Store, &f.Council.Rules)
	}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(path), *p)
		}
	}
	fl, err := f.fleet()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return fl, nil
}

// Fleet is a fleet's file as it is carried out.
type Fleet struct {
	Name, Program, RunDir, Control string
	Pace                           Pace
	Instances                      []Instance
	Remember, Recall, Warm         bool
	Hall                           string // where it stands; empty where it looks ahead at nothing
	Looks                          Looks
	Agreed                         *Agreed // nil where there is no council

	file   *File
	places int // gatekeepers that there are, on all hosts
}

// Instance is one gatekeeper of it.
type Instance struct {
	Name      string
	Listen    string
	Operators [2]string // in turn, so that two processes can be there at once
	Config    []byte    // all that it is told, but for the operators' port
}

// span gives n addresses, each one port above the one before.
func span(key, first string, n int, taken map[netip.AddrPort]string) ([]string, error) {
	a, err := netip.ParseAddrPort(first)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	if a.Port() == 0 || int(a.Port())+n > 65536 {
		return nil, fmt.Errorf("%s: there are no %d ports from %d on", key, n, a.Port())
	}
	var all []string
	for i := range n {
		x := netip.AddrPortFrom(a.Addr(), a.Port()+uint16(i))
		if other, there := taken[x]; there {
			return nil, fmt.Errorf("%s: %s is one of %s", key, x, other)
		}
		taken[x] = key
		all = append(all, x.String())
	}
	return all, nil
}

func (f *File) fleet() (*Fleet, error) {
	agreed, err := f.agreed()
	switch {
	case err != nil:
		return nil, err
	case f.Name == "":
		return nil, errors.New("name: there is none")
	case f.Council == nil && (f.Instances < 0 || f.Instances > 500 || f.Instances == 0 && f.Hall == ""):
		return nil, fmt.Errorf("instances: %d is not from 1 to 500, nor nought beside a hall", f.Instances)
	case f.RunDir == "":
		return nil, errors.New("run_dir: there is none")
	case !(f.Restart.FirstMS > 0) || !(f.Restart.MostMS >= f.Restart.FirstMS):
		return nil, fmt.Errorf("restart.most_ms: %v is under restart.first_ms, or that is nought", f.Restart.MostMS)
	case !(f.Restart.CalmS > 0):
		return nil, fmt.Errorf("restart.calm_s: %v is not above nought", f.Restart.CalmS)
	case !(f.ReadyS > 0) || !(f.GraceS > 0):
		return nil, errors.New("ready_s, grace_s: they must be above nought")
	case f.Step < 1:
		return nil, fmt.Errorf("step: %d is under one", f.Step)
	}
	fl := &Fleet{Remember: f.Remember, Recall: f.Recall, Warm: f.Warm, Agreed: agreed, file: f,
		places: f.Instances, Name: f.Name, Program: f.Program, RunDir: f.RunDir, Control: f.Control,
		Pace: Pace{First: f.Restart.FirstMS, Most: f.Restart.MostMS, Calm: f.Restart.CalmS * 1000,
			Within: f.ReadyS * 1000, Grace: f.GraceS * 1000, Step: f.Step}}
	if err := f.looks(fl); err != nil {
		return nil, err
	}
	if agreed != nil && agreed.Wrong == nil {
		fl.places = len(agreed.Rules.Members)
		fl.Instances, err = f.members(agreed.Rules)
	}
	if agreed != nil {
		return fl, err
	}
	taken := map[netip.AddrPort]string{}
	if _, err := span("control", f.Control, 1, taken); err != nil {
		return nil, err
	}
	if f.Instances == 0 { // it only looks ahead
		return fl, nil
	}
	clients, err := span("listen", f.Listen, f.Instances, taken)
	if err != nil {
		return nil, err
	}
	operators, err := span("operators", f.Operators, 2*f.Instances, taken)
	if err != nil {
		return nil, err
	}
	var peers []string
	if f.Peers != "" {
		if peers, err = span("peers", f.Peers, f.Instances, map[netip.AddrPort]string{}); err != nil { // datagrams
			return nil, err
		}
	}
	raw, err := os.ReadFile(f.Config)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	for i := range f.Instances {
		listen := ""
		if len(peers) > 0 {
			listen = peers[i]
		}
		in, g, err := f.instance(raw, fmt.Sprintf("%s-%d", f.Name, i), i, f.Instances, clients[i], listen, peers)
		if err != nil {
			return nil, err
		}
		in.Operators = [2]string{operators[2*i], operators[2*i+1]}
		if err := f.roomFor(g, f.Instances); err != nil {
			return nil, err
		}
		fl.Instances = append(fl.Instances, in)
	}
	return fl, nil
}

// instance makes one of what all are told: the i-th of n.
func (f *File) instance(raw []byte, name string, i, n int, listen, hears string, peers []string) (in Instance,
	g config.Gatekeeper, err error) {
	in = Instance{Name: name, Listen: listen}
	var c map[string]any
	if err := json.Unmarshal(raw, &c); err != nil {
		return in, g, fmt.Errorf("config: %s: %w", f.Config, err)
	}
	settings, ok := c["settings"].(map[string]any)
	if !ok {
		return in, g, fmt.Errorf("config: %s: settings is missing", f.Config)
	}
	settings["me"], settings["balancers"] = i, n
	c["name"], c["listen"] = in.Name, in.Listen
	delete(c, "control")
	if len(peers) > 0 {
		c["peer_listen"], c["peers"] = hears, peers
	}
	if in.Config, err = json.MarshalIndent(c, "", " "); err != nil {
		return in, g, fmt.Errorf("config: %w", err)
	}
	if g, err = config.Decode(in.Config, func(string) string { return "" }); err != nil {
		err = fmt.Errorf("config: %s: %w", f.Config, err)
	}
	return in, g, err
}

// roomFor checks that the host has room for n of them.
func (f *File) roomFor(g config.Gatekeeper, n int) error {
	if all := g.MemoryMB * n; f.Host.MemoryMB > 0 && all > f.Host.MemoryMB {
		return fmt.Errorf("host.memory_mb: %d instances of %d MB have %d, over %d", n, g.MemoryMB, all,
			f.Host.MemoryMB)
	}
	if all := g.Sockets * n; f.Host.Sockets > 0 && all > f.Host.Sockets {
		return fmt.Errorf("host.sockets: %d instances of %d have %d, over %d", n, g.Sockets, all, f.Host.Sockets)
	}
	return nil
}
