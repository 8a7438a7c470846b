// Package raftlog is one daemon's part in a replicated log: the library go.etcd.io/raft/v3 with its log in
// go.etcd.io/bbolt, messages between daemons over HTTP, and the identity of disks. What the entries mean is a
// Machine's to say.
package raftlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"willowdeck/internal/bootclock"

	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	// Form is the version of what daemons say to each other. Another one is refused.
	Form = 1

	longest     = 32 << 20                // bytes of a message: a snapshot of ten of the longest rules
	longestWord = 2 << 20                 // bytes of an entry: 10,000 members and 4,096 words are half of it
	mostQueued  = 512                     // messages that wait for one daemon: seconds of them
	mostAtOnce  = 32                      // posts that are read at once, from all daemons
	mostIn      = 256                     // posts that wait for the log
	mostHeard   = 64                      // disks whose writes are remembered
	mostReads   = 16                      // that are under way
	mostGone    = 64                      // disks remembered as members once
	postWithin  = time.Second             // for one post: longer than it takes a leader to be missed
	keepBehind  = 64                      // entries kept before a snapshot
	mostUnder   = 32                      // entries under way, before more are proposed
	compactEach = 256                     // entries applied between two snapshots
	reopenAfter = 2 * time.Second         // pause before a store that failed is opened again
	hearAll     = 1500 * time.Millisecond // a disk waits so long for all others to say what they heard of it
	aliveFor    = 2 * time.Second         // a disk heard of within it is not replaced by another
	tickEach    = 50 * time.Millisecond   // the library's unit of time
	greetEach   = 250 * time.Millisecond  // hellos
	electTicks  = 8                       // a leader is missed after 400 to 800 ms
	heartTicks  = 1
)

// Host is one daemon of the council.
type Host struct{ Name, Address string }

// Charter is what a daemon's file says of the council. Fields that are zero take their usual values.
type Charter struct {
	Cluster string            // the council's name, the same at all its daemons
	Me      string            // this daemon's name among the hosts
	Listen  string            // HOST:PORT for the others
	Store   string            // the file of its log
	Hosts   []Host            // all of them
	Reach   map[string]string // address that is used in place of a host's
	Found   bool              // a council is founded, once all hosts are there and have nothing of any
	Greet   time.Duration     // between two hellos
	Tick    time.Duration     // the library's unit of time
	Compact uint64            // entries between two snapshots

	wrong func() error          // for tests: what the disk says to a write
	link  func(to string) error // for tests: what becomes of a post to an address
}

// Machine is what the log is about. Its methods are called from one goroutine, and may not wait.
type Machine interface {
	// Apply takes an entry. All daemons' machines take the same ones in the same order. After an error this
	// one can't go on: the daemon has no voice in the council any more.
	Apply(data []byte) error
	// Save gives all state that Apply has made, and Load takes it in its place; nothing is the state at first.
	Save() ([]byte, error)
	Load([]byte) error
	// Turn is called each time something may have changed, at least once a tick.
	Turn(Turn) Wish
	// Read tells that all that had been decided at begun, ms of Clock's, has been applied.
	Read(begun float64)
}

// Clock is the time by which reads are aged, ms: it goes on while the process stands still and the machine
// sleeps, as the clocks of the gatekeepers do that count what they are told from it.
func Clock() float64 { return float64(bootclock.Nanos()) / 1e6 }

// Wish is what a Machine wants done.
type Wish struct {
	Read    bool     // what is the latest, as of now; it may be lost
	Propose [][]byte // entries, which may be lost
}

// Turn is how things stand for a Machine.
type Turn struct {
	Now    time.Time
	Leads  bool
	Term   uint64
	Leader string // its name, if there is one that is known
	Member bool   // this daemon has a vote
}

// Council is one daemon's part.
type Council struct {
	charter Charter
	log     zerolog.Logger
	machine Machine
	client  http.Client
	server  *http.Server
	at      string
	in      chan inbox
	slots   chan struct{} // for posts that are being taken in
	calls   chan func(*life)
	stop    context.CancelFunc
	ctx     context.Context
	wait    sync.WaitGroup
	refused refused
	hosts   atomic.Pointer[[]Host]
	reach   atomic.Pointer[map[string]string]
	seq     atomic.Uint64
	index   atomic.Int64 // of discovery's list, told to the others
	who     atomic.Pointer[who]
	disk    atomic.Pointer[store]

	mu    sync.Mutex       // of what follows
	peers map[string]*peer // by name
	state string
	why   string
	aside map[string]int // disks moved aside, by reason
}

// who is what a daemon makes known of itself; replaced whole.
type who struct {
	ID      uint64
	Council string
	Blank   bool
	Voter   bool
	Leader  string
	LeadID  uint64
	Term    uint64
	Applied uint64
	gone    map[string]bool
	names   map[uint64]string
}

// peer is what is known of another host.
type peer struct {
	hello
	reply  *reply
	heard  time.Time
	errs   int64
	why    string
	seenBy map[string]time.Time // when each of its disks was last heard of
}

type inbox struct {
	council  string
	from     uint64
	seq      uint64
	messages []raftpb.Message
}

type sent struct {
	id   uint64
	snap bool
	err  error
}

// New opens a daemon's part and starts it. It returns an error for what no wait can mend: an address that is
// taken, a store that is another's. A store that fails later ends its voice until it can be opened again.
func New(ch Charter, m Machine, log zerolog.Logger) (*Council, error) {
	for _, d := range []struct {
		at    *time.Duration
		usual time.Duration
	}{{&ch.Tick, tickEach}, {&ch.Greet, greetEach}} {
		if *d.at <= 0 {
			*d.at = d.usual
		}
	}
	if ch.Compact == 0 {
		ch.Compact = compactEach
	}
	s, aside, why, err := open(ch.Store, ch.Me)
	if err != nil {
		return nil, fmt.Errorf("council.store: %w", err)
	}
	l, err := listen(ch.Listen)
	if err != nil {
		s.close()
		return nil, fmt.Errorf("council.listen: %w", err)
	}
	c := &Council{charter: ch, log: log, machine: m, at: l.Addr().String(), in: make(chan inbox, mostIn),
		slots: make(chan struct{}, mostAtOnce),
		calls: make(chan func(*life), mostIn), peers: map[string]*peer{}, aside: map[string]int{},
		client: http.Client{Transport: &http.Transport{MaxConnsPerHost: 4, MaxIdleConnsPerHost: 4,
			IdleConnTimeout: 30 * time.Second}}}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.Hosts(ch.Hosts, ch.Reach)
	c.torn(aside, why)
	c.server = &http.Server{Handler: c.handler(), ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second,
		IdleTimeout: time.Minute, MaxHeaderBytes: 8192}
	c.wait.Add(3)
	go func() {
		defer c.wait.Done()
		_ = c.server.Serve(l)
	}()
	go c.greet(c.ctx)
	go c.keep(s)
	return c, nil
}

// At is the address that it listens at.
func (c *Council) At() string { return c.at }

// Hosts takes up which hosts there are and where they are reached.
func (c *Council) Hosts(all []Host, reach map[string]string) {
	c.hosts.Store(&all)
	c.reach.Store(&reach)
}

// Close ends it and waits for all of its goroutines.
func (c *Council) Close() {
	c.stop()
	_ = c.server.Close()
	c.wait.Wait()
	c.client.CloseIdleConnections()
}

func (c *Council) addressOf(name string) string {
	for _, h := range *c.hosts.Load() {
		if h.Name == name {
			return h.Address
		}
	}
	return ""
}

// reached is where a host is spoken to from here.
func (c *Council) reached(name string) string {
	a := c.addressOf(name)
	if to := (*c.reach.Load())[a]; to != "" {
		return to
	}
	return a
}

func (c *Council) nameOf(id uint64) string {
	if me := c.who.Load(); me != nil && me.names[id] != "" {
		return me.names[id]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.peers {
		if p.ID == hexOf(id) {
			return name
		}
	}
	return ""
}

func (c *Council) peer(name string) *peer {
	p := c.peers[name]
	if p == nil {
		p = &peer{seenBy: map[string]time.Time{}}
		c.peers[name] = p
	}
	return p
}

// heardFrom books that a host has spoken.
func (c *Council) heardFrom(name string, id uint64, h hello) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(name)
	now := time.Now()
	if len(p.seenBy) > mostGone {
		clear(p.seenBy)
	}
	p.seenBy[hexOf(id)] = now
	hosts := p.Hosts
	if p.hello = h; p.Hosts == nil {
		p.Hosts = hosts
	}
	p.heard = now
}

// answered books an answer, and gives up a disk of which others know more than it does itself.
func (c *Council) answered(r *reply) {
	id, err := idOf(r.ID)
	if err != nil { // it has no disk yet
		return
	}
	c.heardFrom(r.Name, id, r.hello)
	c.mu.Lock()
	p := c.peer(r.Name)
	p.reply, p.why = r, ""
	c.mu.Unlock()
	if s := c.disk.Load(); s != nil {
		s.hear(id, r.Seq)
	}
	me := c.who.Load()
	if me == nil || r.For != hexOf(me.ID) {
		return
	}
	var why error
	switch {
	case r.Heard > c.seq.Load():
		why = fmt.Errorf("%w: %s has heard of its write %d, the disk has %d", errOld, r.Name, r.Heard, c.seq.Load())
	case r.Gone:
		why = fmt.Errorf("%w: %s says so", errGone, r.Name)
	default:
		return
	}
	c.call(func(v *life) {
		if hexOf(v.s.self.id()) == r.For {
			v.fail(why)
		}
	})
}

func (c *Council) unheard(name string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(name)
	p.errs++
	p.why = err.Error()
}

// call has the log's goroutine do something. It does not wait; false where there is no room.
func (c *Council) call(f func(*life)) bool {
	select {
	case c.calls <- f:
		return true
	default:
		return false
	}
}

func (c *Council) report(s sent) {
	c.call(func(v *life) {
		if v.rn == nil {
			return
		}
		if s.err != nil {
			v.rn.ReportUnreachable(s.id)
		}
		if s.snap {
			status := raft.SnapshotFinish
			if s.err != nil {
				status = raft.SnapshotFailure
			}
			v.rn.ReportSnapshot(s.id, status)
		}
	})
}

// Propose puts an entry to the council; what becomes of it is the Machine's to see, and it may be lost. An
// error says why it can't be.
func (c *Council) Propose(data []byte) error {
	if len(data) > longestWord {
		return fmt.Errorf("an entry of %d bytes, more than %d", len(data), longestWord)
	}
	if !c.call(func(v *life) { v.propose(data) }) {
		return errors.New("more is proposed than can be taken in")
	}
	return nil
}

var (
	errOld  = errors.New("an old disk")
	errGone = errors.New("a member no more")
)

func (c *Council) torn(aside string, why error) {
	if aside == "" {
		return
	}
	c.mu.Lock()
	c.aside["torn"]++
	c.mu.Unlock()
	c.log.Error().Err(why).Str("aside", aside).Msg("store spoilt: moved aside, this daemon joins anew")
}

func (c *Council) stands(state string, why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != state {
		c.log.Info().Str("was", c.state).AnErr("why", why).Msg("council: " + state)
	}
	c.state, c.why = state, ""
	if why != nil {
		c.why = why.Error()
	}
}

// keep lives one life after another: each with the disk as it is then.
func (c *Council) keep(s *store) {
	defer c.wait.Done()
	for {
		var err error
		if s != nil {
			err = c.live(s)
			s.close()
			s = nil
		}
		if c.ctx.Err() != nil {
			return
		}
		reason := ""
		switch {
		case errors.Is(err, errOld):
			reason = "old"
		case errors.Is(err, errGone):
			reason = "gone"
		}
		if reason != "" {
			aside, moved := setAside(c.charter.Store, reason)
			c.mu.Lock()
			c.aside[reason]++
			c.mu.Unlock()
			c.log.Error().Err(err).Str("aside", aside).AnErr("moved", moved).Msg("disk given up")
		} else {
			if err != nil {
				c.stands("mute", err)
				c.log.Error().Err(err).Msg("store failed: no voice in the council until it can be written")
			}
			select {
			case <-c.ctx.Done():
				return
			case <-time.After(reopenAfter):
			}
		}
		var aside string
		var why error
		if s, aside, why, err = open(c.charter.Store, c.charter.Me); err != nil {
			c.stands("mute", err)
		}
		c.torn(aside, why)
	}
}

// life is one disk's time in the council, all of it one goroutine's.
type life struct {
	c       *Council
	ctx     context.Context
	s       *store
	rn      *raft.RawNode
	wait    sync.WaitGroup
	lines   map[uint64]*line
	members map[uint64]string
	gone    []uint64
	conf    raftpb.ConfState
	applied uint64
	snapped uint64
	lead    uint64
	reads   map[uint64]float64
	readNo  uint64
	again   bool // a read is due
	moved   bool // who the members are has changed since the last snapshot
	failed  error
	began   time.Time
	asked   time.Time // when it last asked to be a member, or saw to it who is one
	settled time.Time // when what is heard was last written
	waiting []pending
}

// pending is a read that waits for entries to be applied.
type pending struct {
	index uint64
	begun float64
}

func (v *life) fail(err error) {
	if v.failed == nil {
		v.failed = err
	}
}

// live takes part with one disk until that fails, is given up, or the daemon ends.
func (c *Council) live(s *store) (err error) {
	ctx, end := context.WithCancel(c.ctx)
	v := &life{c: c, ctx: ctx, s: s, lines: map[uint64]*line{}, members: map[uint64]string{},
		reads: map[uint64]float64{}, began: time.Now()}
	// Others hold questions by their numbers, and answers to those of a former life may still be on the way.
	v.readNo = randomly()
	s.wrong = c.charter.wrong
	c.seq.Store(s.seq)
	c.disk.Store(s)
	defer func() {
		c.disk.Store(nil)
		c.who.Store(nil)
		end()
		v.wait.Wait()
	}()
	defer func() {
		if p := recover(); p != nil {
			if err = fmt.Errorf("the log: %v", p); strings.Contains(err.Error(), "tocommit") {
				err = fmt.Errorf("%w: %v", errOld, p) // it denies what it has acknowledged
			}
		}
	}()
	if err := v.load(); err != nil {
		return err
	}
	v.tell()
	c.stands("waiting", errors.New("for the others to say what they have heard of this disk"))
	if !v.until(v.heardEnough) {
		return v.failed
	}
	return v.run()
}

// load takes up what the disk has.
func (v *life) load() error {
	snap, err := v.s.mem.Snapshot()
	if err != nil {
		return err
	}
	return v.takeSnapshot(snap)
}

// kept is the council's own part of a snapshot.
type kept struct {
	Members map[uint64]string `json:"members"`
	Gone    []uint64          `json:"gone"`
	Machine json.RawMessage   `json:"machine"`
}

func (v *life) takeSnapshot(snap raftpb.Snapshot) error {
	k := kept{Members: map[uint64]string{}}
	if !raft.IsEmptySnap(snap) {
		if err := json.Unmarshal(snap.Data, &k); err != nil {
			return fmt.Errorf("%w: snapshot: %w", errTorn, err)
		}
	}
	if err := v.c.machine.Load(k.Machine); err != nil {
		return fmt.Errorf("%w: snapshot: %w", errTorn, err)
	}
	v.members, v.gone, v.conf = k.Members, k.Gone, snap.Metadata.ConfState
	v.applied, v.snapped = snap.Metadata.Index, snap.Metadata.Index
	return nil
}

func (v *life) snapshot() ([]byte, error) {
	m, err := v.c.machine.Save()
	if err != nil {
		return nil, err
	}
	return json.Marshal(kept{Members: v.members, Gone: v.gone, Machine: m})
}

// tell makes known how things stand.
func (v *life) tell() {
	w := &who{ID: v.s.self.id(), Council: v.s.self.Cluster, Blank: v.s.blank(), Applied: v.applied,
		gone: map[string]bool{}, names: map[uint64]string{}}
	for _, id := range v.gone {
		w.gone[hexOf(id)] = true
	}
	for id, name := range v.members {
		w.names[id] = name
	}
	w.Voter = slices.Contains(v.conf.Voters, w.ID)
	if v.rn != nil {
		st := v.rn.BasicStatus()
		w.LeadID, w.Term, w.Leader = st.Lead, st.Term, v.members[st.Lead]
	}
	v.c.seq.Store(v.s.seq)
	v.c.who.Store(w)
}

// until does what is asked of it until something is so; false where the life has ended first.
func (v *life) until(so func() bool) bool {
	t := time.NewTicker(v.c.charter.Tick)
	defer t.Stop()
	for !so() {
		select {
		case <-v.ctx.Done():
			return false
		case f := <-v.c.calls:
			f(v)
		case <-v.c.in: // it has no part yet
		case <-t.C:
		}
		if v.failed != nil {
			return false
		}
		v.c.machine.Turn(Turn{Now: time.Now()})
	}
	return true
}

// heardEnough tells that what others know of this disk has come: of all, or of most after a while. A disk of
// an earlier day would else vote a second time, or deny what it has acknowledged.
func (v *life) heardEnough() bool {
	c := v.c
	hosts, me := *c.hosts.Load(), hexOf(v.s.self.id())
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 1
	for _, h := range hosts {
		if p := c.peers[h.Name]; h.Name != c.charter.Me && p != nil && p.reply != nil && p.reply.For == me {
			n++
		}
	}
	return n >= len(hosts) || n > len(hosts)/2 && time.Since(v.began) > hearAll
}
