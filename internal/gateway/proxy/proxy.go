package proxy

import (
	"errors"

	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
	"willowdeck/internal/txnjournal"
)

// Proxy serves requests: it has the dispatcher decide on each, and carries the attempts to workers.
type Proxy struct {
	dispatcher *Dispatcher
	links      *transport.WorkerPool
	deliveries chan delivery
	journal    *requestJournal // nil where no request is journaled
}

// errAlreadyAnswered is the end of an answer whose request had its final one.
var errAlreadyAnswered = errors.New("the request has its final answer")

// delivery is one attempt to be carried to a worker.
type delivery struct {
	request        *inflight.Request
	command        inflight.Command
	message        []byte
	deadlineOffset int               // offset in message of the time that is left; 0 where it has none
	upload         *transport.Upload // the body that follows on message, or nil
	entry          *journalAttempt   // nil where the attempt is not journaled
	clientMillis   float64           // how long the client waits once the body has been sent
	requestMark    string            // the request's mark, where history is recorded
	ordinal        uint64            // earlier attempts at the same worker, where history is recorded
}

// New makes a proxy over a dispatcher and the connections to workers.
func New(d *Dispatcher, links *transport.WorkerPool) *Proxy {
	return &Proxy{dispatcher: d, links: links, deliveries: make(chan delivery)}
}

// Now is the time by which reservations expire, Unix ms.
func (p *Proxy) Now() float64 { return p.dispatcher.Now() }

// Serve serves a request until its final answer.
func (p *Proxy) Serve(t *transport.Request) transport.FinalAnswer {
	entry := p.journalEntry(t)
	if final, known := p.answerFromJournal(t, entry); known {
		return final
	}
	return p.serve(p.dispatcher.admit(t), t, entry)
}

// serve executes the commands for a request that the policy has, until the final answer.
func (p *Proxy) serve(r *inflight.Request, t *transport.Request,
	entry *txnjournal.Txn) transport.FinalAnswer {
	if t.Upload != nil {
		defer t.Upload.StopAndWait()
	}
	var workersTried []string // by attempt, where history is recorded
	for c := range r.Commands {
		if c.Answer != nil {
			return transport.FinalAnswer{Kind: policy.Submit, Answer: c.Answer}
		}
		d := c.Decision
		if d.Kind != policy.Submit {
			return transport.FinalAnswer{Kind: d.Kind, RetryAfterMillis: d.WaitMillis}
		}
		// The message is a copy: the request's own bytes end with this function, and an attempt that may not be
		// cancelled outlives it.
		version := int64(transport.NoRuleset)
		if v := c.Lease.Version(); v > 0 {
			version = int64(v)
		}
		v := delivery{request: r, command: c, upload: t.Upload, entry: p.newJournalAttempt(entry, d.Attempt),
			clientMillis: t.TimeLeftMillis}
		v.message, v.deadlineOffset = transport.AppendAttempt(nil, t, version)
		if p.dispatcher.history != nil {
			v.requestMark = string(t.RequestID)
			for _, name := range workersTried {
				if name == c.Upstream.Name() {
					v.ordinal++
				}
			}
			workersTried = append(workersTried, c.Upstream.Name())
		}
		if t.MaybeSent = true; t.Upload != nil {
			t.Upload.AddReader()
		}
		select {
		case p.deliveries <- v:
		default:
			go p.deliverLoop(v)
		}
	}
	return transport.FinalAnswer{Kind: policy.RejectUncertain}
}

// deliverLoop carries one attempt after another. There are as many of these goroutines as attempts were
// ever in flight at once; each keeps the stack that its first attempt grew.
func (p *Proxy) deliverLoop(v delivery) {
	for {
		p.deliver(v)
		v = <-p.deliveries
	}
}

// deliver carries an attempt to its worker, and tells the dispatcher how it ended.
func (p *Proxy) deliver(v delivery) {
	d := &v.command.Decision
	answer, link, startedMillis := p.exchange(v, p.dispatcher.clock.time(d.AtMillis))
	if v.upload != nil {
		v.upload.RemoveReader()
	}
	if answer == nil {
		p.journalEnd(&v, &transport.Answer{Outcome: policy.NotSent})
		p.dispatcher.history.attemptEnded(&v, policy.NotSent)
		p.dispatcher.attemptRevoked(v.request, d.Attempt)
		return
	}
	tookMillis := p.dispatcher.clock.now() - startedMillis
	if link != nil {
		p.passOn(&v, answer, link)
	}
	p.journalEnd(&v, answer)
	p.dispatcher.history.attemptEnded(&v, answer.Outcome)
	p.dispatcher.attemptEnded(v.request, d.Attempt, d.Worker, answer, tookMillis)
}

// passOn hands an answer whose body is still being read to the request's goroutine, and waits until that has
// streamed it to the client.
func (p *Proxy) passOn(v *delivery, answer *transport.Answer, link *transport.WorkerConn) {
	passed := make(chan error, 1)
	answer.OnForwarded(func(err error) { passed <- err })
	err := errAlreadyAnswered
	if p.dispatcher.answerStarted(v.request, v.command.Decision.Attempt, answer) {
		err = <-passed
	}
	if err != nil || !answer.Reusable() || !p.links.Put(link, &v.command.Upstream) {
		p.links.Discard(link)
	}
	if errors.Is(err, transport.ErrTruncated) {
		answer.Outcome = policy.ConnectionLost
	}
}
