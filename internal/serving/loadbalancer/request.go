package loadbalancer

import "time"

// defaultMaxStreamGapMillis counts where no route of the service bounds the gaps.
const defaultMaxStreamGapMillis = 500.0

// Request is what selection needs to know of a request. It is used with one Balancer, which keeps in it what
// it assumed when it last selected a worker and sent the request there.
type Request struct {
	Parts              []Part
	MaxStreamGapMillis float64 // between tokens of the service's streams; 0: not known
	WithoutAffinity    bool    // workers' prefix caches do not count: it goes to any worker

	affinity       string        // the instance that its prompt has affinity to, as of the last choice
	long           bool          // its prefill makes gaps in streams longer than they may be, as of the same
	pendingTokens  float64       // counted in its worker's prefillTokens; 0 once they are released
	uncachedTokens float64       // that its worker has to prefill, as of sending
	queueMillis    float64       // that the prefill waits at its worker, estimated at sending
	sentAt         time.Duration // to its present worker
	prefillMillis  float64       // added to its worker's queue, estimated at sending
	partsBefore    []cachedPart  // what its worker's prefix cache had of its parts before it was sent
}

// maxStreamGapMillis returns the longest gap between tokens of the service's streams.
func (r *Request) maxStreamGapMillis() float64 {
	if r.MaxStreamGapMillis > 0 {
		return r.MaxStreamGapMillis
	}
	return defaultMaxStreamGapMillis
}
