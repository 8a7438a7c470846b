package lifecycle

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
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
)

// rejectionLogIntervalMillis is the shortest time between two log lines on rejected responses.
const rejectionLogIntervalMillis = 5000.0

// rulesetClient follows the ruleset that is in force among all gateways. It requests leases from the host's
// daemon, adopts versions as the lease holder decides, and falls back when a lease expires. The run goroutine
// does all of that except for the requests themselves, each of which has a goroutine; what others read is
// atomic.
type rulesetClient struct {
	gateway         *Gateway
	leaseHolder     *ruleset.LeaseHolder
	newest          ruleset.Version        // the newest version received
	effective       ruleset.EffectiveRules // adopted last
	baseSettings    policy.Settings        // the settings in force, with nothing withheld
	rateLimitShares []float64              // by plan of the charter: this member's fraction of its rate limit

	replica          *distribution.Replica
	replicaRejection string // why the version in replica can't be adopted; empty where it can

	updates           *relay.Client   // requests changes, at UpdatePath
	leases            fasthttp.Client // requests full rulesets, at LeasePath
	legacyUntilMillis float64         // boot time until which only LeasePath is requested
	wakeTimer         *time.Timer
	responses         chan daemonResponse
	requestInFlight   bool
	requestPending    bool      // to be sent once the one in flight is answered, which it makes out of date
	rejectionLogged   time.Time // when a rejected response was logged last

	lease                 atomic.Pointer[inflight.Lease] // that requests in flight are sent under
	mode                  atomic.Int64                   // a ruleset.LeaseMode
	version               atomic.Uint64                  // of the ruleset adopted last
	rejected              atomic.Int64                   // responses that can't be used
	unanswered            atomic.Int64                   // requests without a response, or without a valid lease
	highestDiscoveryIndex atomic.Int64                   // of any instance, as the daemon reports it

	receivedBytes, sentBytes atomic.Int64 // at LeasePath, with HTTP's headers
	workNanos                atomic.Int64 // spent on decoding and applying responses, without waiting
	replicaCounts            atomic.Pointer[distribution.ReplicaCounts]
}

// bootMillis is the time by which leases run, in milliseconds since the machine has booted.
func bootMillis() float64 { return float64(bootclock.Nanos()) / 1e6 }

// millisToNanos converts a time of bootMillis, and gives the largest number for one that is never reached.
func millisToNanos(ms float64) int64 {
	if ms >= math.MaxInt64/2e6 {
		return math.MaxInt64
	}
	return int64(ms * 1e6)
}

// initRulesetClient starts without a lease: nothing passes under a rate limit until run has received one.
func (g *Gateway) initRulesetClient() {
	charter := peerSettings(g.config)
	c := &rulesetClient{
		gateway:         g,
		baseSettings:    charter,
		wakeTimer:       time.NewTimer(time.Hour),
		responses:       make(chan daemonResponse, 1),
		rateLimitShares: make([]float64, len(charter.Plans)),
		leases: fasthttp.Client{MaxResponseBodySize: ruleset.MaxEncodedBytes,
			MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true},
		updates: relay.NewClient([]string{g.config.RulesetAddress}, UpdatePath),
		replica: distribution.NewReplica(g.config.Name, os.Getpid(), g.config.Seed),
	}
	c.leases.Dial = c.dial
	c.baseSettings.Plans = slices.Clone(charter.Plans)
	initial := initialRules(&g.config.Policy, g.config.Name, g.config.Names.Plans)
	c.leaseHolder = ruleset.NewLeaseHolder(g.config.Name, initial)
	g.ruleset = c
	c.performActions()
}

// initialRules are the rules that a configuration makes. Of their members, only this gateway has a name.
func initialRules(charter *policy.Settings, name string, plans map[string]int) ruleset.Rules {
	rules := ruleset.Rules{
		Format:  ruleset.SupportedFormat,
		Members: make([]ruleset.Member, max(charter.GatewayCount, 1)),
		Plans:   make([]ruleset.Plan, len(charter.Plans)),
	}
	rules.Members[charter.GatewayIndex].Name = name
	for planName, i := range plans {
		plan := &charter.Plans[i]
		rules.Plans[i] = ruleset.Plan{Name: planName, Rate: plan.QuotaPerSecond, Burst: plan.QuotaBurst,
			CeilingRate: plan.RateLimitPerSecond, CeilingDepth: plan.RateLimitBurst,
			CreditSeconds: plan.CreditSeconds, RepayMillis: plan.RepayWithinMillis}
	}
	return rules
}

// run follows the ruleset until the gateway stops.
func (c *rulesetClient) run() {
	defer c.updates.Close()
	for {
		select {
		case <-c.wakeTimer.C:
		case response := <-c.responses:
			c.requestInFlight = false
			start := time.Now()
			c.handleResponse(response)
			c.workNanos.Add(int64(time.Since(start)))
			if c.requestPending {
				c.request()
			}
		case <-c.gateway.done:
			return
		}
		start := time.Now()
		c.performActions()
		c.workNanos.Add(int64(time.Since(start)))
	}
}

// performActions carries out what the lease holder decides at this time.
func (c *rulesetClient) performActions() {
	c.leaseHolder.SetTime(bootMillis())
	for {
		action, ok := c.leaseHolder.NextAction()
		if !ok {
			break
		}
		switch action.Kind {
		case ruleset.ActionAdopt:
			c.adopt(action.Effective)
		case ruleset.ActionRequestLease:
			c.request()
		case ruleset.ActionWake:
			c.wakeTimer.Reset(transport.Millis(action.WakeAtMillis - bootMillis()))
		}
	}
	if lease := c.lease.Load(); lease != nil {
		lease.Renew(millisToNanos(c.leaseHolder.ExpiresAtMillis()))
	}
}

// handleResponse passes a response on to the lease holder. One that can't be used is counted and changes
// nothing: the ruleset in force stays until its lease expires.
func (c *rulesetClient) handleResponse(response daemonResponse) {
	if response.legacy {
		c.legacyUntilMillis = bootMillis() + legacyRetryMillis
		c.gateway.log.Info().Msg("daemon is of an older version, requesting full rulesets")
	}
	switch {
	case response.corrupt:
		c.reject(response.err.Error())
		return
	case response.err != nil:
		c.unanswered.Add(1)
		return
	}
	c.leaseHolder.SetTime(bootMillis())
	lease, reason := &response.lease, ""
	if response.update != nil {
		reason = c.applyUpdate(response.update, lease)
		if reason == "" && lease.Version.Number == 0 { // deferred, and counted
			return
		}
	} else if lease.UnsupportedFeature == "" {
		reason = c.rejectionReason(&lease.Version.Rules)
	}
	if reason != "" {
		c.reject(reason)
		return
	}
	if lease.UnsupportedFeature == "" {
		if lease.Version.Number > c.newest.Number {
			c.newest = lease.Version
		}
	} else {
		c.reject("the ruleset in force needs the feature " + lease.UnsupportedFeature)
	}
	c.receiveLease(*lease, response.requestedAtMillis)
	c.highestDiscoveryIndex.Store(response.highestDiscoveryIndex)
	c.gateway.checkDiscoveryLag(response.highestDiscoveryIndex)
}

// receiveLease passes a lease on to the lease holder, and counts one that it does not accept.
func (c *rulesetClient) receiveLease(lease ruleset.Lease, requestedAtMillis float64) {
	before := c.leaseHolder.Counters()
	c.leaseHolder.ReceiveLease(lease, requestedAtMillis)
	if after := c.leaseHolder.Counters(); after.Invalid > before.Invalid {
		c.reject("invalid age")
	} else if after.Stale > before.Stale {
		c.unanswered.Add(1)
	}
}

// applyUpdate applies an update to the replica, and gives the replica's version as a lease. It gives the
// reason why that version can't be adopted, at each update that leaves it in force; empty where it can. A
// lease without a version number means that the daemon has deferred its answer.
func (c *rulesetClient) applyUpdate(update *distribution.Response, lease *ruleset.Lease) (reason string) {
	next, changed, err := c.replica.HandleResponse(update, bootMillis())
	counts := c.replica.Counts()
	c.replicaCounts.Store(&counts)
	switch {
	case errors.Is(err, distribution.ErrDeferred):
		c.unanswered.Add(1)
		return ""
	case err != nil:
		return err.Error()
	}
	if changed {
		if c.replicaRejection = ""; next.UnsupportedFeature == "" {
			c.replicaRejection = c.rejectionReason(&next.Version.Rules)
		}
	}
	*lease = next
	return c.replicaRejection
}

// rejectionReason tells why this gateway can't adopt rules; empty where it can. One that was a member and no
// longer is adopts them: nothing passes under its rate limits.
func (c *rulesetClient) rejectionReason(rules *ruleset.Rules) string {
	name, started := c.gateway.config.Name, c.gateway.config.Policy.GatewayIndex
	// A daemon below relays knows a part of the members, and sends that on either path.
	if err := ruleset.ValidateSubset(rules); err != nil {
		return err.Error()
	}
	switch index := ruleset.MemberIndex(rules, name); {
	case index >= 0 && index != started:
		return fmt.Sprintf("%s was started as member %d, and is member %d of the ruleset", name, started, index)
	case index < 0 && c.effective.Version == 0:
		return name + " is not among the members"
	}
	for _, member := range rules.Members {
		if _, err := netip.ParseAddrPort(member.Peers); member.Peers != "" && err != nil {
			return fmt.Sprintf("members.%s.peers: %v", member.Name, err)
		}
	}
	return ""
}

// reject counts a response that can't be used, and logs the reason once in rejectionLogIntervalMillis.
func (c *rulesetClient) reject(reason string) {
	c.rejected.Add(1)
	if now := time.Now(); now.Sub(c.rejectionLogged) > transport.Millis(rejectionLogIntervalMillis) {
		c.rejectionLogged = now
		c.gateway.log.Warn().Str("reason", reason).Int64("rejected", c.rejected.Load()).
			Msg("daemon's response rejected, the ruleset in force stays until its lease expires")
	}
}

// stats adds the stats of the ruleset. Mode is 0 without a lease, 1 in fallback, 2 leased.
func (c *rulesetClient) stats(add func(string, int64)) {
	lease, leftMillis := c.lease.Load(), int64(0)
	if expiry := lease.Expiry(); expiry < math.MaxInt64 {
		leftMillis = max(expiry-bootclock.Nanos(), 0) / 1e6
	}
	add("rules.version", int64(c.version.Load()))
	add("rules.mode", c.mode.Load())
	add("rules.left_ms", leftMillis)
	add("rules.refused", c.rejected.Load())
	add("rules.unanswered", c.unanswered.Load())
	add("rules.recalled", c.gateway.dispatcher.RevokedAttempts())
	traffic := c.updates.Traffic()
	add("rules.bytes_in", c.receivedBytes.Load()+traffic.ReceivedBytes)
	add("rules.bytes_out", c.sentBytes.Load()+traffic.SentBytes)
	add("rules.work_us", c.workNanos.Load()/1000)
	counts := c.replicaCounts.Load()
	if counts == nil {
		counts = &distribution.ReplicaCounts{}
	}
	add("rules.renewals", counts.Renewals)
	add("rules.deltas", counts.Deltas)
	add("rules.wholes", counts.FullStates)
	add("rules.busy", counts.Deferred)
	add("rules.spoilt", counts.BaseMismatches+counts.DigestMismatches+counts.Invalid)
	add("rules.spoilt.base", counts.BaseMismatches)
	add("rules.spoilt.digest", counts.DigestMismatches)
	add("discovery.index", c.gateway.discoveryIndex())
	add("discovery.index_highest", c.highestDiscoveryIndex.Load())
}
