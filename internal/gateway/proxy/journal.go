package proxy

import (
	"hash/crc32"
	"sync/atomic"
	"time"

	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
	"willowdeck/internal/txnjournal"
	"willowdeck/internal/txnjournal/store"
)

// readPart is the part of a txn's time for which it waits for a journal that is still being read, at a start
// alone. A worker needs the rest.
const readPart = 0.5

// notes is where once-only txns are written down before they go out.
type notes struct {
	*store.Keeper
	names []string      // of products
	once  []bool        // by product
	keeps int           // bytes of an answer, at most
	subs  atomic.Uint64 // submissions named so far
}

// Journal has once-only txns written down from here on. It is to be called before the first txn, if at all.
// Names are the products', by their places.
func (g *Gate) Journal(k *store.Keeper, t txnjournal.Terms, products []policy.Product, names []string) {
	l := &notes{Keeper: k, names: names, keeps: t.Answer}
	for _, p := range products {
		l.once = append(l.once, p.Repeat == policy.OnceOnly)
	}
	g.notes = l
}

// note is a txn as the journal names it; nil where it is not written down. What it names is copied: the txn's
// own bytes end before a submission that may not be withdrawn.
func (g *Gate) note(t *transport.Txn) *txnjournal.Txn {
	if g.notes == nil || !g.notes.once[t.Product] {
		return nil
	}
	sum := crc32.NewIEEE()
	_, _ = sum.Write(t.Target)
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write(t.Body)
	return &txnjournal.Txn{Customer: t.Customer, Mark: string(t.Mark), Product: g.notes.names[t.Product],
		Digest: sum.Sum32()}
}

// mention is a submission as the journal names it.
type mention struct {
	txnjournal.Txn
	sub txnjournal.Sub
}

// mention names a submission of a txn apart from all others of this life: one that was called back is sent
// under the same number again.
func (g *Gate) mention(t *txnjournal.Txn, n int) *mention {
	if t == nil {
		return nil
	}
	return &mention{*t, txnjournal.Sub{Number: g.notes.subs.Add(1), N: n}}
}

// remembered answers a txn that is known to have gone out before, and is not submitted again: with its own
// answer where that is kept, else nothing is promised. Nor is anything where the journal can't say: a decline
// would tell that it never ran.
func (g *Gate) remembered(t *transport.Txn, n *txnjournal.Txn) (end transport.Final, known bool) {
	if n == nil {
		return end, false
	}
	asked := g.desk.clock.now()
	e, v, ok := g.notes.Known(n.Customer, n.Mark, transport.Millis(t.Left*readPart))
	if !t.Streams {
		t.Left = max(t.Left-(g.desk.clock.now()-asked), 0)
	}
	a := e.Answer
	switch {
	case ok && v == txnjournal.NotSent:
		return end, false
	case ok && v == txnjournal.SentSettled && a.Whole && e.Digest == n.Digest && e.Product == n.Product:
		return transport.Final{Kind: policy.Submit, Answer: &transport.Answer{Outcome: policy.Settled, Type: a.Type,
			Coding: a.Coding, Body: a.Body, Length: len(a.Body)}}, true
	}
	return transport.Final{Kind: policy.Void}, true
}

// meant tells whether a submission may go out: it does not have to be written down, or now is. The wait for
// that is not its worker's.
func (g *Gate) meant(j *job, until time.Time, began *float64) bool {
	if j.note == nil {
		return true
	}
	defer func() { *began = g.desk.clock.now() }()
	var expiry float64
	if !until.IsZero() {
		expiry = float64(until.UnixMicro()) / 1000
	}
	return g.notes.Meant(j.note.Txn, j.note.sub, j.word.Upstream.Name(), expiry, until)
}

// noted writes down how a submission ended. It waits for nothing.
func (g *Gate) noted(j *job, a *transport.Answer) {
	if j.note == nil {
		return
	}
	end, kept := txnjournal.MayRun, txnjournal.Answer{}
	switch a.Outcome {
	case policy.Settled:
		if end = txnjournal.Settled; a.Rest == nil && len(a.Body) <= g.notes.keeps {
			kept = txnjournal.Answer{Type: a.Type, Coding: a.Coding, Body: append([]byte(nil), a.Body...), Whole: true}
		}
	case policy.NotSent, policy.NoRoute, policy.Full:
		end = txnjournal.Never
	}
	g.notes.Ended(j.note.Txn, j.note.sub, j.word.Upstream.Name(), end, kept)
}
