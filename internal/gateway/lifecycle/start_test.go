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
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/testkit/fakes"
	"willowdeck/internal/testkit/faultinject"
	"willowdeck/internal/testkit/ports"
)

// The terms of a start: nine in ten are ready within the first, none later than the second.
const (
	readyNinetiethPercentile = 10 * time.Second
	readyTimeout             = 30 * time.Second
)

// silentDiscoveries are the addresses of discoveries that send a starting gateway nothing, by how they fail.
func silentDiscoveries(t *testing.T) map[string]string {
	t.Helper()
	serveText := func(text string) string {
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
				_, _ = c.Write([]byte(text))
			}
		}()
		return l.Addr().String()
	}
	return map[string]string{"refuses": ports.Address(t), "is silent": serveText(""),
		"stops in a list": serveText("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{\"index\":9"),
		"is black-holed":  fullBacklogAddress(t)}
}

// fullBacklogAddress gives an address at which connections never come up: its listener's backlog is full,
// and nobody accepts.
func fullBacklogAddress(t *testing.T) string {
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

// waitReady polls /up until it succeeds, and gives how long that took since a time. Each request has a
// connection of its own, which the gateway closes: it stays behind at its address (TIME_WAIT).
func waitReady(at string, start time.Time) (time.Duration, error) {
	for {
		c, err := net.DialTimeout("tcp", at, time.Second)
		if err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
			res, failed := http.ReadResponse(bufio.NewReader(c), nil)
			c.Close()
			if failed == nil && res.StatusCode == 200 {
				return time.Since(start), nil
			}
		}
		if time.Since(start) > readyTimeout {
			return 0, fmt.Errorf("not ready within %v, last: %w", readyTimeout, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestStartTogether starts gateways in one instant on one processor, of a fleet of three hundred with two
// hundred configured workers, while discovery sends nothing and peers are silent. They are ready in time and
// serve, and so are seven in ten of them that are killed in one instant and started again at their
// addresses, where connections of their earlier incarnations have just ended. Guards against a start that
// waits for discovery, peers or a port.
func TestStartTogether(t *testing.T) {
	const started, members, known = 24, 300, 200
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
	var failures []string
	silent := silentDiscoveries(t)
	for way := range silent {
		failures = append(failures, way)
	}
	slices.Sort(failures)
	ports := faultinject.Ports(t, 2*started)
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports+2*i) }
	var peers []string
	for i := range members {
		peers = append(peers, fmt.Sprintf("127.9.%d.%d:9", i/200, i%200+1))
	}
	dir, files := t.TempDir(), make([]string, started)
	for i := range started {
		ownPeers := slices.Clone(peers)
		ownPeers[i] = fmt.Sprintf("127.0.0.1:%d", ports+2*i+1)
		b, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", i), "listen": address(i),
			"seed": fmt.Sprint(i), "discovery": silent[failures[i%len(failures)]], "known": list,
			"peer_listen": ownPeers[i], "peers": ownPeers,
			"limits": map[string]any{"cores": 1, "sockets": 1024, "memory_mb": 192},
			"settings": map[string]any{"me": i, "balancers": members,
				"registry_mode": []string{"pushed", "on_request"}[i/len(failures)%2],
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
	n := newProcessGroup(t)
	processes := make([]*exec.Cmd, started)
	faultinject.Program(t, "willowdeck") // built before the clock runs
	startAll := func(name string, which []int) {
		t.Helper()
		readyAfter, errs := make([]time.Duration, len(which)), make([]error, len(which))
		var all sync.WaitGroup
		began := time.Now()
		for _, i := range which {
			processes[i] = n.start(files[i])
		}
		for k, i := range which {
			all.Add(1)
			go func() {
				defer all.Done()
				readyAfter[k], errs[k] = waitReady(address(i), began)
			}()
		}
		all.Wait()
		for k, i := range which {
			if errs[k] != nil {
				b, _ := os.ReadFile(files[i] + ".log")
				t.Fatalf("%s: gateway %d, whose discovery %s: %v\n%s", name, i, failures[i%len(failures)], errs[k], b)
			}
		}
		slices.Sort(readyAfter)
		if ninetieth := readyAfter[(len(readyAfter)*9+9)/10-1]; ninetieth > readyNinetiethPercentile {
			t.Errorf("%s: nine in ten are ready after %v", name, ninetieth)
		}
		t.Logf(
			"%s: half are ready after %v, the last after %v",
			name,
			readyAfter[len(readyAfter)/2],
			readyAfter[len(readyAfter)-1],
		)
		for _, i := range which {
			c, err := net.Dial("tcp", address(i))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() }) // open when its gateway is killed
			raw := strings.NewReplacer("first=0", fmt.Sprint("first=", i), "300m", "2000m")
			fmt.Fprint(c, raw.Replace(checkRequest("/check", fmt.Sprint(name, i))))
			if status, _ := readResponse(c); status != "HTTP/1.1 200 OK" {
				t.Errorf("%s: gateway %d is ready, and answers %q", name, i, status)
			}
		}
	}
	all := make([]int, started)
	for i := range all {
		all[i] = i
	}
	t.Cleanup(func() {
		for _, c := range processes {
			if c != nil {
				_ = c.Process.Kill()
				_ = c.Wait()
			}
		}
	})
	startAll("start", all)
	killed := all[:started*7/10]
	for _, i := range killed {
		_ = processes[i].Process.Kill()
	}
	var processorTimes []time.Duration
	for _, i := range killed {
		_ = processes[i].Wait()
		processorTimes = append(
			processorTimes,
			processes[i].ProcessState.UserTime()+processes[i].ProcessState.SystemTime(),
		)
	}
	slices.Sort(processorTimes)
	// Of an equal share of a processor that all are on.
	if w := processorTimes[len(processorTimes)/2]; w > readyNinetiethPercentile/members {
		t.Errorf(
			"a start takes %v of processor time, %d in a row more than %v",
			w,
			members,
			readyNinetiethPercentile,
		)
	}
	t.Logf(
		"processor time of a process with one request: %v to %v",
		processorTimes[0],
		processorTimes[len(processorTimes)-1],
	)
	startAll("again", killed)
}

// logWatcher gives a logger, and a channel that is closed once it has logged a text.
func logWatcher(substring string) (zerolog.Logger, <-chan struct{}) {
	h := &logMatcher{substring: substring, matched: make(chan struct{})}
	return zerolog.New(h), h.matched
}

type logMatcher struct {
	substring string
	once      sync.Once
	matched   chan struct{}
}

func (h *logMatcher) Write(b []byte) (int, error) {
	if strings.Contains(string(b), h.substring) {
		h.once.Do(func() { close(h.matched) })
	}
	return len(b), nil
}

// TestStartWhileAddressInUse: a process that starts while an earlier one is still ending at its addresses
// waits for the clients' one, and serves before it has the peers' one, which is released last. Guards
// against a start that gives up over an address that is free a moment later.
func TestStartWhileAddressInUse(t *testing.T) {
	former := ports.Listen(t)
	peer, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(ports.Address(t))))
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	d := deploy(t, 1, 5000)
	conf := d.config
	conf.ListenAddress = former.Addr().String()
	conf.PeerListenAddress = peer.LocalAddr().(*net.UDPAddr).AddrPort()
	conf.PeerAddresses = append(conf.PeerAddresses, conf.PeerListenAddress)
	log, waits := logWatcher("address in use")
	started, failed := make(chan *Gateway, 1), make(chan error, 1)
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
		g.cancelWatch()
		<-g.watchEnded
		g.Stop()
	})
	if g.peers.Bound() {
		t.Error("it has bound the peers' address while another has it")
	}
	d.address = g.Address
	if status, _ := d.send(checkRequest("/check", "1")); status != "HTTP/1.1 200 OK" {
		t.Errorf("without peers: %q", status)
	}
	peer.Close()
	waitFor(t, "the peers' address is not bound", func() bool { return g.peers.Bound() })
}

// TestStartInvalidAddress: an address that is not of this machine is an error at once, for clients and for
// peers: waiting gains nothing.
func TestStartInvalidAddress(t *testing.T) {
	d := deploy(t, 1, 5000)
	for key, change := range map[string]func(*config.Gateway){
		"listen: ": func(c *config.Gateway) { c.ListenAddress = "192.0.2.1:5000" },
		"peer_listen: ": func(c *config.Gateway) {
			c.PeerListenAddress = netip.MustParseAddrPort("192.0.2.1:5001")
			c.PeerAddresses = append(c.PeerAddresses, c.PeerListenAddress)
		},
	} {
		c := d.config
		change(&c)
		start := time.Now()
		if g, err := Start(c, zerolog.Nop()); err == nil || !strings.HasPrefix(err.Error(), key) ||
			time.Since(start) > listenTimeout/2 {
			t.Errorf("%sstarted: %v, %v, after %v", key, g, err, time.Since(start))
		}
	}
}

// TestTermDuringStart: a process that gets SIGTERM and SIGHUP before it serves goes on: it answers what the
// kernel has accepted by then, and exits. Guards against a signal that ends the program while it starts,
// with connections in the listener's backlog.
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
	n := newProcessGroup(t)
	faultinject.Program(t, "willowdeck")
	for range 5 { // a machine that stalls may miss the time in which new connections are served
		former := ports.Listen(t)
		at := former.Addr().String()
		file := filepath.Join(t.TempDir(), "n0.json")
		conf := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"5","limits":{"sockets":64},
			"known":%s,"settings":%s}`, at, fullBacklogAddress(t), known,
			strings.NewReplacer("IDLE", "5000000").Replace(settings))
		if err := os.WriteFile(file, []byte(conf), 0o600); err != nil {
			t.Fatal(err)
		}
		p := n.start(file)
		ended := make(chan error, 1)
		go func() { ended <- p.Wait() }()
		t.Cleanup(func() { _ = p.Process.Kill() })
		waitFor(t, "it does not wait for its address", func() bool {
			b, _ := os.ReadFile(file + ".log")
			return strings.Contains(string(b), "address in use")
		})
		for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
			if err := p.Process.Signal(s); err != nil {
				t.Fatal(err)
			}
		}
		former.Close()
		var c net.Conn
		exited := false
		for c == nil && !exited {
			if c, err = net.DialTimeout("tcp4", at, time.Second); err == nil {
				break
			}
			c = nil
			select {
			case err := <-ended:
				ended <- err
				exited = true
			case <-time.After(time.Millisecond):
			}
		}
		if c != nil {
			t.Cleanup(func() { c.Close() })
			fmt.Fprint(c, strings.Replace(checkRequest("/check", "1"), "300m", "2000m", 1))
			if status, _ := readResponse(c); status != "HTTP/1.1 200 OK" {
				t.Errorf("accepted after SIGTERM, and answered %q", status)
			}
		}
		select {
		case err := <-ended:
			if err != nil {
				b, _ := os.ReadFile(file + ".log")
				t.Errorf("it ends with %v\n%s", err, b)
			}
		case <-time.After(readyNinetiethPercentile):
			t.Error("the gateway does not stop")
		}
		if c != nil || t.Failed() {
			return
		}
	}
	t.Error("it accepts no connection after SIGTERM")
}
