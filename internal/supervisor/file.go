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
const mostInstances = 500

// File is a fleet as its file says it.
type File struct {
	Name      string `toml:"name"`
	Instances int    `toml:"instances"`
	Program   string `toml:"program"`   // the gatekeeper's; empty is the daemon's own
	Config    string `toml:"config"`    // what each is told, but for its own name, number and addresses
	RunDir    string `toml:"run_dir"`   // of what the daemon writes
	Control   string `toml:"control"`   // the daemon's own operators' port
	Listen    string `toml:"listen"`    // the first instance's address for clients; each next one has the next port
	Operators string `toml:"operators"` // the first instance's operators' port; each has two, as one process may follow another
	Peers     string `toml:"peers"`     // the first instance's address for peers' datagrams
	Host      struct {
		MemoryMB int `toml:"memory_mb"` // that all instances may have together; 0 is not checked
		Sockets  int `toml:"sockets"`
	} `toml:"host"`
	Restart struct {
		FirstMS float64 `toml:"first_ms"`
		MostMS  float64 `toml:"most_ms"`
		CalmS   float64 `toml:"calm_s"`
	} `toml:"restart"`
	ReadyS float64 `toml:"ready_s"`
	GraceS float64 `toml:"grace_s"`
	Step   int     `toml:"step"`

	Remember bool   `toml:"remember"` // instances keep what outlives a sudden end
	Recall   bool   `toml:"recall"`   // of quotas and demand too
	Warm     bool   `toml:"warm"`     // and ask others for their list until discovery has spoken
	Hall     string `toml:"hall"`
	Outlook  Looks  `toml:"outlook"`

	Council *CouncilFile                 `toml:"council"` // several hosts agree on the rules
	Relay   *RelayFile                   `toml:"relay"`   // others do, and this host hears of them by relays
	Reach   map[string]map[string]string `toml:"reach"`   // by instance, and for the council: address in place of another
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
	if err := strictoml.Decode(string(raw), &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	paths := []*string{&f.Config, &f.RunDir}
	if f.Council != nil {
		paths = append(paths, &f.Council.Store, &f.Council.Rules)
	}
	if f.Relay != nil {
		paths = append(paths, &f.Relay.Store)
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
	Agreed                         *Agreed // nil where no rules are agreed on

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

// span is n addresses in a row, each one port above the one before.
type span struct {
	key   string
	first netip.AddrPort
	n     int
}

// spanOf reads one, that meets none of those taken before it.
func spanOf(key, first string, n int, taken *[]span) (span, error) {
	a, err := netip.ParseAddrPort(first)
	if err != nil {
		return span{}, fmt.Errorf("%s: %w", key, err)
	}
	if a.Port() == 0 || int(a.Port())+n > 65536 {
		return span{}, fmt.Errorf("%s: there are no %d ports from %d on", key, n, a.Port())
	}
	s := span{key, a, n}
	for _, o := range *taken {
		if from := max(int(o.first.Port()), int(a.Port())); o.first.Addr() == a.Addr() &&
			from < min(int(o.first.Port())+o.n, int(a.Port())+n) {
			return span{}, fmt.Errorf("%s: %s is one of %s", key, netip.AddrPortFrom(a.Addr(), uint16(from)), o.key)
		}
	}
	*taken = append(*taken, s)
	return s, nil
}

// at gives the i-th address.
func (s span) at(i int) string {
	return netip.AddrPortFrom(s.first.Addr(), s.first.Port()+uint16(i)).String()
}

func (f *File) fleet() (*Fleet, error) {
	agreed, err := f.agreed()
	switch {
	case err != nil:
		return nil, err
	case f.Name == "":
		return nil, errors.New("name: there is none")
	case agreed == nil && (f.Instances < 0 || f.Instances > mostInstances || f.Instances == 0 && f.Hall == ""):
		return nil, fmt.Errorf("instances: %d is not from 1 to %d, nor nought beside a hall", f.Instances,
			mostInstances)
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
	switch {
	case agreed == nil:
	case agreed.Rules != nil:
		fl.places = len(agreed.Rules.Members)
		fl.Instances, err = f.members(agreed.Rules)
	case agreed.Relay != nil: // which there are the relays say; what they will be told is checked now
		_, err = f.members(&ruleset.Rules{Members: []ruleset.Member{{Name: f.Name, Host: f.Relay.Me}}})
	}
	if agreed != nil {
		return fl, err
	}
	var taken []span
	if _, err := spanOf("control", f.Control, 1, &taken); err != nil {
		return nil, err
	}
	if f.Instances == 0 { // it only looks ahead
		return fl, nil
	}
	clients, err := spanOf("listen", f.Listen, f.Instances, &taken)
	if err != nil {
		return nil, err
	}
	operators, err := spanOf("operators", f.Operators, 2*f.Instances, &taken)
	if err != nil {
		return nil, err
	}
	var peers []string
	if f.Peers != "" {
		hear, err := spanOf("peers", f.Peers, f.Instances, &[]span{}) // datagrams
		if err != nil {
			return nil, err
		}
		for i := range f.Instances {
			peers = append(peers, hear.at(i))
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
		in, g, err := f.instance(raw, fmt.Sprintf("%s-%d", f.Name, i), i, f.Instances, clients.at(i), listen,
			peers)
		if err != nil {
			return nil, err
		}
		in.Operators = [2]string{operators.at(2 * i), operators.at(2*i + 1)}
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
