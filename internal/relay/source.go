package relay

// Source answers those below by a view, which is a council's own or a Follower's. It is not safe for
// concurrent use.
type Source struct{ name, cluster string }

// NewSource makes one that knows nothing yet.
func NewSource(name, cluster string, b Bounds) *Source { return &Source{name, cluster} }

// Offer gives it the view to answer by. One of a lower step, or of the same and an older read, is passed
// over.
func (s *Source) Offer(v View) { panic("soon") }

// Answer answers a question at a time, ms, by the clock of the view's Begun, taken after the question came.
// What it gives is not to be changed. An error is for one who asks what can't be answered, and names the
// reason.
func (s *Source) Answer(a *Ask, now float64) (*Answer, error) { panic("soon") }

// Told gives what those below have said anew since it was last called: to Follower.Tell, or to the council.
func (s *Source) Told() []HostStep { panic("soon") }

// Highest gives the highest index of discovery's list that those below have told lately; below nought: none.
func (s *Source) Highest(now float64) int64 { panic("soon") }

// SourceCounts are what a Source has met.
type SourceCounts struct {
	Asks      int64
	Renewals  int64 // answers with nothing but step, marks and age
	Deltas    int64
	Wholes    int64
	WholeSize int64 // bytes of them
	Busy      int64
	Refused   int64 // questions of another form or cluster, or with an interest that is none
	Seen      int64 // facts that were news
	Dropped   int64 // facts on hosts beyond the bound
}

// Counts gives what it has met.
func (s *Source) Counts() SourceCounts { panic("soon") }
