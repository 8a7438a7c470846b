package lifecycle

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/fakes"
	"willowdeck/internal/testkit/faultinject"
)

// openDescriptors counts the descriptors of a process.
func openDescriptors(pid string) int {
	all, _ := os.ReadDir(filepath.Join("/proc", pid, "fd"))
	return len(all)
}

// keepConnecting keeps n connections open at an address until the test ends: each that is closed is opened
// again. A connection sends a text, which may be empty, and then rests. It gives the number that are open.
func keepConnecting(t *testing.T, address string, count int, text string) *atomic.Int64 {
	t.Helper()
	done := make(chan struct{})
	var open atomic.Int64
	var all sync.WaitGroup
	for range count {
		all.Add(1)
		go func() {
			defer all.Done()
			for {
				c, err := net.Dial("tcp", address)
				if err == nil {
					open.Add(1)
					stop := make(chan struct{})
					go func() {
						select {
						case <-done:
							c.Close()
						case <-stop:
						}
					}()
					fmt.Fprint(c, text)
					bufio.NewReader(c).WriteTo(discard{}) // until the other end closes
					close(stop)
					c.Close()
					open.Add(-1)
				}
				select {
				case <-done:
					return
				case <-time.After(time.Millisecond):
				}
			}
		}()
	}
	t.Cleanup(func() {
		close(done)
		all.Wait()
	})
	return &open
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// TestIdleConnectionsFillDescriptors: idle clients take every connection that is allowed while discovery
// refuses, and every descriptor that the system allows; then discovery starts, and clients are served by a
// worker that only its list names, a customer's demand is reported to the peer, and admin calls are
// answered. These are real processes, each with its own limit. Guards against a split of the descriptors
// that forgets some in use, or trusts a configuration above the system's limit: clients would get the last
// ones, and the watch none.
func TestIdleConnectionsFillDescriptors(t *testing.T) {
	t.Parallel()
	const limit = 96
	program := faultinject.Program(t, "willowdeck")
	for _, c := range []struct {
		name, limits, prelude string
		args                  []string
		minFilled             int // least number of descriptors that idle clients and admin calls use
	}{
		{"the system's limit is the configured one", `"limits":{"sockets":96},`, "", nil, 52},
		{"with all that takes descriptors", `"limits":{"sockets":96},`, "",
			[]string{"--residue", "residue", "--history", ".", "--tell", "--hall", "h"}, 50},
		{"the configured limit is above the system's", "", "", nil, 52},
		{"some are inherited", "", "exec 5</dev/null 6</dev/null 7</dev/null 8</dev/null 9</dev/null; ", nil,
			49},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			port := faultinject.Ports(t, 5)
			at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", port+i) }
			peer, err := net.ListenPacket("udp", at(4))
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			conf := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"control":%q,"peer_listen":%q,"peers":[%q,%q],
				"seed":"5",%s"known":{"index":7,"snapshot":true,"endpoints":[]},"settings":%s}`, at(0), at(1), at(2),
				at(3), at(3), at(4), c.limits, strings.NewReplacer("IDLE", "5000000", `"balancers":1`, `"balancers":2`,
					`"cancel":true`, `"cancel":true,"peers":true`, `"rate":1000,"most_at_once":1000`,
					`"rate":2,"most_at_once":400`, `"largest":1`, `"largest":1,"peer_in_per_s":100`).Replace(settings))
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, "conf.json"), []byte(conf), 0o600); err != nil {
				t.Fatal(err)
			}
			run := fmt.Sprintf(`%sulimit -n %d; echo $$ > pid; exec "$@"`, c.prelude, limit)
			process := faultinject.Start(
				t,
				faultinject.Spec{Name: "n0", Program: "/bin/sh", Dir: dir, Args: append([]string{"-c", run,
					"sh", program, "serve", "--config", "conf.json"}, c.args...)},
			)
			wait := func(what string, ms float64, ok func() bool) {
				t.Helper()
				for start := time.Now(); !ok(); time.Sleep(5 * time.Millisecond) {
					if time.Since(start) > transport.Millis(ms) {
						log, _ := os.ReadFile(process.Log())
						t.Fatalf("%s: not within %v ms; log: %s", what, ms, log)
					}
				}
			}
			wait("the start", 10000, func() bool {
				listener, err := net.Dial("tcp", at(2))
				if err == nil {
					listener.Close()
				}
				return err == nil
			})
			raw, err := os.ReadFile(filepath.Join(dir, "pid"))
			if err != nil {
				t.Fatal(err)
			}
			pid := strings.TrimSpace(string(raw))
			idle := openDescriptors(pid)
			const extra = 4 // the watch, a client's and an admin connection that wait for a place, and a file
			if d, err := config.Decode([]byte(conf), os.Getenv); err == nil && c.limits != "" {
				if len(c.args) > 0 {
					d.CrashStatePath, d.HistoryDir = "residue", "."
				}
				clients, workers := connectionLimits(d)
				if total := idle + extra + policy.MaxAdminConnections + clients + workers; total > limit {
					t.Errorf("%d descriptors alone, %d for clients, %d for workers: %d of %d in all", idle, clients,
						workers, total, limit)
				}
			} else if err != nil {
				t.Fatal(err)
			}

			keepConnecting(t, at(0), limit, "")
			keepConnecting(t, at(0), limit/2, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
			keepConnecting(t, at(2), 2*policy.MaxAdminConnections, "")
			maxOpen := 0
			wait("connections that use all descriptors", 10000, func() bool {
				maxOpen = max(maxOpen, openDescriptors(pid))
				return maxOpen >= idle+c.minFilled
			})

			worker, err := fakes.NewWorker("w", time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			defer worker.Close()
			list, err := json.Marshal(fakes.List{Index: 8, Snapshot: true, Endpoints: []fakes.Entry{worker.Endpoint("a")}})
			if err != nil {
				t.Fatal(err)
			}
			listener, err := net.Listen("tcp", at(1))
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
				for first := list; ; first = nil {
					fmt.Fprintln(out, string(first))
					out.(http.Flusher).Flush()
					select {
					case <-r.Context().Done():
						return
					case <-time.After(2 * time.Second):
					}
				}
			})}
			go server.Serve(listener)
			defer server.Close()
			discoveryUp := time.Now()
			succeeds := func(at, raw string) bool {
				c, err := net.Dial("tcp", at)
				if err != nil {
					return false
				}
				defer c.Close()
				fmt.Fprint(c, raw)
				status, _ := readResponse(c)
				maxOpen = max(maxOpen, openDescriptors(pid))
				return status == "HTTP/1.1 200 OK"
			}
			n := 0
			served := func() bool {
				n++
				return succeeds(at(0), strings.Replace(checkRequest("/check", fmt.Sprint(n)), "spread=1", "spread=2", 1))
			}
			wait("a client served by a worker of discovery's list", policy.WatchCatchUpMillis+5000, served)
			t.Logf("%d descriptors, %d of them without a client; served %v after discovery was up", maxOpen, idle,
				time.Since(discoveryUp))
			peer.SetReadDeadline(time.Now().Add(10 * time.Second))
			received := make(chan error, 1)
			go func() {
				_, _, err := peer.ReadFrom(make([]byte, 512))
				received <- err
			}()
			receivedOK := false
			wait("a message to the peer", 10000, func() bool {
				select {
				case err := <-received:
					receivedOK = err == nil
					return true
				default:
					served()
					return false
				}
			})
			wait("an admin call", 10000, func() bool {
				return succeeds(at(2), "GET /admin/stats HTTP/1.1\r\nHost: x\r\n\r\n")
			})
			log, _ := os.ReadFile(process.Log())
			if !receivedOK || maxOpen > limit || strings.Contains(string(log), "too many open files") {
				t.Errorf("%d descriptors of %d, the peer has received: %v; log: %s", maxOpen, limit, receivedOK, log)
			}
		})
	}
}
