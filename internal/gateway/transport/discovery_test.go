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

// Guards against a watch that is turned away and asks again at once, asks twice at a time, or forgets the
// version that it has: after each kind of end the next call waits for its pause and goes by that version.
func TestWatchAgain(t *testing.T) {
	const line = `{"index":%d,"snapshot":false,"endpoints":[]}` + "\n"
	l, addr := sink(t)
	var asked []string
	go func() { // one call after another, so that a second one beside it would be seen
		for _, say := range []string{"", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + fmt.Sprintf(line, 4) + "\n",
			"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + fmt.Sprintf(line, 5) + "not a list\n",
			"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + fmt.Sprintf(line, 6)} {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				asked = append(asked, r.URL.Query().Get("index"))
			}
			_, _ = conn.Write([]byte(say))
			_ = conn.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var tries []int
	var ends []string
	heard := 0
	w := watch{dial: (&net.Dialer{}).DialContext, addr: addr.String(), version: 3, tell: func(l endpoints.List) {
		if l.Version == 6 {
			cancel()
		}
	}, alive: func() { heard++ }, failed: func(err error) { ends = append(ends, err.Error()) },
		open: func(n int, _, _ time.Duration) float64 {
			tries = append(tries, n)
			return 1
		}, head: func() float64 { return policy.WatchHeartbeatTimeoutMillis },
		silent: func() float64 { return policy.WatchHeartbeatTimeoutMillis }}
	w.follow(ctx)
	version := w.version
	if version != 6 || heard != 1 || !slices.Equal(tries, []int{0, 1, 2, 1, 2, 1}) {
		t.Errorf("version %d, %d lines without news, pauses after %v tries", version, heard, tries)
	}
	if want := []string{"3", "3", "3", "4", "4", "0"}; !slices.Equal(asked, want) {
		t.Errorf("asked from versions %v, not %v", asked, want)
	}
	if len(ends) != 5 || !strings.Contains(ends[1], "503") {
		t.Errorf("ends: %q", ends)
	}
}

// A list beyond a bound ends the watch: that is said, nothing of it is told, and the next call asks from the
// version before it.
func TestWatchTooLong(t *testing.T) {
	const list = `{"index":%d,"endpoints":[{"name":"%s","status":"left"}]}` + "\n"
	long := strings.Repeat("n", policy.MaxEndpointBytes)
	l, addr := sink(t)
	asked := make(chan string, 2)
	go func() {
		for _, say := range []string{fmt.Sprintf(list, 4, "a") + fmt.Sprintf(list, 5, long),
			fmt.Sprintf(list, 6, "b")} {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				asked <- r.URL.Query().Get("index")
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+say)
			_ = conn.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var told []int64
	var ends []error
	w := watch{dial: (&net.Dialer{}).DialContext, addr: addr.String(), version: 3, tell: func(l endpoints.List) {
		if told = append(told, l.Version); l.Version == 6 {
			cancel()
		}
	}, alive: func() {}, failed: func(err error) { ends = append(ends, err) },
		open:   func(int, time.Duration, time.Duration) float64 { return 1 },
		head:   func() float64 { return policy.WatchHeartbeatTimeoutMillis },
		silent: func() float64 { return policy.WatchHeartbeatTimeoutMillis }}
	w.follow(ctx)
	if !slices.Equal(told, []int64{4, 6}) || len(ends) == 0 || !errors.Is(ends[0], endpoints.ErrTooLong) {
		t.Errorf("told of %v; ends: %v", told, ends)
	}
	if first, next := <-asked, <-asked; first != "3" || next != "4" {
		t.Errorf("asked from %s, then from %s", first, next)
	}
}

// act is what discovery does with one call after another, until the watcher leaves. In what it says "^" is
// the head, "~" a second's wait and "$" the end; the rest comes in chunks of a byte.
func act(t *testing.T, says ...string) (dial func(context.Context, string, string) (net.Conn, error),
	asked chan string) {
	asked = make(chan string, 9)
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		if len(says) == 0 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		say := says[0]
		if says = says[1:]; say == "refused" {
			return nil, errors.New("refused")
		}
		here, there := net.Pipe()
		go func() {
			defer there.Close()
			r, err := http.ReadRequest(bufio.NewReader(there))
			if err != nil {
				t.Error(err)
				return
			}
			asked <- r.URL.Query().Get("index")
			for _, c := range []byte(say) {
				switch c {
				case '^':
					_, err = io.WriteString(there, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				case '~':
					time.Sleep(time.Second)
				case '$':
					return
				default:
					_, err = fmt.Fprintf(there, "1\r\n%c\r\n", c)
				}
				if err != nil {
					return
				}
			}
			_, _ = io.Copy(io.Discard, there)
		}()
		return here, nil
	}, asked
}

func pace(askers int, due, chance float64) Pace {
	return Pace{Askers: func() int { return askers }, Due: due, Chance: func() float64 { return chance }}
}

// What a watch misses that falls silent, ends or moves is told before it counts as told, whatever chance
// draws and however large the fleet; in virtual time. Guards against a quiet of 5 s and pauses that grow with
// the fleet on top of it: up to 12.5 s at 300.
func TestWatchInTime(t *testing.T) {
	const (
		old  = `{"index":4}` + "\n"
		news = `{"index":5}` + "\n"
	)
	for _, c := range []struct {
		name  string
		asked bool
		due   float64 // of the first opening
		says  []string
		from  time.Duration // the silence, the end or the move
		most  time.Duration
		index []string // that are asked for
	}{
		{"silent", false, policy.WatchCatchUpMillis, []string{"^" + old + "~~\n", "^" + news}, 2 * time.Second,
			3 * time.Second, []string{"3", "4"}},
		{"silent, as is the next", false, policy.WatchCatchUpMillis, []string{"^" + old, "", "^" + news}, 0,
			6 * time.Second,
			[]string{"3", "4", "4"}},
		{"silent, as is the next but for its head", false, policy.WatchCatchUpMillis, []string{"^" + old, "^",
			"^" + news}, 0,
			6 * time.Second, []string{"3", "4", "4"}},
		{"silent, where it is asked and answers in turn", true, policy.WatchCatchUpMillis,
			[]string{"^" + old + "~~\n",
				"~~^" + news}, 2 * time.Second, 6 * time.Second, []string{"3", "4"}},
		{"silent, and the next refused", true, policy.WatchCatchUpMillis, []string{"^" + old, "refused",
			"^" + news}, 0,
			8 * time.Second, []string{"3", "4"}},
		{"silent, as are the next two", false, policy.WatchCatchUpMillis, []string{"^" + old, "", "", "^" + news},
			0,
			6 * time.Second, []string{"3", "4", "4", "4"}},
		{"silent, half a list, cut in a list", true, policy.WatchCatchUpMillis, []string{"", "^{", "^" + old + "{$",
			"~~^" + news}, 0, 6 * time.Second, []string{"3", "3", "3", "4"}},
		{"cut in a list, with empty lines after it", false, policy.WatchCatchUpMillis,
			[]string{"^" + old + `{"index":4` +
				"\n~\n~\n~\n~\n~\n~\n", "^" + news}, 0, 3 * time.Second, []string{"3", "4"}},
		{"ends", true, policy.WatchCatchUpMillis, []string{"^" + old + "$", "~~^" + news}, 0, 6 * time.Second,
			[]string{"3", "4"}},
		{"starts", true, policy.WatchCatchUpMillis, []string{"~~^" + news}, 0, 6 * time.Second, []string{"3"}},
		{"moves", true, policy.WatchFailoverCatchUpMillis, []string{"~~^" + news}, 0, 4 * time.Second,
			[]string{"3"}},
		{"moves, refused at first", true, policy.WatchFailoverCatchUpMillis, []string{"refused", "refused",
			"^" + news}, 0,
			6 * time.Second, []string{"3"}},
		{"moves, silent at first and again", false, policy.WatchFailoverCatchUpMillis, []string{"", "", "^" + news},
			0,
			4 * time.Second, []string{"3", "3", "3"}},
		{"moves, silent at first", false, policy.WatchFailoverCatchUpMillis, []string{"", "^" + news}, 0,
			4 * time.Second,
			[]string{"3", "3"}},
		{"moves, refused for a while", false, policy.WatchFailoverCatchUpMillis,
			append(slices.Repeat([]string{"refused"}, 30),
				"^"+news), 0, 4 * time.Second, []string{"3"}},
		{"a sign each 2 s", true, policy.WatchCatchUpMillis, []string{"^" + old + strings.Repeat("~~\n", 20) +
			news}, 0,
			60 * time.Second, []string{"3"}},
	} {
		for _, chance := range []float64{0, 0.5, 1} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
				defer cancel()
				askers, began := 0, time.Now()
				if c.asked {
					askers = 300
				}
				p := pace(askers, c.due, chance)
				dial, asked := act(t, c.says...)
				w := watch{dial: dial, version: 3, alive: func() {}, failed: func(error) {}, open: p.open, head: p.head,
					silent: p.silent}
				told, from := time.Duration(0), time.Duration(0)
				w.tell = func(l endpoints.List) {
					switch l.Version {
					case 4:
						from = time.Since(began) + c.from
					case 5:
						told = time.Since(began) - from
						cancel()
					}
				}
				w.follow(ctx)
				time.Sleep(time.Minute) // for discovery to see that it was left
				var index []string
				for len(asked) > 0 {
					index = append(index, <-asked)
				}
				if told > c.most || w.version != 5 || !slices.Equal(index, c.index) {
					t.Errorf("%s, chance %v: told %v after, due in %v; asked for %v", c.name, chance, told, c.most, index)
				}
			})
		}
	}
}

// outage is a discovery that meets all calls so until it is back, and those it has met by then for good. From
// then on each call is answered after its turn.
type outage struct {
	t    *testing.T
	how  string
	back time.Time
	turn time.Duration
	head time.Time // when a call was last answered with a head: it has reached discovery, and falls silent then
}

const (
	okHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	torn   = `{"index":5,"endpoints":[`
)

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func (o *outage) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	well := !time.Now().Before(o.back)
	switch {
	case well:
	case o.how == "refused":
		return nil, errors.New("refused")
	case o.how == "black-holed":
		<-ctx.Done()
		return nil, ctx.Err()
	}
	here, there := net.Pipe()
	go func() {
		defer there.Close()
		if _, err := http.ReadRequest(bufio.NewReader(there)); err != nil {
			return
		}
		if well {
			time.Sleep(o.turn)
			o.say(there, okHead+chunk(`{"index":5}`+"\n"), 2*time.Second, "\n")
		} else {
			o.meet(there)
		}
	}()
	return here, nil
}

// meet does what there is instead of an answer.
func (o *outage) meet(c net.Conn) {
	switch o.how {
	case "silent":
		o.say(c, "", time.Hour, "")
	case "reset":
	case "busy":
		time.Sleep(o.turn)
		fallthrough
	case "busy at once":
		fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	case "trickled head":
		o.say(c, "HTTP/1.1 200 OK\r\n", 300*time.Millisecond, "X: y\r\n")
	case "late head alone":
		time.Sleep(o.turn)
		fallthrough
	case "head alone":
		o.head = time.Now()
		o.say(c, okHead, time.Hour, "")
	case "half a list":
		o.say(c, okHead+chunk(torn), time.Hour, "")
	case "half a list, begun late":
		o.head = time.Now()
		fmt.Fprint(c, okHead)
		time.Sleep(2500 * time.Millisecond)
		o.say(c, chunk(torn), time.Hour, "")
	case "half a list, ended":
		fmt.Fprint(c, okHead+chunk(torn))
	case "half a list, ended late":
		fmt.Fprint(c, okHead+chunk(torn))
		time.Sleep(2 * time.Second)
	case "trickled list":
		o.say(c, okHead+chunk(torn), 300*time.Millisecond, "[")
	case "blanks in a list":
		o.say(c, okHead+chunk(torn), 300*time.Millisecond, " \n")
	case "nonsense":
		fmt.Fprint(c, okHead+chunk("not a list\n"))
	default:
		o.t.Errorf("%q is not known", o.how)
	}
}

// say says something, and again and again something more, until the caller leaves.
func (o *outage) say(c net.Conn, first string, each time.Duration, more string) {
	left := make(chan bool)
	go func() {
		_, _ = io.Copy(io.Discard, c)
		close(left)
	}()
	if _, err := io.WriteString(c, first); err != nil {
		return
	}
	for {
		select {
		case <-left:
			return
		case <-time.After(each):
			if strings.HasPrefix(first, okHead) && more != "" {
				more = chunk(more)
				first = ""
			}
			_, _ = io.WriteString(c, more)
		}
	}
}

// Whatever calls have met, a change is told WatchCatchUpMillis after discovery could be reached, whenever
// that is, or after it has begun an answer and fallen silent in it; WatchFailoverCatchUpMillis after a move
// to one that is well; whatever chance draws and however many ask. What is still out when it is back is lost,
// and each call after that waits its turn where lists are asked for. In virtual time. Guards against pauses
// that grow with the fleet and with each failure, on top of the time that the last call takes: up to 63 s at
// 300; and against any that grow while calls are refused, which cost nobody anything.
func TestWatchOutage(t *testing.T) {
	for _, how := range []string{"refused", "black-holed", "silent", "reset", "busy", "busy at once",
		"trickled head", "head alone", "late head alone", "half a list", "half a list, begun late",
		"half a list, ended", "half a list, ended late", "trickled list", "blanks in a list", "nonsense"} {
		for _, askers := range []int{0, 1, 20, 300} {
			for _, due := range []float64{policy.WatchCatchUpMillis, policy.WatchFailoverCatchUpMillis} {
				for _, chance := range []float64{0, 0.5, 1} {
					worst := time.Duration(0)
					for back := time.Duration(0); back < 9*time.Second; back += 1130 * time.Millisecond {
						synctest.Test(t, func(t *testing.T) {
							began := time.Now()
							o := &outage{t: t, how: how, back: began.Add(back)}
							if askers > 0 {
								o.turn = 2 * time.Second
							}
							p := pace(askers, due, chance)
							ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
							w := watch{dial: o.dial, alive: func() {}, failed: func(error) {}, open: p.open, head: p.head,
								silent: p.silent}
							w.tell = func(endpoints.List) { cancel() }
							w.follow(ctx)
							took, from := time.Since(began), max(back, o.head.Sub(began))
							worst = max(worst, took-from)
							most := from + Millis(policy.WatchCatchUpMillis)
							switch {
							case back == 0:
								most = Millis(due)
							case how == "refused":
								most = back + o.turn + max(Millis(policy.WatchRetryMillis),
									min(Millis(policy.WatchRetryPerGatewayMillis*float64(askers)),
										Millis(policy.WatchCatchUpMillis-policy.WatchResponseMillis)))
							}
							if w.version != 5 || took > most {
								t.Errorf("%s, %d ask, due in %v, chance %v: back after %v, told after %v", how, askers, due,
									chance, back, took)
							}
							time.Sleep(time.Minute) // for discovery to see that it was left
						})
					}
					t.Logf("%s, %d ask, due in %v, chance %v: %v at the worst", how, askers, due, chance, worst)
				}
			}
		}
	}
}

// A watch that is ended from here ends at once, whatever it is about. Guards against a move (SIGHUP) that
// waits for it: the next one opens only then.
func TestWatchLeaves(t *testing.T) {
	for _, how := range []string{"refused", "black-holed", "silent", "busy", "trickled head", "head alone",
		"half a list", "trickled list", "well"} {
		for at := time.Duration(0); at < 8*time.Second; at += 130 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				o := &outage{t: t, how: how, back: began.Add(time.Hour), turn: 2 * time.Second}
				if how == "well" {
					o.back = began
				}
				p := pace(20, policy.WatchCatchUpMillis, 0.9)
				ctx, cancel := context.WithTimeout(t.Context(), at)
				defer cancel()
				w := watch{dial: o.dial, alive: func() {}, failed: func(error) {}, open: p.open, head: p.head,
					silent: p.silent, tell: func(endpoints.List) {}}
				w.follow(ctx)
				if took := time.Since(began); took != at {
					t.Errorf("%s: told to end after %v, ended after %v", how, at, took)
				}
				time.Sleep(time.Minute)
			})
		}
	}
}

// A watch that has spoken breaks in some way, and discovery has a change from that moment on which it would
// tell to each new call: it is told in WatchCatchUpMillis. Guards against a list that never ends being a sign
// of life with each byte, and a whole pause on top of the time that half a list has taken.
func TestWatchBreaks(t *testing.T) {
	for _, c := range []struct {
		how   string
		first string
		each  time.Duration
		more  string
		ends  time.Duration // 0 is never
	}{
		{"silent", "", time.Hour, "", 0},
		{"reset", "", time.Hour, "", 1},
		{"half a list", torn, time.Hour, "", 0},
		{"half a list, reset", torn, time.Hour, "", 1},
		{"half a list, reset late", torn, time.Hour, "", 2 * time.Second},
		{"a list that trickles", torn, 300 * time.Millisecond, "[", 0},
		{"a list that trickles, reset late", torn, 300 * time.Millisecond, "[", 2500 * time.Millisecond},
		{"blanks in a list", torn, 300 * time.Millisecond, "\n", 0},
		{"a whole list and half a one, in one piece", `{"index":4}` + torn, 300 * time.Millisecond, "[", 0},
		{"blanks between lists that end no line", "  ", 300 * time.Millisecond, " ", 0},
	} {
		for _, askers := range []int{0, 1, 20, 300} {
			for _, chance := range []float64{0, 0.5, 1} {
				synctest.Test(t, func(t *testing.T) {
					o := &outage{t: t}
					if askers > 0 {
						o.turn = 2 * time.Second
					}
					calls, broke := 0, time.Time{}
					dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
						if calls++; calls > 1 {
							return o.dial(ctx, network, addr)
						}
						here, there := net.Pipe()
						go func() {
							defer there.Close()
							if _, err := http.ReadRequest(bufio.NewReader(there)); err != nil {
								return
							}
							fmt.Fprint(there, okHead+chunk(`{"index":4}`+"\n"))
							time.Sleep(2 * time.Second)
							fmt.Fprint(there, chunk("\n"))
							if c.ends > 0 {
								time.AfterFunc(c.ends, func() { there.Close() })
							}
							if c.first != "" {
								fmt.Fprint(there, chunk(c.first))
							}
							for n := time.Duration(0); n < time.Minute; n += c.each {
								time.Sleep(c.each)
								if _, err := fmt.Fprint(there, chunk(c.more)); err != nil {
									return
								}
							}
						}()
						return here, nil
					}
					p := pace(askers, policy.WatchCatchUpMillis, chance)
					ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
					defer cancel()
					w := watch{dial: dial, alive: func() { broke = time.Now() }, failed: func(error) {}, open: p.open,
						head: p.head, silent: p.silent}
					w.tell = func(l endpoints.List) {
						if l.Version == 5 {
							cancel()
						}
					}
					w.follow(ctx)
					took := time.Since(broke)
					if w.version != 5 || calls != 2 || took > Millis(policy.WatchCatchUpMillis) {
						t.Errorf("%s, %d ask, chance %v: told after %v, by %d calls", c.how, askers, chance, took, calls)
					}
					time.Sleep(2 * time.Hour)
				})
			}
		}
	}
}
