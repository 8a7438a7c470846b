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

// journalReadShare is the share of a request's time for which it waits for a journal that is still being
// read, which happens after a start only. The worker needs the rest.
const journalReadShare = 0.5

// requestJournal keeps a durable record of non-idempotent requests, written before an attempt is sent.
type requestJournal struct {
	*store.Journal
	productNames   []string
	nonIdempotent  []bool        // by product
	maxAnswerBytes int           // of an answer that is kept
	lastAttempt    atomic.Uint64 // number of the last attempt
}

// EnableJournal has non-idempotent requests journaled from here on. It is to be called before the first
// request, if at all. Names are the products', by index.
func (p *Proxy) EnableJournal(k *store.Journal, t txnjournal.Config, products []policy.Product,
	names []string) {
	j := &requestJournal{Journal: k, productNames: names, maxAnswerBytes: t.MaxResponseBytes}
	for _, product := range products {
		j.nonIdempotent = append(j.nonIdempotent, product.Idempotency == policy.NonIdempotent)
	}
	p.journal = j
}

// journalEntry is a request as the journal names it; nil where it is not journaled. It is a copy: the
// request's own bytes end before an attempt that may not be cancelled.
func (p *Proxy) journalEntry(t *transport.Request) *txnjournal.Txn {
	if p.journal == nil || !p.journal.nonIdempotent[t.Product] {
		return nil
	}
	sum := crc32.NewIEEE()
	_, _ = sum.Write(t.Target)
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write(t.Body)
	return &txnjournal.Txn{Customer: t.Customer, RequestID: string(t.RequestID),
		Product: p.journal.productNames[t.Product], Digest: sum.Sum32()}
}

// journalAttempt is an attempt as the journal names it.
type journalAttempt struct {
	txnjournal.Txn
	number txnjournal.AttemptID
}

// newJournalAttempt names attempt n of a request, apart from all others of this process: an attempt that was
// revoked is sent under the same n again.
func (p *Proxy) newJournalAttempt(entry *txnjournal.Txn, n int) *journalAttempt {
	if entry == nil {
		return nil
	}
	return &journalAttempt{*entry, txnjournal.AttemptID{Sequence: p.journal.lastAttempt.Add(1), Ordinal: n}}
}

// answerFromJournal answers a request that was sent before, which is not sent again: with its own answer
// where that is kept, else with one that promises nothing. So it does where the journal can't be read: a
// rejection would tell that the request never ran.
func (p *Proxy) answerFromJournal(t *transport.Request, entry *txnjournal.Txn) (final transport.FinalAnswer,
	known bool) {
	if entry == nil {
		return final, false
	}
	askedMillis := p.dispatcher.clock.now()
	found, state, ok := p.journal.Lookup(
		entry.Customer,
		entry.RequestID,
		transport.Millis(t.TimeLeftMillis*journalReadShare),
	)
	if !t.StreamsBody {
		t.TimeLeftMillis = max(t.TimeLeftMillis-(p.dispatcher.clock.now()-askedMillis), 0)
	}
	a := found.Response
	switch {
	case ok && state == txnjournal.NotSent:
		return final, false
	case ok && state == txnjournal.SentCompleted && a.Stored && found.Digest == entry.Digest &&
		found.Product == entry.Product:
		return transport.FinalAnswer{Kind: policy.Submit, Answer: &transport.Answer{Outcome: policy.Succeeded,
			ContentType: a.ContentType, ContentEncoding: a.ContentEncoding, Body: a.Body,
			Length: len(a.Body)}}, true
	}
	return transport.FinalAnswer{Kind: policy.RejectUncertain}, true
}

// journalStart tells whether an attempt may be sent: it is not journaled, or its start now is. The wait for
// that does not count as its worker's, so startedMillis is set anew.
func (p *Proxy) journalStart(v *delivery, deadline time.Time, startedMillis *float64) bool {
	if v.entry == nil {
		return true
	}
	defer func() { *startedMillis = p.dispatcher.clock.now() }()
	var expiryMillis float64
	if !deadline.IsZero() {
		expiryMillis = float64(deadline.UnixMicro()) / 1000
	}
	return p.journal.RecordIntent(v.entry.Txn, v.entry.number, v.command.Upstream.Name(), expiryMillis, deadline)
}

// journalEnd journals how an attempt ended. It does not wait for the disk.
func (p *Proxy) journalEnd(v *delivery, a *transport.Answer) {
	if v.entry == nil {
		return
	}
	end, kept := txnjournal.OutcomeUnknown, txnjournal.Response{}
	switch a.Outcome {
	case policy.Succeeded:
		if end = txnjournal.OutcomeCompleted; a.Remainder == nil && len(a.Body) <= p.journal.maxAnswerBytes {
			kept = txnjournal.Response{ContentType: a.ContentType, ContentEncoding: a.ContentEncoding,
				Body: append([]byte(nil), a.Body...), Stored: true}
		}
	case policy.NotSent, policy.ConnectFailed, policy.Overloaded:
		end = txnjournal.OutcomeNotExecuted
	}
	p.journal.RecordOutcome(v.entry.Txn, v.entry.number, v.command.Upstream.Name(), end, kept)
}
