package supervisor

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/gateway/lifecycle"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset/rulefile"
)

const (
	controlTimeout     = time.Second // for reading a request, and for writing its response
	controlIdleTimeout = time.Minute
	maxControlHeader   = 4096 // bytes
)

// ControlServer serves the daemon's control port to operators and to this host's instances.
type ControlServer struct {
	Address string // HOST:PORT
	server  *http.Server
}

// ServeControl listens on the control address of the settings and serves the control port until Close.
func (d *Daemon) ServeControl() (*ControlServer, error) {
	d.mu.Lock()
	address := d.settings.ControlAddress
	d.mu.Unlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	server := &ControlServer{
		Address: listener.Addr().String(),
		server: &http.Server{Handler: d.controlHandler(), ReadTimeout: controlTimeout,
			WriteTimeout: controlTimeout, IdleTimeout: controlIdleTimeout, MaxHeaderBytes: maxControlHeader},
	}
	server.server.SetKeepAlivesEnabled(d.rules != nil) // with a ruleset, instances send five requests per lease
	go func() { _ = server.server.Serve(listener) }()
	return server, nil
}

// Close closes the listener and all connections.
func (s *ControlServer) Close() { _ = s.server.Close() }

// controlHandler returns the handler of the control port. The paths of the ruleset and of the forecast exist
// only if the settings configure them.
func (d *Daemon) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fleet/health", d.handleHealth)
	mux.HandleFunc("GET /fleet/stats", d.handleStats)
	if d.rules != nil {
		mux.HandleFunc("GET "+lifecycle.LeasePath, d.handleLease)
		mux.Handle("POST "+lifecycle.UpdatePath, relay.NewHandler(d.answerUpdateRequest))
	}
	if d.rules != nil && d.rules.voter != nil {
		mux.HandleFunc("GET /fleet/council", d.handleRaftGroupStatus)
		mux.HandleFunc("GET /fleet/rules", d.handleRules)
		mux.HandleFunc("GET /relay/status", d.handleRelayStatus)
	}
	if d.rules != nil && d.rules.subscription != nil {
		mux.HandleFunc("GET /fleet/relay", d.handleSubscriptionStatus)
	}
	if d.forecasts != nil {
		mux.HandleFunc("GET "+reportsPath, d.forecasts.handleReports)
		mux.HandleFunc("GET /fleet/outlook", d.forecasts.handleForecast)
	}
	return mux
}

// handleHealth answers 200 if all desired instances serve, and otherwise 503 with the name and state of the
// first one that does not.
func (d *Daemon) handleHealth(w http.ResponseWriter, _ *http.Request) {
	for _, status := range d.Statuses() {
		if status.State != Ready && status.State != Replacing && status.State != Stopped {
			http.Error(w, status.Name+" is "+status.State.String(), http.StatusServiceUnavailable)
			return
		}
	}
	fmt.Fprintln(w, "ready")
}

func (d *Daemon) handleStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprint(w, d.statsText())
}

// statsText returns the statistics of the daemon and its instances as lines of the form name=value.
func (d *Daemon) statsText() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var text strings.Builder
	countByState := map[State]int{}
	for _, status := range d.reconciler.Statuses() {
		name := status.Name
		countByState[status.State]++
		fmt.Fprintf(&text, "fleet.%s.state=%s\n", name, status.State)
		fmt.Fprintf(&text, "fleet.%s.restarts=%d\n", name, status.Restarts)
		fmt.Fprintf(&text, "fleet.%s.failures=%d\n", name, status.Failures)
		fmt.Fprintf(&text, "fleet.%s.behind=%t\n", name, status.Outdated)
		if process := d.processes[status.ProcessNumber]; process != nil {
			fmt.Fprintf(&text, "fleet.%s.pid=%d\n", name, process.PID)
			fmt.Fprintf(&text, "fleet.%s.control=%s\n", name, process.AdminAddress)
		}
	}
	for state, name := range stateNames {
		fmt.Fprintf(&text, "fleet.%s=%d\n", name, countByState[State(state)])
	}
	if d.forecasts != nil {
		d.forecasts.writeStats(&text)
	}
	return text.String()
}

// RaftGroupStatus is the response of /fleet/council: the status of the raft group and of the ruleset.
type RaftGroupStatus struct {
	raftlog.Status
	Rules raftlog.ActivationStatus `json:"rules"`
}

func (d *Daemon) handleRaftGroupStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, RaftGroupStatus{d.rules.voter.Status(), d.rules.voter.ActivationStatus()})
}

// handleRules answers with the version in force in the format of a rules file, so that operators can edit it.
func (d *Daemon) handleRules(w http.ResponseWriter, _ *http.Request) {
	version := d.rules.InForce()
	if version.Number == 0 {
		http.Error(w, "no version is in force", http.StatusServiceUnavailable)
		return
	}
	text, err := rulefile.Encode(&version.Rules)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "# version %d\n%s", version.Number, text)
}

// handleRelayStatus answers with the status of the relays that subscribe to this daemon.
func (d *Daemon) handleRelayStatus(w http.ResponseWriter, _ *http.Request) {
	if d.rules.relayRoot == nil {
		http.Error(w, "council.serve: there is none", http.StatusNotFound)
		return
	}
	relay.WriteStatus(w, d.rules.relayRoot.Status())
}

func (d *Daemon) handleSubscriptionStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, d.rules.subscription.status())
}

// writeJSON answers with a value as indented JSON.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	_ = encoder.Encode(value)
}
