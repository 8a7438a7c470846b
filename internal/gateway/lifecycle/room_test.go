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

// files counts the descriptors of a process.
func files(pid string) int {
	all, _ := os.ReadDir(filepath.Join("/proc", pid, "fd"))
	return len(all)
}

// crowd keeps so many connections open at an address for as long as it may: each that is ended is opened
// anew. A connection says something, or nothing, and then rests.
func crowd(t *testing.T, at string, n int, says string) *atomic.Int64 {
	t.Helper()
	over := make(chan struct{})
	var open atomic.Int64
	var all sync.WaitGroup
	for range n {
		all.Add(1)
		go func() {
			defer all.Done()
			for {
				c, err := net.Dial("tcp", at)
				if err == nil {
					open.Add(1)
					stop := make(chan struct{})
					go func() {
						select {
						case <-over:
							c.Close()
						case <-stop:
						}
					}()
					fmt.Fprint(c, says)
					bufio.NewReader(c).WriteTo(discard{}) // until the other end closes
					close(stop)
					c.Close()
					open.Add(-1)
				}
				select {
				case <-over:
					return
				case <-time.After(time.Millisecond):
				}
			}
		}()
	}
	t.Cleanup(func() {
		close(over)
		all.Wait()
	})
	return &open
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// Idle clients fill every place while discovery refuses, and every descriptor that the system allows; then
// discovery comes up, and clients are served by a worker that only its list names, a customer's demand is
// told to the peer, and operators are answered. Real processes, each bounded by the system for itself alone.
// Guards against a split of the descriptors that forgets some of those in use, or believes a configuration
// that the system does not allow: the last ones go to clients then, and the watch finds none.
func TestIdleFillsDescriptors(t *testing.T) {
	t.Parallel()
	const most = 96
	program := faultinject.Program(t, "willowdeck")
	for _, c := range []struct {
		name, limits, before string
		args                 []string
		least                int // of what idle clients and calls hold
	}{
		{"the system's bound is the configured one", `"limits":{"sockets":96},`, "", nil, 52},
		{"with all that takes descriptors", `"limits":{"sockets":96},`, "",
			[]string{"--residue", "residue", "--history", ".", "--tell", "--hall", "h"}, 50},
		{"the configured one is beyond the system's", "", "", nil, 52},
		{"and some are inherited", "", "exec 5</dev/null 6</dev/null 7</dev/null 8</dev/null 9</dev/null; ", nil,
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
			run := fmt.Sprintf(`%sulimit -n %d; echo $$ > pid; exec "$@"`, c.before, most)
			p := faultinject.Start(
				t,
				faultinject.Spec{Name: "n0", Program: "/bin/sh", Dir: dir, Args: append([]string{"-c", run,
					"sh", program, "serve", "--config", "conf.json"}, c.args...)},
			)
			wait := func(what string, ms float64, ok func() bool) {
				t.Helper()
				for began := time.Now(); !ok(); time.Sleep(5 * time.Millisecond) {
					if time.Since(began) > transport.Millis(ms) {
						log, _ := os.ReadFile(p.Log())
						t.Fatalf("%s: not within %v ms; log: %s", what, ms, log)
					}
				}
			}
			wait("the start", 10000, func() bool {
				l, err := net.Dial("tcp", at(2))
				if err == nil {
					l.Close()
				}
				return err == nil
			})
			raw, err := os.ReadFile(filepath.Join(dir, "pid"))
			if err != nil {
				t.Fatal(err)
			}
			pid := strings.TrimSpace(string(raw))
			idle := files(pid)
			const more = 4 // the watch, a client's and an operator's connection that wait for places, and a file
			if d, err := config.Decode([]byte(conf), os.Getenv); err == nil && c.limits != "" {
				if len(c.args) > 0 {
					d.CrashStatePath, d.HistoryDir = "residue", "."
				}
				clients, workers := places(d)
				if all := idle + more + policy.MaxAdminConnections + clients + workers; all > most {
					t.Errorf("%d descriptors alone, %d for clients, %d for workers: %d of %d in all", idle, clients,
						workers, all, most)
				}
			} else if err != nil {
				t.Fatal(err)
			}

			crowd(t, at(0), most, "")
			crowd(t, at(0), most/2, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
			crowd(t, at(2), 2*policy.MaxAdminConnections, "")
			full := 0
			wait("a crowd that fills all places", 10000, func() bool {
				full = max(full, files(pid))
				return full >= idle+c.least
			})

			w, err := fakes.NewWorker("w", time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			list, err := json.Marshal(fakes.List{Index: 8, Snapshot: true, Endpoints: []fakes.Entry{w.Endpoint("a")}})
			if err != nil {
				t.Fatal(err)
			}
			l, err := net.Listen("tcp", at(1))
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
			go server.Serve(l)
			defer server.Close()
			up := time.Now()
			answers := func(at, raw string) bool {
				c, err := net.Dial("tcp", at)
				if err != nil {
					return false
				}
				defer c.Close()
				fmt.Fprint(c, raw)
				status, _ := read(c)
				full = max(full, files(pid))
				return status == "HTTP/1.1 200 OK"
			}
			n := 0
			served := func() bool {
				n++
				return answers(at(0), strings.Replace(check("/check", fmt.Sprint(n)), "spread=1", "spread=2", 1))
			}
			wait("a client served by a worker of the list", policy.WatchCatchUpMillis+5000, served)
			t.Logf("%d descriptors, %d of them without a client; served %v after discovery was up", full, idle,
				time.Since(up))
			peer.SetReadDeadline(time.Now().Add(10 * time.Second))
			told := make(chan error, 1)
			go func() {
				_, _, err := peer.ReadFrom(make([]byte, 512))
				told <- err
			}()
			heard := false
			wait("a word to the peer", 10000, func() bool {
				select {
				case err := <-told:
					heard = err == nil
					return true
				default:
					served()
					return false
				}
			})
			wait("an operator's call", 10000, func() bool {
				return answers(at(2), "GET /admin/stats HTTP/1.1\r\nHost: x\r\n\r\n")
			})
			log, _ := os.ReadFile(p.Log())
			if !heard || full > most || strings.Contains(string(log), "too many open files") {
				t.Errorf("%d descriptors of %d, the peer has heard: %v; log: %s", full, most, heard, log)
			}
		})
	}
}
