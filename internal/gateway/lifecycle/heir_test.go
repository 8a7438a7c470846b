package lifecycle

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"willowdeck/internal/gateway/hotrestart"
)

// An heir that hangs gets no client: what is in hand is answered here, what comes on connections that stay,
// or on new ones, is answered too, and the process ends. Guards against clients that are left to a process
// which never speaks, and against a listener that nobody takes from.
func TestHeirHangs(t *testing.T) {
	d, _ := heldListener(t)
	_, err := hotrestart.Connect(hotrestart.SocketPath(d.conf.SharedDir, d.conf.Name), d.conf.Name)
	if err != nil {
		t.Fatal(err)
	}
	until(t, "the heir is heard", func() bool { return d.gk.owner.Load().HasSuccessor() })
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", d.at)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(5 * time.Second))
		return c, bufio.NewReader(c)
	}
	kept, keptIn := dial()
	fmt.Fprint(kept, check("/check", "k1"))
	if res, err := http.ReadResponse(keptIn, nil); err != nil || res.StatusCode != 200 {
		t.Fatalf("before: %v, %v", res, err)
	} else if _, err := res.Body.Read(make([]byte, 64)); err != nil && err.Error() != "EOF" {
		t.Fatal(err)
	}
	busy, busyIn := dial()
	fmt.Fprint(busy, check("/check?slow", "b1"))
	until(t, "it is in hand", func() bool { return d.gk.front.ActiveRequests() == 1 })
	stopped := make(chan bool)
	go func() {
		d.gk.Stop()
		close(stopped)
	}()
	until(t, "it leaves", func() bool { return d.gk.away.Load() })
	fmt.Fprint(kept, check("/check", "k2"))
	fresh, freshIn := dial()
	fmt.Fprint(fresh, check("/check", "f1"))
	for name, c := range map[string]struct {
		r    *bufio.Reader
		want int
	}{"in hand": {busyIn, 200}, "kept": {keptIn, 429}, "new": {freshIn, 429}} {
		if res, err := http.ReadResponse(c.r, nil); err != nil || res.StatusCode != c.want {
			t.Errorf("%s: %+v, %v", name, res, err)
		}
	}
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Error("it does not end")
	}
}
