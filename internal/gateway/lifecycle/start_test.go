package lifecycle

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/testkit/fakes"
	"willowdeck/internal/testkit/faultinject"
	"willowdeck/internal/testkit/ports"
)

// The terms of a start: nine in ten are ready within the first, none later than the second.
const (
	readyMost = 10 * time.Second
	readyLast = 30 * time.Second
)

// nest starts processes that all run on one processor, and ends them with the test.
type nest struct {
	t    *testing.T
	work chan func()
}

func newNest(t *testing.T) *nest {
	n := &nest{t, make(chan func())}
	go func() { // the thread does not return to the pool, and its children end with it at the latest
		runtime.LockOSThread()
		var may, one unix.CPUSet
		if unix.SchedGetaffinity(0, &may) == nil {
			last := 0
			for i := range 1024 {
				if may.IsSet(i) {
					last = i
				}
			}
			one.Set(last)
			_ = unix.SchedSetaffinity(0, &one)
		}
		for f := range n.work {
			f()
		}
	}()
	t.Cleanup(func() { close(n.work) })
	return n
}

// start starts a gatekeeper's process by its configuration file.
func (n *nest) start(file string) *exec.Cmd {
	cmd := exec.Command(faultinject.Program(n.t, "willowdeck"), "serve", "--config", file)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	out, err := os.OpenFile(file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.t.Fatal(err)
	}
	defer out.Close()
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	failed := make(chan error)
	n.work <- func() { failed <- cmd.Start() }
	if err := <-failed; err != nil {
		n.t.Fatal(err)
	}
	return cmd
}

// discoveries are those that tell a start nothing, each in its way: their addresses by name.
func discoveries(t *testing.T) map[string]string {
	t.Helper()
	held := func(says string) string {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { c.Close() })
				_, _ = c.Write([]byte(says))
			}
		}()
		return l.Addr().String()
	}
	return map[string]string{"refuses": ports.Address(t), "is silent": held(""),
		"stops in a list": held("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{\"index\":9"),
		"is black-holed":  hole(t)}
}

// hole gives an address at which connections never come up: its listener's queue is full, and nobody takes
// from it.
func hole(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		t.Cleanup(func() { syscall.Close(fd) })
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	at := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 8 {
		c, err := net.DialTimeout("tcp", at, 200*time.Millisecond)
		if err != nil {
			return at
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatalf("%s takes all connections", at)
	return ""
}

// up waits until a gatekeeper's /up says 200, and gives how long after began that was. Each question has a
// connection of its own, which the gatekeeper ends: it stays behind at its address (TIME_WAIT).
func up(at string, began time.Time) (time.Duration, error) {
	for {
		c, err := net.DialTimeout("tcp", at, time.Second)
		if err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
			res, failed := http.ReadResponse(bufio.NewReader(c), nil)
			c.Close()
			if failed == nil && res.StatusCode == 200 {
				return time.Since(began), nil
			}
		}
		if time.Since(began) > readyLast {
			return 0, fmt.Errorf("not ready within %v, last: %v", readyLast, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Gatekeepers that start in one instant on one processor, of a fleet of three hundred with two hundred known
// workers, while discovery tells nothing and peers are silent, are ready in time and serve; and so are seven
// in ten of them that are killed in one instant and start again at once at their addresses, where connections
// of their former lives have just ended. Guards against a start that waits for discovery, peers or a port.
func TestStartTogether(t *testing.T) {
	const fleet, members, known = 24, 300, 200
	worker, err := fakes.NewWorker("w", time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(worker.Close)
	var list fakes.List
	list.Index = 7
	for i := range known {
		e := worker.Endpoint("a")
		e.Name = fmt.Sprint("w", i)
		list.Endpoints = append(list.Endpoints, e)
	}
	var ways []string
	silent := discoveries(t)
	for way := range silent {
		ways = append(ways, way)
	}
	slices.Sort(ways)
	ports := faultinject.Ports(t, 2*fleet)
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports+2*i) }
	var peers []string
	for i := range members {
		peers = append(peers, fmt.Sprintf("127.9.%d.%d:9", i/200, i%200+1))
	}
	dir, files := t.TempDir(), make([]string, fleet)
	for i := range fleet {
		own := slices.Clone(peers)
		own[i] = fmt.Sprintf("127.0.0.1:%d", ports+2*i+1)
		b, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", i), "listen": at(i), "seed": fmt.Sprint(i),
			"discovery": silent[ways[i%len(ways)]], "known": list, "peer_listen": own[i], "peers": own,
			"limits": map[string]any{"cores": 1, "sockets": 1024, "memory_mb": 192},
			"settings": map[string]any{"me": i, "balancers": members,
				"registry_mode": []string{"pushed", "on_request"}[i/len(ways)%2],
				"classes":       []map[string]any{{"name": "check", "aim_us": 500e3, "effect": "read_like", "worth": 1}},
				"tariffs":       []map[string]any{{"name": "basic", "rate": 400, "most_at_once": 400, "worth_factor": 1}},
				"allowed": map[string]any{"max_attempts": 2, "cancel": true, "keepalive_us": 5e6,
					"connect_timeout_us": 100e3, "peers": true},
				"family_info": map[string]any{"largest": members, "peer_in_per_s": 60},
				"safety":      map[string]any{"answer_slack_us": 5000}}})
		if err != nil {
			t.Fatal(err)
		}
		files[i] = filepath.Join(dir, fmt.Sprintf("n%d.json", i))
		if err = os.WriteFile(files[i], b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	n := newNest(t)
	lives := make([]*exec.Cmd, fleet)
	faultinject.Program(t, "willowdeck") // built before the clock runs
	begin := func(name string, which []int) {
		t.Helper()
		took, errs := make([]time.Duration, len(which)), make([]error, len(which))
		var all sync.WaitGroup
		began := time.Now()
		for _, i := range which {
			lives[i] = n.start(files[i])
		}
		for k, i := range which {
			all.Add(1)
			go func() {
				defer all.Done()
				took[k], errs[k] = up(at(i), began)
			}()
		}
		all.Wait()
		for k, i := range which {
			if errs[k] != nil {
				b, _ := os.ReadFile(files[i] + ".log")
				t.Fatalf("%s: gatekeeper %d, whose discovery %s: %v\n%s", name, i, ways[i%len(ways)], errs[k], b)
			}
		}
		slices.Sort(took)
		if nine := took[(len(took)*9+9)/10-1]; nine > readyMost {
			t.Errorf("%s: nine in ten are ready after %v", name, nine)
		}
		t.Logf("%s: half are ready after %v, the last after %v", name, took[len(took)/2], took[len(took)-1])
		for _, i := range which {
			c, err := net.Dial("tcp", at(i))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() }) // open when its gatekeeper is killed
			raw := strings.NewReplacer("first=0", fmt.Sprint("first=", i), "300m", "2000m")
			fmt.Fprint(c, raw.Replace(check("/check", fmt.Sprint(name, i))))
			if status, _ := read(c); status != "HTTP/1.1 200 OK" {
				t.Errorf("%s: gatekeeper %d is up, and answers %q", name, i, status)
			}
		}
	}
	every := make([]int, fleet)
	for i := range every {
		every[i] = i
	}
	t.Cleanup(func() {
		for _, c := range lives {
			if c != nil {
				_ = c.Process.Kill()
				_ = c.Wait()
			}
		}
	})
	begin("start", every)
	killed := every[:fleet*7/10]
	for _, i := range killed {
		_ = lives[i].Process.Kill()
	}
	var work []time.Duration
	for _, i := range killed {
		_ = lives[i].Wait()
		work = append(work, lives[i].ProcessState.UserTime()+lives[i].ProcessState.SystemTime())
	}
	slices.Sort(work)
	if w := work[len(work)/2]; w > readyMost/members { // of an equal share of a processor that all are on
		t.Errorf("a start takes %v of processor time, %d in a row more than %v", w, members, readyMost)
	}
	t.Logf("processor time of a life with one txn: %v to %v", work[0], work[len(work)-1])
	begin("again", killed)
}

// heed gives a log, and what is closed once it says something.
func heed(says string) (zerolog.Logger, <-chan struct{}) {
	h := &heeder{says: says, said: make(chan struct{})}
	return zerolog.New(h), h.said
}

type heeder struct {
	says string
	once sync.Once
	said chan struct{}
}

func (h *heeder) Write(b []byte) (int, error) {
	if strings.Contains(string(b), h.says) {
		h.once.Do(func() { close(h.said) })
	}
	return len(b), nil
}

// A process that starts while its former life is still ending at its addresses waits for the clients' one,
// and serves before it has the peers' one, which is let go last. Guards against a start that gives up over an
// address that is free a moment later.
func TestStartBeforeFormerEnds(t *testing.T) {
	former := ports.Listen(t)
	peer, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(ports.Address(t))))
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	d := deploy(t, 1, 5000)
	conf := d.conf
	conf.ListenAddress = former.Addr().String()
	conf.PeerListenAddress = peer.LocalAddr().(*net.UDPAddr).AddrPort()
	conf.PeerAddresses = append(conf.PeerAddresses, conf.PeerListenAddress)
	log, waits := heed("address still taken")
	started, failed := make(chan *Gatekeeper, 1), make(chan error, 1)
	go func() {
		g, err := Start(conf, log)
		started <- g
		failed <- err
	}()
	select {
	case <-waits:
	case <-time.After(5 * time.Second):
		t.Fatalf("it does not wait: %v", <-failed)
	}
	former.Close()
	g := <-started
	if err := <-failed; err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		g.unwind()
		<-g.ended
		g.Stop()
	})
	if g.peers.Bound() {
		t.Error("it has the peers' address while another has it")
	}
	d.at = g.At
	if status, _ := d.ask(check("/check", "1")); status != "HTTP/1.1 200 OK" {
		t.Errorf("without peers: %q", status)
	}
	peer.Close()
	until(t, "the peers' address is its own", func() bool { return g.peers.Bound() })
}

// An address that is no one's to take is still an error at once, and so is one of peers that is no address of
// this machine: nothing is gained by waiting.
func TestStartNowhere(t *testing.T) {
	d := deploy(t, 1, 5000)
	for key, change := range map[string]func(*config.Gateway){
		"listen: ": func(c *config.Gateway) { c.ListenAddress = "192.0.2.1:5000" },
		"peer_listen: ": func(c *config.Gateway) {
			c.PeerListenAddress = netip.MustParseAddrPort("192.0.2.1:5001")
			c.PeerAddresses = append(c.PeerAddresses, c.PeerListenAddress)
		},
	} {
		c := d.conf
		change(&c)
		began := time.Now()
		if g, err := Start(c, zerolog.Nop()); err == nil || !strings.HasPrefix(err.Error(), key) ||
			time.Since(began) > placeWithin/2 {
			t.Errorf("%sstarted: %v, %v, after %v", key, g, err, time.Since(began))
		}
	}
}

// A process that is told to end, and to read its file anew, before it serves goes on: it answers what its
// machine has taken by then, and ends by itself. Guards against a signal that ends the program while it
// starts, with connections in the listener's queue.
func TestTermDuringStart(t *testing.T) {
	worker, err := fakes.NewWorker("w", time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(worker.Close)
	known, err := json.Marshal(fakes.List{Index: 7, Endpoints: []fakes.Entry{worker.Endpoint("a")}})
	if err != nil {
		t.Fatal(err)
	}
	n := newNest(t)
	faultinject.Program(t, "willowdeck")
	for range 5 { // a machine that stands still may miss the time in which new connections are served
		former := ports.Listen(t)
		at := former.Addr().String()
		file := filepath.Join(t.TempDir(), "n0.json")
		conf := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"5","limits":{"sockets":64},
			"known":%s,"settings":%s}`, at, hole(t), known, strings.NewReplacer("IDLE", "5000000").Replace(settings))
		if err := os.WriteFile(file, []byte(conf), 0o600); err != nil {
			t.Fatal(err)
		}
		p := n.start(file)
		ended := make(chan error, 1)
		go func() { ended <- p.Wait() }()
		t.Cleanup(func() { _ = p.Process.Kill() })
		until(t, "it waits for its address", func() bool {
			b, _ := os.ReadFile(file + ".log")
			return strings.Contains(string(b), "address still taken")
		})
		for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
			if err := p.Process.Signal(s); err != nil {
				t.Fatal(err)
			}
		}
		former.Close()
		var c net.Conn
		over := false
		for c == nil && !over {
			if c, err = net.DialTimeout("tcp4", at, time.Second); err == nil {
				break
			}
			c = nil
			select {
			case err := <-ended:
				ended <- err
				over = true
			case <-time.After(time.Millisecond):
			}
		}
		if c != nil {
			t.Cleanup(func() { c.Close() })
			fmt.Fprint(c, strings.Replace(check("/check", "1"), "300m", "2000m", 1))
			if status, _ := read(c); status != "HTTP/1.1 200 OK" {
				t.Errorf("taken after the order to end, and answered %q", status)
			}
		}
		select {
		case err := <-ended:
			if err != nil {
				b, _ := os.ReadFile(file + ".log")
				t.Errorf("it ends with %v\n%s", err, b)
			}
		case <-time.After(readyMost):
			t.Error("it does not end")
		}
		if c != nil || t.Failed() {
			return
		}
	}
	t.Error("it takes no connection after the order to end")
}
