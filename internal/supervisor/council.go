package supervisor

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/gateway/lifecycle"
	"willowdeck/internal/gateway/recovery/crashstate"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/ruleset/rulefile"
	"willowdeck/internal/testkit/history"
)

const (
	// nobody stands in a configuration for a peer that has no address: what is sent to it is dropped here.
	nobody = "0.0.0.0:0"
	// toCouncil is the name under reach by which the council's own addresses are rewritten.
	toCouncil     = "council"
	mostHosts     = 31 // of a council: each entry waits for half of them
	mostUpstreams = 16 // of a host's: each is asked in turn while none is fresh
	lastRules     = "rules.json"
)

// CouncilFile is what a fleet's file says of the council; nil where there is none.
type CouncilFile struct {
	Me     string // this host among the hosts
	Listen string // HOST:PORT for the other daemons
	Store  string // the file of the log
	Rules  string // the file of the rules that this daemon proposes
	Found  bool   // on a first start: a council is founded once all hosts are there with empty stores
	Serve  string // HOST:PORT for relays that follow this daemon; empty: none do
	Hosts  []struct{ Name, Address string }
}

// RelayFile is what a fleet's file says of a host that hears by relays what a council has agreed on; nil
// where there is none.
type RelayFile struct {
	Me       string   // this host, as members name it
	Upstream []string // HOST:PORT of relays, or of council daemons that serve: each may be asked
	Store    string   // the file of what was heard last, as a base for changes of it
}

// Agreed is a fleet's part in rules that are agreed on, as it is carried out: by a seat in the council, or
// below relays.
type Agreed struct {
	Charter raftlog.Config
	Relay   *RelayFile // nil in a council
	Rules   *ruleset.Rules
	Wrong   error  // what is wrong with the rules' file: it keeps a daemon from starting only on its first start
	Stamp   string // of the rules' file: what has not been written since is not proposed anew
	Reach   map[string]map[string]string
	Serve   string // HOST:PORT for relays; empty: none follow
}

// agreed checks what the file says of the council, or of relays.
func (f *File) agreed() (*Agreed, error) {
	c := f.Council
	switch {
	case c == nil && f.Relay == nil && len(f.Reach) > 0:
		return nil, errors.New("reach: it is for agreed rules, and there are none")
	case c == nil && f.Relay == nil:
		return nil, nil
	case c != nil && f.Relay != nil:
		return nil, errors.New("relay: there is a council, and a host that sits in it hears its own word")
	case f.Instances != 0:
		return nil, errors.New("instances: the rules say which there are")
	case f.Peers != "":
		return nil, errors.New("peers: the rules say where they hear")
	case f.Relay != nil:
		return f.below()
	case c.Store == "":
		return nil, errors.New("council.store: there is none")
	case c.Rules == "":
		return nil, errors.New("council.rules: there is none")
	case len(c.Hosts) == 0 || len(c.Hosts) > mostHosts:
		return nil, fmt.Errorf("council.hosts: %d are not from 1 to %d", len(c.Hosts), mostHosts)
	}
	a := &Agreed{Reach: f.Reach, Serve: c.Serve, Charter: raftlog.Config{Cluster: f.Name, HostName: c.Me,
		Listen:    c.Listen,
		StorePath: c.Store, Bootstrap: c.Found, AddressOverrides: f.Reach[toCouncil]}}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return nil, fmt.Errorf("council.listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(c.Serve); err != nil && c.Serve != "" {
		return nil, fmt.Errorf("council.serve: %w", err)
	}
	names, at := map[string]bool{}, map[string]bool{}
	for i, h := range c.Hosts {
		if h.Name == "" || names[h.Name] {
			return nil, fmt.Errorf("council.hosts.%d.name: %q is none, or another's", i, h.Name)
		}
		if _, err := netip.ParseAddrPort(h.Address); err != nil || at[h.Address] {
			return nil, fmt.Errorf("council.hosts.%d.address: %q is none, or another's", i, h.Address)
		}
		names[h.Name], at[h.Address] = true, true
		a.Charter.Hosts = append(a.Charter.Hosts, raftlog.Host{Name: h.Name, Address: h.Address})
	}
	if !names[c.Me] {
		return nil, fmt.Errorf("council.me: %q is none of the hosts", c.Me)
	}
	if err := f.ways(); err != nil {
		return nil, err
	}
	info, err := os.Stat(c.Rules)
	if err != nil {
		return nil, fmt.Errorf("council.rules: %w", err)
	}
	a.Stamp = fmt.Sprint(info.ModTime().UnixNano(), info.Size())
	r, err := rulefile.Read(c.Rules)
	if a.Rules = &r; err != nil {
		a.Rules, a.Wrong = nil, fmt.Errorf("council.rules: %w", err)
	}
	return a, nil
}

// ways checks the addresses that are reached in place of others.
func (f *File) ways() error {
	for who, ways := range f.Reach {
		for from, to := range ways {
			_, bad := netip.ParseAddrPort(from)
			_, worse := netip.ParseAddrPort(to)
			if err := errors.Join(bad, worse); err != nil {
				return fmt.Errorf("reach.%s: %w", who, err)
			}
		}
	}
	return nil
}

// below checks what the file says of relays.
func (f *File) below() (*Agreed, error) {
	r, seen := f.Relay, map[string]bool{}
	switch {
	case r.Me == "":
		return nil, errors.New("relay.me: there is none")
	case r.Store == "":
		return nil, errors.New("relay.store: there is none")
	case len(r.Upstream) == 0 || len(r.Upstream) > mostUpstreams:
		return nil, fmt.Errorf("relay.upstream: %d are not from 1 to %d", len(r.Upstream), mostUpstreams)
	}
	for i, at := range r.Upstream {
		if _, err := netip.ParseAddrPort(at); err != nil || seen[at] {
			return nil, fmt.Errorf("relay.upstream.%d: %q is no address, or there twice", i, at)
		}
		seen[at] = true
	}
	return &Agreed{Reach: f.Reach, Relay: r}, f.ways()
}

// me is this host, as members name it.
func (f *File) me() string {
	if f.Relay != nil {
		return f.Relay.Me
	}
	return f.Council.Me
}

// members gives this host's instances by rules. A member's place gives its ports, as it keeps it for life:
// the address for clients is place ports above the first, the two operators' ports twice that.
func (f *File) members(r *ruleset.Rules) ([]Instance, error) {
	n, taken := len(r.Members), []span(nil)
	if _, err := spanOf("control", f.Control, 1, &taken); err != nil {
		return nil, err
	}
	clients, err := spanOf("listen", f.Listen, n, &taken)
	if err != nil {
		return nil, err
	}
	operators, err := spanOf("operators", f.Operators, 2*n, &taken)
	if err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(f.Config)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var all []Instance
	for place, m := range r.Members {
		if m.Name == "" || m.Host != f.me() {
			continue
		}
		var peers []string
		if m.Peers != "" {
			for _, o := range r.Members {
				peers = append(peers, f.reaches(m.Name, o.Peers))
			}
		}
		in, g, err := f.instance(raw, m.Name, place, n, clients.at(place), m.Peers, peers)
		if err != nil {
			return nil, err
		}
		in.Operators = [2]string{operators.at(2 * place), operators.at(2*place + 1)}
		for _, p := range r.Plans {
			if _, known := g.Names.Plans[p.Name]; !known {
				return nil, fmt.Errorf("rules: plans.%s: %s has no such tariff", p.Name, f.Config)
			}
		}
		if err := f.roomFor(g, len(all)+1); err != nil {
			return nil, err
		}
		all = append(all, in)
	}
	return all, nil
}

// reaches is where a peer hears that one instance speaks to.
func (f *File) reaches(name, peer string) string {
	if peer == "" {
		return nobody
	}
	if to := f.Reach[name][peer]; to != "" {
		return to
	}
	return peer
}

// voice is where a daemon hears which rules are in force, and says what its processes go by: its seat in the
// council, or the relays above it. It is safe for concurrent use, and nothing of it waits.
type voice interface {
	Changed() <-chan struct{}
	InForce() ruleset.Version
	ProcessStarted(pid int, before bool)
	ProcessExited(pid int)
	RenewLease(pid int, name string, holds uint64, index int64) (ruleset.Lease, bool)
	HighestDiscoveryIndex() int64
	Close()
}

// seat is a daemon's part in agreed rules.
type seat struct {
	voice
	council *raftlog.RulesetNode // nil below relays
	branch  *branch              // nil in a council
	teller  *teller
	file    *File
	record  *history.Log
	stamp   string
	ended   chan struct{}
	root    *relay.Root // nil where no relay follows
}

// convene takes this host's seat, or its place below relays. Its instances are those of the version that a
// daemon before this one knew last, or of the file.
func (d *Daemon) convene(f *Fleet) error {
	a := f.Agreed
	if err := f.resume(); err != nil {
		return err
	}
	if a.Wrong != nil {
		d.log.Error().Err(a.Wrong).Msg("going on with the rules that were carried out last")
	}
	s := &seat{file: f.file, stamp: a.Stamp, ended: make(chan struct{})}
	var record history.Recorder
	if dir := os.Getenv("WILLOWDECK_HISTORY"); dir != "" {
		var err error
		path := filepath.Join(dir, fmt.Sprintf("%s.%d.jsonl", f.file.me(), os.Getpid()))
		if s.record, err = history.Open(path, f.file.me(), crashstate.Uptime()); err != nil {
			return err
		}
		record = s.record
	}
	var err error
	if a.Relay != nil {
		s.branch = newBranch(f.Name, a.Relay, record, d.log)
		s.voice = s.branch
	} else {
		s.council, err = raftlog.NewRulesetNode(a.Charter, a.Rules, record, d.log)
		s.voice = s.council
	}
	if err != nil {
		_ = s.record.Close()
		return err
	}
	s.teller = newTeller(f.Name)
	if a.Serve != "" {
		if s.root, err = relay.NewRoot(s.council, a.Charter.HostName, a.Charter.Cluster, a.Serve,
			d.log); err != nil {
			s.Close()
			_ = s.record.Close()
			return fmt.Errorf("council.serve: %w", err)
		}
	}
	d.seat = s
	return nil
}

// resume has the instances be those of the rules that were carried out last on this host, if there were any;
// else those of the rules' file, which has to be right then.
func (f *Fleet) resume() error {
	last, err := f.last()
	if err == nil {
		var all []Instance
		if all, err = f.file.members(last); err == nil {
			f.Instances, f.places = all, len(last.Members)
			return nil
		}
	}
	return f.Agreed.Wrong
}

// last gives the rules that were carried out last on this host.
func (f *Fleet) last() (*ruleset.Rules, error) {
	raw, err := os.ReadFile(filepath.Join(f.RunDir, lastRules))
	if err != nil {
		return nil, err
	}
	var v ruleset.Version
	if err := json.Unmarshal(raw, &v); err != nil {
		return nil, err
	}
	if f.Agreed.Relay != nil { // a part of them is all that this host is told
		return &v.Rules, ruleset.ValidateSubset(&v.Rules)
	}
	return &v.Rules, ruleset.Validate(&v.Rules)
}

// follow carries out each version that comes in force.
func (d *Daemon) follow() {
	defer close(d.seat.ended)
	for {
		select {
		case <-d.done:
			return
		case <-d.seat.Changed():
		}
		d.mu.Lock()
		if err := d.carry(); err != nil {
			d.log.Error().Err(err).Msg("rules in force that can't be carried out here: instances stay as they are")
		}
		d.turn()
		d.mu.Unlock()
	}
}

// carry has the instances be those of the version in force, under the lock.
func (d *Daemon) carry() error {
	s := d.seat
	v := s.InForce()
	if v.Number == 0 {
		return nil
	}
	all, err := s.file.members(&v.Rules)
	if err != nil {
		return err
	}
	f := *d.fleet
	f.Instances = all
	f.places = len(v.Rules.Members)
	d.want(&f)
	raw, err := json.Marshal(v)
	path := filepath.Join(f.RunDir, lastRules)
	if err == nil {
		err = os.WriteFile(path+".part", raw, 0o600)
	}
	if err == nil {
		err = os.Rename(path+".part", path)
	}
	if err != nil {
		d.log.Warn().Err(err).Msg("a daemon after this one starts with the instances of its file")
	}
	return nil
}

// recall takes up a file that has been read anew: where the others are, and the rules that it proposes.
func (d *Daemon) recall(f *Fleet) error {
	s, was, a := d.seat, d.fleet.Agreed, f.Agreed
	switch {
	case (was == nil) != (a == nil) || a != nil && (was.Relay == nil) != (a.Relay == nil):
		return errors.New("council, relay: neither can come or go while the daemon runs")
	case a == nil:
		return nil
	case a.Relay != nil:
		if was.Relay.Me != a.Relay.Me || was.Relay.Store != a.Relay.Store {
			return errors.New("relay.me and relay.store can't change while the daemon runs")
		}
		s.file = f.file
		s.branch.follows(a.Relay.Upstream)
		return nil
	}
	if a.Wrong != nil {
		return a.Wrong
	}
	x, y := was.Charter, a.Charter
	if x.HostName != y.HostName || x.Listen != y.Listen || x.StorePath != y.StorePath || was.Serve != a.Serve {
		return errors.New("council.me, .listen, .store and .serve can't change while the daemon runs")
	}
	s.council.SetHosts(y.Hosts, y.AddressOverrides)
	s.file = f.file
	if a.Stamp == s.stamp {
		return nil
	}
	s.stamp = a.Stamp
	id, err := s.council.Propose(a.Rules)
	if err != nil {
		return fmt.Errorf("council.rules: %w", err)
	}
	d.log.Info().Str("proposal", id).Msg("council: to be proposed")
	return nil
}

// adjourn gives the seat up, once all instances have ended.
func (d *Daemon) adjourn() {
	if d.seat == nil {
		return
	}
	<-d.seat.ended
	if d.seat.root != nil {
		d.seat.root.Close()
	}
	d.seat.Close()
	if err := d.seat.record.Close(); err != nil {
		d.log.Warn().Err(err).Msg("record")
	}
}

// leaves books a process that a daemon before this one has left and that is to end: until it has, it may go
// by what it was told.
func (d *Daemon) leaves(r *running) {
	if d.seat != nil {
		d.began(r, true)
		d.strays = append(d.strays, r)
	}
}

// left books the ends of those, under the lock.
func (d *Daemon) left() {
	d.strays = slices.DeleteFunc(d.strays, func(r *running) bool {
		if born(r.Pid) == r.Born {
			return false
		}
		d.pids.Delete(r.Pid)
		d.seat.ProcessExited(r.Pid)
		return true
	})
}

const notConfirmed = "no quorum has confirmed within the lease what is in force"

// asked reads what an instance's question says beside its path, books it, and gives the lease to answer it
// by; false: it has been answered. It waits for nothing: what it says is what a quorum has confirmed last,
// and how long ago that is.
func (d *Daemon) asked(w http.ResponseWriter, r *http.Request) (name string, l ruleset.Lease, ok bool) {
	q := r.URL.Query()
	name = q.Get("instance")
	pid, err := strconv.Atoi(q.Get("pid"))
	holds, bad := strconv.ParseUint(q.Get("holds"), 10, 64)
	index, worse := strconv.ParseInt(q.Get("index"), 10, 64)
	if err := errors.Join(err, bad, worse); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return name, l, false
	}
	if who, runs := d.pids.Load(pid); !runs || who != name {
		http.Error(w, fmt.Sprintf("%d is no process of %q that this daemon keeps", pid, name), http.StatusForbidden)
		return name, l, false
	}
	w.Header().Set(lifecycle.IndexHeader, strconv.FormatInt(d.seat.HighestDiscoveryIndex(), 10))
	if l, ok = d.seat.RenewLease(pid, name, holds, index); !ok {
		http.Error(w, notConfirmed, http.StatusServiceUnavailable)
	}
	return name, l, ok
}

// rewrites tells whether an instance reaches others at other addresses than they are known by.
func (d *Daemon) rewrites(name string) bool {
	ways := d.reach.Load()
	return ways != nil && len((*ways)[name]) > 0
}

// rewritten are rules with the addresses by which one instance reaches the others.
func (d *Daemon) rewritten(name string, r *ruleset.Rules) ruleset.Rules {
	rules := *r
	if !d.rewrites(name) {
		return rules
	}
	ways := (*d.reach.Load())[name]
	rules.Members = slices.Clone(r.Members)
	for i, m := range rules.Members {
		if to := ways[m.Peers]; to != "" {
			rules.Members[i].Peers = to
		}
	}
	return rules
}

// lease answers an instance of an older program: with all rules, each time.
func (d *Daemon) lease(w http.ResponseWriter, r *http.Request) {
	name, l, ok := d.asked(w, r)
	if !ok {
		return
	}
	l.Version.Rules = d.rewritten(name, &l.Version.Rules)
	raw, err := l.Encode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// Sitting is how the council and its rules stand.
type Sitting struct {
	raftlog.Status
	Rules raftlog.ActivationStatus `json:"rules"`
}

// relays tells how those stand that follow this daemon.
func (d *Daemon) relays(w http.ResponseWriter, _ *http.Request) {
	if d.seat.root == nil {
		http.Error(w, "council.serve: there is none", http.StatusNotFound)
		return
	}
	relay.WriteStatus(w, d.seat.root.Status())
}

func (d *Daemon) sitting(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	_ = e.Encode(Sitting{d.seat.council.Status(), d.seat.council.ActivationStatus()})
}

// rulesText is the version in force as a file of rules, for operators that change it.
func (d *Daemon) rulesText(w http.ResponseWriter, _ *http.Request) {
	v := d.seat.InForce()
	if v.Number == 0 {
		http.Error(w, "no version is in force", http.StatusServiceUnavailable)
		return
	}
	text, err := rulefile.Encode(&v.Rules)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "# version %d\n%s", v.Number, text)
}
