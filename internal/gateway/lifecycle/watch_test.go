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

// modes are the ways in which lists come, at the most gatekeepers.
var modes = []struct {
	name  string
	swaps []string
}{
	{"pushed", []string{`"balancers":1`, `"balancers":300`}},
	{"asked for", []string{`"balancers":1`, `"balancers":300,"registry_mode":"on_request"`}},
}

// listing starts discovery with the workers of a configuration, its lists laid out over several lines.
func listing(t *testing.T, c *config.Gateway) *fakes.Discovery {
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

// drains has discovery tell that the first worker drains.
func drains(list *fakes.Discovery) {
	e := list.List().Endpoints[0]
	e.Status = "leaving"
	list.Publish(e)
}

// within waits until so many workers are active, and fails if that takes longer than so many ms.
func within(t *testing.T, d *deployment, workers int, most float64) {
	t.Helper()
	began := time.Now()
	for d.gk.desk.Tally().Workers != workers {
		if time.Since(began) > transport.Millis(most) {
			t.Fatalf("%d workers are active %v ms later, not %d", d.gk.desk.Tally().Workers, most, workers)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("told after %v", time.Since(began))
}

// told is within, by a clock that stands still while the machine does: a look each 5 ms that comes more than
// 50 ms late counts for 50.
func told(t *testing.T, d *deployment, workers int, most float64) {
	t.Helper()
	const late = 50 * time.Millisecond
	began, ran, last := time.Now(), time.Duration(0), time.Now()
	for ; d.gk.desk.Tally().Workers != workers; time.Sleep(5 * time.Millisecond) {
		now := time.Now()
		ran += min(now.Sub(last), late)
		if last = now; ran > transport.Millis(most) {
			t.Fatalf("%d workers are active %v (%v) later, not %d", d.gk.desk.Tally().Workers, ran, time.Since(began),
				workers)
		}
	}
	t.Logf("told after %v, of which the machine stood still for %v", time.Since(began), time.Since(began)-ran)
}

// The open watch falls silent once, and a worker drains: that is told before it counts as told. Guards
// against a silence that is noticed late, on top of it a pause that grows with the fleet, and lists over
// several lines.
func TestSilentWatch(t *testing.T) {
	t.Parallel()
	for _, m := range modes {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			var list *fakes.Discovery
			d := deployWith(t, func(c *config.Gateway) {
				list = listing(t, c)
				c.DiscoveryAddress, c.KnownEndpoints.Version = list.Addr, 0
				c.KnownEndpoints.Workers = c.KnownEndpoints.Workers[:1]
				for rand.New(rand.NewSource(c.Seed)).Float64() > 0.02 { // that the first watch is open soon
					c.Seed++
				}
			}, 2, 5000, m.swaps...)
			within(t, d, 2, policy.WatchCatchUpMillis)
			list.Silence()
			drains(list)
			within(t, d, 1, policy.WatchCatchUpMillis)
		})
	}
}

// A move to a discovery that is silent or turns calls away at first is told within WatchMoved once that
// speaks. Guards against the first pause of a large fleet, and against those that grow with each failure.
func TestMoveInTime(t *testing.T) {
	t.Parallel()
	for _, m := range modes {
		for _, c := range []struct {
			name   string
			away   func(*fakes.Discovery, bool)
			before time.Duration
		}{
			{"well", (*fakes.Discovery).Busy, 0},
			{"busy at first", (*fakes.Discovery).Busy, time.Second},
			{"silent at first", (*fakes.Discovery).Down, time.Second},
		} {
			t.Run(m.name+", "+c.name, func(t *testing.T) {
				t.Parallel()
				d := deploy(t, 2, 5000, m.swaps...)
				next := d.conf
				list := listing(t, &next)
				for range 7 {
					list.Publish() // its versions go on from those known
				}
				drains(list)
				next.DiscoveryAddress = list.Addr
				c.away(list, c.before > 0)
				d.gk.Reload(next, nil)
				time.Sleep(c.before)
				c.away(list, false)
				within(t, d, 1, policy.WatchFailoverCatchUpMillis)
			})
		}
	}
}

// Where lists are pushed, no txn goes by the known list alone while the agent has a newer one at hand; and no
// start waits for one that is silent for longer than FirstWord. Where they are asked for none waits.
func TestStartHearsAgent(t *testing.T) {
	const slack = 200.0 // ms; a start itself, on a loaded machine
	for _, c := range []struct {
		name   string
		swaps  []string
		answer func(w http.ResponseWriter, d *deployment)
		drains bool
		most   float64
	}{
		{"at hand", nil, func(w http.ResponseWriter, d *deployment) {
			time.Sleep(10 * time.Millisecond)
			fmt.Fprintf(w, "{\n\"index\":8,\"endpoints\":[\n%s]}\n", d.entry(0, "leaving", 0))
		}, true, slack},
		{"silent", nil, func(http.ResponseWriter, *deployment) {}, false, policy.StartupListWaitMillis + slack},
		{"turns it away", nil, func(w http.ResponseWriter, _ *deployment) { w.WriteHeader(503) }, false, slack},
		{"asked for", modes[1].swaps, func(http.ResponseWriter, *deployment) {}, false, slack},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 2, 5000, c.swaps...)
			conf := d.conf
			agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c.answer(w, d)
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}))
			t.Cleanup(agent.Close)
			conf.DiscoveryAddress = agent.Listener.Addr().String()
			var took time.Duration
			for range 5 {
				began := time.Now()
				gk, err := Start(conf, zerolog.Nop())
				if err != nil {
					t.Fatal(err)
				}
				took, d.at = time.Since(began), gk.At
				t.Cleanup(func() {
					gk.unwind()
					<-gk.ended
					gk.Stop()
				})
				if !c.drains || took < transport.Millis(policy.StartupListWaitMillis) {
					break // else the machine stood still, and the agent could not be heard in time
				}
			}
			for i := range 30 {
				if s, _ := d.ask(check("/check", fmt.Sprint(i))); s != "HTTP/1.1 200 OK" {
					t.Fatalf("answered %q", s)
				}
			}
			if n := d.workers[0].count(); took > transport.Millis(c.most) || (n == 0) != c.drains {
				t.Errorf("the start took %v; %d txns went to a worker that drains by its agent: %v", took, n, c.drains)
			}
		})
	}
}

// What a newcomer asks of others may come over several lines, and counts only if it is whole: cut anywhere,
// by a peer that says so little or one that breaks off, it is an error.
func TestListOfPeer(t *testing.T) {
	const whole = "{\n \"index\": 8,\n\n \"snapshot\": true,\n \"endpoints\": [\n" +
		"  {\"name\":\"a\",\"status\":\"leaving\"}\n ]\n}"
	cut, claims := 0, 0
	at := scripted(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(admin.VersionHeader, fmt.Sprint(bootstrap.ProtocolVersion))
		w.Header().Set(admin.AgeHeader, "5")
		w.Header().Set("Content-Length", fmt.Sprint(claims))
		io.WriteString(w, whole[:cut])
	})
	for cut = 0; cut <= len(whole); cut++ {
		for _, claims = range []int{cut, len(whole)} {
			l, _, err := listOf(&fasthttp.Client{MaxIdemponentCallAttempts: 1}, at)
			if ok := cut == len(whole); ok != (err == nil) || ok != (l.Version == 8 && len(l.Workers) == 1) {
				t.Fatalf("cut after %q: %+v, %v", whole[:cut], l, err)
			}
		}
	}
}

// calls is a discovery on loopback that meets one call after another as it is told to.
type calls struct {
	at   string
	met  chan string // each call that has been met, by how
	how  chan string // how the next is met; the last holds on
	list string
	turn time.Duration
}

// meeting gives one whose list has the first worker of a configuration drain.
func meeting(t *testing.T, at string, c *config.Gateway, turn time.Duration) *calls {
	t.Helper()
	l := endpoints.List{Version: c.KnownEndpoints.Version + 1,
		Workers: []endpoints.Worker{c.KnownEndpoints.Workers[0]}}
	l.Workers[0].Active = false
	raw, err := endpoints.Append(nil, l)
	if err != nil {
		t.Fatal(err)
	}
	return &calls{at: at, met: make(chan string, 99), how: make(chan string, 99), list: string(raw), turn: turn}
}

// open has it listen.
func (d *calls) open(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func (d *calls) serve(l net.Listener) {
	how := ""
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case how = <-d.how:
		default:
		}
		go d.meet(c, how)
	}
}

func (d *calls) meet(c net.Conn, how string) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	d.met <- how
	chunk := func(s string) error {
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s)
		return err
	}
	const ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	half := d.list[:len(d.list)/2]
	more := ""
	switch how {
	case "well":
		time.Sleep(d.turn)
		fmt.Fprint(c, ok)
		_ = chunk(d.list + "\n")
		for chunk("\n") == nil {
			time.Sleep(2 * time.Second)
		}
	case "busy":
		fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return
	case "swallowed":
	case "head alone":
		fmt.Fprint(c, ok)
	case "half a list, reset":
		fmt.Fprint(c, ok)
		_ = chunk(half)
		c.(*net.TCPConn).SetLinger(0)
		return
	case "half a list":
		fmt.Fprint(c, ok)
		_ = chunk(half)
	case "a watch that speaks and then trickles":
		fmt.Fprint(c, ok)
		_ = chunk("\n")
		for err := chunk(`{"endpoints":[`); err == nil; err = chunk("[") {
			time.Sleep(100 * time.Millisecond)
		}
	case "a list that trickles":
		more = "["
	case "blanks in a list":
		more = " \n"
	}
	if more != "" {
		fmt.Fprint(c, ok)
		for err := chunk(`{"endpoints":[`); err == nil; err = chunk(more) {
			time.Sleep(100 * time.Millisecond)
		}
	}
	_, _ = io.Copy(io.Discard, c)
}

// Discovery meets the first calls badly, each in its way for good, and is well from then on: its change is
// told in WatchDue, on real connections, by the draws that make for the longest pauses among 300 that ask,
// where it answers in turn. Guards against all that a call which was refused, swallowed, turned away or given
// half an answer may add to the next one's pause.
func TestToldAfterOutage(t *testing.T) {
	t.Parallel()
	for _, m := range modes {
		for _, c := range []struct {
			name string
			how  []string
		}{
			{"refused", nil},
			{"swallowed", []string{"swallowed"}},
			{"swallowed twice", []string{"swallowed", "swallowed"}},
			{"turned away twice", []string{"busy", "busy"}},
			{"head alone", []string{"head alone"}},
			{"half a list", []string{"half a list"}},
			{"half a list, reset", []string{"half a list, reset"}},
			{"a list that trickles", []string{"a list that trickles"}},
			{"a watch that speaks and then trickles", []string{"a watch that speaks and then trickles"}},
			{"blanks in a list", []string{"blanks in a list"}},
		} {
			t.Run(m.name+", "+c.name, func(t *testing.T) {
				t.Parallel()
				var list *calls
				var l net.Listener
				d := deployWith(t, func(conf *config.Gateway) {
					turn := time.Duration(0)
					if conf.Connections.PollsDiscovery {
						turn = time.Second // of the 2 s it may be; what is left is for a loaded machine
					}
					list = meeting(t, ports.Address(t), conf, turn)
					if l = list.open(t); len(c.how) == 0 {
						l.Close()
					}
					for _, how := range append(c.how, "well") {
						list.how <- how
					}
					conf.DiscoveryAddress = list.at
					for late(conf.Seed) {
						conf.Seed++
					}
					if len(c.how) > 0 {
						go list.serve(l)
					}
				}, 2, 5000, m.swaps...)
				if len(c.how) == 0 {
					<-d.gk.first // a call has been refused
					go list.serve(list.open(t))
				}
				for range c.how {
					<-list.met
				}
				told(t, d, 1, policy.WatchCatchUpMillis)
			})
		}
	}
}

// late tells whether a seed does not draw an early first call and late ones after it.
func late(seed int64) bool {
	r := rand.New(rand.NewSource(seed))
	soon, late := r.Float64() < 0.02, true
	for range 3 {
		late = r.Float64() > 0.85 && late
	}
	return !soon || !late
}

// A connection to discovery never comes up, as to a machine that is gone; then it is back. Guards against a
// try that was begun just before, and holds the next one up.
func TestToldAfterBlackHole(t *testing.T) {
	t.Parallel()
	for _, m := range modes {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			var list *calls
			var hole []io.Closer
			d := deployWith(t, func(conf *config.Gateway) {
				list = meeting(t, ports.Address(t), conf, 0)
				hole = blackHole(t, list.at)
				list.how <- "well"
				conf.DiscoveryAddress = list.at
				for late(conf.Seed) {
					conf.Seed++
				}
			}, 2, 5000, m.swaps...)
			<-d.gk.first // a try was given up; the next is about to begin, or has
			for _, c := range hole {
				c.Close()
			}
			go list.serve(list.open(t))
			told(t, d, 1, policy.WatchCatchUpMillis)
		})
	}
}

// blackHole has connections to an address never come up: nobody accepts there, and the queue is full.
func blackHole(t *testing.T, at string) (all []io.Closer) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "hole")
	all = []io.Closer{f}
	t.Cleanup(func() {
		for _, c := range all {
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
			return all
		}
		all = append(all, c)
	}
	t.Fatal("the queue is never full")
	return
}

// SIGHUP comes several times in a row, each with another discovery: the watch leaves one that swallows calls,
// and one to which connections never come up, at once, and the last one's change is told within WatchMoved.
// If that is down first, the change is told as after any outage. Guards against a move that waits for what
// the watch is about, and against pauses of the moves before.
func TestMovesInARow(t *testing.T) {
	t.Parallel()
	for _, m := range modes {
		for _, down := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, down first: %v", m.name, down), func(t *testing.T) {
				t.Parallel()
				at := []string{ports.Address(t), ports.Address(t), ports.Address(t)}
				d := deploy(t, 2, 5000, m.swaps...)
				next := d.conf
				swallows, last := meeting(t, at[0], &next, 0), meeting(t, at[1], &next, 0)
				swallows.how <- "swallowed"
				go swallows.serve(swallows.open(t))
				last.how <- "well"
				blackHole(t, at[2])
				began := time.Now()
				move := func(to string) {
					next.DiscoveryAddress = to
					d.gk.Reload(next, nil)
				}
				move(swallows.at)
				<-swallows.met // the watch waits for an answer
				move(at[2])
				l := last.open(t)
				if down {
					l.Close()
				}
				before := time.Now()
				move(last.at) // how long it takes for the old watch to end, TestWatchLeaves has exactly
				due := policy.WatchFailoverCatchUpMillis
				if down {
					time.Sleep(
						transport.Millis(policy.WatchFailoverCatchUpMillis) - time.Since(before),
					) // by then it is an outage like others
					due = policy.WatchCatchUpMillis
					l = last.open(t)
				}
				go last.serve(l)
				told(t, d, 1, due)
				t.Logf("all moves took %v", time.Since(began))
			})
		}
	}
}
