package distribution

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

var (
	walks     = flag.Int("walks", 200, "number of random walks, of half a minute each")
	firstSeed = flag.Int64("seed", 0, "seed of the first walk")
)

const (
	// from a gateway's last check to the write that it allows, as package ruleset has it
	maxStepMillis    = 250.0
	clockSlackMillis = 2.0 // that clocks may be off by over a lease and the hops below the raft group
)

// injectedFault is a fault of the protocol that the walks have to find.
type injectedFault uint8

const (
	noFault        injectedFault = iota
	ageFromReceipt               // an age counts from the receipt of the response
	// a relay passes on its upstream's age without its own time
	ageNotAccumulated
	readBeforeStart   // responses are accepted that were read before the process started
	digestUnchecked   // a corrupt delta is applied, as if no digest were checked
	lastHostAckWins   // the last fact of a host wins, not the highest
	reportedForOthers // a relay reports its own step for the hosts below it
	lowerStepAccepted // a response of a lower step is accepted
	checkpointTrusted // the checkpoint's snapshot is acted on
	nonceUnchecked    // a response is accepted for another request
	faultCount
)

var faultNames = [...]string{"none", "age from receipt", "age not accumulated",
	"read before the start", "digest not checked", "last fact wins", "reported for others",
	"lower step accepted", "checkpoint trusted", "nonce not checked"}

// node is one process: a voter of the raft group, a relay, a host's daemon or a gateway. Its state is lost
// with the process; its clock and its disk stay.
type node struct {
	name, host             string
	level, zone            int // zone 0: of both zones
	upstreams              []*node
	interest               ruleset.Interest
	clockRate, clockOffset float64
	stalledUntil           float64 // point in true time
	incarnation            int
	startedAt              float64 // true time
	follower               *Follower
	source                 *Source
	step                   uint64 // highest of this incarnation
	version                uint64
	checkedRules           versioned.VersionID
	knownHostAcks          map[string]uint64 // by its source, at the last check
	diskRules, diskPending *versioned.State
	diskSnapshot           Snapshot // of the disk's states; none may act on it
	reportedStep           uint64   // highest that any incarnation has reported for the host
	stateMachine           *ruleset.StateMachine
	hostAgent              *ruleset.HostAgent
	applied                int
	grantor                *ruleset.LeaseGrantor
	submittedAt            float64
	gateways               []*node // of a host's daemon
	daemon                 *node   // of a gateway
	holder                 *ruleset.LeaseHolder
	permits                []permit
	processID              int
	checkedPair            [2]versioned.VersionID
	replica                *Replica  // in place of a follower's snapshot
	previousResponse       *Response // may be delivered again in place of another
	decoded                [2]*ruleset.Rules
	leasedTurns            int
}

func (n *node) clock(now float64) float64      { return now*n.clockRate + n.clockOffset }
func (n *node) trueTime(clock float64) float64 { return (clock - n.clockOffset) / n.clockRate }

// permit is what a gateway checked at a time and may act on for maxStepMillis.
type permit struct {
	at, rate, credit float64
	version, step    uint64 // version 0: by a fallback or without rules
	bare             bool
}

type event struct {
	at  float64
	run func()
}

// published is what the raft group has at a step.
type published struct {
	rules, pending versioned.VersionID
	states         [2]*versioned.State
	endedAt        float64 // when the next step came; true time
}

type supersededVersion struct {
	endedAt, ceiling, boundMillis float64
	number                        uint64
}

type walk struct {
	rng        *rand.Rand
	now        float64
	log        []ruleset.LogEntry
	reference  *ruleset.StateMachine
	nodes      []*node // from the raft group downwards
	roots      []*node
	gateways   []*node
	events     []event
	superseded []supersededVersion
	ceiling    float64
	steps      map[uint64]*published
	states     map[string]*versioned.State // of versions, by number and rules
	leaderFrom float64                     // when there is a leader again; true time
	fault      injectedFault
	calm       bool
	counts     map[string]int
	violation  string
	versions   map[versioned.VersionID]*ruleset.Rules
	processes  int
	nonces     uint64
	replicas   bool // gateways have a Replica, as in production
}

func (w *walk) fail(form string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %.0f ", w.now) + fmt.Sprintf(form, args...)
	}
}

// deliver runs something at a node after a random delay, which is mostly short and sometimes very long, and
// now and then never or twice. At a stalled node it waits until that goes on; for an earlier incarnation it
// is lost.
func (w *walk) deliver(to *node, do func()) {
	incarnation := 0
	if to != nil {
		incarnation = to.incarnation
	}
	var run func()
	run = func() {
		if to == nil {
			do()
		} else if to.incarnation != incarnation {
			return
		} else if to.stalledUntil > w.now {
			w.events = append(w.events, event{to.stalledUntil, run})
		} else {
			do()
		}
	}
	if w.calm {
		w.events = append(w.events, event{w.now + 5, run})
		return
	}
	for n := []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2}[w.rng.Intn(15)]; n > 0; n-- {
		delay := w.rng.ExpFloat64() * 10
		if w.rng.Intn(20) == 0 {
			delay = w.rng.Float64() * 2500
		}
		w.events = append(w.events, event{w.now + delay, run})
	}
}

// state gives the state of a version, always the same one.
func (w *walk) state(v *ruleset.Version) *versioned.State {
	key := fmt.Sprintf("%d %+v", v.Number, v.Rules)
	if w.states[key] == nil {
		s, err := ruleset.VersionToState(v)
		if err != nil {
			panic(err)
		}
		w.states[key] = s
	}
	return w.states[key]
}

// pending gives the state of the pending version; nil: none.
func (w *walk) pending(st *ruleset.State) *versioned.State {
	if st.Pending == nil {
		return nil
	}
	return w.state(&st.Pending.Version)
}

func (w *walk) commit(e ruleset.LogEntry) {
	if w.leaderFrom > w.now {
		return
	}
	st := w.reference.State()
	old, stepBefore := st.InForce, st.Step
	outcome := w.reference.Apply(e)
	w.log = append(w.log, e)
	if outcome.Rejection != "" {
		w.counts["rejected"]++
	}
	if outcome.PendingReason != "" {
		w.counts["pending"]++
	}
	if e.Type == ruleset.EntryAckBatch && outcome.Rejection == "" {
		w.counts["host acks"] += len(e.Acks)
	}
	if st = w.reference.State(); st.Step != stepBefore {
		for s := stepBefore; s < st.Step; s++ {
			if step := w.steps[s]; step != nil {
				step.endedAt = min(step.endedAt, w.now)
			}
		}
		step := &published{endedAt: math.Inf(1)}
		step.states = [2]*versioned.State{w.state(&st.InForce), w.pending(st)}
		step.rules, step.pending = step.states[0].ID(), step.states[1].ID()
		w.steps[st.Step] = step
	}
	if outcome.Activated > 0 {
		w.counts["in force"]++
		w.superseded = append(w.superseded, supersededVersion{w.now, w.ceiling,
			ruleset.ConflictBoundMillis(&old.Rules),
			old.Number})
		w.ceiling = st.InForce.Rules.Plans[0].CeilingRate
	}
}

func (w *walk) randomRules() *ruleset.Rules {
	ceiling := []float64{12, 24, 48, 96, 192}[w.rng.Intn(5)]
	r := &ruleset.Rules{Format: ruleset.SupportedFormat, ConflictBoundMillis: ruleset.DefaultConflictBoundMillis,
		LeaseMillis: 600 + w.rng.Float64()*1000,
		Fallback:    ruleset.Fallback{Fraction: w.rng.Float64(), DurationMillis: w.rng.Float64() * 3000},
		Plans: []ruleset.Plan{{Name: "p", Rate: ceiling, Burst: 1, CeilingRate: ceiling, CeilingDepth: ceiling,
			CreditSeconds: 1, RepayMillis: 2000}}}
	members := []string{"abcd", "abc", "ab.d", "a", "ab", ".bc"}
	for _, m := range strings.Split(members[w.rng.Intn(len(members))], "") {
		if m == "." {
			r.Members = append(r.Members, ruleset.Member{})
		} else {
			r.Members = append(r.Members, ruleset.Member{Name: m, Host: hostOf(m)})
		}
	}
	for i := range w.rng.Intn(3) {
		r.WorkerOverrides = append(r.WorkerOverrides, ruleset.WorkerOverride{Worker: fmt.Sprint("w", i),
			Barred: true})
	}
	return r
}

func hostOf(gate string) string {
	if gate < "c" {
		return "h0"
	}
	return "h1"
}

// build makes two voters, depth-1 levels of relays with two relays for each branch, two hosts' daemons and
// four gateways. A chain has one branch, a tree has two from the second level on.
func (w *walk) build(depth int, tree bool) {
	add := func(n *node) *node {
		n.clockRate, n.clockOffset = 1+(2*w.rng.Float64()-1)*clockDrift, w.rng.Float64()*1e6
		w.nodes = append(w.nodes, n)
		return n
	}
	for i := range 2 {
		w.roots = append(w.roots, add(&node{name: fmt.Sprint("root", i), stateMachine: ruleset.NewStateMachine()}))
	}
	branches, around := [2][]*node{w.roots, w.roots}, 1
	if w.replicas {
		around = RingRadius
	}
	for level := 1; level < depth; level++ {
		for b := range 2 {
			if b == 1 && (!tree || level == 1) {
				branches[1] = branches[0]
				continue
			}
			var pair []*node
			for i := range 2 {
				zone := 0
				if tree && level > 1 {
					zone = b + 1
				}
				pair = append(pair, add(&node{name: fmt.Sprintf("r%d.%d.%d", level, b, i), level: level, zone: zone,
					upstreams: branches[b], interest: ruleset.Interest{All: true}}))
			}
			branches[b] = pair
		}
	}
	for b := range 2 {
		daemon := add(&node{name: fmt.Sprint("daemon", b), host: fmt.Sprint("h", b), level: depth, zone: b + 1,
			upstreams: branches[b], interest: ruleset.Interest{Host: fmt.Sprint("h", b), Around: around}})
		for _, name := range []string{"ab", "cd"}[b] {
			n := &node{name: string(name), host: daemon.host, level: depth + 1, zone: b + 1,
				upstreams: []*node{daemon}, daemon: daemon,
				interest: ruleset.Interest{Name: string(name), Around: around}}
			daemon.gateways, w.gateways = append(daemon.gateways, n), append(w.gateways, n)
		}
	}
	for _, name := range w.gateways {
		add(name)
	}
	for _, n := range w.nodes {
		w.start(n, 0)
	}
}

// start begins an incarnation of a node. Its disk is as it was (0), an older one (1), or empty or torn (2).
func (w *walk) start(n *node, diskState int) {
	n.incarnation++
	n.startedAt, n.stalledUntil, n.step, n.version, n.checkedRules, n.knownHostAcks = w.now, 0, 0, 0,
		versioned.VersionID{}, nil
	n.checkedPair, n.decoded = [2]versioned.VersionID{}, [2]*ruleset.Rules{}
	switch {
	case n.stateMachine != nil: // a voter restarts with a snapshot, or with nothing
		raw, err := n.stateMachine.Snapshot()
		if n.stateMachine = ruleset.NewStateMachine(); err != nil || n.stateMachine.Restore(raw) != nil {
			panic("snapshot")
		}
		if diskState > 0 {
			n.stateMachine, n.applied = ruleset.NewStateMachine(), 0
		}
		n.hostAgent = ruleset.NewHostAgent(n.name, n.stateMachine)
		n.hostAgent.SetFrequentReads(true)
		n.hostAgent.SetTime(n.clock(w.now))
		n.hostAgent.EntriesApplied()
	case n.daemon != nil:
		n.daemon.grantor.ProcessExited(n.processID)
		w.processes++
		n.processID = w.processes
		n.daemon.grantor.ProcessStarted(n.processID, false)
		n.holder, n.permits = ruleset.NewLeaseHolder(n.name, ruleset.Rules{}), nil
	}
	if n.gateways != nil {
		n.grantor = &ruleset.LeaseGrantor{}
		for _, g := range n.gateways {
			if g.processID > 0 {
				n.grantor.ProcessStarted(g.processID, true)
			}
		}
	}
	if n.daemon == nil {
		n.source = NewSource(n.name, "c", SourceConfig{Incarnation: uint64(w.rng.Int63()) | 1,
			FullStateBytesPerSecond: 1000,
			FullStateBurstBytes:     300})
	}
	if n.upstreams == nil {
		return
	}
	config := FollowerConfig{Name: n.name, Cluster: "c", Upstreams: len(n.upstreams), Interest: n.interest,
		Seed:                  w.rng.Int63(),
		UpstreamTracksProcess: n.daemon != nil || w.fault == readBeforeStart}
	if n.daemon == nil && n.gateways == nil {
		config.RequestsPerLease = 20
	}
	if n.replica = nil; n.daemon != nil && w.replicas {
		n.replica = NewReplica(n.name, n.processID, config.Seed)
	}
	n.follower = NewFollower(config, n.clock(w.now))
	n.follower.SetAckedStep(n.processID, 0)
	switch {
	case n.daemon != nil: // a gateway has no checkpoint
	case diskState == 0:
		n.follower.AddBases(n.diskRules, n.diskPending)
	case diskState == 1:
		n.follower.AddBases(n.older(w), nil)
	}
	if w.fault == checkpointTrusted && n.diskRules != nil && n.daemon == nil {
		n.follower.hasSnapshot, n.follower.snapshot = true, n.diskSnapshot
		n.follower.lease = ruleset.StateLeaseMillis(n.diskRules)
	}
}

// older gives a state that an old checkpoint may have.
func (n *node) older(w *walk) *versioned.State {
	var all []*versioned.State
	for _, at := range slices.Sorted(maps.Keys(w.steps)) {
		all = append(all, ruleset.Select(w.steps[at].states[0], n.interest))
	}
	if len(all) == 0 {
		return nil
	}
	return all[w.rng.Intn(len(all))]
}

// runAll runs each node that is not stalled.
func (w *walk) runAll() {
	for _, n := range w.nodes {
		if n.stalledUntil <= w.now {
			w.runNode(n)
		}
		if n.holder == nil {
			continue
		}
		// A process may stall between its check and its write: what May allows is a permit.
		if t := n.holder.Effective(); n.holder.MayAct(n.clock(w.now)) && len(t.Plans) > 0 {
			permit := permit{at: w.now, rate: t.Plans[0].Allowance.Rate, credit: t.Plans[0].Allowance.Credit,
				step: n.step,
				bare: t.Mode == ruleset.ModeNoLease}
			if t.Mode == ruleset.ModeLeased {
				permit.version = t.Version
				n.leasedTurns++
			}
			n.permits = append(n.permits, permit)
		}
		n.permits = slices.DeleteFunc(n.permits,
			func(permit permit) bool { return permit.at+maxStepMillis < w.now })
	}
}

// runNode carries out what a node decides.
func (w *walk) runNode(n *node) {
	if n.stateMachine != nil {
		w.runRoot(n)
		return
	}
	if n.replica != nil {
		n.holder.SetTime(n.clock(w.now))
		for action, more := n.holder.NextAction(); more; action, more = n.holder.NextAction() {
			if action.Kind == ruleset.ActionRequestLease {
				w.sendReplicaRequest(n)
			}
		}
		return
	}
	for done := false; !done; {
		done = true
		n.follower.AdvanceClock(n.clock(w.now))
		for {
			action, more := n.follower.NextAction()
			if !more {
				break
			}
			if action.Kind == SendRequest {
				w.sendFollowerRequest(n, action)
			}
		}
		w.checkFollower(n)
		if n.holder != nil {
			done = w.runHolder(n)
		}
	}
	if n.source != nil && n.daemon == nil {
		n.follower.ReportHostAcks(n.source.TakeHostAcks())
	}
	if n.grantor != nil {
		w.reportSeen(n)
	}
	if w.fault == reportedForOthers && n.gateways == nil && n.daemon == nil && n.step > 0 {
		n.follower.ReportHostAcks([]HostAck{{Host: "h0", Step: n.step}, {Host: "h1", Step: n.step}})
	}
}

// reportSeen has a host's daemon report the step that all of its processes act on, and checks it.
func (w *walk) reportSeen(daemon *node) {
	seen := daemon.grantor.AckedStep(daemon.step)
	if seen == 0 {
		return
	}
	daemon.follower.ReportHostAcks([]HostAck{{Host: daemon.host, Step: seen}})
	if seen > daemon.reportedStep {
		daemon.reportedStep = seen
		w.checkReported(daemon.host, seen)
	}
}

// checkReported fails where a host is reported to act on a step while one of its processes may act on an
// earlier.
func (w *walk) checkReported(host string, step uint64) {
	for _, g := range w.gateways {
		if g.host != host {
			continue
		}
		for _, permit := range g.permits {
			if !permit.bare && permit.step < step && permit.at+maxStepMillis >= w.now {
				w.fail("%s is reported to act on step %d, and %s may write by step %d", host, step, g.name, permit.step)
			}
		}
	}
}

// runRoot runs a voter.
func (w *walk) runRoot(n *node) {
	for n.applied < len(w.log) && w.rng.Intn(3) > 0 {
		w.applyEntry(n)
	}
	n.hostAgent.SetTime(n.clock(w.now))
	n.hostAgent.SetLeader(w.rng.Intn(2) == 0)
	for {
		action, more := n.hostAgent.NextAction()
		if !more {
			break
		}
		switch action.Kind {
		case ruleset.ActionSubmit:
			w.deliver(nil, func() { w.commit(action.Entry) })
		case ruleset.ActionReadState:
			readStart, index := n.clock(w.now), len(w.log)
			w.deliver(n, func() {
				if w.leaderFrom > w.now {
					return
				}
				for n.applied < index {
					w.applyEntry(n)
				}
				n.hostAgent.SetTime(n.clock(w.now))
				n.hostAgent.ReadConfirmed(readStart)
				if st := n.stateMachine.State(); st.InForce.Number > 0 {
					n.source.Publish(Snapshot{Step: st.Step, TransitionComplete: st.TransitionComplete(),
						ReadStartMillis: readStart,
						Rules:           w.state(&st.InForce), Pending: w.pending(st), DiscoveryIndex: -1})
				}
			})
		}
	}
	if w.now-n.submittedAt >= 300 {
		if facts := n.stateMachine.State().UsefulAcks(n.source.HostAcks()); len(facts) > 0 {
			n.submittedAt = w.now
			w.deliver(nil, func() { w.commit(ruleset.LogEntry{Type: ruleset.EntryAckBatch, Acks: facts}) })
		}
	}
}

func (w *walk) applyEntry(n *node) {
	n.stateMachine.Apply(w.log[n.applied])
	n.applied++
	n.hostAgent.SetTime(n.clock(w.now))
	n.hostAgent.EntriesApplied()
}

// sendFollowerRequest sends a follower's request, and the response back.
func (w *walk) sendFollowerRequest(n *node, action Action) {
	sentAt := n.clock(w.now)
	w.send(n, n.upstreams[action.Upstream], action.Request, func(response *Response) {
		f, sentAt := n.follower, sentAt
		f.AdvanceClock(n.clock(w.now))
		switch w.fault {
		case ageFromReceipt:
			sentAt, response.Nonce = n.clock(w.now), 0
		case lowerStepAccepted:
			f.hasSnapshot = false
		}
		if response.Nonce != action.Request.Nonce && w.fault == nonceUnchecked {
			response.Nonce = 0
		}
		f.HandleResponse(action.Upstream, sentAt, response)
		w.runNode(n)
	})
}

// sendReplicaRequest sends the request of a gateway with a Replica, as its holder wants it, and gives the
// holder what came.
func (w *walk) sendReplicaRequest(n *node) {
	sentAt, request := n.clock(w.now), n.replica.NewRequest(n.clock(w.now), n.holder.AckedStep(), -1)
	w.nonces++
	request.Cluster, request.Nonce = "c", w.nonces
	w.send(n, n.daemon, request, func(response *Response) {
		sentAt := sentAt
		switch {
		case w.fault == ageFromReceipt:
			sentAt = n.clock(w.now)
		case w.fault == lowerStepAccepted:
			n.replica.lease.Step = 0
		case response.Nonce != request.Nonce && w.fault != nonceUnchecked: // as relay.Client has it
			return
		}
		n.holder.SetTime(n.clock(w.now))
		if lease, _, err := n.replica.HandleResponse(response, n.clock(w.now)); err == nil &&
			lease.Version.Number > 0 {
			w.checkSnapshot(n, &Snapshot{Step: lease.Step, ReadStartMillis: sentAt - lease.AgeMillis,
				Rules:   n.replica.rules,
				Pending: n.replica.pending})
			n.holder.ReceiveLease(lease, sentAt)
		}
		w.runNode(n)
	})
}

// send sends a request, and the response back if the incarnation that asked is still there.
func (w *walk) send(n, upstream *node, request *Request, handle func(*Response)) {
	incarnation := n.incarnation
	w.counts["requests"]++
	w.deliver(upstream, func() {
		if upstream.grantor != nil {
			if n.incarnation != incarnation { // a daemon knows which of its processes have exited
				return
			}
			if upstream.grantor.RecordRequest(request.ProcessID, request.AckedStep); upstream.step > 0 {
				upstream.grantor.RecordGrant(request.ProcessID)
			}
		}
		response, err := upstream.source.Respond(request, upstream.clock(w.now))
		if err != nil {
			w.fail("%s asks %s: %v", n.name, upstream.name, err)
			return
		}
		w.checkHostAcks(upstream)
		response = w.corrupt(response)
		w.deliver(n, func() {
			if n.incarnation != incarnation {
				return
			}
			received := *response
			if previous := n.previousResponse; w.calm || previous == nil || w.rng.Intn(30) > 0 {
				n.previousResponse = response
			} else {
				received = *previous
			}
			if w.fault == ageNotAccumulated {
				received.AgeMillis = 0
			}
			handle(&received)
		})
	})
}

// corrupt has the network change some deltas, now and then.
func (w *walk) corrupt(response *Response) *Response {
	corrupted := *response
	if response.RulesDelta == nil || w.calm || w.rng.Intn(10) > 0 {
		return &corrupted
	}
	delta := *response.RulesDelta
	if delta.Set = slices.Clone(delta.Set); len(delta.Set) > 0 {
		i := w.rng.Intn(len(delta.Set))
		delta.Set = slices.Delete(delta.Set, i, i+1)
	} else {
		delta.Delete = append(slices.Clone(delta.Delete), "rules")
	}
	// the marks are made to fit, as if unchecked
	if w.counts["corrupted"]++; w.fault == digestUnchecked {
		if delta.From.IsNone() {
			delta.To = versioned.New(delta.To.Number, delta.Set).ID()
			corrupted.Rules = delta.To
		}
	}
	corrupted.RulesDelta = &delta
	return &corrupted
}

// checkHostAcks fails where what a source knows of a host goes back.
func (w *walk) checkHostAcks(n *node) {
	current := map[string]uint64{}
	for _, h := range n.source.HostAcks() {
		current[h.Host] = h.Step
	}
	if w.fault == lastHostAckWins && len(current) > 0 && w.rng.Intn(50) == 0 { // a late fact
		for h := range current {
			n.source.hostAcks[h] = current[h] - 1
			current[h]--
		}
	}
	for h, step := range n.knownHostAcks {
		if current[h] < step {
			w.fail("%s knew step %d of %s, and now step %d", n.name, step, h, current[h])
		}
	}
	n.knownHostAcks = current
}

// checkFollower checks the snapshot of a node, and publishes it to its source.
func (w *walk) checkFollower(n *node) {
	snapshot, ok := n.follower.Snapshot()
	if !ok {
		return
	}
	w.checkSnapshot(n, &snapshot)
	if n.source != nil {
		n.source.Publish(snapshot)
	}
}

// checkSnapshot checks a snapshot that a node acts on.
func (w *walk) checkSnapshot(n *node, snapshot *Snapshot) {
	if snapshot.Step < n.step || snapshot.Rules.ID().Number < n.version {
		w.fail("%s went from step %d back to %d", n.name, n.step, snapshot.Step)
	}
	n.step, n.version = snapshot.Step, snapshot.Rules.ID().Number
	published := w.steps[snapshot.Step]
	if published == nil {
		w.fail("%s has step %d, which never was", n.name, snapshot.Step)
		return
	}
	if readStart := n.trueTime(snapshot.ReadStartMillis); readStart > published.endedAt+clockSlackMillis {
		w.fail("%s has step %d as of %.1f, and that ended at %.1f", n.name, snapshot.Step, readStart,
			published.endedAt)
	} else if readStart < n.startedAt-clockSlackMillis && n.daemon == nil {
		w.fail("%s started at %.1f and acts on what was read at %.1f", n.name, n.startedAt, readStart)
	}
	if n.checkedRules == snapshot.Rules.ID() && n.checkedPair == [2]versioned.VersionID{snapshot.Rules.ID(),
		snapshot.Pending.ID()} {
		return
	}
	n.checkedRules, n.checkedPair = snapshot.Rules.ID(), [2]versioned.VersionID{snapshot.Rules.ID(),
		snapshot.Pending.ID()}
	for i, got := range []*versioned.State{snapshot.Rules, snapshot.Pending} {
		want := published.states[i]
		if want != nil {
			want = ruleset.Select(want, n.interest)
		}
		if got.ID() != want.ID() || got != nil && versioned.New(got.ID().Number,
			versioned.FullDelta(got).Set).ID() != want.ID() {
			w.fail("%s has %v at step %d, where there is %v", n.name, got.ID(), snapshot.Step, want.ID())
		}
	}
	if n.daemon == nil && w.rng.Intn(4) > 0 { // with probability 1/4 the checkpoint was not written
		n.diskRules, n.diskPending, n.diskSnapshot = snapshot.Rules, snapshot.Pending, *snapshot
	}
}

// runHolder has a gateway's holder decide; false: it now holds a step that its follower has
// to be given.
func (w *walk) runHolder(n *node) bool {
	ackedBefore := n.holder.AckedStep()
	n.holder.SetTime(n.clock(w.now))
	w.feedHolder(n)
	for {
		d, more := n.holder.NextAction()
		if !more {
			break
		}
		if d.Kind == ruleset.ActionRequestLease {
			w.feedHolder(n)
		}
	}
	ackedStep := n.holder.AckedStep()
	n.follower.SetAckedStep(n.processID, ackedStep)
	return ackedStep == ackedBefore
}

// feedHolder gives the holder the follower's snapshot.
func (w *walk) feedHolder(n *node) {
	snapshot, ok := n.follower.Snapshot()
	if !ok {
		return
	}
	lease := ruleset.Lease{Step: snapshot.Step, TransitionComplete: snapshot.TransitionComplete,
		AgeMillis: snapshot.AgeMillis(n.clock(w.now))}
	for i, s := range []*versioned.State{snapshot.Rules, snapshot.Pending} {
		if s == nil {
			n.decoded[i] = nil
			continue
		}
		r := w.versions[s.ID()]
		if r == nil {
			x, err := ruleset.VersionFromState(s)
			if err != nil {
				w.fail("%s: %v", n.name, err)
				return
			}
			r = &x.Rules
			w.versions[s.ID()] = r
		}
		n.decoded[i] = r
	}
	lease.Version, lease.Pending = ruleset.Version{Number: snapshot.Rules.ID().Number, Rules: *n.decoded[0]},
		n.decoded[1]
	n.holder.ReceiveLease(lease, n.clock(w.now))
}

// injectDisturbance injects a change, a stall, a restart or the loss of a leader, at random.
func (w *walk) injectDisturbance() {
	n := w.nodes[w.rng.Intn(len(w.nodes))]
	base := w.reference.State().InForce.Number
	switch w.rng.Intn(16) {
	case 0, 1, 2, 3, 4, 5:
		w.commit(ruleset.LogEntry{Type: ruleset.EntryPropose, ID: fmt.Sprint(len(w.log)), Base: base,
			Rules: w.randomRules()})
	case 6:
		w.commit(ruleset.LogEntry{Type: ruleset.EntryWithdraw, ID: fmt.Sprint(len(w.log)), Base: base})
	case 7, 8, 9, 10:
		n.stalledUntil = w.now + w.rng.Float64()*4000
		w.counts["stalls"]++
	case 11, 12, 13:
		w.start(n, w.rng.Intn(3))
		w.counts["restarts"]++
	case 14:
		w.leaderFrom = w.now + w.rng.Float64()*1500
		w.counts["leader losses"]++
	default:
		zone := 1 + w.rng.Intn(2)
		for _, n := range w.nodes {
			if n.zone == zone {
				w.start(n, w.rng.Intn(3))
			}
		}
		w.counts["zone restarts"]++
	}
}

// deliverDue runs the events that are due.
func (w *walk) deliverDue() {
	for i := 0; i < len(w.events); i++ {
		if e := w.events[i]; e.at <= w.now {
			w.events = slices.Delete(w.events, i, i+1)
			i--
			e.run()
		}
	}
}

// checkCeilings checks the sum of what all gateways may write, and by which versions.
func (w *walk) checkCeilings() {
	var rate, credit float64
	w.superseded = slices.DeleteFunc(w.superseded,
		func(e supersededVersion) bool { return w.now > e.endedAt+e.boundMillis })
	inForce := w.reference.State().InForce.Number
	for _, g := range w.gateways {
		var maxRate, maxCredit float64
		for _, permit := range g.permits {
			maxRate, maxCredit = max(maxRate, permit.rate), max(maxCredit, permit.credit)
			if permit.version > 0 && permit.version != inForce && !slices.ContainsFunc(w.superseded,
				func(e supersededVersion) bool {
					return e.number == permit.version
				}) {
				w.fail("%s still acts on version %d", g.name, permit.version)
			}
		}
		rate, credit = rate+maxRate, credit+maxCredit
	}
	ceiling := w.ceiling
	for _, e := range w.superseded {
		ceiling = max(ceiling, e.ceiling)
	}
	if limit := ceiling * (1 + 1e-9); rate > limit || credit > limit {
		w.fail("the sums are %v and %v under a ceiling of %v", rate, credit, ceiling)
	}
	if w.counts["checks"]++; ceiling > 0 && rate >= ceiling*(1-1e-9) {
		w.counts["at ceiling"]++
	}
}

// runWalk walks for a time, and then ten seconds without disturbances. It gives what is violated, and counts
// of what happened.
func runWalk(seed int64, end float64, fault injectedFault) (string, map[string]int) {
	w := &walk{rng: rand.New(rand.NewSource(seed)), reference: ruleset.NewStateMachine(),
		counts: map[string]int{},
		fault:  fault, steps: map[uint64]*published{}, states: map[string]*versioned.State{},
		versions: map[versioned.VersionID]*ruleset.Rules{}}
	w.replicas = seed/8%3 > 0
	w.build(1+int(seed)%4, seed/4%2 == 0)
	w.commit(ruleset.LogEntry{Type: ruleset.EntryPropose, ID: "first", Rules: w.randomRules()})
	for next := 1000.0; w.now < end && w.violation == ""; w.now += w.rng.ExpFloat64() * 15 {
		w.deliverDue()
		if w.now > next {
			w.injectDisturbance()
			next = w.now + w.rng.ExpFloat64()*[]float64{100, 1000, 3000}[w.rng.Intn(3)]
		}
		w.runAll()
		w.checkCeilings()
	}
	w.calm, w.leaderFrom = true, 0
	for _, n := range w.nodes {
		n.stalledUntil = 0
	}
	for end := w.now + 10000; w.now < end && w.violation == ""; w.now += w.rng.ExpFloat64() * 10 {
		w.deliverDue()
		w.runAll()
		w.checkCeilings()
	}
	if st := w.reference.State(); w.violation == "" {
		if st.Pending != nil {
			w.fail("ten seconds without disturbances, and a version is pending: %s", st.PendingReason())
		}
		for _, g := range w.gateways {
			if t := g.holder.Effective(); t.Mode != ruleset.ModeLeased || t.Version != st.InForce.Number {
				w.fail("ten seconds without disturbances, and %s is %v by version %d of %d: %+v", g.name, t.Mode,
					t.Version,
					st.InForce.Number, g.follower.Counts())
			}
		}
	}
	for _, n := range w.nodes {
		if n.follower != nil {
			c := n.follower.Counts()
			w.counts["updates"] += int(c.Updates)
			w.counts["deltas"] += int(c.Deltas)
			w.counts["full states"] += int(c.FullStates)
			w.counts["digest"] += int(c.DigestMismatches)
			w.counts["base"] += int(c.BaseMismatches)
			w.counts["stale"] += int(c.Stale)
			w.counts["before start"] += int(c.BeforeStart)
			w.counts["deferred"] += int(c.Deferred)
			w.counts["invalid"] += int(c.Invalid)
			w.counts["upstream switches"] += int(c.UpstreamSwitches)
		}
	}
	return w.violation, w.counts
}

func TestWalks(t *testing.T) {
	all := map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+int64(*walks); seed++ {
		wrong, counts := runWalk(seed, 30000, noFault)
		if wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
		for k, n := range counts {
			all[k] += n
		}
	}
	t.Logf("%d walks of half a minute: %v", *walks, all)
	for _, k := range []string{"pending", "in force", "host acks", "digest", "deltas", "full states", "stale",
		"before start",
		"upstream switches", "zone restarts", "leader losses", "deferred"} {
		if all[k] == 0 {
			t.Errorf("did not occur in the walks: %s: %v", k, all)
		}
	}
	if all["at ceiling"] < all["checks"]/20 {
		t.Errorf("the walks are at the ceiling too seldom: %v", all)
	}
}

func TestWalksFindInjectedFaults(t *testing.T) {
	for p := ageFromReceipt; p < faultCount; p++ {
		found := false
		for seed := int64(0); seed < 60 && !found; seed++ {
			wrong, _ := runWalk(seed, 30000, p)
			if found = wrong != ""; found {
				t.Logf("%s: seed %d: %s", faultNames[p], seed, wrong)
			}
		}
		if !found {
			t.Errorf("%s: not found", faultNames[p])
		}
	}
}

// TestReadBeforeStart is the shortest order of events that rule 3 of docs/relay-design.md prevents. Random
// walks find the accepted response and not its consequence, which needs a host that is partitioned right
// after. Two gateways under a ceiling of 96 know that 24 is pending; both hosts report it, and 24 is in force
// at 950, as no fallback allows more. Then one host restarts, a lagging relay sends it 96 as of 900 with
// nothing pending, and the host is partitioned. From 2,200 on, when the bound is over, its fallback of 96 is
// 24, and beside the other's 12 that is more than 24.
func TestReadBeforeStart(t *testing.T) {
	r := testRules(2, 96)
	r.Fallback.DurationMillis = 5000
	v1 := testState(t, 1, r)
	for tracked, wantRate := range map[bool]float64{false: 0, true: 24} {
		source := NewSource("lags", "c", SourceConfig{})
		source.Publish(Snapshot{Step: 2, TransitionComplete: true, ReadStartMillis: 900, Rules: v1,
			DiscoveryIndex: -1})
		f := NewFollower(FollowerConfig{Name: "g0", Cluster: "c", Upstreams: 1,
			Interest:              ruleset.Interest{Name: "g0"},
			UpstreamTracksProcess: tracked}, 1000)
		holder := ruleset.NewLeaseHolder("g0", ruleset.Rules{Plans: r.Plans})
		for now := 1000.0; now <= 2300; now += 10 {
			if now < 1300 {
				exchange(t, f, now, source)
			}
			holder.SetTime(now)
			if v, ok := f.Snapshot(); ok {
				x, err := ruleset.VersionFromState(v.Rules)
				if err != nil {
					t.Fatal(err)
				}
				holder.ReceiveLease(ruleset.Lease{Step: v.Step, Version: x, TransitionComplete: v.TransitionComplete,
					AgeMillis: v.AgeMillis(now)}, now)
			}
			for _, more := holder.NextAction(); more; _, more = holder.NextAction() {
			}
		}
		if got := holder.Effective().Plans[0].Allowance.Rate; !holder.MayAct(2300) || got != wantRate {
			t.Errorf("tracked %v: %v passes under a ceiling of 24, beside 12: %+v", tracked, got, holder.Effective())
		}
		if n := f.Counts().BeforeStart; (n == 0) != tracked {
			t.Errorf("tracked %v: %d read before the start", tracked, n)
		}
	}
}

// upstreamSwitches gives how often any follower has switched its upstream.
func (w *walk) upstreamSwitches() (n int64) {
	for _, x := range w.nodes {
		if x.follower != nil {
			n += x.follower.Counts().UpstreamSwitches
		}
	}
	return n
}

// TestTimeToActivation: without partitions and with 5 ms each way, the last gateway below up to four hops
// acts on a change within a lease, and no follower switches its upstream.
func TestTimeToActivation(t *testing.T) {
	for depth := 1; depth <= 4; depth++ {
		w := &walk{rng: rand.New(rand.NewSource(int64(depth))), reference: ruleset.NewStateMachine(), calm: true,
			counts: map[string]int{}, steps: map[uint64]*published{}, states: map[string]*versioned.State{},
			versions: map[versioned.VersionID]*ruleset.Rules{}}
		w.build(depth, true)
		var delays, ages []float64
		before := int64(0)
		next, proposedAt := 0.0, math.Inf(1)
		for i := 0; len(delays) < 40 && w.violation == ""; w.now += 5 {
			w.deliverDue()
			if w.now >= next {
				r := w.randomRules()
				r.LeaseMillis, r.Fallback.Fraction = 1000, 0.1
				r.Members = []ruleset.Member{{Name: "a", Host: "h0"}, {Name: "b", Host: "h0"}, {Name: "c", Host: "h1"},
					{Name: "d", Host: "h1"}}
				w.commit(ruleset.LogEntry{Type: ruleset.EntryPropose, ID: fmt.Sprint(i),
					Base:  w.reference.State().InForce.Number,
					Rules: r})
				i++
				next, proposedAt = w.now+2000+w.rng.Float64()*100, w.now
			}
			w.runAll()
			w.checkCeilings()
			if w.now == 50000 { // followers that found their preferred upstream empty have returned to it
				before = w.upstreamSwitches()
			}
			activeEverywhere := !math.IsInf(proposedAt, 1)
			for _, g := range w.gateways {
				if v, ok := g.follower.Snapshot(); ok && w.now > 8000 {
					ages = append(ages, v.AgeMillis(g.clock(w.now)))
				}
				if c := g.holder.Effective(); c.Version != w.reference.State().InForce.Number ||
					c.Mode != ruleset.ModeLeased {
					activeEverywhere = false
				}
			}
			if activeEverywhere {
				delays, proposedAt = append(delays, w.now-proposedAt), math.Inf(1)
			}
		}
		slices.Sort(delays)
		slices.Sort(ages)
		switched := -before
		switched += w.upstreamSwitches()
		t.Logf("%d hops, 40 changes: at the last gateway after %.0f ms, at worst %.0f; age %.0f ms, at worst %.0f",
			depth+1, delays[len(delays)/2], delays[len(delays)-1], ages[len(ages)/2], ages[len(ages)-1])
		if w.violation != "" || delays[len(delays)-1] > 1000 || ages[len(ages)-1] > 600 || switched > 0 {
			t.Errorf("%s; %d switched their upstream", w.violation, switched)
		}
	}
}
