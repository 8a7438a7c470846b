package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in for a worker of a service.
type worker struct {
	service, instance, zone, address string
	seeds                            []string
	record                           *record
	answer                           func(w http.ResponseWriter, r *http.Request) // of a request that it runs

	server   *http.Server
	sequence atomic.Uint64
	known    atomic.Bool // a core has acknowledged a heartbeat
	stop     chan struct{}

	mu  sync.Mutex
	ran map[string]time.Time // by Request-Id: when it began to run
}

// startWorker starts a worker at an address with a free port.
func startWorker(
	d *deployment, service, zone, ip string, answer func(http.ResponseWriter, *http.Request),
) (*worker, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		service: service, zone: zone, address: listener.Addr().String(), seeds: d.seeds, record: d.record,
		answer: answer, stop: make(chan struct{}), ran: map[string]time.Time{},
	}
	w.instance = "i-" + strings.NewReplacer(".", "-", ":", "-").Replace(w.address)
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }() // until Close
	go w.beat()
	return w, nil
}

// close ends the worker as a crash does: it says nothing.
func (w *worker) close() {
	close(w.stop)
	_ = w.server.Close()
}

// ServeHTTP runs a request that names this worker.
func (w *worker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	response.Header().Set("Request-Id", id)
	response.Header().Set("Server-Signature", "s."+w.instance+"."+id)
	if target := request.Header.Get("Target-Instance"); target != "" && target != w.instance {
		response.Header().Set("Not-Executed", "1")
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		response.Header().Set("Not-Executed", "1")
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.ran[id] = time.Now()
	w.mu.Unlock()
	w.record.add("%s runs %s", w.instance, id)
	w.answer(response, request)
}

// hasRun reports whether the worker has begun work on a request.
func (w *worker) hasRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ran := w.ran[id]
	return ran
}

// beat sends heartbeats, to the next core where one fails.
func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	next := 0
	for {
		for range w.seeds {
			if w.heartbeat(client, w.seeds[next%len(w.seeds)]) {
				w.known.Store(true)
				break
			}
			next++
		}
		select {
		case <-w.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (w *worker) heartbeat(client *http.Client, core string) bool {
	body, err := json.Marshal(map[string]any{
		"backend": w.service, "address": w.address, "zone": w.zone, "generation": "v1", "capacity": 64,
		"state": "ready", "cold_remaining_ms": 0, "sequence": w.sequence.Add(1),
	})
	if err != nil {
		return false
	}
	url := fmt.Sprintf("http://%s/Instances.Heartbeat/%s", core, w.instance)
	response, err := client.Post(url, "application/json", strings.NewReader(string(body)))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
