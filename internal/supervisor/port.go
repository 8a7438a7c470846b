package supervisor

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/gateway/lifecycle"
)

// Port answers operators of the whole fleet.
type Port struct {
	At     string
	server *http.Server
}

// Open listens at the daemon's own operators' address until Close.
func (d *Daemon) Open() (*Port, error) {
	l, err := net.Listen("tcp", d.fleet.Control)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fleet/health", func(w http.ResponseWriter, _ *http.Request) {
		for _, s := range d.Standings() {
			if s.State != Ready && s.State != Replacing && s.State != Gone {
				http.Error(w, s.Name+" is "+s.State.String(), http.StatusServiceUnavailable)
				return
			}
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("GET /fleet/stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		fmt.Fprint(w, d.text())
	})
	if d.seat != nil {
		mux.HandleFunc("GET "+lifecycle.LeasePath, d.lease)
		mux.Handle("POST "+lifecycle.AskPath, relay.NewHandler(d.ask))
	}
	if d.seat != nil && d.seat.council != nil {
		mux.HandleFunc("GET /fleet/council", d.sitting)
		mux.HandleFunc("GET /fleet/rules", d.rulesText)
		mux.HandleFunc("GET /relay/status", d.relays)
	}
	if d.seat != nil && d.seat.branch != nil {
		mux.HandleFunc("GET /fleet/relay", d.follows)
	}
	if d.watcher != nil {
		mux.HandleFunc("GET /fleet/words", d.watcher.words)
		mux.HandleFunc("GET /fleet/outlook", d.watcher.outlook)
	}
	p := &Port{At: l.Addr().String(), server: &http.Server{Handler: mux, ReadTimeout: time.Second,
		WriteTimeout: time.Second, MaxHeaderBytes: 4096}}
	p.server.SetKeepAlivesEnabled(d.seat != nil) // instances ask five times in each lease
	p.server.IdleTimeout = time.Minute
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// Close ends the port.
func (p *Port) Close() { _ = p.server.Close() }

// Standings gives how all instances stand.
func (d *Daemon) Standings() []Standing {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keeper.Standings()
}

// text is the fleet's figures, a line each.
func (d *Daemon) text() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var b strings.Builder
	counts := map[State]int{}
	for _, s := range d.keeper.Standings() {
		counts[s.State]++
		fmt.Fprintf(&b, "fleet.%s.state=%s\nfleet.%s.restarts=%d\nfleet.%s.failures=%d\nfleet.%s.behind=%t\n",
			s.Name,
			s.State, s.Name, s.Restarts, s.Name, s.Failures, s.Name, s.Behind)
		if r := d.runs[s.Process]; r != nil {
			fmt.Fprintf(&b, "fleet.%s.pid=%d\nfleet.%s.control=%s\n", s.Name, r.Pid, s.Name, r.Control)
		}
	}
	for s, name := range stateNames {
		fmt.Fprintf(&b, "fleet.%s=%d\n", name, counts[State(s)])
	}
	if d.watcher != nil {
		d.watcher.figures(&b)
	}
	return b.String()
}
