package main

import (
	"net/http"
	"strings"
	"time"
)

const configBound = 3 * time.Second // bounds.config_ms

// Header limits, before and after the change, and the header of the requests after it.
const (
	smallHeaderLimit = 16384
	largeHeaderLimit = 65536
	largeHeaderBytes = 40000
	keptConnections  = 12 // at each edge
)

// playLimits has the operator raise max_header_bytes while clients keep their connections. Without the
// disruption the first configuration states the larger limit.
func playLimits(r *rig) (bool, error) {
	if err := r.start("lulea-east", "kiruna-south"); err != nil {
		return false, err
	}
	arrivals := make(chan arrival, 1000)
	for i, zone := range []string{"lulea-east", "kiruna-south"} {
		if _, err := r.startWorker(i, zone, 6, 10*time.Millisecond, arrivals); err != nil {
			return false, err
		}
	}
	wait := recordArrivals(arrivals)
	o := newOperator(r)
	c := newConfiguration("non_idempotent", 1)
	c.Limits["max_header_bytes"] = largeHeaderLimit
	if r.trouble {
		c.Limits["max_header_bytes"] = smallHeaderLimit
	}
	acknowledged, err := o.replace(0, c)
	if err != nil {
		return false, err
	}
	if err := r.awaitServed(); err != nil {
		return false, err
	}
	var clients []*client
	for _, edge := range r.edges {
		for range keptConnections {
			clients = append(clients, &client{rig: r, edge: edge})
		}
	}
	r.sendOnAll("small headers, before", clients, "")
	if r.trouble {
		c.Generation, c.Limits["max_header_bytes"] = 2, largeHeaderLimit
		if acknowledged, err = o.replace(1, c); err != nil {
			return false, err
		}
	}
	for time.Since(acknowledged) < configBound+5*time.Second {
		time.Sleep(time.Second)
		r.sendOnAll("small headers", clients, "")
	}
	header := "Prompt-Prefix: " + strings.Repeat("5c1e07a2:8,", largeHeaderBytes/11) + "91bd3f06:410\r\n"
	r.record("the requests that follow have %d bytes of headers and come %.1f s after the acknowledgement",
		len(header), time.Since(acknowledged).Seconds())
	denied := r.sendOnAll("large headers, kept connections", clients, header)
	for _, c := range clients {
		c.disconnect()
	}
	r.sendOnAll("large headers, new connections", clients, header)
	close(arrivals)
	total := len(wait()) + denied
	bound := 5 + float64(total)/500
	r.record("denied with a 4xx, though the configuration in force allows them: %d of %d requests, "+
		"%.1f are allowed", denied, total, bound)
	return float64(denied) > bound, nil
}

// sendOnAll sends a request by each client, and returns how many were ended with a 4xx.
func (r *rig) sendOnAll(name string, clients []*client, header string) int {
	var requests []request
	denied := 0
	for _, c := range clients {
		sent := c.send(header)
		requests = append(requests, sent)
		if sent.status >= http.StatusBadRequest && sent.status < http.StatusInternalServerError {
			denied++
		}
	}
	r.record("%s: %s", name, statuses(requests))
	return denied
}
