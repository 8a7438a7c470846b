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
	clientCallTimeout = time.Second          // wait for a reply before a client retries with another core
	clientCallDelay   = 5 * time.Millisecond // least delay of the next attempt if the chosen core is down
	operatorTimeout   = 6 * time.Second      // limit of one operation with all its attempts
	operatorCount     = 2
	workerCount       = 3
	simZones          = 2
)

// operationKind is the kind of an operator's request.
type operationKind int

const (
	replaceConfiguration operationKind = iota
	readConfiguration
	setEvacuation
)

// operation is one request of an operator, with all its attempts.
type operation struct {
	operator               int
	kind                   operationKind
	base                   uint64 // generation that a new configuration replaces
	generation             uint64 // of the configuration that was sent or read
	body                   string // of the configuration that was sent or read
	zone                   int
	active                 bool
	startedAt, completedAt time.Duration
	outcome                wirepb.Outcome // UNKNOWN: no attempt received a definite reply
}

// operator is a client that submits operations one after the other.
type operator struct {
	id          int
	baseVersion uint64 // generation that its next configuration replaces
	mustRead    bool   // the next operation is a read, since the last outcome was not an acceptance
	current     *operation
	command     *wirepb.Command
	nextAttempt time.Duration
	deadline    time.Duration
	backoff     time.Duration
	attempts    int
}

// clients holds the operators and the workers, and the outcomes that they have received.
type clients struct {
	world             *world
	operators         []*operator
	workers           []*simWorker
	history           []*operation
	lastConfiguration uint64                   // number of the last one, which makes each body unique
	replyLossRate     float64                  // probability that an operator does not receive a reply
	idle              bool                     // operators begin no new operations
	departures        map[string]time.Duration // by instance: when its departure was acknowledged
	sentVersions      map[uint64]bool          // generations of the configurations that were sent
	acknowledged      []*operation             // configurations, in the order of their acknowledgement
	callers           callerLinks
}

func newClients(w *world, callers callerLinks) *clients {
	c := &clients{
		world: w, callers: callers, departures: map[string]time.Duration{}, sentVersions: map[uint64]bool{0: true},
	}
	for i := range operatorCount {
		c.operators = append(c.operators, &operator{id: i, nextAttempt: 3 * time.Second})
	}
	for i := range workerCount {
		c.workers = append(c.workers, newSimWorker(c, i))
	}
	return c
}

func (c *clients) step() {
	c.callers.step(c.world.now)
	for _, o := range c.operators {
		c.stepOperator(o)
	}
	for _, worker := range c.workers {
		worker.step()
	}
}

// wasSent reports whether an operator has submitted a configuration of this generation, which may be in
// force.
func (c *clients) wasSent(generation uint64) bool { return c.sentVersions[generation] }

// acknowledgedVersion returns the newest generation that was acknowledged before the given time.
func (c *clients) acknowledgedVersion(before time.Duration) uint64 {
	newest := uint64(0)
	for _, o := range c.acknowledged {
		if o.completedAt < before {
			newest = max(newest, o.generation)
		}
	}
	return newest
}

func (c *clients) stepOperator(o *operator) {
	w := c.world
	if w.now < o.nextAttempt {
		return
	}
	if o.current == nil {
		if c.idle {
			return
		}
		c.begin(o)
	}
	if w.now > o.deadline {
		c.end(o, wirepb.Outcome_OUTCOME_UNKNOWN)
		return
	}
	o.attempts++
	o.nextAttempt = w.now + clientCallTimeout + o.backoff
	o.backoff = min(2*o.backoff, time.Second)
	c.submit(o)
}

// begin draws an operator's next operation.
func (c *clients) begin(o *operator) {
	w := c.world
	op := &operation{operator: o.id, startedAt: w.now, kind: readConfiguration}
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
	o.current, o.attempts, o.backoff, o.deadline = op, 0, 50*time.Millisecond, w.now+operatorTimeout
	c.history = append(c.history, op)
}

func (c *clients) beginReplace(o *operator, op *operation) {
	op.kind = replaceConfiguration
	op.base = o.baseVersion
	op.generation = o.baseVersion + 1 + uint64(c.world.random.Intn(2))
	c.lastConfiguration++
	mark := fmt.Sprintf("%d-%d", o.id, c.lastConfiguration)
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
	c.sentVersions[op.generation] = true
}

// submit sends an operator's current operation to a random core. The reply is lost with probability
// replyLossRate.
func (c *clients) submit(o *operator) {
	w := c.world
	present := w.presentMachines()
	m := present[w.random.Intn(len(present))]
	if m.process == nil {
		o.nextAttempt = w.now + clientCallDelay + o.backoff
		return
	}
	op, attempt, lost := o.current, o.attempts, w.random.Float64() < c.replyLossRate
	onReply := func(reply *wirepb.CallReply) {
		if lost || o.current != op {
			return
		}
		if reply.Outcome == wirepb.Outcome_OUTCOME_UNKNOWN || reply.Outcome == OutcomeNotForwarded {
			if attempt == o.attempts {
				o.nextAttempt = w.now + o.backoff
			}
			return
		}
		if op.kind == readConfiguration {
			op.generation = reply.Generation
			op.body = decompressed(reply.Body)
		}
		c.end(o, reply.Outcome)
	}
	if op.kind == setEvacuation {
		c.callEvacuation(m, o.command, onReply)
		return
	}
	command := o.command
	m.process.post(func(e *Engine) {
		if submit := w.planted.submit; submit == nil || !submit(e, command, onReply) {
			e.Submit(command, onReply)
		}
	})
}

func randomBytes(random *rand.Rand, count int) []byte {
	data := make([]byte, count)
	random.Read(data)
	return data
}

func decompressed(body []byte) string {
	if len(body) == 0 {
		return ""
	}
	text, err := statemachine.Decompress(body)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// end records the outcome of an operator's current operation.
func (c *clients) end(o *operator, outcome wirepb.Outcome) {
	w := c.world
	op := o.current
	o.current = nil
	o.nextAttempt = w.now + time.Duration(50+w.random.Intn(600))*time.Millisecond
	op.completedAt, op.outcome = w.now, outcome
	o.mustRead = outcome != wirepb.Outcome_OUTCOME_ACCEPTED
	if outcome != wirepb.Outcome_OUTCOME_ACCEPTED {
		return
	}
	switch op.kind {
	case replaceConfiguration:
		o.baseVersion = op.generation
		c.acknowledged = append(c.acknowledged, op)
	case readConfiguration:
		o.baseVersion = op.generation
	}
}

// busy reports whether any operator has an operation in progress.
func (c *clients) busy() bool {
	for _, o := range c.operators {
		if o.current != nil {
			return true
		}
	}
	return false
}

// simWorker is a simulated worker. When an incarnation of it has deregistered, it starts the next one.
type simWorker struct {
	clients              *clients
	number               int
	incarnation          int
	sequence             uint64
	core                 string // host of the core that receives its heartbeats
	nextHeartbeat        time.Duration
	drainAt              time.Duration
	deregisterAt         time.Duration // set when its draining is acknowledged; 0 before that
	deregistered         bool
	startedAt            time.Duration
	acknowledgedAt       time.Duration // when a heartbeat was last acknowledged
	lastUnacknowledgedAt time.Duration // when acknowledgedAt was last older than two heartbeat intervals
}

func newSimWorker(c *clients, number int) *simWorker {
	worker := &simWorker{clients: c, number: number}
	worker.startIncarnation()
	return worker
}

func (s *simWorker) name() string { return fmt.Sprintf("worker-%d-%d", s.number, s.incarnation) }

func (s *simWorker) startIncarnation() {
	w := s.clients.world
	s.incarnation++
	s.sequence = 0
	s.deregistered = false
	s.drainAt = w.now + time.Duration(6000+w.random.Intn(20000))*time.Millisecond
	s.deregisterAt = 0
	s.startedAt, s.acknowledgedAt, s.lastUnacknowledgedAt = w.now, w.now, w.now
	s.nextHeartbeat = w.now + 500*time.Millisecond
}

// continuouslyAcknowledged reports whether the worker has not begun to deregister, and its heartbeats have
// been acknowledged without a gap for settlingAfterFault.
func (s *simWorker) continuouslyAcknowledged() bool {
	return !s.deregistered && s.deregisterAt == 0 && s.sequence > 0 &&
		s.clients.world.now-s.lastUnacknowledgedAt > settlingAfterFault
}

func (s *simWorker) step() {
	w := s.clients.world
	if w.now-s.acknowledgedAt > 2*simHeartbeat {
		s.lastUnacknowledgedAt = w.now
	}
	if w.now < s.nextHeartbeat {
		return
	}
	s.nextHeartbeat = w.now + simHeartbeat
	if s.deregistered {
		s.startIncarnation()
		return
	}
	m := w.byHost[s.core]
	if m == nil || m.removed || m.process == nil || w.now-s.acknowledgedAt > simHeartbeat+clientCallTimeout/2 {
		present := w.presentMachines()
		m = present[w.random.Intn(len(present))]
		s.core = m.host
	}
	if m.process == nil {
		s.nextHeartbeat = w.now + 100*time.Millisecond
		return
	}
	s.sequence++
	if s.deregisterAt > 0 && w.now >= s.deregisterAt {
		s.deregister(m)
		return
	}
	s.heartbeat(m)
}

func (s *simWorker) heartbeat(m *machine) {
	w := s.clients.world
	name, incarnation, began := s.name(), s.incarnation, w.now
	draining := w.now >= s.drainAt
	heartbeat := Heartbeat{Sequence: s.sequence, Worker: &wirepb.Worker{
		InstanceId: name, Service: "s", Address: fmt.Sprintf("10.9.0.%d:80", s.number), Capacity: 4,
		Zone: w.zoneName(s.number), Draining: draining,
	}}
	onReply := func(acknowledged bool) {
		if !acknowledged || w.now-began > clientCallTimeout || incarnation != s.incarnation {
			return
		}
		s.acknowledgedAt = w.now
		if draining {
			s.clients.departures[name] = earlierOf(s.clients.departures, name, w.now)
			if s.deregisterAt == 0 {
				s.deregisterAt = w.now + 4*time.Second
			}
		}
	}
	m.process.post(func(e *Engine) { e.Heartbeat(heartbeat, onReply) })
}

func earlierOf(times map[string]time.Duration, key string, at time.Duration) time.Duration {
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
				s.deregistered = true
			}
		})
	})
}
