package borrowing

import (
	"math"
	"math/bits"
)

// This file holds what gatekeepers exchange of customers' lines.

// Resize tells that there are so many gatekeepers from now on.
func (b *Book) Resize(n int) { b.terms.Gatekeepers = n }

// Hear takes a peer's words. Its counters only grow, so that a word that was lost, came twice, late or out of
// turn does no harm: what is news is the difference to the most that was heard.
func (b *Book) Hear(from int, entries []Entry) {
	for i := range entries {
		b.hear(from, &entries[i])
	}
}

func (b *Book) hear(from int, e *Entry) {
	plan, first, n := int(e.Plan), int(e.First), int(e.N)
	if from == b.terms.Me || plan >= len(b.lines) || b.lines[plan] <= 0 || n < 2 || n > widest ||
		n > b.terms.Gatekeepers || first >= b.terms.Gatekeepers {
		b.sum.Strayed++
		return
	}
	form, its := b.form(plan, first, n), b.place(first, n, from)
	if uint16(form) != e.Form || its == widest || b.place(first, n, b.terms.Me) == widest {
		b.sum.Strayed++
		return
	}
	at := b.find(e.Customer, plan, first, n)
	if at < 0 {
		return
	}
	a := &b.all[at]
	if a.Form != form {
		if b.now-a.seen < settled { // its own txns say otherwise
			b.sum.Strayed++
			return
		}
		b.reform(at, plan, first, n, form)
	}
	p, none := b.pair(a, from), e.GaveR|e.GaveD|e.GotR|e.GotD == 0
	if p == nil && !none { // it can't be kept, and so is not believed: the peer will say it again
		return
	}
	if p != nil && (!none || e.Asks || e.Fill > 0 || e.Spare > 0) {
		p.use(from)
	}
	bit := uint64(1) << its
	if a.Known && p != nil && p.Used && (e.GotR > p.GaveR || e.GotD > p.GaveD) {
		// Guards against a book older than what it has said, as one brought back from a copy.
		b.sum.Forgotten++
		a.forget(b.nonce())
		b.state(at)
		b.touch(at)
		b.wake(at)
		p = b.pair(a, from)
		p.use(from)
	}
	news := false
	switch {
	case a.Known:
		news = b.merge(at, p, e)
	case !none && (a.heard&bit != 0 || e.Answers && e.Echo == a.nonce): // nothing from before it was asked
		news = e.GotR > p.GaveR || e.GotD > p.GaveD || e.GaveR > p.GotR || e.GaveD > p.GotD
		p.GaveR, p.GaveD = max(p.GaveR, e.GotR), max(p.GaveD, e.GotD)
		p.GotR, p.GotD = max(p.GotR, e.GaveR), max(p.GotD, e.GaveD)
	}
	if p != nil && p.Used {
		p.ackedR, p.ackedD = max(p.ackedR, e.GotR), max(p.ackedD, e.GotD)
		p.fill, p.heardFill, p.known = e.Fill/1000, b.now, e.Known
		p.spare = e.Spare * parts
	}
	if news {
		b.touch(at)
		b.say(at, from)
	}
	if !a.Known && e.Answers && e.Echo == a.nonce {
		if a.heard |= bit; e.Virgin {
			a.virgins |= bit
		} else {
			a.virgins &^= bit
		}
		b.settle(at)
	}
	if e.Asks {
		a.reply, a.echo = bit, e.Nonce // one question at a time: others are asked again
		if b.sum.Asked++; e.Known {    // what is held here is asked for, or what is credited
			a.sought = b.now
		}
		b.say(at, from)
		b.wake(at) // for the next answer to say what is credited here
	}
	if e.Asks && e.Want > 0 && e.Known && a.Known { // and not at each word: rights would go to and fro
		b.give(at, from, int64(min(e.Want, math.MaxInt32)))
	}
}

// merge takes what a peer has given since it was last heard.
func (b *Book) merge(at int32, p *Pair, e *Entry) (news bool) {
	a := &b.all[at]
	if p == nil || !p.Used {
		return false
	}
	if line := uint64(b.lines[a.Plan]); e.GaveR > p.GotR+line || e.GaveD > p.GotD+line {
		b.sum.Strayed++ // more than there is
		return false
	}
	if e.GaveR > p.GotR {
		m := int64(e.GaveR - p.GotR)
		a.Rights, a.vain = a.Rights+m, 0
		p.GotR, news = e.GaveR, true
		b.sum.Taken += float64(m) / parts
		b.note(Takes, at, int(p.Peer), m, p.GotR)
	}
	if e.GaveD > p.GotD {
		m, repay := int64(e.GaveD-p.GotD), b.terms.Plans[a.Plan].Repay
		a.owe(m, b.now+math.Min(math.Max(e.Left, 0), 1)*repay, repay/slots)
		a.looked = math.Max(a.looked, b.now-period)
		p.GotD, news = e.GaveD, true
		b.note(TakesDebt, at, int(p.Peer), m, p.GotD)
		b.wake(at)
	}
	return news
}

// give hands rights on to a peer that asks for some. They are this gatekeeper's no more before it says so.
func (b *Book) give(at int32, to int, want int64) {
	a := &b.all[at]
	most := a.Rights
	if b.short(a) {
		most = int64(float64(most) * keepHalf)
	}
	m := min(max(want, int64(float64(most)*keepHalf)), most)
	p := b.pair(a, to)
	if m <= 0 || p == nil {
		return
	}
	p.use(to)
	a.Rights -= m
	p.GaveR += uint64(m)
	b.sum.Handed += float64(m) / parts
	b.note(Hands, at, to, m, p.GaveR)
	b.touch(at)
	b.wake(at)
	b.say(at, to)
}

// unsure tells whether what is held here has to be found out.
func (b *Book) unsure(a *account) bool { return !a.Known && (b.short(a) || b.now-a.sought < wantFor) }

// short tells whether a customer was lately refused a loan here.
func (b *Book) short(a *account) bool { return a.want > 0 && b.now-a.wantAt < wantFor }

// relieve hands a part of a debt that this gatekeeper's fill of the customer can't pay in time to the peer
// where the customer is credited most, of those that have acknowledged all that was handed to them: on a link
// that carries one way alone a peer is heard, and a debt handed to it would be nobody's to pay.
func (b *Book) relieve(at int32) {
	a := &b.all[at]
	pace, fill := a.pace(b.now), a.fill*relief*parts
	if pace <= fill || a.N < 2 {
		return
	}
	var best *Pair
	for i := range a.Pairs {
		if p := &a.Pairs[i]; p.Used && p.known && b.now-p.heardFill < fillTold && p.fill > a.fill &&
			p.GaveR <= p.ackedR && p.GaveD <= p.ackedD && (best == nil || p.fill > best.fill) {
			best = p
		}
	}
	if best == nil { // who sees the customer is not known yet
		if b.now-a.askedAt >= again {
			a.askedAt = b.now
			a.asks |= b.some(a)
			b.sayAll(at, a.asks)
		}
		return
	}
	m := int64(float64(a.owed()) * (1 - fill/pace) * keepHalf) // and more at the next look, if it must be
	if m <= 0 {
		return
	}
	due := math.Inf(1)
	for left := m; left > 0; {
		last := -1
		for i := range a.Owed {
			if a.Owed[i] > 0 && (last < 0 || a.Due[i] > a.Due[last]) {
				last = i
			}
		}
		x := min(a.Owed[last], left)
		a.Owed[last] -= x
		left -= x
		due = math.Min(due, a.Due[last])
	}
	if best.GaveD == best.ackedD {
		best.Due = due
	}
	best.Due = math.Min(best.Due, due)
	best.GaveD += uint64(m)
	b.sum.Moved += float64(m) / parts
	b.note(HandsDebt, at, int(best.Peer), m, best.GaveD)
	b.touch(at)
	b.say(at, int(best.Peer))
}

// some gives the others of a small set, or any few of a large one.
func (b *Book) some(a *account) (which uint64) {
	others := b.others(a)
	if bits.OnesCount64(others) <= relievers {
		return others
	}
	for bits.OnesCount64(which) < relievers {
		which |= others & (1 << b.rng.Intn(int(a.N)))
	}
	return which
}

// able gives a few of the others that may have rights to hand on: those who said that they have most, and of
// whom nothing is known; any one where all lately said that they have none.
func (b *Book) able(a *account) (which uint64) {
	left := b.others(a)
	for range askWide {
		best, most := -1, 0.0
		from := b.rng.Intn(int(a.N)) // of several alike, any
		for k := range int(a.N) {
			place := (from + k) % int(a.N)
			if left&(1<<place) == 0 {
				continue
			}
			spare := float64(a.want) // of whom nothing is known
			if p := b.pair(a, (int(a.First)+place)%b.terms.Gatekeepers); p != nil && p.Used &&
				int(p.Peer) == (int(a.First)+place)%b.terms.Gatekeepers && b.now-p.heardFill < spareTold {
				spare = p.spare
			}
			if spare > most {
				best, most = place, spare
			}
		}
		if best < 0 {
			break
		}
		which |= 1 << best
		left &^= 1 << best
	}
	for which == 0 && left != 0 {
		which = left & (1 << b.rng.Intn(int(a.N)))
	}
	return which
}

// say has a word wait for a peer.
func (b *Book) say(at int32, to int) {
	a := &b.all[at]
	bit := uint64(1) << b.place(int(a.First), int(a.N), to)
	if bit == 0 || a.says&bit != 0 || len(b.talk) >= talkMost {
		return
	}
	a.says |= bit
	b.talk = append(b.talk, talk{to, at})
}

func (b *Book) sayAll(at int32, which uint64) {
	a := &b.all[at]
	for which != 0 {
		place := bits.TrailingZeros64(which)
		which &^= 1 << place
		b.say(at, (int(a.First)+place)%b.terms.Gatekeepers)
	}
}

// word is what a peer is told of a customer.
func (b *Book) word(at int32, to int) Entry {
	a := &b.all[at]
	bit := uint64(1) << b.place(int(a.First), int(a.N), to)
	e := Entry{Customer: a.Customer, Plan: a.Plan, N: a.N, First: a.First, Form: uint16(a.Form), Known: a.Known,
		Virgin: a.Virgin, Nonce: a.nonce, Echo: a.echo, Asks: a.asks&bit != 0, Answers: a.reply&bit != 0}
	a.says, a.asks, a.reply = a.says&^bit, a.asks&^bit, a.reply&^bit
	if a.looked > 0 && b.now-a.looked < fillTold {
		e.Fill = a.fill * 1000
	}
	if a.Known && a.Rights > 0 && !(b.short(a) && a.Rights < a.want) {
		e.Spare = float64(a.Rights) / parts
	}
	if b.short(a) && a.Known && a.Rights < a.want {
		e.Want = uint64(a.want)
	}
	if p := b.pair(a, to); p != nil && p.Used {
		e.GaveR, e.GaveD, e.GotR, e.GotD = p.GaveR, p.GaveD, p.GotR, p.GotD
		if p.GaveD > 0 {
			e.Left = math.Min(math.Max((p.Due-b.now)/b.terms.Plans[a.Plan].Repay, 0), 1)
		}
		p.toldAt = b.now
	}
	return e
}

// look goes over the customers that anything is open of.
func (b *Book) look() {
	for range min(len(b.active), lookMost) {
		if b.at >= len(b.active) {
			b.at = 0
		}
		at := b.active[b.at]
		a := &b.all[at]
		if !b.open(a) {
			a.active = false
			last := len(b.active) - 1
			b.active[b.at] = b.active[last]
			b.active = b.active[:last]
			continue
		}
		b.at++
		b.tend(at)
	}
}

// beg asks the others of a set for rights that are wanted here, or for what is needed to know what is held.
func (b *Book) beg(at int32) {
	a := &b.all[at]
	if !b.short(a) && !b.unsure(a) || b.now-a.askedAt < again*float64(int(1)<<a.vain) {
		return
	}
	a.askedAt = b.now
	switch {
	case !a.Known:
		a.asks = b.others(a) &^ a.heard
	case a.Rights < a.want:
		a.asks, a.vain = b.able(a), min(a.vain+1, vainMost)
	}
	b.sayAll(at, a.asks)
}

// need is how much of a span's fill has to go to debts. While a customer borrows that is nothing, as long as
// a part of its later fill is enough to pay all in time.
func (b *Book) need(a *account, span float64) float64 {
	pace := a.pace(b.now)
	if b.now-a.seen < quiet && pace < a.fill*Part*parts {
		return 0
	}
	return math.Min(pace*span, float64(a.owed())) / parts
}

// open tells whether a customer is to be looked at.
func (b *Book) open(a *account) bool {
	if !a.Live || int(a.Plan) >= len(b.lines) {
		return false
	}
	if a.owed() > 0 || a.Known && a.Earn > 0 || b.short(a) || b.unsure(a) || a.asks|a.reply != 0 {
		return true
	}
	for i := range a.Pairs {
		if p := &a.Pairs[i]; p.Used && (p.GaveR > p.ackedR || p.GaveD > p.ackedD || b.now-p.heardFill < fillTold) {
			return true
		}
	}
	return false
}

// tend sees to one of them.
func (b *Book) tend(at int32) {
	a := &b.all[at]
	if due := b.now - a.looked; due >= earnEach || due >= period*(1-1e-9) && (a.owed() > 0 || a.Earn == 0) {
		b.collect = append(b.collect, at)
	}
	if a.owed() > 0 && a.Known {
		b.relieve(at)
	}
	b.beg(at)
	for i := range a.Pairs {
		if p := &a.Pairs[i]; p.Used && (p.GaveR > p.ackedR || p.GaveD > p.ackedD) && b.now-p.toldAt >= again {
			b.say(at, int(p.Peer))
		}
	}
}

// Next gives the next decision, or none. What is to be kept comes before what is said of it.
func (b *Book) Next() (Decision, bool) {
	if len(b.notes) > 0 {
		d := b.notes[0]
		b.notes = b.notes[1:]
		return d, true
	}
	if n := len(b.dirty); n > 0 {
		at := b.dirty[n-1]
		b.dirty = b.dirty[:n-1]
		b.all[at].dirty = false
		return Decision{Act: Store, Place: int(at), Record: &b.all[at].Record}, true
	}
	if len(b.later) > 0 {
		d := b.later[0]
		b.later = b.later[1:]
		return d, true
	}
	if b.begun && b.now >= b.next {
		b.next = b.now + period
		b.look()
		if len(b.dirty)+len(b.notes)+len(b.later) > 0 {
			return b.Next()
		}
	}
	if len(b.talk) > 0 && b.may() {
		to, kept := b.talk[0].peer, b.talk[:0]
		b.entries = b.entries[:0]
		for _, t := range b.talk {
			if t.peer == to && len(b.entries) < tellMost {
				b.entries = append(b.entries, b.word(t.at, to))
			} else {
				kept = append(kept, t)
			}
		}
		b.talk = kept
		return Decision{Act: Tell, Peer: to, Entries: b.entries}, true
	}
	if n := len(b.collect); n > 0 {
		at := b.collect[n-1]
		b.collect = b.collect[:n-1]
		a := &b.all[at]
		span := math.Min(b.now-a.looked, 2*earnEach)
		a.looked = b.now
		owed := float64(a.owed())
		return Decision{Act: Collect, Customer: a.Customer, Plan: int(a.Plan), N: int(a.N), Span: span,
			Need: b.need(a, span), Most: (owed + float64(max(a.Earn, 0))) / parts}, true
	}
	return Decision{}, false
}

// may tells whether one more message fits the part for words, and counts it. What waits meanwhile goes
// together.
func (b *Book) may() bool {
	rate := b.terms.PeerInPerS * tellPart / 1000
	if rate <= 0 {
		return true
	}
	if b.saidAll = math.Max(b.saidAll, b.now); b.saidAll-b.now > (tellRow-1)/rate {
		return false
	}
	b.saidAll += 1 / rate
	return true
}

// Busy tells whether anything is open, so that the host has to look again within a period.
func (b *Book) Busy() bool { return len(b.active)+len(b.talk) > 0 }
