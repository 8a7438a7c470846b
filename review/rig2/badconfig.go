package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

const otherBackend = "huvo11a"

// playBadConfig sends two invalid configurations: a route that names an unknown service beside its split, and
// two routes that share host and prefix, since host names have no case.
func playBadConfig(r *rig) (bool, error) {
	zones := []string{"lulea-east", "kiruna-south", "harnosand-n"}
	if err := r.start(append(zones, zones...)...); err != nil {
		return false, err
	}
	arrivals := make(chan arrival, 1000)
	for i, name := range []string{backend, otherBackend} {
		if _, err := r.startWorkerOf(name, i, "kiruna-south", 6, 10*time.Millisecond, arrivals); err != nil {
			return false, err
		}
	}
	o := newOperator(r)
	c := newConfiguration("non_idempotent", 1)
	other := c.Services[0]
	other.Name = otherBackend
	c.Services = append(c.Services, other)
	if _, err := o.replace(0, c); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if err := r.awaitServed(); err != nil {
		return false, err
	}
	wait := recordArrivals(arrivals)
	r.sendOnEach()
	acknowledged := 0
	if r.trouble {
		unknown := *c
		unknown.Generation = 2
		unknown.Routes = []route{c.Routes[0]}
		unknown.Routes[0].Backend = "no-such-service"
		unknown.Routes[0].TrafficSplit = []split{{backend, 1}}
		acknowledged += o.sendInvalid("a route names an unknown service", 1, &unknown)
		shared := *c
		shared.Generation = 3
		second := c.Routes[0]
		second.Name, second.Hostname, second.Backend = "r-2", strings.ToUpper(clientHost), otherBackend
		shared.Routes = []route{c.Routes[0], second}
		acknowledged += o.sendInvalid("two routes share host and prefix", 1+acknowledged, &shared)
		time.Sleep(configBound + time.Second)
	}
	r.sendOnEach()
	close(arrivals)
	wait()
	r.record("invalid configurations acknowledged: %d", acknowledged)
	return acknowledged > 0, nil
}

// sendInvalid sends an invalid configuration, and returns 1 if it is acknowledged and 0 if it is refused.
func (o *operator) sendInvalid(name string, base int, c *configuration) int {
	text, _ := json.Marshal(c.Routes) // has no part that cannot be encoded
	o.rig.record("invalid configuration (%s), generation %d: %s", name, c.Generation, text)
	_, err := o.replace(base, c)
	if err != nil {
		o.rig.record("refused: %v", err)
		return 0
	}
	return 1
}

// sendOnEach sends a request by each edge, and records which service has answered it.
func (r *rig) sendOnEach() {
	for _, edge := range r.edges {
		c := &client{rig: r, edge: edge}
		sent := c.send("")
		c.disconnect()
		status := http.StatusText(sent.status)
		r.record("%s: request %s, host %s: %s, %s", edge.name, sent.id, clientHost, status, sent.body)
	}
}
