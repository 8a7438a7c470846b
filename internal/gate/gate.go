// Package gate carries each txn from its arrival to its final answer. The module makes every choice; the desk
// owns it, and the txns' functions call it there.
package gate

import (
	"willowdeck/internal/held"
	"willowdeck/internal/wire"
	"willowdeck/logic"
)

// Gate is one gatekeeper at work.
type Gate struct {
	desk  *Desk
	links *wire.Links
	jobs  chan job
}

// job is one submission to carry.
type job struct {
	txn  *held.Txn
	word held.Word
	msg  []byte
}

// New makes a gate over a desk and connections to workers.
func New(d *Desk, links *wire.Links) *Gate { return &Gate{desk: d, links: links, jobs: make(chan job)} }

// Serve is a txn's life: it is taken, submitted where the module says and as often, and answered once.
func (g *Gate) Serve(t *wire.Txn) wire.Final {
	h := g.desk.take(t)
	for w := range h.Box {
		if w.Answer != nil {
			return wire.Final{Kind: logic.Submit, Answer: w.Answer}
		}
		d := w.Decision
		if d.Kind != logic.Submit {
			return wire.Final{Kind: d.Kind, Wait: d.Wait}
		}
		// What passes on is copied here: the txn's own bytes end with this function, which a submission that may
		// not be withdrawn outlives.
		j := job{h, w, wire.AppendSubmission(nil, t, d.Wait)}
		select {
		case g.jobs <- j:
		default:
			go g.work(j)
		}
	}
	return wire.Final{Kind: logic.Void}
}

// work carries one submission after another. There come to be as many that do as submissions were ever out at
// once; each keeps the stack that its first one grew.
func (g *Gate) work(j job) {
	for {
		g.submit(j.txn, j.word, j.msg)
		j = <-g.jobs
	}
}

// submit carries one submission to its worker and its end to the desk.
func (g *Gate) submit(h *held.Txn, w held.Word, msg []byte) {
	began := g.desk.clock.now()
	a := g.exchange(w.Sub, w.To, g.desk.clock.time(began+w.Decision.Wait), msg)
	g.desk.ended(h, w.Decision.N, w.Decision.Worker, a, g.desk.clock.now()-began)
}
