package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is one try of a client.
type request struct {
	id     string
	edge   *node
	sentAt time.Time
	status int // 0: none came
	body   string
	err    error
}

// client sends requests on one connection at a time, which it keeps.
type client struct {
	rig        *rig
	edge       *node
	connection net.Conn
	reader     *bufio.Reader
	patience   time.Duration // of a stream; 0: the usual one
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request with further header lines, and waits for the answer.
func (c *client) send(header string) request {
	sent := request{id: newID(), edge: c.edge, sentAt: time.Now()}
	sent.status, sent.body, sent.err = c.exchange(sent.id, header)
	if sent.err != nil {
		c.disconnect()
	}
	return sent
}

func (c *client) disconnect() {
	if c.connection != nil {
		c.connection.Close()
		c.connection = nil
	}
}

func (c *client) exchange(id, header string) (int, string, error) {
	if c.connection == nil {
		connection, err := net.DialTimeout("tcp4", c.edge.at(frontPort), time.Second)
		if err != nil {
			return 0, "", err
		}
		c.connection, c.reader = connection, bufio.NewReader(connection)
	}
	c.connection.SetDeadline(time.Now().Add(max(c.patience, 5*time.Second)))
	const body = "0123456789"
	text := fmt.Sprintf("POST %s2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s"+
		"Content-Length: %d\r\n\r\n%s", clientPath, clientHost, id,
		max(c.patience, 4*time.Second).Milliseconds(), header, len(body), body)
	if _, err := io.WriteString(c.connection, text); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.Close {
		c.disconnect()
	}
	return response.StatusCode, strings.TrimSpace(string(answer)), err
}

// traffic is clients that send at a rate, spread evenly over the edges.
type traffic struct {
	rig      *rig
	interval time.Duration
	stop     context.CancelFunc
	sending  sync.WaitGroup

	mu       sync.Mutex // guards what follows
	requests []request
	idle     map[*node][]*client
}

// startTraffic sends so many requests a second until it is stopped.
func (r *rig) startTraffic(perSecond int) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{
		rig: r, interval: time.Second / time.Duration(perSecond), stop: cancel, idle: map[*node][]*client{},
	}
	t.sending.Go(func() {
		ticker := time.NewTicker(t.interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			t.sending.Go(func() { t.sendOne(r.edges[i%len(r.edges)]) })
		}
	})
	return t
}

func (t *traffic) sendOne(edge *node) {
	t.mu.Lock()
	var c *client
	if list := t.idle[edge]; len(list) > 0 {
		c = list[len(list)-1]
		t.idle[edge] = list[:len(list)-1]
	} else {
		c = &client{rig: t.rig, edge: edge}
	}
	t.mu.Unlock()
	sent := c.send("")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle[edge] = append(t.idle[edge], c)
	t.requests = append(t.requests, sent)
}

// end stops the traffic and returns all requests.
func (t *traffic) end() []request {
	t.stop()
	t.sending.Wait()
	return t.requests
}

// awaitServed sends requests until each edge has served one.
func (r *rig) awaitServed() error {
	for _, edge := range r.edges {
		c := &client{rig: r, edge: edge}
		for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if c.send("").status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve", edge.name)
			}
		}
		c.disconnect()
	}
	return nil
}

// recordArrivals collects arrivals until the channel is closed.
func recordArrivals(from <-chan arrival) (wait func() []arrival) {
	done := make(chan struct{})
	var all []arrival
	go func() {
		defer close(done)
		for a := range from {
			all = append(all, a)
		}
	}()
	return func() []arrival {
		<-done
		return all
	}
}

// statuses counts how requests ended, for the record.
func statuses(requests []request) string {
	counts := map[string]int{}
	for i := range requests {
		switch {
		case requests[i].err != nil:
			counts["no answer"]++
		default:
			counts[fmt.Sprint(requests[i].status)]++
		}
	}
	var parts []string
	for status, count := range counts {
		parts = append(parts, fmt.Sprintf("%s: %d", status, count))
	}
	return strings.Join(parts, ", ")
}
