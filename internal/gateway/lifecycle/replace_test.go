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

// held is a deployment whose clients' listener is the platform's, and what a second process is told.
func heldListener(t *testing.T, swaps ...string) (*deployment, func(*config.Gateway)) {
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
		fd, err := syscall.Dup(int(f.Fd())) // what a start takes over is closed by it
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
		c.ListenerFD, c.SharedDir, c.AdminAddress = fd, dir, "127.0.0.1:0"
	}
	return deployWith(t, change, 2, 5000, swaps...), change
}

// second starts another process beside a deployment's.
func (d *deployment) second(change func(*config.Gateway)) *Gatekeeper {
	d.t.Helper()
	c := d.conf
	change(&c)
	g, err := Start(c, zerolog.Nop())
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		g.unwind()
		<-g.ended
	})
	return g
}

// A second process takes over all that the first knows and holds: kept connections go on, one with half a
// head too, txns in hand are answered, and what was spent stays spent.
func TestReplacement(t *testing.T) {
	d, change := heldListener(t)
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", d.at)
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
	tiny := func(id string) string { // of another customer, as a change of plan fills the store
		return strings.NewReplacer("basic", "tiny", "b4d65521", "b4d65522").Replace(check("/check", id))
	}
	kept, keptIn := dial()
	fmt.Fprint(kept, tiny("k1"))
	answer("a kept one", keptIn, 200)
	half, halfIn := dial()
	fmt.Fprint(half, check("/check", "h1")[:50])
	silent, silentIn := dial()
	busy, busyIn := dial()
	fmt.Fprint(busy, check("/check?slow", "b1"))
	time.Sleep(30 * time.Millisecond)

	g := d.second(change)
	if !g.Healthy() || !d.gk.Healthy() {
		t.Error("not both are ready")
	}
	before := len(d.got())
	fmt.Fprint(kept, check("/check", "k2"))
	answer("before the change", keptIn, 200)
	if len(d.got()) != before+1 || g.links.AttemptsWritten() > 0 {
		t.Error("the second process serves before the first has left")
	}
	stopped := make(chan bool)
	go func() {
		d.gk.Stop()
		close(stopped)
	}()
	answer("in hand", busyIn, 200)
	<-stopped
	if d.gk.front.ActiveRequests() > 0 {
		t.Error("the first one ends with txns in hand")
	}
	fmt.Fprint(half, check("/check", "h1")[50:])
	answer("half a head", halfIn, 200)
	fmt.Fprint(silent, check("/check", "s1"))
	answer("silent so far", silentIn, 200)
	fmt.Fprint(busy, check("/check", "b2"))
	answer("in hand before", busyIn, 200)
	fmt.Fprint(kept, tiny("k3"))
	answer("its quota was spent in the first process", keptIn, 429)
	fresh, freshIn := dial()
	fmt.Fprint(fresh, check("/check", "f1"))
	answer("a new one", freshIn, 200)

	third := d.second(change) // and so on
	g.Stop()
	fmt.Fprint(fresh, check("/check", "f2"))
	answer("after a second change", freshIn, 200)
	if third.links.AttemptsWritten() == 0 {
		t.Error("the third process serves nothing")
	}
}

// A second process that dies before the first has left changes nothing; a first one that ends without a word
// leaves the place all the same.
func TestReplacementFails(t *testing.T) {
	d, change := heldListener(t)
	g := d.second(change)
	g.unwind()
	g.limit.Close()
	if status, _ := d.ask(check("/check", "1")); status != "HTTP/1.1 200 OK" {
		t.Errorf("beside one that has died: %q", status)
	}
	again := d.second(change)
	d.gk.owner.Load().Close() // as at a sudden end
	d.gk.limit.Close()
	if status, _ := d.ask(check("/check",
		"2")); status != "HTTP/1.1 200 OK" || again.links.AttemptsWritten() != 1 {
		t.Errorf("after a sudden end: %q", status)
	}
}

// A descriptor that is no listening socket ends the start with a message that names the key.
func TestNoListeningSocket(t *testing.T) {
	d, _ := heldListener(t)
	for _, fd := range []int{0, 999} {
		c := d.conf
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

// A process that ends without a word leaves what it has spent of ceilings: the next one holds to it, and need
// not take all ceilings as spent. One that takes over from a living process goes on with its residue.
func TestResidue(t *testing.T) {
	path := filepath.Join(t.TempDir(), "residue")
	swap := []string{`{"name":"tiny","rate":0.1,"most_at_once":1`,
		`{"name":"tiny","rate":100,"most_at_once":100,"hard_rate":0.01,"cap_depth":3`}
	keeps := func(c *config.Gateway) { c.CrashStatePath = path }
	d := deployWith(t, keeps, 1, 5000, swap...)
	of := func(d *deployment, customer, id string) string {
		status, _ := d.ask(strings.NewReplacer("basic", "tiny", "b4d65521", customer).Replace(check("/check", id)))
		return status
	}
	if s := of(d, "b4d65530", "1"); s != "HTTP/1.1 429 Too Many Requests" {
		t.Fatalf("at a first start a ceiling counts as spent: %q", s)
	}
	end := func(d *deployment) {
		d.gk.limit.Close()
		d.gk.desk.Stop() // its locks are gone, as those of a killed one
	}
	end(d)
	// As if its start had been long ago.
	f, left, err := crashstate.Open(path, crashstate.Digest(d.conf.Charter), float64(time.Now().UnixMilli()))
	if err != nil || left == nil {
		t.Fatal(left, err)
	}
	f.Import(left.RateLimitBaseMillis-1e6, nil, left.RateLimitBaseMillis)
	f.Close()
	d = deployWith(t, keeps, 1, 5000, swap...)
	for i := range 2 {
		if s := of(d, "b4d65531", fmt.Sprint("a", i)); s != "HTTP/1.1 200 OK" {
			t.Fatalf("a ceiling that is full: %q", s)
		}
	}
	end(d)
	d = deployWith(t, keeps, 1, 5000, swap...)
	for i, want := range []string{"200 OK", "429 Too Many Requests"} {
		if s := of(d, "b4d65531", fmt.Sprint("b", i)); s != "HTTP/1.1 "+want {
			t.Errorf("the third and fourth of three units: %q", s)
		}
	}
	if s := of(d, "b4d65532", "c"); s != "HTTP/1.1 200 OK" {
		t.Errorf("another customer's: %q", s)
	}
	end(d)

	held, change := heldListener(t, swap...)
	both := func(c *config.Gateway) {
		change(c)
		keeps(c)
	}
	first := held.second(both)
	held.gk.Stop() // it keeps none
	if s := of(held, "b4d65532", "d"); s != "HTTP/1.1 200 OK" {
		t.Errorf("the second of three: %q", s)
	}
	second := held.second(both)
	first.Stop()
	if s := of(held, "b4d65532", "e"); s != "HTTP/1.1 200 OK" {
		t.Errorf("the third of three, handed over: %q", s)
	}
	held.second(both)
	second.limit.Close()
	second.desk.Stop()
	second.owner.Load().Close() // as at a sudden end
	if s := of(held, "b4d65532", "f"); s != "HTTP/1.1 429 Too Many Requests" {
		t.Errorf("the fourth of three, after a sudden end: %q", s)
	}
}

// What a process knew of quotas outlives its sudden end, by a copy; a copy that is spoilt is as none, and
// counted. A process that hands over has its heir go by the estate, and writes no more.
func TestRecall(t *testing.T) {
	path := filepath.Join(t.TempDir(), "residue")
	keeps := func(c *config.Gateway) { c.CrashStatePath, c.KeepsCheckpoint = path, true }
	of := func(d *deployment, customer, id string) string {
		status, _ := d.ask(strings.NewReplacer("basic", "tiny", "b4d65521", customer).Replace(check("/check", id)))
		return strings.TrimPrefix(status, "HTTP/1.1 ")
	}
	end := func(d *deployment) {
		n := d.gk.desk.CheckpointStats().Written.Load()
		until(t, "no copies are written", func() bool { return d.gk.desk.CheckpointStats().Written.Load() > n+1 })
		d.gk.limit.Close()
		d.gk.desk.Stop()
	}
	d := deployWith(t, keeps, 1, 5000)
	if s := of(d, "b4d65530", "1"); s != "200 OK" {
		t.Fatalf("a first start: %q", s)
	}
	end(d)
	d = deployWith(t, keeps, 1, 5000)
	s, n := of(d, "b4d65530", "2"), d.gk.desk.CheckpointStats().Restored.Load()
	if s != "429 Too Many Requests" || n != 1 {
		t.Errorf("after a sudden end: %q, %d customers", s, n)
	}
	if s := of(d, "b4d65531", "3"); s != "200 OK" {
		t.Errorf("another customer: %q", s)
	}
	end(d)
	b, err := os.ReadFile(path + ".inventory")
	if err != nil {
		t.Fatal(err)
	}
	clear(b)
	if err := os.WriteFile(path+".inventory", b, 0o600); err != nil {
		t.Fatal(err)
	}
	d = deployWith(t, keeps, 1, 5000)
	if s := of(d, "b4d65531", "4"); s != "200 OK" || d.gk.spoilt.Load() != 1 {
		t.Errorf("by a spoilt copy: %q, %d counted", s, d.gk.spoilt.Load())
	}
	end(d)

	held, change := heldListener(t)
	both := func(c *config.Gateway) {
		change(c)
		c.CrashStatePath, c.KeepsCheckpoint = path+"2", true
	}
	first := held.second(both)
	held.gk.Stop()
	if s := of(held, "b4d65532", "5"); s != "200 OK" {
		t.Errorf("by the first: %q", s)
	}
	second := held.second(both)
	first.Stop()
	n = first.desk.CheckpointStats().Written.Load()
	if s := of(held, "b4d65532", "6"); s != "429 Too Many Requests" ||
		second.desk.CheckpointStats().Restored.Load() > 0 {
		t.Errorf("handed over: %q", s)
	}
	m := second.desk.CheckpointStats().Written.Load()
	until(t, "the heir writes none", func() bool { return second.desk.CheckpointStats().Written.Load() > m+1 })
	if first.desk.CheckpointStats().Written.Load() > n+1 { // one may have been under way
		t.Error("one that has handed over writes on")
	}
}
