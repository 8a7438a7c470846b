package raftlog

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/history"
	"willowdeck/internal/testkit/ports"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m) // Close leaves none behind
}

// parley is several daemons' councils on loopback, without instances.
type parley struct {
	t     *testing.T
	dir   string
	hosts []Host
	all   map[string]*Seat
	log   history.Memory
	lives uint32

	mu   sync.Mutex
	cut  map[[2]string]bool // from a name to an address
	full map[string]bool    // disks that take nothing more
}

func newParley(t *testing.T, n int) *parley {
	p := &parley{t: t, dir: t.TempDir(), all: map[string]*Seat{}, cut: map[[2]string]bool{},
		full: map[string]bool{}}
	for i := range n {
		p.hosts = append(p.hosts, Host{fmt.Sprintf("h%d", i), ports.Address(t)})
	}
	t.Cleanup(func() {
		for _, s := range p.all {
			s.Close()
		}
		if v := history.Versions(p.log.Record()); v.Count > 0 || v.Checker == "Illegal" {
			t.Errorf("versions in force are no register: %+v", v.Found)
		}
	})
	return p
}

func (p *parley) store(name string) string { return filepath.Join(p.dir, name+".db") }

func (p *parley) start(name string, change func(*Charter)) *Seat {
	p.t.Helper()
	ch := Charter{Cluster: "till", Me: name, Store: p.store(name), Hosts: p.hosts, Found: true, Compact: 30}
	for _, h := range p.hosts {
		if h.Name == name {
			ch.Listen = h.Address
		}
	}
	ch.link = func(to string) error {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cut[[2]string{name, to}] {
			return errors.New("cut")
		}
		return nil
	}
	ch.wrong = func() error {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.full[name] {
			return errors.New("no space left on device")
		}
		return nil
	}
	if change != nil {
		change(&ch)
	}
	p.lives++
	s, err := NewSeat(ch, nil, p.log.As(name, p.lives), zerolog.New(zerolog.NewTestWriter(p.t)).Level(level()))
	if err != nil {
		p.t.Fatal(err)
	}
	p.all[name] = s
	return s
}

func level() zerolog.Level {
	if os.Getenv("WILLOWDECK_LOUD") != "" {
		return zerolog.DebugLevel
	}
	return zerolog.Disabled
}

func (p *parley) startAll() {
	p.t.Helper()
	for _, h := range p.hosts {
		p.start(h.Name, nil)
	}
}

// end ends one as suddenly as its goroutines allow: nothing more is said or written.
func (p *parley) end(name string) {
	p.all[name].Close()
	delete(p.all, name)
}

// part cuts all ways between two groups.
func (p *parley) part(some ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := map[string]bool{}
	for _, s := range some {
		in[s] = true
	}
	for _, a := range p.hosts {
		for _, b := range p.hosts {
			if in[a.Name] != in[b.Name] {
				p.cut[[2]string{a.Name, b.Address}] = true
			}
		}
	}
}

func (p *parley) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.cut)
}

// until waits for something to be so.
func (p *parley) until(what string, so func() bool) time.Duration {
	p.t.Helper()
	began := time.Now()
	for time.Since(began) < 15*time.Second {
		if so() {
			return time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	for name, s := range p.all {
		p.t.Logf("%s: %.4000s", name, fmt.Sprintf("%+v; %+v", s.View(), s.Agreement()))
	}
	p.t.Fatalf("not in time: %s", what)
	return 0
}

func (p *parley) leader() *Seat {
	for _, s := range p.all {
		if v := s.View(); v.Leader == v.Me && v.State == "member" {
			return s
		}
	}
	return nil
}

// cutOff fills the log until its beginning is cut off at a daemon, so that one which has less needs a
// snapshot. On a busy machine many of the entries are dropped on their way: a fixed number of them was too
// few.
func (p *parley) cutOff(s *Seat) {
	p.t.Helper()
	step := 900
	p.until("the log's beginning is cut off", func() bool {
		step++
		_ = s.Council.Propose([]byte(fmt.Sprintf(`{"Act":4,"Step":%d}`, step)))
		n, err := s.disk.Load().mem.FirstIndex()
		return err == nil && n > 30
	})
}

// agree waits until all that run have read that a version is in force.
func (p *parley) agree(version uint64) time.Duration {
	p.t.Helper()
	return p.until(fmt.Sprintf("all read version %d", version), func() bool {
		for _, s := range p.all {
			if a := s.Agreement(); a.Version != version || a.ReadMS < 0 || a.ReadMS > 1000 {
				return false
			}
		}
		return true
	})
}

// rules are a set in which only what can't contradict a fallback differs.
func rules(rate float64) *ruleset.Rules {
	return &ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 1000, ConflictBoundMillis: 2000,
		Plans: []ruleset.Plan{{Name: "basic", Rate: rate, Burst: 10},
			{Name: "capped", Rate: 100, Burst: 10, CeilingRate: 40, CeilingDepth: 20}},
		Members:  []ruleset.Member{{Name: "g0", Host: "h0"}, {Name: "g1", Host: "h1"}, {Name: "g2", Host: "h2"}},
		Fallback: ruleset.Fallback{Fraction: 0.5, DurationMillis: 1000}}
}

func (p *parley) propose(s *Seat, rate float64) string {
	p.t.Helper()
	id, err := s.Propose(rules(rate))
	if err != nil || id == "" {
		p.t.Fatalf("%q, %v", id, err)
	}
	return id
}

// outcome waits for the answer to a proposal at the daemon that made it.
func (p *parley) outcome(s *Seat, id string) (h Heard) {
	p.t.Helper()
	p.until("an answer to "+id, func() bool {
		for _, x := range s.Outcomes() {
			if x.ID == id {
				h = x
				return true
			}
		}
		return false
	})
	return h
}

// Three and five daemons found a council, agree, and go on when the leader is gone between commit and
// telling: what it proposed is in force once, and another leads.
func TestAgree(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			p := newParley(t, n)
			p.startAll()
			p.until("a leader", func() bool { return p.leader() != nil })
			first := p.all["h0"]
			if h := p.outcome(first, p.propose(first, 100)); h.Refused != "" || h.Number != 1 {
				t.Fatalf("%+v", h)
			}
			p.agree(1)
			if n == 1 {
				return
			}
			leader := p.leader()
			id := p.propose(leader, 200)
			p.until("an entry that another has", func() bool {
				for _, s := range p.all {
					if s != leader && s.InForce().Number == 2 {
						return true
					}
				}
				return false
			})
			p.end(leader.charter.Me) // it may or may not have told
			took := p.until("another leader", func() bool { return p.leader() != nil })
			p.agree(2)
			t.Logf("%s: another leader after %v", id, took)
			other := p.leader()
			if h := p.outcome(other, p.propose(other, 300)); h.Number != 3 {
				t.Errorf("%+v", h)
			}
			p.start(leader.charter.Me, nil)
			p.agree(3)
		})
	}
}

// Rules that a daemon thinks to be in force because it is behind are proposed all the same; those that are,
// are not; and they take back what waits to follow them.
func TestProposedBehind(t *testing.T) {
	t.Parallel()
	p := newParley(t, 3)
	p.startAll()
	p.until("a leader", func() bool { return p.leader() != nil })
	p.outcome(p.all["h0"], p.propose(p.all["h0"], 100))
	p.agree(1)
	p.part("h2")
	p.outcome(p.all["h0"], p.propose(p.all["h0"], 200))
	id := p.propose(p.all["h2"], 100) // what it takes to be in force
	p.heal()
	if h := p.outcome(p.all["h2"], id); h.Number != 3 || h.Base != 2 {
		t.Errorf("%+v", h)
	}
	p.agree(3)
	if h := p.outcome(p.all["h1"], p.propose(p.all["h1"], 100)); h.Number != 3 || h.Refused != "" {
		t.Errorf("%+v", h)
	}
	low := rules(100)
	low.Plans[1].CeilingRate = 10 // less than a fallback that g0 may hold, which tells nobody
	p.all["h0"].Began(1, true)
	id, err := p.all["h1"].Propose(low)
	must(t, err)
	if h := p.outcome(p.all["h1"], id); h.Number != 4 || h.Waits == "" {
		t.Errorf("%+v", h)
	}
	p.outcome(p.all["h2"], p.propose(p.all["h2"], 100))
	if a := p.all["h2"].Agreement(); a.Version != 3 || a.Pending != 0 {
		t.Errorf("%+v", a)
	}
}

// Of two proposals at once exactly one is taken, and the other is told why it is not.
func TestTwoAtOnce(t *testing.T) {
	t.Parallel()
	p := newParley(t, 3)
	p.startAll()
	p.until("a leader", func() bool { return p.leader() != nil })
	p.outcome(p.all["h0"], p.propose(p.all["h0"], 100))
	p.agree(1)
	version := uint64(1)
	for round := range 5 {
		a, b := p.all["h1"], p.all["h2"]
		x, y := p.propose(a, float64(200+round)), p.propose(b, float64(300+round))
		hx, hy := p.outcome(a, x), p.outcome(b, y)
		switch {
		case hx.Base != hy.Base: // one came after the other
			version += 2
		case (hx.Refused == "") == (hy.Refused == "") || !strings.Contains(hx.Refused+hy.Refused, "base"):
			t.Errorf("round %d: %+v, %+v", round, hx, hy)
		default:
			version++
		}
		p.agree(version)
	}
}

// The side with few hosts reads nothing, so that its leases run out, and takes no proposal; healed, it
// catches up, and its proposal is put on top of what it finds.
func TestMinority(t *testing.T) {
	t.Parallel()
	p := newParley(t, 3)
	p.startAll()
	p.until("a leader", func() bool { return p.leader() != nil })
	p.outcome(p.all["h0"], p.propose(p.all["h0"], 100))
	p.agree(1)
	few := p.leader()
	name := few.charter.Me
	few.Began(4711, false)
	p.until("a lease", func() bool { _, ok := few.Asked(4711, "g", 0, -1); return ok })
	p.part(name)
	p.until("no lease", func() bool { _, ok := few.Asked(4711, "g", 0, -1); return !ok })
	var many *Seat
	p.until("another leader", func() bool {
		for n, s := range p.all {
			if v := s.View(); n != name && v.Leader == n {
				many = s
			}
		}
		return many != nil
	})
	id := p.propose(few, 900)
	if h := p.outcome(many, p.propose(many, 200)); h.Number != 2 {
		t.Fatalf("%+v", h)
	}
	if few.InForce().Number != 1 || len(few.Outcomes()) > 1 {
		t.Errorf("the side that is cut off has %d, %+v", few.InForce().Number, few.Outcomes())
	}
	p.heal()
	if h := p.outcome(few, id); h.Base != 2 || h.Number != 3 {
		t.Errorf("%+v", h)
	}
	p.agree(3)
}

// A link that carries one way alone is worked around or waited for; nothing is agreed twice.
func TestOneWay(t *testing.T) {
	t.Parallel()
	p := newParley(t, 3)
	p.startAll()
	p.until("a leader", func() bool { return p.leader() != nil })
	p.outcome(p.all["h0"], p.propose(p.all["h0"], 100))
	p.agree(1)
	leader := p.leader()
	for _, h := range p.hosts { // it hears all and is heard by none
		if h.Name != leader.charter.Me {
			p.mu.Lock()
			p.cut[[2]string{leader.charter.Me, h.Address}] = true
			p.mu.Unlock()
		}
	}
	var other *Seat
	p.until("another leader", func() bool {
		for n, s := range p.all {
			if v := s.View(); n != leader.charter.Me && v.Leader == n {
				other = s
			}
		}
		return other != nil
	})
	if h := p.outcome(other, p.propose(other, 200)); h.Number != 2 {
		t.Errorf("%+v", h)
	}
	p.heal()
	p.agree(2)
}

// Three of five are lost: the two have no voice, and say so. Back, all go on.
func TestThreeOfFive(t *testing.T) {
	t.Parallel()
	p := newParley(t, 5)
	p.startAll()
	p.until("a leader", func() bool { return p.leader() != nil })
	p.outcome(p.all["h0"], p.propose(p.all["h0"], 100))
	p.agree(1)
	for _, n := range []string{"h0", "h1", "h2"} {
		p.end(n)
	}
	p.until("no leader", func() bool {
		a, b := p.all["h3"].View(), p.all["h4"].View()
		return a.State == "no leader" && b.State == "no leader" && strings.Contains(a.Why, "majority")
	})
	id := p.propose(p.all["h3"], 200)
	for _, n := range []string{"h0", "h1", "h2"} {
		p.start(n, nil)
	}
	if h := p.outcome(p.all["h3"], id); h.Number != 2 {
		t.Errorf("%+v", h)
	}
	p.agree(2)
}

// What becomes of a disk while its daemon is away.
func TestDisks(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, reason string
		spoil        func(t *testing.T, path, copy string)
	}{
		{"kept", "", func(*testing.T, string, string) {}},
		{"empty", "", func(t *testing.T, path, _ string) { must(t, os.Remove(path)) }},
		{"cut short", "torn", func(t *testing.T, path, _ string) { must(t, os.Truncate(path, 9000)) }},
		{"cut to its first page", "torn", func(t *testing.T, path, _ string) { must(t, os.Truncate(path, 4096)) }},
		{"a stretch of nought", "torn", func(t *testing.T, path, _ string) { scribble(t, path, 0.3, 0) }},
		{"a stretch of noise", "torn", func(t *testing.T, path, _ string) { scribble(t, path, 0.2, 0xa7) }},
		{"no store", "torn", func(t *testing.T, path, _ string) {
			must(t, os.WriteFile(path, bytes.Repeat([]byte("letters "), 9000), 0o600))
		}},
		{"of an earlier day", "old", func(t *testing.T, path, copy string) { must(t, os.Rename(copy, path)) }},
	}
	p := newParley(t, 3)
	p.startAll()
	p.until("a leader", func() bool { return p.leader() != nil })
	p.outcome(p.all["h0"], p.propose(p.all["h0"], 100))
	p.agree(1)
	version := uint64(1)
	for _, c := range cases {
		// The copy is made while nothing is written.
		raw, err := os.ReadFile(p.store("h1"))
		must(t, err)
		copy := filepath.Join(p.dir, "copy")
		must(t, os.WriteFile(copy, raw, 0o600))
		p.outcome(p.all["h2"], p.propose(p.all["h2"], 1000+float64(version)))
		version++
		p.agree(version)
		before := p.all["h1"].View().Disk
		p.end("h1")
		c.spoil(t, p.store("h1"), copy)
		p.until("a leader of two", func() bool { return p.leader() != nil })
		x := p.leader()
		if h := p.outcome(x, p.propose(x, 1000+float64(version))); h.Refused != "" {
			t.Fatalf("%s: %+v", c.name, h)
		}
		version++
		began := time.Now()
		p.start("h1", nil)
		p.agree(version)
		p.until("a member again", func() bool { return p.all["h1"].View().State == "member" })
		v := p.all["h1"].View()
		if same := v.Disk == before; same != (c.name == "kept") || c.reason != "" && v.Aside[c.reason] != 1 {
			t.Errorf("%s: disk %s after %s, moved aside %v", c.name, v.Disk, before, v.Aside)
		}
		for _, h := range p.leader().View().Hosts {
			if h.Name == "h1" && h.Disk != v.Disk {
				t.Errorf("%s: %s is a member, not %s", c.name, h.Disk, v.Disk)
			}
		}
		t.Logf("%s: back after %v", c.name, time.Since(began).Round(time.Millisecond))
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// scribble overwrites a third of a file.
func scribble(t *testing.T, path string, from float64, with byte) {
	t.Helper()
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	must(t, err)
	defer f.Close()
	info, err := f.Stat()
	must(t, err)
	_, err = f.WriteAt(bytes.Repeat([]byte{with}, int(info.Size()/2)), int64(from*float64(info.Size())))
	must(t, err)
}

// One that was away for longer than the log goes back is caught up by a snapshot.
func TestSnapshot(t *testing.T) {
	t.Parallel()
	p := newParley(t, 3)
	p.startAll()
	p.until("a leader", func() bool { return p.leader() != nil })
	p.outcome(p.all["h0"], p.propose(p.all["h0"], 100))
	p.agree(1)
	p.end("h2")
	p.until("a leader", func() bool { return p.leader() != nil })
	p.cutOff(p.leader())
	x := p.leader()
	p.outcome(x, p.propose(x, 200))
	p.start("h2", nil)
	p.agree(2)
}

// A disk that takes nothing more ends that daemon's voice and no other's; with room again it is back by
// itself.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	p := newParley(t, 3)
	p.startAll()
	p.until("a leader", func() bool { return p.leader() != nil })
	p.outcome(p.all["h0"], p.propose(p.all["h0"], 100))
	p.agree(1)
	full := p.leader()
	p.mu.Lock()
	p.full[full.charter.Me] = true
	p.mu.Unlock()
	id := p.propose(full, 200) // its own write of it fails
	p.until("no voice", func() bool {
		v := full.View()
		return v.State == "mute" && strings.Contains(v.Why, "no space")
	})
	p.until("another leader", func() bool { l := p.leader(); return l != nil && l != full })
	x := p.leader()
	if h := p.outcome(x, p.propose(x, 300)); h.Refused != "" {
		t.Errorf("%+v", h)
	}
	if _, ok := full.Asked(1, "g", 0, -1); full.View().State != "mute" {
		t.Errorf("%v, %+v", ok, full.View())
	}
	p.mu.Lock()
	p.full[full.charter.Me] = false
	p.mu.Unlock()
	p.outcome(full, id)
	p.until("one version", func() bool {
		n := full.InForce().Number
		for _, s := range p.all {
			if s.InForce().Number != n {
				return false
			}
		}
		return n >= 2
	})
}

// What is too long, of another form, of another cluster or from a stranger is refused with a reason,
// counted, and changes nothing.
func TestStrangers(t *testing.T) {
	t.Parallel()
	p := newParley(t, 3)
	p.startAll()
	p.until("a leader", func() bool { return p.leader() != nil })
	p.outcome(p.all["h0"], p.propose(p.all["h0"], 100))
	p.agree(1)
	me := p.all["h0"]
	disk := me.View().Disk
	other := p.all["h1"].View()
	say := func(path, body string) (int, string) {
		res, err := http.Post("http://"+me.At()+path, "application/json", strings.NewReader(body))
		must(t, err)
		defer res.Body.Close()
		var b bytes.Buffer
		_, _ = b.ReadFrom(res.Body)
		return res.StatusCode, b.String()
	}
	cases := []struct{ name, path, body, reason, says string }{
		{"too long", "/council/raft", `{"form":1,"name":"` + strings.Repeat("x", longest) + `"}`, tooLong,
			"more than"},
		{"no JSON", "/council/raft", "GET me", garbled, "not a message"},
		{"another form", "/council/hello", `{"form":2,"cluster":"till","name":"h1"}`, otherForm, "form 2"},
		{"another cluster", "/council/hello", `{"form":1,"cluster":"rill","name":"h1","id":"1"}`, otherName,
			`"rill"`},
		{"a stranger", "/council/hello", `{"form":1,"cluster":"till","name":"h9","id":"1"}`, stranger, `"h9"`},
		{"its own name", "/council/hello", `{"form":1,"cluster":"till","name":"h0","id":"1"}`, stranger, `"h0"`},
		{"no id", "/council/hello", `{"form":1,"cluster":"till","name":"h1","id":"z"}`, garbled, "no id"},
		{"to another disk", "/council/raft", `{"form":1,"cluster":"till","name":"h1","id":"1","to":"2"}`, otherDisk,
			"not here"},
		{"of another council", "/council/raft", `{"form":1,"cluster":"till","name":"h1","id":"1","council":"x",` +
			`"to":"` + disk + `"}`, otherName, "council x"},
		{"no message", "/council/raft", `{"form":1,"cluster":"till","name":"h1","id":"1","council":"` +
			other.Council + `","to":"` + disk + `","messages":["AAAA"]}`, garbled, "no message"},
		{"in another's name", "/council/raft", `{"form":1,"cluster":"till","name":"h1","id":"1","council":"` +
			other.Council + `","to":"` + disk + `","messages":["CBMQAhgDIAUoADAAOABCAA=="]}`, "", ""},
		{"joins with a full disk", "/council/join", `{"form":1,"cluster":"till","name":"h1","id":"1"}`, "", ""},
	}
	for _, c := range cases {
		before := me.View()
		status, says := say(c.path, c.body)
		v := me.View()
		if c.reason == "" {
			if v.Applied < before.Applied || status == http.StatusInternalServerError {
				t.Errorf("%s: %d %s", c.name, status, says)
			}
			continue
		}
		if status != http.StatusForbidden || !strings.Contains(says, c.says) ||
			v.Refused[c.reason] != before.Refused[c.reason]+1 {
			t.Errorf("%s: %d %q, counted %v", c.name, status, says, v.Refused)
		}
	}
	p.outcome(me, p.propose(me, 200)) // and all goes on
	p.agree(2)
	if _, err := me.Propose(&ruleset.Rules{Format: 2}); err == nil {
		t.Error("rules of another form are proposed")
	}
	if err := me.Council.Propose(make([]byte, longestWord+1)); err == nil {
		t.Error("an entry that is too long is proposed")
	}
}

// A store that another process has open, or that is another daemon's, is neither moved aside nor written.
func TestNotItsStore(t *testing.T) {
	t.Parallel()
	p := newParley(t, 1)
	p.startAll()
	ch := Charter{Cluster: "till", Me: "h0", Store: p.store("h0"), Hosts: p.hosts, Listen: "127.0.0.1:0"}
	s, err := NewSeat(ch, nil, nil, zerolog.Nop())
	if err == nil || !strings.Contains(err.Error(), "has it open") {
		t.Errorf("%v, %v", s, err)
	}
	p.end("h0")
	ch.Me = "h7"
	if s, err := NewSeat(ch, nil, nil, zerolog.Nop()); err == nil || !strings.Contains(err.Error(), `"h0"`) {
		t.Errorf("%v, %v", s, err)
	}
	if _, err := os.Stat(p.store("h0")); err != nil {
		t.Error(err)
	}
}

// Two hosts that list the others in different orders found one council, and one that lists fewer none: each
// would else have one of its own. Nor does one that is back with an empty disk found a second.
func TestFoundedOnce(t *testing.T) {
	t.Parallel()
	p := newParley(t, 3)
	for i, h := range p.hosts {
		p.start(h.Name, func(c *Charter) {
			c.Hosts = append(append([]Host{h}, p.hosts[:i]...), p.hosts[i+1:]...)
			if i == 2 {
				c.Hosts = c.Hosts[:2]
			}
		})
	}
	time.Sleep(4 * greetEach)
	for name, s := range p.all {
		if v := s.View(); v.Council != "" || v.State == "member" {
			t.Errorf("%s: %+v", name, v)
		}
	}
	p.end("h2")
	p.start("h2", nil)
	p.until("one council", func() bool {
		a := p.all["h0"].View().Council
		for _, s := range p.all {
			if v := s.View(); v.State != "member" || v.Council != a {
				return false
			}
		}
		return true
	})
	first := p.all["h0"].View().Council
	p.end("h0")
	p.until("a leader", func() bool { return p.leader() != nil })
	must(t, os.Remove(p.store("h0")))
	p.start("h0", nil)
	p.until("a member of it", func() bool {
		v := p.all["h0"].View()
		return v.State == "member" && v.Council == first
	})
}

// An answer to a question of a former life is none to one of this life: numbers do not begin anew.
func TestReadsOfAFormerLife(t *testing.T) {
	t.Parallel()
	p := newParley(t, 1)
	seen := map[uint64]bool{}
	for range 3 {
		s := p.start("h0", nil)
		got := make(chan uint64, 1)
		p.until("it takes part", func() bool { return p.leader() != nil })
		s.call(func(v *life) { got <- v.readNo })
		n := <-got
		for i := range uint64(100) {
			if seen[n+i] || seen[n-i] {
				t.Fatalf("number %d is of a former life too", n)
			}
		}
		seen[n] = true
		p.end("h0")
	}
}

// One host's name cannot be taken by another process with an empty disk while the one is heard of.
func TestNameInUse(t *testing.T) {
	t.Parallel()
	p := newParley(t, 3)
	p.startAll()
	p.until("a leader", func() bool { return p.leader() != nil })
	p.outcome(p.all["h0"], p.propose(p.all["h0"], 100))
	p.agree(1)
	lead := p.leader()
	other := "h1"
	if lead.charter.Me == other {
		other = "h2"
	}
	disk := p.all[other].View().Disk
	ch := Charter{Cluster: "till", Me: other, Listen: "127.0.0.1:0", Store: filepath.Join(p.dir, "second"),
		Hosts: p.hosts}
	s, err := NewSeat(ch, nil, nil, zerolog.Nop())
	must(t, err)
	defer s.Close()
	p.until("it is turned away", func() bool { return strings.Contains(s.View().Why, "heard a moment ago") })
	if v := p.all[other].View(); v.Disk != disk || v.State != "member" {
		t.Errorf("%+v", v)
	}
}

// Indices of discovery's list are told among hosts: one that lags behind any is named, here and elsewhere.
func TestLags(t *testing.T) {
	t.Parallel()
	p := newParley(t, 3)
	p.startAll()
	p.until("a leader", func() bool { return p.leader() != nil })
	p.outcome(p.all["h0"], p.propose(p.all["h0"], 100))
	p.agree(1)
	p.all["h0"].Asked(1, "g0", 0, 5)
	p.all["h1"].Asked(2, "g1", 0, 9)
	p.until("the highest is told", func() bool {
		return p.all["h0"].Highest() == 9 && p.all["h2"].Highest() == 9
	})
	p.until("the one behind is named", func() bool {
		p.all["h0"].Asked(1, "g0", 0, 5)
		for _, b := range p.all["h0"].Agreement().Lags {
			if b.Name == "g0" && b.HighestIndex == 9 && b.LagMillis > lagAfter {
				return true
			}
		}
		return false
	})
	p.all["h0"].Asked(1, "g0", 0, 9)
	for _, b := range p.all["h0"].Agreement().Lags {
		if b.Name == "g0" {
			t.Errorf("%+v, which has caught up", b)
		}
	}
}

// Disks that take 300 ms for each write delay what is agreed on, and no more. Guards against a goroutine
// that is kept by what it says again from what comes in: it was so from 300 ms on, as that is when the
// steward says again what it has not seen to be taken.
func TestSlowDisks(t *testing.T) {
	t.Parallel()
	p := newParley(t, 3)
	for _, h := range p.hosts {
		p.start(h.Name, func(c *Charter) {
			c.wrong = func() error {
				time.Sleep(300 * time.Millisecond)
				return nil
			}
		})
	}
	p.until("a leader", func() bool { return p.leader() != nil })
	for i := range 3 {
		if h := p.outcome(p.all["h0"], p.propose(p.all["h0"], float64(100+i))); h.Refused != "" {
			t.Errorf("%+v", h)
		}
	}
}

// A copy of a disk is found out by what the others have written down, even if all of them have been started
// anew since: by nothing else, as their logs would only take it for one that is behind.
func TestOldDisk(t *testing.T) {
	t.Parallel()
	p := newParley(t, 3)
	p.startAll()
	p.until("a leader", func() bool { return p.leader() != nil })
	p.outcome(p.all["h0"], p.propose(p.all["h0"], 100))
	p.agree(1)
	p.end("h1")
	raw, err := os.ReadFile(p.store("h1"))
	must(t, err)
	p.start("h1", nil)
	p.agree(1)
	p.until("a leader", func() bool { return p.leader() != nil })
	x := p.leader()
	p.outcome(x, p.propose(x, 200))
	p.agree(2)
	wrote := p.all["h1"].seq.Load()
	p.until("the others have written down how far it is", func() bool {
		for _, name := range []string{"h0", "h2"} {
			s := p.all[name].disk.Load()
			s.mu.Lock()
			told := s.heard[p.all["h1"].View().Disk] >= wrote && !s.fresh
			s.mu.Unlock()
			if !told {
				return false
			}
		}
		return true
	})
	p.end("h1")
	must(t, os.WriteFile(p.store("h1"), raw, 0o600))
	for _, name := range []string{"h0", "h2"} {
		p.end(name)
		p.start(name, nil)
	}
	p.start("h1", nil)
	p.agree(2)
	if v := p.all["h1"].View(); v.Aside["old"] != 1 {
		t.Errorf("%+v", v)
	}
}

// Rules of the coming fleet's size are agreed, one after the other before the last has settled, and a daemon
// that comes back with nothing catches up by a snapshot of several of them.
func TestManyMembers(t *testing.T) {
	p := newParley(t, 5)
	p.startAll()
	p.until("a leader", func() bool { return p.leader() != nil })
	many := func(rate float64) *ruleset.Rules {
		r := rules(rate)
		r.Needs = []string{ruleset.FeatureManyMembers}
		for i := len(r.Members); i < 7900; i++ {
			r.Members = append(r.Members, ruleset.Member{Name: fmt.Sprintf("g%04d", i),
				Host: fmt.Sprintf("host-%04d", i), Peers: fmt.Sprintf("10.0.%d.%d:9000", i>>8, i&255)})
		}
		return r
	}
	propose := func(s *Seat, rate float64) time.Duration {
		began := time.Now()
		id, err := s.Propose(many(rate))
		if err != nil {
			t.Fatal(err)
		}
		if h := p.outcome(s, id); h.Refused != "" {
			t.Fatalf("%+v", h)
		}
		return time.Since(began)
	}
	var took []time.Duration
	for i := range 2 {
		took = append(took, propose(p.all["h0"], float64(100+i)))
	}
	p.agree(2)
	p.end("h4")
	took = append(took, propose(p.all["h0"], 200))
	p.cutOff(p.all["h0"])
	must(t, os.Remove(p.store("h4")))
	p.start("h4", nil)
	back := p.agree(3)
	t.Logf("7,900 members: proposals answered after %v; one without a disk is back after %v", took, back)
}
