package authcache

import (
	"math"
	"math/rand"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"willowdeck/internal/circuitbreaker"
)

// CredentialDigest is a digest of a credential and what it is used for. The credential itself is not stored.
type CredentialDigest [32]byte

// Decision is what an auth service said of a credential.
type Decision struct {
	Allowed     bool
	Customer    uint64 // the credential's owner, if HasCustomer
	HasCustomer bool
	Status      int         // of a denial
	Headers     [][2]string // of a denial, to be passed on to the client
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

// ServiceConfig says how an auth service is asked. The breaker opens after BreakerThreshold failures in a
// row; its backoff doubles from BreakerBackoffMillis to BreakerMaxBackoffMillis.
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

// TimeoutMillis returns how long a request may wait for the service, given the time for which its client
// waits.
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

// Len returns how many decisions are cached.
func (s *Service) Len() int {
	if s.decisions == nil {
		return 0
	}
	return s.decisions.Len()
}

// Allow reports whether the service may be asked now, and if not, for how many ms not. When the breaker's
// backoff has passed one probe is admitted; each query is followed by RecordDecision, RecordFailure or
// CancelAttempt.
func (s *Service) Allow(nowMillis float64) (bool, float64) { return s.breaker.Allow(nowMillis) }

// RecordDecision records a decision, and caches it if cacheable. Its TTL counts from when it was asked for,
// not from when it came: the service may have looked the credential up at any time between.
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

// RecordFailure records that the service gave no valid response, or none in time.
func (s *Service) RecordFailure(nowMillis float64) { s.breaker.Record(false, nowMillis) }

// CancelAttempt takes back an admission: the service was not asked after all.
func (s *Service) CancelAttempt() { s.breaker.CancelAttempt() }

// BreakerOpen reports whether the breaker is open now.
func (s *Service) BreakerOpen(nowMillis float64) bool { return s.breaker.IsOpen(nowMillis) }
