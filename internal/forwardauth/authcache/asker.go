package authcache

import (
	"math"
	"math/rand"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"willowdeck/internal/circuitbreaker"
)

const (
	DefaultLimit   = 150.0   // ms an auth service may take; a look-up beside it takes single ones
	LongestLimit   = 10000.0 // ms
	DefaultShare   = 0.4     // of a txn's time that may go to asking; a worker needs the rest
	DefaultYes     = 5000.0  // ms that a yes is good for: so long a withdrawn credential still passes
	DefaultNo      = 1000.0  // ms that a no is good for: so long a new one may be turned away
	LongestGood    = 3.6e6   // ms for either
	DefaultKept    = 100000  // answers kept; 27 MB
	MostKept       = 1 << 20 // of them that may be asked for
	DefaultAsks    = 16      // connections to the service
	MostAsks       = 1024
	LongestAnswer  = 16 << 10 // bytes of the service's answer; all that counts is in its head
	DefaultAfter   = 5        // failures one after another until the service is left alone
	DefaultPause   = 500.0    // ms that it is left alone then, doubled by each failure after that,
	DefaultPauseAt = 10000.0  // up to this
	LongestPause   = 600000.0 // ms
	LateGrace      = 50.0     // ms after which units held for an ask come back, whoever forgets them
)

// Digest stands for a credential and what it is used for. The credential itself is not kept.
type Digest [32]byte

// Answer is what an auth service said of a credential.
type Answer struct {
	Yes      bool
	Customer uint64 // whose it is, where the service names one
	Named    bool
	Status   int         // of a no
	Headers  [][2]string // of a no, that are passed on
}

// Service is what is known of one auth service.
type Service struct {
	limit, share float64
	yes, no      float64
	kept         *simplelru.LRU[Digest, good]
	breaker      *circuitbreaker.Breaker
}

// good is an answer, and until when it is good.
type good struct {
	answer Answer
	until  float64
}

// Terms say how a service is dealt with. Times are in ms; a pause grows from Pause to MostPause.
type Terms struct {
	Limit, Share     float64
	Yes, No          float64
	Kept             int
	After            int
	Pause, MostPause float64
}

// NewService starts with nothing known. Same seed and calls, same answers.
func NewService(t Terms, seed int64) *Service {
	s := &Service{limit: t.Limit, share: t.Share, yes: t.Yes, no: t.No,
		breaker: circuitbreaker.New(t.After, t.Pause, t.MostPause, rand.New(rand.NewSource(seed)))}
	if t.Kept > 0 {
		s.kept, _ = simplelru.NewLRU[Digest, good](t.Kept, nil) // its one error is a size of nought
	}
	return s
}

// Patience is how long a txn may wait for the service, of the time that its client still waits.
func (s *Service) Patience(left float64) float64 { return math.Min(s.limit, s.share*left) }

// Recall gives what is known of a credential, if it is still good.
func (s *Service) Recall(d Digest, now float64) (Answer, bool) {
	if s.kept == nil {
		return Answer{}, false
	}
	g, ok := s.kept.Get(d)
	if !ok || g.until <= now {
		return Answer{}, false
	}
	return g.answer, true
}

// Kept is how many answers are kept.
func (s *Service) Kept() int {
	if s.kept == nil {
		return 0
	}
	return s.kept.Len()
}

// MayAsk tells whether the service may be asked now, and if not, how long it is left alone for. One that
// has been left alone is asked once, and by nobody else until that has been Heard or was Lost.
func (s *Service) MayAsk(now float64) (bool, float64) { return s.breaker.Allow(now) }

// Heard takes an answer. It is good from when it was asked for, not from when it came: the service may have
// looked the credential up at any time between. Not every answer is to be kept.
func (s *Service) Heard(d Digest, a Answer, asked, now float64, keep bool) {
	s.breaker.Record(true, now)
	span := s.no
	if a.Yes {
		span = s.yes
	}
	if keep && s.kept != nil && span > 0 && asked+span > now {
		s.kept.Add(d, good{a, asked + span})
	}
}

// Lost notes that the service gave no answer that can be read, or none in its time.
func (s *Service) Lost(now float64) { s.breaker.Record(false, now) }

// Unasked notes that after all it was not asked.
func (s *Service) Unasked() { s.breaker.CancelAttempt() }

// Shut tells whether the service is left alone now.
func (s *Service) Shut(now float64) bool { return s.breaker.IsOpen(now) }
