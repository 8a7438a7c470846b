package scale

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/bootclock"
	"willowdeck/internal/distribution"
	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/gateway/lifecycle"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/ruleset"
)

// keepers are gatekeepers as far as rules reach them.
type keepers struct {
	h     *Hollow
	all   []*keeper
	tally Tally

	in, out, asks int64 // of clients below relays that have ended
}

// keeper is one: the holder, the question and the reading are the real ones, in the order in which
// lifecycle/ruleset_requests.go has them; what is adopted governs nothing.
type keeper struct {
	of     *keepers
	c      *HollowKeeper
	holder *ruleset.LeaseHolder
	client *fasthttp.Client
	// Below relays, where it asks for changes.
	changes *relay.Client
	copied  *distribution.Replica
	heard   ruleset.Version
	timer   *time.Timer
	answer  chan answered
	asks    bool
	again   bool
	over    chan struct{}
	ended   chan struct{}

	mu      sync.Mutex
	leased  bool
	version uint64
	taken   map[uint64]float64 // when it came to a version, leased: boot
	why     string

	late, silent, spoilt, bytes atomic.Int64
}

type answered struct {
	told   *distribution.Response // nil: the lease holds
	lease  ruleset.Lease
	asked  float64
	err    error
	spoilt bool
	bytes  int
}

// boot is the time by which leases run, the same for all processes of a machine, ms.
func boot() float64 { return float64(bootclock.Nanos()) / 1e6 }

const (
	keptTaken = 64 // versions whose times are kept
)

func newKeepers(h *Hollow) *keepers {
	x := &keepers{h: h}
	for i := range h.Keepers {
		x.all = append(x.all, &keeper{of: x, c: &h.Keepers[i]})
	}
	return x
}

func (x *keepers) begin() error {
	began := time.Now()
	for i := range x.all {
		if x.h.PerS > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(i) / x.h.PerS * float64(time.Second)))))
		}
		x.again(Order{From: i, To: i + 1})
	}
	return nil
}

// again starts those that do not run, by number.
func (x *keepers) again(o Order) {
	for _, k := range x.all[min(o.From, len(x.all)):min(o.To, len(x.all))] {
		if k.over == nil {
			k.start()
		}
	}
}

// end ends some, as if they were killed.
func (x *keepers) end(o Order) {
	part := x.all[min(o.From, len(x.all)):min(o.To, len(x.all))]
	for _, k := range part {
		if k.over != nil {
			close(k.over)
		}
	}
	for _, k := range part {
		if k.over != nil {
			<-k.ended
			k.client.CloseIdleConnections()
			if k.changes != nil {
				k.changes.Close()
				t := k.changes.Traffic()
				x.in, x.out, x.asks = x.in+t.ReceivedBytes, x.out+t.SentBytes, x.asks+t.Requests
				k.changes = nil
			}
			k.over = nil
		}
	}
}

func (x *keepers) close() { x.end(Order{To: len(x.all)}) }

func (x *keepers) report(o Order, r *Report) {
	r.In, r.Out, r.Messages = x.tally.In.Load()+x.in, x.tally.Out.Load()+x.out, x.tally.Messages.Load()+x.asks
	for _, k := range x.all {
		if k.over == nil {
			continue
		}
		r.Count++
		if k.changes != nil {
			t := k.changes.Traffic()
			r.In, r.Out, r.Messages = r.In+t.ReceivedBytes, r.Out+t.SentBytes, r.Messages+t.Requests
		}
		k.mu.Lock()
		if k.leased && k.version >= o.Version {
			r.Reached++
			if at, there := k.taken[o.Version]; there {
				r.At = append(r.At, at)
			}
		}
		if k.why != "" {
			r.Why = k.c.Name + ": " + k.why
		}
		r.Version = max(r.Version, k.version)
		k.mu.Unlock()
		r.Late, r.Silent, r.Spoilt = r.Late+k.late.Load(), r.Silent+k.silent.Load(), r.Spoilt+k.spoilt.Load()
		r.AnswerBytes = max(r.AnswerBytes, k.bytes.Load())
	}
	if o.Do != "reached" || r.Reached < r.Count {
		r.At = nil
	}
}

func (k *keeper) start() {
	k.holder = ruleset.NewLeaseHolder(k.c.Name, ruleset.Rules{Format: ruleset.SupportedFormat,
		Plans:   k.of.h.Plans,
		Members: []ruleset.Member{{Name: k.c.Name}}})
	k.client = &fasthttp.Client{MaxResponseBodySize: ruleset.MaxEncodedBytes, MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader: true, Dial: func(addr string) (net.Conn, error) {
			c, err := fasthttp.Dial(addr)
			if err != nil {
				return nil, err
			}
			return &counted{Conn: c, t: &k.of.tally}, nil
		}}
	if k.c.Changes {
		k.changes = relay.NewClient([]string{k.c.Host}, lifecycle.UpdatePath)
		k.copied = distribution.NewReplica(k.c.Name, k.c.Pid, int64(k.c.Pid))
	}
	k.heard, k.asks, k.again = ruleset.Version{}, false, false
	k.timer, k.answer = time.NewTimer(time.Hour), make(chan answered, 1)
	k.over, k.ended = make(chan struct{}), make(chan struct{})
	k.mu.Lock()
	k.leased, k.version, k.taken = false, 0, map[uint64]float64{}
	k.mu.Unlock()
	go k.run()
}

func (k *keeper) run() {
	defer close(k.ended)
	defer k.timer.Stop()
	k.turn()
	for {
		select {
		case <-k.timer.C:
		case got := <-k.answer:
			k.asks = false
			if k.hear(got); k.again {
				k.ask()
			}
		case <-k.over:
			if k.asks {
				<-k.answer
			}
			return
		}
		k.turn()
	}
}

func (k *keeper) turn() {
	k.holder.SetTime(boot())
	for {
		d, ok := k.holder.NextAction()
		if !ok {
			return
		}
		switch d.Kind {
		case ruleset.ActionAdopt:
			k.adopt(d.Effective)
		case ruleset.ActionRequestLease:
			k.ask()
		case ruleset.ActionWake:
			k.timer.Reset(transport.Millis(d.WakeAtMillis - boot()))
		}
	}
}

func (k *keeper) adopt(t ruleset.EffectiveRules) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leased, k.version = t.Mode == ruleset.ModeLeased, t.Version
	if _, there := k.taken[t.Version]; k.leased && !there {
		if len(k.taken) >= keptTaken {
			clear(k.taken)
		}
		k.taken[t.Version] = boot()
	}
}

func (k *keeper) ask() {
	if k.asks {
		k.again = true
		return
	}
	k.asks, k.again = true, false
	lease := k.heard.Rules.LeaseMillis
	if k.copied != nil {
		question := k.copied.NewRequest(boot(), k.holder.AckedStep(), -1)
		go func() { k.answer <- k.callFor(question, lifecycle.RequestTimeoutMillis(lease)) }()
		return
	}
	q := url.Values{"instance": {k.c.Name}, "pid": {strconv.Itoa(k.c.Pid)},
		"holds": {strconv.FormatUint(k.holder.AckedStep(), 10)}, "index": {"-1"}}
	at := "http://" + k.c.Host + lifecycle.LeasePath + "?" + q.Encode()
	go func() { k.answer <- k.call(at, lifecycle.RequestTimeoutMillis(lease)) }()
}

func (k *keeper) call(at string, within float64) (got answered) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(at)
	got.asked = boot()
	if got.err = k.client.DoTimeout(req, res, transport.Millis(within)); got.err != nil {
		got.spoilt = got.err == fasthttp.ErrBodyTooLarge
		return got
	}
	if s := res.StatusCode(); s != fasthttp.StatusOK {
		got.err = fmt.Errorf("status %d: %.100s", s, res.Body())
		return got
	}
	got.bytes = len(res.Body())
	got.lease, got.err = ruleset.DecodeLease(res.Body())
	got.spoilt = got.err != nil
	return got
}

func (k *keeper) says(why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.why = why
}

func (k *keeper) hear(got answered) {
	if got.spoilt {
		k.spoilt.Add(1)
		k.says(got.err.Error())
		return
	}
	if got.err != nil {
		k.silent.Add(1)
		k.says(got.err.Error())
		return
	}
	k.holder.SetTime(boot())
	if got.told != nil {
		var ok bool
		if got.lease, ok = k.replica(got.told); !ok {
			return
		}
	}
	r := &got.lease.Version.Rules
	k.bytes.Store(int64(got.bytes))
	why := ""
	if got.told == nil {
		why = k.misfit(r, ruleset.Validate)
	}
	if why != "" && !k.c.Trial {
		k.spoilt.Add(1)
		k.says(why)
		return
	}
	if got.lease.Version.Number > k.heard.Number {
		k.heard = got.lease.Version
	}
	before := k.holder.Counters()
	k.holder.ReceiveLease(got.lease, got.asked)
	if c := k.holder.Counters(); c.Stale > before.Stale {
		k.late.Add(1)
	}
}

// misfit does what a gatekeeper does with each answer.
func (k *keeper) misfit(r *ruleset.Rules, check func(*ruleset.Rules) error) string {
	if err := check(r); err != nil {
		return err.Error()
	}
	if ruleset.MemberIndex(r, k.c.Name) < 0 {
		return k.c.Name + " is not among the members"
	}
	for _, m := range r.Members {
		if _, err := netip.ParseAddrPort(m.Peers); m.Peers != "" && err != nil {
			return fmt.Sprintf("members.%s.peers: %v", m.Name, err)
		}
	}
	return ""
}

// median gives the middle of some values, 0 where there is none.
func median(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	all = slices.Clone(all)
	slices.Sort(all)
	return all[len(all)/2]
}
