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

// TestForwardUnchanged: requests reach the worker as the client has sent them.
func TestForwardUnchanged(t *testing.T) {
	d := deploy(t, 1, 5000)
	cases := []struct{ name, raw, line, wantHeader string }{
		{
			"read",
			checkRequest("/check/..//%41?", "9b1f"),
			"GET /check/..//%41? HTTP/1.1",
			"X-Request-Id: 9b1f\r\n",
		},
		{"idempotent", saleRequest("/sale", "9b2f"), "POST /sale HTTP/1.1", "Idempotency-Key: k1\r\n"},
		{"non-idempotent", issueRequest("/issue/7", "9b3f"), "POST /issue/7 HTTP/1.1", "X-Request-Id: 9b3f\r\n"},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if status, body := d.send(c.raw); status != "HTTP/1.1 200 OK" || body != "valid\n" {
				t.Errorf("answered %q %q", status, body)
			}
			got := d.submissions()
			if len(got) != i+1 || !strings.HasPrefix(got[i], c.line+"\r\n") ||
				!strings.Contains(got[i], c.wantHeader) {
				t.Fatalf("the worker got %q", got)
			}
			if i == 1 && !strings.HasSuffix(got[i], "\r\n\r\na\r\nb") {
				t.Errorf("the body changed: %q", got[i])
			}
		})
	}
}

// TestRequestForms: a request is accepted in each form that the protocol allows, complete, in two pieces and
// byte by byte, from a client that writes slowly, and its deadline counts from its last byte. As many forms
// run at once as the test runner allows, and the window starts at 1.5 requests in flight for each worker:
// with a worker for each of them the whole burst is let in. Before one worker the window starts at 4.5, and
// a form that came when it was full was rejected with 429.
func TestRequestForms(t *testing.T) {
	const formsAndWays = 84
	d := deployWith(t, func(c *config.Gateway) { c.MaxSockets = 4 * formsAndWays }, formsAndWays, 5000)
	plain, sold := checkRequest("/check", "1"), saleRequest("/sale", "1")
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
		{"keep-alive by its own header", swap(plain, "Host:", "Connection: keep-alive\r\nHost:")},
		{"an empty query", swap(plain, "/check", "/check/%41?")},
		{"a longer path", swap(plain, "/check", "/check/a/b")},
		{"lines ahead of it", "\r\n" + plain},
		{"a body", sold},
		{"a body in one chunk", chunked(sold, "Transfer-Encoding: chunked\r\n\r\n4\r\na\r\nb\r\n0\r\n\r\n")},
		{"a body in chunks", chunked(sold, "Transfer-Encoding: Chunked\r\n\r\n1\r\na\r\n03\r\n\r\nb\r\n0\r\n\r\n")},
		{"no body, in chunks", chunked(sold, "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")},
		{"non-idempotent without a body", issueRequest("/issue", "1")},
		{"non-idempotent without a length", swap(issueRequest("/issue", "1"), "Content-Length: 0\r\n", "")},
	}
	for _, f := range forms {
		for _, way := range []string{"whole", "in two", "byte by byte", "slowly"} {
			t.Run(f.name+", "+way, func(t *testing.T) {
				t.Parallel()
				c, err := net.Dial("tcp", d.address)
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
				if status, body := readResponse(c); status != "HTTP/1.1 200 OK" || body != "valid\n" {
					t.Errorf("answered %q %q", status, body)
				}
			})
		}
	}
}

// TestMalformedRequests: a malformed request has a clear response, and never reaches a worker.
func TestMalformedRequests(t *testing.T) {
	d := deploy(t, 1, 5000)
	good := checkRequest("/check", "1")
	checkWith := func(from, to string) string { return strings.Replace(good, from, to, 1) }
	saleWith := func(from, to string) string { return strings.Replace(saleRequest("/sale", "1"), from, to, 1) }
	const bad = "HTTP/1.1 400 Bad Request"
	cases := []struct{ name, raw, status, wantBody string }{
		{"no id", checkWith("X-Request-Id: 1\r\n", ""), bad, "X-Request-Id"},
		{"two ids", checkWith("Host:", "X-Request-Id: 2\r\nHost:"), bad, "X-Request-Id"},
		{"no product", checkWith("/check", "/"), bad, "product"},
		{"unknown product", checkWith("/check", "/checks"), bad, "product"},
		{"no path", checkWith("/check", "*"), bad, "read"},
		{"wrong method", checkWith("GET", "DELETE"), bad, "method"},
		{"unknown plan", checkWith("basic", "gold"), bad, "Plan"},
		{"no plan", checkWith("Plan: basic\r\n", ""), bad, "Plan"},
		{"customer not a number", checkWith("b4d65521", "zzz"), bad, "key"},
		{"no cookie", checkWith("Cookie", "Kookie"), bad, "Cookie"},
		{"two keys", checkWith("Cookie: ", "Cookie: key=00000000b4d65520; "), bad, "key"},
		{"customer beyond 33 bits", checkWith("00000000b4d65521", "0000000200000000"), bad, "key"},
		{"customer too short", checkWith("00000000b4d65521", "b4d65521"), bad, "key"},
		{"id too long", checkWith("Id: 1", "Id: "+strings.Repeat("1", 65)), bad, "X-Request-Id"},
		{"id of two words", checkWith("Id: 1", "Id: 1 2"), bad, "X-Request-Id"},
		{"folded line", checkWith("Plan: basic", "Plan:\r\n basic"), bad, "head"},
		{"bare line end", checkWith("basic\r\n", "basic\n"), bad, "head"},
		{"read with a body", checkWith("Host:", "Content-Length: 2\r\nHost:") + "ab", bad, "body"},
		{"two lengths", saleWith("Content", "Content-Length: 4\r\nContent"), bad, "read"},
		{"length and coding", strings.TrimSuffix(
			saleWith("Host:", "Transfer-Encoding: chunked\r\nHost:"), "a\r\nb") +
			"0\r\n\r\n" + checkRequest("/check", "2"), bad, "together"},
		{"length and no coding", saleWith("Host:", "transfer-encoding: identity\r\nHost:"),
			bad, "together"},
		{"another hidden behind", checkWith("Plan", "Clan") + checkRequest("/check", "2"), bad, "Plan"},
		{"negative length", saleWith("Length: 4", "Length: -4"), bad, "read"},
		{"length beyond numbers", saleWith("Length: 4", "Length: 99999999999999999999"),
			bad, "read"},
		{"broken chunk", strings.Replace(saleRequest("/sale", "1"), "Content-Length: 4\r\n\r\n",
			"Transfer-Encoding: chunked\r\n\r\n4000\r\n"+strings.Repeat("x", 1<<14)+"\r\nzz\r\n", 1),
			bad, "read"},
		{"endless headers", checkWith("Host:", strings.Repeat("X-Pad: pad\r\n", 4000)+"Host:"),
			"HTTP/1.1 431 Request Header Fields Too Large", "head"},
		{"no unit of time", checkWith("300m", "300"), bad, "X-Deadline"},
		{"no time left", checkWith("300m", "0m"), bad, "X-Deadline"},
		{"infinite time", checkWith("300m", "infm"), bad, "X-Deadline"},
		{"time of other digits", checkWith("300m", "0x10m"), bad, "X-Deadline"},
		{"time beyond the largest", checkWith("300m", "3600001m"), bad, "X-Deadline"},
		{"units beyond the largest", checkWith("units=1", "units=2"), bad, "units"},
		{"spread beyond the gateways", checkWith("spread=1", "spread=2"), bad, "spread"},
		{"first beyond them", checkWith("first=0", "first=1"), bad, "first"},
		{"no units", checkWith("units=1,", ""), bad, "Quota-Info"},
		{"negative units", checkWith("units=1", "units=-1"), bad, "Quota-Info"},
		{"units not a number", checkWith("units=1", "units=NaN"), bad, "Quota-Info"},
		{"spread of a half", checkWith("spread=1", "spread=0.5"), bad, "Quota-Info"},
		{"units twice", checkWith("units=1", "units=1,units=2"), bad, "Quota-Info"},
		{"idempotent without a key", saleWith("Idempotency", "Other"), bad,
			"Idempotency-Key"},
		{"non-idempotent with a key", saleRequest("/issue", "1"), bad, "Idempotency-Key"},
		{"no HTTP", "hello\r\n\r\n", bad, "read"},
		{"body too long", saleWith("Length: 4", "Length: 60000000") +
			strings.Repeat("x", 8<<20), "HTTP/1.1 413 Request Entity Too Large", "too long"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, body := d.send(c.raw)
			if status != c.status || !strings.Contains(body, c.wantBody) {
				t.Errorf("answered %q %q, want %q with %q", status, body, c.status, c.wantBody)
			}
		})
	}
	t.Run("half a request", func(t *testing.T) {
		c, _ := net.Dial("tcp", d.address)
		fmt.Fprint(c, good[:40])
		c.Close()
	})
	t.Run("nothing sent in time", func(t *testing.T) {
		for _, part := range []string{"", good[:40]} {
			t.Run(fmt.Sprint(len(part)), func(t *testing.T) {
				t.Parallel()
				c, _ := net.Dial("tcp", d.address)
				defer c.Close()
				fmt.Fprint(c, part)
				c.SetDeadline(time.Now().Add(2900 * time.Millisecond))
				if b, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(b), "HTTP/1.1 408 ") {
					t.Errorf("got %q, %v", b, err)
				}
			})
		}
	})
	if got := d.submissions(); len(got) > 0 {
		t.Errorf("a worker got %q", got)
	}
	if status, _ := d.send(good); status != "HTTP/1.1 200 OK" {
		t.Errorf("after all that a valid one gets %q", status)
	}
}

// TestQuotaSpread: a spread that leaves this gateway out would give it a part of the quota that it does not
// have.
func TestQuotaSpread(t *testing.T) {
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
			raw := strings.Replace(checkRequest("/check", c.set), "spread=1,first=0", c.set, 1)
			raw = strings.Replace(raw, "Id: "+c.set, "Id: 1", 1)
			if status, body := d.send(raw); status != c.status {
				t.Errorf("answered %q %q, want %q", status, body, c.status)
			}
		})
	}
}

// TestDuplicateRequestID: the ID of a request in flight can't be used by another one.
func TestDuplicateRequestID(t *testing.T) {
	d := deploy(t, 1, 5000)
	statuses := make(chan string, 2)
	for i := range 2 {
		go func() {
			status, _ := d.send(checkRequest("/check?slow", "1"))
			statuses <- status
		}()
		time.Sleep(time.Duration(30*(1-i)) * time.Millisecond)
	}
	if s := <-statuses; s != "HTTP/1.1 409 Conflict" {
		t.Errorf("the second one gets %q", s)
	}
	if s := <-statuses; s != "HTTP/1.1 200 OK" || len(d.submissions()) != 1 {
		t.Errorf("the first one gets %q after %d submissions", s, len(d.submissions()))
	}
	if status, _ := d.send(checkRequest("/check", "1")); status != "HTTP/1.1 200 OK" {
		t.Errorf("after its request the ID gets %q", status)
	}
}

// TestWorkerFailures: how a worker fails an attempt decides what may follow. There is no retry that the
// policy did not decide on, and none at all where the request could run twice.
func TestWorkerFailures(t *testing.T) {
	const settled, declined, voided = "HTTP/1.1 200 OK", "HTTP/1.1 429 Too Many Requests",
		"HTTP/1.1 500 Internal Server Error"
	cases := []struct {
		name, raw, status string
		maxAttempts       int
	}{
		{"chunked response", checkRequest("/check?chunks", "1"), settled, 1},
		{"read, error", checkRequest("/check?fault", "2"), declined, 3},
		{"read, cut", checkRequest("/check?cut", "3"), declined, 3},
		{"read, cut short", checkRequest("/check?cutshort", "4"), declined, 3},
		{"read, corrupt response", checkRequest("/check?junk", "5"), declined, 3},
		{"read, response too long", checkRequest("/check?long", "6"), declined, 3},
		{"read, chunk too long", checkRequest("/check?longchunk", "7"), declined, 3},
		{"bytes after the response", checkRequest("/check?stray", "8"), settled, 1},
		{"interim responses first", checkRequest("/check?interim", "18"), settled, 1},
		{"corrupt load report", checkRequest("/check?report", "19"), settled, 1},
		{"read, endless interim responses", checkRequest("/check?interims", "20"), declined, 3},
		{"read, endless headers", checkRequest("/check?headless", "21"), declined, 3},
		{"read, status 000", checkRequest("/check?zero", "23"), declined, 3},
		{"read, status of four digits", checkRequest("/check?zeros", "24"), declined, 3},
		{"read, unsupported HTTP version", checkRequest("/check?old", "25"), declined, 3},
		{"ends with the connection", checkRequest("/check?cutnolong", "22"), settled, 1},
		{"read, no length and no end", checkRequest("/check?nolong", "26"), declined, 3},
		{"read, half the headers", checkRequest("/check?cutnothing", "9"), declined, 3},
		{"read, silence", checkRequest("/check?silence", "10"), declined, 3},
		{"idempotent, cut", saleRequest("/sale?cut", "11"), declined, 3},
		{"non-idempotent, error", issueRequest("/issue?fault", "12"), voided, 1},
		{"non-idempotent, cut", issueRequest("/issue?cut", "13"), voided, 1},
		{"non-idempotent, 503 that may have run", issueRequest("/issue?maybe", "14"), voided, 1},
		{"non-idempotent, silence", issueRequest("/issue?silence", "15"), voided, 1},
		{"non-idempotent, rejected", issueRequest("/issue?full", "16"), declined, 3},
		{"non-idempotent, negative length", issueRequest("/issue?negative", "17"), voided, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 2, 5000)
			start := time.Now()
			status, body := d.send(c.raw)
			if elapsed := time.Since(start); elapsed > 350*time.Millisecond {
				t.Errorf("answered after %v, past the deadline", elapsed)
			}
			if status != c.status || status == settled && body != "valid\n" {
				t.Errorf("answered %q %q, want %q", status, body, c.status)
			}
			time.Sleep(20 * time.Millisecond) // a retry would come at once
			if got := d.submissions(); len(got) > c.maxAttempts || len(got) < min(c.maxAttempts, 2) {
				t.Errorf("%d submissions, want %d, or one fewer on a slow machine", len(got), c.maxAttempts)
			}
			if b := inflight.Violations(); len(b) > 0 {
				t.Errorf("invariants violated: %v", b)
			}
		})
	}
}

// TestRetryAfterOnQuota: a rejection for quota says when to return.
func TestRetryAfterOnQuota(t *testing.T) {
	d := deploy(t, 1, 5000)
	tinyRequest := func(id string) string {
		return strings.Replace(checkRequest("/check", id), "basic", "tiny", 1)
	}
	for i := range 3 {
		c, err := net.Dial("tcp", d.address)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, tinyRequest(fmt.Sprint(i)))
		c.SetDeadline(time.Now().Add(time.Second))
		b := make([]byte, 4096)
		n, _ := c.Read(b)
		c.Close()
		declined := strings.HasPrefix(string(b[:n]), "HTTP/1.1 429")
		if declined != (i > 0) || declined && !strings.Contains(string(b[:n]), "\r\nRetry-After: ") {
			t.Errorf("request %d answered %q", i, b[:n])
		}
	}
}

// TestFollowEndpointUpdates: requests go to the workers that discovery's updates list, also after a corrupt
// update and a new watch.
func TestFollowEndpointUpdates(t *testing.T) {
	d := deploy(t, 2, 5000)
	if q := <-d.watchRequests; !strings.Contains(q, "stream=1&index=7 ") {
		t.Errorf("the watch requests %q, 7 was configured", q)
	}
	steps := []struct {
		name, news, wantRequest string // wantRequest: of the watch that is opened after it
		to                      []int
	}{
		{
			"one drains",
			`{"index":9,"snapshot":false,"endpoints":[` + d.endpointEntry(0, "leaving", 0) + `]}`,
			"",
			[]int{1},
		},
		{"after nonsense all is asked for", `{"index":no`, "index=0 ", []int{1}},
		{"the whole list", `{"index":11,"snapshot":true,"endpoints":[` + d.endpointEntry(0, "active", 0) + `]}`, "",
			[]int{0}},
		{"the watch ends and goes on", "end", "index=11 ", []int{0}},
		{"all are gone", `{"index":12,"snapshot":true,"endpoints":[]}`, "", nil},
	}
	for i, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			d.updates <- s.news
			if s.wantRequest != "" {
				if q := <-d.watchRequests; !strings.Contains(q, s.wantRequest) {
					t.Errorf("the watch requests %q, want %q", q, s.wantRequest)
				}
			}
			time.Sleep(50 * time.Millisecond)
			before := [2]int{d.workers[0].count(), d.workers[1].count()}
			for k := range 6 {
				d.send(checkRequest("/check", fmt.Sprint(i, "-", k)))
			}
			var to []int
			for w := range before {
				if d.workers[w].count() > before[w] {
					to = append(to, w)
				}
			}
			if fmt.Sprint(to) != fmt.Sprint(s.to) {
				t.Errorf("requests went to %v, want %v", to, s.to)
			}
		})
	}
}

// TestReload: a reload moves the watch to the new address, where it goes on from its version, also while the
// gateway stops. A configuration that can't be read changes nothing.
func TestReload(t *testing.T) {
	d := deploy(t, 2, 5000)
	<-d.watchRequests
	stop, reload, ended := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan error)
	files := make(chan error, 1)
	go func() {
		ended <- d.gateway.Run(stop, reload, func() (config.Gateway, error) {
			next := d.config
			next.DiscoveryAddress = d.startDiscovery()
			return next, <-files
		})
	}()
	news := func(version int, entry string) {
		time.Sleep(20 * time.Millisecond) // for the fake discovery to see that its watch was closed
		d.updates <- fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[%s]}`, version, entry)
		time.Sleep(50 * time.Millisecond)
	}
	files <- errors.New("listen is missing")
	reload <- syscall.SIGHUP
	news(8, d.endpointEntry(0, "leaving", 0))
	files <- nil
	reload <- syscall.SIGHUP
	if q := <-d.watchRequests; !strings.Contains(q, "stream=1&index=8 ") {
		t.Errorf("the moved watch requests %q, want it from 8 on", q)
	}
	news(9, d.endpointEntry(0, "active", 0)+","+d.endpointEntry(1, "leaving", 0))
	d.send(checkRequest("/check", "1"))
	if a, b := d.workers[0].count(), d.workers[1].count(); a != 1 || b != 0 {
		t.Errorf("%d and %d submissions after an update at the new address, want 1 and 0", a, b)
	}
	files <- nil
	stop <- syscall.SIGTERM
	reload <- syscall.SIGHUP
	if q := <-d.watchRequests; !strings.Contains(q, "index=9 ") {
		t.Errorf("while it stops the watch requests %q", q)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestReloadMixedDeploymentShapes: a configuration that mixes two shapes of deployment is rejected by its
// key, and the old one stays.
func TestReloadMixedDeploymentShapes(t *testing.T) {
	d := deploy(t, 1, 5000)
	<-d.watchRequests
	var log strings.Builder
	d.gateway.log = zerolog.New(&log)
	mixed := strings.Replace(settings, `"largest":1`, `"largest":1,"use_period_us":1000000`, 1)
	d.gateway.Reload(config.Decode([]byte(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":`+
		strings.Replace(mixed, "IDLE", "1", 1)+`}`), func(string) string { return "" }))
	if !strings.Contains(log.String(), "settings.family_info.use_period_us") ||
		!strings.Contains(log.String(), "the old one stays") ||
		d.gateway.config.DiscoveryAddress != d.config.DiscoveryAddress {
		t.Errorf("discovery is %s now, and the log says %s", d.gateway.config.DiscoveryAddress, log.String())
	}
}

// TestLoadInAnswers: a worker's load report is used where the settings announce it; an invalid one is not.
func TestLoadInAnswers(t *testing.T) {
	const announced = `"report":{"how":"answers","fields":["concurrent"]},"family_info"`
	cases := []struct {
		name, as, load string
		maxRequests    int // of 200, at the worker with that load report
	}{
		{"busy", announced, `{"inflight":90,"queue":80}`, 75},
		{"busy by its utilization", announced, `{"util":0.97}`, 75},
		{"not announced", `"family_info"`, `{"inflight":90}`, 200},
		{"unreadable", announced, `{"inflight":90,"queue":[}`, 200},
		{"negative", announced, `{"inflight":-90}`, 200},
		{"not a number", announced, `{"inflight":"90"}`, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 2, 5000, `"family_info"`, c.as)
			d.workers[0].loadReport, d.workers[1].loadReport = c.load, `{"inflight":0}`
			for i := range 200 {
				if status, _ := d.send(checkRequest("/check", fmt.Sprint(i))); status != "HTTP/1.1 200 OK" {
					t.Fatal(status)
				}
			}
			if n := d.workers[0].count(); n > c.maxRequests || c.maxRequests == 200 && n < 76 {
				t.Errorf("%d of 200 requests went there", n)
			}
		})
	}
}

// TestIdleWorkerConnections: an idle connection to a worker is reused, and closed ahead of the worker's
// limit.
func TestIdleWorkerConnections(t *testing.T) {
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
				d.send(checkRequest("/check", fmt.Sprint(i)))
				time.Sleep(45 * time.Millisecond)
			}
			if n := d.workers[0].connections; n != c.dials {
				t.Errorf("%d connections, want %d", n, c.dials)
			}
		})
	}
}

// TestStalledResponse: a response that stalls is cut well before the deadline, and never served in part.
func TestStalledResponse(t *testing.T) {
	d := deploy(t, 1, 5000)
	start := time.Now()
	status, body := d.send(strings.Replace(issueRequest("/issue?stall", "1"), "300m", "3000m", 1))
	elapsed := time.Since(start)
	if status != "HTTP/1.1 500 Internal Server Error" || body != "" || elapsed > 1500*time.Millisecond {
		t.Errorf("answered %q %q after %v", status, body, elapsed)
	}
}

// TestSilentWorker: requests of a worker that falls silent are answered by others, as far as the settings
// allow. One that is given up while its attempt may not be cancelled is answered all the same, and nothing
// is sent for it afterwards.
func TestSilentWorker(t *testing.T) {
	const settled, declined = "HTTP/1.1 200 OK", "HTTP/1.1 429 Too Many Requests"
	cases := []struct {
		name   string
		swaps  []string
		status string
	}{
		{"cancelled and retried", nil, settled},
		{"hedged", []string{`"cancel":true`, `"may_duplicate":true`}, settled},
		{"hedged, cancelled at the end", []string{`"cancel"`, `"may_duplicate":true,"cancel"`}, settled},
		{"neither", []string{`"cancel":true`, `"cancel":false`}, declined},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 2, 5000, c.swaps...)
			d.workers[0].silent = true
			d.workers[1].silent = c.status == declined
			const requests = 3
			for i := range requests {
				raw := strings.Replace(checkRequest("/check", fmt.Sprint(i)), "300m", "600m", 1)
				if status, _ := d.send(raw); status != c.status {
					t.Errorf("request %d: %q, want %q", i, status, c.status)
				}
			}
			before := len(d.submissions())
			time.Sleep(50 * time.Millisecond)
			if n := len(d.submissions()); n != before || d.workers[0].count() > requests {
				t.Errorf("%d submissions after the last answer, %d to the silent one", n-before,
					d.workers[0].count())
			}
			if b := inflight.Violations(); len(b) > 0 {
				t.Errorf("invariants violated: %v", b)
			}
		})
	}
}

// TestRestartedWorkerConnection: a connection that was in use while its worker restarted is not used for the
// new process.
func TestRestartedWorkerConnection(t *testing.T) {
	d := deploy(t, 1, 5000)
	answered := make(chan string)
	go func() {
		status, _ := d.send(checkRequest("/check?slow", "1"))
		answered <- status
	}()
	time.Sleep(40 * time.Millisecond)
	d.updates <- `{"index":9,"snapshot":false,"endpoints":[` + d.endpointEntry(0, "active", 5) + `]}`
	if status := <-answered; status != "HTTP/1.1 200 OK" {
		t.Errorf("the request in flight gets %q", status)
	}
	d.send(checkRequest("/check", "2"))
	d.workers[0].mu.Lock()
	defer d.workers[0].mu.Unlock()
	if d.workers[0].connections != 2 {
		t.Errorf("%d connections, want a new one for the new process", d.workers[0].connections)
	}
}

// TestClientDisconnects: a client that disconnects is noticed, and its attempt cancelled.
func TestClientDisconnects(t *testing.T) {
	d := deploy(t, 1, 5000)
	c, _ := net.Dial("tcp", d.address)
	fmt.Fprint(c, strings.Replace(checkRequest("/check?silence", "1"), "300m", "30000m", 1))
	time.Sleep(20 * time.Millisecond)
	if n := d.gateway.dispatcher.Tally(); n.InFlight != 1 {
		t.Fatalf("%v attempts in flight", n.InFlight)
	}
	c.Close()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if n := d.gateway.dispatcher.Tally(); n.InFlight == 0 && n.FinalByReason[policy.ReasonClientGone] == 1 {
			return
		}
	}
	t.Errorf("it goes on: %+v", d.gateway.dispatcher.Tally())
}

// TestStop: accepted requests are answered, open connections are served for a while, then all ends.
func TestStop(t *testing.T) {
	d := deploy(t, 1, 5000)
	keptConn, _ := net.Dial("tcp", d.address)
	fmt.Fprint(keptConn, checkRequest("/check", "0"))
	readResponse(keptConn)
	slow, _ := net.Dial("tcp", d.address)
	late := strings.Replace(issueRequest("/issue?silence", "1"), "300m", "900m", 1)
	fmt.Fprint(slow, late)
	time.Sleep(20 * time.Millisecond)
	done := make(chan bool)
	go func() {
		d.gateway.Stop()
		close(done)
	}()
	time.Sleep(200 * time.Millisecond)
	if status, _ := d.send(checkRequest("/check", "2")); status != "HTTP/1.1 200 OK" {
		t.Errorf("a new connection while it stops gets %q", status)
	}
	fmt.Fprint(keptConn, checkRequest("/check", "3"))
	if status, _ := readResponse(keptConn); status != "HTTP/1.1 200 OK" {
		t.Errorf("an open connection while it stops gets %q", status)
	}
	if _, err := keptConn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("an open connection ends with %v", err)
	}
	if status, _ := readResponse(slow); status != "HTTP/1.1 500 Internal Server Error" {
		t.Errorf("the request accepted before gets %q", status)
	}
	select {
	case <-done:
	case <-time.After(3 * time.Second):
		t.Fatal("the gateway does not stop")
	}
	if _, err := net.Dial("tcp", d.address); err == nil {
		t.Error("it still accepts connections")
	}
}

// TestStopUnderTraffic: clients that go on sending on every open connection have all their requests
// answered. Each connection ends with a response that announces it, before a request could come that SIGKILL
// would leave unanswered.
func TestStopUnderTraffic(t *testing.T) {
	const clients = 8
	d := deploy(t, 1, 5000)
	stopTimes := make(chan time.Time)
	type outcome struct {
		settled, declined int
		end               time.Duration // after the stop
		announced         bool          // by the response's Connection header
		err               string
	}
	outcomes := make(chan outcome, clients)
	var started sync.WaitGroup
	for i := range clients {
		started.Add(1)
		go func() {
			c, err := net.Dial("tcp", d.address)
			if err != nil {
				panic(err)
			}
			defer c.Close()
			r, result := bufio.NewReader(c), outcome{}
			for last := time.Now(); ; last = time.Now() {
				time.Sleep(time.Duration(5+4*i) * time.Millisecond)
				gap := time.Since(last)
				c.SetDeadline(time.Now().Add(3 * time.Second))
				fmt.Fprint(c, checkRequest("/check", fmt.Sprint(i, "-", result.settled+result.declined)))
				res, err := http.ReadResponse(r, nil)
				if err != nil { // a client that stalled itself may cross an idle connection's end
					if gap < 100*time.Millisecond {
						result.err = err.Error()
					}
					break
				}
				_, err = io.Copy(io.Discard, res.Body)
				switch {
				case err == nil && res.StatusCode == 200:
					result.settled++
				case err == nil && res.StatusCode == 429: // so many at once overload a single worker
					result.declined++
				default:
					result.err = fmt.Sprint(res.StatusCode, err)
				}
				if result.settled+result.declined == 1 {
					started.Done()
				}
				if result.announced = res.Close; result.announced {
					break
				}
			}
			result.end = time.Since(<-stopTimes)
			outcomes <- result
		}()
	}
	started.Wait()
	stopped := time.Now()
	go func() {
		for range clients {
			stopTimes <- stopped
		}
	}()
	d.gateway.Stop()
	elapsed, settled := time.Since(stopped), 0
	for range clients {
		result := <-outcomes
		if settled += result.settled; result.err != "" {
			t.Errorf("closed after %v, by a response %v: %s", result.end, result.announced, result.err)
		}
	}
	if n := d.workers[0].count(); n != settled {
		t.Errorf("%d requests reached a worker, %d were settled", n, settled)
	}
	if elapsed > 2*time.Second {
		t.Errorf("stopped after %v", elapsed)
	}
}

// TestStopDuringResponse: a connection ends behind a response that had begun before the stop, and so did not
// announce the end.
func TestStopDuringResponse(t *testing.T) {
	const halfBytes = 64 << 10
	proceed := make(chan bool)
	d := deployBeforeHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(2*halfBytes))
		w.Write(testBody(halfBytes))
		w.(http.Flusher).Flush()
		<-proceed
		w.Write(testBody(halfBytes))
	})
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(4 * time.Second))
	fmt.Fprint(c, strings.Replace(checkRequest("/check", "1"), "300m", "3000m", 1))
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	if err != nil || res.Close {
		t.Fatalf("answered %+v, %v", res, err)
	}
	stopped := make(chan bool)
	go func() {
		d.gateway.Stop()
		close(stopped)
	}()
	waitFor(t, "the stop does not begin", func() bool { return d.gateway.frontend.Closing() })
	close(proceed)
	if n, err := io.Copy(io.Discard, res.Body); n != 2*halfBytes || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the response: %v", err)
	}
	select {
	case <-stopped:
	case <-time.After(3 * time.Second):
		t.Error("the stop does not end")
	}
}
