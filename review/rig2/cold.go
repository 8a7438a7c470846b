package main

import (
	"slices"
	"time"
)

const (
	coldTime      = 3 * time.Second // cold_start_s
	coldPerSecond = 10*1.5 + 5      // cold_per_s x cold_overshoot + cold_slack
	restartDelay  = 500 * time.Millisecond
)

// playCold takes an evacuation back whose workers have turned cold just before, while three of five edges are
// killed at once and start again.
func playCold(r *rig) (bool, error) {
	if err := r.start("lulea-east", "lulea-east", "lulea-east", "lulea-east", "lulea-east"); err != nil {
		return false, err
	}
	arrivals := make(chan arrival, 1000)
	var workers []*worker
	for i, zone := range []string{"lulea-east", "kiruna-south", "kiruna-south"} {
		w, err := r.startWorker(i, zone, 64, 50*time.Millisecond, arrivals)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	o := newOperator(r)
	if _, err := o.replace(0, newConfiguration("idempotent", 2)); err != nil {
		return false, err
	}
	if err := r.awaitServed(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // the cores have run long enough to know the number of edges
	wait := recordArrivals(arrivals)
	load := r.startTraffic(100)
	if _, err := o.evacuate(0, "Start", "lulea-east"); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	restarted := make(chan error, 3)
	for _, edge := range r.edges[:3] {
		if !r.trouble {
			restarted <- nil
			continue
		}
		go func() { restarted <- edge.kill(restartDelay) }()
	}
	time.Sleep(restartDelay - 150*time.Millisecond)
	workers[0].turnCold(coldTime)
	coldAt := time.Now()
	r.record("worker %s turns cold for %v, and says so in its next heartbeat", workers[0].instance, coldTime)
	if _, err := o.evacuate(1, "Stop", "lulea-east"); err != nil {
		return false, err
	}
	for range 3 {
		if err := <-restarted; err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	r.record("requests of clients: %s", statuses(load.end()))
	close(arrivals)
	return r.judgeCold(wait(), workers[0], coldAt), nil
}

// judgeCold counts the requests that the cold worker got in any second.
func (r *rig) judgeCold(arrivals []arrival, cold *worker, coldAt time.Time) bool {
	var times []time.Duration
	for _, a := range arrivals {
		if after := a.at.Sub(coldAt); a.worker == cold && after >= 0 && after < coldTime {
			times = append(times, after)
		}
	}
	slices.Sort(times)
	most, from := 0, time.Duration(0)
	for i := range times {
		count := 0
		for _, at := range times[i:] {
			if at-times[i] < time.Second {
				count++
			}
		}
		if count > most {
			most, from = count, times[i]
		}
	}
	r.record("requests at the cold worker: %d while it was cold, %d in the second from %.3f s on, "+
		"%v are allowed", len(times), most, from.Seconds(), coldPerSecond)
	return most > coldPerSecond
}
