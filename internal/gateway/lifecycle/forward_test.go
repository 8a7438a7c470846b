package lifecycle

import (
	"bufio"
	"errors"
	"fmt"
	"io"
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

// asked and asking are the operator file's tables for tests.
const asked = "[asked]\nlisten = \"127.0.0.1:1\"\ntrusted = [\"127.0.0.0/8\"]\n" +
	"life_ms = 300\nremember_s = 30\nconnections = 8\n"

func asking(auth *fakes.Auth, more string) string {
	return fmt.Sprintf("[asking]\nservice = %q\nlimit_ms = 200\nshare = 0.6\nconnections = 12\n%s\n", auth.Addr,
		more)
}

// forwards turns forward authentication on by an operator file's text, with one worker as a rule.
func forwards(t *testing.T, text string, swaps ...string) *deployment {
	t.Helper()
	return deployWith(t, forwarded(t, text), 1, 5000, swaps...)
}

func forwarded(t *testing.T, text string) func(c *config.Gateway) {
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

func newAuth(t *testing.T) *fakes.Auth {
	t.Helper()
	a, err := fakes.NewAuth(0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// call asks on behalf of a txn, as a portal does.
func call(raw string) string {
	head, _, _ := strings.Cut(raw, "\r\n\r\n")
	first, rest, _ := strings.Cut(head, "\r\n")
	w := strings.Fields(first)
	var kept []string
	for _, line := range strings.Split(rest, "\r\n") {
		if !strings.HasPrefix(line, "Content-Length") {
			kept = append(kept, line)
		}
	}
	return "GET /auth HTTP/1.1\r\nX-Forwarded-Method: " + w[0] + "\r\nX-Forwarded-Uri: " + w[1] +
		"\r\nX-Forwarded-For: 192.0.2.7\r\nX-Forwarded-Proto: https\r\nX-Forwarded-Host: sales.example\r\n" +
		strings.Join(kept, "\r\n") + "\r\n\r\n"
}

// whole sends bytes on a connection of their own, and gives the answer that comes back.
func whole(t *testing.T, at, raw string) *http.Response {
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

// with puts a header line into a request.
func with(raw, line string) string { return strings.Replace(raw, "\r\n", "\r\n"+line+"\r\n", 1) }

// figure gives one figure of operators'.
func (d *deployment) figure(name string) int64 {
	d.t.Helper()
	for _, m := range d.gk.Stats().Extra {
		if m.Name == name {
			return m.Value
		}
	}
	d.t.Fatalf("no figure %s", name)
	return 0
}

// until waits for something that is to come true soon.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 300 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(what)
}

// A yes takes the units once; the txn that comes runs once, whoever clears or sends it again; one that never
// comes gives its units back; a no says when to return, and that is true.
func TestClearedOnce(t *testing.T) {
	d := forwards(t, asked, `{"name":"tiny","rate":0.1,"most_at_once":1`,
		`{"name":"tiny","rate":2,"most_at_once":2`)
	at := d.gk.portal.Addr()
	tiny := func(id string) string { return strings.Replace(issue("/issue", id), "basic", "tiny", 1) }
	for range 2 { // by two portals
		if r := whole(t, at, call(tiny("t1"))); r.StatusCode != 200 {
			t.Fatalf("cleared: %v", r.Status)
		}
	}
	if n := len(d.got()); n != 0 {
		t.Fatalf("%d submitted for a clearance", n)
	}
	if r := whole(t, d.at, tiny("t1")); r.StatusCode != 200 {
		t.Fatalf("it comes: %v", r.Status)
	}
	for _, again := range []string{whole(t, d.at, tiny("t1")).Status, whole(t, at, call(tiny("t1"))).Status} {
		if !strings.HasPrefix(again, "409") {
			t.Errorf("it comes again: %s", again)
		}
	}
	if n := len(d.got()); n != 1 {
		t.Errorf("it ran %d times", n)
	}
	if r := whole(t, at, call(tiny("t2"))); r.StatusCode != 200 {
		t.Fatalf("the second of two units: %v", r.Status)
	}
	r := whole(t, at, call(tiny("t3"))) // one unit is spent and one kept: no more until one is back
	var wait float64
	if fmt.Sscan(r.Header.Get("Retry-After"), &wait); r.StatusCode != 429 || !(wait > 0) {
		t.Fatalf("beyond the quota: %v, Retry-After %v", r.Status, wait)
	}
	time.Sleep(time.Duration(wait*1000+20) * time.Millisecond)
	if r := whole(t, at, call(tiny("t3"))); r.StatusCode != 200 {
		t.Errorf("after %v s: %v", wait, r.Status)
	}
	until(t, "clearances stay", func() bool { return d.figure("asked.marks") <= 1 })
	until(t, "two do not lapse", func() bool { return d.gk.desk.Tally().FinalByReason[7] == 2 })
	if r := whole(t, d.at, tiny("t2")); r.StatusCode != 200 { // as any other: its clearance is no more
		t.Errorf("after its clearance: %v", r.Status)
	}
}

// The same mark for another customer, product or size is turned away, at both doors, and nothing is booked.
func TestClearedForAnother(t *testing.T) {
	d := forwards(t, asked)
	at := d.gk.portal.Addr()
	if r := whole(t, at, call(issue("/issue", "x"))); r.StatusCode != 200 {
		t.Fatal(r.Status)
	}
	for _, other := range []string{strings.Replace(issue("/issue", "x"), "b4d65521", "b4d65522", 1),
		strings.Replace(issue("/issue", "x"), "units=1", "units=0.5", 1), check("/check", "x")} {
		if r := whole(t, at, call(other)); r.StatusCode != 409 {
			t.Errorf("cleared for another: %v", r.Status)
		}
		if r := whole(t, d.at, other); r.StatusCode != 409 {
			t.Errorf("it comes as another: %v", r.Status)
		}
	}
	if n := d.gk.desk.Tally().Customers; n != 1 || len(d.got()) != 0 {
		t.Errorf("%d customers, %d submitted", n, len(d.got()))
	}
	if r := whole(t, d.at, issue("/issue", "x")); r.StatusCode != 200 || len(d.got()) != 1 {
		t.Errorf("the true one: %v, %d submitted", r.Status, len(d.got()))
	}
}

// Only portals may ask, and a product may be kept for those that were cleared; of several gatekeepers just
// one clears each mark.
func TestClearedOnly(t *testing.T) {
	d := forwards(t, strings.Replace(asked, "127.0.0.0/8", "192.0.2.0/24", 1))
	if r := whole(t, d.gk.portal.Addr(), call(check("/check", "1"))); r.StatusCode != 403 ||
		d.figure("asked.stranger") != 1 {
		t.Errorf("a stranger's call: %v", r.Status)
	}
	d = forwards(t, asked+"cleared_only = [\"issue\"]\nno_status = 403\n", `"balancers":1`, `"balancers":2`)
	two := func(raw string) string { return strings.Replace(raw, "spread=1", "spread=2", 1) }
	if r := whole(t, d.at, two(issue("/issue", "1"))); r.StatusCode != 403 {
		t.Errorf("it was not cleared: %v", r.Status)
	}
	if r := whole(t, d.at, two(check("/check", "2"))); r.StatusCode != 200 {
		t.Errorf("another product: %v", r.Status)
	}
	here, there := 0, 0
	for i := range 40 {
		switch r := whole(t, d.gk.portal.Addr(), call(two(issue("/issue", fmt.Sprint("m", i))))); r.StatusCode {
		case 200:
			here++
		case 421:
			there++
			if r.Header.Get("X-Clear-At") != "1" {
				t.Errorf("elsewhere is %q", r.Header.Get("X-Clear-At"))
			}
		default:
			t.Errorf("mark %d: %v", i, r.Status)
		}
	}
	if here < 8 || there < 8 {
		t.Errorf("%d are cleared here and %d elsewhere", here, there)
	}
}

// What an auth service says decides: a yes goes on, a no is passed on, and all else is "come again", for a
// txn that never went out. The service hears the gatekeeper's word on the original, and not the client's.
func TestVouched(t *testing.T) {
	auth := newAuth(t)
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
	d := forwards(t, asking(auth, `copy = ["WWW-Authenticate"]`+"\nopen = [\"check\"]"))
	as := func(raw, c string) string { return with(raw, "Authorization: "+c) }
	forged := with(as(issue("/issue", "1"), "good"), "X-Forwarded-For: 10.9.8.7")
	if r := whole(t, d.at, forged); r.StatusCode != 200 {
		t.Errorf("a yes: %v", r.Status)
	}
	if got := auth.Received(); len(got) != 1 || got[0].For != "127.0.0.1" || got[0].Target != "/issue" ||
		got[0].Method != "POST" {
		t.Errorf("the service was asked %+v", got)
	}
	r := whole(t, d.at, as(issue("/issue", "2"), "evil"))
	if r.StatusCode != 401 || r.Header.Get("WWW-Authenticate") != "Bearer" || r.Header.Get("X-Inner") != "" {
		t.Errorf("a no: %v %v", r.Status, r.Header)
	}
	if r = whole(t, d.at, issue("/issue", "3")); r.StatusCode != 401 {
		t.Errorf("no credential: %v", r.Status)
	}
	if r = whole(t, d.at, as(issue("/issue", "4"), "busy")); r.StatusCode != 429 ||
		r.Header.Get("Retry-After") != "1.500" {
		t.Errorf("a busy service: %v %v", r.Status, r.Header)
	}
	if r = whole(t, d.at, as(issue("/issue", "5"), "lost")); r.StatusCode != 429 {
		t.Errorf("a service that does not know: %v", r.Status)
	}
	if r = whole(t, d.at, as(check("/check", "6"), "lost")); r.StatusCode != 200 {
		t.Errorf("a product that goes on without: %v", r.Status)
	}
	if r = whole(t, d.at, with(as(issue("/issue", "7"), "good"), "Authorization: evil")); r.StatusCode != 400 {
		t.Errorf("two credentials: %v", r.Status)
	}
	if n := len(d.got()); n != 2 {
		t.Errorf("%d submitted", n)
	}
	if t := d.gk.desk.Tally(); t.FinalByReason[0] != 2 {
		d.t.Errorf("tally %+v", t)
	}
}

// Identity may name the customer: of a txn that does not say, and it has to agree with one that does.
func TestVouchedCustomer(t *testing.T) {
	auth := newAuth(t)
	auth.SetAuthorizer(func(c string) (int, map[string]string) {
		return 200, map[string]string{"X-Customer": c}
	})
	d := forwards(t, asking(auth, `customer = "X-Customer"`))
	as := func(raw, c string) string { return with(raw, "Authorization: "+c) }
	nameless := strings.Replace(issue("/issue", "1"), "Cookie: key=00000000b4d65521\r\n", "", 1)
	for i, c := range []struct {
		raw    string
		status int
	}{{as(issue("/issue", "a"), "00000000b4d65521"), 200}, {as(issue("/issue", "b"), "00000000b4d65522"), 403},
		{as(nameless, "00000000b4d65523"), 200}, {as(issue("/issue", "c"), "who?"), 429}} {
		if r := whole(t, d.at, c.raw); r.StatusCode != c.status {
			t.Errorf("case %d: %v", i, r.Status)
		}
	}
	if n := len(d.got()); n != 2 {
		t.Errorf("%d submitted", n)
	}
}

// Hard case: a service that stalls past the client's patience, in each way. Each txn has one answer, in its
// client's time, nothing goes out, the units are back, and the service is left alone for a while.
func TestServiceStalls(t *testing.T) {
	auth := newAuth(t)
	d := forwards(t, asking(auth, "[asking.breaker]\nafter = 7\npause_ms = 150\nmost_ms = 150"))
	for i, f := range []fakes.Fault{fakes.Stalls, fakes.Silent, fakes.Errs, fakes.Cuts,
		fakes.Garbage, fakes.HalfHead, fakes.Full} {
		auth.SetFault(f)
		from := time.Now()
		r := whole(t, d.at, with(issue("/issue", fmt.Sprint("s", i)), fmt.Sprint("Authorization: c", i)))
		if took := time.Since(from); r.StatusCode != 429 || r.Header.Get("Retry-After") == "" ||
			took > 280*time.Millisecond {
			t.Errorf("fault %d: %v after %v", f, r.Status, took)
		}
	}
	auth.SetFault(fakes.Silent)
	whole(t, d.at, with(issue("/issue", "s8"), "Authorization: c8"))
	time.Sleep(60 * time.Millisecond) // the ask outlives the txn
	before := len(auth.Received())
	from := time.Now()
	if r := whole(t, d.at, with(issue("/issue", "s9"), "Authorization: c9")); r.StatusCode != 429 ||
		time.Since(from) > 50*time.Millisecond || len(auth.Received()) != before {
		t.Errorf("left alone: %v after %v", r.Status, time.Since(from))
	}
	auth.SetFault(fakes.None)
	until(t, "the service is not asked again", func() bool {
		r := whole(t, d.at, with(issue("/issue", fmt.Sprint("u", time.Now().UnixNano())), "Authorization: c9"))
		return r.StatusCode == 200
	})
	if n := len(d.got()); n != 1 {
		t.Errorf("%d submitted", n)
	}
	d.free()
}

// free checks that nothing is kept once all is answered.
func (d *deployment) free() {
	d.t.Helper()
	until(d.t, "txns stay in hand", func() bool {
		return d.gk.desk.Tally().InFlight == 0 && d.gk.front.ActiveRequests() == 0
	})
	r := whole(d.t, d.at, strings.Replace(check("/check", fmt.Sprint("free", time.Now().UnixNano())), "Host:",
		"Authorization: good\r\nHost:", 1))
	if r.StatusCode != 200 {
		d.t.Errorf("afterwards: %v", r.Status)
	}
}

// Hard case: the service says yes when the till has given up. Nothing is submitted, and the units come back.
func TestYesTooLate(t *testing.T) {
	auth := newAuth(t)
	auth.SetServiceTime(120 * time.Millisecond)
	d := forwards(t, asking(auth, ""), `{"name":"tiny","rate":0.1,"most_at_once":1`,
		`{"name":"tiny","rate":0.1,"most_at_once":2`)
	tiny := func(id string) string {
		return with(strings.Replace(issue("/issue", id), "basic", "tiny", 1), "Authorization: c")
	}
	c, err := net.Dial("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, tiny("1"))
	time.Sleep(40 * time.Millisecond)
	c.Close()
	until(t, "the leaving is not seen", func() bool { return d.gk.front.ActiveRequests() == 0 })
	time.Sleep(150 * time.Millisecond) // the yes has come
	if n := len(d.got()); n != 0 || len(auth.Received()) != 1 {
		t.Fatalf("%d submitted for a till that had left, asked %d times", n, len(auth.Received()))
	}
	if r := whole(t, d.at, tiny("2")); r.StatusCode != 200 || len(auth.Received()) != 1 { // the yes is known now
		t.Errorf("with the units that are back: %v", r.Status)
	}
}

// The yes and the client's leaving at about one instant: each once-only txn runs once at most, each client
// that stays has one answer, and nothing is left in hand.
func TestYesAndLeaving(t *testing.T) {
	auth := newAuth(t)
	auth.SetServiceTime(20 * time.Millisecond)
	d := forwards(t, asking(auth, "yes_s = 0"))
	rng := rand.New(rand.NewSource(1))
	var all sync.WaitGroup
	for i := range 200 {
		wait := time.Duration(15+rng.Intn(12)) * time.Millisecond
		stays := rng.Intn(3) == 0
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := net.Dial("tcp", d.at)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			fmt.Fprint(c, with(issue("/issue", fmt.Sprint("r", i)), fmt.Sprint("Authorization: c", i)))
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
	all.Wait()
	until(t, "txns stay in hand", func() bool { return d.gk.front.ActiveRequests() == 0 })
	seen := map[string]bool{}
	for _, raw := range d.got() {
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

// A second process takes over with clearances given and asks under way: what was cleared comes once, what was
// used does not come again, and who asks is answered.
func TestForwardAtReplacement(t *testing.T) {
	auth := newAuth(t)
	d, change := heldListener(t)
	text := strings.Replace(asked, "life_ms = 300", "life_ms = 9000", 1) + asking(auth, `products = ["sale"]`)
	both := func(c *config.Gateway) {
		change(c)
		forwarded(t, text)(c)
	}
	first := d.second(both) // the deployment's own has no portals
	d.gk.Stop()
	until(t, "no portal", func() bool { return first.portal.Addr() != "" })
	for _, id := range []string{"used", "kept"} {
		if r := whole(t, first.portal.Addr(), call(issue("/issue", id))); r.StatusCode != 200 {
			t.Fatal(r.Status)
		}
	}
	if r := whole(t, d.at, issue("/issue", "used")); r.StatusCode != 200 {
		t.Fatal(r.Status)
	}
	auth.SetServiceTime(100 * time.Millisecond)
	busy, err := net.Dial("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	fmt.Fprint(busy, with(sale("/sale", "busy"), "Authorization: good"))
	time.Sleep(20 * time.Millisecond)
	second := d.second(both)
	first.Stop()
	if status, _ := read(busy); status != "HTTP/1.1 200 OK" {
		t.Errorf("an ask under way: %q", status)
	}
	until(t, "no portal in the second", func() bool { return second.portal.Addr() != "" })
	at := second.portal.Addr()
	if r := whole(t, at, call(issue("/issue", "used"))); r.StatusCode != 409 {
		t.Errorf("used before: %v", r.Status)
	}
	if r := whole(t, at, call(issue("/issue", "kept"))); r.StatusCode != 200 {
		t.Errorf("cleared before: %v", r.Status)
	}
	for i, want := range []int{200, 409} {
		if r := whole(t, d.at, issue("/issue", "kept")); r.StatusCode != want {
			t.Errorf("it comes, %d: %v", i, r.Status)
		}
	}
	second.Reload(config.Gateway{}, errors.New("none"))
	if n := len(d.got()); n != 3 {
		t.Errorf("%d submitted", n)
	}
}

// A drain and a reload with asks under way: all is answered, and what comes goes on being asked for.
func TestForwardWhileDraining(t *testing.T) {
	auth := newAuth(t)
	auth.SetServiceTime(60 * time.Millisecond)
	d := forwards(t, asked+asking(auth, ""))
	answers := make(chan string, 8)
	for i := range 4 {
		go func() {
			status, _ := d.ask(with(issue("/issue", fmt.Sprint("d", i)), fmt.Sprint("Authorization: d", i)))
			answers <- status
		}()
	}
	time.Sleep(20 * time.Millisecond)
	d.gk.Quiesce()
	d.gk.Reload(d.conf, nil)
	if r := whole(t, d.gk.portal.Addr(), call(issue("/issue", "p"))); r.StatusCode != 200 {
		t.Errorf("a portal's call meanwhile: %v", r.Status)
	}
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal)
	stop <- syscall.SIGTERM
	over := make(chan error, 1)
	go func() {
		over <- d.gk.Run(stop, reload, func() (config.Gateway, error) { return d.conf, nil })
	}()
	if r := whole(t, d.at, issue("/issue", "p")); r.StatusCode != 200 {
		t.Errorf("what was cleared comes: %v", r.Status)
	}
	for range 4 {
		if s := <-answers; s != "HTTP/1.1 200 OK" {
			t.Errorf("answered %q", s)
		}
	}
	if err := <-over; err != nil {
		t.Error(err)
	}
}
