package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
)

// Guards against a watch that is rejected and asks again at once, has two calls out, or forgets its version:
// after each kind of end the next call waits for its pause and asks from that version.
func TestWatchReconnects(t *testing.T) {
	const line = `{"index":%d,"snapshot":false,"endpoints":[]}` + "\n"
	listener, address := listen(t)
	var versions []string
	go func() { // one call after another, so that a second one at the same time would be seen
		for _, response := range []string{"", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + fmt.Sprintf(line, 4) + "\n",
			"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + fmt.Sprintf(line, 5) + "not a list\n",
			"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + fmt.Sprintf(line, 6)} {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				versions = append(versions, r.URL.Query().Get("index"))
			}
			_, _ = conn.Write([]byte(response))
			_ = conn.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var failures []int
	var errs []string
	heartbeats := 0
	w := watch{dial: (&net.Dialer{}).DialContext, addr: address.String(), version: 3,
		onList: func(listener endpoints.List) {
			if listener.Version == 6 {
				cancel()
			}
		}, onHeartbeat: func() { heartbeats++ }, onFailure: func(err error) { errs = append(errs, err.Error()) },
		openDelay: func(n int, _, _ time.Duration) float64 {
			failures = append(failures, n)
			return 1
		}, headTimeout: func() float64 { return policy.WatchHeartbeatTimeoutMillis },
		silenceTimeout: func() float64 { return policy.WatchHeartbeatTimeoutMillis }}
	w.run(ctx)
	version := w.version
	if version != 6 || heartbeats != 1 || !slices.Equal(failures, []int{0, 1, 2, 1, 2, 1}) {
		t.Errorf("version %d, %d heartbeats, pauses after %v failures", version, heartbeats, failures)
	}
	if want := []string{"3", "3", "3", "4", "4", "0"}; !slices.Equal(versions, want) {
		t.Errorf("asked from versions %v, not %v", versions, want)
	}
	if len(errs) != 5 || !strings.Contains(errs[1], "503") {
		t.Errorf("errors: %q", errs)
	}
}

// A list beyond a limit ends the watch: that is reported, nothing of the list is applied, and the next call
// asks from the version before it.
func TestWatchListTooLong(t *testing.T) {
	const list = `{"index":%d,"endpoints":[{"name":"%s","status":"left"}]}` + "\n"
	long := strings.Repeat("n", policy.MaxEndpointBytes)
	listener, address := listen(t)
	versions := make(chan string, 2)
	go func() {
		for _, response := range []string{fmt.Sprintf(list, 4, "a") + fmt.Sprintf(list, 5, long),
			fmt.Sprintf(list, 6, "b")} {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				versions <- r.URL.Query().Get("index")
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+response)
			_ = conn.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var applied []int64
	var errs []error
	w := watch{dial: (&net.Dialer{}).DialContext, addr: address.String(), version: 3,
		onList: func(listener endpoints.List) {
			if applied = append(applied, listener.Version); listener.Version == 6 {
				cancel()
			}
		}, onHeartbeat: func() {}, onFailure: func(err error) { errs = append(errs, err) },
		openDelay:      func(int, time.Duration, time.Duration) float64 { return 1 },
		headTimeout:    func() float64 { return policy.WatchHeartbeatTimeoutMillis },
		silenceTimeout: func() float64 { return policy.WatchHeartbeatTimeoutMillis }}
	w.run(ctx)
	if !slices.Equal(applied, []int64{4, 6}) || len(errs) == 0 || !errors.Is(errs[0], endpoints.ErrTooLong) {
		t.Errorf("applied %v; errors: %v", applied, errs)
	}
	if first, next := <-versions, <-versions; first != "3" || next != "4" {
		t.Errorf("asked from %s, then from %s", first, next)
	}
}

// scriptedDiscovery plays one script per call, and holds further calls until the watch ends. In a script "^"
// is the head, "~" a pause of a second and "$" the end; the rest comes in chunks of a byte.
func scriptedDiscovery(t *testing.T, scripts ...string) (dial func(context.Context, string,
	string) (net.Conn, error),
	versions chan string) {
	t.Helper()
	versions = make(chan string, 9)
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		if len(scripts) == 0 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		script := scripts[0]
		if scripts = scripts[1:]; script == "refused" {
			return nil, errors.New("refused")
		}
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			r, err := http.ReadRequest(bufio.NewReader(server))
			if err != nil {
				t.Error(err)
				return
			}
			versions <- r.URL.Query().Get("index")
			for _, c := range []byte(script) {
				switch c {
				case '^':
					_, err = io.WriteString(server, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				case '~':
					time.Sleep(time.Second)
				case '$':
					return
				default:
					_, err = fmt.Fprintf(server, "1\r\n%c\r\n", c)
				}
				if err != nil {
					return
				}
			}
			_, _ = io.Copy(io.Discard, server)
		}()
		return client, nil
	}, versions
}

// timing gives a WatchTiming of fixed values.
func timing(pollingInstances int, dueMillis, random float64) WatchTiming {
	return WatchTiming{PollingInstances: func() int { return pollingInstances }, DueMillis: dueMillis,
		Random: func() float64 { return random }}
}

// What a watch misses that falls silent, ends or moves is received before it is due, whatever random draws
// and however large the fleet; in virtual time. Guards against a silence time-out of 5 s and pauses that grow
// with the fleet on top of it: up to 12.5 s at 300.
func TestWatchDelayBound(t *testing.T) {
	const (
		former = `{"index":4}` + "\n"
		latest = `{"index":5}` + "\n"
	)
	for _, tc := range []struct {
		name    string
		polled  bool
		due     float64 // of the first opening
		scripts []string
		start   time.Duration // the silence, the end or the move
		limit   time.Duration
		index   []string // that are asked for
	}{
		{"silent", false, policy.WatchCatchUpMillis, []string{"^" + former + "~~\n", "^" + latest}, 2 * time.Second,
			3 * time.Second, []string{"3", "4"}},
		{"silent, as is the next", false, policy.WatchCatchUpMillis, []string{"^" + former, "", "^" + latest}, 0,
			6 * time.Second,
			[]string{"3", "4", "4"}},
		{"silent, as is the next but for its head", false, policy.WatchCatchUpMillis,
			[]string{"^" + former, "^", "^" + latest}, 0,
			6 * time.Second, []string{"3", "4", "4"}},
		{"silent, where it is asked and answers in turn", true, policy.WatchCatchUpMillis, []string{"^" + former + "~~\n",
			"~~^" + latest}, 2 * time.Second, 6 * time.Second, []string{"3", "4"}},
		{"silent, and the next refused", true, policy.WatchCatchUpMillis, []string{"^" + former, "refused", "^" + latest}, 0,
			8 * time.Second, []string{"3", "4"}},
		{"silent, as are the next two", false, policy.WatchCatchUpMillis, []string{"^" + former, "", "", "^" + latest}, 0,
			6 * time.Second, []string{"3", "4", "4", "4"}},
		{"silent, half a list, cut in a list", true, policy.WatchCatchUpMillis, []string{"", "^{", "^" + former + "{$",
			"~~^" + latest}, 0, 6 * time.Second, []string{"3", "3", "3", "4"}},
		{"cut in a list, with empty lines after it", false, policy.WatchCatchUpMillis, []string{"^" + former + `{"index":4` +
			"\n~\n~\n~\n~\n~\n~\n", "^" + latest}, 0, 3 * time.Second, []string{"3", "4"}},
		{"ends", true, policy.WatchCatchUpMillis, []string{"^" + former + "$", "~~^" + latest}, 0, 6 * time.Second,
			[]string{"3", "4"}},
		{"starts", true, policy.WatchCatchUpMillis, []string{"~~^" + latest}, 0, 6 * time.Second, []string{"3"}},
		{"moves", true, policy.WatchFailoverCatchUpMillis, []string{"~~^" + latest}, 0, 4 * time.Second, []string{"3"}},
		{"moves, refused at first", true, policy.WatchFailoverCatchUpMillis, []string{"refused", "refused", "^" + latest}, 0,
			6 * time.Second, []string{"3"}},
		{"moves, silent at first and again", false, policy.WatchFailoverCatchUpMillis, []string{"", "", "^" + latest}, 0,
			4 * time.Second, []string{"3", "3", "3"}},
		{"moves, silent at first", false, policy.WatchFailoverCatchUpMillis, []string{"", "^" + latest}, 0, 4 * time.Second,
			[]string{"3", "3"}},
		{"moves, refused for a while", false, policy.WatchFailoverCatchUpMillis, append(slices.Repeat([]string{"refused"}, 30),
			"^"+latest), 0, 4 * time.Second, []string{"3"}},
		{"a sign each 2 s", true, policy.WatchCatchUpMillis, []string{"^" + former + strings.Repeat("~~\n", 20) + latest}, 0,
			60 * time.Second, []string{"3"}},
	} {
		for _, chance := range []float64{0, 0.5, 1} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
				defer cancel()
				askers, began := 0, time.Now()
				if tc.polled {
					askers = 300
				}
				p := timing(askers, tc.due, chance)
				dial, polled := scriptedDiscovery(t, tc.scripts...)
				w := watch{dial: dial, version: 3, onHeartbeat: func() {}, onFailure: func(error) {},
					openDelay: p.openDelayMillis, headTimeout: p.headTimeoutMillis,
					silenceTimeout: p.silenceTimeoutMillis}
				delay, start := time.Duration(0), time.Duration(0)
				w.onList = func(l endpoints.List) {
					switch l.Version {
					case 4:
						start = time.Since(began) + tc.start
					case 5:
						delay = time.Since(began) - start
						cancel()
					}
				}
				w.run(ctx)
				time.Sleep(time.Minute) // for discovery to notice the end
				var index []string
				for len(polled) > 0 {
					index = append(index, <-polled)
				}
				if delay > tc.limit || w.version != 5 || !slices.Equal(index, tc.index) {
					t.Errorf("%s, random %v: received after %v, due in %v; asked for %v", tc.name, chance, delay, tc.limit,
						index)
				}
			})
		}
	}
}

// outage is a discovery that meets all calls with a fault until it recovers, and keeps to it for the calls of
// that time. From then on each call is answered after its time in the queue.
type outage struct {
	t          *testing.T
	fault      string
	recovers   time.Time
	queueing   time.Duration
	headSentAt time.Time // when a call last got a head, and nothing after it
}

const (
	okHead      = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	partialList = `{"index":5,"endpoints":[`
)

// chunk encodes an HTTP chunk.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func (o *outage) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	recovered := !time.Now().Before(o.recovers)
	switch {
	case recovered:
	case o.fault == "refused":
		return nil, errors.New("refused")
	case o.fault == "black-holed":
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
			return
		}
		if recovered {
			time.Sleep(o.queueing)
			o.write(server, okHead+chunk(`{"index":5}`+"\n"), 2*time.Second, "\n")
		} else {
			o.serveFault(server)
		}
	}()
	return client, nil
}

// serveFault does what the fault is instead of an answer.
func (o *outage) serveFault(c net.Conn) {
	switch o.fault {
	case "silent":
		o.write(c, "", time.Hour, "")
	case "reset":
	case "busy":
		time.Sleep(o.queueing)
		fallthrough
	case "busy at once":
		fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	case "trickled head":
		o.write(c, "HTTP/1.1 200 OK\r\n", 300*time.Millisecond, "X: y\r\n")
	case "late head alone":
		time.Sleep(o.queueing)
		fallthrough
	case "head alone":
		o.headSentAt = time.Now()
		o.write(c, okHead, time.Hour, "")
	case "half a list":
		o.write(c, okHead+chunk(partialList), time.Hour, "")
	case "half a list, begun late":
		o.headSentAt = time.Now()
		fmt.Fprint(c, okHead)
		time.Sleep(2500 * time.Millisecond)
		o.write(c, chunk(partialList), time.Hour, "")
	case "half a list, ended":
		fmt.Fprint(c, okHead+chunk(partialList))
	case "half a list, ended late":
		fmt.Fprint(c, okHead+chunk(partialList))
		time.Sleep(2 * time.Second)
	case "trickled list":
		o.write(c, okHead+chunk(partialList), 300*time.Millisecond, "[")
	case "blanks in a list":
		o.write(c, okHead+chunk(partialList), 300*time.Millisecond, " \n")
	case "nonsense":
		fmt.Fprint(c, okHead+chunk("not a list\n"))
	default:
		o.t.Errorf("%q is not known", o.fault)
	}
}

// write writes first, and then repeated at an interval, until the caller closes the connection.
func (o *outage) write(c net.Conn, first string, interval time.Duration, repeated string) {
	closed := make(chan bool)
	go func() {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	if _, err := io.WriteString(c, first); err != nil {
		return
	}
	for {
		select {
		case <-closed:
			return
		case <-time.After(interval):
			if strings.HasPrefix(first, okHead) && repeated != "" {
				repeated = chunk(repeated)
				first = ""
			}
			_, _ = io.WriteString(c, repeated)
		}
	}
}

// Whatever calls have met, a change is received within WatchDue after discovery has recovered, whenever that
// is, or after it has begun an answer and fallen silent in it; within WatchMoved after a move to a healthy
// one; whatever random draws and however many poll. A call that is out at the recovery is lost, and each call
// after that waits in the queue where lists are polled. In virtual time. Guards against pauses that grow with
// the fleet and with each failure, on top of the time that the last call takes: up to 63 s at 300; and
// against any that grow while calls are refused, which costs discovery nothing.
func TestWatchOutage(t *testing.T) {
	for _, fault := range []string{"refused", "black-holed", "silent", "reset", "busy", "busy at once",
		"trickled head", "head alone", "late head alone", "half a list", "half a list, begun late",
		"half a list, ended", "half a list, ended late", "trickled list", "blanks in a list", "nonsense"} {
		for _, pollingInstances := range []int{0, 1, 20, 300} {
			for _, dueMillis := range []float64{policy.WatchCatchUpMillis, policy.WatchFailoverCatchUpMillis} {
				for _, random := range []float64{0, 0.5, 1} {
					worst := time.Duration(0)
					for recovers := time.Duration(0); recovers < 9*time.Second; recovers += 1130 * time.Millisecond {
						synctest.Test(t, func(t *testing.T) {
							start := time.Now()
							o := &outage{t: t, fault: fault, recovers: start.Add(recovers)}
							if pollingInstances > 0 {
								o.queueing = 2 * time.Second
							}
							p := timing(pollingInstances, dueMillis, random)
							ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
							w := watch{dial: o.dial, onHeartbeat: func() {}, onFailure: func(error) {},
								openDelay: p.openDelayMillis, headTimeout: p.headTimeoutMillis,
								silenceTimeout: p.silenceTimeoutMillis}
							w.onList = func(endpoints.List) { cancel() }
							w.run(ctx)
							elapsed, from := time.Since(start), max(recovers, o.headSentAt.Sub(start))
							worst = max(worst, elapsed-from)
							limit := from + Millis(policy.WatchCatchUpMillis)
							switch {
							case recovers == 0:
								limit = Millis(dueMillis)
							case fault == "refused":
								limit = recovers + o.queueing + max(Millis(policy.WatchRetryMillis),
									min(Millis(policy.WatchRetryPerGatewayMillis*float64(pollingInstances)),
										Millis(policy.WatchCatchUpMillis-policy.WatchResponseMillis)))
							}
							if w.version != 5 || elapsed > limit {
								t.Errorf("%s, %d poll, due in %v, random %v: recovered after %v, received after %v", fault,
									pollingInstances,
									dueMillis,
									random, recovers, elapsed)
							}
							time.Sleep(time.Minute) // for discovery to notice the end
						})
					}
					t.Logf("%s, %d poll, due in %v, random %v: %v at worst", fault, pollingInstances, dueMillis, random,
						worst)
				}
			}
		}
	}
}

// A watch whose context ends stops at once, whatever it is doing. Guards against a move (SIGHUP) that waits
// for it: the next watch begins only then.
func TestWatchStopsAtOnce(t *testing.T) {
	for _, fault := range []string{"refused", "black-holed", "silent", "busy", "trickled head", "head alone",
		"half a list", "trickled list", "well"} {
		for stopAfter := time.Duration(0); stopAfter < 8*time.Second; stopAfter += 130 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				o := &outage{t: t, fault: fault, recovers: start.Add(time.Hour), queueing: 2 * time.Second}
				if fault == "well" {
					o.recovers = start
				}
				p := timing(20, policy.WatchCatchUpMillis, 0.9)
				ctx, cancel := context.WithTimeout(t.Context(), stopAfter)
				defer cancel()
				w := watch{dial: o.dial, onHeartbeat: func() {}, onFailure: func(error) {},
					openDelay: p.openDelayMillis, headTimeout: p.headTimeoutMillis,
					silenceTimeout: p.silenceTimeoutMillis, onList: func(endpoints.List) {}}
				w.run(ctx)
				if elapsed := time.Since(start); elapsed != stopAfter {
					t.Errorf("%s: stopped after %v, ended after %v", fault, stopAfter, elapsed)
				}
				time.Sleep(time.Minute)
			})
		}
	}
}

// A watch that has received something breaks in some way, and discovery has a change from that moment on,
// which it would send to each new call: it is received within WatchDue. Guards against a list that never ends
// counting as activity with each byte, and against a whole pause on top of the time that a partial list has
// taken.
func TestWatchRecoversFromFault(t *testing.T) {
	for _, tc := range []struct {
		fault       string
		first       string
		interval    time.Duration
		repeated    string
		closesAfter time.Duration // 0 for never
	}{
		{"silent", "", time.Hour, "", 0},
		{"reset", "", time.Hour, "", 1},
		{"half a list", partialList, time.Hour, "", 0},
		{"half a list, reset", partialList, time.Hour, "", 1},
		{"half a list, reset late", partialList, time.Hour, "", 2 * time.Second},
		{"a list that trickles", partialList, 300 * time.Millisecond, "[", 0},
		{"a list that trickles, reset late", partialList, 300 * time.Millisecond, "[", 2500 * time.Millisecond},
		{"blanks in a list", partialList, 300 * time.Millisecond, "\n", 0},
		{"a whole list and half a one, in one piece", `{"index":4}` + partialList, 300 * time.Millisecond, "[", 0},
		{"blanks between lists that end no line", "  ", 300 * time.Millisecond, " ", 0},
	} {
		for _, pollingInstances := range []int{0, 1, 20, 300} {
			for _, random := range []float64{0, 0.5, 1} {
				synctest.Test(t, func(t *testing.T) {
					o := &outage{t: t}
					if pollingInstances > 0 {
						o.queueing = 2 * time.Second
					}
					calls, brokeAt := 0, time.Time{}
					dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
						if calls++; calls > 1 {
							return o.dial(ctx, network, addr)
						}
						client, server := net.Pipe()
						go func() {
							defer server.Close()
							if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
								return
							}
							fmt.Fprint(server, okHead+chunk(`{"index":4}`+"\n"))
							time.Sleep(2 * time.Second)
							fmt.Fprint(server, chunk("\n"))
							if tc.closesAfter > 0 {
								time.AfterFunc(tc.closesAfter, func() { server.Close() })
							}
							if tc.first != "" {
								fmt.Fprint(server, chunk(tc.first))
							}
							for n := time.Duration(0); n < time.Minute; n += tc.interval {
								time.Sleep(tc.interval)
								if _, err := fmt.Fprint(server, chunk(tc.repeated)); err != nil {
									return
								}
							}
						}()
						return client, nil
					}
					p := timing(pollingInstances, policy.WatchCatchUpMillis, random)
					ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
					defer cancel()
					w := watch{dial: dial, onHeartbeat: func() { brokeAt = time.Now() }, onFailure: func(error) {},
						openDelay:   p.openDelayMillis,
						headTimeout: p.headTimeoutMillis, silenceTimeout: p.silenceTimeoutMillis}
					w.onList = func(l endpoints.List) {
						if l.Version == 5 {
							cancel()
						}
					}
					w.run(ctx)
					elapsed := time.Since(brokeAt)
					if w.version != 5 || calls != 2 || elapsed > Millis(policy.WatchCatchUpMillis) {
						t.Errorf("%s, %d poll, random %v: received after %v, by %d calls", tc.fault, pollingInstances, random,
							elapsed, calls)
					}
					time.Sleep(2 * time.Hour)
				})
			}
		}
	}
}
