package proxy

import (
	"net"
	"testing"
	"time"

	"willowdeck/internal/bootclock"
	"willowdeck/internal/borrowing"
	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/history"
)

func charter() policy.Charter {
	return policy.Charter{Gatekeepers: 1, LargestUnits: 1, MaxSubmissions: 3, MayWithdraw: true,
		Products: []policy.Product{{SLA: 1000, Value: 1}},
		Plans:    []policy.Plan{{Rate: 1000, Burst: 1000, CeilingRate: 1000, CeilingDepth: 1000, Factor: 1}}}
}

// worker counts the bytes that come to it.
func worker(t *testing.T) (endpoints.List, <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	got := make(chan int, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				buf, n := make([]byte, 4096), 0
				for {
					m, err := c.Read(buf)
					if n += m; err != nil {
						got <- n
						return
					}
				}
			}()
		}
	}()
	at := l.Addr().(*net.TCPAddr).AddrPort()
	return endpoints.List{Whole: true, Workers: []endpoints.Worker{{Name: "w", Address: at, Active: true}}},
		got
}

// What was decided by terms that run out while the connection comes up is not written, and is decided anew by
// those that hold then. Guards against a submission by rules that are no more.
func TestTermsRunOutBeforeTheWrite(t *testing.T) {
	list, came := worker(t)
	links := transport.NewLinks(8, time.Second, time.Second)
	d := NewDesk(charter(), 1, 5, func(int, []byte) {}, links.Shed)
	t.Cleanup(d.Stop)
	var past history.Memory
	d.Record(past.As("n", 1))
	d.Roster(list)
	first := inflight.NewLease(1, history.Leased, bootclock.Nanos()+3600e9)
	second := inflight.NewLease(2, history.Leased, bootclock.Nanos()+3600e9)
	if !d.Govern(first, charter()) {
		t.Fatal("not governed")
	}
	time.Sleep(20 * time.Millisecond) // what a start takes as spent
	g := New(d, links)
	h := d.take(&transport.Txn{Arrival: policy.Arrival{Customer: 7, Units: 1, SetSize: 1, Left: 900}})
	w := <-h.Commands
	if w.Decision.Kind != policy.Submit || w.Lease != first {
		t.Fatalf("decided %+v by %+v", w.Decision, w.Lease)
	}
	d.Govern(second, charter())
	j := job{txn: h, word: w, msg: []byte("GET / HTTP/1.1\r\n\r\n")}
	a, l, _ := g.exchange(j, time.Now().Add(time.Second))
	if a != nil || l != nil {
		t.Fatalf("ended with %+v", a)
	}
	if n := <-came; n > 0 {
		t.Errorf("%d bytes came to the worker", n)
	}
	d.recall(h, w.Decision.N)
	if w = <-h.Commands; w.Decision.Kind != policy.Submit || w.Lease != second || w.Decision.N != 0 ||
		d.Recalled() != 1 {
		t.Errorf("then decided %+v by %+v", w.Decision, w.Lease)
	}
	second.Revoke() // and what is decided after the end of all terms is by none of them
	h = d.take(&transport.Txn{Arrival: policy.Arrival{Customer: 7, Units: 1, SetSize: 1, Left: 900}})
	if w = <-h.Commands; w.Decision.Kind != policy.Decline {
		t.Errorf("without terms decided %+v", w.Decision)
	}
	modes, backs := "", 0
	for _, e := range past.Record().Events {
		if e.Kind == history.Acts {
			modes += e.Mode + " "
		} else if e.Kind == history.Back && e.Says == history.NeverRan {
			backs++
		}
	}
	if modes != "lease lease bare " {
		t.Errorf("acted as %s", modes)
	}
}

// again gives a gate of three submissions a txn over a stand-in that counts what comes, and a txn whose first
// submission may have run.
func again(t *testing.T, p policy.Product) (g *Gate, h *inflight.Request, w inflight.Command,
	came <-chan int) {
	t.Helper()
	list, came := worker(t)
	links := transport.NewLinks(8, time.Second, time.Second)
	c := charter()
	c.Products = []policy.Product{p}
	d := NewDesk(c, 1, 5, func(int, []byte) {}, links.Shed)
	t.Cleanup(d.Stop)
	d.Roster(list)
	time.Sleep(20 * time.Millisecond) // what a start takes as spent
	h = d.take(&transport.Txn{Arrival: policy.Arrival{Customer: 7, Units: 1, SetSize: 1, Left: 5000}})
	w = <-h.Commands
	d.ended(h, w.Decision.N, w.Decision.Worker, &transport.Answer{Outcome: policy.Cut}, 1)
	if w = <-h.Commands; w.Decision.Kind != policy.Submit || w.Decision.N != 1 {
		t.Fatalf("then decided %+v", w.Decision)
	}
	return New(d, links), h, w, came
}

// none fails where a worker got bytes over a connection that has ended, if there was one.
func none(t *testing.T, came <-chan int) {
	t.Helper()
	select {
	case n := <-came:
		if n > 0 {
			t.Errorf("%d bytes came to the worker", n)
		}
	case <-time.After(50 * time.Millisecond):
	}
}

// A further submission of a referenced txn is decided on inside its window, and its connection is up after
// it: nothing is written. Guards against a look at the window when it is decided alone: on one bench day a
// connection took 230 ms, and its submission went out 1,106 ms after the first with a window of 1,000.
func TestWindowOverBeforeTheWrite(t *testing.T) {
	g, h, w, came := again(t, policy.Product{SLA: 4000, Value: 1, Repeat: policy.Referenced, Window: 200})
	if left := w.Decision.Latest - g.desk.Now(); !(left > 0 && left < 200) {
		t.Fatalf("the first byte may go out %.1f ms from now on", left)
	}
	for g.desk.Now() < w.Decision.Latest { // as long as its connection takes
		time.Sleep(time.Millisecond)
	}
	j := job{txn: h, word: w, msg: []byte("GET / HTTP/1.1\r\n\r\n")}
	a, l, _ := g.exchange(j, time.Now().Add(time.Second))
	if a == nil || a.Outcome != policy.NotSent || l != nil {
		t.Fatalf("ended with %+v", a)
	}
	g.desk.ended(h, 1, w.Decision.Worker, a, 1)
	if w = <-h.Commands; w.Decision.Kind != policy.Decline { // all workers drop a repeat
		t.Errorf("then decided %+v", w.Decision)
	}
	none(t, came)
}

// A worker moves to another zone, or cell, while the connection of a further submission of a referenced txn
// comes up: nothing is written. Guards against a repeat where nobody has the txn's mark.
func TestMovedBeforeTheWrite(t *testing.T) {
	for of, move := range map[policy.Group]func(*endpoints.Worker){
		policy.GroupZone: func(w *endpoints.Worker) { w.Zone = "another" },
		policy.GroupCell: func(w *endpoints.Worker) { w.Cell = 5 },
	} {
		g, h, w, came := again(t, policy.Product{SLA: 4000, Value: 1, Repeat: policy.Referenced, Group: of,
			Window: 4000})
		x := endpoints.Worker{Name: "w", Address: w.Upstream.Addr, Active: true}
		move(&x)
		g.desk.Roster(endpoints.List{Whole: true, Workers: []endpoints.Worker{x}})
		j := job{txn: h, word: w, msg: []byte("GET / HTTP/1.1\r\n\r\n")}
		a, l, _ := g.exchange(j, time.Now().Add(time.Second))
		if a == nil || a.Outcome != policy.NotSent || l != nil {
			t.Fatalf("group %d: ended with %+v", of, a)
		}
		g.desk.ended(h, 1, w.Decision.Worker, a, 1)
		if w = <-h.Commands; w.Decision.Kind != policy.Void { // its group has nobody left
			t.Errorf("group %d: then decided %+v", of, w.Decision)
		}
		none(t, came)
	}
}

// A client leaves while the connection of a further submission comes up: nothing is written, and the txn
// ends. Guards against a look at clients at the module's wake alone, which is up to 100 ms old then.
func TestClientLeftBeforeTheWrite(t *testing.T) {
	g, h, w, came := again(t, policy.Product{SLA: 4000, Value: 1})
	g.desk.mu.Lock()
	h.ClientGone = func() bool { return true }
	g.desk.mu.Unlock()
	j := job{txn: h, word: w, msg: []byte("GET / HTTP/1.1\r\n\r\n")}
	a, l, _ := g.exchange(j, time.Now().Add(time.Second))
	if a == nil || a.Outcome != policy.NotSent || l != nil {
		t.Fatalf("ended with %+v", a)
	}
	if w = <-h.Commands; w.Decision.Kind != policy.Void || !h.Answered {
		t.Errorf("then decided %+v", w.Decision)
	}
	g.desk.ended(h, 1, 0, a, 1)
	if len(g.desk.txns) != 0 || g.desk.Tally().Final[policy.ByClient] != 1 {
		t.Errorf("%d txns in hand, finals %v", len(g.desk.txns), g.desk.Tally().Final)
	}
	none(t, came)
}

// A txn tells whether something may have been sent for it: its mark is not another's where it was.
func TestSent(t *testing.T) {
	list, _ := worker(t)
	for _, sent := range []bool{false, true} {
		links := transport.NewLinks(8, time.Second, time.Second)
		d := NewDesk(charter(), 1, 5, func(int, []byte) {}, links.Shed)
		t.Cleanup(d.Stop)
		if sent {
			d.Roster(list)
		}
		time.Sleep(20 * time.Millisecond) // what a start takes as spent
		x := &transport.Txn{Arrival: policy.Arrival{Customer: 7, Units: 1, SetSize: 1, Left: 900},
			Method: []byte("GET"), Target: []byte("/a"), Mark: []byte("1")}
		if end := New(d, links).Serve(x); x.Sent != sent {
			t.Errorf("sent %v, want %v; ended with %+v", x.Sent, sent, end)
		}
	}
}

// A first submission whose connection is still coming up when its copy goes out is never sent. Guards against
// one that comes up later than the copy's window: it bears no limit of its own, as nothing was out before it.
func TestLateBehindItsCopy(t *testing.T) {
	list, came := worker(t)
	other, there := worker(t)
	other.Workers[0].Name = "v"
	list.Workers = append(list.Workers, other.Workers[0])
	links := transport.NewLinks(8, time.Second, time.Second)
	c := charter()
	c.MayOverlap = true
	c.Products = []policy.Product{{SLA: 100, Value: 1, Repeat: policy.Referenced, Window: 5000}}
	d := NewDesk(c, 1, 5, func(int, []byte) {}, links.Shed)
	t.Cleanup(d.Stop)
	d.Roster(list)
	time.Sleep(20 * time.Millisecond) // what a start takes as spent
	h := d.take(&transport.Txn{Arrival: policy.Arrival{Customer: 7, Units: 1, SetSize: 1, Left: 5000}})
	first := <-h.Commands
	second := <-h.Commands // the first one's worker is silent
	if second.Decision.Kind != policy.Submit || second.Decision.N != 1 {
		t.Fatalf("then decided %+v", second.Decision)
	}
	g := New(d, links)
	j := job{txn: h, word: first, msg: []byte("GET / HTTP/1.1\r\n\r\n")}
	a, l, _ := g.exchange(j, time.Now().Add(time.Second))
	if a == nil || a.Outcome != policy.NotSent || l != nil {
		t.Fatalf("ended with %+v", a)
	}
	j = job{txn: h, word: second, msg: j.msg}
	until := time.Now().Add(50 * time.Millisecond)
	if a, _, _ := g.exchange(j, until); a == nil || a.Outcome != policy.TimedOut {
		t.Errorf("the copy ended with %+v", a)
	}
	if first.Decision.Worker == 1 {
		came = there
	}
	none(t, came)
}

// shelf keeps nothing.
type shelf struct{ from time.Time }

func (s shelf) Now() float64                         { return float64(time.Since(s.from)) / 1e6 }
func (s shelf) Keep(int, *borrowing.Record)          {}
func (s shelf) Hear(int, incarnation.MessageID) bool { return true }
func (s shelf) Close()                               {}

// The ordinary path with agreement off and on: the decision, and both looks at the terms; and with credit on,
// within the quota and lent.
func BenchmarkTake(b *testing.B) {
	for _, name := range []string{"off", "on", "credit", "lent"} {
		on := name == "on"
		b.Run(name, func(b *testing.B) {
			d := NewDesk(charter(), 1, 5, func(int, []byte) {}, func(int) {})
			defer d.Stop()
			c := charter()
			c.Plans[0] = policy.Plan{Rate: 1e9, Burst: 1e9, CeilingRate: 1e9, CeilingDepth: 1e9, Factor: 1}
			d.gk = policy.New(c, 1)
			d.Roster(endpoints.List{Whole: true, Workers: []endpoints.Worker{{Name: "w", Active: true}}})
			if name == "credit" || name == "lent" {
				if c.Plans[0].Credit, c.Plans[0].Repay = 1, 2e3; name == "lent" {
					c.Plans[0] = policy.Plan{Rate: 1e-3, Credit: 1e12, Repay: 2e15, Factor: 1}
				}
				d.gk = policy.New(c, 1)
				d.Roster(endpoints.List{Whole: true, Workers: []endpoints.Worker{{Name: "w", Active: true}}})
				lines, _ := Lines(c.Plans)
				d.Lends(
					borrowing.New(borrowing.Terms{Gatekeepers: 1, Plans: lines}, 1, -1e18),
					shelf{time.Now()},
					nil,
					nil,
				)
			}
			if on {
				d.Govern(inflight.NewLease(1, history.Leased, bootclock.Nanos()+3600e9), c)
			}
			time.Sleep(10 * time.Millisecond)
			t := &transport.Txn{Arrival: policy.Arrival{Customer: 7, Units: 1, SetSize: 1, Left: 900}}
			t.Mark = []byte("0123456789abcdef")
			msg := make([]byte, 0, 512)
			b.ReportAllocs()
			for b.Loop() {
				h := d.take(t)
				w := <-h.Commands
				if w.Decision.Kind != policy.Submit || !w.Lease.Valid() {
					b.Fatal(w.Decision)
				}
				rules := int64(transport.Ruleless)
				if w.Lease != nil {
					rules = int64(w.Lease.RulesetVersion)
				}
				var at int
				msg, at = transport.AppendSubmission(msg[:0], t, rules)
				transport.TellLeft(msg, at, transport.Millis(w.Decision.At-d.clock.now()))
				d.ended(h, 0, w.Decision.Worker, &transport.Answer{Outcome: policy.Settled, Heard: true}, 1)
			}
		})
	}
}

// What is left from the last look at the terms until the kernel has a submission.
func BenchmarkLookAndWrite(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		for buf := make([]byte, 1<<16); err == nil; {
			_, err = c.Read(buf)
		}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	terms, msg := inflight.NewLease(1, history.Leased, bootclock.Nanos()+3600e9), make([]byte, 200)
	for b.Loop() {
		if !terms.Valid() {
			b.Fatal("they do not hold")
		}
		if _, err := c.Write(msg); err != nil {
			b.Fatal(err)
		}
	}
}
