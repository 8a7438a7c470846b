package lifecycle

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"willowdeck/internal/gateway/admin"
	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/recovery/bootstrap"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/fakes"
	"willowdeck/internal/testkit/ports"
)

// watchModes are the ways in which endpoint lists arrive, with the largest number of gateways.
var watchModes = []struct {
	name  string
	swaps []string
}{
	{"pushed", []string{`"balancers":1`, `"balancers":300`}},
	{"polled", []string{`"balancers":1`, `"balancers":300,"registry_mode":"on_request"`}},
}

// startListedDiscovery starts discovery with the workers of a configuration. Its lists span several lines.
func startListedDiscovery(t *testing.T, c *config.Gateway) *fakes.Discovery {
	t.Helper()
	var entries []fakes.Entry
	for _, w := range c.KnownEndpoints.Workers {
		entries = append(entries, fakes.Entry{Name: w.Name, Address: w.Address.String(), Zone: w.Zone,
			Status: "active", Weight: 1})
	}
	d, err := fakes.NewDiscovery(entries...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Indent("  ")
	return d
}

// drainFirstWorker has discovery list the first worker as draining.
func drainFirstWorker(list *fakes.Discovery) {
	e := list.List().Endpoints[0]
	e.Status = "leaving"
	list.Publish(e)
}

// awaitActiveWorkers waits until that many workers are active, and fails if it takes longer than most
// milliseconds.
func awaitActiveWorkers(t *testing.T, d *deployment, workers int, most float64) {
	t.Helper()
	start := time.Now()
	for d.gateway.dispatcher.Tally().Workers != workers {
		if time.Since(start) > transport.Millis(most) {
			t.Fatalf("%d workers are active %v ms later, not %d", d.gateway.dispatcher.Tally().Workers, most, workers)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("applied after %v", time.Since(start))
}

// awaitActiveWorkersRunning is awaitActiveWorkers by a clock that stops while the machine stalls: of the
// time between two looks, which are 5 ms apart, at most 50 ms count.
func awaitActiveWorkersRunning(t *testing.T, d *deployment, workers int, most float64) {
	t.Helper()
	const late = 50 * time.Millisecond
	start, ran, last := time.Now(), time.Duration(0), time.Now()
	for ; d.gateway.dispatcher.Tally().Workers != workers; time.Sleep(5 * time.Millisecond) {
		now := time.Now()
		ran += min(now.Sub(last), late)
		if last = now; ran > transport.Millis(most) {
			t.Fatalf(
				"%d workers are active %v (%v) later, not %d",
				d.gateway.dispatcher.Tally().Workers,
				ran,
				time.Since(start),
				workers,
			)
		}
	}
	t.Logf("applied after %v, of which the machine stalled for %v", time.Since(start), time.Since(start)-ran)
}

// TestSilentWatch: the open watch falls silent, and a worker drains. That is applied within
// WatchCatchUpMillis. Guards against a silence that is noticed late, a backoff after it that grows with the
// number of gateways, and lists that span several lines.
func TestSilentWatch(t *testing.T) {
	t.Parallel()
	for _, m := range watchModes {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			var list *fakes.Discovery
			d := deployWith(t, func(c *config.Gateway) {
				list = startListedDiscovery(t, c)
				c.DiscoveryAddress, c.KnownEndpoints.Version = list.Addr, 0
				c.KnownEndpoints.Workers = c.KnownEndpoints.Workers[:1]
				for rand.New(rand.NewSource(c.Seed)).Float64() > 0.02 { // that the first watch is open soon
					c.Seed++
				}
			}, 2, 5000, m.swaps...)
			awaitActiveWorkers(t, d, 2, policy.WatchCatchUpMillis)
			list.Silence()
			drainFirstWorker(list)
			awaitActiveWorkers(t, d, 1, policy.WatchCatchUpMillis)
		})
	}
}

// TestDiscoveryMoveInTime moves to a discovery that is silent or rejects requests at first. Its list is
// applied within WatchFailoverCatchUpMillis from when it responds. Guards against the first backoff of a
// large fleet, and against backoffs that grow with each failure.
func TestDiscoveryMoveInTime(t *testing.T) {
	t.Parallel()
	for _, m := range watchModes {
		for _, c := range []struct {
			name     string
			fail     func(*fakes.Discovery, bool)
			failsFor time.Duration
		}{
			{"healthy", (*fakes.Discovery).Busy, 0},
			{"busy at first", (*fakes.Discovery).Busy, time.Second},
			{"silent at first", (*fakes.Discovery).Down, time.Second},
		} {
			t.Run(m.name+", "+c.name, func(t *testing.T) {
				t.Parallel()
				d := deploy(t, 2, 5000, m.swaps...)
				next := d.config
				list := startListedDiscovery(t, &next)
				for range 7 {
					list.Publish() // its versions go on from the configured one
				}
				drainFirstWorker(list)
				next.DiscoveryAddress = list.Addr
				c.fail(list, c.failsFor > 0)
				d.gateway.Reload(next, nil)
				time.Sleep(c.failsFor)
				c.fail(list, false)
				awaitActiveWorkers(t, d, 1, policy.WatchFailoverCatchUpMillis)
			})
		}
	}
}

// TestStartAwaitsAgent: where lists are pushed, no request is sent by the configured list alone while the
// agent has a newer one, and no start waits for a silent agent for longer than StartupListWaitMillis. Where
// lists are polled none waits.
func TestStartAwaitsAgent(t *testing.T) {
	const slackMillis = 200.0 // ms; a start itself, on a loaded machine
	for _, c := range []struct {
		name      string
		swaps     []string
		answer    func(w http.ResponseWriter, d *deployment)
		drains    bool
		maxMillis float64
	}{
		{"at hand", nil, func(w http.ResponseWriter, d *deployment) {
			time.Sleep(10 * time.Millisecond)
			fmt.Fprintf(w, "{\n\"index\":8,\"endpoints\":[\n%s]}\n", d.endpointEntry(0, "leaving", 0))
		}, true, slackMillis},
		{"silent", nil, func(http.ResponseWriter, *deployment) {}, false,
			policy.StartupListWaitMillis + slackMillis},
		{"rejected", nil, func(w http.ResponseWriter, _ *deployment) { w.WriteHeader(503) }, false,
			slackMillis},
		{"polled", watchModes[1].swaps, func(http.ResponseWriter, *deployment) {}, false, slackMillis},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 2, 5000, c.swaps...)
			conf := d.config
			agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c.answer(w, d)
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}))
			t.Cleanup(agent.Close)
			conf.DiscoveryAddress = agent.Listener.Addr().String()
			var elapsed time.Duration
			for range 5 {
				start := time.Now()
				gk, err := Start(conf, zerolog.Nop())
				if err != nil {
					t.Fatal(err)
				}
				elapsed, d.address = time.Since(start), gk.Address
				t.Cleanup(func() {
					gk.cancelWatch()
					<-gk.watchEnded
					gk.Stop()
				})
				if !c.drains || elapsed < transport.Millis(policy.StartupListWaitMillis) {
					break // else the machine stalled, and the agent could not respond in time
				}
			}
			for i := range 30 {
				if s, _ := d.send(checkRequest("/check", fmt.Sprint(i))); s != "HTTP/1.1 200 OK" {
					t.Fatalf("answered %q", s)
				}
			}
			if n := d.workers[0].count(); elapsed > transport.Millis(c.maxMillis) || (n == 0) != c.drains {
				t.Errorf("the start took %v; %d requests went to a worker that drains by its agent: %v",
					elapsed, n, c.drains)
			}
		})
	}
}

// TestFetchEndpoints: a peer's list may span several lines, and counts only if it is complete. Cut at any
// byte, by a peer that announces that length or one that breaks off, it is an error.
func TestFetchEndpoints(t *testing.T) {
	const list = "{\n \"index\": 8,\n\n \"snapshot\": true,\n \"endpoints\": [\n" +
		"  {\"name\":\"a\",\"status\":\"leaving\"}\n ]\n}"
	cutAt, contentLength := 0, 0
	at := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(admin.VersionHeader, fmt.Sprint(bootstrap.ProtocolVersion))
		w.Header().Set(admin.AgeHeader, "5")
		w.Header().Set("Content-Length", fmt.Sprint(contentLength))
		io.WriteString(w, list[:cutAt])
	})
	for cutAt = 0; cutAt <= len(list); cutAt++ {
		for _, contentLength = range []int{cutAt, len(list)} {
			l, _, err := fetchEndpoints(&fasthttp.Client{MaxIdemponentCallAttempts: 1}, at)
			if ok := cutAt == len(list); ok != (err == nil) || ok != (l.Version == 8 && len(l.Workers) == 1) {
				t.Fatalf("cut after %q: %+v, %v", list[:cutAt], l, err)
			}
		}
	}
}

// scriptedDiscovery is a discovery on loopback that handles each request as the test says.
type scriptedDiscovery struct {
	address    string
	handled    chan string // each request that was handled, by its behaviour
	behaviours chan string // behaviour for the next request; the last one stays
	list       string
	delay      time.Duration
}

// newScriptedDiscovery gives one whose list has the first worker of a configuration draining. It listens
// once listen is called.
func newScriptedDiscovery(
	t *testing.T,
	at string,
	c *config.Gateway,
	turn time.Duration,
) *scriptedDiscovery {
	t.Helper()
	l := endpoints.List{Version: c.KnownEndpoints.Version + 1,
		Workers: []endpoints.Worker{c.KnownEndpoints.Workers[0]}}
	l.Workers[0].Active = false
	raw, err := endpoints.Append(nil, l)
	if err != nil {
		t.Fatal(err)
	}
	return &scriptedDiscovery{
		address:    at,
		handled:    make(chan string, 99),
		behaviours: make(chan string, 99),
		list:       string(raw),
		delay:      turn,
	}
}

// listen opens its address.
func (d *scriptedDiscovery) listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func (d *scriptedDiscovery) serve(l net.Listener) {
	behaviour := ""
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case behaviour = <-d.behaviours:
		default:
		}
		go d.handle(c, behaviour)
	}
}

func (d *scriptedDiscovery) handle(c net.Conn, behaviour string) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	d.handled <- behaviour
	chunk := func(s string) error {
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s)
		return err
	}
	const ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	halfList := d.list[:len(d.list)/2]
	repeated := ""
	switch behaviour {
	case "healthy":
		time.Sleep(d.delay)
		fmt.Fprint(c, ok)
		_ = chunk(d.list + "\n")
		for chunk("\n") == nil {
			time.Sleep(2 * time.Second)
		}
	case "busy":
		fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return
	case "swallowed":
	case "headers alone":
		fmt.Fprint(c, ok)
	case "half a list, reset":
		fmt.Fprint(c, ok)
		_ = chunk(halfList)
		c.(*net.TCPConn).SetLinger(0)
		return
	case "half a list":
		fmt.Fprint(c, ok)
		_ = chunk(halfList)
	case "a watch that responds and then trickles":
		fmt.Fprint(c, ok)
		_ = chunk("\n")
		for err := chunk(`{"endpoints":[`); err == nil; err = chunk("[") {
			time.Sleep(100 * time.Millisecond)
		}
	case "a trickling list":
		repeated = "["
	case "blanks in a list":
		repeated = " \n"
	}
	if repeated != "" {
		fmt.Fprint(c, ok)
		for err := chunk(`{"endpoints":[`); err == nil; err = chunk(repeated) {
			time.Sleep(100 * time.Millisecond)
		}
	}
	_, _ = io.Copy(io.Discard, c)
}

// TestUpdateAfterOutage: discovery fails the first requests, each in its way for good, and is well from then
// on. Its update is applied within WatchCatchUpMillis, on real connections, by the random draws that make
// for the longest backoffs among 300 instances that poll, where it answers one after another. Guards against
// all that a request which was refused, swallowed, rejected or half answered may add to the next one's
// backoff.
func TestUpdateAfterOutage(t *testing.T) {
	t.Parallel()
	for _, m := range watchModes {
		for _, c := range []struct {
			name       string
			behaviours []string
		}{
			{"refused", nil},
			{"swallowed", []string{"swallowed"}},
			{"swallowed twice", []string{"swallowed", "swallowed"}},
			{"rejected twice", []string{"busy", "busy"}},
			{"headers alone", []string{"headers alone"}},
			{"half a list", []string{"half a list"}},
			{"half a list, reset", []string{"half a list, reset"}},
			{"a trickling list", []string{"a trickling list"}},
			{"a watch that responds and then trickles", []string{"a watch that responds and then trickles"}},
			{"blanks in a list", []string{"blanks in a list"}},
		} {
			t.Run(m.name+", "+c.name, func(t *testing.T) {
				t.Parallel()
				var discovery *scriptedDiscovery
				var l net.Listener
				d := deployWith(t, func(conf *config.Gateway) {
					turn := time.Duration(0)
					if conf.Connections.PollsDiscovery {
						turn = time.Second // of the 2 s it may be; what is left is for a loaded machine
					}
					discovery = newScriptedDiscovery(t, ports.Address(t), conf, turn)
					if l = discovery.listen(t); len(c.behaviours) == 0 {
						l.Close()
					}
					for _, behaviours := range append(c.behaviours, "healthy") {
						discovery.behaviours <- behaviours
					}
					conf.DiscoveryAddress = discovery.address
					for hasLateDraws(conf.Seed) {
						conf.Seed++
					}
					if len(c.behaviours) > 0 {
						go discovery.serve(l)
					}
				}, 2, 5000, m.swaps...)
				if len(c.behaviours) == 0 {
					<-d.gateway.firstWatchResult // a call has been refused
					go discovery.serve(discovery.listen(t))
				}
				for range c.behaviours {
					<-discovery.handled
				}
				awaitActiveWorkersRunning(t, d, 1, policy.WatchCatchUpMillis)
			})
		}
	}
}

// hasLateDraws reports whether a seed's draws do not make the first request early and the ones after it
// late.
func hasLateDraws(seed int64) bool {
	r := rand.New(rand.NewSource(seed))
	early, late := r.Float64() < 0.02, true
	for range 3 {
		late = r.Float64() > 0.85 && late
	}
	return !early || !late
}

// TestUpdateAfterBlackHole: a connection to discovery never comes up, as to a machine that is gone; then it
// is back. Guards against an attempt that was begun just before, and delays the next one.
func TestUpdateAfterBlackHole(t *testing.T) {
	t.Parallel()
	for _, m := range watchModes {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			var discovery *scriptedDiscovery
			var backlog []io.Closer
			d := deployWith(t, func(conf *config.Gateway) {
				discovery = newScriptedDiscovery(t, ports.Address(t), conf, 0)
				backlog = fillBacklog(t, discovery.address)
				discovery.behaviours <- "healthy"
				conf.DiscoveryAddress = discovery.address
				for hasLateDraws(conf.Seed) {
					conf.Seed++
				}
			}, 2, 5000, m.swaps...)
			<-d.gateway.firstWatchResult // an attempt was given up; the next is about to begin, or has begun
			for _, c := range backlog {
				c.Close()
			}
			go discovery.serve(discovery.listen(t))
			awaitActiveWorkersRunning(t, d, 1, policy.WatchCatchUpMillis)
		})
	}
}

// fillBacklog makes connections to an address hang: nobody accepts there, and the listener's backlog is
// full.
func fillBacklog(t *testing.T, at string) (closers []io.Closer) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "hole")
	closers = []io.Closer{f}
	t.Cleanup(func() {
		for _, c := range closers {
			c.Close()
		}
	})
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	port := int(netip.MustParseAddrPort(at).Port())
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	for range 16 {
		c, err := net.DialTimeout("tcp", at, 100*time.Millisecond)
		if err != nil {
			return closers
		}
		closers = append(closers, c)
	}
	t.Fatal("the backlog is never full")
	return
}

// TestConsecutiveMoves sends SIGHUP several times in a row, each with another discovery. The watch leaves
// one that swallows requests, and one to which connections never come up, at once, and the last one's update
// is applied within WatchFailoverCatchUpMillis; if that one is down first, as after any outage. Guards
// against a move that waits for what the watch is doing, and against backoffs of the moves before.
func TestConsecutiveMoves(t *testing.T) {
	t.Parallel()
	for _, m := range watchModes {
		for _, down := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, down first: %v", m.name, down), func(t *testing.T) {
				t.Parallel()
				at := []string{ports.Address(t), ports.Address(t), ports.Address(t)}
				d := deploy(t, 2, 5000, m.swaps...)
				next := d.config
				swallowing, last := newScriptedDiscovery(t, at[0], &next, 0), newScriptedDiscovery(t, at[1], &next, 0)
				swallowing.behaviours <- "swallowed"
				go swallowing.serve(swallowing.listen(t))
				last.behaviours <- "healthy"
				fillBacklog(t, at[2])
				start := time.Now()
				move := func(to string) {
					next.DiscoveryAddress = to
					d.gateway.Reload(next, nil)
				}
				move(swallowing.address)
				<-swallowing.handled // the watch waits for an answer
				move(at[2])
				l := last.listen(t)
				if down {
					l.Close()
				}
				before := time.Now()
				move(last.address) // how long it takes for the old watch to end, TestWatchStopsAtOnce has exactly
				due := policy.WatchFailoverCatchUpMillis
				if down {
					time.Sleep(
						transport.Millis(policy.WatchFailoverCatchUpMillis) - time.Since(before),
					) // by then it is an outage like others
					due = policy.WatchCatchUpMillis
					l = last.listen(t)
				}
				go last.serve(l)
				awaitActiveWorkersRunning(t, d, 1, due)
				t.Logf("all moves took %v", time.Since(start))
			})
		}
	}
}
