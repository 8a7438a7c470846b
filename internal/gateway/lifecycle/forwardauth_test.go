package lifecycle

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/testkit/fakes"
)

// askedConfig is the operator file's table for the auth server; askingConfig makes that for the authorizer.
const askedConfig = "[asked]\nlisten = \"127.0.0.1:1\"\ntrusted = [\"127.0.0.0/8\"]\n" +
	"life_ms = 300\nremember_s = 30\nconnections = 8\n"

func askingConfig(auth *fakes.Auth, more string) string {
	return fmt.Sprintf("[asking]\nservice = %q\nlimit_ms = 200\nshare = 0.6\nconnections = 12\n%s\n", auth.Addr,
		more)
}

// deployForwardAuth enables forward authentication by an operator file's text, before one worker.
func deployForwardAuth(t *testing.T, text string, swaps ...string) *deployment {
	t.Helper()
	return deployWith(t, forwardAuthConfig(t, text), 1, 5000, swaps...)
}

func forwardAuthConfig(t *testing.T, text string) func(c *config.Gateway) {
	t.Helper()
	return func(c *config.Gateway) {
		f, err := config.DecodeForwardAuth(text, c)
		if err != nil {
			t.Fatal(err)
		}
		if f.Server != nil {
			f.Server.ListenAddress = "127.0.0.1:0"
		}
		c.ForwardAuth = f
	}
}

func newAuthService(t *testing.T) *fakes.Auth {
	t.Helper()
	a, err := fakes.NewAuth(0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// authRequest is the request that a proxy sends to the auth server on behalf of a client's request.
func authRequest(raw string) string {
	head, _, _ := strings.Cut(raw, "\r\n\r\n")
	first, rest, _ := strings.Cut(head, "\r\n")
	w := strings.Fields(first)
	var headers []string
	for _, line := range strings.Split(rest, "\r\n") {
		if !strings.HasPrefix(line, "Content-Length") {
			headers = append(headers, line)
		}
	}
	return "GET /auth HTTP/1.1\r\nX-Forwarded-Method: " + w[0] + "\r\nX-Forwarded-Uri: " + w[1] +
		"\r\nX-Forwarded-For: 192.0.2.7\r\nX-Forwarded-Proto: https\r\nX-Forwarded-Host: sales.example\r\n" +
		strings.Join(headers, "\r\n") + "\r\n\r\n"
}

// withHeader inserts a header line into a request.
func withHeader(raw, line string) string { return strings.Replace(raw, "\r\n", "\r\n"+line+"\r\n", 1) }

// TestClearanceUsedOnce: a clearance reserves quota once, and its request runs once, whoever clears or sends
// it again. A clearance that is not used returns its quota; a rejection says when to return, and that is
// true.
func TestClearanceUsedOnce(t *testing.T) {
	d := deployForwardAuth(t, askedConfig, `{"name":"tiny","rate":0.1,"most_at_once":1`,
		`{"name":"tiny","rate":2,"most_at_once":2`)
	at := d.gateway.authServer.Addr()
	tinyRequest := func(id string) string {
		return strings.Replace(issueRequest("/issue", id), "basic", "tiny", 1)
	}
	for range 2 { // by two proxies
		if r := roundTrip(t, at, authRequest(tinyRequest("t1"))); r.StatusCode != 200 {
			t.Fatalf("cleared: %v", r.Status)
		}
	}
	if n := len(d.submissions()); n != 0 {
		t.Fatalf("%d submissions for a clearance", n)
	}
	if r := roundTrip(t, d.address, tinyRequest("t1")); r.StatusCode != 200 {
		t.Fatalf("the cleared request: %v", r.Status)
	}
	for _, again := range []string{roundTrip(t, d.address, tinyRequest("t1")).Status,
		roundTrip(t, at, authRequest(tinyRequest("t1"))).Status} {
		if !strings.HasPrefix(again, "409") {
			t.Errorf("the request again: %s", again)
		}
	}
	if n := len(d.submissions()); n != 1 {
		t.Errorf("it ran %d times", n)
	}
	if r := roundTrip(t, at, authRequest(tinyRequest("t2"))); r.StatusCode != 200 {
		t.Fatalf("the second of two units: %v", r.Status)
	}
	r := roundTrip(
		t,
		at,
		authRequest(tinyRequest("t3")),
	) // one unit is spent and one reserved: no more until one is returned
	var wait float64
	if fmt.Sscan(r.Header.Get("Retry-After"), &wait); r.StatusCode != 429 || !(wait > 0) {
		t.Fatalf("beyond the quota: %v, Retry-After %v", r.Status, wait)
	}
	time.Sleep(time.Duration(wait*1000+20) * time.Millisecond)
	if r := roundTrip(t, at, authRequest(tinyRequest("t3"))); r.StatusCode != 200 {
		t.Errorf("after %v s: %v", wait, r.Status)
	}
	waitFor(t, "clearances do not expire", func() bool { return d.stat("asked.marks") <= 1 })
	waitFor(t, "two clearances do not expire", func() bool {
		return d.gateway.dispatcher.Tally().FinalByReason[7] == 2
	})
	if r := roundTrip(
		t,
		d.address,
		tinyRequest("t2"),
	); r.StatusCode != 200 { // without a clearance, which has expired
		t.Errorf("after its clearance: %v", r.Status)
	}
}

// TestClearanceMismatch: a request with the ID of a clearance, but another customer, class or size, is
// rejected by both servers, and nothing is counted for it.
func TestClearanceMismatch(t *testing.T) {
	d := deployForwardAuth(t, askedConfig)
	at := d.gateway.authServer.Addr()
	if r := roundTrip(t, at, authRequest(issueRequest("/issue", "x"))); r.StatusCode != 200 {
		t.Fatal(r.Status)
	}
	for _, other := range []string{strings.Replace(issueRequest("/issue", "x"), "b4d65521", "b4d65522", 1),
		strings.Replace(issueRequest("/issue", "x"), "units=1", "units=0.5", 1), checkRequest("/check", "x")} {
		if r := roundTrip(t, at, authRequest(other)); r.StatusCode != 409 {
			t.Errorf("cleared with other data: %v", r.Status)
		}
		if r := roundTrip(t, d.address, other); r.StatusCode != 409 {
			t.Errorf("the request with other data: %v", r.Status)
		}
	}
	if n := d.gateway.dispatcher.Tally().Customers; n != 1 || len(d.submissions()) != 0 {
		t.Errorf("%d customers, %d submissions", n, len(d.submissions()))
	}
	if r := roundTrip(
		t,
		d.address,
		issueRequest("/issue", "x"),
	); r.StatusCode != 200 ||
		len(d.submissions()) != 1 {
		t.Errorf("the cleared request: %v, %d submissions", r.Status, len(d.submissions()))
	}
}

// TestClearanceRequired: only trusted proxies may ask for clearances, and a class may be reserved for
// requests that have one. Of several gateways exactly one clears each request ID.
func TestClearanceRequired(t *testing.T) {
	d := deployForwardAuth(t, strings.Replace(askedConfig, "127.0.0.0/8", "192.0.2.0/24", 1))
	if r := roundTrip(
		t,
		d.gateway.authServer.Addr(),
		authRequest(checkRequest("/check", "1")),
	); r.StatusCode != 403 ||
		d.stat("asked.stranger") != 1 {
		t.Errorf("an untrusted proxy's request: %v", r.Status)
	}
	d = deployForwardAuth(
		t,
		askedConfig+"cleared_only = [\"issue\"]\nno_status = 403\n",
		`"balancers":1`,
		`"balancers":2`,
	)
	two := func(raw string) string { return strings.Replace(raw, "spread=1", "spread=2", 1) }
	if r := roundTrip(t, d.address, two(issueRequest("/issue", "1"))); r.StatusCode != 403 {
		t.Errorf("it was not cleared: %v", r.Status)
	}
	if r := roundTrip(t, d.address, two(checkRequest("/check", "2"))); r.StatusCode != 200 {
		t.Errorf("another class: %v", r.Status)
	}
	here, there := 0, 0
	for i := range 40 {
		raw := authRequest(two(issueRequest("/issue", fmt.Sprint("m", i))))
		switch r := roundTrip(t, d.gateway.authServer.Addr(), raw); r.StatusCode {
		case 200:
			here++
		case 421:
			there++
			if r.Header.Get("X-Clear-At") != "1" {
				t.Errorf("the other gateway is %q", r.Header.Get("X-Clear-At"))
			}
		default:
			t.Errorf("request %d: %v", i, r.Status)
		}
	}
	if here < 8 || there < 8 {
		t.Errorf("%d are cleared here and %d elsewhere", here, there)
	}
}

// TestAuthorizerVerdicts: the authorization service's verdict decides. A grant goes on, a denial is passed
// on, and any other response means "retry later", for a request that was never sent. The service receives
// the gateway's headers about the original request, not the client's.
func TestAuthorizerVerdicts(t *testing.T) {
	auth := newAuthService(t)
	auth.SetAuthorizer(func(c string) (int, map[string]string) {
		switch c {
		case "good":
			return 200, nil
		case "busy":
			return 429, map[string]string{"Retry-After": "1.5"}
		case "lost":
			return 404, nil
		}
		return 401, map[string]string{"WWW-Authenticate": "Bearer", "X-Inner": "secret"}
	})
	d := deployForwardAuth(t, askingConfig(auth, `copy = ["WWW-Authenticate"]`+"\nopen = [\"check\"]"))
	as := func(raw, c string) string { return withHeader(raw, "Authorization: "+c) }
	forged := withHeader(as(issueRequest("/issue", "1"), "good"), "X-Forwarded-For: 10.9.8.7")
	if r := roundTrip(t, d.address, forged); r.StatusCode != 200 {
		t.Errorf("a grant: %v", r.Status)
	}
	if got := auth.Received(); len(got) != 1 || got[0].For != "127.0.0.1" || got[0].Target != "/issue" ||
		got[0].Method != "POST" {
		t.Errorf("the service was asked %+v", got)
	}
	r := roundTrip(t, d.address, as(issueRequest("/issue", "2"), "evil"))
	if r.StatusCode != 401 || r.Header.Get("WWW-Authenticate") != "Bearer" || r.Header.Get("X-Inner") != "" {
		t.Errorf("a denial: %v %v", r.Status, r.Header)
	}
	if r = roundTrip(t, d.address, issueRequest("/issue", "3")); r.StatusCode != 401 {
		t.Errorf("without a credential: %v", r.Status)
	}
	if r = roundTrip(t, d.address, as(issueRequest("/issue", "4"), "busy")); r.StatusCode != 429 ||
		r.Header.Get("Retry-After") != "1.500" {
		t.Errorf("a busy service: %v %v", r.Status, r.Header)
	}
	if r = roundTrip(t, d.address, as(issueRequest("/issue", "5"), "lost")); r.StatusCode != 429 {
		t.Errorf("a service without a verdict: %v", r.Status)
	}
	if r = roundTrip(t, d.address, as(checkRequest("/check", "6"), "lost")); r.StatusCode != 200 {
		t.Errorf("a class that needs no verdict: %v", r.Status)
	}
	if r = roundTrip(
		t,
		d.address,
		withHeader(as(issueRequest("/issue", "7"), "good"), "Authorization: evil"),
	); r.StatusCode != 400 {
		t.Errorf("two credentials: %v", r.Status)
	}
	if n := len(d.submissions()); n != 2 {
		t.Errorf("%d submissions", n)
	}
	if t := d.gateway.dispatcher.Tally(); t.FinalByReason[0] != 2 {
		d.t.Errorf("tally %+v", t)
	}
}

// TestAuthorizerNamesCustomer: the service may name the customer of a request that does not, and has to
// agree with one that does.
func TestAuthorizerNamesCustomer(t *testing.T) {
	auth := newAuthService(t)
	auth.SetAuthorizer(func(c string) (int, map[string]string) {
		return 200, map[string]string{"X-Customer": c}
	})
	d := deployForwardAuth(t, askingConfig(auth, `customer = "X-Customer"`))
	as := func(raw, c string) string { return withHeader(raw, "Authorization: "+c) }
	nameless := strings.Replace(issueRequest("/issue", "1"), "Cookie: key=00000000b4d65521\r\n", "", 1)
	for i, c := range []struct {
		raw    string
		status int
	}{{as(issueRequest("/issue", "a"), "00000000b4d65521"), 200},
		{as(issueRequest("/issue", "b"), "00000000b4d65522"), 403},
		{as(nameless, "00000000b4d65523"), 200}, {as(issueRequest("/issue", "c"), "who?"), 429}} {
		if r := roundTrip(t, d.address, c.raw); r.StatusCode != c.status {
			t.Errorf("case %d: %v", i, r.Status)
		}
	}
	if n := len(d.submissions()); n != 2 {
		t.Errorf("%d submissions", n)
	}
}

// TestAuthServiceFaults: the service fails past the client's deadline, in each way. Each request has one
// response, in its client's time, nothing is sent, its quota is returned, and the circuit breaker leaves the
// service alone for a while.
func TestAuthServiceFaults(t *testing.T) {
	auth := newAuthService(t)
	d := deployForwardAuth(t, askingConfig(auth, "[asking.breaker]\nafter = 7\npause_ms = 150\nmost_ms = 150"))
	for i, f := range []fakes.Fault{fakes.Stalls, fakes.Silent, fakes.Errs, fakes.Cuts,
		fakes.Garbage, fakes.HalfHead, fakes.Full} {
		auth.SetFault(f)
		from := time.Now()
		r := roundTrip(
			t,
			d.address,
			withHeader(issueRequest("/issue", fmt.Sprint("s", i)), fmt.Sprint("Authorization: c", i)),
		)
		if elapsed := time.Since(from); r.StatusCode != 429 || r.Header.Get("Retry-After") == "" ||
			elapsed > 280*time.Millisecond {
			t.Errorf("fault %d: %v after %v", f, r.Status, elapsed)
		}
	}
	auth.SetFault(fakes.Silent)
	roundTrip(t, d.address, withHeader(issueRequest("/issue", "s8"), "Authorization: c8"))
	time.Sleep(60 * time.Millisecond) // the authorization outlives the request
	before := len(auth.Received())
	from := time.Now()
	if r := roundTrip(
		t,
		d.address,
		withHeader(issueRequest("/issue", "s9"), "Authorization: c9"),
	); r.StatusCode != 429 ||
		time.Since(from) > 50*time.Millisecond ||
		len(auth.Received()) != before {
		t.Errorf("with the breaker open: %v after %v", r.Status, time.Since(from))
	}
	auth.SetFault(fakes.None)
	waitFor(t, "the service is not requested again", func() bool {
		r := roundTrip(
			t,
			d.address,
			withHeader(issueRequest("/issue", fmt.Sprint("u", time.Now().UnixNano())), "Authorization: c9"),
		)
		return r.StatusCode == 200
	})
	if n := len(d.submissions()); n != 1 {
		t.Errorf("%d submissions", n)
	}
	d.checkIdle()
}

// checkIdle checks that nothing stays reserved once all requests are answered.
func (d *deployment) checkIdle() {
	d.t.Helper()
	waitFor(d.t, "requests stay in flight", func() bool {
		return d.gateway.dispatcher.Tally().InFlight == 0 && d.gateway.frontend.ActiveRequests() == 0
	})
	r := roundTrip(
		d.t,
		d.address,
		strings.Replace(checkRequest("/check", fmt.Sprint("free", time.Now().UnixNano())), "Host:",
			"Authorization: good\r\nHost:", 1),
	)
	if r.StatusCode != 200 {
		d.t.Errorf("afterwards: %v", r.Status)
	}
}

// TestLateAuthorization: the service grants a request whose client has given up. Nothing is sent, and the
// quota is returned.
func TestLateAuthorization(t *testing.T) {
	auth := newAuthService(t)
	auth.SetServiceTime(120 * time.Millisecond)
	d := deployForwardAuth(t, askingConfig(auth, ""), `{"name":"tiny","rate":0.1,"most_at_once":1`,
		`{"name":"tiny","rate":0.1,"most_at_once":2`)
	tinyRequest := func(id string) string {
		return withHeader(strings.Replace(issueRequest("/issue", id), "basic", "tiny", 1), "Authorization: c")
	}
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, tinyRequest("1"))
	time.Sleep(40 * time.Millisecond)
	c.Close()
	waitFor(t, "the disconnect is not noticed", func() bool { return d.gateway.frontend.ActiveRequests() == 0 })
	time.Sleep(150 * time.Millisecond) // the grant has arrived
	if n := len(d.submissions()); n != 0 || len(auth.Received()) != 1 {
		t.Fatalf("%d submissions for a client that had left, %d authorizations", n, len(auth.Received()))
	}
	if r := roundTrip(
		t,
		d.address,
		tinyRequest("2"),
	); r.StatusCode != 200 ||
		len(auth.Received()) != 1 { // the grant is cached now
		t.Errorf("with the returned quota: %v", r.Status)
	}
}

// TestAuthorizationDisconnectRace: the grant and the client's disconnect come at about the same instant.
// Each non-idempotent request runs once at most, each client that stays has one response, and nothing stays
// in flight.
func TestAuthorizationDisconnectRace(t *testing.T) {
	auth := newAuthService(t)
	auth.SetServiceTime(20 * time.Millisecond)
	d := deployForwardAuth(t, askingConfig(auth, "yes_s = 0"))
	rng := rand.New(rand.NewSource(1))
	var clients sync.WaitGroup
	for i := range 200 {
		wait := time.Duration(15+rng.Intn(12)) * time.Millisecond
		stays := rng.Intn(3) == 0
		clients.Add(1)
		go func() {
			defer clients.Done()
			c, err := net.Dial("tcp", d.address)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			fmt.Fprint(c, withHeader(issueRequest("/issue", fmt.Sprint("r", i)), fmt.Sprint("Authorization: c", i)))
			if !stays {
				time.Sleep(wait)
				return
			}
			c.SetDeadline(time.Now().Add(2 * time.Second))
			r := bufio.NewReader(c)
			if _, err := http.ReadResponse(r, nil); err != nil {
				t.Errorf("no answer: %v", err)
			}
		}()
		time.Sleep(time.Millisecond)
	}
	clients.Wait()
	waitFor(t, "requests stay in flight", func() bool { return d.gateway.frontend.ActiveRequests() == 0 })
	seen := map[string]bool{}
	for _, raw := range d.submissions() {
		_, id, _ := strings.Cut(raw, "X-Request-Id: ")
		id, _, _ = strings.Cut(id, "\r\n")
		if seen[id] {
			t.Errorf("%s ran twice", id)
		}
		seen[id] = true
	}
	if len(seen) < 40 {
		t.Errorf("only %d ran", len(seen))
	}
}

// TestForwardAuthAtReplacement: a successor takes over with clearances given and authorizations in flight. A
// cleared request is accepted once, one that was used is not accepted again, and an authorization in flight
// is answered.
func TestForwardAuthAtReplacement(t *testing.T) {
	auth := newAuthService(t)
	d, change := deployWithInheritedListener(t)
	text := strings.Replace(
		askedConfig,
		"life_ms = 300",
		"life_ms = 9000",
		1,
	) + askingConfig(
		auth,
		`products = ["sale"]`,
	)
	both := func(c *config.Gateway) {
		change(c)
		forwardAuthConfig(t, text)(c)
	}
	first := d.startSuccessor(both) // the deployment's own has no auth server
	d.gateway.Stop()
	waitFor(t, "no auth server", func() bool { return first.authServer.Addr() != "" })
	for _, id := range []string{"used", "kept"} {
		if r := roundTrip(t, first.authServer.Addr(), authRequest(issueRequest("/issue", id))); r.StatusCode != 200 {
			t.Fatal(r.Status)
		}
	}
	if r := roundTrip(t, d.address, issueRequest("/issue", "used")); r.StatusCode != 200 {
		t.Fatal(r.Status)
	}
	auth.SetServiceTime(100 * time.Millisecond)
	busyConn, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer busyConn.Close()
	fmt.Fprint(busyConn, withHeader(saleRequest("/sale", "busy"), "Authorization: good"))
	time.Sleep(20 * time.Millisecond)
	second := d.startSuccessor(both)
	first.Stop()
	if status, _ := readResponse(busyConn); status != "HTTP/1.1 200 OK" {
		t.Errorf("an authorization in flight: %q", status)
	}
	waitFor(t, "the successor has no auth server", func() bool { return second.authServer.Addr() != "" })
	at := second.authServer.Addr()
	if r := roundTrip(t, at, authRequest(issueRequest("/issue", "used"))); r.StatusCode != 409 {
		t.Errorf("used before: %v", r.Status)
	}
	if r := roundTrip(t, at, authRequest(issueRequest("/issue", "kept"))); r.StatusCode != 200 {
		t.Errorf("cleared before: %v", r.Status)
	}
	for i, want := range []int{200, 409} {
		if r := roundTrip(t, d.address, issueRequest("/issue", "kept")); r.StatusCode != want {
			t.Errorf("the cleared request, %d: %v", i, r.Status)
		}
	}
	second.Reload(config.Gateway{}, errors.New("none"))
	if n := len(d.submissions()); n != 3 {
		t.Errorf("%d submissions", n)
	}
}

// TestForwardAuthWhileDraining drains and reloads with authorizations in flight: all are answered, and new
// requests are still authorized.
func TestForwardAuthWhileDraining(t *testing.T) {
	auth := newAuthService(t)
	auth.SetServiceTime(60 * time.Millisecond)
	d := deployForwardAuth(t, askedConfig+askingConfig(auth, ""))
	answers := make(chan string, 8)
	for i := range 4 {
		go func() {
			status, _ := d.send(
				withHeader(issueRequest("/issue", fmt.Sprint("d", i)), fmt.Sprint("Authorization: d", i)),
			)
			answers <- status
		}()
	}
	time.Sleep(20 * time.Millisecond)
	d.gateway.Quiesce()
	d.gateway.Reload(d.config, nil)
	if r := roundTrip(
		t,
		d.gateway.authServer.Addr(),
		authRequest(issueRequest("/issue", "p")),
	); r.StatusCode != 200 {
		t.Errorf("a clearance meanwhile: %v", r.Status)
	}
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal)
	stop <- syscall.SIGTERM
	ended := make(chan error, 1)
	go func() {
		ended <- d.gateway.Run(stop, reload, func() (config.Gateway, error) { return d.config, nil })
	}()
	if r := roundTrip(t, d.address, issueRequest("/issue", "p")); r.StatusCode != 200 {
		t.Errorf("the cleared request: %v", r.Status)
	}
	for range 4 {
		if s := <-answers; s != "HTTP/1.1 200 OK" {
			t.Errorf("answered %q", s)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
