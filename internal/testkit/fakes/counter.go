package fakes

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"willowdeck/internal/testkit/ports"
)

// Bounds of a call, by the protocol.
const (
	maxNameBytes      = 64
	maxAmount         = 1e9
	maxLifetimeMillis = 60000.0
)

// Counter is the shared counter on loopback. Its methods may be called concurrently.
type Counter struct {
	Addr string // host:port

	listener    net.Listener
	releasePort func()

	mu     sync.Mutex // guards what follows
	totals map[string]total
	busy   bool
}

// total is the sum of a name until it expires.
type total struct {
	sum    float64
	expiry time.Time
}

// NewCounter starts an empty counter. Whoever starts it calls Close.
func NewCounter() (*Counter, error) {
	l, releasePort, err := ports.Open()
	if err != nil {
		return nil, err
	}
	c := &Counter{Addr: l.Addr().String(), listener: l, releasePort: releasePort, totals: map[string]total{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

// Close ends the listener and releases the port; open connections end with their clients.
func (c *Counter) Close() {
	_ = c.listener.Close()
	c.releasePort()
}

// Busy makes the counter reject all calls.
func (c *Counter) Busy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
}

// Total returns the sum of a name, also past its expiry; 0 if there is none.
func (c *Counter) Total(name string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totals[name].sum
}

// serve answers the calls of one connection, one a line, until it ends.
func (c *Counter) serve(conn net.Conn) {
	defer conn.Close()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		if _, err := fmt.Fprintf(conn, "%s\r\n", c.handle(strings.Fields(lines.Text()), time.Now())); err != nil {
			return
		}
	}
}

// handle answers one call. The lifetime of a name's total begins with the first amount.
func (c *Counter) handle(words []string, now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(words) == 1 && words[0] == "ping" {
		return "pong"
	}
	if len(words) != 4 || words[0] != "bump" || len(words[1]) > maxNameBytes {
		return "error"
	}
	amount, amountErr := strconv.ParseFloat(words[2], 64)
	lifetimeMillis, lifetimeErr := strconv.ParseFloat(words[3], 64)
	switch {
	case amountErr != nil || lifetimeErr != nil || !(amount <= maxAmount) || !(lifetimeMillis >= 1):
		return "error"
	case c.busy:
		return "busy"
	}
	t, known := c.totals[words[1]]
	if !known || now.After(t.expiry) {
		t = total{expiry: now.Add(time.Duration(min(lifetimeMillis, maxLifetimeMillis)) * time.Millisecond)}
	}
	t.sum += amount
	c.totals[words[1]] = t
	return "ok " + strconv.FormatFloat(t.sum, 'g', 7, 64)
}
