package lifecycle

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/bootclock"
	"willowdeck/internal/distribution"
	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/history"
)

// What the daemon is asked. At AskPath it tells changes of what is here, and how long ago that was in force;
// at LeasePath all rules each time, for instances of a program that does not ask for less.
const (
	UpdatePath           = "/fleet/ask"
	LeasePath            = "/fleet/lease"
	DiscoveryIndexHeader = "X-Discovery-Index" // the highest index of discovery's list that any process has told
)

const (
	firstRequestTimeoutMillis  = 250.0  // ms for an answer until a lease is known: a quarter of the usual one
	rejectionLogIntervalMillis = 5000.0 // ms between two lines of the log on answers that can't be gone by
	// olderFor is how long a daemon that does not answer at AskPath is asked at LeasePath alone, ms: a daemon is
	// replaced within seconds, and each try in vain costs an answer of some bytes.
	legacyRetryMillis = 5000.0
)

// agreement is the part of a gatekeeper that goes by rules which all agree on. One goroutine does all of it
// but the asking; what others read is atomic.
type rulesetClient struct {
	gateway           *Gateway
	leaseHolder       *ruleset.LeaseHolder
	newest            ruleset.Version        // the newest that was told
	effective         ruleset.EffectiveRules // last adopted
	baseCharter       policy.Charter         // what is gone by with nothing withheld
	ceilingShares     []float64              // by plan of the charter, the part of a place's that this has
	replica           *distribution.Replica
	replicaRejection  string          // why what copied has can't be gone by
	updates           *relay.Client   // asks for changes
	leases            fasthttp.Client // and this one for all
	legacyUntilMillis float64         // ms until which the daemon is taken to be of an older program
	wakeTimer         *time.Timer
	responses         chan daemonResponse
	requestInFlight   bool // one is out
	requestPending    bool // and what it says is old by now
	rejectionLogged   time.Time

	lease                 atomic.Pointer[inflight.Lease]
	mode                  atomic.Int64
	version               atomic.Uint64
	rejected              atomic.Int64 // answers that can't be gone by
	unanswered            atomic.Int64 // questions without an answer, or with none that holds
	highestDiscoveryIndex atomic.Int64 // index of discovery's list anywhere, as told

	receivedBytes, sentBytes atomic.Int64 // at LeasePath, with HTTP's heads
	workNanos                atomic.Int64 // ns in which answers were read and taken up, waits left out
	replicaCounts            atomic.Pointer[distribution.ReplicaCounts]
}

// ruleModes are as records name them.
var historyModes = [...]string{ruleset.ModeNoLease: history.Bare, ruleset.ModeFallback: history.Fallback,
	ruleset.ModeLeased: history.Leased}

// answer is what came on a question that was sent at a time, ms.
type daemonResponse struct {
	update                *distribution.Response // nil: the lease holds, of one that tells all
	legacy                bool                   // the daemon does not answer at AskPath
	lease                 ruleset.Lease
	highestDiscoveryIndex int64
	requestedAtMillis     float64
	err                   error
	corrupt               bool // something came, and it can't be gone by
}

// boot is the time by which leases run, ms.
func bootMillis() float64 { return float64(bootclock.Nanos()) / 1e6 }

// moment is a time of boot's as terms have it.
func millisToNanos(ms float64) int64 {
	if ms >= math.MaxInt64/2e6 {
		return math.MaxInt64
	}
	return int64(ms * 1e6)
}

// agree has the gatekeeper go by agreed rules: bare, until it hears of some, for which run has to run.
func (g *Gateway) initRulesetClient() {
	c := peerCharter(g.config)
	a := &rulesetClient{gateway: g, baseCharter: c, wakeTimer: time.NewTimer(time.Hour), responses: make(chan daemonResponse, 1),
		ceilingShares: make([]float64, len(c.Plans)), leases: fasthttp.Client{MaxResponseBodySize: ruleset.MaxEncodedBytes,
			MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true},
		updates: relay.NewClient([]string{g.config.Agree}, UpdatePath),
		replica: distribution.NewReplica(g.config.Name, os.Getpid(), g.config.Seed)}
	a.leases.Dial = a.dial
	a.baseCharter.Plans = slices.Clone(c.Plans)
	a.leaseHolder = ruleset.NewLeaseHolder(g.config.Name, initialRules(&g.config.Charter, g.config.Name, g.config.Names.Plans))
	g.ruleset = a
	a.performActions()
}

// born are the rules that a charter makes, with this gatekeeper alone named in its place.
func initialRules(c *policy.Charter, name string, plans map[string]int) ruleset.Rules {
	r := ruleset.Rules{Format: ruleset.SupportedFormat, Members: make([]ruleset.Member, max(c.Gatekeepers, 1)),
		Plans: make([]ruleset.Plan, len(c.Plans))}
	r.Members[c.Me].Name = name
	for name, i := range plans {
		p := &c.Plans[i]
		r.Plans[i] = ruleset.Plan{Name: name, Rate: p.Rate, Burst: p.Burst, CeilingRate: p.CeilingRate,
			CeilingDepth: p.CeilingDepth, CreditSeconds: p.Credit, RepayMillis: p.Repay}
	}
	return r
}

func (a *rulesetClient) run() {
	defer a.updates.Close()
	for {
		select {
		case <-a.wakeTimer.C:
		case got := <-a.responses:
			a.requestInFlight = false
			began := time.Now()
			a.handleResponse(got)
			a.workNanos.Add(int64(time.Since(began)))
			if a.requestPending {
				a.request()
			}
		case <-a.gateway.done:
			return
		}
		began := time.Now()
		a.performActions()
		a.workNanos.Add(int64(time.Since(began)))
	}
}

// turn has the holder decide, and does what it asks for.
func (a *rulesetClient) performActions() {
	a.leaseHolder.SetTime(bootMillis())
	for {
		d, ok := a.leaseHolder.NextAction()
		if !ok {
			break
		}
		switch d.Kind {
		case ruleset.ActionAdopt:
			a.adopt(d.Effective)
		case ruleset.ActionRequestLease:
			a.request()
		case ruleset.ActionWake:
			a.wakeTimer.Reset(transport.Millis(d.WakeAtMillis - bootMillis()))
		}
	}
	if t := a.lease.Load(); t != nil {
		t.Renew(millisToNanos(a.leaseHolder.ExpiresAtMillis()))
	}
}

// AnswerWithin is how long a question to the daemon waits for its answer under a lease, ms; 0 is none that is
// known. Guards against many that start on one host and give their first question up so soon that the daemon,
// which answers one after another, is asked anew by all and answers nobody in time.
func RequestTimeoutMillis(lease float64) float64 {
	if lease == 0 {
		return firstRequestTimeoutMillis
	}
	return lease / 4
}

// ask asks the daemon, once it is not being asked any more.
func (a *rulesetClient) request() {
	if a.requestInFlight {
		a.requestPending = true
		return
	}
	a.requestInFlight, a.requestPending = true, false
	within := RequestTimeoutMillis(a.newest.Rules.LeaseMillis)
	holds, index := a.leaseHolder.AckedStep(), a.gateway.discoveryIndex()
	q := url.Values{"instance": {a.gateway.config.Name}, "pid": {strconv.Itoa(os.Getpid())},
		"holds": {strconv.FormatUint(holds, 10)}, "index": {strconv.FormatInt(index, 10)}}
	at := "http://" + a.gateway.config.Agree + LeasePath + "?" + q.Encode()
	if bootMillis() < a.legacyUntilMillis {
		go func() { a.responses <- a.fetchLease(at, within) }()
		return
	}
	changes := a.replica.NewRequest(bootMillis(), holds, index)
	go func() {
		got := a.fetchUpdate(changes, within)
		if got.legacy {
			got = a.fetchLease(at, within)
			got.legacy = true
		}
		a.responses <- got
	}()
}

// callFor asks the daemon for changes and waits for so many ms at most.
func (a *rulesetClient) fetchUpdate(changes *distribution.Request, within float64) (got daemonResponse) {
	got.requestedAtMillis = bootMillis()
	got.update, got.err = a.updates.Fetch(0, changes, within)
	var status *relay.StatusError
	switch {
	case got.err == nil:
		got.highestDiscoveryIndex = got.update.DiscoveryIndex
	case errors.As(got.err, &status):
		got.legacy = status.Code == http.StatusNotFound || status.Code == http.StatusMethodNotAllowed
	default:
		got.corrupt = errors.Is(got.err, relay.ErrCorruptResponse)
	}
	return got
}

// call asks the daemon for all and waits for so many ms at most.
func (a *rulesetClient) fetchLease(at string, within float64) (got daemonResponse) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(at)
	got.requestedAtMillis = bootMillis()
	if got.err = a.leases.DoTimeout(req, res, transport.Millis(within)); got.err != nil {
		got.corrupt = got.err == fasthttp.ErrBodyTooLarge
		return got
	}
	if s := res.StatusCode(); s != fasthttp.StatusOK {
		got.err = fmt.Errorf("status %d: %.100s", s, res.Body())
		return got
	}
	began := time.Now()
	got.lease, got.err = ruleset.DecodeLease(res.Body())
	a.workNanos.Add(int64(time.Since(began)))
	got.corrupt = got.err != nil
	got.highestDiscoveryIndex, _ = strconv.ParseInt(string(res.Header.Peek(DiscoveryIndexHeader)), 10, 64)
	return got
}

// dial opens a connection on which bytes are counted.
func (a *rulesetClient) dial(at string) (net.Conn, error) {
	c, err := fasthttp.Dial(at)
	if err != nil {
		return nil, err
	}
	return &countedConn{c, a}, nil
}

// counted is a connection to the daemon.
type countedConn struct {
	net.Conn
	client *rulesetClient
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.client.receivedBytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.client.sentBytes.Add(int64(n))
	return n, err
}

// hear takes an answer. One that can't be gone by changes nothing: what is gone by goes on until its time has
// run out.
func (a *rulesetClient) handleResponse(got daemonResponse) {
	if got.legacy {
		a.legacyUntilMillis = bootMillis() + legacyRetryMillis
		a.gateway.log.Info().Msg("the daemon is of an older program, and is asked for all rules each time")
	}
	switch {
	case got.corrupt:
		a.reject(got.err.Error())
		return
	case got.err != nil:
		a.unanswered.Add(1)
		return
	}
	a.leaseHolder.SetTime(bootMillis())
	l, why := &got.lease, ""
	if got.update != nil {
		if why = a.applyUpdate(got.update, l); why == "" && l.Version.Number == 0 { // no news, and counted
			return
		}
	} else if l.UnsupportedFeature == "" {
		why = a.rejectionReason(&l.Version.Rules)
	}
	if why != "" {
		a.reject(why)
		return
	}
	if l.UnsupportedFeature == "" {
		if l.Version.Number > a.newest.Number {
			a.newest = l.Version
		}
	} else {
		a.reject("rules in force that need " + l.UnsupportedFeature)
	}
	before := a.leaseHolder.Counters()
	a.leaseHolder.ReceiveLease(*l, got.requestedAtMillis)
	if c := a.leaseHolder.Counters(); c.Invalid > before.Invalid {
		a.reject("an age that is none")
	} else if c.Stale > before.Stale {
		a.unanswered.Add(1)
	}
	a.highestDiscoveryIndex.Store(got.highestDiscoveryIndex)
	a.gateway.checkDiscoveryLag(got.highestDiscoveryIndex)
}

// replica takes what the daemon tells of changes, and gives it as a lease. Rules that it can't go by are
// named each time; a lease without a number is no news.
func (a *rulesetClient) applyUpdate(told *distribution.Response, l *ruleset.Lease) (why string) {
	next, news, err := a.replica.HandleResponse(told, bootMillis())
	counts := a.replica.Counts()
	a.replicaCounts.Store(&counts)
	switch {
	case errors.Is(err, distribution.ErrDeferred):
		a.unanswered.Add(1)
		return ""
	case err != nil:
		return err.Error()
	}
	if news {
		if a.replicaRejection = ""; next.UnsupportedFeature == "" {
			a.replicaRejection = a.rejectionReason(&next.Version.Rules)
		}
	}
	*l = next
	return a.replicaRejection
}

// misfit tells why this gatekeeper can't go by rules; empty where it can. One that was a member and is none
// any more goes by them: nothing passes under its ceilings.
func (a *rulesetClient) rejectionReason(r *ruleset.Rules) string {
	c := &a.gateway.config.Charter
	// a daemon below relays knows a part, and tells it either way
	if err := ruleset.ValidateSubset(r); err != nil {
		return err.Error()
	}
	switch me := ruleset.MemberIndex(r, a.gateway.config.Name); {
	case me >= 0 && me != c.Me:
		return fmt.Sprintf("%s was started in place %d, and has place %d in the rules", a.gateway.config.Name, c.Me, me)
	case me < 0 && a.effective.Version == 0:
		return a.gateway.config.Name + " is not among the members"
	}
	for _, m := range r.Members {
		if _, err := netip.ParseAddrPort(m.Peers); m.Peers != "" && err != nil {
			return fmt.Sprintf("members.%s.peers: %v", m.Name, err)
		}
	}
	return ""
}

// refuse counts what can't be gone by, and says so once in a while.
func (a *rulesetClient) reject(why string) {
	a.rejected.Add(1)
	if now := time.Now(); now.Sub(a.rejectionLogged) > transport.Millis(rejectionLogIntervalMillis) {
		a.rejectionLogged = now
		a.gateway.log.Warn().Str("why", why).Int64("refused", a.rejected.Load()).
			Msg("the daemon's answer can't be gone by, the former rules go on until their time")
	}
}

// adopt goes by terms from here on. Words that bar hold before the version that brings them, and those that
// it lifts hold until it is there.
func (a *rulesetClient) adopt(t ruleset.EffectiveRules) {
	same := reflect.DeepEqual(t.WorkerOverrides, a.effective.WorkerOverrides)
	if !same {
		a.gateway.applyWorkerOverrides(append(slices.Clone(a.effective.WorkerOverrides), t.WorkerOverrides...))
	}
	number := t.Version
	if t.Mode == ruleset.ModeNoLease { // what goes out goes by none
		number = 0
	}
	terms := inflight.NewLease(number, historyModes[t.Mode], millisToNanos(t.ExpiresAtMillis))
	c := a.charterFor(t)
	peers := a.gateway.config.Peers
	if t.Version == a.newest.Number && t.Version > 0 {
		peers = a.peerAddresses()
	}
	a.gateway.setMembers(max(c.Gatekeepers, 1), peers, func() {
		// Guards against what a former life spent, or others did whose share this one has now, by rules that are
		// not those that its record is of.
		if a.effective.Version == 0 && t.Version > 0 && a.gateway.dispatcher.RestoredRulesetVersion() != t.Version {
			a.gateway.dispatcher.ApplyRuleset(inflight.NewLease(0, history.Bare, math.MaxInt64), exhaustedCharter(c))
		}
		if !a.gateway.dispatcher.ApplyRuleset(terms, c) {
			a.reject("a charter that differs in what may not change")
		}
	})
	a.gateway.rulesetPlans.Store(&c.Plans)
	a.gateway.enableBorrowing(c.Plans)
	a.lease.Store(terms)
	a.mode.Store(int64(t.Mode))
	a.version.Store(t.Version)
	if t.Version > 0 { // what a former life knew is of these rules, or of no use
		a.gateway.restoreCheckpoint()
	}
	if !same {
		a.gateway.applyWorkerOverrides(t.WorkerOverrides)
	}
	a.effective = t
	if a.gateway.reporter != nil {
		a.gateway.reporter.setRuleset(t.Version, a.baseCharter.Plans)
	}
	a.gateway.log.Info().Uint64("version", t.Version).Stringer("mode", t.Mode).Int("gatekeepers", c.Gatekeepers).
		Msg("going by rules")
}

// charter is what terms make of the charter. Ceilings are told as this gatekeeper may use them while it is
// leased: what it has less of while it is cut off is withheld, and comes back with the lease. What it comes
// to have more of is told as a ceiling that grows, or is new, and counts as spent: others may just have
// spent it.
func (a *rulesetClient) charterFor(t ruleset.EffectiveRules) policy.Charter {
	c := &a.baseCharter
	if t.MemberIndex == c.Me {
		c.Gatekeepers = t.MemberCount
	}
	withheld := make([]float64, len(c.Plans))
	for _, p := range t.Plans {
		i, known := a.gateway.config.Names.Plans[p.Name]
		if !known {
			continue
		}
		q := &c.Plans[i]
		q.Rate, q.Burst = p.Rate, p.Burst
		if t.Version == 0 { // as it was born
			withheld[i] = 1
			continue
		}
		if t.Mode == ruleset.ModeLeased || t.Version != a.effective.Version {
			a.ceilingShares[i] = p.CeilingFraction
		}
		q.Credit, q.Repay = p.CreditSeconds, p.RepayMillis
		q.CeilingRate, q.CeilingDepth = p.CeilingRate*a.ceilingShares[i], p.CeilingDepth*a.ceilingShares[i]
		if a.ceilingShares[i] > 0 {
			withheld[i] = 1 - min(p.CeilingFraction/a.ceilingShares[i], 1)
		} else { // one that never fills: nothing passes, and later it counts as spent
			q.CeilingDepth = p.CeilingDepth
		}
	}
	now := *c
	now.Narrow, now.Plans = t.Mode != ruleset.ModeLeased || t.MemberIndex < 0, slices.Clone(c.Plans)
	for i := range withheld {
		now.Plans[i].Withheld = withheld[i]
	}
	return now
}

// unknown is a charter by which all ceilings count as spent from the moment on at which another follows.
func exhaustedCharter(c policy.Charter) policy.Charter {
	c.Plans = slices.Clone(c.Plans)
	for i := range c.Plans {
		c.Plans[i].CeilingRate = 0
	}
	return c
}

// addresses are those of the rules' members; of one that they have none for, what was known. Of those that
// are not told here, as no customer is shared with them, there is none: nothing is sent to them, and nothing
// of theirs is heard.
func (a *rulesetClient) peerAddresses() []netip.AddrPort {
	all := make([]netip.AddrPort, len(a.newest.Rules.Members))
	for i, m := range a.newest.Rules.Members {
		if at, err := netip.ParseAddrPort(m.Peers); err == nil {
			all[i] = at
		} else if i < len(a.gateway.config.Peers) && (m.Name != "" || a.gateway.config.Peers[i].Port() == 0) {
			all[i] = a.gateway.config.Peers[i] // known, or nobody's: then it is not another's from here on
		}
	}
	return all
}

// figures are what operators see of it. Mode is 0 bare, 1 cut off, 2 leased.
func (a *rulesetClient) figures(add func(string, int64)) {
	terms, left := a.lease.Load(), int64(0)
	if until := terms.Expiry(); until < math.MaxInt64 {
		left = max(until-bootclock.Nanos(), 0) / 1e6
	}
	add("rules.version", int64(a.version.Load()))
	add("rules.mode", a.mode.Load())
	add("rules.left_ms", left)
	add("rules.refused", a.rejected.Load())
	add("rules.unanswered", a.unanswered.Load())
	add("rules.recalled", a.gateway.dispatcher.RevokedAttempts())
	t := a.updates.Traffic()
	add("rules.bytes_in", a.receivedBytes.Load()+t.ReceivedBytes)
	add("rules.bytes_out", a.sentBytes.Load()+t.SentBytes)
	add("rules.work_us", a.workNanos.Load()/1000)
	c := a.replicaCounts.Load()
	if c == nil {
		c = &distribution.ReplicaCounts{}
	}
	add("rules.renewals", c.Renewals)
	add("rules.deltas", c.Deltas)
	add("rules.wholes", c.FullStates)
	add("rules.busy", c.Deferred)
	add("rules.spoilt", c.BaseMismatches+c.DigestMismatches+c.Invalid)
	add("rules.spoilt.base", c.BaseMismatches)
	add("rules.spoilt.digest", c.DigestMismatches)
	add("discovery.index", a.gateway.discoveryIndex())
	add("discovery.index_highest", a.highestDiscoveryIndex.Load())
}
