package tally

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"willowdeck/internal/serving/wirepb"
)

const (
	randomSeeds    = 10
	randomDuration = 40 * time.Second
	randomCalm     = reviewMerge
)

// randomCore is a core whose process and disk may be lost; it is the Environment of its process.
type randomCore struct {
	world   *randomWorld
	index   int
	life    int
	process *randomProcess // nil while it is down
	disk    []*wirepb.TallyRecords
	synced  int // records of disk that are durable
	frozen  bool
	stalled bool
}

// randomProcess is one life of a core.
type randomProcess struct {
	core    *randomCore
	replica *Replica
	inbox   []*wirepb.TallyMessage // while it is frozen
	acked   map[string]bool        // ids that it has acknowledged in this life
}

// randomAdd is an add that callers have sent.
type randomAdd struct {
	id      string
	ackedAt time.Duration // 0: not acknowledged
	maybe   bool          // it may count
}

// randomWorld plays random troubles.
type randomWorld struct {
	*reviewNetwork
	t        *testing.T
	random   *rand.Rand
	cores    []*randomCore
	adds     map[string]*randomAdd
	side     []int // of the cut, by core
	troubled time.Duration
	seed     int64
}

func (w *randomWorld) addresses() []string {
	var addresses []string
	for _, core := range w.cores {
		addresses = append(addresses, reviewAddress(core.index+1))
	}
	return addresses
}

func (c *randomCore) start() {
	c.life++
	p := &randomProcess{core: c, acked: map[string]bool{}}
	c.process = p
	p.replica = NewReplica(Options{
		Incarnation: fmt.Sprintf("core-%d/%d", c.index, c.life), Address: reviewAddress(c.index + 1),
		Zone: fmt.Sprint("zone-", c.index), RequiredCopies: 3, RequiredZones: 2, ShutdownLimit: reviewGrace,
		Clock: func() time.Duration { return c.world.now },
	}, p)
	for _, records := range c.disk {
		p.replica.Restore(records)
	}
	restored, count := p.replica.Vector(), len(c.disk)
	c.world.after(reviewSync, func() { p.consolidate(restored, count) })
	p.tick()
}

func (p *randomProcess) running() bool { return p.core.process == p }

func (p *randomProcess) consolidate(restored Vector, count int) {
	switch {
	case !p.running():
	case p.core.frozen || p.core.stalled:
		p.core.world.after(reviewTick, func() { p.consolidate(restored, count) })
	default:
		p.core.synced = max(p.core.synced, count)
		p.replica.ConfirmRestored(restored)
	}
}

func (p *randomProcess) tick() {
	if !p.running() {
		return
	}
	if !p.core.frozen {
		for _, message := range p.inbox {
			p.replica.HandleMessage(message)
		}
		p.inbox = nil
		own := reviewAddress(p.core.index + 1)
		p.replica.SetPeers(slices.DeleteFunc(p.core.world.addresses(), func(a string) bool { return a == own }))
		p.replica.Tick()
		p.replica.Flush()
	}
	p.core.world.after(reviewTick, p.tick)
}

// Send implements Environment.
func (p *randomProcess) Send(address string, message *wirepb.TallyMessage) {
	w := p.core.world
	for _, to := range w.cores {
		if reviewAddress(to.index+1) != address || w.side[to.index] != w.side[p.core.index] {
			continue
		}
		target := to.process
		w.after(reviewLatency, func() {
			switch {
			case target == nil || !target.running() || w.side[to.index] != w.side[p.core.index]:
			case to.frozen:
				target.inbox = append(target.inbox, message)
			default:
				target.replica.HandleMessage(message)
				target.replica.Flush()
			}
		})
	}
}

// Append implements Environment. Records are in the page cache before they are durable. Later writes wait for
// earlier ones.
func (p *randomProcess) Append(records []*wirepb.TallyRecords, done func()) {
	p.core.world.after(reviewSync, func() { p.write(records, done) })
}

func (p *randomProcess) write(records []*wirepb.TallyRecords, done func()) {
	if !p.running() {
		return
	}
	c := p.core
	if c.frozen || c.stalled || c.synced < 0 {
		c.world.after(reviewTick, func() { p.write(records, done) })
		return
	}
	c.disk = append(c.disk, records...)
	c.synced = len(c.disk)
	done()
}

// holders returns how many cores have an add on disk.
func (w *randomWorld) holders(id string, without *randomCore) int {
	count := 0
	for _, core := range w.cores {
		if core == without {
			continue
		}
		if slices.ContainsFunc(core.disk[:core.synced], func(r *wirepb.TallyRecords) bool {
			return slices.ContainsFunc(r.Adds, func(a *wirepb.TallyAdd) bool { return a.Id == id })
		}) {
			count++
		}
	}
	return count
}

func (w *randomWorld) callAdd() {
	add := &randomAdd{id: fmt.Sprint(len(w.adds))}
	if len(w.adds) > 0 && w.random.Intn(4) == 0 {
		add = w.adds[fmt.Sprint(w.random.Intn(len(w.adds)))]
	}
	w.adds[add.id] = add
	core := w.cores[w.random.Intn(len(w.cores))]
	p := core.process
	if p == nil || core.frozen {
		return
	}
	seen := false
	p.replica.Add(Add{Tally: reviewTally, ID: add.id, Amount: 1}, func(outcome Outcome) {
		switch outcome {
		case Acknowledged:
			add.maybe = true
			if add.ackedAt == 0 {
				add.ackedAt = w.now
			}
			p.acked[add.id] = true
		case Unknown:
			add.maybe = true
		case Unavailable, Overloaded, Conflict:
			seen = true
		}
	})
	if !seen {
		add.maybe = true
	}
}

// callRead checks a read: no more than could count, and after a calm time what was acknowledged before it.
func (w *randomWorld) callRead(core *randomCore) {
	if core.process == nil || core.frozen {
		return
	}
	total, ok := core.process.replica.Read(reviewTally)
	calm := w.now-w.troubled >= randomCalm
	if !ok {
		if calm {
			w.t.Errorf("seed %d: core %d refuses a read in a calm time at %v", w.seed, core.index, w.now)
		}
		return
	}
	most, least := uint64(0), uint64(0)
	for _, add := range w.adds {
		if add.maybe {
			most++
		}
		if add.ackedAt > 0 && w.now-add.ackedAt >= randomCalm {
			least++
		}
	}
	ownAdds := uint64(len(core.process.acked))
	if total > most || total < ownAdds || calm && total < least {
		w.t.Errorf("seed %d: core %d reads %d of %d to %d at %v", w.seed, core.index, total, least, most, w.now)
	}
}

// trouble plays one random trouble, which ends by itself.
func (w *randomWorld) trouble() {
	w.troubled = w.now
	core := w.cores[w.random.Intn(len(w.cores))]
	lasting := time.Duration(100+w.random.Intn(3000)) * time.Millisecond
	ended := func(f func()) { w.after(lasting, func() { f(); w.troubled = w.now }) }
	switch w.random.Intn(6) {
	case 0:
		for i := range w.side {
			w.side[i] = w.random.Intn(2)
		}
		ended(func() { clear(w.side) })
	case 1:
		core.frozen = true
		ended(func() { core.frozen = false })
	case 2:
		core.stalled = true
		ended(func() { core.stalled = false })
	case 3: // a kill
		w.kill(core, false, lasting)
	case 4: // a loss of power of all
		for _, core := range w.cores {
			w.kill(core, false, lasting)
		}
	case 5:
		for _, add := range w.adds { // fewer copies than required are another test's
			if add.ackedAt > 0 && w.holders(add.id, core) == 0 {
				return
			}
		}
		w.kill(core, true, lasting)
	}
}

func (w *randomWorld) kill(core *randomCore, wipe bool, down time.Duration) {
	if core.process == nil {
		return
	}
	core.process = nil
	if wipe {
		core.disk, core.synced = nil, 0
	}
	w.after(down, func() { core.start(); w.troubled = w.now })
}

func TestReviewRandomTroubles(t *testing.T) {
	for seed := range int64(randomSeeds) {
		w := &randomWorld{
			reviewNetwork: newReviewNetwork(), t: t, random: rand.New(rand.NewSource(seed)),
			adds: map[string]*randomAdd{}, side: make([]int, reviewReplicas), seed: seed,
		}
		for i := range reviewReplicas {
			w.cores = append(w.cores, &randomCore{world: w, index: i})
		}
		for _, core := range w.cores {
			core.start()
		}
		next := 3 * time.Second
		for w.now < randomDuration && !t.Failed() {
			w.run(20 * time.Millisecond)
			w.callAdd()
			w.callRead(w.cores[w.random.Intn(len(w.cores))])
			if w.now >= next && w.now < randomDuration-8*time.Second {
				w.trouble()
				next = w.now + time.Duration(w.random.Intn(6000))*time.Millisecond
			}
		}
		if t.Failed() {
			return
		}
	}
}
