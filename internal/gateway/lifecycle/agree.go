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
	AskPath     = "/fleet/ask"
	LeasePath   = "/fleet/lease"
	IndexHeader = "X-Discovery-Index" // the highest index of discovery's list that any process has told
)

const (
	askFirst  = 250.0  // ms for an answer until a lease is known: a quarter of the usual one
	spoiltSay = 5000.0 // ms between two lines of the log on answers that can't be gone by
	// olderFor is how long a daemon that does not answer at AskPath is asked at LeasePath alone, ms: a daemon is
	// replaced within seconds, and each try in vain costs an answer of some bytes.
	olderFor = 5000.0
)

// agreement is the part of a gatekeeper that goes by rules which all agree on. One goroutine does all of it
// but the asking; what others read is atomic.
type agreement struct {
	g      *Gatekeeper
	holder *ruleset.LeaseHolder
	heard  ruleset.Version        // the newest that was told
	taken  ruleset.EffectiveRules // last adopted
	wide   policy.Settings        // what is gone by with nothing withheld
	of     []float64              // by plan of the charter, the part of a place's that this has
	copied *distribution.Replica
	unfit  string          // why what copied has can't be gone by
	client *relay.Client   // asks for changes
	whole  fasthttp.Client // and this one for all
	older  float64         // ms until which the daemon is taken to be of an older program
	timer  *time.Timer
	answer chan answer
	asks   bool // one is out
	again  bool // and what it says is old by now
	said   time.Time

	terms   atomic.Pointer[inflight.Lease]
	mode    atomic.Int64
	version atomic.Uint64
	refused atomic.Int64 // answers that can't be gone by
	silent  atomic.Int64 // questions without an answer, or with none that holds
	highest atomic.Int64 // index of discovery's list anywhere, as told

	bytesIn, bytesOut atomic.Int64 // at LeasePath, with HTTP's heads
	work              atomic.Int64 // ns in which answers were read and taken up, waits left out
	counts            atomic.Pointer[distribution.ReplicaCounts]
}

// ruleModes are as records name them.
var ruleModes = [...]string{ruleset.ModeNoLease: history.Bare, ruleset.ModeFallback: history.Fallback,
	ruleset.ModeLeased: history.Leased}

// answer is what came on a question that was sent at a time, ms.
type answer struct {
	told    *distribution.Response // nil: the lease holds, of one that tells all
	older   bool                   // the daemon does not answer at AskPath
	lease   ruleset.Lease
	highest int64
	asked   float64
	err     error
	spoilt  bool // something came, and it can't be gone by
}

// boot is the time by which leases run, ms.
func boot() float64 { return float64(bootclock.Nanos()) / 1e6 }

// moment is a time of boot's as terms have it.
func moment(ms float64) int64 {
	if ms >= math.MaxInt64/2e6 {
		return math.MaxInt64
	}
	return int64(ms * 1e6)
}

// agree has the gatekeeper go by agreed rules: bare, until it hears of some, for which run has to run.
func (g *Gatekeeper) agree() {
	c := spoken(g.conf)
	a := &agreement{g: g, wide: c, timer: time.NewTimer(time.Hour), answer: make(chan answer, 1),
		of: make([]float64, len(c.Plans)), whole: fasthttp.Client{MaxResponseBodySize: ruleset.MaxEncodedBytes,
			MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true},
		client: relay.NewClient([]string{g.conf.RulesetAddress}, AskPath),
		copied: distribution.NewReplica(g.conf.Name, os.Getpid(), g.conf.Seed)}
	a.whole.Dial = a.dial
	a.wide.Plans = slices.Clone(c.Plans)
	a.holder = ruleset.NewLeaseHolder(g.conf.Name, born(&g.conf.Charter, g.conf.Name, g.conf.Names.Plans))
	g.agreed = a
	a.turn()
}

// born are the rules that a charter makes, with this gatekeeper alone named in its place.
func born(c *policy.Settings, name string, plans map[string]int) ruleset.Rules {
	r := ruleset.Rules{Format: ruleset.SupportedFormat, Members: make([]ruleset.Member, max(c.GatewayCount, 1)),
		Plans: make([]ruleset.Plan, len(c.Plans))}
	r.Members[c.GatewayIndex].Name = name
	for name, i := range plans {
		p := &c.Plans[i]
		r.Plans[i] = ruleset.Plan{Name: name, Rate: p.QuotaPerSecond, Burst: p.QuotaBurst, CeilingRate: p.RateLimitPerSecond,
			CeilingDepth: p.RateLimitBurst, CreditSeconds: p.CreditSeconds, RepayMillis: p.RepayWithinMillis}
	}
	return r
}

func (a *agreement) run() {
	defer a.client.Close()
	for {
		select {
		case <-a.timer.C:
		case got := <-a.answer:
			a.asks = false
			began := time.Now()
			a.hear(got)
			a.work.Add(int64(time.Since(began)))
			if a.again {
				a.ask()
			}
		case <-a.g.over:
			return
		}
		began := time.Now()
		a.turn()
		a.work.Add(int64(time.Since(began)))
	}
}

// turn has the holder decide, and does what it asks for.
func (a *agreement) turn() {
	a.holder.SetTime(boot())
	for {
		d, ok := a.holder.NextAction()
		if !ok {
			break
		}
		switch d.Kind {
		case ruleset.ActionAdopt:
			a.adopt(d.Effective)
		case ruleset.ActionRequestLease:
			a.ask()
		case ruleset.ActionWake:
			a.timer.Reset(transport.Millis(d.WakeAtMillis - boot()))
		}
	}
	if t := a.terms.Load(); t != nil {
		t.Renew(moment(a.holder.ExpiresAtMillis()))
	}
}

// AnswerWithin is how long a question to the daemon waits for its answer under a lease, ms; 0 is none that is
// known. Guards against many that start on one host and give their first question up so soon that the daemon,
// which answers one after another, is asked anew by all and answers nobody in time.
func AnswerWithin(lease float64) float64 {
	if lease == 0 {
		return askFirst
	}
	return lease / 4
}

// ask asks the daemon, once it is not being asked any more.
func (a *agreement) ask() {
	if a.asks {
		a.again = true
		return
	}
	a.asks, a.again = true, false
	within := AnswerWithin(a.heard.Rules.LeaseMillis)
	holds, index := a.holder.AckedStep(), a.g.discovered()
	q := url.Values{"instance": {a.g.conf.Name}, "pid": {strconv.Itoa(os.Getpid())},
		"holds": {strconv.FormatUint(holds, 10)}, "index": {strconv.FormatInt(index, 10)}}
	at := "http://" + a.g.conf.RulesetAddress + LeasePath + "?" + q.Encode()
	if boot() < a.older {
		go func() { a.answer <- a.call(at, within) }()
		return
	}
	changes := a.copied.NewRequest(boot(), holds, index)
	go func() {
		got := a.callFor(changes, within)
		if got.older {
			got = a.call(at, within)
			got.older = true
		}
		a.answer <- got
	}()
}

// callFor asks the daemon for changes and waits for so many ms at most.
func (a *agreement) callFor(changes *distribution.Request, within float64) (got answer) {
	got.asked = boot()
	got.told, got.err = a.client.Fetch(0, changes, within)
	var status *relay.StatusError
	switch {
	case got.err == nil:
		got.highest = got.told.DiscoveryIndex
	case errors.As(got.err, &status):
		got.older = status.Code == http.StatusNotFound || status.Code == http.StatusMethodNotAllowed
	default:
		got.spoilt = errors.Is(got.err, relay.ErrCorruptResponse)
	}
	return got
}

// call asks the daemon for all and waits for so many ms at most.
func (a *agreement) call(at string, within float64) (got answer) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(at)
	got.asked = boot()
	if got.err = a.whole.DoTimeout(req, res, transport.Millis(within)); got.err != nil {
		got.spoilt = got.err == fasthttp.ErrBodyTooLarge
		return got
	}
	if s := res.StatusCode(); s != fasthttp.StatusOK {
		got.err = fmt.Errorf("status %d: %.100s", s, res.Body())
		return got
	}
	began := time.Now()
	got.lease, got.err = ruleset.DecodeLease(res.Body())
	a.work.Add(int64(time.Since(began)))
	got.spoilt = got.err != nil
	got.highest, _ = strconv.ParseInt(string(res.Header.Peek(IndexHeader)), 10, 64)
	return got
}

// dial opens a connection on which bytes are counted.
func (a *agreement) dial(at string) (net.Conn, error) {
	c, err := fasthttp.Dial(at)
	if err != nil {
		return nil, err
	}
	return &counted{c, a}, nil
}

// counted is a connection to the daemon.
type counted struct {
	net.Conn
	of *agreement
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.of.bytesIn.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.of.bytesOut.Add(int64(n))
	return n, err
}

// hear takes an answer. One that can't be gone by changes nothing: what is gone by goes on until its time has
// run out.
func (a *agreement) hear(got answer) {
	if got.older {
		a.older = boot() + olderFor
		a.g.log.Info().Msg("the daemon is of an older program, and is asked for all rules each time")
	}
	switch {
	case got.spoilt:
		a.refuse(got.err.Error())
		return
	case got.err != nil:
		a.silent.Add(1)
		return
	}
	a.holder.SetTime(boot())
	l, why := &got.lease, ""
	if got.told != nil {
		if why = a.replica(got.told, l); why == "" && l.Version.Number == 0 { // no news, and counted
			return
		}
	} else if l.UnsupportedFeature == "" {
		why = a.misfit(&l.Version.Rules)
	}
	if why != "" {
		a.refuse(why)
		return
	}
	if l.UnsupportedFeature == "" {
		if l.Version.Number > a.heard.Number {
			a.heard = l.Version
		}
	} else {
		a.refuse("rules in force that need " + l.UnsupportedFeature)
	}
	before := a.holder.Counters()
	a.holder.ReceiveLease(*l, got.asked)
	if c := a.holder.Counters(); c.Invalid > before.Invalid {
		a.refuse("an age that is none")
	} else if c.Stale > before.Stale {
		a.silent.Add(1)
	}
	a.highest.Store(got.highest)
	a.g.lags(got.highest)
}

// replica takes what the daemon tells of changes, and gives it as a lease. Rules that it can't go by are
// named each time; a lease without a number is no news.
func (a *agreement) replica(told *distribution.Response, l *ruleset.Lease) (why string) {
	next, news, err := a.copied.HandleResponse(told, boot())
	counts := a.copied.Counts()
	a.counts.Store(&counts)
	switch {
	case errors.Is(err, distribution.ErrDeferred):
		a.silent.Add(1)
		return ""
	case err != nil:
		return err.Error()
	}
	if news {
		if a.unfit = ""; next.UnsupportedFeature == "" {
			a.unfit = a.misfit(&next.Version.Rules)
		}
	}
	*l = next
	return a.unfit
}

// misfit tells why this gatekeeper can't go by rules; empty where it can. One that was a member and is none
// any more goes by them: nothing passes under its ceilings.
func (a *agreement) misfit(r *ruleset.Rules) string {
	c := &a.g.conf.Charter
	// a daemon below relays knows a part, and tells it either way
	if err := ruleset.ValidateSubset(r); err != nil {
		return err.Error()
	}
	switch me := ruleset.MemberIndex(r, a.g.conf.Name); {
	case me >= 0 && me != c.GatewayIndex:
		return fmt.Sprintf("%s was started in place %d, and has place %d in the rules", a.g.conf.Name, c.GatewayIndex, me)
	case me < 0 && a.taken.Version == 0:
		return a.g.conf.Name + " is not among the members"
	}
	for _, m := range r.Members {
		if _, err := netip.ParseAddrPort(m.Peers); m.Peers != "" && err != nil {
			return fmt.Sprintf("members.%s.peers: %v", m.Name, err)
		}
	}
	return ""
}

// refuse counts what can't be gone by, and says so once in a while.
func (a *agreement) refuse(why string) {
	a.refused.Add(1)
	if now := time.Now(); now.Sub(a.said) > transport.Millis(spoiltSay) {
		a.said = now
		a.g.log.Warn().Str("why", why).Int64("refused", a.refused.Load()).
			Msg("the daemon's answer can't be gone by, the former rules go on until their time")
	}
}

// adopt goes by terms from here on. Words that bar hold before the version that brings them, and those that
// it lifts hold until it is there.
func (a *agreement) adopt(t ruleset.EffectiveRules) {
	same := reflect.DeepEqual(t.WorkerOverrides, a.taken.WorkerOverrides)
	if !same {
		a.g.words(append(slices.Clone(a.taken.WorkerOverrides), t.WorkerOverrides...))
	}
	number := t.Version
	if t.Mode == ruleset.ModeNoLease { // what goes out goes by none
		number = 0
	}
	terms := inflight.NewLease(number, ruleModes[t.Mode], moment(t.ExpiresAtMillis))
	c := a.charter(t)
	peers := a.g.conf.PeerAddresses
	if t.Version == a.heard.Number && t.Version > 0 {
		peers = a.addresses()
	}
	a.g.seat(max(c.GatewayCount, 1), peers, func() {
		// Guards against what a former life spent, or others did whose share this one has now, by rules that are
		// not those that its record is of.
		if a.taken.Version == 0 && t.Version > 0 && a.g.desk.RestoredRulesetVersion() != t.Version {
			a.g.desk.ApplyRuleset(inflight.NewLease(0, history.Bare, math.MaxInt64), unknown(c))
		}
		if !a.g.desk.ApplyRuleset(terms, c) {
			a.refuse("a charter that differs in what may not change")
		}
	})
	a.g.agreedOn.Store(&c.Plans)
	a.g.lend(c.Plans)
	a.terms.Store(terms)
	a.mode.Store(int64(t.Mode))
	a.version.Store(t.Version)
	if t.Version > 0 { // what a former life knew is of these rules, or of no use
		a.g.recollect()
	}
	if !same {
		a.g.words(t.WorkerOverrides)
	}
	a.taken = t
	if a.g.word != nil {
		a.g.word.rules(t.Version, a.wide.Plans)
	}
	a.g.log.Info().Uint64("version", t.Version).Stringer("mode", t.Mode).Int("gatekeepers", c.GatewayCount).
		Msg("going by rules")
}

// charter is what terms make of the charter. Ceilings are told as this gatekeeper may use them while it is
// leased: what it has less of while it is cut off is withheld, and comes back with the lease. What it comes
// to have more of is told as a ceiling that grows, or is new, and counts as spent: others may just have
// spent it.
func (a *agreement) charter(t ruleset.EffectiveRules) policy.Settings {
	c := &a.wide
	if t.MemberIndex == c.GatewayIndex {
		c.GatewayCount = t.MemberCount
	}
	withheld := make([]float64, len(c.Plans))
	for _, p := range t.Plans {
		i, known := a.g.conf.Names.Plans[p.Name]
		if !known {
			continue
		}
		q := &c.Plans[i]
		q.QuotaPerSecond, q.QuotaBurst = p.Rate, p.Burst
		if t.Version == 0 { // as it was born
			withheld[i] = 1
			continue
		}
		if t.Mode == ruleset.ModeLeased || t.Version != a.taken.Version {
			a.of[i] = p.CeilingFraction
		}
		q.CreditSeconds, q.RepayWithinMillis = p.CreditSeconds, p.RepayMillis
		q.RateLimitPerSecond, q.RateLimitBurst = p.CeilingRate*a.of[i], p.CeilingDepth*a.of[i]
		if a.of[i] > 0 {
			withheld[i] = 1 - min(p.CeilingFraction/a.of[i], 1)
		} else { // one that never fills: nothing passes, and later it counts as spent
			q.RateLimitBurst = p.CeilingDepth
		}
	}
	now := *c
	now.QuotaWithoutGossip, now.Plans = t.Mode != ruleset.ModeLeased || t.MemberIndex < 0, slices.Clone(c.Plans)
	for i := range withheld {
		now.Plans[i].WithheldFraction = withheld[i]
	}
	return now
}

// unknown is a charter by which all ceilings count as spent from the moment on at which another follows.
func unknown(c policy.Settings) policy.Settings {
	c.Plans = slices.Clone(c.Plans)
	for i := range c.Plans {
		c.Plans[i].RateLimitPerSecond = 0
	}
	return c
}

// addresses are those of the rules' members; of one that they have none for, what was known. Of those that
// are not told here, as no customer is shared with them, there is none: nothing is sent to them, and nothing
// of theirs is heard.
func (a *agreement) addresses() []netip.AddrPort {
	all := make([]netip.AddrPort, len(a.heard.Rules.Members))
	for i, m := range a.heard.Rules.Members {
		if at, err := netip.ParseAddrPort(m.Peers); err == nil {
			all[i] = at
		} else if i < len(a.g.conf.PeerAddresses) && (m.Name != "" || a.g.conf.PeerAddresses[i].Port() == 0) {
			all[i] = a.g.conf.PeerAddresses[i] // known, or nobody's: then it is not another's from here on
		}
	}
	return all
}

// figures are what operators see of it. Mode is 0 bare, 1 cut off, 2 leased.
func (a *agreement) figures(add func(string, int64)) {
	terms, left := a.terms.Load(), int64(0)
	if until := terms.Expiry(); until < math.MaxInt64 {
		left = max(until-bootclock.Nanos(), 0) / 1e6
	}
	add("rules.version", int64(a.version.Load()))
	add("rules.mode", a.mode.Load())
	add("rules.left_ms", left)
	add("rules.refused", a.refused.Load())
	add("rules.unanswered", a.silent.Load())
	add("rules.recalled", a.g.desk.RevokedAttempts())
	t := a.client.Traffic()
	add("rules.bytes_in", a.bytesIn.Load()+t.ReceivedBytes)
	add("rules.bytes_out", a.bytesOut.Load()+t.SentBytes)
	add("rules.work_us", a.work.Load()/1000)
	c := a.counts.Load()
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
	add("discovery.index", a.g.discovered())
	add("discovery.index_highest", a.highest.Load())
}
