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

// startServer serves HTTP on loopback by a handler, and gives its address.
func startServer(t *testing.T, answer http.HandlerFunc) string {
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

// TestBootstrapFromPeer: a joining instance whose discovery is silent requests a running instance's
// endpoints, and sends nothing to a worker that is draining by those, whatever its configuration says. Peers
// whose list is older, wrong, of another version, garbled, endless or cut off change nothing, and nothing
// waits for them. Discovery's response ends it.
func TestBootstrapFromPeer(t *testing.T) {
	var deployed atomic.Pointer[deployment]
	drained := func(version int) string {
		for deployed.Load() == nil { // it requests endpoints during its start
			time.Sleep(time.Millisecond)
		}
		d := deployed.Load()
		return fmt.Sprintf(
			`{"index":%d,"snapshot":true,"endpoints":[%s,%s]}`,
			version,
			d.endpointEntry(0, "leaving", 0),
			d.endpointEntry(1, "active", 0),
		)
	}
	respondWith := func(version, age string, body func() string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != admin.EndpointsPath {
				t.Errorf("request for %s", r.URL.Path)
			}
			w.Header().Set(admin.VersionHeader, version)
			w.Header().Set(admin.AgeHeader, age)
			io.WriteString(w, body())
		}
	}
	good := func() string { return drained(8) }
	for _, c := range []struct {
		name string
		peer http.HandlerFunc
		used bool
	}{
		{"newer", respondWith("1", "5", good), true},
		{"older than what is known", respondWith("1", "5", func() string { return drained(6) }), false},
		{"another version", respondWith("2", "5", good), false},
		{"no age", respondWith("1", "", good), false},
		{"too old", respondWith("1", "1e9", good), false},
		{"corrupt", respondWith("1", "5", func() string { return `{"index":9,"endpoints":[{"name":` }), false},
		{"nothing to serve", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, false},
		{"endless", func(w http.ResponseWriter, r *http.Request) {
			for b := []byte(strings.Repeat("x", 1<<16)); r.Context().Err() == nil; {
				if _, err := w.Write(b); err != nil {
					return
				}
			}
		}, false},
		{"stops half way", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "1000")
			io.WriteString(w, good()[:20])
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			at := startServer(t, func(w http.ResponseWriter, r *http.Request) { c.peer(w, r) })
			silent := silentListener(t)
			start := time.Now()
			deployed.Store(nil)
			d := deployWith(t, func(g *config.Gateway) {
				g.DiscoveryAddress, g.PeerAdminAddresses = silent, []string{at}
			}, 2, 5000)
			deployed.Store(d)
			if elapsed := time.Since(start); elapsed > 200*time.Millisecond {
				t.Errorf("the start took %v", elapsed)
			}
			if c.used {
				waitFor(t, "the peer's endpoints are not used", func() bool {
					return d.gateway.dispatcher.Tally().Workers == 1
				})
			} else {
				time.Sleep(150 * time.Millisecond)
			}
			for i := range 30 {
				if s, _ := d.send(checkRequest("/check", fmt.Sprint(i))); s != "HTTP/1.1 200 OK" {
					t.Fatalf("answered %q", s)
				}
			}
			if n := d.workers[0].count(); (n == 0) != c.used {
				t.Errorf("%d went to the worker that drains", n)
			}
			list := d.startDiscovery()
			conf := d.config
			conf.DiscoveryAddress = list
			d.gateway.Reload(conf, nil)
			waitFor(
				t,
				"a peer's endpoints outlive discovery's response",
				func() bool { return d.gateway.dispatcher.Tally().Workers == 2 },
			)
			// Requests that went on would reach whichever server of a later test gets the peer's port.
			waitFor(
				t,
				"the peer is still asked after discovery's response",
				func() bool { return !d.gateway.requestingEndpoints.Load() },
			)
		})
	}
}

// silentListener accepts connections and sends nothing.
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

// TestServeEndpointList: a running instance serves the endpoints that discovery has sent, and none before
// that; one that is not configured to has no such path.
func TestServeEndpointList(t *testing.T) {
	d := deployWith(t, func(c *config.Gateway) {
		c.AdminAddress, c.SharesEndpoints = "127.0.0.1:0", true
	}, 2, 5000)
	waitFor(t, "no endpoints are served", func() bool {
		return strings.Contains(d.callAdmin("GET "+admin.EndpointsPath), "\"index\":7")
	})
	d.updates <- fmt.Sprintf(`{"index":8,"snapshot":false,"endpoints":[%s]}`, d.endpointEntry(1, "left", 0))
	waitFor(t, "the former endpoints are served", func() bool {
		s := d.callAdmin("GET " + admin.EndpointsPath)
		return strings.Contains(s, "\"index\":8") && !strings.Contains(s, "w1") && strings.Contains(s, "w0")
	})
	if s := deployWithAdmin(t).callAdmin("GET " + admin.EndpointsPath); !strings.Contains(s, "404") {
		t.Errorf("one that does not serve endpoints: %q", s)
	}
	quiet := deployWith(t, func(c *config.Gateway) {
		c.AdminAddress, c.SharesEndpoints, c.DiscoveryAddress = "127.0.0.1:0", true, silentListener(t)
	}, 1, 5000)
	if s := quiet.callAdmin("GET " + admin.EndpointsPath); !strings.Contains(s, "503") {
		t.Errorf("before discovery has responded: %q", s)
	}
}
