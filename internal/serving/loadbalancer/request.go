package loadbalancer

import "time"

// defaultMaxStreamGapMillis applies if no route of the service limits the gaps in its streams.
const defaultMaxStreamGapMillis = 500.0

// Request is the part of a request that is needed to select its worker. It must be used with one Balancer
// only, which stores its estimates for the selected worker in it.
type Request struct {
	Parts              []Part
	MaxStreamGapMillis float64 // maximum gap between tokens of the service's streams; 0: not known
	WithoutAffinity    bool    // prefix caches are ignored: the request may go to any worker

	affinity       string        // instance that the prompt has affinity to, set by Choose
	long           bool          // the prompt is a long one, set by Choose; see Balancer.isLong
	pendingTokens  float64       // tokens counted in the worker's prefillTokens; 0 after ReleasePrefill
	uncachedTokens float64       // tokens that the worker has to prefill, estimated when the request was sent
	queueMillis    float64       // wait for the prefill to begin, estimated when the request was sent
	sentAt         time.Duration // when the request was sent to its current worker
	prefillMillis  float64       // time of the prefill, estimated when the request was sent
	partsBefore    []cachedPart  // the prompt's parts in the worker's prefix cache before the request was sent
}

// maxStreamGapMillis returns the maximum gap between tokens of the service's streams.
func (r *Request) maxStreamGapMillis() float64 {
	if r.MaxStreamGapMillis > 0 {
		return r.MaxStreamGapMillis
	}
	return defaultMaxStreamGapMillis
}
