package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"willowdeck/internal/testkit/ports"
)

// heartbeatInterval is how long a watch without updates waits between two empty lines.
const heartbeatInterval = 2 * time.Second

// Entry is one worker in discovery's list; Status is active, leaving or left, Since the start of the worker's
// process in milliseconds since the epoch.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// Endpoint returns the worker's entry in a zone: active, with a start time of zero.
func (w *Worker) Endpoint(zone string) Entry {
	return Entry{Name: w.Name, Address: w.Addr, Zone: zone, Type: "m", Status: "active", Weight: 1}
}

// List is a snapshot of the list, or the entries that changed with an index.
type List struct {
	Index     int     `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Discovery is the discovery service on loopback. Its methods may be called concurrently.
type Discovery struct {
	Addr string // host:port

	server      *http.Server
	releasePort func()

	mu       sync.Mutex // guards what follows
	entries  map[string]Entry
	order    []string // names in the order in which they were first listed
	index    int
	updates  []List
	changed  chan struct{} // closed on each change
	down     bool
	busy     bool
	indent   string
	silenced int // how often the open watches were silenced
}

// NewDiscovery starts discovery with a list of workers at index 1. Whoever starts it calls Close.
func NewDiscovery(entries ...Entry) (*Discovery, error) {
	l, releasePort, err := ports.Open()
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: l.Addr().String(), releasePort: releasePort, entries: map[string]Entry{},
		changed: make(chan struct{}), index: 1}
	for _, e := range entries {
		d.store(e)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", d.serveHosts)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// store adds or replaces an entry. The caller holds the lock.
func (d *Discovery) store(e Entry) {
	if _, known := d.entries[e.Name]; !known {
		d.order = append(d.order, e.Name)
	}
	d.entries[e.Name] = e
}

// Close ends the service at once and releases its port.
func (d *Discovery) Close() {
	_ = d.server.Close()
	d.releasePort()
}

// Down makes all watches silent until it is called with false; changes are kept for them.
func (d *Discovery) Down(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.notify()
}

// Silence makes the watches that are open silent for good. New ones are answered.
func (d *Discovery) Silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silenced++
}

// Busy makes the service reject all calls with status 503.
func (d *Discovery) Busy(busy bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy = busy
}

// Indent lays the lists out over several lines, with this indentation for each level.
func (d *Discovery) Indent(by string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.indent = by
}

// Publish applies changed entries and publishes them to the watches.
func (d *Discovery) Publish(changes ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range changes {
		d.store(e)
	}
	d.index++
	d.updates = append(d.updates, List{d.index, false, changes})
	d.notify()
}

// notify wakes the watches. The caller holds the lock.
func (d *Discovery) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// List returns a snapshot of the list, without workers that have left.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := List{Index: d.index, Snapshot: true}
	for _, name := range d.order {
		if e := d.entries[name]; e.Status != "left" {
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	return l
}

// serveHosts answers one call: a snapshot, or with the parameter stream a watch that sends updates from an
// index on, and an empty line as a heartbeat.
func (d *Discovery) serveHosts(out http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	busy, silencedAtStart := d.busy, d.silenced
	enc := json.NewEncoder(out)
	enc.SetIndent("", d.indent)
	d.mu.Unlock()
	if busy {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.FormValue("stream") == "" {
		_ = enc.Encode(d.List())
		return
	}
	from, _ := strconv.Atoi(r.FormValue("index"))
	if from == 0 {
		l := d.List()
		from = l.Index
		_ = enc.Encode(l)
	}
	for {
		d.mu.Lock()
		changed, silent := d.changed, d.down || d.silenced > silencedAtStart
		var due []List
		for _, l := range d.updates {
			if l.Index > from && !silent {
				due = append(due, l)
				from = l.Index
			}
		}
		d.mu.Unlock()
		for _, l := range due {
			_ = enc.Encode(l)
		}
		if len(due) == 0 && !silent {
			fmt.Fprintln(out)
		}
		out.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(heartbeatInterval):
		case <-r.Context().Done():
			return
		}
	}
}
