package lifecycle

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/policy"
)

// deployWithAdmin is a deployment with an admin server.
func deployWithAdmin(t *testing.T) *deployment {
	t.Helper()
	return deployWith(t, func(c *config.Gateway) { c.AdminAddress = "127.0.0.1:0" }, 1, 5000)
}

// callAdmin sends a request line to the admin server, and gives the response as it is on the wire.
func (d *deployment) callAdmin(line string) string {
	d.t.Helper()
	c, err := net.Dial("tcp", d.gateway.adminServer.Address)
	if err != nil {
		d.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(c, line+" HTTP/1.1\r\nHost: ops\r\n\r\n")
	b, err := io.ReadAll(c)
	if err != nil {
		d.t.Errorf("%s: %v", line, err)
	}
	return string(b)
}

// TestStats checks the stats for requests, attempts and workers.
func TestStats(t *testing.T) {
	d := deployWithAdmin(t)
	tinyRequest := strings.Replace(checkRequest("/check", "t1"), "basic", "tiny", 1)
	for i, raw := range []string{checkRequest("/check", "a"), saleRequest("/sale", "b"),
		issueRequest("/issue?fault", "c"), tinyRequest,
		strings.Replace(tinyRequest, "t1", "t2", 1), checkRequest("/check", ""),
		"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"} {
		if status, _ := d.send(raw); status == "" {
			t.Errorf("no answer to %d", i)
		}
	}
	time.Sleep(2 * time.Millisecond * policy.StatsRefreshMillis)
	got := d.callAdmin("GET /admin/stats")
	for _, want := range []string{"svc.ok.check=2\n", "svc.shed.check=1\n", "svc.errors.check=0\n",
		"svc.ok.sale=1\n", "svc.errors.issue=1\n", fmt.Sprintf("svc.tries=%d\n", len(d.submissions())),
		"svc.active=0\n", "svc.pool_size=1\n"} {
		if !strings.Contains(got, want) {
			t.Errorf("no %q in %q", want, got)
		}
	}
}

// TestDrainAndResume drains by operators' order: /up fails at once, requests that still come are served,
// idle connections are closed in time, and it can be taken back.
func TestDrainAndResume(t *testing.T) {
	d := deployWithAdmin(t)
	ready := func() bool {
		status, _ := d.send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
		return status == "HTTP/1.1 200 OK"
	}
	var openConns []net.Conn
	for i := range 4 {
		c, err := net.Dial("tcp", d.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i > 0 { // no request was sent on the first one
			fmt.Fprint(c, checkRequest("/check", fmt.Sprint("k", i)))
			readResponse(c)
		}
		openConns = append(openConns, c)
	}
	if !ready() {
		t.Fatal("not ready")
	}
	for range 2 {
		d.callAdmin("PUT /admin/quiesce")
	}
	if ready() || !strings.Contains(d.callAdmin("GET /admin/health"), " 503 ") {
		t.Error("ready while clients are sent away")
	}
	if status, _ := d.send(checkRequest("/check", "new")); status != "HTTP/1.1 200 OK" {
		t.Errorf("a new one gets %q", status)
	}
	fmt.Fprint(openConns[3], checkRequest("/check", "again"))
	openConns[3].SetDeadline(time.Now().Add(2 * time.Second))
	if b, err := io.ReadAll(openConns[3]); err != nil || !strings.Contains(string(b), "Connection: close") {
		t.Errorf("an open one gets %q, %v", b, err)
	}
	for i, c := range openConns[:3] {
		c.SetDeadline(time.Now().Add(2 * time.Second))
		if b, err := io.ReadAll(c); err != nil || len(b) > 0 {
			t.Errorf("idle connection %d: %q, %v", i, b, err)
		}
	}
	for range 2 {
		d.callAdmin("PUT /admin/resume")
	}
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if !ready() || !strings.Contains(d.callAdmin("GET /admin/health"), " 200 ") {
		t.Error("not ready after resume")
	}
	time.Sleep(time.Duration(policy.DrainAcceptMillis+200) * time.Millisecond)
	fmt.Fprint(c, checkRequest("/check", "later"))
	if status, _ := readResponse(c); status != "HTTP/1.1 200 OK" {
		t.Errorf("a connection kept after resume: %q", status)
	}
}

// TestAdminAddressInUse: an admin address that is in use ends the start with an error that names the key.
func TestAdminAddressInUse(t *testing.T) {
	d := deployWithAdmin(t)
	c := d.config
	c.AdminAddress = d.gateway.adminServer.Address
	if g, err := Start(c, d.gateway.log); err == nil || !strings.HasPrefix(err.Error(), "control: ") {
		t.Errorf("started: %v, %v", g, err)
	}
}

// TestConnectionFlood opens far more connections than are allowed, none of which completes a request. True
// clients, each on a new connection, are served in time, also one that sends its headers slowly, and a stop
// takes no longer than it may. A true client's time counts from when it has sent, and the 1 s for which the
// first ones wait for a place is part of it: one with a deadline of 2 s is served within it, and one with
// 300 ms is rejected, not served late.
func TestConnectionFlood(t *testing.T) {
	d := deployWithAdmin(t)
	slow, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slowStatus := make(chan string, 1)
	go func() {
		raw := checkRequest("/check", "slow")
		for len(raw) > 0 { // in 1.2 s
			n := min(len(raw), 20)
			slow.Write([]byte(raw[:n]))
			raw = raw[n:]
			time.Sleep(100 * time.Millisecond)
		}
		status, _ := readResponse(slow)
		slowStatus <- status
	}()
	for i := range 100 {
		c, err := net.Dial("tcp", d.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			fmt.Fprint(c, checkRequest("/check", "never")[:60])
		}
	}
	shortDeadline, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer shortDeadline.Close()
	fmt.Fprint(shortDeadline, checkRequest("/check", "brief"))
	for i := range 5 {
		start := time.Now()
		status, _ := d.send(strings.Replace(checkRequest("/check", fmt.Sprint("t", i)), "300m", "2000m", 1))
		if elapsed := time.Since(start); status != "HTTP/1.1 200 OK" || elapsed > 2*time.Second {
			t.Errorf("request %d: %q after %v", i, status, elapsed)
		}
	}
	if s, _ := readResponse(shortDeadline); s != "HTTP/1.1 429 Too Many Requests" {
		t.Errorf("one whose deadline had passed when it got a place: %q", s)
	}
	if s := <-slowStatus; s != "HTTP/1.1 200 OK" {
		t.Errorf("a slow valid one gets %q", s)
	}
	start := time.Now()
	d.gateway.Stop()
	if elapsed := time.Since(start); elapsed > 3500*time.Millisecond { // it has 3.7 s at least
		t.Errorf("stopped after %v", elapsed)
	}
}

// TestResizeMembership changes the number of gateways by reloads. It is applied in service where nothing
// else has changed: open connections go on, and a request that is spread over the new number is accepted.
func TestResizeMembership(t *testing.T) {
	d := deployWith(t, func(c *config.Gateway) { c.SharesEndpoints = true }, 1, 5000,
		`"balancers":1`, `"balancers":2`)
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	of := func(id string, n int) string {
		fmt.Fprint(c, strings.Replace(checkRequest("/check", id), "spread=1", fmt.Sprint("spread=", n), 1))
		status, _ := readResponse(c)
		return status
	}
	if s := of("a", 2); s != "HTTP/1.1 200 OK" {
		t.Fatal(s)
	}
	conf := d.config
	conf.Policy.GatewayCount = 3
	d.gateway.Reload(conf, nil)
	if s := of("b", 3); s != "HTTP/1.1 200 OK" || d.stat("members") != 3 {
		t.Errorf("of three: %q, %d", s, d.stat("members"))
	}
	conf.Policy.GatewayCount, conf.Policy.MaxRequestUnits = 4, 7
	d.gateway.Reload(conf, nil)
	if n := d.stat("members"); n != 3 {
		t.Errorf("with other settings changed it applies %d", n)
	}
	conf.Policy.GatewayCount, conf.Policy.MaxRequestUnits = 1, d.config.Policy.MaxRequestUnits
	d.gateway.Reload(conf, nil)
	if s := of("c", 1); s != "HTTP/1.1 200 OK" || d.stat("members") != 1 {
		t.Errorf("alone: %q, %d", s, d.stat("members"))
	}
}
