package relay

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"willowdeck/internal/distribution"
)

// Status is the state of a relay, or of a raft group's daemon that serves relays, for operators.
type Status struct {
	Name               string  `json:"name"`
	Cluster            string  `json:"cluster"`
	FormatVersion      int     `json:"form"`  // of messages
	Known              bool    `json:"known"` // there is a snapshot whose lease runs
	Depth              int     `json:"depth"` // relays up to the raft group, this one included
	Step               uint64  `json:"step"`
	Version            uint64  `json:"version"`
	VersionID          string  `json:"mark,omitempty"`
	Pending            uint64  `json:"pending"` // version; 0: none
	TransitionComplete bool    `json:"settled"`
	AgeMillis          float64 `json:"age_ms"` // since the quorum read began; -1: there is no snapshot
	StateBytes         int     `json:"bytes"`  // of the version
	ActiveClients      int     `json:"below"`
	CurrentUpstream    string  `json:"upstream,omitempty"`

	UpstreamTraffic   *Traffic                     `json:"up,omitempty"`     // nil at a root
	DownstreamTraffic Traffic                      `json:"down"`             // with those below
	Follower          *distribution.FollowerCounts `json:"follow,omitempty"` // nil at a root
	Source            distribution.SourceCounts    `json:"give"`
	Checkpoint        *CheckpointCounts            `json:"copy,omitempty"` // nil at a root
}

// CheckpointCounts counts checkpoints since the start.
type CheckpointCounts struct {
	Written     int64 `json:"written"`
	Failed      int64 `json:"failed"` // could not be written
	Quarantined int64 `json:"aside"`  // could not be used, and were moved aside
}

// setSnapshot fills in what is known of a snapshot.
func (s *Status) setSnapshot(snapshot *distribution.Snapshot) {
	id := snapshot.Rules.ID()
	s.Known = true
	s.Depth, s.Step, s.TransitionComplete = snapshot.Depth, snapshot.Step, snapshot.TransitionComplete
	s.AgeMillis = snapshot.AgeMillis(nowMillis())
	s.Version, s.VersionID, s.StateBytes = id.Number, id.String(), snapshot.Rules.Bytes()
	s.Pending = snapshot.Pending.ID().Number
}

// Status gives the state of the relay.
func (r *Relay) Status() Status {
	s := Status{Name: r.config.Name, Cluster: r.config.Cluster, FormatVersion: distribution.FormatVersion,
		AgeMillis: -1}
	if snapshot, ok := r.subscription.Snapshot(); ok {
		s.setSnapshot(&snapshot)
	}
	traffic := r.client.Traffic()
	s.UpstreamTraffic, s.Checkpoint = &traffic, &CheckpointCounts{}
	s.Checkpoint.Written, s.Checkpoint.Failed, s.Checkpoint.Quarantined = r.checkpoint.Counts()
	r.subscription.WithFollower(func(f *distribution.Follower) {
		counts := f.Counts()
		s.Follower, s.CurrentUpstream = &counts, r.config.Upstreams[f.CurrentUpstream()]
	})
	r.server.fillStatus(&s)
	return s
}

// Status gives the state of the root.
func (r *Root) Status() Status {
	s := Status{Name: r.name, Cluster: r.cluster, FormatVersion: distribution.FormatVersion, AgeMillis: -1}
	r.mu.Lock()
	if r.snapshot.Rules != nil {
		s.setSnapshot(&r.snapshot)
	}
	r.mu.Unlock()
	r.server.fillStatus(&s)
	return s
}

// fillStatus fills in what is known of those below.
func (s *server) fillStatus(status *Status) {
	status.ActiveClients, status.DownstreamTraffic = s.activeClients(), s.handler.Traffic()
	s.mu.Lock()
	defer s.mu.Unlock()
	status.Source = s.source.Counts()
}

// Lines gives the status as plain figures, a line each, in the order of their names.
func (s Status) Lines() string {
	raw, err := json.Marshal(s)
	var figures map[string]any
	if err == nil {
		err = json.Unmarshal(raw, &figures)
	}
	if err != nil {
		return ""
	}
	var b strings.Builder
	writeLines(&b, "relay", figures)
	return b.String()
}

func writeLines(b *strings.Builder, prefix string, figures map[string]any) {
	for _, key := range slices.Sorted(maps.Keys(figures)) {
		name := prefix + "." + strings.ToLower(key)
		switch value := figures[key].(type) {
		case map[string]any:
			writeLines(b, name, value)
		case float64:
			fmt.Fprintf(b, "%s=%.10g\n", name, value)
		default:
			fmt.Fprintf(b, "%s=%v\n", name, value)
		}
	}
}

// WriteStatus writes a status as JSON.
func WriteStatus(w http.ResponseWriter, s Status) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	_ = encoder.Encode(s) // the reader has gone
}
