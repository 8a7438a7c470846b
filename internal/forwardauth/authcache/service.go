package authcache

import (
	"math"
	"math/rand"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"willowdeck/internal/circuitbreaker"
)

const (
	DefaultTimeoutMillis           = 150.0   // ms an auth service may take; a look-up beside it takes single ones
	MaxTimeoutMillis               = 10000.0 // ms
	DefaultTimeoutShare            = 0.4     // of a txn's time that may go to asking; a worker needs the rest
	DefaultAllowTTLMillis          = 5000.0  // ms that a yes is good for: so long a withdrawn credential still passes
	DefaultDenyTTLMillis           = 1000.0  // ms that a no is good for: so long a new one may be turned away
	MaxDecisionTTLMillis           = 3.6e6   // ms for either
	DefaultMaxDecisions            = 100000  // answers kept; 27 MB
	LargestMaxDecisions            = 1 << 20 // of them that may be asked for
	DefaultConnections             = 16      // connections to the service
	MaxConnections                 = 1024
	MaxResponseBytes               = 16 << 10 // bytes of the service's answer; all that counts is in its head
	DefaultBreakerThreshold        = 5        // failures one after another until the service is left alone
	DefaultBreakerBackoffMillis    = 500.0    // ms that it is left alone then, doubled by each failure after that,
	DefaultBreakerMaxBackoffMillis = 10000.0  // up to this
	MaxBreakerBackoffMillis        = 600000.0 // ms
	ReservationGraceMillis         = 50.0     // ms after which units held for an ask come back, whoever forgets them
)

// Digest stands for a credential and what it is used for. The credential itself is not kept.
type CredentialDigest [32]byte

// Answer is what an auth service said of a credential.
type Decision struct {
	Allowed     bool
	Customer    uint64 // whose it is, where the service names one
	HasCustomer bool
	Status      int         // of a no
	Headers     [][2]string // of a no, that are passed on
}

// Service is what is known of one auth service.
type Service struct {
	timeoutMillis, timeoutShare   float64
	allowTTLMillis, denyTTLMillis float64
	decisions                     *simplelru.LRU[CredentialDigest, cachedDecision]
	breaker                       *circuitbreaker.Breaker
}

// good is an answer, and until when it is good.
type cachedDecision struct {
	decision      Decision
	expiresMillis float64
}

// Terms say how a service is dealt with. Times are in ms; a pause grows from Pause to MostPause.
type ServiceConfig struct {
	TimeoutMillis, TimeoutShare                   float64
	AllowTTLMillis, DenyTTLMillis                 float64
	MaxDecisions                                  int
	BreakerThreshold                              int
	BreakerBackoffMillis, BreakerMaxBackoffMillis float64
}

// NewService starts with nothing known. Same seed and calls, same answers.
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
		) // its one error is a size of nought
	}
	return s
}

// Patience is how long a txn may wait for the service, of the time that its client still waits.
func (s *Service) TimeoutMillis(remainingMillis float64) float64 {
	return math.Min(s.timeoutMillis, s.timeoutShare*remainingMillis)
}

// Recall gives what is known of a credential, if it is still good.
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

// Kept is how many answers are kept.
func (s *Service) Len() int {
	if s.decisions == nil {
		return 0
	}
	return s.decisions.Len()
}

// MayAsk tells whether the service may be asked now, and if not, how long it is left alone for. One that
// has been left alone is asked once, and by nobody else until that has been Heard or was Lost.
func (s *Service) Allow(nowMillis float64) (bool, float64) { return s.breaker.Allow(nowMillis) }

// Heard takes an answer. It is good from when it was asked for, not from when it came: the service may have
// looked the credential up at any time between. Not every answer is to be kept.
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

// Lost notes that the service gave no answer that can be read, or none in its time.
func (s *Service) RecordFailure(nowMillis float64) { s.breaker.Record(false, nowMillis) }

// Unasked notes that after all it was not asked.
func (s *Service) CancelAttempt() { s.breaker.CancelAttempt() }

// Shut tells whether the service is left alone now.
func (s *Service) BreakerOpen(nowMillis float64) bool { return s.breaker.IsOpen(nowMillis) }
