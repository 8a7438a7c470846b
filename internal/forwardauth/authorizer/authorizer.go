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

// Authorizer serves requests. It serves those of the configured products only after an auth service has
// allowed them. Safe for concurrent use.
type Authorizer struct {
	config   *config.Authorizer
	settings policy.Settings
	proxy    *proxy.Proxy
	client   *fasthttp.HostClient
	pending  singleflight.Group
	counters [counterCount]atomic.Int64

	mu      sync.Mutex // guards service; never held over I/O
	service *authcache.Service
}

// counter is the index of a counter that is exposed on the operators' port.
type counter int

const (
	countAllowed counter = iota
	countDenied
	countCached      // the decision was in the cache
	countUnavailable // rejected, as the service gave no decision
	countBreakerOpen // not queried
	countTimedOut    // no response within the request's timeout
	countClientGone  // the client disconnected during the query
	countFailedOpen  // forwarded without a decision, as configured
	counterCount
)

var counterNames = [counterCount]string{"yes", "no", "recalled", "trouble", "shut", "late", "left", "open"}

// New returns an Authorizer that forwards allowed requests to a proxy. The seed is for the breaker's jitter.
func New(cfg *config.Authorizer, settings policy.Settings, p *proxy.Proxy, seed int64) *Authorizer {
	timeout := transport.Millis(cfg.Service.TimeoutMillis)
	return &Authorizer{config: cfg, settings: settings, proxy: p,
		service: authcache.NewService(cfg.Service, seed),
		client: &fasthttp.HostClient{Addr: cfg.ServiceAddress, MaxConns: cfg.MaxConnections,
			MaxConnWaitTimeout: timeout,
			ReadTimeout:        timeout, WriteTimeout: timeout, MaxIdleConnDuration: 2 * time.Second,
			MaxResponseBodySize: authcache.MaxResponseBytes, ReadBufferSize: authcache.MaxResponseBytes,
			NoDefaultUserAgentHeader: true, DisablePathNormalizing: true,
			// A query may be sent twice, as the service may have closed an idle connection.
			MaxIdemponentCallAttempts: 2}}
}

// Close closes the idle connections to the service.
func (a *Authorizer) Close() { a.client.CloseIdleConnections() }

// result is the result of a query.
type result struct {
	decision         authcache.Decision
	retryAfterMillis float64 // when the client may retry
	err              error   // no decision: the service failed or was not queried
}

var (
	errBreakerOpen  = errors.New("the auth service's circuit breaker is open")
	errNoConnection = errors.New("no connection to the auth service is free")
	errTimeout      = errors.New("the auth service has not responded in time")
)

// Serve serves a request. It queries the service unless the decision is cached. A request that the service
// allows is served like any other.
func (a *Authorizer) Serve(t *transport.Request) transport.FinalAnswer {
	if !a.config.Covers[t.Product] {
		return a.proxy.Serve(t)
	}
	credential, err := t.Header(a.config.CredentialHeader)
	if err != nil {
		return rejection(fasthttp.StatusBadRequest, nil, err.Error())
	}
	digest := credentialDigest(t.Product, credential)
	a.mu.Lock()
	decision, found := a.service.Lookup(digest, a.proxy.Now())
	a.mu.Unlock()
	if found && len(credential) > 0 {
		a.counters[countCached].Add(1)
		return a.resolve(t, nil, result{decision: decision})
	}
	request, err := a.newAuthRequest(t, digest, credential)
	if err != nil {
		return rejection(fasthttp.StatusBadRequest, nil, err.Error())
	}
	askedMillis, timeoutMillis := a.proxy.Now(), a.service.TimeoutMillis(t.TimeLeftMillis)
	var reservation *proxy.Reservation // nil if only the service can identify the customer
	if !t.Anonymous {
		var final transport.FinalAnswer
		reservation, final = a.proxy.Reserve(t, timeoutMillis+authcache.ReservationGraceMillis)
		if reservation == nil {
			return final
		}
	}
	r, final := a.await(request, reservation, timeoutMillis)
	if final != nil {
		return *final
	}
	if !t.StreamsBody {
		t.TimeLeftMillis = math.Max(t.TimeLeftMillis-(a.proxy.Now()-askedMillis), 0)
	}
	return a.resolve(t, reservation, r)
}

// await queries the service and waits for the result, at most until the timeout or until the client has
// disconnected. The final answer is nil unless the client has disconnected. Concurrent queries of one
// credential are merged.
func (a *Authorizer) await(request *authRequest, reservation *proxy.Reservation,
	timeoutMillis float64) (result, *transport.FinalAnswer) {
	timer := time.NewTimer(transport.Millis(timeoutMillis))
	defer timer.Stop()
	var results <-chan singleflight.Result
	if request.hasCredential && a.config.Service.MaxDecisions > 0 {
		results = a.pending.DoChan(string(request.digest[:]), func() (any, error) { return a.query(request), nil })
	} else { // the result must not be shared between requests
		own := make(chan singleflight.Result, 1)
		go func() { own <- singleflight.Result{Val: a.query(request)} }()
		results = own
	}
	var ended <-chan inflight.Command
	if reservation != nil {
		ended = reservation.Ended()
	}
	select {
	case answered := <-results:
		return answered.Val.(result), nil
	case command := <-ended:
		if command.Decision.Kind == policy.RejectUncertain {
			a.counters[countClientGone].Add(1)
			return result{}, &transport.FinalAnswer{Kind: policy.RejectUncertain}
		}
	case <-timer.C:
	}
	a.counters[countTimedOut].Add(1)
	return result{err: errTimeout, retryAfterMillis: a.config.Service.TimeoutMillis}, nil
}

// resolve acts on a result: it forwards the request with its reservation, or rejects the request and releases
// the reservation.
func (a *Authorizer) resolve(t *transport.Request, reservation *proxy.Reservation,
	r result) transport.FinalAnswer {
	decision := r.decision
	final := transport.FinalAnswer{Kind: policy.RejectUncertain}
	switch {
	case r.err != nil && !a.config.FailsOpen[t.Product],
		r.err == nil && decision.Status == fasthttp.StatusTooManyRequests:
		a.counters[countUnavailable].Add(1) // nothing was sent to a worker, so a retry is safe
		advice := a.retryAdviceMillis(r.retryAfterMillis)
		final = transport.FinalAnswer{Kind: policy.Reject, RetryAfterMillis: advice}
	case r.err == nil && !decision.Allowed:
		a.counters[countDenied].Add(1)
		final = rejection(decision.Status, decision.Headers, "the auth service says no")
	case r.err == nil && decision.HasCustomer && !t.Anonymous && decision.Customer != t.Customer:
		a.counters[countDenied].Add(1)
		final = rejection(fasthttp.StatusForbidden, nil, "Cookie: the credential is another customer's")
	case t.Gone(): // the request is not forwarded
		a.counters[countClientGone].Add(1)
	default:
		return a.forward(t, reservation, r)
	}
	if reservation != nil {
		a.proxy.Release(reservation)
	}
	return final
}

// forward serves a request that the service has allowed, or one without a decision whose product fails open.
func (a *Authorizer) forward(t *transport.Request, reservation *proxy.Reservation,
	r result) transport.FinalAnswer {
	if r.err != nil {
		a.counters[countFailedOpen].Add(1)
	} else {
		a.counters[countAllowed].Add(1)
	}
	if t.Anonymous {
		t.Customer = r.decision.Customer
	}
	if reservation != nil {
		if final, ok := a.proxy.ServeReserved(reservation, t); ok {
			return final
		}
	}
	return a.proxy.Serve(t)
}

// retryAdviceMillis returns the retry delay that a rejection advises; 0 if the settings forbid advice.
func (a *Authorizer) retryAdviceMillis(millis float64) float64 {
	if !a.settings.AllowRetryAfter {
		return 0
	}
	return math.Min(millis, a.settings.MaxRetryAfterMillis)
}

// rejection ends a request with a status, headers and a message.
func rejection(status int, headers [][2]string, message string) transport.FinalAnswer {
	return transport.FinalAnswer{
		Kind:        policy.RejectUncertain,
		ErrorAnswer: &transport.ErrorAnswer{Status: status, Headers: headers, Message: message},
	}
}

// authRequest is one query. It may outlive the request that it was made for, as others may wait for its
// result.
type authRequest struct {
	digest        authcache.CredentialDigest
	hasCredential bool
	http          *fasthttp.Request
}

// credentialDigest returns the digest of a credential for a product.
func credentialDigest(product int, credential []byte) (digest authcache.CredentialDigest) {
	sum := sha256.New()
	fmt.Fprintf(sum, "%d ", product)
	sum.Write(credential)
	sum.Sum(digest[:0])
	return digest
}

// newAuthRequest encodes a query. The gateway sets the X-Forwarded headers itself and does not forward
// those of the client.
func (a *Authorizer) newAuthRequest(t *transport.Request, digest authcache.CredentialDigest,
	credential []byte) (*authRequest, error) {
	request := &authRequest{digest: digest, hasCredential: len(credential) > 0, http: &fasthttp.Request{}}
	header := &request.http.Header
	header.SetMethod(fasthttp.MethodGet)
	request.http.SetRequestURI(a.config.Path)
	header.SetHost(a.config.ServiceAddress)
	header.SetBytesV("X-Forwarded-Method", t.Method)
	header.SetBytesV("X-Forwarded-Uri", t.Target)
	header.Set("X-Forwarded-Proto", "http")
	header.Set("X-Forwarded-For", t.ClientIP())
	if host, err := t.Header("Host"); err == nil && len(host) > 0 {
		header.SetBytesV("X-Forwarded-Host", host)
	}
	if request.hasCredential {
		header.SetBytesV(a.config.CredentialHeader, credential)
	}
	for _, name := range a.config.SentHeaders {
		value, err := t.Header(name)
		if err != nil {
			return nil, err
		}
		if len(value) > 0 {
			header.SetBytesV(name, value)
		}
	}
	return request, nil
}

// query queries the service, unless the breaker is open, and records the result.
func (a *Authorizer) query(request *authRequest) result {
	askedMillis := a.proxy.Now()
	a.mu.Lock()
	allowed, waitMillis := a.service.Allow(askedMillis)
	a.mu.Unlock()
	if !allowed {
		a.counters[countBreakerOpen].Add(1)
		return result{err: errBreakerOpen, retryAfterMillis: waitMillis}
	}
	response := &fasthttp.Response{}
	err := a.client.DoTimeout(request.http, response, transport.Millis(a.config.Service.TimeoutMillis))
	r := result{err: err, retryAfterMillis: a.config.Service.TimeoutMillis}
	if err == nil {
		r = a.decodeResponse(response)
	}
	nowMillis := a.proxy.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		a.service.CancelAttempt()
		r.err = errNoConnection
	case r.err != nil:
		a.service.RecordFailure(nowMillis)
	default:
		cacheable := request.hasCredential && r.decision.Status != fasthttp.StatusTooManyRequests
		a.service.RecordDecision(request.digest, r.decision, askedMillis, nowMillis, cacheable)
	}
	return r
}

// decodeResponse decodes the service's response: 2xx allows, 401 and 403 deny, and 429 rejects with a time to
// retry after. Any other status is a failure.
func (a *Authorizer) decodeResponse(response *fasthttp.Response) result {
	decision := authcache.Decision{Status: response.StatusCode()}
	switch status := decision.Status; {
	case status >= 200 && status < 300:
		decision.Allowed = true
		if a.config.CustomerHeader == "" {
			break
		}
		values := response.Header.PeekAll(a.config.CustomerHeader)
		if len(values) != 1 {
			return result{err: fmt.Errorf("%s: must be given once, not %d times", a.config.CustomerHeader,
				len(values)),
				retryAfterMillis: a.config.Service.TimeoutMillis}
		}
		customer, err := transport.ParseCustomer(values[0])
		if err != nil {
			return result{
				err:              fmt.Errorf("%s: %w", a.config.CustomerHeader, err),
				retryAfterMillis: a.config.Service.TimeoutMillis,
			}
		}
		decision.Customer, decision.HasCustomer = customer, true
	case status == fasthttp.StatusUnauthorized || status == fasthttp.StatusForbidden:
		for _, name := range a.config.CopiedHeaders {
			for _, value := range response.Header.PeekAll(name) {
				decision.Headers = append(decision.Headers, [2]string{name, string(value)})
			}
		}
	case status == fasthttp.StatusTooManyRequests:
		seconds, err := strconv.ParseFloat(string(response.Header.Peek(fasthttp.HeaderRetryAfter)), 64)
		if err != nil || !(seconds > 0) || math.IsInf(seconds, 1) {
			seconds = a.config.Service.TimeoutMillis / 1000
		}
		return result{decision: decision, retryAfterMillis: seconds * 1000}
	default:
		return result{err: fmt.Errorf("status %d", status), retryAfterMillis: a.config.Service.TimeoutMillis}
	}
	return result{decision: decision}
}

// Figures calls add for each counter and gauge that is exposed on the operators' port.
func (a *Authorizer) Figures(add func(name string, n int64)) {
	for i := range a.counters {
		add("asking."+counterNames[i], a.counters[i].Load())
	}
	a.mu.Lock()
	decisions, isOpen := a.service.Len(), a.service.BreakerOpen(a.proxy.Now())
	a.mu.Unlock()
	add("asking.kept", int64(decisions))
	open := int64(0)
	if isOpen {
		open = 1
	}
	add("asking.shut_now", open)
}
