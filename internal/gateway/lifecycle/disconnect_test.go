package lifecycle

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"
)

// TestClientDisconnectsBetweenAttempts: a client disconnects while its first attempt is in flight, and that
// attempt is reset at the same time: no second one is sent. Guards against a retry for nobody in the time
// until the dispatcher looks at its clients (100 ms): the operators' term allows none later than 100 ms
// after the disconnect.
func TestClientDisconnectsBetweenAttempts(t *testing.T) {
	d := deploy(t, 0, 1000)
	type came struct {
		c    net.Conn
		line string
	}
	got := make(chan came, 9)
	for i := range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		d.workers = append(d.workers, &fakeWorker{Listener: l})
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					line, err := bufio.NewReader(c).ReadString('\n')
					if err == nil {
						got <- came{c, line}
					}
				}()
			}
		}()
		d.updates <- fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[%s]}`, 8+i,
			d.endpointEntry(i, "active", 0))
	}
	for !d.gateway.ready() || d.gateway.dispatcher.Tally().Workers < 2 {
		time.Sleep(time.Millisecond)
	}
	for k := range 10 {
		client, err := net.Dial("tcp", d.address)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(client, checkRequest("/check", fmt.Sprint(k)))
		first := <-got
		client.Close() // on loopback its end arrives before the reset below
		first.c.(*net.TCPConn).SetLinger(0)
		first.c.Close()
		select {
		case again := <-got:
			t.Fatalf("retried for nobody: %q", again.line)
		case <-time.After(150 * time.Millisecond):
		}
	}
}
