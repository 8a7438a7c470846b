package scale

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand"
	"slices"

	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/transport/gossip"
	"willowdeck/internal/policy"
)

const (
	wordsSLA   = 500.0 // ms
	answerMS   = 20.0  // of a worker
	peerMS     = 0.5   // that a datagram is under way
	wordHead   = 9     // bytes of a word ahead of a message, as transport.Peers writes it
	wordsBurst = 2.0   // s of a customer's quota at once
	wordsFleet = 8     // workers, any few
)

// event is something due in a play of words.
type event struct {
	at  float64
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// words plays a stretch of the ring: gatekeepers in a row, each with the whole module, of a fleet of a size.
// Messages are encoded and read as on the wire; time is the modules' own, so that hours cost seconds.
type words struct {
	s     *Scenario
	n     int
	now   float64
	seq   int
	due   events
	all   []*speaker
	rng   *rand.Rand
	next  uint64 // txn
	where int    // place of the first in the ring
}

type speaker struct {
	w     *words
	place int
	gk    *policy.Engine
	wake  float64
	told  []float64 // times at which a round of words began
	in    int       // messages
	bytes int
	peers map[int]bool // that spoke to it
}

// day is when a play begins, Unix ms: the module reckons with such times.
const day = 1.8e12

func newWords(s *Scenario, n int) *words {
	w := &words{s: s, n: n, now: day, rng: rand.New(rand.NewSource(s.Seed)), where: n / 3}
	spread := min(s.Words.Spread, n)
	row := min(4*spread, n)
	if row == n {
		w.where = 0
	}
	rate := s.Words.RequestsPerS / float64(s.Words.Customers) // a customer asks for all of its quota: it is hot
	var list []policy.Endpoint
	for i := range wordsFleet {
		list = append(list, policy.Endpoint{Worker: i, Active: true, SizeRating: 1, Replaced: true})
	}
	for i := range row {
		place := (w.where + i) % n
		c := policy.Settings{GatewayIndex: place, GatewayCount: n, MaxRequestUnits: 1, MaxAttempts: 3,
			AllowCancel:     true,
			AllowRetryAfter: true, MaxRetryAfterMillis: 10000, AllowGossip: true,
			PeerMessagesPerSecond: s.Words.TakesPerS,
			ReportsPerMessage:     transport.MaxReportsPerMessage, TotalWeight: 1,
			Products: []policy.Product{{LatencyTargetMillis: wordsSLA, Value: 1}},
			Plans:    []policy.Plan{{QuotaPerSecond: rate, QuotaBurst: rate * wordsBurst, ValueFactor: 1}}}
		x := &speaker{w: w, place: place, gk: policy.New(c, s.Seed+int64(place)), peers: map[int]bool{}}
		w.all = append(w.all, x)
		x.input(func() { x.gk.UpdateEndpoints(list, false) })
	}
	return w
}

func (w *words) in(after float64, do func()) { w.on(w.now+after, do) }

// on has something done at a time, exactly: a wake that came a little early would be asked for again, without
// end.
func (w *words) on(at float64, do func()) {
	w.seq++
	heap.Push(&w.due, event{max(at, w.now), w.seq, do})
}

// at gives who plays a place; nil where nobody does.
func (w *words) at(place int) *speaker {
	if i := (place - w.where + w.n) % w.n; i < len(w.all) {
		return w.all[i]
	}
	return nil
}

// input tells the module something and carries out what follows.
func (x *speaker) input(tell func()) {
	x.gk.AdvanceTo(x.w.now)
	tell()
	for {
		d, ok := x.gk.NextDecision()
		if !ok {
			return
		}
		switch d.Kind {
		case policy.Submit:
			txn, n := d.RequestID, d.Attempt
			x.w.in(answerMS, func() {
				x.input(func() {
					x.gk.AttemptEnded(txn, n, policy.Succeeded, answerMS,
						false)
				})
			})
		case policy.SetTimer:
			if at := d.AtMillis; x.wake <= x.w.now || at < x.wake {
				x.wake = at
				x.w.on(at, func() { x.input(func() {}) })
			}
		case policy.SendReports:
			x.tell(d)
		}
	}
}

func (x *speaker) tell(d policy.Decision) {
	if n := len(x.told); n == 0 || x.told[n-1] < x.w.now {
		x.told = append(x.told, x.w.now)
	}
	b, to, from := gossip.Append(nil, d.Reports), x.w.at(d.Peer), x.place
	if to == nil {
		return
	}
	x.w.in(peerMS, func() {
		reports, err := gossip.Decode(nil, b)
		if err != nil {
			return
		}
		to.in, to.bytes = to.in+1, to.bytes+len(b)+wordHead
		to.peers[from] = true
		to.input(func() { to.gk.ReceiveReports(from, reports) })
	})
}

// ask sends a txn of a customer through one of its gatekeepers, and the next one after it.
func (w *words) ask(spread int) {
	first := w.rng.Intn(max(len(w.all)-spread, 0) + 1)
	place := (w.where + first) % w.n
	customer := uint64(place*w.s.Words.Customers + w.rng.Intn(w.s.Words.Customers))
	x := w.at((place + w.rng.Intn(spread)) % w.n)
	w.next++
	a := policy.Request{ID: w.next, Customer: customer, Units: 1, SetSize: spread, FirstGateway: place,
		TimeLeftMillis: wordsSLA}
	x.input(func() { x.gk.AddRequest(a) })
	w.in(w.rng.ExpFloat64()*1000/(w.s.Words.RequestsPerS*float64(len(w.all))), func() { w.ask(spread) })
}

// play goes on until one in the middle has spoken so many times.
func (w *words) play(ctx context.Context) (*speaker, float64, error) {
	middle := w.all[len(w.all)/2]
	w.in(0, func() { w.ask(min(w.s.Words.Spread, w.n)) })
	for k := 0; len(middle.told) <= w.s.Words.Periods; k++ {
		if k%1024 == 0 && ctx.Err() != nil {
			return nil, 0, fmt.Errorf("after %.0f s of the module's time: %w", (w.now-day)/1000, ctx.Err())
		}
		e := heap.Pop(&w.due).(event)
		w.now = max(w.now, e.at)
		e.do()
	}
	return middle, (w.now - day) / 1000, nil
}

// wordsPart measures peers' words at a size.
func wordsPart(ctx context.Context, s *Scenario, t *Table, n int) error {
	if n < 2 {
		return nil
	}
	x, seconds, err := newWords(s, n).play(ctx)
	if err != nil {
		return err
	}
	var gaps []float64
	for i := 1; i < len(x.told); i++ {
		gaps = append(gaps, x.told[i]-x.told[i-1])
	}
	slices.Sort(gaps)
	t.add(keeperRole, "words_period", median(gaps))
	t.add(keeperRole, "words_in_per_s", float64(x.in)/seconds)
	t.add(keeperRole, "words_bytes_per_s", float64(x.bytes)/seconds)
	t.add(keeperRole, "words_peers", float64(len(x.peers)))
	return nil
}
