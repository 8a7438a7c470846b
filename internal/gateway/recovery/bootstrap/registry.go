package bootstrap

import (
	"slices"
	"strings"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/ruleset"
)

// Bounds of the exchange with peers.
const (
	ProtocolVersion      = 1        // of the exchange between instances; a peer with another version is ignored
	MaxPeers             = 3        // instances that are asked; one may be down and one wrong
	RequestTimeoutMillis = 300.0    // for one peer's answer; a list takes some ms
	RetryIntervalMillis  = 500.0    // until peers are asked again; the caller adds jitter
	MaxAgeMillis         = 60000.0  // since discovery last answered the peer; an older list is rejected
	LagToleranceMillis   = 1000.0   // behind a peer's index until peers are asked; updates reach all within less
	MaxListBytes         = 32 << 20 // of a peer's list; the bound of discovery's own
)

// Registry is a starting instance's knowledge of the workers. It is not safe for concurrent use; times are
// ms of the caller's clock.
type Registry struct {
	version             int64
	local               map[string]endpoints.Worker // by name, from discovery or as known at the start
	discoveryAnswered   bool                        // discovery has answered this process
	discoveryAnsweredAt float64                     // when it last did, ms
	peerList            endpoints.List              // the newest accepted list of a peer
	usesPeerList        bool
	overrides           []ruleset.WorkerOverride // of operators; they apply to any list
	highestIndex        int64                    // of the discovery indexes that any instance is known to have
	behindSince         float64                  // since when it is higher than version, ms; 0 where it is not
	lagging             bool                     // it has been for more than LagToleranceMillis
}

// NewRegistry returns a Registry with the list that was known at the start, which may be old.
func NewRegistry(known endpoints.List) *Registry {
	r := &Registry{local: map[string]endpoints.Worker{}}
	r.apply(known)
	return r
}

// apply applies a full list or a change to the local list.
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

// ApplyDiscovery applies an update from discovery and returns what the instance has to apply: the update
// itself or, where a peer's list was in use until now, the full list.
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

// ObserveIndex takes the highest discovery index that any instance is known to have, and reports whether
// the local list has been behind it for more than LagToleranceMillis. Peers are then asked although
// discovery answers, since its answers are old.
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

// withOverrides returns the list with the operators' overrides applied: a barred worker is gone, a drained
// one is inactive, and the last weight given holds, that of a worker before that of its region.
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

// Version returns the discovery index of the local list: that of discovery's latest update, or of the list
// known at the start.
func (r *Registry) Version() int64 { return r.version }

// DiscoveryAlive records that discovery has answered, with or without an update. That ends the use of a
// peer's list: where one was in use and is no longer, it returns the full local list to apply, and true.
func (r *Registry) DiscoveryAlive(nowMillis float64) (endpoints.List, bool) {
	r.discoveryAnswered, r.discoveryAnsweredAt = true, nowMillis
	r.ObserveIndex(r.highestIndex, nowMillis)
	if !r.usesPeerList || r.lagging && r.peerList.Version > r.version {
		return endpoints.List{}, false
	}
	r.usesPeerList, r.peerList = false, endpoints.List{}
	return r.withOverrides(r.Local()), true
}

// Local returns the local list, without a peer's, sorted by name and without overrides.
func (r *Registry) Local() endpoints.List {
	l := endpoints.List{Version: r.version, Snapshot: true}
	for _, w := range r.local {
		l.Workers = append(l.Workers, w)
	}
	slices.SortFunc(l.Workers, func(x, y endpoints.Worker) int { return strings.Compare(x.Name, y.Name) })
	return l
}

// Shared returns the list that a starting peer may be given, and its age: only what discovery has sent to
// this process, so that lists learned from peers never circulate. It is false before discovery has
// answered.
func (r *Registry) Shared(nowMillis float64) (l endpoints.List, ageMillis float64, ok bool) {
	if !r.discoveryAnswered {
		return l, 0, false
	}
	return r.Local(), nowMillis - r.discoveryAnsweredAt, true
}

// NeedsPeers reports whether peers have to be asked: discovery has not answered yet, or its answers are
// old.
func (r *Registry) NeedsPeers() bool {
	return !r.discoveryAnswered || r.lagging && r.peerList.Version < r.highestIndex
}

// DiscoveryAnswered reports whether discovery has answered this process.
func (r *Registry) DiscoveryAnswered() bool { return r.discoveryAnswered }

// ApplyPeerList takes a peer's list and its age, and returns the full list to apply and true if it is
// accepted. A peer's list is accepted only before discovery has answered, or while discovery's answers are
// known to be old; it has to be full, newer by discovery's index than the lists known, and not older than
// MaxAgeMillis. It can make workers inactive, and add unknown ones, but it never activates a worker that
// is known to drain: a wrong peer must not send it new requests. A list without an active worker is
// rejected.
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

// mergePeerList returns the local list merged with a peer's, and whether any worker on it is active.
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
			) // the later of two starts, so that it gets a slow start
			if !w.Active {
				w.Address = own.Address
			}
		}
		active = active || w.Active
		mergePeerList.Workers = append(mergePeerList.Workers, w)
	}
	return mergePeerList, active
}
