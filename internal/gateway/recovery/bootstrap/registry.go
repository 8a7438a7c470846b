package bootstrap

import (
	"slices"
	"strings"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/ruleset"
)

// Version and limits of the exchange of lists with peers.
const (
	ProtocolVersion      = 1        // of this exchange; a peer with another version is ignored
	MaxPeers             = 3        // peers that are asked; one may be down and one wrong
	RequestTimeoutMillis = 300.0    // for one peer's answer; sending a list takes some ms
	RetryIntervalMillis  = 500.0    // between two rounds of requests to peers; the caller adds jitter
	MaxAgeMillis         = 60000.0  // since discovery last answered the peer; older lists are rejected
	LagToleranceMillis   = 1000.0   // behind the highest index before peers are asked; updates take less
	MaxListBytes         = 32 << 20 // of a peer's list; the limit of discovery's own lists
)

// Registry holds a starting gateway's list of workers, merged from discovery, a peer's list and overrides.
// It is not safe for concurrent use. Times are ms of the caller's clock.
type Registry struct {
	version             int64                       // discovery index of the local list
	local               map[string]endpoints.Worker // by name; from discovery, or the list known at the start
	discoveryAnswered   bool                        // discovery has answered this process
	discoveryAnsweredAt float64                     // time of discovery's last answer, ms
	peerList            endpoints.List              // the newest accepted list of a peer
	usesPeerList        bool                        // peerList is in use
	overrides           []ruleset.WorkerOverride    // of the operators; in neither local nor peerList
	highestIndex        int64                       // highest discovery index known of any gateway
	behindSince         float64                     // when highestIndex began to exceed version, ms; else 0
	lagging             bool                        // behind highestIndex for more than LagToleranceMillis
}

// NewRegistry returns a Registry with the list that was known at the start, which may be outdated.
func NewRegistry(known endpoints.List) *Registry {
	r := &Registry{local: map[string]endpoints.Worker{}}
	r.apply(known)
	return r
}

// apply applies a full list or a delta to the local list.
func (r *Registry) apply(update endpoints.List) {
	if update.Snapshot {
		clear(r.local)
	}
	for _, w := range update.Workers {
		if w.Removed {
			delete(r.local, w.Name)
		} else {
			r.local[w.Name] = w
		}
	}
	r.version = update.Version
}

// ApplyDiscovery applies an update from discovery to the local list and returns the list or delta that the
// caller has to apply, with overrides: the update itself, or a full list if a peer's list is or was in use.
func (r *Registry) ApplyDiscovery(update endpoints.List, nowMillis float64) endpoints.List {
	r.apply(update)
	if full, changed := r.DiscoveryAlive(nowMillis); changed {
		return full
	} else if r.usesPeerList {
		full, _ = r.mergePeerList(r.peerList)
		return r.withOverrides(full)
	}
	return r.withOverrides(update)
}

// ObserveIndex records the highest discovery index that any gateway is known to have, and reports whether
// the local list has been behind it for more than LagToleranceMillis. Peers are then asked although
// discovery answers, because its answers are outdated.
func (r *Registry) ObserveIndex(highestIndex int64, nowMillis float64) bool {
	r.highestIndex = highestIndex
	switch {
	case highestIndex <= r.version:
		r.behindSince = 0
	case r.behindSince == 0:
		r.behindSince = nowMillis
	}
	r.lagging = r.behindSince > 0 && nowMillis-r.behindSince > LagToleranceMillis
	return r.lagging
}

// SetOverrides replaces the operators' overrides of workers and regions, and returns the full list to
// apply.
func (r *Registry) SetOverrides(overrides []ruleset.WorkerOverride) endpoints.List {
	r.overrides = overrides
	if r.usesPeerList {
		l, _ := r.mergePeerList(r.peerList)
		return r.withOverrides(l)
	}
	return r.withOverrides(r.Local())
}

// withOverrides returns the list with the operators' overrides applied: a barred worker is marked as removed,
// a drained one is inactive, and the last override of a weight applies. The weight for a worker takes
// precedence over the weight for its region.
func (r *Registry) withOverrides(l endpoints.List) endpoints.List {
	if len(r.overrides) == 0 {
		return l
	}
	l.Workers = slices.Clone(l.Workers)
	for i := range l.Workers {
		w := &l.Workers[i]
		workerWeight := 0.0
		for _, o := range r.overrides {
			if o.Worker != "" && o.Worker != w.Name || o.Region != "" && o.Region != w.Zone ||
				o.Worker+o.Region == "" {
				continue
			}
			w.Active = w.Active && !o.Drained && !o.Barred
			w.Removed = w.Removed || o.Barred
			if o.Weight > 0 && o.Worker != "" {
				workerWeight = o.Weight
			} else if o.Weight > 0 {
				w.Weight = o.Weight
			}
		}
		if workerWeight > 0 {
			w.Weight = workerWeight
		}
	}
	return l
}

// Version returns the discovery index of the local list: the index of discovery's latest update, or of
// the list known at the start.
func (r *Registry) Version() int64 { return r.version }

// DiscoveryAlive records that discovery has answered, with or without an update. This ends the use of a
// peer's list, unless the local list lags and the peer's list is newer. If it ends the use, it returns the
// full local list to apply, and true.
func (r *Registry) DiscoveryAlive(nowMillis float64) (endpoints.List, bool) {
	r.discoveryAnswered, r.discoveryAnsweredAt = true, nowMillis
	r.ObserveIndex(r.highestIndex, nowMillis)
	if !r.usesPeerList || r.lagging && r.peerList.Version > r.version {
		return endpoints.List{}, false
	}
	r.usesPeerList, r.peerList = false, endpoints.List{}
	return r.withOverrides(r.Local()), true
}

// Local returns the full local list, sorted by name, without a peer's list and without overrides.
func (r *Registry) Local() endpoints.List {
	l := endpoints.List{Version: r.version, Snapshot: true}
	for _, w := range r.local {
		l.Workers = append(l.Workers, w)
	}
	slices.SortFunc(l.Workers, func(x, y endpoints.Worker) int { return strings.Compare(x.Name, y.Name) })
	return l
}

// Shared returns the local list, for a starting peer, and its age, which is the time since discovery last
// answered. The list contains nothing from peers' lists, so that these never circulate. ok is false until
// discovery has answered this process.
func (r *Registry) Shared(nowMillis float64) (l endpoints.List, ageMillis float64, ok bool) {
	if !r.discoveryAnswered {
		return l, 0, false
	}
	return r.Local(), nowMillis - r.discoveryAnsweredAt, true
}

// NeedsPeers reports whether peers have to be asked: discovery has not answered yet, or its answers are
// outdated and the peer's list is not up to date either.
func (r *Registry) NeedsPeers() bool {
	return !r.discoveryAnswered || r.lagging && r.peerList.Version < r.highestIndex
}

// DiscoveryAnswered reports whether discovery has answered this process.
func (r *Registry) DiscoveryAnswered() bool { return r.discoveryAnswered }

// ApplyPeerList checks a peer's list and its age; if it accepts the list, it returns the full list to apply
// and true. A peer's list is accepted only before discovery has answered, or while discovery's answers are
// known to be outdated. It has to be full, have a higher discovery index than the known lists, and be no
// older than MaxAgeMillis. It can deactivate or remove workers, and add unknown ones, but it never
// activates a worker that is known to be draining, because an error of a peer must not cause new requests
// to that worker. A list that leaves no active worker is rejected.
func (r *Registry) ApplyPeerList(peerList endpoints.List, ageMillis float64) (endpoints.List, bool) {
	if r.discoveryAnswered && !r.lagging || !peerList.Snapshot ||
		peerList.Version <= max(r.version, r.peerList.Version) || !(ageMillis >= 0) ||
		ageMillis > MaxAgeMillis {
		return endpoints.List{}, false
	}
	merged, active := r.mergePeerList(peerList)
	if !active {
		return endpoints.List{}, false
	}
	r.peerList, r.usesPeerList = peerList, true
	return r.withOverrides(merged), true
}

// mergePeerList returns the peer's list with the local state of the workers that are known locally merged
// in, and whether any worker in the result is active.
func (r *Registry) mergePeerList(peerList endpoints.List) (mergePeerList endpoints.List, active bool) {
	mergePeerList = endpoints.List{Version: r.version, Snapshot: true}
	for _, w := range peerList.Workers {
		if w.Removed {
			continue
		}
		if own, known := r.local[w.Name]; known {
			w.Active = w.Active && own.Active
			w.StartedMillis = max(
				w.StartedMillis,
				own.StartedMillis,
			) // the later start, so that a restarted worker gets a slow start
			if !w.Active {
				w.Address = own.Address
			}
		}
		active = active || w.Active
		mergePeerList.Workers = append(mergePeerList.Workers, w)
	}
	return mergePeerList, active
}
