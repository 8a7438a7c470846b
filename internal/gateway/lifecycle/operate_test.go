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

// operated is a deployment with an operators' port.
func operated(t *testing.T) *deployment {
	t.Helper()
	return deployWith(t, func(c *config.Gateway) { c.AdminAddress = "127.0.0.1:0" }, 1, 5000)
}

func (d *deployment) operate(line string) string {
	d.t.Helper()
	c, err := net.Dial("tcp", d.gk.port.Address)
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

// Figures tell what clients got and workers saw.
func TestFigures(t *testing.T) {
	d := operated(t)
	tiny := strings.Replace(check("/check", "t1"), "basic", "tiny", 1)
	for i, raw := range []string{check("/check", "a"), sale("/sale", "b"), issue("/issue?fault", "c"),
		tiny, strings.Replace(tiny, "t1", "t2", 1), check("/check", ""),
		"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"} {
		if status, _ := d.ask(raw); status == "" {
			t.Errorf("no answer to %d", i)
		}
	}
	time.Sleep(2 * time.Millisecond * policy.StatsRefreshMillis)
	got := d.operate("GET /admin/stats")
	for _, want := range []string{"svc.ok.check=2\n", "svc.shed.check=1\n", "svc.errors.check=0\n",
		"svc.ok.sale=1\n", "svc.errors.issue=1\n", fmt.Sprintf("svc.tries=%d\n", len(d.got())),
		"svc.active=0\n", "svc.pool_size=1\n"} {
		if !strings.Contains(got, want) {
			t.Errorf("no %q in %q", want, got)
		}
	}
}

// A drain says no at once, serves what comes, ends all idle connections in time, and can be taken back.
func TestDrainAndResume(t *testing.T) {
	d := operated(t)
	up := func() bool {
		status, _ := d.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
		return status == "HTTP/1.1 200 OK"
	}
	var kept []net.Conn
	for i := range 4 {
		c, err := net.Dial("tcp", d.at)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i > 0 { // the first one has asked nothing
			fmt.Fprint(c, check("/check", fmt.Sprint("k", i)))
			read(c)
		}
		kept = append(kept, c)
	}
	if !up() {
		t.Fatal("not up")
	}
	for range 2 {
		d.operate("PUT /admin/quiesce")
	}
	if up() || !strings.Contains(d.operate("GET /admin/health"), " 503 ") {
		t.Error("up while clients are sent away")
	}
	if status, _ := d.ask(check("/check", "new")); status != "HTTP/1.1 200 OK" {
		t.Errorf("a new one gets %q", status)
	}
	fmt.Fprint(kept[3], check("/check", "again"))
	kept[3].SetDeadline(time.Now().Add(2 * time.Second))
	if b, err := io.ReadAll(kept[3]); err != nil || !strings.Contains(string(b), "Connection: close") {
		t.Errorf("a kept one gets %q, %v", b, err)
	}
	for i, c := range kept[:3] {
		c.SetDeadline(time.Now().Add(2 * time.Second))
		if b, err := io.ReadAll(c); err != nil || len(b) > 0 {
			t.Errorf("idle connection %d: %q, %v", i, b, err)
		}
	}
	for range 2 {
		d.operate("PUT /admin/resume")
	}
	c, err := net.Dial("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if !up() || !strings.Contains(d.operate("GET /admin/health"), " 200 ") {
		t.Error("not up after resume")
	}
	time.Sleep(time.Duration(policy.DrainAcceptMillis+200) * time.Millisecond)
	fmt.Fprint(c, check("/check", "later"))
	if status, _ := read(c); status != "HTTP/1.1 200 OK" {
		t.Errorf("a connection kept after resume: %q", status)
	}
}

// A control address that is taken ends the start with a message that names the key.
func TestControlTaken(t *testing.T) {
	d := operated(t)
	c := d.conf
	c.AdminAddress = d.gk.port.Address
	if g, err := Start(c, d.gk.log); err == nil || !strings.HasPrefix(err.Error(), "control: ") {
		t.Errorf("started: %v, %v", g, err)
	}
}

// Far more connections than there are places, which never finish a txn: true ones, each on a new connection,
// are served in time, one whose head takes its time too, and a stop is kept to. A true one's time counts from
// when it was sent, and so the 1 s for which the first ones lie without a place is part of it: who waits 2 s
// is served within them, and one that waits 300 ms is declined, not served late.
func TestCrowd(t *testing.T) {
	d := operated(t)
	slow, err := net.Dial("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	got := make(chan string, 1)
	go func() {
		raw := check("/check", "slow")
		for len(raw) > 0 { // in 1.2 s
			n := min(len(raw), 20)
			slow.Write([]byte(raw[:n]))
			raw = raw[n:]
			time.Sleep(100 * time.Millisecond)
		}
		status, _ := read(slow)
		got <- status
	}()
	for i := range 100 {
		c, err := net.Dial("tcp", d.at)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			fmt.Fprint(c, check("/check", "never")[:60])
		}
	}
	brief, err := net.Dial("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	defer brief.Close()
	fmt.Fprint(brief, check("/check", "brief"))
	for i := range 5 {
		start := time.Now()
		status, _ := d.ask(strings.Replace(check("/check", fmt.Sprint("t", i)), "300m", "2000m", 1))
		if took := time.Since(start); status != "HTTP/1.1 200 OK" || took > 2*time.Second {
			t.Errorf("true txn %d: %q after %v", i, status, took)
		}
	}
	if s, _ := read(brief); s != "HTTP/1.1 429 Too Many Requests" {
		t.Errorf("one whose time was over when it got a place: %q", s)
	}
	if s := <-got; s != "HTTP/1.1 200 OK" {
		t.Errorf("a slow honest one gets %q", s)
	}
	start := time.Now()
	d.gk.Stop()
	if took := time.Since(start); took > 3500*time.Millisecond { // it has 3.7 s at least
		t.Errorf("stopped after %v", took)
	}
}

// The number of gatekeepers is taken up in service, where no more than that has changed: kept connections go
// on, and a txn of the new set is one of ours.
func TestResizeInService(t *testing.T) {
	d := deployWith(t, func(c *config.Gateway) { c.SharesEndpoints = true }, 1, 5000, `"balancers":1`,
		`"balancers":2`)
	c, err := net.Dial("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	of := func(id string, n int) string {
		fmt.Fprint(c, strings.Replace(check("/check", id), "spread=1", fmt.Sprint("spread=", n), 1))
		status, _ := read(c)
		return status
	}
	if s := of("a", 2); s != "HTTP/1.1 200 OK" {
		t.Fatal(s)
	}
	conf := d.conf
	conf.Charter.GatewayCount = 3
	d.gk.Reload(conf, nil)
	if s := of("b", 3); s != "HTTP/1.1 200 OK" || d.figure("members") != 3 {
		t.Errorf("of three: %q, %d", s, d.figure("members"))
	}
	conf.Charter.GatewayCount, conf.Charter.MaxRequestUnits = 4, 7
	d.gk.Reload(conf, nil)
	if n := d.figure("members"); n != 3 {
		t.Errorf("with another charter it takes up %d", n)
	}
	conf.Charter.GatewayCount, conf.Charter.MaxRequestUnits = 1, d.conf.Charter.MaxRequestUnits
	d.gk.Reload(conf, nil)
	if s := of("c", 1); s != "HTTP/1.1 200 OK" || d.figure("members") != 1 {
		t.Errorf("alone: %q, %d", s, d.figure("members"))
	}
}
