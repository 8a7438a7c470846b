package policy // how much a worker gets that has just started

import "math"

// warmth guesses which part of its capacity a worker has, from the stated least start and longest warm-up.
func (g *Engine) warmth(since float64) float64 {
	if since <= 0 || g.charter.warmUp <= 0 || g.now-since >= g.charter.warmUp {
		return 1
	}
	return g.charter.coldFrom + (1-g.charter.coldFrom)*math.Max(g.now-since, 0)/g.charter.warmUp
}

// turn tells whether it is this gatekeeper's turn at a worker that is not warm. Guards against turns that all
// have kept and use at once: one lasts as long as such a worker bears too much for, the next is earned anew.
func (g *Engine) turn(w *worker) bool {
	if w.coldDebt > 0 {
		w.coldDebt, w.coldAt = math.Max(w.coldDebt-(g.now-w.coldAt)*g.coldRate(w.StartedAtMillis), 0), g.now
	} else if g.charter.turnFor > 0 && g.now-w.coldAt > g.charter.turnFor {
		w.coldDebt, w.coldAt = g.charter.middling(), g.now
	}
	return w.coldDebt <= 0
}

// coldRate is this gatekeeper's budget for a worker that is not warm, in units a ms: what it sees a warm
// worker do, times the guessed warmth. Each gatekeeper's part of the warm load adds up to no more than a
// warm worker can do, so together they stay under the worker's present capacity whoever else is alive. What
// they did is shared by those that were warm then: by those left of a lost hall it would come to many times.
func (g *Engine) coldRate(since float64) float64 {
	if as := [...]float64{g.now, g.started, g.warmAt, g.warmEach}; as != g.coldAs {
		span := math.Max(refMemory*(1-math.Exp((g.started-g.now)/refMemory)), refLeast)
		g.coldAs, g.coldEach = as, g.warmEach*math.Exp((g.warmAt-g.now)/refMemory)/span
	}
	least := g.charter.coldFrom / (coldBlind * float64(g.charter.n))
	return math.Max(g.charter.coldPart*g.warmth(since)*g.coldEach, least)
}
