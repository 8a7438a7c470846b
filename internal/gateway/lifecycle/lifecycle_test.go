package lifecycle

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/policy"
)

// deployment is a gatekeeper on loopback between stand-ins for its workers and for discovery.
type deployment struct {
	t       *testing.T
	gk      *Gatekeeper
	at      string
	workers []*standIn
	conf    config.Gateway
	news    chan string
	asked   chan string // what the watch asks for
}

// standIn is a worker. It does what the word after the ? in a target says, and keeps what came.
type standIn struct {
	net.Listener
	mu   sync.Mutex
	got  []string // whole submissions
	dial int      // connections
	mute bool     // it takes all and answers nothing
	load string   // what it says of its load
}

func (w *standIn) serve() {
	for {
		c, err := w.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.dial++
		w.mu.Unlock()
		go w.talk(c)
	}
}

func (w *standIn) talk(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		raw, target := "", ""
		for size := 0; ; {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if raw == "" {
				target = strings.Fields(line)[1]
			}
			fmt.Sscanf(line, "Content-Length: %d", &size)
			if raw += line; line == "\r\n" {
				body := make([]byte, size)
				if _, err := io.ReadFull(r, body); err != nil {
					return
				}
				raw += string(body)
				break
			}
		}
		w.mu.Lock()
		w.got = append(w.got, raw)
		mute, load := w.mute, w.load
		w.mu.Unlock()
		_, do, _ := strings.Cut(target, "?")
		if do == "slow" {
			time.Sleep(120 * time.Millisecond)
		}
		if text, ok := says[do]; ok && !mute {
			if load != "" {
				text = strings.Replace(text, `{"inflight":1}`, load, 1)
			}
			if fmt.Fprint(c, text); strings.HasPrefix(do, "cut") {
				return
			}
		}
	}
}

var says = map[string]string{
	"":          "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Load: {\"inflight\":1}\r\n\r\nvalid\n",
	"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nval\r\n3\r\nid\n\r\n0\r\n\r\n",
	"slow":      "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nvalid\n",
	"fault":     "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
	"full":      "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"maybe":     "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
	"cut":       "",
	"cutshort":  "HTTP/1.1 200 OK\r\nContent-Length: 600\r\n\r\nval",
	"junk":      "what is this\r\n\r\n",
	"long":      "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
	"longchunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFF\r\n",
	"stray":     "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nvalid\nHTTP/1.1 200 OK\r\n\r\n",
	"interim": "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 102 On\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nvalid\n",
	"interims":   strings.Repeat("HTTP/1.1 102 On\r\n\r\n", 99),
	"headless":   "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pad\r\n", 9999),
	"cutnolong":  "HTTP/1.1 200 OK\r\n\r\nvalid\n",
	"report":     "HTTP/1.1 200 OK\r\nX-Load: {\"inflight\":NaN,]\xff\r\nContent-Length: 6\r\n\r\nvalid\n",
	"nolong":     "HTTP/1.1 200 OK\r\n\r\nvalid\n",
	"zero":       "HTTP/1.1 000 OK\r\nContent-Length: 6\r\n\r\nvalid\n",
	"zeros":      "HTTP/1.1 0200 OK\r\nContent-Length: 6\r\n\r\nvalid\n",
	"old":        "HTTP/0.9 200 OK\r\nContent-Length: 6\r\n\r\nvalid\n",
	"stall":      "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nval",
	"negative":   "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nvalid\n",
	"cutnothing": "HTTP/1.1 200 OK\r\n",
}

const settings = `{"me":0,"balancers":1,"classes":[
 {"name":"check","aim_us":400000,"effect":"read_like","worth":1},
 {"name":"sale","aim_us":400000,"effect":"idempotency_key","group":"all","window_us":5000000,"worth":1},
 {"name":"issue","aim_us":400000,"effect":"non_idempotent","worth":1}],
 "tariffs":[{"name":"basic","rate":1000,"most_at_once":1000,"worth_factor":1},
  {"name":"tiny","rate":0.1,"most_at_once":1,"worth_factor":1,"over_cost":1}],
 "allowed":{"max_attempts":3,"cancel":true,"retry_after":true,"max_retry_after_us":9000000,
  "keepalive_us":IDLE,"connect_timeout_us":100000},
 "family_info":{"largest":1},"safety":{"cold_from":0.2,"warm_up_us":10000000,"answer_slack_us":5000}}`

// deploy starts a gatekeeper before so many workers whose connections may stand idle for so many ms. swaps
// are pairs of old and new text in its settings.
func deploy(t *testing.T, workers, idle int, swaps ...string) *deployment {
	t.Helper()
	return deployWith(t, func(*config.Gateway) {}, workers, idle, swaps...)
}

// deployWith changes the configuration as it has been read.
func deployWith(t *testing.T, change func(*config.Gateway), workers, idle int,
	swaps ...string) *deployment {
	t.Helper()
	d := &deployment{t: t, news: make(chan string, 9), asked: make(chan string, 9)}
	var names []string
	for i := range workers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		w := &standIn{Listener: l}
		go w.serve()
		t.Cleanup(func() { l.Close() })
		d.workers = append(d.workers, w)
		names = append(names, d.entry(i, "active", 0))
	}
	list := d.discovery()
	conf := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"5","limits":{"sockets":64},
		"known":{"index":7,"snapshot":true,"endpoints":[%s]},"settings":%s}`, list,
		strings.Join(names, ","),
		strings.NewReplacer(append(swaps, "IDLE", fmt.Sprint(idle*1000))...).Replace(settings))
	var err error
	if d.conf, err = config.Decode([]byte(conf), func(string) string { return "" }); err != nil {
		t.Fatal(err)
	}
	change(&d.conf)
	if d.gk, err = Start(d.conf, zerolog.Nop()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { // before its discovery's port can become another test's
		d.gk.unwind()
		<-d.gk.ended
	})
	d.at = d.gk.At
	return d
}

func (d *deployment) entry(i int, status string, since int64) string {
	return fmt.Sprintf(`{"name":"w%d","address":%q,"zone":"a","group":1,"status":%q,"since_ms":%d}`, i,
		d.workers[i].Addr(), status, since)
}

// discovery answers each watch at the address that it gives, and sends it the news there is, until the word
// "end" or the watcher's leaving.
func (d *deployment) discovery() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { l.Close() })
	go d.tell(l)
	return l.Addr().String()
}

func (d *deployment) tell(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		line, _ := r.ReadString('\n')
		d.asked <- line
		left := make(chan bool)
		go func() {
			io.Copy(io.Discard, r)
			close(left)
		}()
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
		for on := true; on; {
			select {
			case n := <-d.news:
				if on = n != "end"; on {
					fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(n)+1, n)
				}
			case <-left:
				on = false
			}
		}
		c.Close()
	}
}

func (w *standIn) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.got)
}

// got gives what all workers have been sent.
func (d *deployment) got() (all []string) {
	for _, w := range d.workers {
		w.mu.Lock()
		all = append(all, w.got...)
		w.mu.Unlock()
	}
	return all
}

// ask sends bytes on a connection of their own, and gives the status line and the body that come back.
func (d *deployment) ask(raw string) (string, string) {
	d.t.Helper()
	c, err := net.Dial("tcp", d.at)
	if err != nil {
		return err.Error(), ""
	}
	defer c.Close()
	fmt.Fprint(c, raw)
	return read(c)
}

func read(c net.Conn) (string, string) {
	c.SetDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(c)
	status, _ := r.ReadString('\n')
	size := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return strings.TrimSpace(status), "broken off"
		}
		fmt.Sscanf(line, "Content-Length: %d", &size)
		if line == "\r\n" {
			body := make([]byte, size)
			io.ReadFull(r, body)
			return strings.TrimSpace(status), string(body)
		}
	}
}

const heads = "Host: backend.local\r\nPlan: basic\r\nCookie: key=00000000b4d65521\r\nX-Deadline: 300m\r\n" +
	"Quota-Info: units=1,spread=1,first=0\r\n"

func check(target, id string) string {
	return "GET " + target + " HTTP/1.1\r\nX-Request-Id: " + id + "\r\n" + heads + "\r\n"
}

func sale(target, id string) string {
	return "POST " + target + " HTTP/1.1\r\nX-Request-Id: " + id + "\r\nIdempotency-Key: k1\r\n" + heads +
		"Content-Length: 4\r\n\r\na\r\nb"
}

func issue(target, id string) string {
	return "POST " + target + " HTTP/1.1\r\nX-Request-Id: " + id + "\r\n" + heads + "Content-Length: 0\r\n\r\n"
}

func TestPassesOnUnchanged(t *testing.T) {
	d := deploy(t, 1, 5000)
	cases := []struct{ name, raw, line, mark string }{
		{"inquiry", check("/check/..//%41?", "9b1f"), "GET /check/..//%41? HTTP/1.1", "X-Request-Id: 9b1f\r\n"},
		{"referenced", sale("/sale", "9b2f"), "POST /sale HTTP/1.1", "Idempotency-Key: k1\r\n"},
		{"once-only", issue("/issue/7", "9b3f"), "POST /issue/7 HTTP/1.1", "X-Request-Id: 9b3f\r\n"},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if status, body := d.ask(c.raw); status != "HTTP/1.1 200 OK" || body != "valid\n" {
				t.Errorf("answered %q %q", status, body)
			}
			got := d.got()
			if len(got) != i+1 || !strings.HasPrefix(got[i], c.line+"\r\n") || !strings.Contains(got[i], c.mark) {
				t.Fatalf("the worker got %q", got)
			}
			if i == 1 && !strings.HasSuffix(got[i], "\r\n\r\na\r\nb") {
				t.Errorf("the body changed: %q", got[i])
			}
		})
	}
}

// A txn is taken in each form that the protocol page allows, whole, in two pieces and byte by byte, from a
// client that writes slowly, and its time counts from its last byte. Guards against forms that are read only
// as one client happens to write them.
//
// As many forms run at once as the test runner allows, and the window starts at 1.5 requests in flight for
// each worker: with a worker for each of them the whole burst is let in. Before one worker the window starts
// at 4.5, and a form that came when it was full was shed with 429.
func TestFormsOfTxns(t *testing.T) {
	const formsAndWays = 84
	d := deployWith(t, func(c *config.Gateway) { c.MaxSockets = 4 * formsAndWays }, formsAndWays, 5000)
	plain, sold := check("/check", "1"), sale("/sale", "1")
	swap := func(s string, pairs ...string) string { return strings.NewReplacer(pairs...).Replace(s) }
	chunked := func(s, body string) string { return swap(s, "Content-Length: 4\r\n\r\na\r\nb", body) }
	forms := []struct{ name, raw string }{
		{"as usual", plain},
		{"names in small letters", swap(plain, "X-Request-Id", "x-request-id", "Plan", "plan", "Cookie", "cookie",
			"X-Deadline", "x-deadline", "Quota-Info", "quota-info", "Host", "host")},
		{"names in capitals", swap(plain, "X-Request-Id", "X-REQUEST-ID", "Quota-Info", "QUOTA-INFO")},
		{"no blank, blanks and a tab about values", swap(plain, "Plan: basic", "Plan:basic", "X-Deadline: 300m",
			"X-Deadline: \t 300m \t")},
		{"microseconds", swap(plain, "300m", "300000u")},
		{"a part of a millisecond", swap(plain, "300m", "300.25m")},
		{"quota in another order", swap(plain, "units=1,spread=1,first=0", "first=0,units=1,spread=1")},
		{"quota with blanks", swap(plain, "units=1,spread=1,first=0", "units=1, spread=1 , first=0")},
		{"units as a decimal", swap(plain, "units=1,", "units=0.50,")},
		{"other cookies", swap(plain, "Cookie: ", "Cookie: a=b; ", "b4d65521", "b4d65521; c=d")},
		{"a client's retry", swap(plain, "Host:", "X-Retry: 1\r\nHost:")},
		{"kept by its own word", swap(plain, "Host:", "Connection: keep-alive\r\nHost:")},
		{"an empty query", swap(plain, "/check", "/check/%41?")},
		{"a longer path", swap(plain, "/check", "/check/a/b")},
		{"lines ahead of it", "\r\n" + plain},
		{"a body", sold},
		{"a body in one chunk", chunked(sold, "Transfer-Encoding: chunked\r\n\r\n4\r\na\r\nb\r\n0\r\n\r\n")},
		{"a body in chunks", chunked(sold, "Transfer-Encoding: Chunked\r\n\r\n1\r\na\r\n03\r\n\r\nb\r\n0\r\n\r\n")},
		{"no body, in chunks", chunked(sold, "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")},
		{"once-only without a body", issue("/issue", "1")},
		{"once-only without a length", swap(issue("/issue", "1"), "Content-Length: 0\r\n", "")},
	}
	for _, f := range forms {
		for _, way := range []string{"whole", "in two", "byte by byte", "slowly"} {
			t.Run(f.name+", "+way, func(t *testing.T) {
				t.Parallel()
				c, err := net.Dial("tcp", d.at)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				id := "-Id: " + strings.ReplaceAll(f.name+way, " ", "") + "\r\n"
				raw := strings.NewReplacer("-Id: 1\r\n", id, "-id: 1\r\n", id, "-ID: 1\r\n", id).Replace(f.raw)
				step, pause := len(raw), time.Duration(0)
				switch way {
				case "in two":
					step, pause = len(raw)/2+1, 5*time.Millisecond
				case "byte by byte":
					step = 1
				case "slowly": // its time, 300 ms, would be over
					step, pause = len(raw)/8+1, 50*time.Millisecond
				}
				for at := 0; at < len(raw); at += step {
					io.WriteString(c, raw[at:min(at+step, len(raw))])
					time.Sleep(pause)
				}
				if status, body := read(c); status != "HTTP/1.1 200 OK" || body != "valid\n" {
					t.Errorf("answered %q %q", status, body)
				}
			})
		}
	}
}

// What clients get wrong has a clear answer, and none of it reaches a worker.
func TestBrokenClients(t *testing.T) {
	d := deploy(t, 1, 5000)
	good := check("/check", "1")
	swap := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	sell := func(old, new string) string { return strings.Replace(sale("/sale", "1"), old, new, 1) }
	const bad = "HTTP/1.1 400 Bad Request"
	cases := []struct{ name, raw, status, says string }{
		{"no id", swap("X-Request-Id: 1\r\n", ""), bad, "X-Request-Id"},
		{"two ids", swap("Host:", "X-Request-Id: 2\r\nHost:"), bad, "X-Request-Id"},
		{"no product", swap("/check", "/"), bad, "product"},
		{"unknown product", swap("/check", "/checks"), bad, "product"},
		{"no path", swap("/check", "*"), bad, "read"},
		{"wrong method", swap("GET", "DELETE"), bad, "method"},
		{"unknown plan", swap("basic", "gold"), bad, "Plan"},
		{"no plan", swap("Plan: basic\r\n", ""), bad, "Plan"},
		{"customer no number", swap("b4d65521", "zzz"), bad, "key"},
		{"no cookie", swap("Cookie", "Kookie"), bad, "Cookie"},
		{"two keys", swap("Cookie: ", "Cookie: key=00000000b4d65520; "), bad, "key"},
		{"customer beyond 33 bits", swap("00000000b4d65521", "0000000200000000"), bad, "key"},
		{"customer too short", swap("00000000b4d65521", "b4d65521"), bad, "key"},
		{"id too long", swap("Id: 1", "Id: "+strings.Repeat("1", 65)), bad, "X-Request-Id"},
		{"id of two words", swap("Id: 1", "Id: 1 2"), bad, "X-Request-Id"},
		{"folded line", swap("Plan: basic", "Plan:\r\n basic"), bad, "head"},
		{"bare line end", swap("basic\r\n", "basic\n"), bad, "head"},
		{"inquiry with a body", swap("Host:", "Content-Length: 2\r\nHost:") + "ab", bad, "body"},
		{"two lengths", sell("Content", "Content-Length: 4\r\nContent"), bad, "read"},
		{"length and coding", strings.TrimSuffix(sell("Host:", "Transfer-Encoding: chunked\r\nHost:"), "a\r\nb") +
			"0\r\n\r\n" + check("/check", "2"), bad, "together"},
		{"length and no coding", sell("Host:", "transfer-encoding: identity\r\nHost:"),
			bad, "together"},
		{"another hidden behind", swap("Plan", "Clan") + check("/check", "2"), bad, "Plan"},
		{"length below nought", sell("Length: 4", "Length: -4"), bad, "read"},
		{"length beyond numbers", sell("Length: 4", "Length: 99999999999999999999"),
			bad, "read"},
		{"broken chunk", strings.Replace(sale("/sale", "1"), "Content-Length: 4\r\n\r\n",
			"Transfer-Encoding: chunked\r\n\r\n4000\r\n"+strings.Repeat("x", 1<<14)+"\r\nzz\r\n", 1),
			bad, "read"},
		{"head without end", swap("Host:", strings.Repeat("X-Pad: pad\r\n", 4000)+"Host:"),
			"HTTP/1.1 431 Request Header Fields Too Large", "head"},
		{"no unit of time", swap("300m", "300"), bad, "X-Deadline"},
		{"no time left", swap("300m", "0m"), bad, "X-Deadline"},
		{"time without end", swap("300m", "infm"), bad, "X-Deadline"},
		{"time of other digits", swap("300m", "0x10m"), bad, "X-Deadline"},
		{"time beyond sense", swap("300m", "3600001m"), bad, "X-Deadline"},
		{"units beyond the largest", swap("units=1", "units=2"), bad, "units"},
		{"set beyond the gatekeepers", swap("spread=1", "spread=2"), bad, "spread"},
		{"set from beyond them", swap("first=0", "first=1"), bad, "first"},
		{"no units", swap("units=1,", ""), bad, "Quota-Info"},
		{"units below nought", swap("units=1", "units=-1"), bad, "Quota-Info"},
		{"units no number", swap("units=1", "units=NaN"), bad, "Quota-Info"},
		{"spread of a half", swap("spread=1", "spread=0.5"), bad, "Quota-Info"},
		{"units twice", swap("units=1", "units=1,units=2"), bad, "Quota-Info"},
		{"referenced without mark", sell("Idempotency", "Other"), bad,
			"Idempotency-Key"},
		{"once-only with mark", sale("/issue", "1"), bad, "Idempotency-Key"},
		{"no HTTP", "hello\r\n\r\n", bad, "read"},
		{"body too long", sell("Length: 4", "Length: 60000000") +
			strings.Repeat("x", 8<<20), "HTTP/1.1 413 Request Entity Too Large", "too long"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, body := d.ask(c.raw)
			if status != c.status || !strings.Contains(body, c.says) {
				t.Errorf("answered %q %q, want %q with %q", status, body, c.status, c.says)
			}
		})
	}
	t.Run("half a request", func(t *testing.T) {
		c, _ := net.Dial("tcp", d.at)
		fmt.Fprint(c, good[:40])
		c.Close()
	})
	t.Run("nothing sent in time", func(t *testing.T) {
		for _, part := range []string{"", good[:40]} {
			t.Run(fmt.Sprint(len(part)), func(t *testing.T) {
				t.Parallel()
				c, _ := net.Dial("tcp", d.at)
				defer c.Close()
				fmt.Fprint(c, part)
				c.SetDeadline(time.Now().Add(2900 * time.Millisecond))
				if b, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(b), "HTTP/1.1 408 ") {
					t.Errorf("got %q, %v", b, err)
				}
			})
		}
	})
	if got := d.got(); len(got) > 0 {
		t.Errorf("a worker got %q", got)
	}
	if status, _ := d.ask(good); status != "HTTP/1.1 200 OK" {
		t.Errorf("after all that a good one gets %q", status)
	}
}

// A set that lacks this gatekeeper would give it a slice that is none of the quota's parts.
func TestSetsOfGatekeepers(t *testing.T) {
	d := deploy(t, 1, 5000, `"me":0,"balancers":1`, `"me":1,"balancers":3`)
	cases := []struct {
		set, status string
	}{
		{"spread=1,first=1", "HTTP/1.1 200 OK"},
		{"spread=3,first=2", "HTTP/1.1 200 OK"},
		{"spread=2,first=2", "HTTP/1.1 400 Bad Request"},
		{"spread=1,first=0", "HTTP/1.1 400 Bad Request"},
		{"spread=4,first=0", "HTTP/1.1 400 Bad Request"},
	}
	for _, c := range cases {
		t.Run(c.set, func(t *testing.T) {
			raw := strings.Replace(check("/check", c.set), "spread=1,first=0", c.set, 1)
			raw = strings.Replace(raw, "Id: "+c.set, "Id: 1", 1)
			if status, body := d.ask(raw); status != c.status {
				t.Errorf("answered %q %q, want %q", status, body, c.status)
			}
		})
	}
}

// The mark of a txn that is open can't be taken by another one.
func TestOpenMark(t *testing.T) {
	d := deploy(t, 1, 5000)
	statuses := make(chan string, 2)
	for i := range 2 {
		go func() {
			status, _ := d.ask(check("/check?slow", "1"))
			statuses <- status
		}()
		time.Sleep(time.Duration(30*(1-i)) * time.Millisecond)
	}
	if s := <-statuses; s != "HTTP/1.1 409 Conflict" {
		t.Errorf("the second one gets %q", s)
	}
	if s := <-statuses; s != "HTTP/1.1 200 OK" || len(d.got()) != 1 {
		t.Errorf("the first one gets %q after %d submissions", s, len(d.got()))
	}
	if status, _ := d.ask(check("/check", "1")); status != "HTTP/1.1 200 OK" {
		t.Errorf("once it is closed the mark gets %q", status)
	}
}

// How a worker ends a submission tells what may follow: no resend that the module did not decide, and none at
// all where it could run twice.
func TestWorkersThatFail(t *testing.T) {
	const settled, declined, voided = "HTTP/1.1 200 OK", "HTTP/1.1 429 Too Many Requests",
		"HTTP/1.1 500 Internal Server Error"
	cases := []struct {
		name, raw, status string
		subs              int
	}{
		{"answer in chunks", check("/check?chunks", "1"), settled, 1},
		{"inquiry, error", check("/check?fault", "2"), declined, 3},
		{"inquiry, cut", check("/check?cut", "3"), declined, 3},
		{"inquiry, cut short", check("/check?cutshort", "4"), declined, 3},
		{"inquiry, answer of nonsense", check("/check?junk", "5"), declined, 3},
		{"inquiry, answer too long", check("/check?long", "6"), declined, 3},
		{"inquiry, chunk too long", check("/check?longchunk", "7"), declined, 3},
		{"bytes after the answer", check("/check?stray", "8"), settled, 1},
		{"interim answers ahead of it", check("/check?interim", "18"), settled, 1},
		{"load report of nonsense", check("/check?report", "19"), settled, 1},
		{"inquiry, interim answers without end", check("/check?interims", "20"), declined, 3},
		{"inquiry, head without end", check("/check?headless", "21"), declined, 3},
		{"inquiry, status of nought", check("/check?zero", "23"), declined, 3},
		{"inquiry, status of four digits", check("/check?zeros", "24"), declined, 3},
		{"inquiry, no version of ours", check("/check?old", "25"), declined, 3},
		{"ends with the connection", check("/check?cutnolong", "22"), settled, 1},
		{"inquiry, unstated and without end", check("/check?nolong", "26"), declined, 3},
		{"inquiry, half a head", check("/check?cutnothing", "9"), declined, 3},
		{"inquiry, silence", check("/check?silence", "10"), declined, 3},
		{"referenced, cut", sale("/sale?cut", "11"), declined, 3},
		{"once-only, error", issue("/issue?fault", "12"), voided, 1},
		{"once-only, cut", issue("/issue?cut", "13"), voided, 1},
		{"once-only, 503 that may have run", issue("/issue?maybe", "14"), voided, 1},
		{"once-only, silence", issue("/issue?silence", "15"), voided, 1},
		{"once-only, turned away", issue("/issue?full", "16"), declined, 3},
		{"once-only, length below nought", issue("/issue?negative", "17"), voided, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 2, 5000)
			start := time.Now()
			status, body := d.ask(c.raw)
			if took := time.Since(start); took > 350*time.Millisecond {
				t.Errorf("answered after %v, past the expiry", took)
			}
			if status != c.status || status == settled && body != "valid\n" {
				t.Errorf("answered %q %q, want %q", status, body, c.status)
			}
			time.Sleep(20 * time.Millisecond) // a resend would come at once
			if got := d.got(); len(got) > c.subs || len(got) < min(c.subs, 2) {
				t.Errorf("%d submissions, want %d, or one fewer on a slow machine", len(got), c.subs)
			}
			if b := inflight.Violations(); len(b) > 0 {
				t.Errorf("claims broken: %v", b)
			}
		})
	}
}

func TestQuotaTellsWhenToReturn(t *testing.T) {
	d := deploy(t, 1, 5000)
	tiny := func(id string) string { return strings.Replace(check("/check", id), "basic", "tiny", 1) }
	for i := range 3 {
		c, err := net.Dial("tcp", d.at)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, tiny(fmt.Sprint(i)))
		c.SetDeadline(time.Now().Add(time.Second))
		b := make([]byte, 4096)
		n, _ := c.Read(b)
		c.Close()
		declined := strings.HasPrefix(string(b[:n]), "HTTP/1.1 429")
		if declined != (i > 0) || declined && !strings.Contains(string(b[:n]), "\r\nRetry-After: ") {
			t.Errorf("txn %d answered %q", i, b[:n])
		}
	}
}

func TestListIsFollowed(t *testing.T) {
	d := deploy(t, 2, 5000)
	if q := <-d.asked; !strings.Contains(q, "stream=1&index=7 ") {
		t.Errorf("the watch asks %q, known was 7", q)
	}
	steps := []struct {
		name, news, asks string // asks: what the watch that is opened after it asks for
		to               []int
	}{
		{"one drains", `{"index":9,"snapshot":false,"endpoints":[` + d.entry(0, "leaving", 0) + `]}`, "", []int{1}},
		{"after nonsense all is asked for", `{"index":no`, "index=0 ", []int{1}},
		{"the whole list", `{"index":11,"snapshot":true,"endpoints":[` + d.entry(0, "active", 0) + `]}`, "",
			[]int{0}},
		{"the watch ends and goes on", "end", "index=11 ", []int{0}},
		{"all are gone", `{"index":12,"snapshot":true,"endpoints":[]}`, "", nil},
	}
	for i, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			d.news <- s.news
			if s.asks != "" {
				if q := <-d.asked; !strings.Contains(q, s.asks) {
					t.Errorf("the watch asks %q, want %q", q, s.asks)
				}
			}
			time.Sleep(50 * time.Millisecond)
			before := [2]int{d.workers[0].count(), d.workers[1].count()}
			for k := range 6 {
				d.ask(check("/check", fmt.Sprint(i, "-", k)))
			}
			var to []int
			for w := range before {
				if d.workers[w].count() > before[w] {
					to = append(to, w)
				}
			}
			if fmt.Sprint(to) != fmt.Sprint(s.to) {
				t.Errorf("txns went to %v, want %v", to, s.to)
			}
		})
	}
}

// A reload moves the watch to the new address and goes on from where it was, also while a stop is under way.
// One that fails changes nothing.
func TestReload(t *testing.T) {
	d := deploy(t, 2, 5000)
	<-d.asked
	stop, reload, ended := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan error)
	files := make(chan error, 1)
	go func() {
		ended <- d.gk.Run(stop, reload, func() (config.Gateway, error) {
			next := d.conf
			next.DiscoveryAddress = d.discovery()
			return next, <-files
		})
	}()
	news := func(version int, entry string) {
		time.Sleep(20 * time.Millisecond) // for the stand-in to see that it was left
		d.news <- fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[%s]}`, version, entry)
		time.Sleep(50 * time.Millisecond)
	}
	files <- errors.New("listen is missing")
	reload <- syscall.SIGHUP
	news(8, d.entry(0, "leaving", 0))
	files <- nil
	reload <- syscall.SIGHUP
	if q := <-d.asked; !strings.Contains(q, "stream=1&index=8 ") {
		t.Errorf("the moved watch asks %q, want it from 8 on", q)
	}
	news(9, d.entry(0, "active", 0)+","+d.entry(1, "leaving", 0))
	d.ask(check("/check", "1"))
	if a, b := d.workers[0].count(), d.workers[1].count(); a != 1 || b != 0 {
		t.Errorf("%d and %d submissions after news at the new address, want 1 and 0", a, b)
	}
	files <- nil
	stop <- syscall.SIGTERM
	reload <- syscall.SIGHUP
	if q := <-d.asked; !strings.Contains(q, "index=9 ") {
		t.Errorf("while it stops the watch asks %q", q)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A reload with a configuration that mixes two shapes of deployment names the key, and the old one stays.
func TestReloadOfMixedShapes(t *testing.T) {
	d := deploy(t, 1, 5000)
	<-d.asked
	var log strings.Builder
	d.gk.log = zerolog.New(&log)
	mixed := strings.Replace(settings, `"largest":1`, `"largest":1,"use_period_us":1000000`, 1)
	d.gk.Reload(config.Decode([]byte(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":`+
		strings.Replace(mixed, "IDLE", "1", 1)+`}`), func(string) string { return "" }))
	if !strings.Contains(log.String(), "settings.family_info.use_period_us") ||
		!strings.Contains(log.String(), "the old one stays") ||
		d.gk.conf.DiscoveryAddress != d.conf.DiscoveryAddress {
		t.Errorf("discovery is %s now, and the log says %s", d.gk.conf.DiscoveryAddress, log.String())
	}
}

// What a worker says of its load reaches the module where that is announced; what makes no sense does not.
func TestLoadInAnswers(t *testing.T) {
	const told = `"report":{"how":"answers","fields":["concurrent"]},"family_info"`
	cases := []struct {
		name, as, load string
		most           int // of 200 txns, at the worker that says so
	}{
		{"busy", told, `{"inflight":90,"queue":80}`, 75},
		{"busy by its cores", told, `{"util":0.97}`, 75},
		{"not announced", `"family_info"`, `{"inflight":90}`, 200},
		{"unreadable", told, `{"inflight":90,"queue":[}`, 200},
		{"below nought", told, `{"inflight":-90}`, 200},
		{"no number", told, `{"inflight":"90"}`, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 2, 5000, `"family_info"`, c.as)
			d.workers[0].load, d.workers[1].load = c.load, `{"inflight":0}`
			for i := range 200 {
				if status, _ := d.ask(check("/check", fmt.Sprint(i))); status != "HTTP/1.1 200 OK" {
					t.Fatal(status)
				}
			}
			if n := d.workers[0].count(); n > c.most || c.most == 200 && n < 76 {
				t.Errorf("%d of 200 txns went there", n)
			}
		})
	}
}

func TestIdleConnections(t *testing.T) {
	cases := []struct {
		name  string
		idle  int
		dials int
	}{
		{"reused", 5000, 1},
		{"dropped before the worker's limit", 60, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 1, c.idle)
			for i := range 3 {
				d.ask(check("/check", fmt.Sprint(i)))
				time.Sleep(45 * time.Millisecond)
			}
			if n := d.workers[0].dial; n != c.dials {
				t.Errorf("%d connections, want %d", n, c.dials)
			}
		})
	}
}

// An answer that has begun and stalls is cut well before the expiry, and never served in part.
func TestAnswerThatStalls(t *testing.T) {
	d := deploy(t, 1, 5000)
	start := time.Now()
	status, body := d.ask(strings.Replace(issue("/issue?stall", "1"), "300m", "3000m", 1))
	took := time.Since(start)
	if status != "HTTP/1.1 500 Internal Server Error" || body != "" || took > 1500*time.Millisecond {
		t.Errorf("answered %q %q after %v", status, body, took)
	}
}

// Where a worker falls silent its txns end well elsewhere, as far as the settings let them; what is given up
// on while a submission may not be withdrawn is answered all the same, and nothing is sent for it after.
func TestSilentWorker(t *testing.T) {
	const settled, declined = "HTTP/1.1 200 OK", "HTTP/1.1 429 Too Many Requests"
	cases := []struct {
		name   string
		swaps  []string
		status string
	}{
		{"withdrawn and moved", nil, settled},
		{"second copies", []string{`"cancel":true`, `"may_duplicate":true`}, settled},
		{"second copies, withdrawn at the end", []string{`"cancel"`, `"may_duplicate":true,"cancel"`}, settled},
		{"neither", []string{`"cancel":true`, `"cancel":false`}, declined},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 2, 5000, c.swaps...)
			d.workers[0].mute = true
			d.workers[1].mute = c.status == declined
			const txns = 3
			for i := range txns {
				raw := strings.Replace(check("/check", fmt.Sprint(i)), "300m", "600m", 1)
				if status, _ := d.ask(raw); status != c.status {
					t.Errorf("txn %d: %q, want %q", i, status, c.status)
				}
			}
			before := len(d.got())
			time.Sleep(50 * time.Millisecond)
			if n := len(d.got()); n != before || d.workers[0].count() > txns {
				t.Errorf("%d submissions after the last answer, %d to the silent one", n-before,
					d.workers[0].count())
			}
			if b := inflight.Violations(); len(b) > 0 {
				t.Errorf("claims broken: %v", b)
			}
		})
	}
}

// A connection that was out while its worker started anew is not used for the new process.
func TestFormerLife(t *testing.T) {
	d := deploy(t, 1, 5000)
	answered := make(chan string)
	go func() {
		status, _ := d.ask(check("/check?slow", "1"))
		answered <- status
	}()
	time.Sleep(40 * time.Millisecond)
	d.news <- `{"index":9,"snapshot":false,"endpoints":[` + d.entry(0, "active", 5) + `]}`
	if status := <-answered; status != "HTTP/1.1 200 OK" {
		t.Errorf("the txn that was out gets %q", status)
	}
	d.ask(check("/check", "2"))
	d.workers[0].mu.Lock()
	defer d.workers[0].mu.Unlock()
	if d.workers[0].dial != 2 {
		t.Errorf("%d connections, want a new one for the new process", d.workers[0].dial)
	}
}

// A client that closes is seen, and its submission withdrawn.
func TestClientLeaves(t *testing.T) {
	d := deploy(t, 1, 5000)
	c, _ := net.Dial("tcp", d.at)
	fmt.Fprint(c, strings.Replace(check("/check?silence", "1"), "300m", "30000m", 1))
	time.Sleep(20 * time.Millisecond)
	if n := d.gk.desk.Tally(); n.InFlight != 1 {
		t.Fatalf("%v submissions out", n.InFlight)
	}
	c.Close()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if n := d.gk.desk.Tally(); n.InFlight == 0 && n.FinalByReason[policy.ReasonClientGone] == 1 {
			return
		}
	}
	t.Errorf("it goes on: %+v", d.gk.desk.Tally())
}

// At a stop what was taken is answered, kept connections are served on for a while, then all ends.
func TestStop(t *testing.T) {
	d := deploy(t, 1, 5000)
	kept, _ := net.Dial("tcp", d.at)
	fmt.Fprint(kept, check("/check", "0"))
	read(kept)
	slow, _ := net.Dial("tcp", d.at)
	late := strings.Replace(issue("/issue?silence", "1"), "300m", "900m", 1)
	fmt.Fprint(slow, late)
	time.Sleep(20 * time.Millisecond)
	done := make(chan bool)
	go func() {
		d.gk.Stop()
		close(done)
	}()
	time.Sleep(200 * time.Millisecond)
	if status, _ := d.ask(check("/check", "2")); status != "HTTP/1.1 200 OK" {
		t.Errorf("a new connection while it stops gets %q", status)
	}
	fmt.Fprint(kept, check("/check", "3"))
	if status, _ := read(kept); status != "HTTP/1.1 200 OK" {
		t.Errorf("a kept connection while it stops gets %q", status)
	}
	if _, err := kept.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a kept connection ends with %v", err)
	}
	if status, _ := read(slow); status != "HTTP/1.1 500 Internal Server Error" {
		t.Errorf("what was taken before gets %q", status)
	}
	select {
	case <-done:
	case <-time.After(3 * time.Second):
		t.Fatal("it does not end")
	}
	if _, err := net.Dial("tcp", d.at); err == nil {
		t.Error("it still takes connections")
	}
}

// Clients that go on sending after the order to stop, on every connection that stays open, have all answered:
// each connection ends with an answer that says so, before a txn could come that SIGKILL finds unanswered.
func TestStopUnderTraffic(t *testing.T) {
	const clients = 8
	d := deploy(t, 1, 5000)
	begin := make(chan time.Time)
	type outcome struct {
		settled, declined int
		end               time.Duration // after the order
		says              bool          // by an answer
		err               string
	}
	ends := make(chan outcome, clients)
	var started sync.WaitGroup
	for i := range clients {
		started.Add(1)
		go func() {
			c, err := net.Dial("tcp", d.at)
			if err != nil {
				panic(err)
			}
			defer c.Close()
			r, o := bufio.NewReader(c), outcome{}
			for last := time.Now(); ; last = time.Now() {
				time.Sleep(time.Duration(5+4*i) * time.Millisecond)
				gap := time.Since(last)
				c.SetDeadline(time.Now().Add(3 * time.Second))
				fmt.Fprint(c, check("/check", fmt.Sprint(i, "-", o.settled+o.declined)))
				res, err := http.ReadResponse(r, nil)
				if err != nil { // a client that stood still itself may cross an idle connection's end
					if gap < 100*time.Millisecond {
						o.err = err.Error()
					}
					break
				}
				_, err = io.Copy(io.Discard, res.Body)
				switch {
				case err == nil && res.StatusCode == 200:
					o.settled++
				case err == nil && res.StatusCode == 429: // so many at once press a single worker
					o.declined++
				default:
					o.err = fmt.Sprint(res.StatusCode, err)
				}
				if o.settled+o.declined == 1 {
					started.Done()
				}
				if o.says = res.Close; o.says {
					break
				}
			}
			o.end = time.Since(<-begin)
			ends <- o
		}()
	}
	started.Wait()
	stopped := time.Now()
	go func() {
		for range clients {
			begin <- stopped
		}
	}()
	d.gk.Stop()
	took, settled := time.Since(stopped), 0
	for range clients {
		o := <-ends
		if settled += o.settled; o.err != "" {
			t.Errorf("an end after %v, by an answer %v: %s", o.end, o.says, o.err)
		}
	}
	if n := d.workers[0].count(); n != settled {
		t.Errorf("%d txns reached a worker, %d were settled", n, settled)
	}
	if took > 2*time.Second {
		t.Errorf("it ended after %v", took)
	}
}

// A connection does not go on behind an answer that had begun before the end, and so did not say that it
// ends.
func TestStopInAnswer(t *testing.T) {
	const half = 64 << 10
	on := make(chan bool)
	d := before(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(2*half))
		w.Write(long(half))
		w.(http.Flusher).Flush()
		<-on
		w.Write(long(half))
	})
	c, err := net.Dial("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(4 * time.Second))
	fmt.Fprint(c, strings.Replace(check("/check", "1"), "300m", "3000m", 1))
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	if err != nil || res.Close {
		t.Fatalf("answered %+v, %v", res, err)
	}
	stopped := make(chan bool)
	go func() {
		d.gk.Stop()
		close(stopped)
	}()
	until(t, "it goes on", func() bool { return d.gk.front.Closing() })
	close(on)
	if n, err := io.Copy(io.Discard, res.Body); n != 2*half || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("behind the answer: %v", err)
	}
	select {
	case <-stopped:
	case <-time.After(3 * time.Second):
		t.Error("the stop waits for it")
	}
}
