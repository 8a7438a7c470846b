package txnjournal

import (
	"fmt"
	"math"
	"slices"
)

// Book is what a journal says: its txns, and when it may lack some. It is filled by reading segments in the
// order of their numbers, and by each record that is written after. Same records, same answers; it may be
// told the same record twice. It is not safe for concurrent use.
type Book struct {
	terms   Terms
	txns    map[key]*entry
	order   []*entry // by when they were first told of; those forgotten are skipped
	kept    int      // bytes of answers
	keptBy  []*entry // by when their answers came
	began   bool
	last    Head    // of the segment read last
	latest  float64 // time of the last record
	horizon float64 // what was forgotten, or came before the journal, is no later
	cover   float64 // nothing is sent unwritten until then
	below   uint64
	spans   []Span
	gaps    []gap
	Spans   int // doubts in all; the latest are in Doubts
	Strays  int // ends without their beginnings
}

type key struct {
	customer uint64
	mark     string
}

type entry struct {
	Entry
	open     []of
	mayRun   bool
	low      uint64 // the lowest segment that holds a record of it which is not repeated further on
	forgot   bool
	answered float64
}

// gap is a time of which segments are missing, before the next one that is there.
type gap struct {
	Span
	next uint64
}

type of struct {
	life uint32
	sub  Sub
}

// Entry is a txn with what is known of it.
type Entry struct {
	Txn
	Worker  string // of the submission told of last
	Life    uint32
	Meant   float64 // when it was first about to go out
	Changed float64
	Expiry  float64
	Subs    int // submissions that were written down
	Open    int // of these without an end
	Settled bool
	Answer  Answer
}

// NewBook starts with nothing known.
func NewBook(t Terms) *Book {
	return &Book{terms: t, txns: map[key]*entry{}, horizon: math.Inf(-1), cover: math.Inf(1)}
}

// Opens tells that a segment begins, by its head. A blank one says nothing.
func (b *Book) Opens(h Head) {
	if h.Number > b.last.Number+1 {
		b.missing(b.last.Number+1, h)
	} else if !b.began && !h.Spoilt {
		b.horizon = h.At // before it there was no journal
	}
	b.began = true
	if h.Spoilt || h.Unreadable {
		b.last.Number = h.Number
		from := b.latest // its promise can't be read
		if h.Unreadable {
			from = h.At
		}
		b.cover = math.Min(b.cover, from)
		return
	}
	if b.last.Life > 0 && (stepped(&b.last, &h) || !math.IsInf(b.cover, 1) && h.At < b.latest) {
		b.step(h.At)
	}
	if h.Policy == Refuse {
		b.covers(h.At, math.Inf(1))
	} else if h.Life != b.last.Life { // it has promised nothing yet
		b.covers(h.At, h.At)
	}
	b.last, b.latest = h, h.At
}

// Blank tells that a segment is there in which nothing was ever written.
func (b *Book) Blank(number uint64) {
	if number == b.last.Number+1 || b.began {
		b.last.Number = number
	}
}

// missing notes that segments are not there. Where they were let go, a Checked further on says so.
func (b *Book) missing(from uint64, h Head) {
	b.gaps = append(b.gaps, gap{Span{math.Max(b.latest, 0), math.Max(h.At, b.latest),
		fmt.Sprintf("segments %d to %d are missing", from, h.Number-1)}, h.Number})
}

// covers renews the promise to send nothing unwritten. Between the last one's end and this is a doubt.
func (b *Book) covers(at, until float64) {
	if at > b.cover {
		b.doubt(Span{math.Max(b.cover, 0), at, "txns may have been sent that could not be written down"})
	}
	b.cover = until
}

// step notes that the system's clock was set: by the new time all that is in doubt or forgotten was before.
func (b *Book) step(at float64) {
	for i := range b.spans {
		s := &b.spans[i]
		s.From, s.To = 0, math.Max(s.To, at)
	}
	if !math.IsInf(b.cover, 1) {
		b.doubt(Span{0, at, "the clock was set"})
	}
	b.horizon = math.Max(b.horizon, at)
}

// doubt notes a time in which something may be missing. Beyond some, the oldest are taken as one.
func (b *Book) doubt(s Span) {
	b.Spans++
	if b.spans = append(b.spans, s); len(b.spans) > mostSpans {
		one, two := b.spans[0], b.spans[1]
		b.spans = b.spans[1:]
		b.spans[0] = Span{math.Min(one.From, two.From), math.Max(one.To, two.To), two.Why + ", and others before"}
	}
}

// Closes takes what reading a segment has met. until is when the next segment begins, or now.
func (b *Book) Closes(s Seen, until float64) {
	for _, d := range s.Doubts {
		if math.IsInf(d.To, 1) {
			d.To = math.Max(until, d.From)
		}
		b.doubt(d)
	}
}

// Take takes a record of a segment.
func (b *Book) Take(segment uint64, r Record) {
	b.latest = math.Max(b.latest, r.At)
	switch r.Kind {
	case Meant, Ended, Kept:
		b.txn(segment, r)
	case Covers:
		if b.last.Policy == Serve && r.Life == b.last.Life {
			b.covers(r.At, r.To)
		}
	case Gone:
		b.covers(r.At, math.Inf(1))
	case Checked:
		b.checked(r)
	case Stepped:
		b.step(math.Max(r.At, r.To))
		b.latest = r.At
	}
}

func (b *Book) checked(r Record) {
	if b.below = max(b.below, r.Below); r.To > 0 {
		b.horizon = math.Max(b.horizon, r.To)
	}
}

// Finish ends the reading of segments: those that are missing, and were not let go, are doubts.
func (b *Book) Finish() {
	for _, g := range b.gaps {
		if g.next > b.below {
			b.doubt(g.Span)
		}
	}
	b.gaps = nil
}

func (b *Book) txn(segment uint64, r Record) {
	k := key{r.Txn.Customer, r.Txn.Mark}
	e := b.txns[k]
	sub := of{r.Life, r.Sub}
	if e == nil {
		e = &entry{low: segment}
		e.Txn, e.Meant = r.Txn, r.At
		b.txns[k] = e
		b.order = append(b.order, e)
		if r.Kind == Ended { // its beginning is lost, or was never written
			b.Strays++
		}
		defer b.bound()
	}
	if e.Changed = math.Max(e.Changed, r.At); r.Worker != "" {
		e.Worker = r.Worker
	}
	e.Expiry = math.Max(e.Expiry, r.Expiry)
	switch r.Kind {
	case Meant:
		e.open = append(e.open, sub)
		e.Subs++
		e.Digest, e.Life, e.Product = r.Txn.Digest, r.Life, r.Txn.Product
	case Ended:
		for i, o := range e.open {
			if o == sub {
				e.open = append(e.open[:i], e.open[i+1:]...)
				break
			}
		}
		e.mayRun = e.mayRun || r.End == MayRun || r.End == Open
	case Kept:
		e.mayRun = e.mayRun || r.End == MayRun || r.End == Open
		e.Meant = math.Min(e.Meant, r.First)
		e.Subs, e.Life = max(e.Subs, 1), r.Life
	}
	if r.End == Settled {
		if e.Settled = true; r.Answer.Whole && !e.Answer.Whole {
			b.keep(e, r)
		}
	}
	e.Open = len(e.open)
}

func (b *Book) keep(e *entry, r Record) {
	if e.Answer, e.answered = r.Answer, r.At; r.Kind == Kept {
		e.answered = r.First
	}
	b.kept += len(r.Answer.Body)
	b.keptBy = append(b.keptBy, e)
}

// bound forgets the oldest txns beyond the terms.
func (b *Book) bound() {
	for len(b.txns) > b.terms.Txns && len(b.order) > 0 {
		b.forget(b.order[0])
		b.order = b.order[1:]
	}
}

// Trim lets go the answers that are too old, or too many.
func (b *Book) Trim(now float64) {
	for len(b.keptBy) > 0 {
		e := b.keptBy[0]
		if !e.forgot && b.kept <= b.terms.Answers && now-e.answered < b.terms.Remember {
			return
		}
		if b.keptBy = b.keptBy[1:]; !e.forgot {
			b.kept -= len(e.Answer.Body)
			e.Answer = Answer{}
		}
	}
}

// forget lets a txn go. One that never ran leaves nothing unsaid.
func (b *Book) forget(e *entry) {
	if e.forgot {
		return
	}
	e.forgot = true
	b.kept -= len(e.Answer.Body)
	delete(b.txns, key{e.Customer, e.Mark})
	if e.verdict() != NotSent {
		b.horizon = math.Max(b.horizon, e.Changed)
	}
}

// verdict tells what is known by a txn's own records.
func (e *entry) verdict() Verdict {
	switch {
	case e.Settled:
		return SentSettled
	case e.mayRun || len(e.open) > 0:
		return SentUnknown
	}
	return NotSent
}

// Known gives a customer's txn, if it may have gone out; NotSent if nothing is known that could have.
func (b *Book) Known(customer uint64, mark string) (Entry, Verdict) {
	e := b.txns[key{customer, mark}]
	if e == nil {
		return Entry{}, NotSent
	}
	return e.Entry, e.verdict()
}

// Answers gives what is to be told of a txn that, if at all, went out between two times, and says why. Only
// where the journal lacks nothing of these does it say that it was not sent. found is what it knows of the
// mark, one for each customer.
func (b *Book) Answers(mark string, from, to, now float64) (v Verdict, why string, found []Entry) {
	for _, e := range b.order {
		if !e.forgot && e.Mark == mark {
			v = max(v, e.verdict())
			found = append(found, e.Entry)
		}
	}
	if v != NotSent {
		return v, "by its records", found
	}
	from, to = from-slack, to+slack
	switch {
	case !b.began:
		return SentUnknown, "there is no journal", found
	case from <= b.horizon:
		return SentUnknown, "the journal may have forgotten it, or began later", found
	case math.Min(to, now) > b.cover:
		return SentUnknown, "it may be sent without being written down now", found
	}
	for _, s := range b.spans {
		if s.From <= to && from <= s.To {
			return SentUnknown, "the journal may lack it: " + s.Why, found
		}
	}
	return NotSent, "the journal lacks nothing of that time", found
}

// Open tells whether a submission is written down, and its end is not.
func (b *Book) Open(t Txn, life uint32, s Sub) bool {
	e := b.txns[key{t.Customer, t.Mark}]
	return e != nil && slices.Contains(e.open, of{life, s})
}

// Each gives all txns, the oldest first.
func (b *Book) Each(f func(Entry, Verdict)) {
	for _, e := range b.order {
		if !e.forgot {
			f(e.Entry, e.verdict())
		}
	}
}

// Horizon is the time from which on nothing has been forgotten; nor was there a journal before its first.
func (b *Book) Horizon() float64 { return b.horizon }

// Doubts gives the latest times in which something may be missing.
func (b *Book) Doubts() []Span { return b.spans }

// Len is how many txns are known, and how many bytes of answers are kept.
func (b *Book) Len() (txns, answers int) { return len(b.txns), b.kept }

// Below is the number below which segments are of no use.
func (b *Book) Below() uint64 { return b.below }

// Checkpoint gives what has to be written, at the head of a new segment, before those below a number are let
// go: the txns that only these hold, as far as they fit so many bytes, the oldest forgotten first, and last
// the word that it is done. Once that is durable, Moved is to be called.
func (b *Book) Checkpoint(below uint64, life uint32, now float64, room int) []Record {
	b.Trim(now)
	var all []Record
	size := 0
	live := b.order[:0:0]
	for i := len(b.order) - 1; i >= 0; i-- { // the newest first
		e := b.order[i]
		if e.forgot {
			continue
		}
		if e.low >= below {
			live = append(live, e)
			continue
		}
		need := frameBytes + 72 + len(e.Mark) + len(e.Product) + len(e.Worker) + len(e.Answer.Type) +
			len(e.Answer.Coding) + len(e.Answer.Body)
		if e.verdict() == NotSent || size+need > room {
			b.forget(e)
			continue
		}
		size += need
		live = append(live, e)
		end := Settled
		if !e.Settled {
			end = MayRun
		}
		all = append(all, Record{Kind: Kept, Life: life, At: now, Txn: e.Txn, Worker: e.Worker, First: e.Meant,
			Expiry: e.Expiry, End: end, Answer: e.Answer})
	}
	for i, j := 0, len(live)-1; i < j; i, j = i+1, j-1 {
		live[i], live[j] = live[j], live[i]
	}
	b.order = live
	for i, j := 0, len(all)-1; i < j; i, j = i+1, j-1 {
		all[i], all[j] = all[j], all[i]
	}
	to := b.horizon
	if !sane(to) {
		to = 0
	}
	return append(all, Record{Kind: Checked, Life: life, At: now, Below: below, To: to})
}

// Moved tells that a checkpoint is durable in a segment.
func (b *Book) Moved(below, segment uint64) {
	b.below = max(b.below, below)
	for _, e := range b.order {
		if e.low < below {
			e.low = segment
		}
	}
}
