package lifecycle

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"willowdeck/internal/gateway/admin"
	"willowdeck/internal/gateway/config"
)

// scripted is a peer that answers whatever it is told to, on loopback.
func scripted(t *testing.T, answer http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: answer}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// A newcomer whose discovery is silent asks a running instance: nothing goes to a worker that has drained
// since, whatever was known at its start. Peers that are older, wrong, of another version, garbled, endless
// or that stop half-way change nothing, and nothing waits for them. Discovery's word ends it.
func TestNewcomerAsks(t *testing.T) {
	var up atomic.Pointer[deployment]
	drained := func(version int) string {
		for up.Load() == nil { // the newcomer asks while its start is not over
			time.Sleep(time.Millisecond)
		}
		d := up.Load()
		return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s,%s]}`, version, d.entry(0, "leaving", 0),
			d.entry(1, "active", 0))
	}
	says := func(version, age string, body func() string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != admin.EndpointsPath {
				t.Errorf("asked for %s", r.URL.Path)
			}
			w.Header().Set(admin.VersionHeader, version)
			w.Header().Set(admin.AgeHeader, age)
			io.WriteString(w, body())
		}
	}
	good := func() string { return drained(8) }
	for _, c := range []struct {
		name     string
		peer     http.HandlerFunc
		believed bool
	}{
		{"newer", says("1", "5", good), true},
		{"older than what is known", says("1", "5", func() string { return drained(6) }), false},
		{"another version", says("2", "5", good), false},
		{"no age", says("1", "", good), false},
		{"too old", says("1", "1e9", good), false},
		{"garbled", says("1", "5", func() string { return `{"index":9,"endpoints":[{"name":` }), false},
		{"nothing to tell", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, false},
		{"without end", func(w http.ResponseWriter, r *http.Request) {
			for b := []byte(strings.Repeat("x", 1<<16)); r.Context().Err() == nil; {
				if _, err := w.Write(b); err != nil {
					return
				}
			}
		}, false},
		{"stops half-way", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "1000")
			io.WriteString(w, good()[:20])
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			at := scripted(t, func(w http.ResponseWriter, r *http.Request) { c.peer(w, r) })
			mute := silentListener(t)
			began := time.Now()
			up.Store(nil)
			d := deployWith(t, func(g *config.Gateway) {
				g.DiscoveryAddress, g.PeerAdminAddresses = mute,
					[]string{at}
			}, 2, 5000)
			up.Store(d)
			if took := time.Since(began); took > 200*time.Millisecond {
				t.Errorf("the start took %v", took)
			}
			if c.believed {
				until(t, "it is not believed", func() bool { return d.gk.desk.Tally().Workers == 1 })
			} else {
				time.Sleep(150 * time.Millisecond)
			}
			for i := range 30 {
				if s, _ := d.ask(check("/check", fmt.Sprint(i))); s != "HTTP/1.1 200 OK" {
					t.Fatalf("answered %q", s)
				}
			}
			if n := d.workers[0].count(); (n == 0) != c.believed {
				t.Errorf("%d went to the worker that drains", n)
			}
			list := d.discovery()
			conf := d.conf
			conf.DiscoveryAddress = list
			d.gk.Reload(conf, nil)
			until(t, "hearsay outlives discovery's word", func() bool { return d.gk.desk.Tally().Workers == 2 })
		})
	}
}

// silentListener takes connections and says nothing.
func silentListener(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			if _, err := l.Accept(); err != nil {
				return
			}
		}
	}()
	return l.Addr().String()
}

// A running instance tells what discovery has said to it, and nothing before that; one that is not to tell
// has no such call.
func TestTellsItsList(t *testing.T) {
	d := deployWith(t, func(c *config.Gateway) { c.AdminAddress, c.SharesEndpoints = "127.0.0.1:0", true }, 2,
		5000)
	until(t, "nothing is told", func() bool {
		return strings.Contains(d.operate("GET "+admin.EndpointsPath), "\"index\":7")
	})
	d.news <- fmt.Sprintf(`{"index":8,"snapshot":false,"endpoints":[%s]}`, d.entry(1, "left", 0))
	until(t, "it tells what was", func() bool {
		s := d.operate("GET " + admin.EndpointsPath)
		return strings.Contains(s, "\"index\":8") && !strings.Contains(s, "w1") && strings.Contains(s, "w0")
	})
	if s := operated(t).operate("GET " + admin.EndpointsPath); !strings.Contains(s, "404") {
		t.Errorf("one that is not to tell: %q", s)
	}
	quiet := deployWith(t, func(c *config.Gateway) {
		c.AdminAddress, c.SharesEndpoints, c.DiscoveryAddress = "127.0.0.1:0", true, silentListener(t)
	}, 1, 5000)
	if s := quiet.operate("GET " + admin.EndpointsPath); !strings.Contains(s, "503") {
		t.Errorf("before discovery has spoken: %q", s)
	}
}
