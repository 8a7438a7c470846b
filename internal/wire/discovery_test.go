package wire

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

	"willowdeck/internal/wire/roster"
	"willowdeck/logic"
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
	w := watch{dial: (&net.Dialer{}).DialContext, addr: addr.String(), version: 3, tell: func(l roster.List) {
		if l.Version == 6 {
			cancel()
		}
	}, alive: func() { heard++ }, failed: func(err error) { ends = append(ends, err.Error()) },
		open: func(n int, _ bool, _ time.Duration) float64 {
			tries = append(tries, n)
			return 1
		}, silent: func() float64 { return logic.WatchQuiet }}
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
		{"silent", false, logic.WatchDue, []string{"^" + old + "~~\n", "^" + news}, 2 * time.Second,
			3 * time.Second, []string{"3", "4"}},
		{"silent, as is the next", false, logic.WatchDue, []string{"^" + old, "", "^" + news}, 0, 6 * time.Second,
			[]string{"3", "4", "4"}},
		{"silent, as is the next but for its head", false, logic.WatchDue, []string{"^" + old, "^", "^" + news}, 0,
			6 * time.Second, []string{"3", "4", "4"}},
		{"silent, where it is asked and answers in turn", true, logic.WatchDue, []string{"^" + old + "~~\n",
			"~~^" + news}, 2 * time.Second, 6 * time.Second, []string{"3", "4"}},
		{"silent, and the next refused", true, logic.WatchDue, []string{"^" + old, "refused", "^" + news}, 0,
			12 * time.Second, []string{"3", "4"}},
		{"cut in a list, with empty lines after it", false, logic.WatchDue, []string{"^" + old + `{"index":4` +
			"\n~\n~\n~\n~\n~\n~\n", "^" + news}, 0, 3 * time.Second, []string{"3", "4"}},
		{"ends", true, logic.WatchDue, []string{"^" + old + "$", "~~^" + news}, 0, 6 * time.Second,
			[]string{"3", "4"}},
		{"starts", true, logic.WatchDue, []string{"~~^" + news}, 0, 6 * time.Second, []string{"3"}},
		{"moves", true, logic.WatchMoved, []string{"~~^" + news}, 0, 4 * time.Second, []string{"3"}},
		{"moves, refused at first", true, logic.WatchMoved, []string{"refused", "refused", "^" + news}, 0,
			6 * time.Second, []string{"3"}},
		{"moves, silent at first", false, logic.WatchMoved, []string{"", "^" + news}, 0, 4 * time.Second,
			[]string{"3", "3"}},
		{"moves, refused for a while", false, logic.WatchMoved, append(slices.Repeat([]string{"refused"}, 30),
			"^"+news), 0, 4 * time.Second, []string{"3"}},
		{"a sign each 2 s", true, logic.WatchDue, []string{"^" + old + strings.Repeat("~~\n", 20) + news}, 0,
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
				p := Pace{Askers: func() int { return askers }, Due: c.due, Chance: func() float64 { return chance }}
				dial, asked := act(t, c.says...)
				w := watch{dial: dial, version: 3, alive: func() {}, failed: func(error) {}, open: p.open,
					silent: p.silent}
				told, from := time.Duration(0), time.Duration(0)
				w.tell = func(l roster.List) {
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
