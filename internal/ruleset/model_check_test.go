package ruleset

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash/crc64"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// actionInterval is the unit of the model's time, ms: the delay that a write may have, so that what was
// checked at one tick may be written up to the next.
const actionInterval = maxWriteDelayMillis

// smallRules have one plan with a rate limit, and a member for each letter; a dot is a vacant index. A lease
// is just under two ticks and the fallback lasts one, so that each expires between ticks.
func smallRules(ceiling float64, members string) *Rules {
	r := &Rules{Format: SupportedFormat, ConflictBoundMillis: DefaultConflictBoundMillis,
		LeaseMillis: 2*actionInterval - 1, Fallback: Fallback{Fraction: 0.5, DurationMillis: actionInterval},
		Plans: []Plan{{Name: "p", Rate: ceiling, Burst: 1, CeilingRate: ceiling, CeilingDepth: ceiling,
			CreditSeconds: 1,
			RepayMillis:   2000}}}
	for _, m := range strings.Split(members, "") {
		if m == "." {
			r.Members = append(r.Members, Member{})
		} else {
			r.Members = append(r.Members, Member{Name: m, Host: "host-" + m})
		}
	}
	return r
}

// rulesWithoutFallback allow nothing of a rate limit once the lease has expired.
func rulesWithoutFallback(ceiling float64, members string) *Rules {
	r := smallRules(ceiling, members)
	r.Fallback.Fraction = 0
	return r
}

// injectedFault is a fault of the protocol that the model check has to find.
type injectedFault uint8

const (
	noFault                 injectedFault = iota
	leaseCountedFromReceipt               // the lease is counted from the receipt, not from the request
	grownBeforeTransition                 // allowances grow before all others have left the former version
	activatedAtOnce                       // the pending version is activated without waiting
	// leases leave the pending version out, so that fallbacks are not narrowed
	pendingNotSent
	// a holder acknowledges what it has received, not what all its writes rest on
	ackedOnReceipt
	// a second change of members is activated before the first transition is complete
	activatedDuringTransition
	faultCount
)

var faultNames = [...]string{"none", "lease from receipt", "grown before the transition", "activated at once",
	"fallback not narrowed", "acknowledged before the last write",
	"activated during a transition"}

// activatesEarly activates the pending version where that is the fault.
func (fault injectedFault) activatesEarly(machine *StateMachine) bool {
	pending := machine.state.Pending
	if pending == nil || fault != activatedAtOnce && (fault != activatedDuringTransition ||
		pending.ConflictingPlan != "") {
		return false
	}
	machine.activate(false)
	return true
}

// leaseInFlight is a lease on its way to a holder.
type leaseInFlight struct {
	exists            bool
	lease             Lease
	requestedAtMillis float64
}

// modelHost is one gatekeeper with its host's daemon. All messages may be lost, delayed and duplicated.
type modelHost struct {
	name               string
	holder             *LeaseHolder
	agent              *HostAgent
	process            int
	inFlight           leaseInFlight
	writable           Allowance // the most that it may write at this tick
	previouslyWritable Allowance // and might have at the last one
}

// supersededAt is a version that is no longer in force, with its limit and its bound on conflicts.
type supersededAt struct {
	atMillis, allowedRate, boundMillis float64
	number                             uint64
}

// modelState is one state machine with all hosts; a clone of it tries what may come next.
type modelState struct {
	nowMillis   float64
	machine     *StateMachine
	hosts       []modelHost
	versions    []*Rules
	proposed    int // of versions
	crashesLeft int // crashes that may still come
	fault       injectedFault
	superseded  []supersededAt // by at least one version
	allowedRate float64        // by the version in force
	lastHost    int            // the host that acted last, since all hosts were affected by an action
}

func newModelState(fault injectedFault, crashesLeft int, versions ...*Rules) *modelState {
	state := &modelState{machine: NewStateMachine(), versions: versions[1:], crashesLeft: crashesLeft,
		fault:       fault,
		allowedRate: versions[0].Plans[0].CeilingRate}
	if outcome := state.machine.Apply(LogEntry{Type: EntryPropose, ID: "0",
		Rules: versions[0]}); outcome.Activated != 1 {
		panic(outcome.Rejection)
	}
	seen := map[string]bool{}
	for _, r := range versions {
		for _, m := range r.Members {
			if m.Name != "" && !seen[m.Name] {
				seen[m.Name] = true
				state.hosts = append(state.hosts, modelHost{name: m.Name, holder: NewLeaseHolder(m.Name, Rules{}),
					agent: NewHostAgent("host-"+m.Name, state.machine)})
			}
		}
	}
	for i := range state.hosts {
		state.hosts[i].agent.SetLeader(true) // any daemon may believe that it leads
		state.requestLease(i)
		state.deliverLease(i)
	}
	return state
}

func (m *modelState) clone() *modelState {
	copied := *m
	machine := *m.machine
	machine.state.Superseded = slices.Clone(machine.state.Superseded)
	machine.state.RecentOutcomes = nil
	machine.state.AckedSteps = maps.Clone(machine.state.AckedSteps)
	copied.machine = &machine
	copied.hosts = slices.Clone(m.hosts)
	copied.superseded = slices.Clone(m.superseded)
	for i := range copied.hosts {
		holder, agent := *copied.hosts[i].holder, *copied.hosts[i].agent
		holder.allowances = slices.Clone(holder.allowances)
		agent.machine = &machine
		agent.LeaseGrantor, agent.expirations = agent.clone(), slices.Clone(agent.expirations)
		copied.hosts[i].holder, copied.hosts[i].agent = &holder, &agent
	}
	return &copied
}

// runHolder has a holder read its clock and take all actions.
func (m *modelState) runHolder(i int) {
	host := &m.hosts[i]
	host.holder.SetTime(m.nowMillis)
	for {
		action, more := host.holder.NextAction()
		if !more {
			break
		}
		if action.Kind == ActionAdopt {
			m.recordWritable(i)
		}
	}
}

// recordWritable records what a gatekeeper may write.
func (m *modelState) recordWritable(i int) {
	if host := &m.hosts[i]; host.holder.MayAct(m.nowMillis) && len(host.holder.effective.Plans) > 0 {
		host.writable = host.writable.max(host.holder.effective.Plans[0].Allowance)
	}
}

// requestLease has a daemon read and answer a request that its gatekeeper sends now.
func (m *modelState) requestLease(i int) {
	host := &m.hosts[i]
	host.agent.SetTime(m.nowMillis)
	host.agent.ReadConfirmed(m.nowMillis)
	host.holder.SetTime(m.nowMillis)
	ackedStep := host.holder.AckedStep()
	if m.fault == ackedOnReceipt {
		ackedStep = host.holder.step
	}
	if lease, ok := host.agent.GrantLease(host.process, ackedStep); ok {
		switch m.fault {
		case grownBeforeTransition:
			lease.TransitionComplete = true
		case pendingNotSent:
			lease.Pending = nil
		}
		host.inFlight = leaseInFlight{true, lease, m.nowMillis}
	}
}

// deliverLease delivers the lease in flight, which stays there: it may come twice.
func (m *modelState) deliverLease(i int) {
	host := &m.hosts[i]
	host.holder.SetTime(m.nowMillis)
	if m.fault == leaseCountedFromReceipt {
		host.inFlight.requestedAtMillis, host.inFlight.lease.AgeMillis = m.nowMillis, 0
	}
	host.holder.ReceiveLease(host.inFlight.lease, host.inFlight.requestedAtMillis)
	m.runHolder(i)
}

// apply has the state machine apply an entry.
func (m *modelState) apply(entry LogEntry) Outcome {
	former := m.machine.state.InForce
	outcome := m.machine.Apply(entry)
	if m.fault.activatesEarly(m.machine) {
		outcome.Activated = m.machine.state.InForce.Number
	}
	if outcome.Activated > 0 {
		m.superseded = append(m.superseded, supersededAt{m.nowMillis, m.allowedRate,
			ConflictBoundMillis(&former.Rules), former.Number})
		m.allowedRate = m.machine.state.InForce.Rules.Plans[0].CeilingRate
	}
	for i := range m.hosts {
		m.hosts[i].agent.SetTime(m.nowMillis)
		m.hosts[i].agent.EntriesApplied()
	}
	return outcome
}

// enabled tells whether an action is to be tried. What hosts do without the state machine changes nothing
// for the others, so that it is tried in one order of hosts alone.
func (m *modelState) enabled(action int) bool {
	if action < 3 {
		return action != 1 || m.proposed < len(m.versions)
	}
	i := (action - 3) / 4
	switch (action - 3) % 4 {
	case 1:
		return i >= m.lastHost && m.hosts[i].inFlight.exists
	case 3:
		return i >= m.lastHost && m.crashesLeft > 0
	}
	return i >= m.lastHost
}

// take takes one of the possible actions; false where it changes nothing.
func (m *modelState) take(action int) (name string, done bool) {
	m.lastHost = 0
	switch action {
	case 0:
		m.nowMillis += actionInterval
		m.superseded = slices.DeleteFunc(m.superseded,
			func(e supersededAt) bool { return m.nowMillis > e.atMillis+e.boundMillis })
		for i := range m.hosts {
			host := &m.hosts[i]
			host.previouslyWritable, host.writable = host.writable, Allowance{}
			m.recordWritable(i) // by one that is suspended
			m.runHolder(i)      // and by one that is not
			lease := &host.inFlight.lease
			expiryMillis := host.inFlight.requestedAtMillis - lease.AgeMillis + lease.Version.Rules.LeaseMillis
			if host.inFlight.exists && m.nowMillis >= expiryMillis && m.fault != leaseCountedFromReceipt {
				host.inFlight = leaseInFlight{} // it has expired
			}
		}
		return "tick", true
	case 1:
		m.proposed++
		o := m.apply(LogEntry{Type: EntryPropose, ID: fmt.Sprint(m.proposed), Base: m.machine.state.InForce.Number,
			Rules: m.versions[m.proposed-1]})
		return "propose" + o.Rejection, o.Rejection == ""
	case 2: // what the daemons submit reaches the log now
		submitted := false
		for i := range m.hosts {
			agent := m.hosts[i].agent
			for {
				agent.SetTime(m.nowMillis)
				next, more := agent.NextAction()
				if !more {
					break
				}
				if next.Kind == ActionSubmit {
					submitted = true
					m.apply(next.Entry)
				}
			}
			for k := range agent.expirations {
				agent.expirations[k].lastSubmitMillis = math.Inf(-1) // it may be submitted again at any time
			}
			agent.lastAckMillis, agent.lastAckStep = math.Inf(-1), 0
		}
		return "submit", submitted
	}
	i := (action - 3) / 4
	host := &m.hosts[i]
	m.lastHost = i
	switch (action - 3) % 4 {
	case 0:
		m.requestLease(i)
		return "request " + host.name, true
	case 1:
		m.deliverLease(i)
		return "deliver " + host.name, true
	case 2:
		m.requestLease(i)
		m.deliverLease(i)
		return "request and deliver " + host.name, true
	default:
		m.crashesLeft--
		host.agent.ProcessExited(host.process)
		host.process++
		host.agent.ProcessStarted(host.process, false)
		host.holder, host.inFlight = NewLeaseHolder(host.name, Rules{}), leaseInFlight{}
		// the daemon has seen the process exit, which can write nothing any more
		host.writable, host.previouslyWritable = Allowance{}, Allowance{}
		return "crash " + host.name, true
	}
}

// violation names the invariant that does not hold, if any: what all might write now is never more than the
// most that a version allows which is in force, or was until no longer ago than its bound on conflicts.
func (m *modelState) violation() string {
	var sum Allowance
	for _, host := range m.hosts {
		sum = sum.plus(host.writable.max(host.previouslyWritable))
	}
	allowed := m.allowedRate
	for _, e := range m.superseded {
		if m.nowMillis <= e.atMillis+e.boundMillis {
			allowed = max(allowed, e.allowedRate)
		}
	}
	if sum.Rate > allowed*(1+roundingTolerance) || sum.Depth > allowed*(1+roundingTolerance) ||
		sum.Credit > allowed*(1+roundingTolerance) {
		return fmt.Sprintf("all write by %v of %v", sum, allowed)
	}
	for _, host := range m.hosts {
		n := host.holder.effective.Version
		if host.holder.MayAct(m.nowMillis) && host.holder.effective.Mode == ModeLeased &&
			n != m.machine.state.InForce.Number &&
			!slices.ContainsFunc(m.superseded, func(e supersededAt) bool { return e.number == n }) {
			return fmt.Sprintf("%s acts on version %d still", host.name, n)
		}
	}
	return ""
}

// fingerprint encodes a state without what can't matter: times count from now, and those long past are one.
func (m *modelState) fingerprint(b []byte) []byte {
	appendFloat := func(v float64) { b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(v))) }
	appendTime := func(v, last float64) { appendFloat(math.Max(v-m.nowMillis, -last)) }
	appendSmall := func(v ...uint64) {
		for _, v := range v {
			b = append(b, byte(v))
		}
	}
	appendBools := func(all ...bool) {
		for _, v := range all {
			if b = append(b, 0); v {
				b[len(b)-1] = 1
			}
		}
	}
	appendAllowance := func(p Allowance) { appendFloat(p.Rate); appendFloat(p.Credit) }
	appendLease := func(l *Lease) {
		appendSmall(l.Step, l.Version.Number)
		appendBools(l.TransitionComplete, l.Pending != nil)
	}
	state := m.machine.State()
	appendSmall(state.Step, state.InForce.Number, uint64(m.proposed), uint64(m.crashesLeft),
		uint64(len(state.Superseded)),
		uint64(m.lastHost))
	if appendBools(state.Pending != nil); state.Pending != nil {
		appendSmall(state.Pending.Step)
	}
	for _, h := range state.Superseded {
		appendSmall(h.Step)
		appendBools(h.MayBeActive)
		appendAllowance(h.Fallback.Allowances[0])
	}
	for _, e := range m.superseded {
		appendTime(e.atMillis, 99*actionInterval)
		appendFloat(e.allowedRate)
	}
	for i := range m.hosts {
		host := &m.hosts[i]
		appendSmall(state.AckedSteps[host.agent.host], host.agent.lease.Step)
		appendAllowance(host.writable)
		appendAllowance(host.previouslyWritable)
		if appendBools(host.inFlight.exists); host.inFlight.exists {
			appendLease(&host.inFlight.lease)
			appendTime(host.inFlight.requestedAtMillis-host.inFlight.lease.AgeMillis, 99*actionInterval)
		}
		h := host.holder
		appendSmall(uint64(h.mode), h.step, h.version.Number, h.ackedStep, h.nextAckStep)
		if h.mode != ModeNoLease {
			appendTime(h.leaseExpiryMillis, 99*actionInterval)
		}
		appendTime(h.nextAckSinceMillis, actionInterval)
		appendBools(h.adoptDue, h.pending != nil)
		for _, p := range h.allowances {
			appendAllowance(p)
		}
		for _, id := range slices.Sorted(maps.Keys(host.agent.processes)) {
			p := host.agent.processes[id]
			appendBools(p.granted)
			appendSmall(p.ackedStep)
		}
	}
	for _, e := range m.hosts[0].agent.expirations { // all see them at once
		appendSmall(e.step)
		appendTime(e.startMillis, e.fallbackMillis)
	}
	return b
}

// exploreStates tries all orders of actions up to a depth, breadth first, and gives the shortest that ends
// in a violation, the number of states visited, and the depth reached before they were too many.
func exploreStates(first *modelState, depth, maxStates int) (trace []string, violation string, states,
	reached int) {
	type visit struct {
		from int32
		by   string
	}
	var visits []visit
	type edge struct {
		w  *modelState
		at int32
	}
	seen := map[[2]uint64]bool{}
	front := []edge{{first, 0}}
	visits = append(visits, visit{-1, ""})
	var raw []byte
	actions := 3 + 4*len(first.hosts)
	for d := 1; d <= depth; d++ {
		var next []edge
		for _, e := range front {
			for a := range actions {
				if !e.w.enabled(a) {
					continue
				}
				w := e.w.clone()
				name, ok := w.take(a)
				if !ok {
					continue
				}
				raw = w.fingerprint(raw[:0])
				h := hashFingerprint(raw)
				if seen[h] {
					continue
				}
				seen[h] = true
				at := int32(len(visits))
				visits = append(visits, visit{e.at, name})
				if violated := w.violation(); violated != "" {
					for ; at > 0; at = visits[at].from {
						trace = append(trace, visits[at].by)
					}
					slices.Reverse(trace)
					return trace, violated, len(visits), d
				}
				next = append(next, edge{w, at})
			}
			if len(visits) > maxStates {
				return nil, "", len(visits), d - 1
			}
		}
		front = next
	}
	return nil, "", len(visits), depth
}

// hashFingerprint is 128 bits of a fingerprint: of some million states none is taken for another.
func hashFingerprint(raw []byte) [2]uint64 {
	a, b := fnv.New64a(), crc64.New(crcTable)
	a.Write(raw)
	b.Write(raw)
	return [2]uint64{a.Sum64(), b.Sum64()}
}

var crcTable = crc64.MakeTable(crc64.ECMA)

// versionSequences are sequences of versions with something to go wrong in each.
var versionSequences = []struct {
	name  string
	rules []*Rules
}{
	{"down below the fallback, then up", []*Rules{smallRules(96, "ab"), smallRules(24, "ab"),
		smallRules(96, "ab")}},
	{"down as far as the fallback, then up", []*Rules{smallRules(96, "ab"), smallRules(48, "ab"),
		smallRules(96, "ab")}},
	{"one more, then alone", []*Rules{smallRules(96, "a"), smallRules(96, "ab"), smallRules(96, "a")}},
	{"one more, then one less", []*Rules{smallRules(96, "ab"), smallRules(96, "abc"), smallRules(96, "a.c")}},
	{"one for the other, twice", []*Rules{rulesWithoutFallback(96, "ab"), rulesWithoutFallback(40, ".b"),
		rulesWithoutFallback(40, "a")}},
	{"three to two, and up", []*Rules{smallRules(96, "abc"), smallRules(96, "ab"), smallRules(192, "ab")}},
}

var randomRuns = flag.Int("walks", 250, "at random, of a minute each")

var maxStates = flag.Int("states", 50000, "that the exploration may meet in each script")

func TestModelCheck(t *testing.T) {
	for _, s := range versionSequences {
		start := time.Now()
		trace, violation, states, depth := exploreStates(newModelState(noFault, 1, s.rules...), 40, *maxStates)
		t.Logf("%s: %d states, all up to %d actions, %v", s.name, states, depth, time.Since(start))
		if violation != "" {
			t.Errorf("%s: %s after %s", s.name, violation, strings.Join(trace, ", "))
		}
	}
}

// Each injected fault is found: guards against a model check that can't fail.
func TestModelCheckFindsInjectedFaults(t *testing.T) {
	for fault := leaseCountedFromReceipt; fault < faultCount; fault++ {
		found := false
		for _, s := range versionSequences {
			start := time.Now()
			trace, violation, states, _ := exploreStates(newModelState(fault, 0, s.rules...), 40, 30000)
			if violation != "" {
				found = true
				t.Logf("%s: %s: %s after %s (%d states, %v)", faultNames[fault], s.name, violation,
					strings.Join(trace, ", "), states, time.Since(start))
				break
			}
		}
		if !found {
			t.Errorf("%s: not found", faultNames[fault])
		}
	}
}
