// Package proxy carries each txn from its arrival to its final answer. The module makes every choice; the
// desk
// owns it, and the txns' functions call it there.
package proxy

import (
	"errors"

	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
	"willowdeck/internal/txnjournal"
)

// Gate is one gatekeeper at work.
type Gate struct {
	desk  *Desk
	links *transport.Links
	jobs  chan job
	notes *notes // nil where no txn is written down
}

// errGone tells that an answer came when its txn had its final one.
var errGone = errors.New("the txn has its answer")

// job is one submission to carry.
type job struct {
	txn    *inflight.Request
	word   inflight.Command
	msg    []byte
	told   int               // the place in it of the time that is left; 0 where it tells none
	upload *transport.Upload // what follows on it, or nil
	note   *mention          // where it is written down, else nil
	left   float64           // ms that the client waits from then on
	mark   string            // of the txn, where submissions are recorded
	serial uint64            // and how many went to the same worker before
}

// New makes a gate over a desk and connections to workers.
func New(d *Desk, links *transport.Links) *Gate {
	return &Gate{desk: d, links: links, jobs: make(chan job)}
}

// Serve is a txn's life: it is taken, submitted where the module says and as often, and answered once.
func (g *Gate) Serve(t *transport.Txn) transport.Final {
	n := g.note(t)
	if end, known := g.remembered(t, n); known {
		return end
	}
	return g.carry(g.desk.take(t), t, n)
}

// Hold is a txn that is cleared ahead of its coming: its units are kept for it.
type Hold struct{ txn *inflight.Request }

// Over gives a word when a clearance ends unasked: it has lapsed, or the client has left.
func (h *Hold) Over() <-chan inflight.Command { return h.txn.Commands }

// Now is the time by which clearances are reckoned, Unix ms.
func (g *Gate) Now() float64 { return g.desk.Now() }

// Clear asks the module whether a txn may come within so many ms. If not there is no hold, and the final
// answer is the module's.
func (g *Gate) Clear(t *transport.Txn, life float64) (*Hold, transport.Final) {
	h, may := g.desk.clear(t, life)
	if !may {
		d := (<-h.Commands).Decision
		return nil, transport.Final{Kind: d.Kind, Wait: d.Wait}
	}
	return &Hold{h}, transport.Final{}
}

// Cleared takes over a clearance that another process has given, for so many ms more.
func (g *Gate) Cleared(a policy.Arrival, life float64) *Hold { return &Hold{g.desk.cleared(a, life)} }

// Claim is the life of a cleared txn from its coming on. It is false where the clearance is no more: then
// nothing has become of it.
func (g *Gate) Claim(h *Hold, t *transport.Txn) (transport.Final, bool) {
	n := g.note(t)
	if end, known := g.remembered(t, n); known {
		g.Release(h)
		return end, true
	}
	if !g.desk.claim(h.txn, t) {
		return transport.Final{}, false
	}
	return g.carry(h.txn, t, n), true
}

// Release gives a cleared txn up: it will not come.
func (g *Gate) Release(h *Hold) { g.desk.release(h.txn) }

// carry carries a txn that is the module's to its final answer.
func (g *Gate) carry(h *inflight.Request, t *transport.Txn, n *txnjournal.Txn) transport.Final {
	if t.Upload != nil {
		defer t.Upload.Settle()
	}
	var sent []string // workers, where submissions are recorded
	for w := range h.Commands {
		if w.Answer != nil {
			return transport.Final{Kind: policy.Submit, Answer: w.Answer}
		}
		d := w.Decision
		if d.Kind != policy.Submit {
			return transport.Final{Kind: d.Kind, Wait: d.Wait}
		}
		// What passes on is copied here: the txn's own bytes end with this function, which a submission that may
		// not be withdrawn outlives.
		rules := int64(transport.Ruleless)
		if v := w.Lease.Version(); v > 0 {
			rules = int64(v)
		}
		j := job{txn: h, word: w, upload: t.Upload, note: g.mention(n, d.N), left: t.Left}
		j.msg, j.told = transport.AppendSubmission(nil, t, rules)
		if g.desk.record != nil {
			j.mark = string(t.Mark)
			for _, name := range sent {
				if name == w.Upstream.Name() {
					j.serial++
				}
			}
			sent = append(sent, w.Upstream.Name())
		}
		if t.Sent = true; t.Upload != nil {
			t.Upload.Begin()
		}
		select {
		case g.jobs <- j:
		default:
			go g.work(j)
		}
	}
	return transport.Final{Kind: policy.Void}
}

// work carries one submission after another. There come to be as many that do as submissions were ever out at
// once; each keeps the stack that its first one grew.
func (g *Gate) work(j job) {
	for {
		g.submit(j)
		j = <-g.jobs
	}
}

// submit carries one submission to its worker and its end to the desk.
func (g *Gate) submit(j job) {
	d := &j.word.Decision
	a, l, began := g.exchange(j, g.desk.clock.time(d.At))
	if j.upload != nil {
		j.upload.End()
	}
	if a == nil {
		g.noted(&j, &transport.Answer{Outcome: policy.NotSent})
		g.desk.record.back(&j, policy.NotSent)
		g.desk.recall(j.txn, d.N)
		return
	}
	took := g.desk.clock.now() - began
	if l != nil { // the answer is the client's from here on, and its rest goes through the client's function
		passed := make(chan error, 1)
		a.Then(func(err error) { passed <- err })
		var err error = errGone
		if g.desk.begun(j.txn, d.N, a) {
			err = <-passed
		}
		if err != nil || !a.Keep() || !g.links.Keep(l, &j.word.Upstream) {
			g.links.Drop(l)
		}
		if errors.Is(err, transport.ErrBrokenOff) {
			a.Outcome = policy.Cut
		}
	}
	g.noted(&j, a)
	g.desk.record.back(&j, a.Outcome)
	g.desk.ended(j.txn, d.N, d.Worker, a, took)
}
