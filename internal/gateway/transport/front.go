package transport

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/policy"
)

// Final is a txn's final answer. Answer is the worker's, where it is settled.
type Final struct {
	Kind    policy.DecisionKind // Submit where it is settled, else Reject or RejectUncertain
	Wait    float64             // Reject: when to return, ms; 0 says nothing
	Answer  *Answer
	Refusal *Refusal // of RejectUncertain: it was not let to the module, or not again
}

// Refusal is a no that has nothing to do with quota, workers or time.
type Refusal struct {
	Status  int
	Headers [][2]string
	Says    string
}

// Front takes clients' connections and hands each txn to serve, which returns its final answer.
type Front struct {
	// Nameless has txns taken that don't say whose they are. To be set before Serve.
	Nameless bool

	names   config.Names
	charter atomic.Pointer[policy.Settings]
	serve   func(*Txn) Final
	ready   func() bool
	turns   sync.Pool
	open    sync.WaitGroup // connections
	closing atomic.Bool
	heir    atomic.Pointer[Heir]
	broken  atomic.Int64
	active  atomic.Int64
	finals  [][3]atomic.Int64 // by product: settled, declined, voided
	marks   marks
}

// NewFront makes a front that is up, by its own word, while ready says so.
func NewFront(names config.Names, charter policy.Settings, serve func(*Txn) Final, ready func() bool) *Front {
	f := &Front{names: names, serve: serve, ready: ready,
		marks: marks{open: map[string]*mark{}}, finals: make([][3]atomic.Int64, len(charter.Products))}
	f.charter.Store(&charter)
	f.turns.New = func() any { return &turn{in: bufio.NewReader(nil)} }
	return f
}

// Resize tells how many gatekeepers there are from now on.
func (f *Front) Resize(n int) {
	c := *f.charter.Load()
	c.GatewayCount = n
	f.charter.Store(&c)
}

// Silent drops a server's own log: what callers break is counted instead.
type Silent struct{}

// Printf says nothing.
func (Silent) Printf(string, ...any) {}

// Serve answers clients until the listener ends.
func (f *Front) Serve(l *Limited) error {
	f.open.Add(1)
	defer f.open.Done()
	for {
		p, err := l.next()
		if err != nil {
			if l.Closed() {
				return nil
			}
			return fmt.Errorf("front: %w", err)
		}
		f.open.Add(1)
		go f.talk(p)
	}
}

// Heir takes a connection over, with what has been read of it and not taken up, and tells whether it has.
type Heir func(c syscall.RawConn, proven bool, ahead []byte) bool

// HandOn gives every connection of the listener to an heir as soon as no txn of it is in hand.
func (f *Front) HandOn(l *Limited, to Heir) {
	f.heir.Store(&to)
	l.rouse()
}

// handOn gives a connection to the heir, if there is one.
func (f *Front) handOn(p *placed, t *turn) bool {
	heir := f.heir.Load()
	if heir == nil {
		return false
	}
	was := p.state.Load()
	if was == ended || !p.state.CompareAndSwap(was, taken) { // none may end it here once it is the heir's
		return false
	}
	ahead, _ := t.in.Peek(t.in.Buffered())
	if raw, err := p.raw(); err == nil && (*heir)(raw, p.proven, ahead) {
		return true
	}
	p.state.Store(was)
	f.closing.Store(true) // there is none after all: it goes on here until its next answer
	return false
}

// Adopt goes on with a connection that another process has handed on.
func (f *Front) Adopt(l *Limited, c net.Conn, proven bool, ahead []byte) {
	p := l.admit(c)
	p.proven, p.ahead = proven, ahead
	p.rest(len(ahead) > 0)
	f.open.Add(1)
	go f.talk(p)
}

// Closing tells whether Close has been called.
func (f *Front) Closing() bool { return f.closing.Load() }

// Close lets connections end with their next answer.
func (f *Front) Close() { f.closing.Store(true) }

// Wait waits until every connection has ended.
func (f *Front) Wait() { f.open.Wait() }

// Broken tells how many messages of clients could not be read.
func (f *Front) Broken() int64 { return f.broken.Load() }

// Active tells how many txns are taken and not answered.
func (f *Front) Active() int64 { return f.active.Load() }

// Finals tells how many txns of a product were settled, declined and voided.
func (f *Front) Finals(product int) (settled, declined, voided int64) {
	n := &f.finals[product]
	return n[0].Load(), n[1].Load(), n[2].Load()
}

// talk answers one connection's requests, one after another.
func (f *Front) talk(p *placed) {
	defer f.open.Done()
	t := f.turns.Get().(*turn)
	t.in.Reset(p)
	for {
		if f.handOn(p, t) {
			break // to be closed and no more: the heir's connection must not end
		}
		if !f.once(p, t) {
			p.part()
			break
		}
		p.rest(t.in.Buffered() > 0)
		if f.closing.Load() {
			p.end(idle) // guards against one that stays behind an answer that had begun before the end
		}
	}
	_ = p.Close()
	t.in.Reset(nil)
	t.req.Reset()
	f.turns.Put(t)
}

// once reads a request and answers it, and tells whether the connection goes on.
func (f *Front) once(p *placed, t *turn) bool {
	if p.over() {
		return false
	}
	t.req.Reset()
	t.res.Reset()
	t.closes = false
	first := p.state.Load() == fresh
	wait := policy.ClientIdleTimeoutMillis
	if first {
		wait = policy.RequestHeadTimeoutMillis
	}
	p.await(time.Now().Add(Millis(wait)))
	if _, err := t.in.Peek(1); err != nil {
		if late(err) && f.heir.Load() != nil {
			return true
		}
		if first && late(err) {
			return f.unreadable(p, t, err)
		}
		return late(err) && !p.end(idle) // something has come in that moment
	}
	if !first {
		p.await(time.Now().Add(Millis(policy.RequestHeadTimeoutMillis)))
	}
	h := &t.req.Header
	if err := h.Read(t.in); err != nil {
		return late(err) && f.heir.Load() != nil || f.unreadable(p, t, err)
	}
	if string(h.RequestURI()) == "/up" {
		t.closes = h.ContentLength() > 0
		status := fasthttp.StatusOK
		if !f.ready() || f.closing.Load() {
			status = fasthttp.StatusInternalServerError
		}
		return f.reply(p, t, status, nil) == nil && !t.closes
	}
	x, err := Decode(h, h.Method(), h.RequestURI(), &f.names, f.charter.Load(), f.Nameless)
	if err != nil {
		return f.refuse(p, t, fasthttp.StatusBadRequest, err.Error())
	}
	if !p.come() {
		return false // it was ended before
	}
	if t.req.MayContinue() && t.in.Buffered() == 0 {
		if _, err := (timed{p}).Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return false
		}
	}
	if x.Body, x.Upload, err = t.body(p); err != nil {
		return f.unreadable(p, t, err)
	}
	if !p.take() {
		return false // it was ended before the body came whole
	}
	x.client, x.StreamsBody = p, x.Upload != nil
	if !p.from.IsZero() {
		if !x.StreamsBody {
			x.TimeLeftMillis = max(x.TimeLeftMillis-p.lain(), 0)
		}
		p.from = time.Time{} // what comes from here on is read as it comes
	}
	free, waited := f.marks.take(&x, Millis(x.TimeLeftMillis))
	if !free {
		return f.refuse(p, t, fasthttp.StatusConflict, "X-Request-Id: a txn with this one is open")
	}
	free = false
	leave := func() { // its mark, once
		if !free {
			f.marks.free(x.Mark)
		}
		free = true
	}
	defer leave()
	if !x.StreamsBody {
		x.TimeLeftMillis = max(x.TimeLeftMillis-float64(waited)/float64(time.Millisecond), 0)
	}
	f.active.Add(1)
	defer f.active.Add(-1)
	end := f.serve(&x)
	// Guards against a client that has its answer, and asks again under the same id before this goroutine has
	// gone on: it was told that its txn is open. While the rest of an answer comes it is.
	if end.Answer == nil || end.Answer.Rest == nil {
		leave()
	}
	// Guards against what a client that has gone sent behind its txn: nobody waits for that either.
	t.closes = t.closes || end.Kind == policy.RejectUncertain && x.Gone()
	if up := x.Upload; up != nil && !up.rest.whole.Load() {
		if up.Fault() != nil {
			return f.unreadable(p, t, up.Fault())
		}
		// It may not read its answer before it has sent all: the answer goes at once, the rest is read past.
		// What of that is not waited for may be on its way still.
		if !f.answer(p, t, x.Product, end) {
			return false
		}
		p.lingers.Store(up.Skip() != nil)
		return !p.lingers.Load() && !t.closes
	}
	return f.answer(p, t, x.Product, end) && !t.closes
}

// refuse answers what is no txn, and ends its connection: what follows there may be part of it.
func (f *Front) refuse(p *placed, t *turn, status int, says string) bool {
	if p.over() {
		return false // it was ended from here before all of it came
	}
	f.broken.Add(1)
	t.closes = true
	p.lingers.Store(true)
	_ = f.reply(p, t, status, []byte(says+"\n"))
	return false
}

// unreadable answers what is no HTTP, too long, or does not come whole in time.
func (f *Front) unreadable(p *placed, t *turn, err error) bool {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, errTooLong):
		return f.refuse(p, t, fasthttp.StatusRequestEntityTooLarge, "the body is too long")
	case errors.As(err, &small):
		return f.refuse(p, t, fasthttp.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	case late(err):
		return f.refuse(p, t, fasthttp.StatusRequestTimeout, "no whole request has come in time")
	}
	return f.refuse(p, t, fasthttp.StatusBadRequest, "no request could be read")
}

// reply writes an answer that is whole. What its head says besides stands in t.res.
func (f *Front) reply(p *placed, t *turn, status int, body []byte) error {
	f.head(p, t, status, len(body))
	t.out = append(t.out, body...)
	_, err := timed{p}.Write(t.out)
	return err
}

// head encodes the head of an answer with a body of so many bytes; below nought it comes in chunks.
func (f *Front) head(p *placed, t *turn, status, length int) {
	h := &t.req.Header
	t.closes = t.closes || h.ConnectionClose() || !h.IsHTTP11() || p.wanted() || f.closing.Load()
	t.res.SetStatusCode(status)
	t.res.SetContentLength(length)
	t.res.SetNoDefaultContentType(true)
	if t.closes {
		t.res.SetConnectionClose()
	}
	t.out = t.res.AppendBytes(t.out[:0])
}

// answer gives a txn its final answer, and tells whether that was written whole. It is counted here, as what
// its client got. Only the module's declines are 429: it says that trying again is harmless.
func (f *Front) answer(p *placed, t *turn, product int, end Final) bool {
	n := &f.finals[product]
	var err error
	switch end.Kind {
	case policy.Submit:
		if err = f.pass(p, t, end.Answer); errors.Is(err, ErrBrokenOff) {
			n[2].Add(1)
		} else {
			n[0].Add(1)
		}
	case policy.Reject:
		if end.Wait > 0 {
			t.res.Set("Retry-After", RetryAfter(end.Wait))
		}
		err = f.reply(p, t, fasthttp.StatusTooManyRequests, nil)
		n[1].Add(1)
	default:
		status, says := fasthttp.StatusInternalServerError, []byte(nil)
		if r := end.Refusal; r != nil {
			status, says = r.Status, []byte(r.Says+"\n")
			for _, h := range r.Headers {
				t.res.Add(h[0], h[1])
			}
		}
		err = f.reply(p, t, status, says)
		n[2].Add(1)
	}
	return err == nil
}

// RetryAfter encodes when to return, from ms.
func RetryAfter(ms float64) string { return strconv.FormatFloat(ms/1000, 'f', 3, 64) }

// pass passes a worker's answer on.
func (f *Front) pass(p *placed, t *turn, a *Answer) error {
	if a.Type != "" {
		t.res.SetContentType(a.Type)
	}
	if a.Coding != "" {
		t.res.SetContentEncoding(a.Coding)
	}
	if a.Rest == nil {
		return f.reply(p, t, fasthttp.StatusOK, a.Body)
	}
	f.head(p, t, fasthttp.StatusOK, a.Length)
	narrow(p.Conn)
	_, err := timed{p}.Write(t.out)
	if err == nil {
		err = a.copyTo(timed{p})
	}
	a.over(err)
	return err
}

// marks are the marks of the txns that are open. Guards against a client that sends another's mark: two txns
// of one mark could not be told apart by workers.
type marks struct {
	mu   sync.Mutex
	open map[string]*mark
}

// mark is one that is open.
type mark struct {
	by   *Txn
	over chan struct{} // closed once it is free; nil while nobody waits for that
}

// take opens a txn's mark, unless another has it. One whose client has gone is about to be given up, and
// is waited for, for so long at most: if nothing was sent for it the mark is free. Guards against a client
// that has cut its connection and asks once more at once.
func (m *marks) take(by *Txn, within time.Duration) (taken bool, waited time.Duration) {
	for from := time.Now(); ; waited = time.Since(from) {
		m.mu.Lock()
		was := m.open[string(by.Mark)]
		if was == nil {
			m.open[string(by.Mark)] = &mark{by: by}
			m.mu.Unlock()
			return true, waited
		}
		if was.over == nil {
			was.over = make(chan struct{})
		}
		m.mu.Unlock()
		if !was.by.Gone() {
			return false, waited
		}
		select {
		case <-was.over:
			if was.by.Sent {
				return false, waited
			}
		case <-time.After(within - time.Since(from)):
			return false, waited
		}
	}
}

func (m *marks) free(name []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if over := m.open[string(name)].over; over != nil {
		close(over)
	}
	delete(m.open, string(name))
}
