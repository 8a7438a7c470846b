package consensus

import "time"

// floorPeriod is how long the least delay of a leader's messages is remembered at least: clocks drift.
const delayWindow = 10 * time.Second

// contact follows when the leader last spoke. Messages carry the leader's clock; one that comes later than
// its like, because a link or this process stood still, counts from when it should have come. So a replica
// that wakes does not take what waited for it for news.
type leaderContact struct {
	leader           string // the leader, and its term: another one has another clock
	term             uint64
	lastContact      time.Duration // when the newest message should have come, on this replica's clock
	minDelay         time.Duration // the least difference between this clock and the leader's, lately
	previousMinDelay time.Duration // the same in the period before
	windowEnds       time.Duration
}

// note takes a message that carries the leader's clock.
func (c *leaderContact) observe(now time.Duration, leader string, term, round uint64) {
	delay := now - time.Duration(round)*time.Microsecond
	if c.leader != leader || c.term != term {
		*c = leaderContact{
			leader: leader, term: term, lastContact: now, minDelay: delay, previousMinDelay: delay, windowEnds: now + delayWindow,
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

// within reports whether the leader has spoken within a time.
func (c *leaderContact) within(now, duration time.Duration) bool {
	return c.leader != "" && now-c.lastContact < duration
}

// leaderClock returns what the leader's clock shows at least, in microseconds.
func (c *leaderContact) leaderClock(now time.Duration) uint64 {
	return uint64((now - min(c.minDelay, c.previousMinDelay)) / time.Microsecond)
}
