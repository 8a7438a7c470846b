package invariants

import "testing"

var rules = Rules{
	Products: []Product{{Repeat: Inquiry}, {Repeat: Referenced, Window: 1000,
		SharesReferences: func(a, b int) bool { return a/10 == b/10 }}, {Repeat: Once}},
	Plans: []Plan{{}, {RateLimit: 10, Depth: 5}},
	Slack: 10, Grace: 250, Capacity: 10, WarmingFraction: 0.2, WarmUp: 10000, OverloadFactor: 2,
	OverloadWindow: 1000,
}

// Violations of each rule are found, and name the request, the gateway and the time; what only looks like one
// is not.
func TestViolations(t *testing.T) {
	receive := func(checker *Checker, id uint64, product int) {
		checker.RequestReceived(0, 1, id, product, 0, 5, 1, 1000)
	}
	send := func(checker *Checker, at float64, from, n uint64) {
		for id := from; id < from+n; id++ {
			checker.RequestReceived(at, int(id%2), id, 0, 0, 5, 1, at+1000)
			checker.AttemptSent(at+1, int(id%2), id, 3)
			checker.RequestAnswered(at+2, id, Succeeded)
		}
	}
	// overload sends n requests by two gateways, of which the first informedGateways know of the worker's start.
	overload := func(checker *Checker, n uint64, informedGateways int) {
		checker.WorkerStarted(1, 3)
		for g := range informedGateways {
			checker.StartNotified(g, 3, 1)
		}
		send(checker, 100, 0, n)
	}
	cases := []struct {
		name string
		rule int // 0: none is violated
		do   func(*Checker)
	}{
		{"settled once", 0, func(checker *Checker) {
			receive(checker, 1, 2)
			checker.AttemptSent(1, 1, 1, 3)
			checker.AttemptRan(2, 1, 0)
			checker.AttemptEnded(3, 1, 0, Answered)
			checker.RequestAnswered(3, 1, Succeeded)
		}},
		{"no answer", 1, func(checker *Checker) { receive(checker, 1, 0) }},
		{"no answer of a crashed gateway", 0, func(checker *Checker) {
			receive(checker, 1, 0)
			checker.GatewayCrashed(1)
		}},
		{"two answers", 1, func(checker *Checker) {
			receive(checker, 1, 0)
			checker.RequestAnswered(1, 1, Declined)
			checker.RequestAnswered(2, 1, Voided)
		}},
		{"late answer", 1, func(checker *Checker) {
			receive(checker, 1, 0)
			checker.RequestAnswered(1011, 1, Voided)
		}},
		{"within the slack", 0, func(checker *Checker) {
			receive(checker, 1, 0)
			checker.RequestAnswered(1009, 1, Voided)
		}},
		{"sent after its answer", 1, func(checker *Checker) {
			receive(checker, 1, 0)
			checker.RequestAnswered(1, 1, Voided)
			checker.AttemptSent(2, 1, 1, 3)
		}},
		{"once-only sent again after a time-out", 2, func(checker *Checker) {
			receive(checker, 1, 2)
			checker.AttemptSent(1, 1, 1, 3)
			checker.AttemptEnded(2, 1, 0, MayHaveRun)
			checker.AttemptSent(3, 1, 1, 4)
			checker.RequestAnswered(4, 1, Voided)
		}},
		{"once-only sent again after a refusal", 0, func(checker *Checker) {
			receive(checker, 1, 2)
			checker.AttemptSent(1, 1, 1, 3)
			checker.AttemptEnded(2, 1, 0, NeverRan)
			checker.AttemptSent(3, 1, 1, 4)
			checker.RequestAnswered(4, 1, Voided)
		}},
		{"once-only declined after a time-out", 2, func(checker *Checker) {
			receive(checker, 1, 2)
			checker.AttemptSent(1, 1, 1, 3)
			checker.AttemptEnded(2, 1, 0, MayHaveRun)
			checker.RequestAnswered(4, 1, Declined)
		}},
		{"once-only run although the end said not", 2, func(checker *Checker) {
			receive(checker, 1, 2)
			checker.AttemptSent(1, 1, 1, 3)
			checker.AttemptEnded(2, 1, 0, NeverRan)
			checker.AttemptSent(3, 1, 1, 4)
			checker.AttemptRan(4, 1, 0)
			checker.AttemptRan(5, 1, 1)
			checker.RequestAnswered(6, 1, Succeeded)
		}},
		{"two in flight", 2, func(checker *Checker) {
			receive(checker, 1, 0)
			checker.AttemptSent(1, 1, 1, 3)
			checker.AttemptSent(2, 1, 1, 4)
			checker.RequestAnswered(3, 1, Succeeded)
		}},
		{"referenced outside its window", 2, func(checker *Checker) {
			checker.RequestReceived(0, 1, 1, 1, 0, 5, 1, 5000)
			checker.AttemptSent(1, 1, 1, 3)
			checker.AttemptEnded(2, 1, 0, MayHaveRun)
			checker.AttemptSent(1100, 1, 1, 4)
			checker.RequestAnswered(1101, 1, Succeeded)
		}},
		{"referenced outside its group", 2, func(checker *Checker) {
			receive(checker, 1, 1)
			checker.AttemptSent(1, 1, 1, 3)
			checker.AttemptEnded(2, 1, 0, MayHaveRun)
			checker.AttemptSent(3, 1, 1, 14)
			checker.RequestAnswered(4, 1, Succeeded)
		}},
		{"referenced inside both", 0, func(checker *Checker) {
			receive(checker, 1, 1)
			checker.AttemptSent(1, 1, 1, 3)
			checker.AttemptEnded(2, 1, 0, MayHaveRun)
			checker.AttemptSent(3, 1, 1, 4)
			checker.RequestAnswered(4, 1, Succeeded)
		}},
		{"to a draining worker past the grace", 3, func(checker *Checker) {
			receive(checker, 1, 0)
			checker.AvailabilityNotified(1, 1, 3, false)
			checker.AvailabilityNotified(200, 1, 3, false)
			checker.AttemptSent(252, 1, 1, 3)
			checker.RequestAnswered(253, 1, Succeeded)
		}},
		{"within the grace, by a gateway not notified, and once it is back", 0, func(checker *Checker) {
			for id := range uint64(3) {
				receive(checker, id, 0)
				checker.RequestAnswered(900, id, Voided)
			}
			checker = New(rules)
			receive(checker, 1, 0)
			checker.AvailabilityNotified(1, 1, 3, false)
			checker.AttemptSent(250, 1, 1, 3)
		}},
		// A hundredth of its warm-up gone, it bears N = 2 x 0.21 x 10 in a second, and 2 root N + 2: 10.3.
		{"a cold worker overloaded", 4, func(checker *Checker) { overload(checker, 11, 2) }},
		{"a cold worker not overloaded", 0, func(checker *Checker) { overload(checker, 10, 2) }},
		{"a cold worker overloaded by gateways that did not know of its start", 0, func(checker *Checker) {
			overload(checker, 14, 1) // half of it
			if falls, near := checker.Overloads(); falls != 1 || near < 1 {
				t.Errorf("%d falls, nearest at %.2f", falls, near)
			}
		}},
		{"others send more to one that is overloaded already", 0, func(checker *Checker) {
			overload(checker, 14, 1)
			checker.StartNotified(1, 3, 1)
			send(checker, 110, 50, 14)
		}},
		{"load in turns", 0, func(checker *Checker) {
			overload(checker, 10, 2)
			send(checker, 1101, 50, 10)
		}},
		{"a ceiling exceeded by two gateways", 5, func(checker *Checker) {
			for id := range uint64(8) { // 5 and 1.5 at once
				checker.RequestReceived(100, int(id%2), id, 0, 1, 5, 1, 1000)
				checker.AttemptSent(100, int(id%2), id, 3)
				checker.RequestAnswered(101, id, Succeeded)
			}
		}},
		{"a ceiling kept, over a restart", 0, func(checker *Checker) {
			for id := range uint64(12) {
				at := 100 + 100*float64(id)
				checker.RequestReceived(at, int(id%2), id, 0, 1, 5, 1, 5000)
				checker.AttemptSent(at, int(id%2), id, 3)
				checker.RequestAnswered(at+1, id, Succeeded)
				checker.GatewayCrashed(int(id % 2))
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checker := New(rules)
			c.do(checker)
			checker.Close(1e6)
			first, counts := checker.Violations()
			for rule, n := range counts {
				if (n > 0) != (rule == c.rule && rule > 0) {
					t.Errorf("rule %d violated %d times: %v", rule, n, first)
				}
			}
			if c.rule > 0 && (len(first) == 0 || first[0].String() == "" || first[0].At == 0) {
				t.Errorf("named as %v", first)
			}
		})
	}
}
