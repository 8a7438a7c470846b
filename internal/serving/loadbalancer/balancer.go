// Package loadbalancer chooses the worker of each request by what one edge knows: which prompt parts a worker
// has read, how much it has in hand, where it stands, and how its answers ended. All edges agree without
// messages on the worker that a shared prompt belongs to, by rendezvous hashing (Thaler and Ravishankar,
// "Using Name-Based Mappings to Increase Hit Rates", 1998); load moves requests away from it, as with
// consistent hashing with bounded loads.
//
// Costs are in milliseconds of the time to the first token; prices other than time are turned into it. The
// package has no I/O, clock or goroutines, and is not safe for concurrent use.
package loadbalancer

import (
	"hash/fnv"
	"math"
	"math/rand"
	"slices"
	"strings"
	"time"
)

// Weights of the costs.
const (
	reportedPerMs    = 50.0  // prompt tokens of other edges that a worker reads in a millisecond, about
	rereadPerToken   = 0.08  // ms: the price of shared tokens that are read again
	otherRegion      = 140   // ms: the way there and back, and the price of the bytes
	otherZone        = 4     // ms
	runningCost      = 10.0  // ms for each request in hand: tokens come more slowly
	waitingCost      = 150.0 // ms for each request that waits there, as the worker says
	breakCost        = 100.0 // ms for each break of a worker's connections lately, beyond the first
	breakMemory      = 5 * time.Second
	fullCost         = 2000 // ms where all places are taken
	doubtCost        = 4000 // ms for a worker in doubt, so that it is taken only where there is no other
	globalHomeAt     = 2000 // shared tokens from which one home for all regions pays
	partMemory       = 20 * time.Second
	loadMemory       = 800 * time.Millisecond // of what a worker says of its load
	firstDoubt       = 400 * time.Millisecond
	longestDoubt     = 3 * time.Second
	doubtDoublings   = 4
	goneDoubt        = 10 * time.Second        // of a worker whose address another one has
	deadDoubt        = 1500 * time.Millisecond // of a worker that does not answer probes; renewed by each
	freshLife        = 300 * time.Millisecond  // of a sign of life, against what another edge says
	tieBreak         = 2.0                     // ms of chance, so that edges do not move together
	rememberedParts  = 4096
	plainServiceTime = 30.0 // ms of a request that is no prompt
)

// Worker is what the catalog tells of a worker, in the form that choosing needs.
type Worker struct {
	Instance string
	Address  string
	Zone     string
	Region   string
	Capacity int
	Engine   bool // it reads prompts

	PathInDoubt bool // there may be no way to where it stands
}

// tracked is what this edge knows of a worker itself.
type tracked struct {
	inHand      int           // own requests
	unread      float64       // prompt tokens of own requests without a first token
	saidOthers  float64       // requests of other edges, by the worker's last word
	saidWaiting float64       // requests that waited, by the same
	saidAt      time.Duration // of the last word
	everSaid    bool
	toldInHand  float64 // requests of other edges, as they say themselves
	toldUnread  float64 // prompt tokens of those without a first token
	told        bool    // the other edges are heard from
	failures    int
	breaks      float64 // times that it broke off lately, here or at other edges, as of brokeAt
	brokeAt     time.Duration
	doubtUntil  time.Duration
	dead        bool          // the doubt comes from probes without an answer, here or at another edge
	aliveAt     time.Duration // of the last sign of life
	everAlive   bool
	parts       map[string]time.Duration // when a prompt part was last sent there
	reading     reading
}

// Request is what choosing needs to know of a request.
type Request struct {
	Parts   []Part
	PauseMs float64 // that streams of the service may make; 0: not known

	home   string        // the worker that its shared prompt belongs to, as of the last choice
	long   bool          // reading it makes streams pause for longer than they may
	unread float64       // tokens that its present worker has to read for it, about
	toRead float64       // the same when it was sent
	waited float64       // ms that the worker was busy for when it was sent, about
	sentAt time.Duration // to its present worker
}

// pause returns the ms that streams of the service may make.
func (r *Request) pause() float64 {
	if r.PauseMs > 0 {
		return r.PauseMs
	}
	return defaultPause
}

// Balancer chooses for one edge.
type Balancer struct {
	zone, region string
	random       *rand.Rand
	readTimes    readTimes
	workers      map[string]*tracked // by instance
}

// New makes a balancer for an edge in a zone of a region.
func New(zone, region string, random *rand.Rand) *Balancer {
	return &Balancer{
		zone: zone, region: region, random: random, readTimes: newReadTimes(), workers: map[string]*tracked{},
	}
}

// Keep forgets all workers but those that wanted names.
func (b *Balancer) Keep(wanted func(instance string) bool) {
	for instance, worker := range b.workers {
		if !wanted(instance) && worker.inHand == 0 {
			delete(b.workers, instance)
		}
	}
}

func (b *Balancer) tracked(instance string) *tracked {
	worker := b.workers[instance]
	if worker == nil {
		worker = &tracked{parts: map[string]time.Duration{}}
		b.workers[instance] = worker
	}
	return worker
}

// Choose returns the index of the best candidate, or -1 where there is none.
func (b *Balancer) Choose(now time.Duration, request *Request, candidates []Worker) int {
	request.home = b.home(now, request, candidates)
	all := allTokens(request.Parts)
	own := all - sharedTokens(request.Parts) // the rest may be kept
	request.long = b.readTimes.estimate(own, all) >= request.pause()
	var places map[string]int
	if request.long {
		places = longOrder(candidates)
	}
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		cost := b.cost(now, request, &candidates[i])
		cost += longRankCost * float64(places[candidates[i].Instance])
		cost += b.random.Float64() * tieBreak
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// home returns the instance that the request's shared prompt belongs to: among all regions where the prompt
// is long, else in this edge's own.
func (b *Balancer) home(now time.Duration, request *Request, candidates []Worker) string {
	key := homeKey(request.Parts)
	if key == "" {
		return ""
	}
	global := sharedTokens(request.Parts) >= globalHomeAt
	home, highest := "", uint64(0)
	for _, candidate := range candidates {
		if !global && candidate.Region != b.region {
			continue
		}
		if b.tracked(candidate.Instance).reading.shareOfLong(now) > longNoHome {
			continue
		}
		if rank := rendezvous(key, candidate.Instance); home == "" || rank > highest {
			home, highest = candidate.Instance, rank
		}
	}
	return home
}

func rendezvous(key, instance string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(key))
	hash.Write([]byte{0})
	hash.Write([]byte(instance))
	sum := hash.Sum64() // mixed further: FNV's high bits depend little on the last bytes
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return sum
}

// cost estimates what it costs to send the request to a worker.
func (b *Balancer) cost(now time.Duration, request *Request, candidate *Worker) float64 {
	worker := b.tracked(candidate.Instance)
	cost := b.distanceCost(candidate)
	others, waiting := worker.said(now)
	unread := worker.unread
	if worker.told {
		others, waiting = worker.toldInHand, 0
		unread += worker.toldUnread
	}
	inHand := float64(worker.inHand) + others
	if candidate.Engine {
		cost += b.readCost(now, request, worker, candidate.Instance == request.home)
		if worker.told {
			cost += unread / reportedPerMs
		} else {
			cost += worker.reading.wait(now)
		}
		cost += inHand * runningCost
	} else {
		cost += plainServiceTime * inHand / math.Max(float64(candidate.Capacity), 1)
	}
	cost += waiting * waitingCost
	if capacity := float64(candidate.Capacity); capacity > 0 && inHand >= capacity {
		cost += fullCost * (1 + inHand - capacity)
	}
	if worker.inDoubt(now) || candidate.PathInDoubt {
		cost += doubtCost
	}
	return cost + breakCost*math.Max(0, worker.breaksLately(now)-1)
}

// readCost is what it costs that a worker reads the prompt: its own time, the price of shared tokens that are
// read again, and the halts of its stream where others' long prompts are read. A long prompt is not worth
// more waiting for the sake of what it shares.
func (b *Balancer) readCost(now time.Duration, request *Request, worker *tracked, home bool) float64 {
	own, shared := worker.unreadTokens(now, request.Parts, home)
	cost := b.readTimes.estimate(own+shared, allTokens(request.Parts))
	if request.long {
		return cost
	}
	return cost + shared*rereadPerToken + worker.reading.shareOfLong(now)*request.pause()
}

func (b *Balancer) distanceCost(candidate *Worker) float64 {
	switch {
	case candidate.Zone == b.zone:
		return 0
	case candidate.Region == b.region:
		return otherZone
	}
	return otherRegion
}

// unreadTokens returns how many tokens of a prompt are not kept at a worker: of its last part, which is the
// request's own, and of the parts that are shared. A part is kept only where all before it are.
func (t *tracked) unreadTokens(now time.Duration, parts []Part, home bool) (own, shared float64) {
	kept := true
	for i, part := range parts {
		last := i+1 == len(parts)
		sent, known := t.parts[part.ID]
		kept = kept && (known && now-sent < partMemory || home && !last)
		switch {
		case kept:
		case last:
			own += part.Tokens
		default:
			shared += part.Tokens
		}
	}
	return own, shared
}

// said returns what the worker has said of other edges' requests and of waiting ones, as far as it is fresh.
func (t *tracked) said(now time.Duration) (others, waiting float64) {
	if !t.everSaid {
		return 0, 0
	}
	fresh := math.Exp(-(now - t.saidAt).Seconds() / loadMemory.Seconds())
	return t.saidOthers * fresh, t.saidWaiting * fresh
}

// Sent notes that a request goes to a worker. It returns what other edges may be told of its prompt.
func (b *Balancer) Sent(now time.Duration, request *Request, instance string) Prompt {
	worker := b.tracked(instance)
	worker.inHand++
	own, shared := worker.unreadTokens(now, request.Parts, instance == request.home)
	request.unread = own + shared
	request.toRead = request.unread
	request.sentAt = now
	request.waited = worker.reading.wait(now)
	worker.unread += request.unread
	if len(worker.parts) > rememberedParts {
		for id, last := range worker.parts {
			if now-last > partMemory {
				delete(worker.parts, id)
			}
		}
	}
	for _, part := range request.Parts {
		worker.parts[part.ID] = now
	}
	readMs := b.readTimes.estimate(request.unread, allTokens(request.Parts))
	worker.reading.add(now, readMs, request.long)
	return Prompt{Instance: instance, ReadMs: readMs, Long: request.long}
}

// FirstToken notes that a worker has read a request's prompt.
func (b *Balancer) FirstToken(now time.Duration, request *Request, instance string) {
	b.Left(request, instance)
	if len(request.Parts) == 0 {
		return
	}
	took := now - request.sentAt - time.Duration(request.waited*float64(time.Millisecond))
	b.readTimes.observe(max(took, 0), request.toRead, allTokens(request.Parts))
}

// Left notes that a request whose prompt may not have been read leaves a worker.
func (b *Balancer) Left(request *Request, instance string) {
	worker := b.tracked(instance)
	worker.unread = math.Max(0, worker.unread-request.unread)
	request.unread = 0
}

// Done notes that a request has left a worker.
func (b *Balancer) Done(instance string) {
	worker := b.tracked(instance)
	worker.inHand = max(worker.inHand-1, 0)
}

// Load notes what a worker says of itself: requests that run and that wait.
func (b *Balancer) Load(now time.Duration, instance string, running, waiting float64) {
	worker := b.tracked(instance)
	worker.saidOthers = math.Max(0, running+waiting-float64(worker.inHand))
	worker.saidWaiting = waiting
	worker.saidAt = now
	worker.everSaid = true
}

// Others notes what other edges say that they have in hand at a worker. Where known is false, they are not
// heard from, and what the worker has said of itself is gone by.
func (b *Balancer) Others(instance string, inHand, unread float64, known bool) {
	worker := b.tracked(instance)
	worker.toldInHand, worker.toldUnread, worker.told = inHand, unread, known
}

// InHandAt is what this edge has in hand at a worker.
type InHandAt struct {
	Instance string
	InHand   int
	Unread   float64 // prompt tokens of requests without a first token
}

// InHand returns what this edge has in hand, in the order of the instances.
func (b *Balancer) InHand() []InHandAt {
	var list []InHandAt
	for instance, worker := range b.workers {
		if worker.inHand > 0 {
			list = append(list, InHandAt{Instance: instance, InHand: worker.inHand, Unread: worker.unread})
		}
	}
	slices.SortFunc(list, func(x, y InHandAt) int { return strings.Compare(x.Instance, y.Instance) })
	return list
}

// inDoubt reports whether a worker has failed lately.
func (w *tracked) inDoubt(now time.Duration) bool { return now < w.doubtUntil }

// Dead notes that a worker does not answer probes. hearsay says that another edge finds so: what this one has
// just seen itself counts for more. It returns whether that was known already.
func (b *Balancer) Dead(now time.Duration, instance string, hearsay bool) (known bool) {
	worker := b.tracked(instance)
	if hearsay && worker.everAlive && now-worker.aliveAt < freshLife {
		return false
	}
	known = worker.inDoubt(now) && worker.dead
	worker.dead = true
	worker.doubtUntil = max(worker.doubtUntil, now+deadDoubt)
	return known
}

// Broke notes that a worker broke off a connection that it had kept, here or at another edge. One that does
// so again and again is avoided, though each time it is soon alive again.
func (b *Balancer) Broke(now time.Duration, instance string) {
	worker := b.tracked(instance)
	worker.breaks = worker.breaksLately(now) + 1
	worker.brokeAt = now
}

func (t *tracked) breaksLately(now time.Duration) float64 {
	return t.breaks * math.Exp(-(now-t.brokeAt).Seconds()/breakMemory.Seconds())
}

// Succeeded notes a sign of life.
func (b *Balancer) Succeeded(now time.Duration, instance string) {
	worker := b.tracked(instance)
	worker.failures = 0
	worker.doubtUntil = 0
	worker.dead = false
	worker.aliveAt, worker.everAlive = now, true
}

// Failed notes that a worker could not be reached, or broke off. It is in doubt for a time that doubles.
func (b *Balancer) Failed(now time.Duration, instance string) {
	worker := b.tracked(instance)
	doubt := firstDoubt << min(worker.failures, doubtDoublings)
	worker.failures++
	worker.doubtUntil = now + min(doubt, longestDoubt)
}

// Gone notes that another worker answers at a worker's address: it will not come back under its name.
func (b *Balancer) Gone(now time.Duration, instance string) {
	worker := b.tracked(instance)
	worker.doubtUntil = max(worker.doubtUntil, now+goneDoubt)
}
