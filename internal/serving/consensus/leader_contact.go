package consensus

import "time"

// delayWindow is the minimum time for which the smallest observed message delay is kept. It is not kept
// forever, since clocks drift.
const delayWindow = 10 * time.Second

// leaderContact records when the leader last sent a message. Each message carries the leader's clock. A
// message may be delayed by more than the smallest observed delay, because a link or this process was
// stalled. Its contact time is then the time at which it would have arrived with the smallest delay, so
// that a replica that resumes after a stall does not count queued messages as recent contact.
type leaderContact struct {
	leader           string        // identity of the leader; the delays hold for one leader's clock only
	term             uint64        // term of the leader
	lastContact      time.Duration // when the newest message should have arrived, by this replica's clock
	minDelay         time.Duration // smallest difference in this window between this clock and the leader's
	previousMinDelay time.Duration // smallest difference in the previous window
	windowEnds       time.Duration
}

// observe records a message. round is the leader's clock that it carries, in microseconds.
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

// within reports whether the last contact with the leader was less than a duration before now.
func (c *leaderContact) within(now, duration time.Duration) bool {
	return c.leader != "" && now-c.lastContact < duration
}

// leaderClock returns a lower bound of the leader's clock at now, in microseconds.
func (c *leaderContact) leaderClock(now time.Duration) uint64 {
	return uint64((now - min(c.minDelay, c.previousMinDelay)) / time.Microsecond)
}
