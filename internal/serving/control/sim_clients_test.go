package control

import (
	"encoding/hex"
	"fmt"
	"math/rand"
	"time"

	"willowdeck/internal/serving/statemachine"
	"willowdeck/internal/serving/wirepb"
)

const (
	callTimeout   = time.Second // until a caller goes on to another core
	callDelay     = 5 * time.Millisecond
	patience      = 6 * time.Second // of an operator
	operatorCount = 2
	workerCount   = 3
	simZones      = 2
)

// operationKind is what an operator does.
type operationKind int

const (
	replaceConfiguration operationKind = iota
	readConfiguration
	setEvacuation
)

// operation is one order of an operator, with all its tries.
type operation struct {
	operator   int
	kind       operationKind
	base       uint64
	generation uint64
	body       string // sent, or read
	zone       int
	active     bool
	start, end time.Duration
	outcome    wirepb.Outcome // UNKNOWN: no clear answer
}

// operator makes one order after the other.
type operator struct {
	number   int
	known    uint64 // the version that it builds on
	mustRead bool
	current  *operation
	command  *wirepb.Command
	nextTry  time.Duration
	deadline time.Duration
	pause    time.Duration
	tries    int
}

// callers are the operators and the workers, and what they were told.
type callers struct {
	world      *world
	operators  []*operator
	workers    []*simWorker
	history    []*operation
	next       uint64 // marks configurations
	loss       float64
	quiet      bool                     // nobody begins anything new
	departures map[string]time.Duration // by instance: when its leaving was acknowledged
	sent       map[uint64]bool          // versions that were sent
	acked      []*operation             // configurations, in the order of their acknowledgement
}

func newCallers(w *world) *callers {
	c := &callers{
		world: w, departures: map[string]time.Duration{}, sent: map[uint64]bool{0: true},
	}
	for i := range operatorCount {
		c.operators = append(c.operators, &operator{number: i, nextTry: 3 * time.Second})
	}
	for i := range workerCount {
		c.workers = append(c.workers, newSimWorker(c, i))
	}
	return c
}

func (c *callers) step() {
	for _, o := range c.operators {
		c.stepOperator(o)
	}
	for _, worker := range c.workers {
		worker.step()
	}
}

// possible reports whether a version may be in force anywhere.
func (c *callers) possible(generation uint64) bool { return c.sent[generation] }

// dueVersion returns the newest version that was acknowledged before a moment.
func (c *callers) dueVersion(before time.Duration) uint64 {
	newest := uint64(0)
	for _, o := range c.acked {
		if o.end < before {
			newest = max(newest, o.generation)
		}
	}
	return newest
}

func (c *callers) stepOperator(o *operator) {
	w := c.world
	if w.now < o.nextTry {
		return
	}
	if o.current == nil {
		if c.quiet {
			return
		}
		c.begin(o)
	}
	if w.now > o.deadline {
		c.end(o, wirepb.Outcome_OUTCOME_UNKNOWN)
		return
	}
	o.tries++
	o.nextTry = w.now + callTimeout + o.pause
	o.pause = min(2*o.pause, time.Second)
	c.call(o)
}

// begin draws the next order.
func (c *callers) begin(o *operator) {
	w := c.world
	op := &operation{operator: o.number, start: w.now, kind: readConfiguration}
	o.command = nil
	switch draw := w.random.Intn(10); {
	case o.mustRead || draw < 2:
	case draw < 8:
		c.beginReplace(o, op)
	default:
		op.kind = setEvacuation
		op.zone, op.active = w.random.Intn(simZones), w.random.Intn(2) == 0
		o.command = statemachine.EvacuationCommand(w.zoneName(op.zone), op.active)
	}
	o.current, o.tries, o.pause, o.deadline = op, 0, 50*time.Millisecond, w.now+patience
	c.history = append(c.history, op)
}

func (c *callers) beginReplace(o *operator, op *operation) {
	op.kind = replaceConfiguration
	op.base = o.known
	op.generation = o.known + 1 + uint64(c.world.random.Intn(2))
	c.next++
	mark := fmt.Sprintf("%d-%d", o.number, c.next)
	if c.world.shape.large {
		mark += hex.EncodeToString(randomBytes(c.world.random, c.world.random.Intn(2000)))
	}
	body := []byte(fmt.Sprintf(`{"generation":%d,"routes":[],"services":[],"mark":%q}`, op.generation, mark))
	op.body = string(body)
	command, err := statemachine.ReplaceCommand(op.base, op.generation, body)
	if err != nil {
		panic(err)
	}
	o.command = command
	c.sent[op.generation] = true
}

// call sends the order to some core. Its answer may be lost on the way.
func (c *callers) call(o *operator) {
	w := c.world
	present := w.present()
	m := present[w.random.Intn(len(present))]
	if m.process == nil {
		o.nextTry = w.now + callDelay + o.pause
		return
	}
	op, try, lost := o.current, o.tries, w.random.Float64() < c.loss
	answered := func(reply *wirepb.CallReply) {
		if lost || o.current != op {
			return
		}
		if reply.Outcome == wirepb.Outcome_OUTCOME_UNKNOWN {
			if try == o.tries {
				o.nextTry = w.now + o.pause
			}
			return
		}
		if op.kind == readConfiguration {
			op.generation = reply.Generation
			op.body = unpacked(reply.Body)
		}
		c.end(o, reply.Outcome)
	}
	command := o.command
	m.process.post(func(e *Engine) {
		if submit := w.planted.submit; submit == nil || !submit(e, command, answered) {
			e.Submit(command, answered)
		}
	})
}

func randomBytes(random *rand.Rand, count int) []byte {
	data := make([]byte, count)
	random.Read(data)
	return data
}

func unpacked(body []byte) string {
	if len(body) == 0 {
		return ""
	}
	text, err := statemachine.Decompress(body)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// end notes the outcome of an order.
func (c *callers) end(o *operator, outcome wirepb.Outcome) {
	w := c.world
	op := o.current
	o.current = nil
	o.nextTry = w.now + time.Duration(50+w.random.Intn(600))*time.Millisecond
	op.end, op.outcome = w.now, outcome
	o.mustRead = outcome != wirepb.Outcome_OUTCOME_TAKEN
	if outcome != wirepb.Outcome_OUTCOME_TAKEN {
		return
	}
	switch op.kind {
	case replaceConfiguration:
		o.known = op.generation
		c.acked = append(c.acked, op)
	case readConfiguration:
		o.known = op.generation
	}
}

// busy reports whether an order is under way.
func (c *callers) busy() bool {
	for _, o := range c.operators {
		if o.current != nil {
			return true
		}
	}
	return false
}

// simWorker is a worker: one incarnation after the other.
type simWorker struct {
	callers     *callers
	number      int
	incarnation int
	sequence    uint64
	core        string
	nextBeat    time.Duration
	drainAt     time.Duration
	leaveAt     time.Duration // when it deregisters, once it has said that it drains
	left        bool
	born        time.Duration
	answered    time.Duration // when a heartbeat was acknowledged last
	lateSince   time.Duration // the last time that it went unanswered for long
}

func newSimWorker(c *callers, number int) *simWorker {
	worker := &simWorker{callers: c, number: number}
	worker.begin()
	return worker
}

func (s *simWorker) name() string { return fmt.Sprintf("worker-%d-%d", s.number, s.incarnation) }

func (s *simWorker) begin() {
	w := s.callers.world
	s.incarnation++
	s.sequence = 0
	s.left = false
	s.drainAt = w.now + time.Duration(6000+w.random.Intn(20000))*time.Millisecond
	s.leaveAt = 0
	s.born, s.answered, s.lateSince = w.now, w.now, w.now
	s.nextBeat = w.now + 500*time.Millisecond
}

// steady reports whether the worker lives and was answered all the while.
func (s *simWorker) steady() bool {
	return !s.left && s.leaveAt == 0 && s.sequence > 0 && s.callers.world.now-s.lateSince > calmContact
}

func (s *simWorker) step() {
	w := s.callers.world
	if w.now-s.answered > 2*simHeartbeat {
		s.lateSince = w.now
	}
	if w.now < s.nextBeat {
		return
	}
	s.nextBeat = w.now + simHeartbeat
	if s.left {
		s.begin()
		return
	}
	m := w.byHost[s.core]
	if m == nil || m.gone || m.process == nil || w.now-s.answered > simHeartbeat+callTimeout/2 {
		present := w.present()
		m = present[w.random.Intn(len(present))]
		s.core = m.host
	}
	if m.process == nil {
		s.nextBeat = w.now + 100*time.Millisecond
		return
	}
	s.sequence++
	if s.leaveAt > 0 && w.now >= s.leaveAt {
		s.deregister(m)
		return
	}
	s.beat(m)
}

func (s *simWorker) beat(m *machine) {
	w := s.callers.world
	name, incarnation, began := s.name(), s.incarnation, w.now
	draining := w.now >= s.drainAt
	heartbeat := Heartbeat{Sequence: s.sequence, Worker: &wirepb.Worker{
		InstanceId: name, Service: "s", Address: fmt.Sprintf("10.9.0.%d:80", s.number), Capacity: 4,
		Zone: w.zoneName(s.number), Draining: draining,
	}}
	answered := func(acknowledged bool) {
		if !acknowledged || w.now-began > callTimeout || incarnation != s.incarnation {
			return
		}
		s.answered = w.now
		if draining {
			s.callers.departures[name] = minTime(s.callers.departures, name, w.now)
			if s.leaveAt == 0 {
				s.leaveAt = w.now + 4*time.Second
			}
		}
	}
	m.process.post(func(e *Engine) { e.Heartbeat(heartbeat, answered) })
}

func minTime(times map[string]time.Duration, key string, at time.Duration) time.Duration {
	if known, ok := times[key]; ok {
		return known
	}
	return at
}

func (s *simWorker) deregister(m *machine) {
	name, incarnation := s.name(), s.incarnation
	m.process.post(func(e *Engine) {
		e.Deregister(name, func(acknowledged bool) {
			if acknowledged && incarnation == s.incarnation {
				s.left = true
			}
		})
	})
}
