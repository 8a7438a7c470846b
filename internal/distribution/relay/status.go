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
	Name     string  `json:"name"`
	Cluster  string  `json:"cluster"`
	Form     int     `json:"form"` // of what it says and reads
	Known    bool    `json:"known"`
	Depth    int     `json:"depth"` // relays between it and the council, itself too
	Step     uint64  `json:"step"`
	Version  uint64  `json:"version"`
	Mark     string  `json:"mark,omitempty"`
	Pending  uint64  `json:"pending"` // 0: nothing waits
	Settled  bool    `json:"settled"`
	AgeMS    float64 `json:"age_ms"` // since the quorum's read began which it rests on; -1: none
	Bytes    int     `json:"bytes"`  // of the version
	Below    int     `json:"below"`  // who has asked within the last five leases
	Upstream string  `json:"upstream,omitempty"`

	Up     *Traffic                  `json:"up,omitempty"`
	Down   Traffic                   `json:"down"`
	Follow *distribution.Counts      `json:"follow,omitempty"` // what has come from above
	Give   distribution.SourceCounts `json:"give"`             // what was given below
	Copy   *Copies                   `json:"copy,omitempty"`
}

// Copies counts copies on disk.
type Copies struct {
	Written int64 `json:"written"`
	Failed  int64 `json:"failed"` // could not be written
	Aside   int64 `json:"aside"`  // could not be used at the start
}

// of fills in what a view says.
func (s *Status) of(v *distribution.View) {
	s.Known, s.Depth, s.Step, s.Settled, s.AgeMS = true, v.Depth, v.Step, v.Settled, v.Age(Clock())
	m := v.Rules.ID()
	s.Version, s.Mark, s.Bytes, s.Pending = m.Number, m.String(), v.Rules.Bytes(), v.Pending.ID().Number
}

// Status tells how the relay stands.
func (r *Relay) Status() Status {
	s := Status{Name: r.file.Name, Cluster: r.file.Cluster, Form: distribution.Form, AgeMS: -1}
	if v, ok := r.feed.View(); ok {
		s.of(&v)
	}
	up := r.client.Traffic()
	s.Up, s.Copy = &up, &Copies{}
	s.Copy.Written, s.Copy.Failed, s.Copy.Aside = r.copy.Counts()
	r.feed.With(func(f *distribution.Follower) {
		c := f.Counts()
		s.Follow, s.Upstream = &c, r.file.Upstream[f.Current()]
	})
	r.giver.stands(&s)
	return s
}

// stands fills in what is known of those below.
func (g *giver) stands(s *Status) {
	s.Below, s.Down = g.count(), g.handler.Traffic()
	g.mu.Lock()
	defer g.mu.Unlock()
	s.Give = g.source.Counts()
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
	lines(&b, "relay", all)
	return b.String()
}

func lines(b *strings.Builder, prefix string, all map[string]any) {
	for _, k := range slices.Sorted(maps.Keys(all)) {
		name := prefix + "." + strings.ToLower(k)
		switch v := all[k].(type) {
		case map[string]any:
			lines(b, name, v)
		case float64:
			fmt.Fprintf(b, "%s=%.10g\n", name, v)
		default:
			fmt.Fprintf(b, "%s=%v\n", name, v)
		}
	}
}

// Show writes a status as JSON.
func Show(w http.ResponseWriter, s Status) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	_ = e.Encode(s)
}

// open listens for operators.
func (r *Relay) open() error {
	l, err := net.Listen("tcp", r.file.Control)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /relay/status", func(w http.ResponseWriter, _ *http.Request) { Show(w, r.Status()) })
	mux.HandleFunc("GET /relay/stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		fmt.Fprint(w, r.Status().Lines())
	})
	mux.HandleFunc("GET /relay/health", func(w http.ResponseWriter, _ *http.Request) {
		if _, ok := r.feed.View(); !ok {
			http.Error(w, "nothing is known from above within the lease", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	r.control = &http.Server{Handler: mux, ReadTimeout: time.Second, WriteTimeout: time.Second,
		MaxHeaderBytes: 4096}
	r.control.SetKeepAlivesEnabled(false)
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		_ = r.control.Serve(l)
	}()
	return nil
}
