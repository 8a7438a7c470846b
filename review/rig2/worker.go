package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	workerHost        = 100 // of the first worker's address
)

// worker is a stand-in for a worker, as the operators' pages describe it.
type worker struct {
	rig      *rig
	instance string
	address  string
	zone     string
	slots    int
	work     time.Duration
	arrivals chan<- arrival
	service  string
	events   int // of a stream; 0: answers are no streams
	server   *http.Server

	mu        sync.Mutex // guards what follows
	running   int
	sequence  int
	coldUntil time.Time
	runs      int
	nextBeat  time.Time
	crashed   bool
}

// arrival is a request that has come to a worker.
type arrival struct {
	at     time.Time
	worker *worker
	id     string
	ran    bool // false: rejected with Not-Executed
}

// startWorker starts a worker of the first service. Its arrivals go to the channel.
func (r *rig) startWorker(
	number int, zone string, slots int, work time.Duration, to chan<- arrival,
) (*worker, error) {
	return r.startWorkerOf(backend, number, zone, slots, work, to)
}

// startWorkerOf starts a worker of a service. The number tells it from others.
func (r *rig) startWorkerOf(
	service string, number int, zone string, slots int, work time.Duration, to chan<- arrival,
) (*worker, error) {
	w := &worker{
		rig: r, instance: fmt.Sprintf("i-%08x", number+1), zone: zone, slots: slots, work: work, arrivals: to,
		service: service, nextBeat: time.Now(),
	}
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", r.subnet, workerHost+number, r.base))
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w, IdleTimeout: 30 * time.Second}
	go func() { _ = w.server.Serve(listener) }() // ends with the process, or with crash
	go w.beat()
	return w, nil
}

// beat sends a heartbeat in each interval, to the next core where one does not acknowledge it.
func (w *worker) beat() {
	client := http.Client{Timeout: time.Second}
	for core := 0; ; {
		w.mu.Lock()
		wait, crashed := time.Until(w.nextBeat), w.crashed
		w.mu.Unlock()
		if crashed {
			return
		}
		if wait > 0 {
			time.Sleep(min(wait, 10*time.Millisecond))
			continue
		}
		w.mu.Lock()
		w.nextBeat = time.Now().Add(heartbeatInterval)
		w.sequence++
		body, err := json.Marshal(map[string]any{
			"backend": w.service, "address": w.address, "zone": w.zone, "generation": "v1", "capacity": w.slots,
			"state": "ready", "cold_remaining_ms": max(time.Until(w.coldUntil).Milliseconds(), 0),
			"sequence": w.sequence,
		})
		w.mu.Unlock()
		if err != nil {
			return
		}
		url := "http://" + w.rig.cores[core%3].at(controlPort) + "/Instances.Heartbeat/" + w.instance
		response, err := client.Post(url, "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		if err != nil || response.StatusCode != http.StatusOK {
			core++
			w.mu.Lock()
			w.nextBeat = time.Now().Add(50 * time.Millisecond)
			w.mu.Unlock()
		}
	}
}

// turnCold makes the worker cold for a while, right after a heartbeat.
func (w *worker) turnCold(duration time.Duration) {
	w.mu.Lock()
	w.nextBeat = time.Now()
	w.mu.Unlock()
	time.Sleep(100 * time.Millisecond) // the heartbeat before it
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = time.Now().Add(duration)
}

// crash ends the worker without a word.
func (w *worker) crash() {
	w.mu.Lock()
	w.crashed = true
	w.mu.Unlock()
	_ = w.server.Close() // nothing of it is used any more
}

// take takes a slot, if one is free.
func (w *worker) take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.slots {
		return false
	}
	w.running++
	w.runs++
	return true
}

func (w *worker) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// ServeHTTP runs a request, or rejects it.
func (w *worker) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	answer.Header().Set("Request-Id", id)
	_, _ = io.Copy(io.Discard, request.Body)
	if target := request.Header.Get("Target-Instance"); target != "" && target != w.instance {
		answer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ran := w.take()
	w.arrivals <- arrival{at: time.Now(), worker: w, id: id, ran: ran}
	if !ran {
		answer.Header().Set("Not-Executed", "full")
		answer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.release()
	if w.events > 0 {
		w.stream(answer, request)
		return
	}
	select {
	case <-time.After(w.work):
	case <-request.Context().Done():
		return
	}
	answer.Header().Set("Server-Signature", w.instance+"."+id)
	w.mu.Lock()
	answer.Header().Set("Instance-Load", strconv.Itoa(w.running)+",0,"+strconv.Itoa(w.slots))
	w.mu.Unlock()
	fmt.Fprintf(answer, "answer of service %s to %s\n", w.service, id)
}

// stream sends events in an even rhythm, from the one after Last-Event-Id on.
func (w *worker) stream(answer http.ResponseWriter, request *http.Request) {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 where there is none
	answer.Header().Set("Server-Signature", w.instance+"."+request.Header.Get("Request-Id"))
	answer.Header().Set("Content-Type", "text/event-stream")
	for id := last + 1; id <= w.events; id++ {
		fmt.Fprintf(answer, "id: %d\ndata: of %s\n\n", id, w.instance)
		if http.NewResponseController(answer).Flush() != nil {
			return
		}
		select {
		case <-time.After(w.work):
		case <-request.Context().Done():
			return
		}
	}
}
