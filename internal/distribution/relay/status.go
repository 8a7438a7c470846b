package relay

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"willowdeck/internal/distribution"
)

// Status is how a relay, or a council's daemon that serves relays, stands; for operators.
type Status struct {
	Name            string  `json:"name"`
	Cluster         string  `json:"cluster"`
	FormatVersion   int     `json:"form"` // of what it says and reads
	Known           bool    `json:"known"`
	Depth           int     `json:"depth"` // relays between it and the council, itself too
	Step            uint64  `json:"step"`
	Version         uint64  `json:"version"`
	Mark            string  `json:"mark,omitempty"`
	Pending         uint64  `json:"pending"` // 0: nothing waits
	Settled         bool    `json:"settled"`
	AgeMillis       float64 `json:"age_ms"` // since the quorum's read began which it rests on; -1: none
	StateBytes      int     `json:"bytes"`  // of the version
	ActiveClients   int     `json:"below"`  // who has asked within the last five leases
	CurrentUpstream string  `json:"upstream,omitempty"`

	UpstreamTraffic   *Traffic                     `json:"up,omitempty"`
	DownstreamTraffic Traffic                      `json:"down"`
	Follower          *distribution.FollowerCounts `json:"follow,omitempty"` // what has come from above
	Source            distribution.SourceCounts    `json:"give"`             // what was given below
	Checkpoint        *CheckpointCounts            `json:"copy,omitempty"`
}

// Copies counts copies on disk.
type CheckpointCounts struct {
	Written     int64 `json:"written"`
	Failed      int64 `json:"failed"` // could not be written
	Quarantined int64 `json:"aside"`  // could not be used at the start
}

// of fills in what a view says.
func (s *Status) setSnapshot(v *distribution.Snapshot) {
	s.Known, s.Depth, s.Step, s.Settled, s.AgeMillis = true, v.Depth, v.Step, v.Settled, v.AgeMillis(nowMillis())
	m := v.Rules.ID()
	s.Version, s.Mark, s.StateBytes, s.Pending = m.Number, m.String(), v.Rules.Bytes(), v.Pending.ID().Number
}

// Status tells how the relay stands.
func (r *Relay) Status() Status {
	s := Status{Name: r.config.Name, Cluster: r.config.Cluster, FormatVersion: distribution.FormatVersion,
		AgeMillis: -1}
	if v, ok := r.subscription.Snapshot(); ok {
		s.setSnapshot(&v)
	}
	up := r.client.Traffic()
	s.UpstreamTraffic, s.Checkpoint = &up, &CheckpointCounts{}
	s.Checkpoint.Written, s.Checkpoint.Failed, s.Checkpoint.Quarantined = r.checkpoint.Counts()
	r.subscription.WithFollower(func(f *distribution.Follower) {
		c := f.Counts()
		s.Follower, s.CurrentUpstream = &c, r.config.Upstreams[f.CurrentUpstream()]
	})
	r.server.fillStatus(&s)
	return s
}

// stands fills in what is known of those below.
func (g *server) fillStatus(s *Status) {
	s.ActiveClients, s.DownstreamTraffic = g.activeClients(), g.handler.Traffic()
	g.mu.Lock()
	defer g.mu.Unlock()
	s.Source = g.source.Counts()
}

// Lines gives a status as plain figures, a line each, in the order of their names.
func (s Status) Lines() string {
	raw, err := json.Marshal(s)
	var all map[string]any
	if err == nil {
		err = json.Unmarshal(raw, &all)
	}
	if err != nil {
		return ""
	}
	var b strings.Builder
	writeLines(&b, "relay", all)
	return b.String()
}

func writeLines(b *strings.Builder, prefix string, all map[string]any) {
	for _, k := range slices.Sorted(maps.Keys(all)) {
		name := prefix + "." + strings.ToLower(k)
		switch v := all[k].(type) {
		case map[string]any:
			writeLines(b, name, v)
		case float64:
			fmt.Fprintf(b, "%s=%.10g\n", name, v)
		default:
			fmt.Fprintf(b, "%s=%v\n", name, v)
		}
	}
}

// Show writes a status as JSON.
func WriteStatus(w http.ResponseWriter, s Status) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	_ = e.Encode(s)
}

// open listens for operators.
func (r *Relay) serveAdmin() error {
	l, err := net.Listen("tcp", r.config.Control)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /relay/status", func(w http.ResponseWriter,
		_ *http.Request) {
		WriteStatus(w, r.Status())
	})
	mux.HandleFunc("GET /relay/stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		fmt.Fprint(w, r.Status().Lines())
	})
	mux.HandleFunc("GET /relay/health", func(w http.ResponseWriter, _ *http.Request) {
		if _, ok := r.subscription.Snapshot(); !ok {
			http.Error(w, "nothing is known from above within the lease", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	r.adminServer = &http.Server{Handler: mux, ReadTimeout: time.Second, WriteTimeout: time.Second,
		MaxHeaderBytes: 4096}
	r.adminServer.SetKeepAlivesEnabled(false)
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		_ = r.adminServer.Serve(l)
	}()
	return nil
}
