package policy // what became of submissions, and which of them may be made again

import "math"

// Ended tells how submission n of a txn ended, and whether that closed the txn, now or earlier.
func (g *Engine) AttemptEnded(id uint64, n int, o Outcome, took float64, closed bool) {
	slot, ok := g.byID[id]
	if !ok || n < 0 || n >= len(g.txns[slot].subs) || !g.txns[slot].subs[n].out {
		return
	}
	t := &g.txns[slot]
	s := &t.subs[n]
	w, p := g.back(t, s), &g.plans[t.plan]
	if p.out > 0 && o != NotSent {
		p.stay += fleetGain * (took - p.stay)
	}
	if t.tight && o == Succeeded {
		p.tight += tightGain * (1 - p.tight)
	} else if t.tight && o == TimedOut {
		p.tight -= tightGain * p.tight
	}
	sla := math.Max(g.products[t.product].sla, 1)
	if late := took > overdue*math.Max(g.pace, 1); late && o == Succeeded {
		g.long.add(1, g.now, astrayFade)
	} else if late && o == TimedOut && w.heard >= s.sent {
		g.astray.add(1, g.now, astrayFade)
	}
	if o <= Overloaded || o == ConnectFailed || o == ConnectionLost {
		w.heard = g.now
	}
	switch o {
	case Succeeded:
		if s.sent < g.thawed {
			break
		}
		g.timed(w, took)
		g.earn(w, t.units)
		if g.openTo[g.sort(t)] > mostly { // else it is those few workers that are pressed
			g.pressed(took / sla / g.charter.slack)
		}
	case Failed, ConnectionLost:
		g.doubt(w, took)
		g.risk(t, s)
	case ConnectFailed:
		g.doubt(w, took)
	case Overloaded:
		if g.turned(w, t); w.full {
			g.doubt(w, took)
			g.pressed(1)
		}
	case TimedOut:
		if !s.moved {
			g.doubt(w, took)
			if took < lost*g.pace { // where tries are short, late answers are never seen
				g.pressed(1)
			}
		}
		g.risk(t, s)
	case Cancelled:
		g.risk(t, s)
	}
	if closed && !t.answered {
		t.answered = true
		g.tally.FinalByReason[ReasonSucceeded]++
	}
	g.due = append(g.due, slot)
}

// turned notes that a worker turned a txn away as full. It counts as full for all only once it has done so to
// more than one plan and product, as far as there are more. Guards against workers that turn away one of them
// though they have room. A plan turned away by a part of the workers gets the rest's part of the window.
func (g *Engine) turned(w *worker, t *txn) {
	g.marks(w)[g.sort(t)].add(1, g.now, turnedFade)
	plan, product := len(g.plans) == 1, len(g.products) == 1
	for i := range w.turned {
		if g.turnsAway(w, i) {
			plan = plan || i/len(g.products) != t.plan
			product = product || i%len(g.products) != t.product
		}
	}
	w.full = plan && product
}

// turnsAway tells whether a worker is held to turn a sort of txn away.
func (g *Engine) turnsAway(w *worker, sort int) bool {
	return w.turned != nil && w.turned[sort].at(g.now, turnedFade) > turnedAt
}

// watch looks at a waiting txn for a silent worker.
func (g *Engine) watch(t *txn) {
	if !t.live || t.answered || t.coming {
		return
	}
	p := &g.products[t.product]
	g.nextBeat = math.Min(g.nextBeat, math.Max(t.expiry, g.now+margin)) // beat may be beyond it
	for i := range t.subs {
		s := &t.subs[i]
		if !s.out || s.moved {
			continue
		}
		w, from := &g.workers[s.worker], math.Max(s.sent, g.thawed)
		if w.heard >= s.sent {
			// Guards against answers that get lost though their worker is well. A txn that is only long would be
			// long again, so it acts only while more of such age were never answered than late, once a txn.
			due := from + math.Max(patience*p.sla, overdue*math.Max(g.pace, w.pace))
			switch loses := g.astray.at(g.now, astrayFade) > g.long.at(g.now, astrayFade)+1; {
			case loses && g.now >= due && len(t.subs) == 1:
				s.moved, t.another = true, true
			case loses && g.now < due:
				g.nextBeat = math.Min(g.nextBeat, math.Max(due, g.now+beat))
			}
			continue
		}
		g.nextBeat = math.Min(g.nextBeat, math.Max(from+patience*p.sla, g.now+beat))
		age := g.now - from
		owes := age * float64(w.inFlight) / math.Max(g.pace, 1)
		if age < patience*p.sla {
			continue
		}
		// Guards against workers that take txns and answer none: a hang, a lost hall, a cut link. The place of
		// such a txn is free for others well before it is moved, as moving one that is only slow wastes its work.
		if owes > lost {
			g.seat(s, false)
		}
		if !s.placed && !s.moved && owes > quiet {
			s.moved, t.another = true, true
			g.doubt(w, age)
		}
	}
}

// mayRepeat is until when a further submission may begin under the rule against double effects; 0 is never.
func (g *Engine) mayRepeat(t *txn, running bool) float64 {
	p := &g.products[t.product]
	switch {
	case len(t.subs) >= g.charter.maxSubs || t.poured:
		return 0
	case !t.mayRun && !running || p.repeat == Idempotent:
		return math.Inf(1)
	case p.repeat == NonIdempotent:
		return 0
	}
	from := t.bondAt
	for i := range t.subs {
		if s := &t.subs[i]; s.out && (!t.mayRun || s.sent < from) {
			from = s.sent
			break
		}
	}
	return from + p.window - beat
}

// giveUp ends a txn at once: declined where that promise holds, else voided.
func (g *Engine) giveUp(t *txn, why FinalReason, wait float64) Decision {
	t.answered = true
	g.tally.FinalByReason[why]++
	g.due = append(g.due, g.byID[t.id])
	p := &g.products[t.product]
	if t.out == 0 && !t.mayRun || p.repeat == Idempotent || p.repeat == Deduplicated &&
		p.group == DedupAcrossFleet {
		g.tally.Rejected++
		if !g.charter.advise {
			wait = 0
		}
		return Decision{Kind: Reject, RequestID: t.id, WaitMillis: math.Min(wait, g.charter.maxAdvice)}
	}
	g.tally.RejectedUncertain++
	return Decision{Kind: RejectUncertain, RequestID: t.id}
}

func (g *Engine) submit(t *txn, wi int) Decision {
	latest := g.mayRepeat(t, t.out > 0)
	if len(t.subs) == 0 {
		g.spend(t)
	}
	w := &g.workers[wi]
	if g.warmth(w.StartedAtMillis) < 1 {
		w.coldAt, w.coldDebt = g.now, t.units
	}
	g.seat(g.away(t, wi), !t.coming)
	return g.order(t, wi, latest)
}
