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
type ControlServer struct {
	Address string
	server  *http.Server
}

// Open listens at the daemon's own operators' address until Close.
func (d *Daemon) ServeControl() (*ControlServer, error) {
	listener, err := net.Listen("tcp", d.settings.ControlAddress)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fleet/health", func(w http.ResponseWriter, _ *http.Request) {
		for _, status := range d.Statuses() {
			if status.State != Ready && status.State != Replacing && status.State != Stopped {
				http.Error(w, status.Name+" is "+status.State.String(), http.StatusServiceUnavailable)
				return
			}
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("GET /fleet/stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		fmt.Fprint(w, d.statsText())
	})
	if d.rules != nil {
		mux.HandleFunc("GET "+lifecycle.LeasePath, d.handleLease)
		mux.Handle("POST "+lifecycle.AskPath, relay.NewHandler(d.answerUpdateRequest))
	}
	if d.rules != nil && d.rules.voter != nil {
		mux.HandleFunc("GET /fleet/council", d.handleCouncilStatus)
		mux.HandleFunc("GET /fleet/rules", d.handleRules)
		mux.HandleFunc("GET /relay/status", d.handleRelayStatus)
	}
	if d.rules != nil && d.rules.subscription != nil {
		mux.HandleFunc("GET /fleet/relay", d.handleSubscriptionStatus)
	}
	if d.forecasts != nil {
		mux.HandleFunc("GET /fleet/words", d.forecasts.handleReports)
		mux.HandleFunc("GET /fleet/outlook", d.forecasts.handleForecast)
	}
	server := &ControlServer{Address: listener.Addr().String(), server: &http.Server{Handler: mux, ReadTimeout: time.Second,
		WriteTimeout: time.Second, MaxHeaderBytes: 4096}}
	server.server.SetKeepAlivesEnabled(d.rules != nil) // instances ask five times in each lease
	server.server.IdleTimeout = time.Minute
	go func() { _ = server.server.Serve(listener) }()
	return server, nil
}

// Close ends the port.
func (s *ControlServer) Close() { _ = s.server.Close() }

// Standings gives how all instances stand.
func (d *Daemon) Statuses() []InstanceStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reconciler.Statuses()
}

// text is the fleet's figures, a line each.
func (d *Daemon) statsText() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var b strings.Builder
	countByState := map[State]int{}
	for _, status := range d.reconciler.Statuses() {
		countByState[status.State]++
		fmt.Fprintf(&b, "fleet.%s.state=%s\nfleet.%s.restarts=%d\nfleet.%s.failures=%d\nfleet.%s.behind=%t\n",
			status.Name,
			status.State, status.Name, status.Restarts, status.Name, status.Failures, status.Name, status.Outdated)
		if process := d.processes[status.ProcessNumber]; process != nil {
			fmt.Fprintf(&b, "fleet.%s.pid=%d\nfleet.%s.control=%s\n", status.Name, process.PID, status.Name, process.AdminAddress)
		}
	}
	for status, name := range stateNames {
		fmt.Fprintf(&b, "fleet.%s=%d\n", name, countByState[State(status)])
	}
	if d.forecasts != nil {
		d.forecasts.writeStats(&b)
	}
	return b.String()
}
