package loadbalancer

import (
	"math"
	"time"
)

const (
	// workerLoadTimeConstant is that by which a worker's own load report loses its weight: requests at a
	// worker come and go within about such a time.
	workerLoadTimeConstant = 800 * time.Millisecond
	// prefixCacheTTL is how long an edge assumes that a worker keeps a prompt part after it was last sent.
	prefixCacheTTL = 20 * time.Second
	// maxCachedParts is how many parts of a worker are remembered before the expired ones are dropped.
	maxCachedParts = 4096
)

// Worker is a candidate: what the catalog has of a worker, in the form that selection needs.
type Worker struct {
	Instance string
	Address  string
	Zone     string
	Region   string
	Capacity int  // requests that it runs at once; 0: not known
	Engine   bool // it is an inference engine: it prefills prompts

	PathSuspected bool // there may be no network path to its zone
}

// selfReport is the last load report of a worker itself.
type selfReport struct {
	received   bool
	receivedAt time.Duration
	ofPeers    float64 // requests in flight there that are not this edge's
	waiting    float64 // requests in its queue
}

// at returns the reported load, weighted by its age.
func (r *selfReport) at(now time.Duration) (ofPeers, waiting float64) {
	if !r.received {
		return 0, 0
	}
	weight := math.Exp(-(now - r.receivedAt).Seconds() / workerLoadTimeConstant.Seconds())
	return r.ofPeers * weight, r.waiting * weight
}

// peerLoad is the load of a worker that the other edges report.
type peerLoad struct {
	known         bool    // enough of the other edges have reported lately
	inFlight      float64 // requests
	prefillTokens float64 // prompt tokens of those that have no first token yet
}

// workerState is what this edge knows of a worker by its own requests and by reports.
type workerState struct {
	inFlight      int     // requests of this edge
	prefillTokens float64 // uncached prompt tokens of those that have no first token yet
	selfReport    selfReport
	peerLoad      peerLoad
	health        health
	prefixCache   map[string]time.Duration // by prompt part: when it was last sent there
	prefillQueue  prefillQueue
}

func newWorkerState() *workerState {
	return &workerState{
		health: newHealth(), prefixCache: map[string]time.Duration{}, prefillQueue: newPrefillQueue(),
	}
}

// uncachedTokens returns how many tokens of a prompt are not in the worker's prefix cache: of its last part,
// which is the request's own, and of the shared parts. A part is cached only where all before it are.
// hasAffinity says that the prompt has affinity to the worker: its shared parts count as cached there.
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

// cachedPart is what a prefix cache has of a part.
type cachedPart struct {
	id     string
	sentAt time.Duration
	cached bool // it has the part; sentAt is valid
}

// cacheParts records that the parts of a prompt are sent to the worker, and returns what the cache had of
// them.
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

// uncacheParts takes back what cacheParts recorded at sentAt. Parts that were sent again since stay.
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
