package consensus

import "time"

// floorPeriod is how long the least delay of a leader's messages is remembered at least: clocks drift.
const floorPeriod = 10 * time.Second

// contact follows when the leader last spoke. Messages carry the leader's clock; one that comes later than
// its like, because a link or this process stood still, counts from when it should have come. So a replica
// that wakes does not take what waited for it for news.
type contact struct {
	from     string // the leader, and its term: another one has another clock
	term     uint64
	heard    time.Duration // when the newest message should have come, on this replica's clock
	floor    time.Duration // the least difference between this clock and the leader's, lately
	earlier  time.Duration // the same in the period before
	rotateAt time.Duration
}

// note takes a message that carries the leader's clock.
func (c *contact) note(now time.Duration, from string, term, round uint64) {
	delay := now - time.Duration(round)*time.Microsecond
	if c.from != from || c.term != term {
		*c = contact{
			from: from, term: term, heard: now, floor: delay, earlier: delay, rotateAt: now + floorPeriod,
		}
		return
	}
	if now >= c.rotateAt {
		c.earlier, c.floor = c.floor, delay
		c.rotateAt = now + floorPeriod
	}
	c.floor = min(c.floor, delay)
	late := delay - min(c.floor, c.earlier)
	c.heard = max(c.heard, now-late)
}

// within reports whether the leader has spoken within a time.
func (c *contact) within(now, span time.Duration) bool { return c.from != "" && now-c.heard < span }

// leaderClock returns what the leader's clock shows at least, in microseconds.
func (c *contact) leaderClock(now time.Duration) uint64 {
	return uint64((now - min(c.floor, c.earlier)) / time.Microsecond)
}
