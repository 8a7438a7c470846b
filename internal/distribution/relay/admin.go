package relay

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	adminTimeout        = time.Second // of a request and of a response
	adminMaxHeaderBytes = 4096
)

// serveAdmin listens for operators, and serves until Close.
func (r *Relay) serveAdmin() error {
	listener, err := net.Listen("tcp", r.config.Control)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /relay/status", func(w http.ResponseWriter, _ *http.Request) {
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
	r.adminServer = &http.Server{Handler: mux, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout,
		MaxHeaderBytes: adminMaxHeaderBytes}
	r.adminServer.SetKeepAlivesEnabled(false)
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		_ = r.adminServer.Serve(listener) // it ends with Close
	}()
	return nil
}
