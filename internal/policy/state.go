package policy

import (
	"math"
	"math/rand"

	"willowdeck/internal/gcra"
)

// This file holds what a gatekeeper keeps, and the book-keeping that decides nothing.

// boundless is more than any customer asks, units a ms, and little enough to reckon with.
const boundless = 1e30

type account struct {
	plan    int
	n       int     // its gatekeepers; 0 while it is known from peers alone
	share   float64 // units a ms
	level   float64 // of the slice
	whole   float64 // of the quota's one store as far as it is known here
	filled  float64 // time of both, and of others
	others  float64 // sum of peers' demand, fading
	flow    float64 // units that peers sent on, fading over flowMemory
	held    float64 // sum of the last demand of those that are silent
	holding int     // how many these are
	heard   float64 // time of the last report of demand
	demand  float64
	lately  float64 // the same over demandMemory alone
	seen    float64 // time of the last txn, and of both
	hot     bool
	live    bool

	first               int
	customer            uint64
	txns                int
	coolSince           float64 // since when demand has been under the cold slice
	ceilingAt           float64 // GCRA: the moment the slice of the ceiling is full again
	unsaid              float64 // units sent on since the last report
	said, saidAt, known float64 // demand last reported, when, and what was left of the one before
	out, lent           int     // submissions out or cleared, and of these the predecessor's
	lag                 float64 // repaid, and not yet taken from whole
	dealt               float64 // time of the last loan, or look for a repayment; 0 where there was none
	kept, keptDraws     float64 // units of txns that may yet be sent on; what they then take from the quota
}

// peer is what is known of another gatekeeper.
type peer struct {
	heard, told, owes float64  // last heard; last told; since when it has owed a word each period
	spoke             float64  // last heard with reports
	silent, gone      bool     // it says nothing; has not for so long that it counts no more
	last              []Report // of its last message; their demand is held while it is silent and not gone
}

type worker struct {
	Endpoint
	listed           bool
	inFlight         int
	pace, paced      float64 // smoothed time of an answer, ms, and when it was renewed
	load, told       float64 // txns in hand by its last report, by all gatekeepers, and when it came
	heard            float64
	distrust         mark
	turned           []mark  // by sort of txn; nil while it has turned none away
	full             bool    // turns all away
	coldDebt, coldAt float64 // while it is not warm: units until the next turn; when they were reckoned
	warm             bool    // counts as such
	wary             bool    // is in wary
	refer            int32   // submissions of txns in hand that were sent to it
}

// kind is what is known of all workers of a kind of machine.
type kind struct{ pace, answers float64 }

// mark is a score that fades.
type mark struct{ score, since float64 }

type submission struct {
	worker     int
	zone, cell int // of its worker as it was sent there; that may be moved meanwhile
	sent       float64
	out        bool
	dropped    bool
	placed     bool // counts as in hand
	moved      bool // already held against the worker
}

type txn struct {
	id            uint64
	acct          int32
	product, plan int
	units, draws  float64 // its size, and what it takes from its quota
	lent          float64 // what it takes instead from its customer's credit
	expiry        float64
	subs          []submission
	out           int
	mayRun        bool       // some submission may have run
	bond          submission // the first one that may have run
	bondAt        float64
	answered      bool
	another       bool // a second copy, or a move, is wanted
	coming        bool // its body's last byte has not gone out
	poured        bool // its body has begun to, and is not kept: it cannot be submitted again
	inside        bool // its quota had the units when it was let in
	tight         bool // it came with little time
	kept          bool // its units are kept
	pass          pass
	life          float64 // ms that its clearance is kept
	live          bool
}

// pass tells how far a txn has come that is cleared ahead of its coming.
type pass uint8

const (
	noPass  pass = iota // it is not
	granted             // it is, and has not come
	claimed             // it has come
)

// product holds what decisions need of a Product; times in ms.
type product struct {
	sla, window float64
	repeat      Idempotency
	group       DedupScope
}

// plan holds what decisions need of a Plan, per ms.
type plan struct {
	rate, burst         float64 // units a ms; ms of it that may be used at once
	largest             float64 // units of a txn at most
	memory, regain      float64 // ms that demand is smoothed over; makes up for the fading of what peers report
	sparse              bool    // each gatekeeper's part is too small to hold a txn
	tight               float64 // part of the tight txns that are settled in their time
	out, stay           float64 // a quota on submissions out: how many are to be, and how long one is, ms
	ceilRate, ceilDepth float64 // this gatekeeper's slice, before division by the customer's N
	recorded            float64 // units a ms at which its fill is reckoned for a later life; 0 as it fills
	open                int
	excess              bool // letting in beyond the quota earns more than it costs
}

// Gatekeeper is one instance. All its state is its own.
type Engine struct {
	rng      *rand.Rand
	now      float64
	started  float64
	base     float64 // ceilings of customers that are not known here are taken as spent at this time
	retired  bool    // another has taken over what it knows
	fresh    bool    // it knew nobody when quotas began to go without messages
	lender   Lender  // nil where nothing is lent
	widened  float64 // when quotas last went by messages again; 0 where they always did
	thawed   float64 // when the gatekeeper last found that it had itself stood still
	begun    bool
	charter  terms
	signed   Settings // what they were derived from
	first    []Plan   // as they were at the start, once they have changed
	products []product
	plans    []plan
	depth    [][]float64 // window fraction by product and plan

	workers []worker
	ranks   []float64 // of each, by chance, so that each gatekeeper draws from some of its own; 0 is none yet
	in      []uint8   // where each stands
	ready   []int     // the listed ones, in order
	ranked  []int     // the same by rank
	near    []int     // of these, those that are drawn from: the first
	cold    []int     // of the ready ones, those that are not warm, in order
	wary    []int     // workers that fail, or turn txns away
	brought []int     // those that a list brings among the ready ones
	chilled []int     // and of the ready ones those that it makes cold
	struck  bool      // it has taken some off
	outOf   []int     // submissions out by sort of txn
	openTo  []float64 // part of the workers that does not turn a sort away
	warm    int       // how many of the listed ones are warm
	able    float64   // what all the listed ones can do, in warm workers
	peers   []peer
	mute    []int // silent peers before each place of the ring, gone round twice
	owed    []int // hot customers that each place of the ring shares, likewise

	txns []txn
	free []int32
	byID map[uint64]int32
	due  []int32
	head int

	accounts  []account
	unused    []int32
	byKey     map[uint32]int32
	heardOnly int

	inHand   int     // submissions out at workers that are not silent
	window   float64 // most of them
	surge    float64 // room more than the window when it last found that it had stood still
	press    float64 // smoothed answer time over SLA time
	cutAt    float64
	pace     float64
	kinds    []kind
	rating   float64 // mean of the listed workers', by the list as it was when rated was set
	rated    bool
	load     float64 // smoothed txns in hand by workers' reports
	long     mark    // txns overdue that were settled after all
	astray   mark    // and those that never had an answer from a worker that went on
	warmDone float64 // units settled by warm workers, fading
	warmEach float64 // the same for each of those that were warm
	warmAt   float64
	coldEach float64    // the last of these as it has faded, by all that coldRate goes by
	coldAs   [4]float64 // for which it was reckoned

	nextBeat, nextTell, wakeAt float64
	beatAt                     int     // next txn to look at in this beat; -1 none
	tellPeer, told             int     // peer that is told now, -1 none; messages it got this period
	looked                     int     // news looked at for it
	news                       []int32 // accounts to report this period
	newsFrom                   int     // where in news the messages begin
	reports                    []Report
	urgent                     []int32 // accounts whose sets are told at once, and how far the first has come
	toldTo                     int
	saidAll                    float64 // GCRA: the moment at which the part for this is whole again
	tally                      Stats
}

// terms are the charter's figures that decisions use as they are.
type terms struct {
	me, n, maxSubs, perTell    int
	tells                      int // messages to one peer in a period
	overlap, withdraw, advise  bool
	loadTold                   bool
	tellAt                     float64 // messages a ms that may be told at once; 0 where none are
	maxAdvice, largest, period float64
	cooldown                   float64 // ms
	coldFrom, warmUp           float64
	coldPart, turnFor          float64 // of warm workers' work, for cold ones; ms that a turn lasts, 0 for good
	calm                       float64 // ms between looks while no txn has waited for long
	slack                      float64 // how much slower than slaUse answers may get, for what late ones earn
	talks                      bool
}

// Tally gives the counts and the present state that on-call staff look at.
func (g *Engine) Stats() Stats {
	t := g.tally
	t.InFlight, t.Window, t.Customers, t.Workers = float64(g.inHand), g.window, len(g.byKey), len(g.ready)
	for i := range g.accounts {
		if g.accounts[i].live && g.accounts[i].hot {
			t.HotCustomers++
		}
	}
	for i := range g.peers {
		if p := &g.peers[i]; p.gone {
			t.LostPeers++
		} else if p.silent {
			t.SilentPeers++
		}
	}
	for _, i := range g.wary {
		if g.in[i] != out && g.workers[i].distrust.at(g.now, distrustFade) >= distrusted {
			t.SuspectedWorkers++
		}
	}
	return t
}

func (g *Engine) withdraw(t *txn) (Decision, bool) {
	for i := range t.subs {
		if s := &t.subs[i]; s.out && !s.dropped && g.charter.withdraw {
			s.dropped = true
			return Decision{Kind: Cancel, RequestID: t.id, Attempt: i}, true
		}
	}
	return Decision{}, false
}

// away books a submission that goes out.
func (g *Engine) away(t *txn, wi int) *submission {
	w := &g.workers[wi]
	t.subs = append(t.subs, submission{worker: wi, zone: w.Zone, cell: w.Cell, sent: g.now, out: true})
	t.out++
	g.accounts[t.acct].out++
	w.inFlight++
	w.refer++
	g.outOf[g.sort(t)]++
	return &t.subs[len(t.subs)-1]
}

// back books the end of one, and gives its worker.
func (g *Engine) back(t *txn, s *submission) *worker {
	s.out = false
	t.out--
	g.accounts[t.acct].out--
	w := &g.workers[s.worker]
	w.inFlight--
	g.outOf[g.sort(t)]--
	g.seat(s, false)
	return w
}

// says keeps a peer's last word on a customer.
func (p *peer) says(r Report) {
	for i := range p.last {
		if p.last[i].Customer == r.Customer {
			p.last[i] = r
			return
		}
	}
	p.last = append(p.last, r)
}

// report is what is told of a customer.
func (c *account) report() Report {
	return Report{c.customer, c.plan, c.said * 1000, c.known * 1000, c.unsaid}
}

// word tells the gatekeeper that stands so far behind this one in a customer's set.
func (g *Engine) word(c *account, ahead int) Decision {
	place := (g.charter.me - c.first + g.charter.n) % g.charter.n
	to := (c.first + (place+ahead)%c.n) % g.charter.n
	g.reports = append(g.reports[:0], c.report())
	return Decision{Kind: SendReports, Peer: to, Reports: g.reports}
}

// wake asks for the next turn, unless an earlier one has been asked for.
func (g *Engine) wake() (Decision, bool) {
	at := 0.0
	if len(g.byID) > 0 {
		at = g.nextBeat
	}
	if len(g.byKey) > 0 && (at == 0 || g.nextTell < at) {
		at = g.nextTell
	}
	if at > 0 && (g.wakeAt == 0 || at < g.wakeAt) {
		g.wakeAt = at
		return Decision{Kind: SetTimer, AtMillis: at}, true
	}
	return Decision{}, false
}

// gather notes a hot customer's set, and its own demand if that is news.
func (g *Engine) gather(ai int32) {
	c := &g.accounts[ai]
	g.owed[c.first]++
	g.owed[c.first+c.n]--
	if c.n > 0 && (g.now-c.seen <= g.charter.period || c.unsaid > 0) {
		g.news = append(g.news, ai)
		g.say(c)
	}
}

// say books that own demand is told now.
func (g *Engine) say(c *account) {
	c.known = c.said * math.Exp((c.saidAt-g.now)/g.plans[c.plan].memory)
	c.said, c.saidAt = g.own(c), g.now
}

// asked adds to a customer's demand here.
func (g *Engine) asked(c *account, draws float64) {
	p := &g.plans[c.plan]
	if c.lag > 0 {
		c.withhold()
	}
	c.demand = c.demand*math.Exp((c.seen-g.now)/p.memory) + draws/p.memory
	c.lately = c.lately*math.Exp((c.seen-g.now)/demandMemory) + draws/demandMemory
	c.seen = g.now
	c.txns++
}

// Burden takes what a worker said of its load with an answer. What makes no sense changes nothing.
func (g *Engine) ReportWorkerLoad(wi int, b WorkerLoad) {
	if !g.charter.loadTold || wi < 0 || wi >= len(g.workers) {
		return
	}
	held := b.InFlight
	if !(held >= 0) && b.CPUFraction >= 0 { // of a queue that is as busy
		busy := math.Min(b.CPUFraction, fullest)
		held = busy / (1 - busy)
	}
	if held >= 0 && held < math.MaxInt32 {
		g.workers[wi].load, g.workers[wi].told = held, g.now
		g.load += fleetGain * (held - g.load)
	}
}

// place gives a used place of a slab, or a new one at its end.
func place[T any](slab *[]T, unused *[]int32) int32 {
	if n := len(*unused); n > 0 {
		at := (*unused)[n-1]
		*unused = (*unused)[:n-1]
		return at
	}
	var fresh T
	*slab = append(*slab, fresh)
	return int32(len(*slab) - 1)
}

// open makes an account with full stores, in a used place if there is one.
func (g *Engine) open(customer uint64, plan int) int32 {
	ai := place(&g.accounts, &g.unused)
	c, p := &g.accounts[ai], &g.plans[plan]
	*c = account{customer: customer, plan: plan, seen: g.now, coolSince: g.now, filled: g.now,
		whole: g.holds(p, p.rate), live: true}
	if g.widened > 0 { // what peers spent before is not known
		c.whole = math.Min(c.whole, (g.now-g.widened)*p.rate)
	}
	g.byKey[uint32(customer)] = ai
	return ai
}

// drop lets an account go.
func (g *Engine) drop(ai int32) {
	c := &g.accounts[ai]
	delete(g.byKey, uint32(c.customer))
	if c.n == 0 {
		g.heardOnly--
	}
	c.live = false
	g.unused = append(g.unused, ai)
}

// at gives a score as it has faded.
func (m *mark) at(now, fade float64) float64 {
	if m.score == 0 {
		return 0
	}
	return m.score * math.Exp((m.since-now)/fade)
}

func (m *mark) add(by, now, fade float64) {
	m.score, m.since = math.Min(m.at(now, fade)+by, distrustMost), now
}

// paceOf is the time of an answer of a worker: its own as far as it is recent, else that of its kind. Among
// many gatekeepers each sees a worker once in many seconds, and a kind of machine often.
func (g *Engine) paceOf(w *worker) float64 {
	usual := g.kinds[w.MachineKind].pace
	if usual == 0 {
		if usual = g.pace; w.SizeRating > 0 { // until the kind is seen, the list's word on its size
			usual *= g.meanRating() / w.SizeRating
		}
	}
	if w.pace == 0 {
		return usual
	}
	return usual + (w.pace-usual)*math.Exp((w.paced-g.now)/paceFade)
}

// timed adds the time of a whole answer to its worker's pace, its kind's and the fleet's.
func (g *Engine) timed(w *worker, took float64) {
	if g.pace == 0 {
		g.pace = took
	}
	w.pace, w.paced = g.paceOf(w), g.now // one slow answer must not make a worker look slow for long
	w.pace += paceGain * (took - w.pace)
	g.pace += fleetGain * (took - g.pace)
	k := &g.kinds[w.MachineKind]
	k.answers++
	k.pace += math.Max(fleetGain, 1/k.answers) * (took - k.pace)
}

// middling is the size of a middling txn.
func (c *terms) middling() float64 { return (1 + c.largest) / 2 }

// draw is what a txn takes from its quota.
func (p *plan) draw(units float64) float64 {
	if p.out > 0 {
		return 1
	}
	return units
}

// restate puts a quota on submissions out, where there is no other, as a rate: as many as are to be out, each
// as long as one stays out.
func (p *plan) restate() {
	if p.out > 0 {
		p.rate = p.out / math.Max(p.stay, 1)
		p.burst = float64(p.open) / p.rate
	}
}

// unheard counts the silent peers of a customer's set.
func (g *Engine) unheard(c *account) int { return g.mute[c.first+c.n] - g.mute[c.first] }

func (g *Engine) warmWork() float64 {
	return g.warmDone * math.Exp((g.warmAt-g.now)/refMemory)
}

// earn books the work of a warm worker, and what it comes to for each of the warm ones there are. Of one that
// is not on the list any more it does not count for that: the number of the others may just have fallen.
func (g *Engine) earn(by *worker, units float64) {
	if g.warmth(by.StartedAtMillis) < 1 {
		return
	}
	fade := math.Exp((g.warmAt - g.now) / refMemory)
	g.warmDone, g.warmEach, g.warmAt = g.warmDone*fade+units, g.warmEach*fade, g.now
	if by.warm && by.listed {
		g.warmEach += units / float64(g.warm)
	}
}

// distrustOf is what speaks against a worker for a txn.
func (g *Engine) distrustOf(t *txn, wi int) float64 {
	w := &g.workers[wi]
	d := w.distrust.at(g.now, distrustFade)
	if w.turned != nil {
		d += w.turned[g.sort(t)].at(g.now, turnedFade)
	}
	return d
}

// sort numbers the pairs of plan and product.
func (g *Engine) sort(t *txn) int { return t.plan*len(g.products) + t.product }

// own is the demand estimate, units a ms. That of a sparse plan has a long memory: after a start it makes up
// for what it has not seen yet.
func (g *Engine) own(c *account) float64 {
	p := &g.plans[c.plan]
	if g.signed.QuotaWithoutGossip && c.n > 1 && g.now-c.seen < g.charter.cooldown {
		return boundless // so may its peers, unheard: there is no room in the one store
	}
	d := c.demand * math.Exp((c.seen-g.now)/p.memory)
	if p.sparse {
		d /= 1 - math.Exp(-math.Max(g.now-g.started, firstWords*g.charter.period)/p.memory)
	}
	return d
}

// shared tells whether a customer's txns can come through a peer too.
func (g *Engine) shared(c *account, peer int) bool {
	return (peer-c.first+g.charter.n)%g.charter.n < c.n
}

// Begun tells that the answer of submission n has started to stream: it is the client's now, and has no
// expiry.
func (g *Engine) ResponseStarted(id uint64, n int) {
	if slot, ok := g.byID[id]; ok && n >= 0 && n < len(g.txns[slot].subs) {
		t := &g.txns[slot]
		t.subs[n].dropped, t.answered = true, true
		g.seat(&t.subs[n], false) // the worker is done with it but for its passing on
		g.due = append(g.due, slot)
	}
}

// Stirs tells that a worker has begun to answer, so that it is not taken for a silent one.
func (g *Engine) WorkerResponded(wi int) {
	if wi >= 0 && wi < len(g.workers) {
		g.workers[wi].heard = g.now
	}
}

// Poured tells that a body that is not kept has begun to go out with submission n, or, where left is given,
// that its last byte has: the client waits so many ms from now on.
func (g *Engine) BodyForwarded(id uint64, n int, left float64) {
	slot, ok := g.byID[id]
	if !ok || n < 0 || n >= len(g.txns[slot].subs) {
		return
	}
	t := &g.txns[slot]
	if t.poured = true; left > 0 && t.coming && t.subs[n].out {
		t.coming, t.expiry, t.subs[n].sent = false, g.now+left, g.now
		g.spend(t)
		g.seat(&t.subs[n], true)
		g.due, g.nextBeat = append(g.due, slot), math.Min(g.nextBeat, t.expiry)
	}
}

// grant clears a txn: its units are kept for it until it comes, for as long as its clearance lasts.
func (g *Engine) grant(t *txn) Decision {
	t.pass, t.expiry, t.coming = granted, g.now+t.life, false
	g.keep(t)
	g.accounts[t.acct].out++
	g.nextBeat = math.Min(g.nextBeat, t.expiry)
	return Decision{Kind: GrantClearance, RequestID: t.id, WaitMillis: t.life}
}

// ungrant ends a clearance.
func (g *Engine) ungrant(t *txn) {
	if t.pass == granted {
		t.pass = claimed
		g.accounts[t.acct].out--
	}
}

// Claim tells that a cleared txn has come: its client waits so many ms from now on, or from the last byte of
// a body that is still coming. It is false if its clearance is no more; the txn is then like any other.
func (g *Engine) ClaimClearance(id uint64, left float64, coming bool) bool {
	slot, ok := g.byID[id]
	if !ok || g.txns[slot].pass != granted || g.txns[slot].answered || g.now >= g.txns[slot].expiry {
		return false
	}
	t := &g.txns[slot]
	g.ungrant(t)
	t.expiry, t.coming = g.now+left, coming
	g.due, g.nextBeat = append(g.due, slot), math.Min(g.nextBeat, t.expiry)
	return true
}

// Release tells that a cleared txn will not come: its units are free again.
func (g *Engine) ReleaseClearance(id uint64) {
	if slot, ok := g.byID[id]; ok && g.txns[slot].pass == granted && !g.txns[slot].answered {
		g.txns[slot].answered = true
		g.tally.FinalByReason[ReasonClearanceExpired]++
		g.due = append(g.due, slot)
	}
}

// Cleared takes over a clearance that another process of this gatekeeper has given, for so many ms more.
func (g *Engine) ImportClearance(a Request) {
	g.AddRequest(a)
	t := &g.txns[g.byID[a.ID]]
	t.inside = true
	g.grant(t)
}

// waits tells whether a txn is cleared and has not come.
func (t *txn) waits(now float64) bool {
	return t.pass == granted && !t.answered && t.expiry-now > margin
}

// late is why a txn gets its answer at its expiry.
func (t *txn) late() FinalReason {
	if t.pass == granted {
		return ReasonClearanceExpired
	}
	return ReasonAttemptsExhausted
}

// keep sets a txn's units aside. Guards against giving back what was spent: a store that would have been full
// meanwhile has run over, and would hold more than the truth. What is kept was never taken from it.
func (g *Engine) keep(t *txn) {
	if !t.kept {
		t.kept = true
		g.kept(t, 1)
	}
}

// unkeep ends that, and a clearance with it.
func (g *Engine) unkeep(t *txn) {
	g.ungrant(t)
	g.unlend(t)
	if t.kept {
		t.kept = false
		g.kept(t, -1)
	}
}

// kept changes what is kept for a customer by a txn's units, so many times. Beyond the quota nothing is
// taken from it.
func (g *Engine) kept(t *txn, times float64) {
	c := &g.accounts[t.acct]
	if c.kept = math.Max(c.kept+times*t.units, 0); t.inside {
		c.keptDraws = math.Max(c.keptDraws+times*t.draws, 0)
	}
}

// full is when the slice of a customer's ceiling is full again, if all that is kept goes out too; 0 where
// there is none. A later life reads it by the ceilings that this one began with, so where these have changed
// the slower of both paces counts: it then takes for spent no less than is.
func (g *Engine) full(c *account) float64 {
	p := &g.plans[c.plan]
	if p.ceilRate <= 0 {
		return 0
	}
	if p.recorded > 0 {
		return g.now + (math.Max(c.ceilingAt-g.now, 0)*p.ceilRate+c.kept*float64(c.n))/p.recorded
	}
	return math.Max(c.ceilingAt, g.now) + c.kept*float64(c.n)/p.ceilRate
}

// order is the decision that sends a txn's newest submission to a worker, before a moment.
func (g *Engine) order(t *txn, wi int, latest float64) Decision {
	return Decision{Kind: Submit, RequestID: t.id, Worker: wi, Attempt: len(t.subs) - 1, WaitMillis: t.expiry -
		g.now,
		AtMillis: t.expiry, SendBeforeMillis: latest, RateLimitFullAtMillis: g.full(&g.accounts[t.acct])}
}

// seat notes whether a submission counts as in hand.
func (g *Engine) seat(s *submission, in bool) {
	if s.placed != in {
		s.placed = in
		if in {
			g.inHand++
		} else {
			g.inHand--
		}
	}
}

// risk notes that a submission may have run.
func (g *Engine) risk(t *txn, s *submission) {
	if !t.mayRun || s.sent < t.bondAt {
		t.bond, t.bondAt = *s, s.sent
	}
	t.mayRun = true
}

// Left tells that the client of a txn no longer waits.
func (g *Engine) ClientGone(id uint64) {
	if slot, ok := g.byID[id]; ok && !g.txns[slot].answered {
		g.txns[slot].answered = true
		g.tally.FinalByReason[ReasonClientGone]++
		g.due = append(g.due, slot)
	}
}

// silence notes that a peer which owes a word has said nothing for some periods, for so long that it counts
// no more, or is heard again. While it is silent the demand of its last message does not fade.
func (g *Engine) silence(from int, silent, gone bool) {
	p := &g.peers[from]
	held := p.silent && !p.gone
	p.silent, p.gone = silent, gone
	if hold := silent && !gone; hold != held && !g.signed.QuotaWithoutGossip { // all are unheard alike then
		for _, r := range p.last {
			ai, ok := g.byKey[uint32(r.Customer)]
			if !ok {
				continue
			}
			c := &g.accounts[ai]
			g.fill(c)
			if d := r.DemandPerSecond / 1000; hold {
				c.others = math.Max(c.others-d*math.Exp((p.heard-g.now)/g.plans[c.plan].memory), 0)
				c.held += d
				c.holding++
			} else {
				c.held = math.Max(c.held-d, 0)
				c.holding = max(c.holding-1, 0)
			}
		}
	}
	g.muted()
}

// muted counts the silent peers over the ring.
func (g *Engine) muted() {
	for i := range g.mute[1:] {
		g.mute[i+1] = g.mute[i]
		p := &g.peers[i%g.charter.n]
		if p.silent && !p.gone || g.signed.QuotaWithoutGossip && i%g.charter.n != g.charter.me {
			g.mute[i+1]++
		}
	}
}

// gcraWait is how long until a store, full at tat, that fills at rate and holds depth has the units; 0 is
// now.
func gcraWait(tat, now, rate, depth, units float64) float64 {
	return gcra.Wait(tat, now, rate, depth, units)
}

// holds is how much a store of a plan holds that fills at a rate.
func (g *Engine) holds(p *plan, rate float64) float64 {
	return math.Max(rate*p.burst, p.largest)
}

// credited is what a sparse slice is credited over time: its share, and the split as demand comes.
func (g *Engine) credited(c *account) float64 {
	return c.share + g.plans[c.plan].rate*(1-beta)*math.Min(g.own(c)/math.Max(g.total(c), 1e-12), 1)
}

// spend takes a txn's units from its customer's stores at the first submission. A body that is still coming
// may never reach a worker whole, and then takes nothing: until it has, its units are only kept.
func (g *Engine) spend(t *txn) {
	if g.unkeep(t); t.coming {
		g.keep(t)
		return
	}
	c, p := &g.accounts[t.acct], &g.plans[t.plan]
	if p.ceilRate > 0 {
		c.ceilingAt = math.Max(c.ceilingAt, g.now) + t.units*float64(c.n)/p.ceilRate
	}
	if p.rate > 0 {
		if !g.blind(c) { // where it comes too late to go by, it is not told
			c.unsaid += t.draws
		}
		if g.fill(c); t.inside { // beyond the quota nothing is taken
			c.level = math.Max(c.level-t.draws, -g.holds(p, p.rate))
		}
		if c.whole = math.Max(c.whole-t.draws, 0); g.prompt(c) {
			c.hot, c.coolSince = true, g.now
			g.urgent = append(g.urgent, t.acct)
		}
	}
}
