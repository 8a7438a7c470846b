// Package authorizer asks an auth service whether a txn's client is who it says, before the txn goes to a
// worker: forward authentication, in the role of the one who asks. Its choices are in package authcache,
// those of quota,
// worker and repetition in the module: units are kept while the service is asked, and spent only when the
// txn goes on.
package authorizer

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/singleflight"

	"willowdeck/internal/forwardauth/authcache"
	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/proxy"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
)

// Voucher serves txns that a service has to vouch for.
type Voucher struct {
	asking  *config.Authorizer
	charter policy.Settings
	gate    *proxy.Proxy
	client  *fasthttp.HostClient
	flight  singleflight.Group
	counts  [counts]atomic.Int64

	mu      sync.Mutex // of what follows; never held over I/O
	service *authcache.Service
}

type count int

const (
	yes count = iota
	no
	recalled
	trouble
	shut
	late
	left
	openly
	counts
)

var countNames = [counts]string{"yes", "no", "recalled", "trouble", "shut", "late", "left", "open"}

// New makes a voucher over a gate. The seed is for its pauses.
func New(a *config.Authorizer, charter policy.Settings, g *proxy.Proxy, seed int64) *Voucher {
	limit := transport.Millis(a.Terms.Limit)
	return &Voucher{asking: a, charter: charter, gate: g, service: authcache.NewService(a.Terms, seed),
		client: &fasthttp.HostClient{Addr: a.ServiceAddress, MaxConns: a.MaxConnections, MaxConnWaitTimeout: limit,
			ReadTimeout: limit, WriteTimeout: limit, MaxIdleConnDuration: 2 * time.Second,
			MaxResponseBodySize: authcache.LongestAnswer, ReadBufferSize: authcache.LongestAnswer,
			NoDefaultUserAgentHeader: true, DisablePathNormalizing: true,
			// An ask may be sent again: a connection that the service has closed meanwhile says nothing of it.
			MaxIdemponentCallAttempts: 2}}
}

// Close lets the connections to the service go.
func (v *Voucher) Close() { v.client.CloseIdleConnections() }

// word is what came of an ask.
type word struct {
	answer authcache.Answer
	wait   float64 // when to come back, ms
	err    error   // it gave no answer, or was not asked
}

var (
	errShut = errors.New("the service is left alone for now")
	errBusy = errors.New("no connection to the service is free")
	errLate = errors.New("the service has not answered in time")
)

// Serve is a txn's life: the service is asked unless its answer is known, and then it is as any other.
func (v *Voucher) Serve(t *transport.Request) transport.FinalAnswer {
	if !v.asking.Covers[t.Product] {
		return v.gate.Serve(t)
	}
	credential, err := t.Header(v.asking.CredentialHeader)
	if err != nil {
		return refusal(fasthttp.StatusBadRequest, nil, err.Error())
	}
	digest := digestOf(t.Product, credential)
	v.mu.Lock()
	a, known := v.service.Recall(digest, v.gate.Now())
	v.mu.Unlock()
	if known && len(credential) > 0 {
		v.counts[recalled].Add(1)
		return v.settle(t, nil, word{answer: a})
	}
	ask, err := v.encode(t, digest, credential)
	if err != nil {
		return refusal(fasthttp.StatusBadRequest, nil, err.Error())
	}
	asked, patience := v.gate.Now(), v.service.Patience(t.TimeLeftMillis)
	var hold *proxy.Reservation // of one that does not say whose it is there is nothing to keep yet
	if !t.Anonymous {
		var end transport.FinalAnswer
		if hold, end = v.gate.Reserve(t, patience+authcache.LateGrace); hold == nil {
			return end
		}
	}
	w, end := v.await(ask, hold, patience)
	if end != nil {
		return *end
	}
	if !t.StreamsBody {
		t.TimeLeftMillis = math.Max(t.TimeLeftMillis-(v.gate.Now()-asked), 0)
	}
	return v.settle(t, hold, w)
}

// await waits for the service's word, as long as a txn can wait and its client is there.
func (v *Voucher) await(ask *ask, hold *proxy.Reservation, patience float64) (word, *transport.FinalAnswer) {
	timer := time.NewTimer(transport.Millis(patience))
	defer timer.Stop()
	var came <-chan singleflight.Result
	if ask.named && v.asking.Terms.Kept > 0 {
		came = v.flight.DoChan(string(ask.digest[:]), func() (any, error) { return v.ask(ask), nil })
	} else { // each is asked for by itself
		own := make(chan singleflight.Result, 1)
		go func() { own <- singleflight.Result{Val: v.ask(ask)} }()
		came = own
	}
	var over <-chan inflight.Command
	if hold != nil {
		over = hold.Ended()
	}
	select {
	case r := <-came:
		return r.Val.(word), nil
	case w := <-over:
		if w.Decision.Kind == policy.RejectUncertain {
			v.counts[left].Add(1)
			return word{}, &transport.FinalAnswer{Kind: policy.RejectUncertain}
		}
	case <-timer.C:
	}
	v.counts[late].Add(1)
	return word{err: errLate, wait: v.asking.Terms.Limit}, nil
}

// settle goes by a word: the txn goes on with what is kept for it, or that is given back.
func (v *Voucher) settle(t *transport.Request, hold *proxy.Reservation, w word) transport.FinalAnswer {
	a := w.answer
	end := transport.FinalAnswer{Kind: policy.RejectUncertain}
	switch {
	case w.err != nil && !v.asking.FailsOpen[t.Product], w.err == nil &&
		a.Status == fasthttp.StatusTooManyRequests:
		v.counts[trouble].Add(1) // nothing was sent: to come again is harmless
		end = transport.FinalAnswer{Kind: policy.Reject, RetryAfterMillis: v.advice(w.wait)}
	case w.err == nil && !a.Yes:
		v.counts[no].Add(1)
		end = refusal(a.Status, a.Headers, "the auth service says no")
	case w.err == nil && a.Named && !t.Anonymous && a.Customer != t.Customer:
		v.counts[no].Add(1)
		end = refusal(fasthttp.StatusForbidden, nil, "Cookie: the credential is another customer's")
	case t.Gone(): // before the yes: nothing is sent for it
		v.counts[left].Add(1)
	default:
		return v.goOn(t, hold, w)
	}
	if hold != nil {
		v.gate.Release(hold)
	}
	return end
}

// goOn carries a txn on that was vouched for, or that goes on without.
func (v *Voucher) goOn(t *transport.Request, hold *proxy.Reservation, w word) transport.FinalAnswer {
	if w.err != nil {
		v.counts[openly].Add(1)
	} else {
		v.counts[yes].Add(1)
	}
	if t.Anonymous {
		t.Customer = w.answer.Customer
	}
	if hold != nil {
		if end, ok := v.gate.ServeReserved(hold, t); ok {
			return end
		}
	}
	return v.gate.Serve(t)
}

// advice is when to come back, as far as the settings have it said.
func (v *Voucher) advice(wait float64) float64 {
	if !v.charter.AllowRetryAfter {
		return 0
	}
	return math.Min(wait, v.charter.MaxRetryAfterMillis)
}

func refusal(status int, headers [][2]string, says string) transport.FinalAnswer {
	return transport.FinalAnswer{
		Kind:      policy.RejectUncertain,
		Rejection: &transport.Rejection{Status: status, Headers: headers, Message: says},
	}
}

// ask is one question to the service. It outlives the txn that asks first: others may wait for it too.
type ask struct {
	digest authcache.Digest
	named  bool // it has a credential
	req    *fasthttp.Request
}

// digestOf gives what stands for a credential and a product.
func digestOf(product int, credential []byte) (d authcache.Digest) {
	sum := sha256.New()
	fmt.Fprintf(sum, "%d ", product)
	sum.Write(credential)
	sum.Sum(d[:0])
	return d
}

// encode makes the question. What it says of the original is the gatekeeper's own word: a client's headers
// of those names do not pass.
func (v *Voucher) encode(t *transport.Request, digest authcache.Digest, credential []byte) (*ask, error) {
	a := &ask{digest: digest, named: len(credential) > 0, req: &fasthttp.Request{}}
	h := &a.req.Header
	h.SetMethod(fasthttp.MethodGet)
	a.req.SetRequestURI(v.asking.Path)
	h.SetHost(v.asking.ServiceAddress)
	h.SetBytesV("X-Forwarded-Method", t.Method)
	h.SetBytesV("X-Forwarded-Uri", t.Target)
	h.Set("X-Forwarded-Proto", "http")
	h.Set("X-Forwarded-For", t.ClientIP())
	if host, err := t.Header("Host"); err == nil && len(host) > 0 {
		h.SetBytesV("X-Forwarded-Host", host)
	}
	if a.named {
		h.SetBytesV(v.asking.CredentialHeader, credential)
	}
	for _, name := range v.asking.SentHeaders {
		value, err := t.Header(name)
		if err != nil {
			return nil, err
		}
		if len(value) > 0 {
			h.SetBytesV(name, value)
		}
	}
	return a, nil
}

// ask asks the service, and keeps what it says.
func (v *Voucher) ask(a *ask) word {
	asked := v.gate.Now()
	v.mu.Lock()
	may, wait := v.service.MayAsk(asked)
	v.mu.Unlock()
	if !may {
		v.counts[shut].Add(1)
		return word{err: errShut, wait: wait}
	}
	res := &fasthttp.Response{}
	err := v.client.DoTimeout(a.req, res, transport.Millis(v.asking.Terms.Limit))
	w := word{err: err, wait: v.asking.Terms.Limit}
	if err == nil {
		w = v.read(res)
	}
	now := v.gate.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		v.service.Unasked()
		w.err = errBusy
	case w.err != nil:
		v.service.Lost(now)
	default:
		keep := a.named && w.answer.Status != fasthttp.StatusTooManyRequests
		v.service.Heard(a.digest, w.answer, asked, now, keep)
	}
	return w
}

// read takes what a service says: 2xx is a yes, 401 and 403 a no, 429 that it wants to be asked later. All
// else is trouble.
func (v *Voucher) read(res *fasthttp.Response) word {
	a := authcache.Answer{Status: res.StatusCode()}
	switch status := a.Status; {
	case status >= 200 && status < 300:
		a.Yes = true
		if v.asking.CustomerHeader == "" {
			break
		}
		all := res.Header.PeekAll(v.asking.CustomerHeader)
		if len(all) != 1 {
			return word{err: fmt.Errorf("%s: it is there %d times", v.asking.CustomerHeader, len(all)),
				wait: v.asking.Terms.Limit}
		}
		c, err := transport.ParseCustomer(all[0])
		if err != nil {
			return word{err: fmt.Errorf("%s: %w", v.asking.CustomerHeader, err), wait: v.asking.Terms.Limit}
		}
		a.Customer, a.Named = c, true
	case status == fasthttp.StatusUnauthorized || status == fasthttp.StatusForbidden:
		for _, name := range v.asking.CopiedHeaders {
			for _, value := range res.Header.PeekAll(name) {
				a.Headers = append(a.Headers, [2]string{name, string(value)})
			}
		}
	case status == fasthttp.StatusTooManyRequests:
		s, err := strconv.ParseFloat(string(res.Header.Peek(fasthttp.HeaderRetryAfter)), 64)
		if err != nil || !(s > 0) || math.IsInf(s, 1) {
			s = v.asking.Terms.Limit / 1000
		}
		return word{answer: a, wait: s * 1000}
	default:
		return word{err: fmt.Errorf("status %d", status), wait: v.asking.Terms.Limit}
	}
	return word{answer: a}
}

// Figures gives what operators see.
func (v *Voucher) Figures(add func(name string, n int64)) {
	for i := range v.counts {
		add("asking."+countNames[i], v.counts[i].Load())
	}
	v.mu.Lock()
	kept, isShut := v.service.Kept(), v.service.Shut(v.gate.Now())
	v.mu.Unlock()
	add("asking.kept", int64(kept))
	open := int64(0)
	if isShut {
		open = 1
	}
	add("asking.shut_now", open)
}
