package main

import (
	"strings"
	"time"
)

const (
	streamEvents = 40
	eventGap     = 300 * time.Millisecond
	streamTime   = 15 * time.Second // deadline and timeout_ms of streams
)

// playHome gives a route a home while a stream runs in it. The stream's worker, which is in that home,
// crashes more than config_ms after the acknowledgement.
func playHome(r *rig) (bool, error) {
	if err := r.start("lulea-east", "kiruna-south"); err != nil {
		return false, err
	}
	arrivals := make(chan arrival, 1000)
	var workers []*worker
	outsideZone := "harnosand-n"
	for i, zone := range []string{"lulea-east", outsideZone, outsideZone, outsideZone, outsideZone} {
		w, err := r.startWorker(i, zone, 6, eventGap, arrivals)
		if err != nil {
			return false, err
		}
		w.events = streamEvents
		workers = append(workers, w)
	}
	wait := recordArrivals(arrivals)
	o := newOperator(r)
	c := newConfiguration("streaming", 2)
	c.Routes[0].Resumable, c.Routes[0].TimeoutMs = true, int(streamTime.Milliseconds())
	if _, err := o.replace(0, c); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the workers are known at both edges
	done := make(chan request, len(r.edges))
	begun := time.Now()
	for _, edge := range r.edges {
		go func() { done <- (&client{rig: r, edge: edge, patience: streamTime}).send("") }()
	}
	time.Sleep(time.Second)
	c.Generation, c.Routes[0].AllowedRegions = 2, []string{"bottenviken"}
	acknowledged, err := o.replace(1, c)
	if err != nil {
		return false, err
	}
	time.Sleep(configBound + 2*time.Second)
	if r.trouble {
		r.record("worker %s in lulea-east crashes", workers[0].instance)
		workers[0].crash()
	}
	for range r.edges {
		sent := <-done
		r.record("%s: request %s: %d, %d events, error %v", sent.edge.name, sent.id, sent.status,
			strings.Count(sent.body, "id:"), sent.err)
	}
	close(arrivals)
	outside := 0
	for _, a := range wait() {
		r.record("request %s reached %s in %s, %.3f s after it was sent, %.3f s after the acknowledgement", a.id,
			a.worker.instance, a.worker.zone, a.at.Sub(begun).Seconds(), a.at.Sub(acknowledged).Seconds())
		if a.worker.zone == outsideZone && a.at.Sub(acknowledged) > configBound {
			outside++
		}
	}
	r.record("requests at a worker outside the route's home, later than %v after its acknowledgement: %d",
		configBound, outside)
	return outside > 0, nil
}
