package lifecycle

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/gateway/config"
)

// deployment is a gateway on loopback between fakes of its workers and of discovery.
type deployment struct {
	t             *testing.T
	gateway       *Gateway
	address       string
	workers       []*fakeWorker
	config        config.Gateway
	updates       chan string
	watchRequests chan string // request lines of the watch
}

// fakeWorker is a worker that answers as the word after the ? of a target says, by cannedResponses, and
// keeps the submissions.
type fakeWorker struct {
	net.Listener
	mu          sync.Mutex
	submissions []string // complete submissions
	connections int      // connections accepted
	silent      bool     // it reads submissions and answers none
	loadReport  string   // its load report
}

func (w *fakeWorker) serve() {
	for {
		c, err := w.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.connections++
		w.mu.Unlock()
		go w.handle(c)
	}
}

func (w *fakeWorker) handle(c net.Conn) {
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
		w.submissions = append(w.submissions, raw)
		mute, load := w.silent, w.loadReport
		w.mu.Unlock()
		_, do, _ := strings.Cut(target, "?")
		if do == "slow" {
			time.Sleep(120 * time.Millisecond)
		}
		if text, ok := cannedResponses[do]; ok && !mute {
			if load != "" {
				text = strings.Replace(text, `{"inflight":1}`, load, 1)
			}
			if fmt.Fprint(c, text); strings.HasPrefix(do, "cut") {
				return
			}
		}
	}
}

var cannedResponses = map[string]string{
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

// deploy starts a gateway before that many workers, whose connections may be idle for so many milliseconds.
// swaps are pairs of old and new text in its settings.
func deploy(t *testing.T, workers, idle int, swaps ...string) *deployment {
	t.Helper()
	return deployWith(t, func(*config.Gateway) {}, workers, idle, swaps...)
}

// deployWith is deploy with a change of the decoded configuration.
func deployWith(t *testing.T, change func(*config.Gateway), workers, idle int,
	swaps ...string) *deployment {
	t.Helper()
	d := &deployment{t: t, updates: make(chan string, 9), watchRequests: make(chan string, 9)}
	var names []string
	for i := range workers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		w := &fakeWorker{Listener: l}
		go w.serve()
		t.Cleanup(func() { l.Close() })
		d.workers = append(d.workers, w)
		names = append(names, d.endpointEntry(i, "active", 0))
	}
	list := d.startDiscovery()
	conf := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"5","limits":{"sockets":64},
		"known":{"index":7,"snapshot":true,"endpoints":[%s]},"settings":%s}`, list,
		strings.Join(names, ","),
		strings.NewReplacer(append(swaps, "IDLE", fmt.Sprint(idle*1000))...).Replace(settings))
	var err error
	if d.config, err = config.Decode([]byte(conf), func(string) string { return "" }); err != nil {
		t.Fatal(err)
	}
	change(&d.config)
	if d.gateway, err = Start(d.config, zerolog.Nop()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { // before another test can get its discovery's port
		d.gateway.cancelWatch()
		<-d.gateway.watchEnded
	})
	d.address = d.gateway.Address
	return d
}

func (d *deployment) endpointEntry(i int, status string, since int64) string {
	return fmt.Sprintf(`{"name":"w%d","address":%q,"zone":"a","group":1,"status":%q,"since_ms":%d}`, i,
		d.workers[i].Addr(), status, since)
}

// startDiscovery serves each watch with the updates that the test sends, until the text "end" or the watch
// is closed, and gives its address.
func (d *deployment) startDiscovery() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { l.Close() })
	go d.serveDiscovery(l)
	return l.Addr().String()
}

func (d *deployment) serveDiscovery(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		line, _ := r.ReadString('\n')
		d.watchRequests <- line
		left := make(chan bool)
		go func() {
			io.Copy(io.Discard, r)
			close(left)
		}()
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
		for on := true; on; {
			select {
			case n := <-d.updates:
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

func (w *fakeWorker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.submissions)
}

// submissions gives what all workers have been sent.
func (d *deployment) submissions() (all []string) {
	for _, w := range d.workers {
		w.mu.Lock()
		all = append(all, w.submissions...)
		w.mu.Unlock()
	}
	return all
}

// send sends bytes on a connection of its own, and gives the status line and the body of the response.
func (d *deployment) send(raw string) (string, string) {
	d.t.Helper()
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		return err.Error(), ""
	}
	defer c.Close()
	fmt.Fprint(c, raw)
	return readResponse(c)
}

func readResponse(c net.Conn) (string, string) {
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

const commonHeaders = "Host: backend.local\r\nPlan: basic\r\nCookie: key=00000000b4d65521\r\n" +
	"X-Deadline: 300m\r\nQuota-Info: units=1,spread=1,first=0\r\n"

func checkRequest(target, id string) string {
	return "GET " + target + " HTTP/1.1\r\nX-Request-Id: " + id + "\r\n" + commonHeaders + "\r\n"
}

func saleRequest(target, id string) string {
	return "POST " + target + " HTTP/1.1\r\nX-Request-Id: " + id + "\r\nIdempotency-Key: k1\r\n" +
		commonHeaders + "Content-Length: 4\r\n\r\na\r\nb"
}

func issueRequest(target, id string) string {
	return "POST " + target + " HTTP/1.1\r\nX-Request-Id: " + id + "\r\n" + commonHeaders +
		"Content-Length: 0\r\n\r\n"
}

// roundTrip sends a request on a connection of its own, and gives its response.
func roundTrip(t *testing.T, at, raw string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprint(c, raw)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.60q: %v", raw, err)
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r
}

// stat gives one of the stats of /admin/stats.
func (d *deployment) stat(name string) int64 {
	d.t.Helper()
	for _, m := range d.gateway.Stats().Extra {
		if m.Name == name {
			return m.Value
		}
	}
	d.t.Fatalf("no stat %s", name)
	return 0
}

// waitFor polls a condition for 3 s, and fails with a message if it does not come true.
func waitFor(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for range 300 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(failure)
}
