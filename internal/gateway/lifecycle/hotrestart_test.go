package lifecycle

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/recovery/crashstate"
)

// deployWithInheritedListener is a deployment whose clients' listener the platform holds, and the change of
// the configuration that a second process needs.
func deployWithInheritedListener(t *testing.T, swaps ...string) (*deployment, func(*config.Gateway)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	dir, err := os.MkdirTemp("", "wd") // a socket's path is short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	change := func(c *config.Gateway) {
		f, err := l.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		fd, err := syscall.Dup(int(f.Fd())) // a start closes the descriptor that it takes over
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
		c.ListenerFD, c.SharedDir, c.AdminAddress = fd, dir, "127.0.0.1:0"
	}
	return deployWith(t, change, 2, 5000, swaps...), change
}

// startSuccessor starts another process beside a deployment's.
func (d *deployment) startSuccessor(change func(*config.Gateway)) *Gateway {
	d.t.Helper()
	c := d.config
	change(&c)
	g, err := Start(c, zerolog.Nop())
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		g.cancelWatch()
		<-g.watchEnded
	})
	return g
}

// TestReplacement: a successor takes over all that the predecessor knows and holds. Open connections go on,
// also one with half a header; requests in flight are answered, and quota that was spent stays spent.
func TestReplacement(t *testing.T) {
	d, change := deployWithInheritedListener(t)
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", d.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(5 * time.Second))
		return c, bufio.NewReader(c)
	}
	answer := func(name string, r *bufio.Reader, status int) {
		t.Helper()
		got, err := http.ReadResponse(r, nil)
		if err != nil || got.StatusCode != status || got.Close {
			t.Fatalf("%s: answered %v, %v", name, got, err)
		}
		buf := make([]byte, max(got.ContentLength, 0))
		got.Body.Read(buf)
	}
	tinyRequest := func(id string) string { // of another customer, as a change of plan fills the quota
		return strings.NewReplacer("basic", "tiny", "b4d65521", "b4d65522").Replace(checkRequest("/check", id))
	}
	keptConn, keptReader := dial()
	fmt.Fprint(keptConn, tinyRequest("k1"))
	answer("a kept one", keptReader, 200)
	halfConn, halfReader := dial()
	fmt.Fprint(halfConn, checkRequest("/check", "h1")[:50])
	silent, silentReader := dial()
	busyConn, busyReader := dial()
	fmt.Fprint(busyConn, checkRequest("/check?slow", "b1"))
	time.Sleep(30 * time.Millisecond)

	g := d.startSuccessor(change)
	if !g.Healthy() || !d.gateway.Healthy() {
		t.Error("not both are ready")
	}
	before := len(d.submissions())
	fmt.Fprint(keptConn, checkRequest("/check", "k2"))
	answer("before the change", keptReader, 200)
	if len(d.submissions()) != before+1 || g.workerConns.AttemptsWritten() > 0 {
		t.Error("the successor serves before the handoff")
	}
	stopped := make(chan bool)
	go func() {
		d.gateway.Stop()
		close(stopped)
	}()
	answer("in flight", busyReader, 200)
	<-stopped
	if d.gateway.frontend.ActiveRequests() > 0 {
		t.Error("the predecessor ends with requests in flight")
	}
	fmt.Fprint(halfConn, checkRequest("/check", "h1")[50:])
	answer("half a head", halfReader, 200)
	fmt.Fprint(silent, checkRequest("/check", "s1"))
	answer("silent so far", silentReader, 200)
	fmt.Fprint(busyConn, checkRequest("/check", "b2"))
	answer("in flight before", busyReader, 200)
	fmt.Fprint(keptConn, tinyRequest("k3"))
	answer("its quota was spent in the first process", keptReader, 429)
	freshConn, freshReader := dial()
	fmt.Fprint(freshConn, checkRequest("/check", "f1"))
	answer("a new one", freshReader, 200)

	third := d.startSuccessor(change) // and so on
	g.Stop()
	fmt.Fprint(freshConn, checkRequest("/check", "f2"))
	answer("after a second change", freshReader, 200)
	if third.workerConns.AttemptsWritten() == 0 {
		t.Error("the third process serves nothing")
	}
}

// TestReplacementFails: a successor that dies before the handoff changes nothing; one whose predecessor ends
// without a handoff serves all the same.
func TestReplacementFails(t *testing.T) {
	d, change := deployWithInheritedListener(t)
	g := d.startSuccessor(change)
	g.cancelWatch()
	g.listener.Close()
	if status, _ := d.send(checkRequest("/check", "1")); status != "HTTP/1.1 200 OK" {
		t.Errorf("beside one that has died: %q", status)
	}
	again := d.startSuccessor(change)
	d.gateway.handoff.Load().Close() // as in a crash
	d.gateway.listener.Close()
	if status, _ := d.send(
		checkRequest("/check",
			"2"),
	); status != "HTTP/1.1 200 OK" ||
		again.workerConns.AttemptsWritten() != 1 {
		t.Errorf("after a crash: %q", status)
	}
}

// TestNoListeningSocket: a descriptor that is no listening socket ends the start with an error that names
// the key.
func TestNoListeningSocket(t *testing.T) {
	d, _ := deployWithInheritedListener(t)
	for _, fd := range []int{0, 999} {
		c := d.config
		if c.ListenerFD = fd; fd == 0 {
			f, err := os.Open(os.DevNull)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			c.ListenerFD = int(f.Fd())
		}
		if g, err := Start(c, zerolog.Nop()); err == nil || !strings.HasPrefix(err.Error(), "NODE_FD: ") {
			t.Errorf("started: %v, %v", g, err)
		}
	}
}

// TestCrashState: a process that crashes leaves on disk what was used of rate limits. The next one respects
// it, and need not take all of them as used up. A successor goes on with its predecessor's crash state.
func TestCrashState(t *testing.T) {
	path := filepath.Join(t.TempDir(), "residue")
	swap := []string{`{"name":"tiny","rate":0.1,"most_at_once":1`,
		`{"name":"tiny","rate":100,"most_at_once":100,"hard_rate":0.01,"cap_depth":3`}
	withCrashState := func(c *config.Gateway) { c.CrashStatePath = path }
	d := deployWith(t, withCrashState, 1, 5000, swap...)
	sendTiny := func(d *deployment, customer, id string) string {
		status, _ := d.send(
			strings.NewReplacer("basic", "tiny", "b4d65521", customer).Replace(checkRequest("/check", id)),
		)
		return status
	}
	if s := sendTiny(d, "b4d65530", "1"); s != "HTTP/1.1 429 Too Many Requests" {
		t.Fatalf("at a first start a rate limit counts as used up: %q", s)
	}
	crash := func(d *deployment) {
		d.gateway.listener.Close()
		d.gateway.dispatcher.Stop() // its file locks are released, as those of a killed process
	}
	crash(d)
	// As if its start had been long ago.
	f, left, err := crashstate.Open(path, crashstate.Digest(d.config.Policy), float64(time.Now().UnixMilli()))
	if err != nil || left == nil {
		t.Fatal(left, err)
	}
	f.Import(left.RateLimitBaseMillis-1e6, nil, left.RateLimitBaseMillis)
	f.Close()
	d = deployWith(t, withCrashState, 1, 5000, swap...)
	for i := range 2 {
		if s := sendTiny(d, "b4d65531", fmt.Sprint("a", i)); s != "HTTP/1.1 200 OK" {
			t.Fatalf("a rate limit that is full: %q", s)
		}
	}
	crash(d)
	d = deployWith(t, withCrashState, 1, 5000, swap...)
	for i, want := range []string{"200 OK", "429 Too Many Requests"} {
		if s := sendTiny(d, "b4d65531", fmt.Sprint("b", i)); s != "HTTP/1.1 "+want {
			t.Errorf("the third and fourth of three units: %q", s)
		}
	}
	if s := sendTiny(d, "b4d65532", "c"); s != "HTTP/1.1 200 OK" {
		t.Errorf("another customer's: %q", s)
	}
	crash(d)

	deployed, change := deployWithInheritedListener(t, swap...)
	withBoth := func(c *config.Gateway) {
		change(c)
		withCrashState(c)
	}
	first := deployed.startSuccessor(withBoth)
	deployed.gateway.Stop() // it has no crash state
	if s := sendTiny(deployed, "b4d65532", "d"); s != "HTTP/1.1 200 OK" {
		t.Errorf("the second of three: %q", s)
	}
	second := deployed.startSuccessor(withBoth)
	first.Stop()
	if s := sendTiny(deployed, "b4d65532", "e"); s != "HTTP/1.1 200 OK" {
		t.Errorf("the third of three, after a handoff: %q", s)
	}
	deployed.startSuccessor(withBoth)
	second.listener.Close()
	second.dispatcher.Stop()
	second.handoff.Load().Close() // as in a crash
	if s := sendTiny(deployed, "b4d65532", "f"); s != "HTTP/1.1 429 Too Many Requests" {
		t.Errorf("the fourth of three, after a crash: %q", s)
	}
}

// TestCheckpointRestore: what a process knew of quotas survives its crash by a checkpoint. A corrupt
// checkpoint is as none, and counted. A successor goes by the handoff state, and its predecessor writes no
// more.
func TestCheckpointRestore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "residue")
	withCheckpoints := func(c *config.Gateway) { c.CrashStatePath, c.KeepsCheckpoint = path, true }
	sendTiny := func(d *deployment, customer, id string) string {
		status, _ := d.send(
			strings.NewReplacer("basic", "tiny", "b4d65521", customer).Replace(checkRequest("/check", id)),
		)
		return strings.TrimPrefix(status, "HTTP/1.1 ")
	}
	crash := func(d *deployment) {
		n := d.gateway.dispatcher.CheckpointStats().Written.Load()
		waitFor(
			t,
			"no checkpoints are written",
			func() bool { return d.gateway.dispatcher.CheckpointStats().Written.Load() > n+1 },
		)
		d.gateway.listener.Close()
		d.gateway.dispatcher.Stop()
	}
	d := deployWith(t, withCheckpoints, 1, 5000)
	if s := sendTiny(d, "b4d65530", "1"); s != "200 OK" {
		t.Fatalf("at a first start: %q", s)
	}
	crash(d)
	d = deployWith(t, withCheckpoints, 1, 5000)
	s, n := sendTiny(d, "b4d65530", "2"), d.gateway.dispatcher.CheckpointStats().Restored.Load()
	if s != "429 Too Many Requests" || n != 1 {
		t.Errorf("after a crash: %q, %d customers", s, n)
	}
	if s := sendTiny(d, "b4d65531", "3"); s != "200 OK" {
		t.Errorf("another customer: %q", s)
	}
	crash(d)
	b, err := os.ReadFile(path + ".inventory")
	if err != nil {
		t.Fatal(err)
	}
	clear(b)
	if err := os.WriteFile(path+".inventory", b, 0o600); err != nil {
		t.Fatal(err)
	}
	d = deployWith(t, withCheckpoints, 1, 5000)
	if s := sendTiny(d, "b4d65531", "4"); s != "200 OK" || d.gateway.corruptCheckpoints.Load() != 1 {
		t.Errorf("with a corrupt checkpoint: %q, %d counted", s, d.gateway.corruptCheckpoints.Load())
	}
	crash(d)

	deployed, change := deployWithInheritedListener(t)
	withBoth := func(c *config.Gateway) {
		change(c)
		c.CrashStatePath, c.KeepsCheckpoint = path+"2", true
	}
	first := deployed.startSuccessor(withBoth)
	deployed.gateway.Stop()
	if s := sendTiny(deployed, "b4d65532", "5"); s != "200 OK" {
		t.Errorf("by the first: %q", s)
	}
	second := deployed.startSuccessor(withBoth)
	first.Stop()
	n = first.dispatcher.CheckpointStats().Written.Load()
	if s := sendTiny(deployed, "b4d65532", "6"); s != "429 Too Many Requests" ||
		second.dispatcher.CheckpointStats().Restored.Load() > 0 {
		t.Errorf("after a handoff: %q", s)
	}
	m := second.dispatcher.CheckpointStats().Written.Load()
	waitFor(
		t,
		"the successor writes no checkpoints",
		func() bool { return second.dispatcher.CheckpointStats().Written.Load() > m+1 },
	)
	if first.dispatcher.CheckpointStats().Written.Load() > n+1 { // one may have been in progress
		t.Error("the predecessor writes on after the handoff")
	}
}
