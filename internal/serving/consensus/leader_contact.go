package consensus

import "time"

// delayWindow is the minimum time for which the smallest observed message delay is remembered. Clocks drift,
// so it is not remembered for good.
const delayWindow = 10 * time.Second

// leaderContact records when the leader last sent a message. Messages carry the leader's clock; one with more
// delay than the smallest one observed, because a link or this process was stalled, counts from when it
// should have arrived. A replica that resumes after a stall therefore does not count queued messages as
// recent contact.
type leaderContact struct {
	leader           string // its identity and term: another leader has another clock
	term             uint64
	lastContact      time.Duration // when the newest message should have arrived, by this replica's clock
	minDelay         time.Duration // the smallest difference between this clock and the leader's in this window
	previousMinDelay time.Duration // the same in the window before
	windowEnds       time.Duration
}

// observe records a message that carries the leader's clock, round, in microseconds.
func (c *leaderContact) observe(now time.Duration, leader string, term, round uint64) {
	delay := now - time.Duration(round)*time.Microsecond
	if c.leader != leader || c.term != term {
		*c = leaderContact{
			leader: leader, term: term, lastContact: now, minDelay: delay, previousMinDelay: delay,
			windowEnds: now + delayWindow,
		}
		return
	}
	if now >= c.windowEnds {
		c.previousMinDelay, c.minDelay = c.minDelay, delay
		c.windowEnds = now + delayWindow
	}
	c.minDelay = min(c.minDelay, delay)
	excessDelay := delay - min(c.minDelay, c.previousMinDelay)
	c.lastContact = max(c.lastContact, now-excessDelay)
}

// within reports whether the leader has sent a message within a duration before now.
func (c *leaderContact) within(now, duration time.Duration) bool {
	return c.leader != "" && now-c.lastContact < duration
}

// leaderClock returns a lower bound of the leader's clock, in microseconds.
func (c *leaderContact) leaderClock(now time.Duration) uint64 {
	return uint64((now - min(c.minDelay, c.previousMinDelay)) / time.Microsecond)
}
