package forecast

import "math"

// queueModel is the queue of a worker with a number of servers (cores), a mean service time per request and
// the squared coefficient of variation of that time.
type queueModel struct{ servers, serviceMillis, cv2 float64 }

// wait returns, at a utilization below 1, the probability that a request waits and the mean wait of those
// that do, in ms; that wait is taken as exponentially distributed. The probability is approximated as by
// Sakasegawa (An approximation formula L = a p^b / (1 - p), 1977), the variation of the service time by the
// factor of Allen and Cunneen; both are described in Whitt, Approximations for the GI/G/m queue, 1993.
func (q queueModel) wait(utilization float64) (probability, mean float64) {
	if utilization <= 0 || q.serviceMillis <= 0 {
		return 0, 0
	}
	utilization = math.Min(utilization, maxUtilization)
	return math.Pow(utilization, math.Sqrt(2*(q.servers+1))-1),
		(1 + q.cv2) / 2 * q.serviceMillis / (q.servers * (1 - utilization))
}

// meanWait returns the mean wait of all requests, in ms.
func (q queueModel) meanWait(utilization float64) float64 {
	probability, mean := q.wait(utilization)
	return probability * mean
}

// maxUtilization is the highest utilization that the model is used with; its waits grow without bound as the
// utilization approaches 1.
const maxUtilization = 0.995

// bisect returns where an increasing function crosses zero between lo and hi. It halves the interval steps
// times.
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

// solveService returns the service time, in ms, which together with the mean wait that it causes gives a mean
// answer time of answerMillis, at perMilli requests per ms at each worker.
func solveService(servers, cv2, answerMillis, perMilli float64) float64 {
	return bisect(0, answerMillis, fineSteps, func(serviceMillis float64) float64 {
		utilization := perMilli * serviceMillis / servers
		if utilization >= maxUtilization {
			return 1
		}
		return serviceMillis + queueModel{servers, serviceMillis, cv2}.meanWait(utilization) - answerMillis
	})
}

// windowClass is a class of attempts that share a gateway's congestion window: rate is their arrivals per ms,
// and depth is the fraction of the window that they may fill.
type windowClass struct{ rate, depth float64 }

// windowAdmission returns, by class, the fraction of attempts that a window admits if each admitted attempt
// is in flight for inFlightMillis. It computes the stationary state of a birth-death process in which each
// class is admitted only below its depth of the window (trunk reservation; Kelly, Loss networks, 1991). The
// fractional part of a window that is not an integer is the probability that one more attempt is admitted,
// since the window varies about that value. The result is appended to admitted[:0].
func windowAdmission(classes []windowClass, window, inFlightMillis float64, admitted []float64) []float64 {
	admitted = admitted[:0]
	for range classes {
		admitted = append(admitted, 0)
	}
	admitProbability := func(class *windowClass, n int) float64 {
		return math.Min(math.Max(math.Max(window*class.depth, 1)-float64(n), 0), 1)
	}
	p, sum := 1.0, 0.0
	for n := 0; p > 0 && n < maxInFlight; n++ {
		rate := 0.0
		for i := range classes {
			probability := admitProbability(&classes[i], n)
			admitted[i] += p * probability
			rate += classes[i].rate * probability
		}
		sum += p
		p *= rate * inFlightMillis / float64(n+1)
		if sum > 1e200 { // with many attempts in flight the sums would overflow; only their ratios matter
			for i := range admitted {
				admitted[i] /= sum
			}
			p, sum = p/sum, 1
		}
	}
	for i := range admitted {
		admitted[i] /= sum
	}
	return admitted
}

// maxInFlight limits the attempts in flight of one gateway in the model; a gateway has no more connections.
const maxInFlight = 1024

// fineSteps and coarseSteps are numbers of steps of bisect. fineSteps is used with cheap functions,
// coarseSteps with those that call windowAdmission; it finds a window to a thousandth of an attempt.
const fineSteps, coarseSteps = 40, 18

// depthLevels is the number of steps to which the window fractions of classes are rounded; classes with equal
// steps are computed as one.
const depthLevels = 32
