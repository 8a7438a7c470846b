package admin

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"willowdeck/internal/policy"
)

type fakeGateway struct {
	ready, draining atomic.Bool
	loggedCalls     atomic.Int64
}

func (d *fakeGateway) Healthy() bool  { return d.ready.Load() && !d.draining.Load() }
func (d *fakeGateway) Quiesce()       { d.draining.Store(true) }
func (d *fakeGateway) Resume()        { d.draining.Store(false) }
func (d *fakeGateway) LogCall(string) { d.loggedCalls.Add(1) }
func (d *fakeGateway) Stats() Stats {
	return Stats{Products: []ProductStats{{"sale", 8, 1, 2}}, Attempts: 12, Active: 3, Workers: 5, Ejected: 1}
}

func openServer(t *testing.T) (*Server, *fakeGateway) {
	t.Helper()
	gateway := &fakeGateway{}
	gateway.ready.Store(true)
	server, err := Open("127.0.0.1:0", gateway)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server, gateway
}

// call sends bytes on a connection of its own, and returns all that comes back until it ends.
func (p *Server) call(raw string, within time.Duration) (string, error) {
	c, err := net.Dial("tcp", p.Address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(within))
	fmt.Fprint(c, raw)
	b, err := io.ReadAll(c)
	return string(b), err
}

func requestText(line string) string { return line + " HTTP/1.1\r\nHost: ops\r\n\r\n" }

func TestCalls(t *testing.T) {
	server, gateway := openServer(t)
	const figures = "svc.ok.sale=8\nsvc.shed.sale=1\nsvc.errors.sale=2\nsvc.tries=12\nsvc.active=3\n" +
		"svc.pool_size=5\nsvc.pool_ejected=1\n"
	cases := []struct{ name, raw, status, says string }{
		{"health", requestText("GET /admin/health"), "200", "ready"},
		{"figures", requestText("GET /admin/stats"), "200", figures},
		{"quiesce", requestText("PUT /admin/quiesce"), "200", ""},
		{"quiesce twice", requestText("PUT /admin/quiesce"), "200", ""},
		{"not ready while quiesced", requestText("GET /admin/health"), "503", "not ready"},
		{"resume", requestText("PUT /admin/resume"), "200", ""},
		{"health again", requestText("GET /admin/health"), "200", ""},
		{"no forecast report where there is none", requestText("GET /admin/word"), "404", "no such call"},
		{"unknown", requestText("GET /admin/other"), "404", "no such call"},
		{"wrong method", requestText("POST /admin/quiesce"), "405", "Allow: PUT"},
		{"a change by GET", requestText("GET /admin/resume"), "405", "Allow: PUT"},
		{"not HTTP", "hello\r\n\r\n", "400", "no call"},
		{
			"over-long",
			"GET /admin/health HTTP/1.1\r\nX: " + strings.Repeat("x", 2*policy.MaxAdminRequestBytes) + "\r\n\r\n",
			"400",
			"no call",
		},
		{"over-long body", "PUT /admin/quiesce HTTP/1.1\r\nHost: o\r\nContent-Length: 9000000\r\n\r\nab",
			"400", "no call"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := server.call(c.raw, 2*time.Second)
			if err != nil || !strings.HasPrefix(got, "HTTP/1.1 "+c.status+" ") || !strings.Contains(got, c.says) {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
	if gateway.draining.Load() || gateway.loggedCalls.Load() != 3 {
		t.Errorf("draining %v after %d changes", gateway.draining.Load(), gateway.loggedCalls.Load())
	}
}

// TestSilentCallers: callers that send nothing, or half a call, delay no other caller by a second, and are
// closed.
func TestSilentCallers(t *testing.T) {
	server, _ := openServer(t)
	var silent []net.Conn
	for i := range 3 * policy.MaxAdminConnections {
		c, err := net.Dial("tcp", server.Address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			fmt.Fprint(c, "GET /admin/he")
		}
		silent = append(silent, c)
	}
	for range 5 {
		got, err := server.call(requestText("GET /admin/health"), time.Second)
		if err != nil || !strings.Contains(got, " 200 ") {
			t.Errorf("beside silent callers: %q, %v", got, err)
		}
	}
	for i, c := range silent {
		c.SetDeadline(time.Now().Add(2 * time.Second))
		if _, err := io.ReadAll(c); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Errorf("caller %d was not closed", i)
		}
	}
}
