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

type desk struct {
	ready, away atomic.Bool
	notes       atomic.Int64
}

func (d *desk) Healthy() bool { return d.ready.Load() && !d.away.Load() }
func (d *desk) Quiesce()      { d.away.Store(true) }
func (d *desk) Resume()       { d.away.Store(false) }
func (d *desk) Note(string)   { d.notes.Add(1) }
func (d *desk) Figures() Figures {
	return Figures{Products: []Product{{"sale", 8, 1, 2}}, Tries: 12, Active: 3, Workers: 5, Avoided: 1}
}

func open(t *testing.T) (*Port, *desk) {
	t.Helper()
	d := &desk{}
	d.ready.Store(true)
	p, err := Open("127.0.0.1:0", d)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, d
}

// call sends bytes on a connection of their own, and gives all that comes back until it ends.
func (p *Port) call(raw string, within time.Duration) (string, error) {
	c, err := net.Dial("tcp", p.At)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(within))
	fmt.Fprint(c, raw)
	b, err := io.ReadAll(c)
	return string(b), err
}

func ask(line string) string { return line + " HTTP/1.1\r\nHost: ops\r\n\r\n" }

func TestCalls(t *testing.T) {
	p, d := open(t)
	const figures = "svc.ok.sale=8\nsvc.shed.sale=1\nsvc.errors.sale=2\nsvc.tries=12\nsvc.active=3\n" +
		"svc.pool_size=5\nsvc.pool_ejected=1\n"
	cases := []struct{ name, raw, status, says string }{
		{"health", ask("GET /admin/health"), "200", "ready"},
		{"figures", ask("GET /admin/stats"), "200", figures},
		{"away", ask("PUT /admin/quiesce"), "200", ""},
		{"away twice", ask("PUT /admin/quiesce"), "200", ""},
		{"no health", ask("GET /admin/health"), "503", "not ready"},
		{"back", ask("PUT /admin/resume"), "200", ""},
		{"health again", ask("GET /admin/health"), "200", ""},
		{"no word where none is told", ask("GET /admin/word"), "404", "no such call"},
		{"unknown", ask("GET /admin/other"), "404", "no such call"},
		{"wrong method", ask("POST /admin/quiesce"), "405", "Allow: PUT"},
		{"changed by a look", ask("GET /admin/resume"), "405", "Allow: PUT"},
		{"no HTTP", "hello\r\n\r\n", "400", "no call"},
		{
			"over-long",
			"GET /admin/health HTTP/1.1\r\nX: " + strings.Repeat("x", 2*policy.OperatorBytes) + "\r\n\r\n",
			"400",
			"no call",
		},
		{"over-long body", "PUT /admin/quiesce HTTP/1.1\r\nHost: o\r\nContent-Length: 9000000\r\n\r\nab",
			"400", "no call"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := p.call(c.raw, 2*time.Second)
			if err != nil || !strings.HasPrefix(got, "HTTP/1.1 "+c.status+" ") || !strings.Contains(got, c.says) {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
	if d.away.Load() || d.notes.Load() != 3 {
		t.Errorf("away %v after %d changes", d.away.Load(), d.notes.Load())
	}
}

// Callers that send nothing, or half a call, cost no other caller its second, and are ended.
func TestSilentCallers(t *testing.T) {
	p, _ := open(t)
	var silent []net.Conn
	for i := range 3 * policy.OperatorCalls {
		c, err := net.Dial("tcp", p.At)
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
		got, err := p.call(ask("GET /admin/health"), time.Second)
		if err != nil || !strings.Contains(got, " 200 ") {
			t.Errorf("beside silent callers: %q, %v", got, err)
		}
	}
	for i, c := range silent {
		c.SetDeadline(time.Now().Add(2 * time.Second))
		if _, err := io.ReadAll(c); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Errorf("caller %d is held", i)
		}
	}
}
