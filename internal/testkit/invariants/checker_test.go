package invariants

import "testing"

var rules = Rules{
	Products: []Product{{Repeat: Inquiry}, {Repeat: Referenced, Window: 1000,
		Same: func(a, b int) bool { return a/10 == b/10 }}, {Repeat: Once}},
	Plans: []Plan{{}, {Ceiling: 10, Depth: 5}},
	Slack: 10, Grace: 250, Capacity: 10, ColdFrom: 0.2, WarmUp: 10000, Tips: 2, TipsAfter: 1000,
}

// Each rule's breaks are caught, and named with the txn, the gatekeeper and the time; what only looks
// like one is not.
func TestBreaks(t *testing.T) {
	take := func(j *Judge, id uint64, product int) { j.Taken(0, 1, id, product, 0, 5, 1, 1000) }
	send := func(j *Judge, at float64, from, n uint64) {
		for id := from; id < from+n; id++ {
			j.Taken(at, int(id%2), id, 0, 0, 5, 1, at+1000)
			j.Sent(at+1, int(id%2), id, 3)
			j.Answered(at+2, id, Settled)
		}
	}
	push := func(j *Judge, n uint64, know int) { // so many txns of two gatekeepers, of which so many know
		j.Started(1, 3)
		for g := range know {
			j.Knows(g, 3, 1)
		}
		send(j, 100, 0, n)
	}
	cases := []struct {
		name string
		rule int // 0: none is broken
		do   func(*Judge)
	}{
		{"settled once", 0, func(j *Judge) {
			take(j, 1, 2)
			j.Sent(1, 1, 1, 3)
			j.Ran(2, 1, 0)
			j.Ended(3, 1, 0, Answered)
			j.Answered(3, 1, Settled)
		}},
		{"no answer", 1, func(j *Judge) { take(j, 1, 0) }},
		{"no answer of a crashed one", 0, func(j *Judge) {
			take(j, 1, 0)
			j.Crashed(1)
		}},
		{"two answers", 1, func(j *Judge) {
			take(j, 1, 0)
			j.Answered(1, 1, Declined)
			j.Answered(2, 1, Voided)
		}},
		{"late answer", 1, func(j *Judge) {
			take(j, 1, 0)
			j.Answered(1011, 1, Voided)
		}},
		{"within the slack", 0, func(j *Judge) {
			take(j, 1, 0)
			j.Answered(1009, 1, Voided)
		}},
		{"sent after it", 1, func(j *Judge) {
			take(j, 1, 0)
			j.Answered(1, 1, Voided)
			j.Sent(2, 1, 1, 3)
		}},
		{"once-only sent again after a time-out", 2, func(j *Judge) {
			take(j, 1, 2)
			j.Sent(1, 1, 1, 3)
			j.Ended(2, 1, 0, MayHaveRun)
			j.Sent(3, 1, 1, 4)
			j.Answered(4, 1, Voided)
		}},
		{"once-only sent again after a refusal", 0, func(j *Judge) {
			take(j, 1, 2)
			j.Sent(1, 1, 1, 3)
			j.Ended(2, 1, 0, NeverRan)
			j.Sent(3, 1, 1, 4)
			j.Answered(4, 1, Voided)
		}},
		{"once-only declined after a time-out", 2, func(j *Judge) {
			take(j, 1, 2)
			j.Sent(1, 1, 1, 3)
			j.Ended(2, 1, 0, MayHaveRun)
			j.Answered(4, 1, Declined)
		}},
		{"once-only run although the end said not", 2, func(j *Judge) {
			take(j, 1, 2)
			j.Sent(1, 1, 1, 3)
			j.Ended(2, 1, 0, NeverRan)
			j.Sent(3, 1, 1, 4)
			j.Ran(4, 1, 0)
			j.Ran(5, 1, 1)
			j.Answered(6, 1, Settled)
		}},
		{"two out", 2, func(j *Judge) {
			take(j, 1, 0)
			j.Sent(1, 1, 1, 3)
			j.Sent(2, 1, 1, 4)
			j.Answered(3, 1, Settled)
		}},
		{"referenced outside its window", 2, func(j *Judge) {
			j.Taken(0, 1, 1, 1, 0, 5, 1, 5000)
			j.Sent(1, 1, 1, 3)
			j.Ended(2, 1, 0, MayHaveRun)
			j.Sent(1100, 1, 1, 4)
			j.Answered(1101, 1, Settled)
		}},
		{"referenced outside its group", 2, func(j *Judge) {
			take(j, 1, 1)
			j.Sent(1, 1, 1, 3)
			j.Ended(2, 1, 0, MayHaveRun)
			j.Sent(3, 1, 1, 14)
			j.Answered(4, 1, Settled)
		}},
		{"referenced inside both", 0, func(j *Judge) {
			take(j, 1, 1)
			j.Sent(1, 1, 1, 3)
			j.Ended(2, 1, 0, MayHaveRun)
			j.Sent(3, 1, 1, 4)
			j.Answered(4, 1, Settled)
		}},
		{"to a draining one past the grace", 3, func(j *Judge) {
			take(j, 1, 0)
			j.Told(1, 1, 3, false)
			j.Told(200, 1, 3, false)
			j.Sent(252, 1, 1, 3)
			j.Answered(253, 1, Settled)
		}},
		{"within the grace, by one not told, and once it is back", 0, func(j *Judge) {
			for id := range uint64(3) {
				take(j, id, 0)
				j.Answered(900, id, Voided)
			}
			j = New(rules)
			take(j, 1, 0)
			j.Told(1, 1, 3, false)
			j.Sent(250, 1, 1, 3)
		}},
		// A hundredth of its warm-up gone, it bears N = 2 x 0.21 x 10 in a second, and 2 root N + 2: 10.3.
		{"a cold one pushed over", 4, func(j *Judge) { push(j, 11, 2) }},
		{"a cold one not pushed over", 0, func(j *Judge) { push(j, 10, 2) }},
		{"one pushed over by those who did not know of its start", 0, func(j *Judge) {
			push(j, 14, 1) // half of it
			if falls, near := j.Falls(); falls != 1 || near < 1 {
				t.Errorf("%d falls, nearest at %.2f", falls, near)
			}
		}},
		{"one that others push further has fallen before", 0, func(j *Judge) {
			push(j, 14, 1)
			j.Knows(1, 3, 1)
			send(j, 110, 50, 14)
		}},
		{"one that was pushed in turns", 0, func(j *Judge) {
			push(j, 10, 2)
			send(j, 1101, 50, 10)
		}},
		{"a ceiling, by two gatekeepers", 5, func(j *Judge) {
			for id := range uint64(8) { // 5 and 1.5 at once
				j.Taken(100, int(id%2), id, 0, 1, 5, 1, 1000)
				j.Sent(100, int(id%2), id, 3)
				j.Answered(101, id, Settled)
			}
		}},
		{"under it, over a restart", 0, func(j *Judge) {
			for id := range uint64(12) {
				at := 100 + 100*float64(id)
				j.Taken(at, int(id%2), id, 0, 1, 5, 1, 5000)
				j.Sent(at, int(id%2), id, 3)
				j.Answered(at+1, id, Settled)
				j.Crashed(int(id % 2))
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := New(rules)
			c.do(j)
			j.Close(1e6)
			first, counts := j.Breaks()
			for rule, n := range counts {
				if (n > 0) != (rule == c.rule && rule > 0) {
					t.Errorf("rule %d broken %d times: %v", rule, n, first)
				}
			}
			if c.rule > 0 && (len(first) == 0 || first[0].String() == "" || first[0].At == 0) {
				t.Errorf("named as %v", first)
			}
		})
	}
}
