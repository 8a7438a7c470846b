package main

import (
	"time"
)

const (
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 56.0
)

// playBudget has more traffic than the workers bear, while three of five edges are killed at once and start
// again.
func playBudget(r *rig) (bool, error) {
	if err := r.start("lulea-east", "lulea-east", "kiruna-south", "kiruna-south", "kiruna-south"); err != nil {
		return false, err
	}
	arrivals := make(chan arrival, 10000)
	for i, zone := range []string{"lulea-east", "lulea-east", "kiruna-south", "kiruna-south"} {
		if _, err := r.startWorker(i, zone, 2, time.Second, arrivals); err != nil {
			return false, err
		}
	}
	o := newOperator(r)
	if _, err := o.replace(0, newConfiguration("idempotent", 4)); err != nil {
		return false, err
	}
	if err := r.awaitServed(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // the cores have run long enough to know the number of edges
	wait := recordArrivals(arrivals)
	load := r.startTraffic(20)
	time.Sleep(4 * time.Second)
	if r.trouble {
		restarted := make(chan error, 3)
		for _, edge := range r.edges[:3] {
			go func() { restarted <- edge.kill(restartDelay) }()
		}
		for range 3 {
			if err := <-restarted; err != nil {
				return false, err
			}
		}
	}
	time.Sleep(16 * time.Second)
	requests := load.end()
	r.record("requests of clients: %s", statuses(requests))
	close(arrivals)
	return r.judgeBudget(requests, wait()), nil
}

// judgeBudget compares the arrivals beyond the first of each request with the bound, in each window.
func (r *rig) judgeBudget(requests []request, arrivals []arrival) bool {
	seen := map[string]bool{}
	var again []time.Time
	for _, a := range arrivals {
		if seen[a.id] {
			again = append(again, a.at)
		}
		seen[a.id] = true
	}
	count := func(from time.Time) float64 {
		n := 0.0
		for i := range requests {
			if at := requests[i].sentAt.Sub(from); at >= 0 && at < budgetWindow {
				n++
			}
		}
		return n
	}
	worst, worstBound, worstFrom := 0.0, 0.0, time.Time{}
	for i, from := range again {
		repeats := 0.0
		for _, at := range again[i:] {
			if at.Sub(from) < budgetWindow {
				repeats++
			}
		}
		bound := budgetSlack + budgetRatio*max(count(from), count(from.Add(-budgetWindow)),
			count(from.Add(-budgetWindow/2)))
		if worstFrom.IsZero() || repeats-bound > worst-worstBound {
			worst, worstBound, worstFrom = repeats, bound, from
		}
	}
	r.record("arrivals beyond the first of each request: %d; in the worst window, from %.3f s on, %.0f, "+
		"%.1f are allowed", len(again), worstFrom.Sub(r.begun).Seconds(), worst, worstBound)
	return worst > worstBound
}
