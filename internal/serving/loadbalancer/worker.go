package loadbalancer

import (
	"math"
	"time"
)

const (
	// workerLoadTimeConstant is the time constant with which the weight of a worker's own load report decays. It
	// is about the time within which the requests at a worker change.
	workerLoadTimeConstant = 800 * time.Millisecond
	// prefixCacheTTL is how long an edge assumes that a worker caches a prompt part after it was last sent
	// there.
	prefixCacheTTL = 20 * time.Second
	// maxCachedParts is the number of prompt parts recorded for a worker above which expired ones are removed.
	maxCachedParts = 4096
)

// Worker is a candidate for a request, with the properties of its record in the catalog that selection needs.
type Worker struct {
	Instance string
	Address  string
	Zone     string
	Region   string
	Capacity int  // maximum number of requests that run concurrently; 0: not known
	Engine   bool // the worker is an inference engine, which prefills prompts

	PathSuspected bool // there may be no network path to its zone
}

// selfReport is the load that a worker last reported itself.
type selfReport struct {
	received     bool
	receivedAt   time.Duration
	peerInFlight float64 // requests of other edges in flight at the worker
	waiting      float64 // requests in the worker's queue
}

// at returns the reported load, whose weight decays with the age of the report.
func (r *selfReport) at(now time.Duration) (peerInFlight, waiting float64) {
	if !r.received {
		return 0, 0
	}
	weight := math.Exp(-(now - r.receivedAt).Seconds() / workerLoadTimeConstant.Seconds())
	return r.peerInFlight * weight, r.waiting * weight
}

// peerLoad is the load of a worker that the other edges report.
type peerLoad struct {
	known         bool    // enough of the other edges have reported recently
	inFlight      float64 // requests in flight
	prefillTokens float64 // prompt tokens of the requests without a first token yet
}

// workerState is the state of a worker as this edge knows it, by its own requests and by reports.
type workerState struct {
	inFlight      int     // requests of this edge in flight
	prefillTokens float64 // uncached prompt tokens of this edge's requests without a first token yet
	selfReport    selfReport
	peerLoad      peerLoad
	health        health
	prefixCache   map[string]time.Duration // by prompt part: when it was last sent to the worker
	prefillQueue  prefillQueue
}

func newWorkerState() *workerState {
	return &workerState{
		health: newHealth(), prefixCache: map[string]time.Duration{}, prefillQueue: newPrefillQueue(),
	}
}

// uncachedTokens returns how many tokens of a prompt are not in the worker's prefix cache: own is the
// number in the last part, which is the request's own, and shared the number in the other parts. A part is
// cached only if all parts before it are. If hasAffinity is true, the prompt has affinity to the worker,
// and its shared parts count as cached there.
func (w *workerState) uncachedTokens(
	now time.Duration, parts []Part, hasAffinity bool,
) (own, shared float64) {
	cached := true
	for i, part := range parts {
		last := i+1 == len(parts)
		sentAt, sent := w.prefixCache[part.ID]
		cached = cached && (sent && now-sentAt < prefixCacheTTL || hasAffinity && !last)
		switch {
		case cached:
		case last:
			own += part.Tokens
		default:
			shared += part.Tokens
		}
	}
	return own, shared
}

// cachedPart is the entry of a prompt part in a worker's prefixCache, or the absence of one.
type cachedPart struct {
	id     string
	sentAt time.Duration
	cached bool // the part has an entry; sentAt is valid
}

// cacheParts records that the parts of a prompt are sent to the worker, and returns their previous entries.
func (w *workerState) cacheParts(now time.Duration, parts []Part) (before []cachedPart) {
	if len(w.prefixCache) > maxCachedParts {
		for id, sentAt := range w.prefixCache {
			if now-sentAt > prefixCacheTTL {
				delete(w.prefixCache, id)
			}
		}
	}
	for _, part := range parts {
		sentAt, cached := w.prefixCache[part.ID]
		before = append(before, cachedPart{id: part.ID, sentAt: sentAt, cached: cached})
		w.prefixCache[part.ID] = now
	}
	return before
}

// uncacheParts reverts the changes that cacheParts made at sentAt. It keeps parts that were sent again since.
func (w *workerState) uncacheParts(sentAt time.Duration, before []cachedPart) {
	for _, part := range before {
		switch {
		case w.prefixCache[part.id] != sentAt:
		case part.cached:
			w.prefixCache[part.id] = part.sentAt
		default:
			delete(w.prefixCache, part.id)
		}
	}
}
