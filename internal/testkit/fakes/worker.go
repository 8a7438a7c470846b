// Package fakes is what a gatekeeper meets, on loopback and with faults by script: workers, discovery
// and a counter. For tests and for the laboratory; written from the protocol, and with no more in it than
// they need.
package fakes

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"willowdeck/internal/testkit/history"
	"willowdeck/internal/testkit/ports"
)

// Fault is what a worker does for a while, instead of answering.
type Fault uint8

// The faults.
const (
	None     Fault = iota
	Stalls         // answers once the fault is over
	Silent         // never answers
	Errs           // answers 500; it has run
	Full           // answers 503, and that it has not run
	Cuts           // ends the connection, having run
	Garbage        // answers what is no HTTP
	HalfHead       // ends in the middle of its answer's head
)

// Got is a txn that a worker was sent whole.
type Got struct {
	ID, Product string
	Target      string // path and query
	At          time.Time
	Ran         bool
	Version     string // of the rules that it was sent by; empty where it names none
}

// Worker is a worker on loopback.
type Worker struct {
	Name string
	At   string

	script
	// Record has what comes written down; to be set before anything does.
	Record history.Recorder

	server  *http.Server
	leave   func() // gives its port back
	got     []Got
	serials map[string]uint64 // how often each txn has come
	cores   chan struct{}     // nil where it runs all at once
}

// script is how a stand-in behaves now.
type script struct {
	mu      sync.Mutex
	service time.Duration
	fault   Fault
	over    chan struct{} // closed when the fault ends
}

// Set begins a fault, or ends the one there is.
func (s *script) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.over)
	s.fault, s.over = f, make(chan struct{})
}

// Takes changes how long it takes for an answer.
func (s *script) Takes(service time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service = service
}

// Cores bounds how many txns it runs at once from now on; the others wait in turn.
func (w *Worker) Cores(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cores = make(chan struct{}, n)
}

// play waits, or does what a fault does, and tells whether an answer is to follow. It ends at once where its
// caller gives up.
func play(f Fault, over <-chan struct{}, service time.Duration, out http.ResponseWriter,
	r *http.Request) bool {
	text := "what is this\r\n\r\n"
	switch f {
	case Silent:
		<-r.Context().Done()
		return false
	case Stalls:
		select {
		case <-over:
		case <-r.Context().Done():
			return false
		}
	case Full:
		out.Header().Set("X-Not-Run", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return false
	case Errs:
		out.WriteHeader(http.StatusInternalServerError)
		return false
	case Cuts:
		panic(http.ErrAbortHandler)
	case HalfHead:
		text = "HTTP/1.1 200 OK\r\nContent-Le"
		fallthrough
	case Garbage:
		if c, _, err := out.(http.Hijacker).Hijack(); err == nil {
			fmt.Fprint(c, text)
			c.Close()
		}
		return false
	}
	time.Sleep(service)
	return true
}

// NewWorker starts a worker that takes so long for a txn.
func NewWorker(name string, service time.Duration) (*Worker, error) {
	l, leave, err := ports.Open()
	if err != nil {
		return nil, err
	}
	w := &Worker{Name: name, At: l.Addr().String(), script: script{service: service, over: make(chan struct{})},
		serials: map[string]uint64{}, leave: leave}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// Close ends the worker for good: its connections break, and its port may be another's.
func (w *Worker) Close() {
	w.Down()
	w.leave()
}

// Down ends the worker at once: its connections break. Nobody else is at its address until it is closed.
func (w *Worker) Down() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.server.Close()
}

// Reopen has a worker that is down be there again at its address, with what it knows.
func (w *Worker) Reopen() error {
	l, err := net.Listen("tcp", w.At)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	server := &http.Server{Handler: w}
	w.server = server
	go func() { _ = server.Serve(l) }()
	return nil
}

// Got gives what it was sent.
func (w *Worker) Got() []Got {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Got(nil), w.got...)
}

func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		http.Error(out, "no id", http.StatusNotFound)
		return
	}
	product, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	w.mu.Lock()
	fault, over, service := w.fault, w.over, w.service
	rules := r.Header.Get("X-Rules")
	serial := w.serials[id]
	w.serials[id]++
	w.got = append(w.got, Got{id, product, r.RequestURI, time.Now(), fault != Full && fault != Silent, rules})
	cores := w.cores
	w.mu.Unlock()
	if w.Record != nil {
		version, _ := strconv.ParseUint(rules, 10, 64)
		w.Record.Write(history.Event{Kind: history.Got, Txn: id, Worker: w.Name, Version: version,
			Serial: serial})
		if fault != Full && fault != Silent {
			w.Record.Write(history.Event{Kind: history.Ran, Txn: id, Worker: w.Name, Serial: serial})
		}
	}
	if cores != nil {
		select {
		case cores <- struct{}{}:
			defer func() { <-cores }()
		case <-r.Context().Done():
			return
		}
	}
	if play(fault, over, service, out, r) {
		fmt.Fprintf(out, "done %s\n", id)
	}
}

// Entry is one worker of discovery's list.
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

// Of gives a worker's entry, active since long ago.
func (w *Worker) Of(zone string) Entry {
	return Entry{Name: w.Name, Address: w.At, Zone: zone, Type: "m", Status: "active", Weight: 1}
}

// List is a version of the list, or changes of it.
type List struct {
	Index     int     `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Discovery is discovery on loopback.
type Discovery struct {
	At string

	server *http.Server
	leave  func() // gives its port back
	mu     sync.Mutex
	all    map[string]Entry
	order  []string
	index  int
	past   []List
	news   chan struct{} // closed when there is more
	down   bool
	busy   bool
	indent string
	silent int // times that the open watches have fallen silent
}

// NewDiscovery starts discovery with a list.
func NewDiscovery(entries ...Entry) (*Discovery, error) {
	l, leave, err := ports.Open()
	if err != nil {
		return nil, err
	}
	d := &Discovery{At: l.Addr().String(), leave: leave, all: map[string]Entry{}, news: make(chan struct{}),
		index: 1}
	for _, e := range entries {
		d.keep(e)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", d.hosts)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

func (d *Discovery) keep(e Entry) {
	if _, known := d.all[e.Name]; !known {
		d.order = append(d.order, e.Name)
	}
	d.all[e.Name] = e
}

// Close ends it.
func (d *Discovery) Close() {
	_ = d.server.Close()
	d.leave()
}

// Down has it say nothing more, until it is up again.
func (d *Discovery) Down(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.wake()
}

// Silence has the watches that are open say nothing more, for good. New ones are answered.
func (d *Discovery) Silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent++
}

// Busy has it turn all calls away.
func (d *Discovery) Busy(busy bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy = busy
}

// Indent lays its lists out over several lines, each set in by so much for each level.
func (d *Discovery) Indent(by string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.indent = by
}

// Tell tells changes.
func (d *Discovery) Tell(changes ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range changes {
		d.keep(e)
	}
	d.index++
	d.past = append(d.past, List{d.index, false, changes})
	d.wake()
}

func (d *Discovery) wake() {
	close(d.news)
	d.news = make(chan struct{})
}

// List gives the whole list as it is.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := List{Index: d.index, Snapshot: true}
	for _, name := range d.order {
		if e := d.all[name]; e.Status != "left" {
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	return l
}

func (d *Discovery) hosts(out http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	busy, silent := d.busy, d.silent
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
		news, down := d.news, d.down || d.silent > silent
		var due []List
		for _, l := range d.past {
			if l.Index > from && !down {
				due = append(due, l)
				from = l.Index
			}
		}
		d.mu.Unlock()
		for _, l := range due {
			_ = enc.Encode(l)
		}
		if len(due) == 0 && !down {
			fmt.Fprintln(out)
		}
		out.(http.Flusher).Flush()
		select {
		case <-news:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

// Counter is the shared counter on loopback.
type Counter struct {
	At string

	listener net.Listener
	leave    func() // gives its port back
	mu       sync.Mutex
	totals   map[string]total
	busy     bool
}

type total struct {
	sum  float64
	over time.Time
}

// NewCounter starts a counter that is empty.
func NewCounter() (*Counter, error) {
	l, leave, err := ports.Open()
	if err != nil {
		return nil, err
	}
	c := &Counter{At: l.Addr().String(), listener: l, leave: leave, totals: map[string]total{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.talk(conn)
		}
	}()
	return c, nil
}

// Close ends it.
func (c *Counter) Close() {
	_ = c.listener.Close()
	c.leave()
}

// Busy has it turn all calls away.
func (c *Counter) Busy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
}

// Total gives a name's total.
func (c *Counter) Total(name string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totals[name].sum
}

func (c *Counter) talk(conn net.Conn) {
	defer conn.Close()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		if _, err := fmt.Fprintf(conn, "%s\r\n", c.call(strings.Fields(lines.Text()), time.Now())); err != nil {
			return
		}
	}
}

// call answers one call. A name's life begins with its first amount.
func (c *Counter) call(words []string, now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(words) == 1 && words[0] == "ping" {
		return "pong"
	}
	if len(words) != 4 || words[0] != "bump" || len(words[1]) > 64 {
		return "error"
	}
	amount, err := strconv.ParseFloat(words[2], 64)
	life, bad := strconv.ParseFloat(words[3], 64)
	switch {
	case err != nil || bad != nil || !(amount <= 1e9) || !(life >= 1):
		return "error"
	case c.busy:
		return "busy"
	}
	t, known := c.totals[words[1]]
	if !known || now.After(t.over) {
		t = total{over: now.Add(time.Duration(min(life, 60000)) * time.Millisecond)}
	}
	t.sum += amount
	c.totals[words[1]] = t
	return "ok " + strconv.FormatFloat(t.sum, 'g', 7, 64)
}

// InOrder gives what several workers were sent, by when it came.
func InOrder(workers []*Worker) (all []Got) {
	for _, w := range workers {
		all = append(all, w.Got()...)
	}
	slices.SortFunc(all, func(a, b Got) int { return a.At.Compare(b.At) })
	return all
}
