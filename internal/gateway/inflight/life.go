package inflight

import (
	"sync"

	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
)

// Word is what a txn's function is told: a decision of the module, or the answer that settles the txn.
type Word struct {
	Decision policy.Decision
	Answer   *transport.Answer
	To       Life        // Submit: the worker as it was when this was decided
	Sub      *Submission // Submit: the submission itself
	By       *Terms      // Submit: what it was decided by; nil where there are none
}

// Txn is one txn in hand. All but Box belongs to the gate's lock; Gone is set before its first submission.
type Txn struct {
	ID     uint64
	Of     uint64 // its customer
	Plan   int
	Kind   int     // its product
	Came   float64 // when it was taken
	Expiry float64
	Whole  float64     // when a body that is not kept had gone out
	Gone   func() bool // whether its client has closed
	Box    chan Word   // holds all that a txn can be told, so that telling never waits
	Final  bool        // its final answer is on the way
	Out    int         // submissions that have not ended
	Clear  bool        // it is cleared ahead of its coming
	Subs   []*Submission
}

// NewTxn makes room for a txn of at most so many submissions.
func NewTxn(id uint64, expiry float64, gone func() bool, subs int) *Txn {
	return &Txn{ID: id, Expiry: expiry, Gone: gone, Box: make(chan Word, subs+1)}
}

// Submission is one submission that is out, which another goroutine may withdraw.
type Submission struct {
	Recorded  bool // it is written down that it goes out; the goroutine's that carries it
	mu        sync.Mutex
	link      *transport.Link
	withdrawn bool
}

// Begin puts a submission on a link, unless it has been withdrawn.
func (s *Submission) Begin(l *transport.Link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.withdrawn {
		return false
	}
	s.link = l
	return true
}

// End takes a submission off its link, and tells whether it was withdrawn before.
func (s *Submission) End() (withdrawn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link = nil
	return s.withdrawn
}

// Withdraw ends a submission: one that has not been sent never will be.
func (s *Submission) Withdraw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawn = true
	if s.link != nil {
		s.link.Abort()
	}
}

// Bar keeps a submission that has not been sent from ever being.
func (s *Submission) Bar() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawn = s.withdrawn || s.link == nil
}
