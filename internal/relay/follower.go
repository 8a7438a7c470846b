package relay

import "willowdeck/internal/resource"

// Follower follows those above: it asks one of them at a fixed rate, takes what they say, and goes over to
// another where one lies still. It is not safe for concurrent use.
type Follower struct{ c Config }

// NewFollower makes one at a time, ms, of the clock that all further times are of. The clock has to go on
// while the process stands still.
func NewFollower(c Config, now float64) *Follower { return &Follower{c: c} }

// Base gives states that a copy on disk had: deltas may be against them, and they are no proof that anything
// is in force. Either may be nil.
func (f *Follower) Base(rules, pending *resource.State) { panic("soon") }

// Clock sets the time of what follows, ms.
func (f *Follower) Clock(now float64) { panic("soon") }

// Next gives what follows; call it until there is nothing more.
func (f *Follower) Next() (Decision, bool) { panic("soon") }

// Heard takes the answer of an upstream to a question that was sent at a time. Clock has to be told of a
// later one first, and Next pulled after.
func (f *Follower) Heard(upstream int, asked float64, a *Answer) { panic("soon") }

// Failed tells that a question, sent at a time, gets no answer.
func (f *Follower) Failed(upstream int, asked float64) { panic("soon") }

// Tell has facts go up with the next questions, until one above has them.
func (f *Follower) Tell(all []HostStep) { panic("soon") }

// Index tells the highest index of discovery's list that is known here and below; below nought: none.
func (f *Follower) Index(highest int64) { panic("soon") }

// Holds tells a gatekeeper's process id and what it holds, which its questions to its daemon carry.
func (f *Follower) Holds(process int, step uint64) { panic("soon") }

// View gives what is known; false where there is nothing whose lease still runs.
func (f *Follower) View() (View, bool) { panic("soon") }

// Bases gives what is to be kept on disk: the latest states, whether or not they may be gone by.
func (f *Follower) Bases() (rules, pending *resource.State) { panic("soon") }

// Current gives the upstream that is asked now.
func (f *Follower) Current() int { panic("soon") }

// Counts gives what it has met.
func (f *Follower) Counts() Counts { panic("soon") }
