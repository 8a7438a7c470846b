package forecast

import "math"

// queueModel is identical workers, each with a number of servers, a mean service time and its squared
// coefficient of variation.
type queueModel struct{ servers, serviceMillis, cv2 float64 }

// wait returns, at a utilization below 1, the probability that a request waits and the mean of the waits
// of those that do, in ms, taken as exponential. The approximation is Sakasegawa's (An approximation
// formula L = a p^b / (1 - p), 1977) for the probability, and Allen and Cunneen's factor for the variation
// of service; both as in Whitt, Approximations for the GI/G/m queue, 1993.
func (q queueModel) wait(use float64) (chance, mean float64) {
	if use <= 0 || q.serviceMillis <= 0 {
		return 0, 0
	}
	use = math.Min(use, maxUtilization)
	return math.Pow(use, math.Sqrt(2*(q.servers+1))-1),
		(1 + q.cv2) / 2 * q.serviceMillis / (q.servers * (1 - use))
}

// meanWait is the mean wait of all requests, ms.
func (q queueModel) meanWait(use float64) float64 {
	chance, mean := q.wait(use)
	return chance * mean
}

// mostUse is as near to all as a use is reckoned with; beyond it waits have no meaning.
const maxUtilization = 0.995

// bisect finds where a function that grows passes nought, between two points, to a part in two to the steps.
func bisect(lo, hi float64, steps int, f func(float64) float64) float64 {
	for range steps {
		if mid := (lo + hi) / 2; f(mid) < 0 {
			lo = mid
		} else {
			hi = mid
		}
	}
	return (lo + hi) / 2
}

// service gives how long a txn takes without any wait, ms, of what answers take at a rate of txns an ms at
// each worker: the wait that it implies and itself add up to that.
func solveService(k, cv2, took, perMs float64) float64 {
	return bisect(0, took, fineSteps, func(s float64) float64 {
		use := perMs * s / k
		if use >= maxUtilization {
			return 1
		}
		return s + queueModel{k, s, cv2}.meanWait(use) - took
	})
}

// flowing is one sort of txn before a gatekeeper's window: how many come, an ms, and the part of the window
// that it may fill.
type windowClass struct{ rate, depth float64 }

// admits gives the part of each sort that a window lets in, where a submission is out for so many ms: the
// stationary state of a birth and death process, with the room for a sort that shrinks as it is passed (a
// trunk reservation; Kelly, Loss networks, 1991). The edge of a window that is no whole number is let in by
// chance, as the window moves about it.
func windowAdmission(sorts []windowClass, window, out float64, into []float64) []float64 {
	into = into[:0]
	for range sorts {
		into = append(into, 0)
	}
	open := func(s *windowClass, n int) float64 {
		return math.Min(math.Max(math.Max(window*s.depth, 1)-float64(n), 0), 1)
	}
	p, sum := 1.0, 0.0
	for n := 0; p > 0 && n < maxInFlight; n++ {
		rate := 0.0
		for i := range sorts {
			part := open(&sorts[i], n)
			into[i] += p * part
			rate += sorts[i].rate * part
		}
		sum += p
		p *= rate * out / float64(n+1)
		if sum > 1e200 { // long tails of many out: only the quotients matter
			for i := range into {
				into[i] /= sum
			}
			p, sum = p/sum, 1
		}
	}
	for i := range into {
		into[i] /= sum
	}
	return into
}

// mostOut is how many submissions of one gatekeeper are reckoned with; it has no more connections.
const maxInFlight = 1024

// finely is for what costs little, coarsely for what costs a window's states: a thousandth of a submission.
const fineSteps, coarseSteps = 40, 18

// shades is how finely the parts of a window that sorts may fill are told apart.
const depthLevels = 32
