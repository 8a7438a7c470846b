package authcache

import (
	"math"
	"math/rand"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"willowdeck/internal/circuitbreaker"
)

// CredentialDigest is a digest of a credential and the product that it is used for. The credential itself
// is not stored.
type CredentialDigest [32]byte

// Decision is an auth service's decision on a credential.
type Decision struct {
	Allowed     bool
	Customer    uint64 // the credential's owner, if HasCustomer
	HasCustomer bool
	Status      int         // HTTP status of a denial
	Headers     [][2]string // of a denial, to be forwarded to the client
}

// Service is the state of one auth service: its cached decisions and its circuit breaker.
type Service struct {
	timeoutMillis, timeoutShare   float64
	allowTTLMillis, denyTTLMillis float64
	decisions                     *simplelru.LRU[CredentialDigest, cachedDecision]
	breaker                       *circuitbreaker.Breaker
}

// cachedDecision is a decision with its expiry.
type cachedDecision struct {
	decision      Decision
	expiresMillis float64
}

// ServiceConfig configures the queries to an auth service. The breaker opens after BreakerThreshold
// consecutive failures. Its backoff doubles from BreakerBackoffMillis to BreakerMaxBackoffMillis.
type ServiceConfig struct {
	TimeoutMillis, TimeoutShare                   float64
	AllowTTLMillis, DenyTTLMillis                 float64
	MaxDecisions                                  int
	BreakerThreshold                              int
	BreakerBackoffMillis, BreakerMaxBackoffMillis float64
}

// NewService returns a service with no cached decisions. The seed is for the breaker's jitter.
func NewService(config ServiceConfig, seed int64) *Service {
	s := &Service{
		timeoutMillis:  config.TimeoutMillis,
		timeoutShare:   config.TimeoutShare,
		allowTTLMillis: config.AllowTTLMillis,
		denyTTLMillis:  config.DenyTTLMillis,
		breaker: circuitbreaker.New(
			config.BreakerThreshold,
			config.BreakerBackoffMillis,
			config.BreakerMaxBackoffMillis,
			rand.New(rand.NewSource(seed)),
		),
	}
	if config.MaxDecisions > 0 {
		s.decisions, _ = simplelru.NewLRU[CredentialDigest, cachedDecision](
			config.MaxDecisions,
			nil,
		) // the only error is a size of 0
	}
	return s
}

// TimeoutMillis returns how long a request may wait for the service, given the remaining time for which its
// client waits.
func (s *Service) TimeoutMillis(remainingMillis float64) float64 {
	return math.Min(s.timeoutMillis, s.timeoutShare*remainingMillis)
}

// Lookup returns the cached decision on a credential, if it has not expired.
func (s *Service) Lookup(digest CredentialDigest, nowMillis float64) (Decision, bool) {
	if s.decisions == nil {
		return Decision{}, false
	}
	cached, ok := s.decisions.Get(digest)
	if !ok || cached.expiresMillis <= nowMillis {
		return Decision{}, false
	}
	return cached.decision, true
}

// Len returns the number of cached decisions.
func (s *Service) Len() int {
	if s.decisions == nil {
		return 0
	}
	return s.decisions.Len()
}

// Allow reports whether the service may be queried now, and if not, after how many ms it may be. Once the
// breaker's backoff has passed, one trial query is allowed. After each query the caller must call
// RecordDecision, RecordFailure or CancelAttempt.
func (s *Service) Allow(nowMillis float64) (bool, float64) { return s.breaker.Allow(nowMillis) }

// RecordDecision records a decision, and caches it if cacheable is true. The TTL counts from the time of the
// query, not of the response: the service may have looked up the credential at any time in between.
func (s *Service) RecordDecision(
	digest CredentialDigest,
	decision Decision,
	askedMillis, nowMillis float64,
	cacheable bool,
) {
	s.breaker.Record(true, nowMillis)
	ttlMillis := s.denyTTLMillis
	if decision.Allowed {
		ttlMillis = s.allowTTLMillis
	}
	if cacheable && s.decisions != nil && ttlMillis > 0 && askedMillis+ttlMillis > nowMillis {
		s.decisions.Add(digest, cachedDecision{decision, askedMillis + ttlMillis})
	}
}

// RecordFailure records that the service returned no valid response in time.
func (s *Service) RecordFailure(nowMillis float64) { s.breaker.Record(false, nowMillis) }

// CancelAttempt reverts Allow for a query that was not sent.
func (s *Service) CancelAttempt() { s.breaker.CancelAttempt() }

// BreakerOpen reports whether the breaker is open now.
func (s *Service) BreakerOpen(nowMillis float64) bool { return s.breaker.IsOpen(nowMillis) }
