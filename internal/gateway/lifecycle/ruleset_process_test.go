package lifecycle

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/fakes"
	"willowdeck/internal/testkit/history"
	"willowdeck/internal/testkit/ports"
)

// process is a real process of the program.
type process struct {
	*exec.Cmd
	address string
}

// startProcess builds the program and runs it before discovery, with a daemon to request leases from.
func startProcess(t *testing.T, list *fakes.Discovery, daemon, dir string, more ...string) *process {
	t.Helper()
	path := filepath.Join(dir, "willowdeck")
	if _, err := os.Stat(path); err != nil {
		build := exec.Command("go", "build", "-o", path, "willowdeck/cmd/willowdeck")
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
	}
	at := ports.Address(t)
	conf, err := json.Marshal(map[string]any{"name": "n0", "listen": at, "discovery": list.Addr, "seed": "5",
		"known": list.List(), "limits": map[string]any{"sockets": 256, "memory_mb": 64},
		"settings": map[string]any{"me": 0, "balancers": 1,
			"classes": []map[string]any{{"name": "check", "aim_us": 400e3, "effect": "read_like", "worth": 1}},
			"tariffs": []map[string]any{
				{"name": "basic", "rate": 1000, "most_at_once": 1000, "hard_rate": 1000, "cap_depth": 1000,
					"worth_factor": 1},
				{"name": "tiny", "rate": 0.1, "most_at_once": 1, "worth_factor": 1}},
			"allowed": map[string]any{"max_attempts": 3, "cancel": true, "keepalive_us": 5e6,
				"connect_timeout_us": 100e3},
			"family_info": map[string]any{"largest": 1}, "safety": map[string]any{"answer_slack_us": 5000}}})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "gatekeeper.json")
	if err := os.WriteFile(file, conf, 0o600); err != nil {
		t.Fatal(err)
	}
	args := append([]string{"serve", "--config", file, "--agree", daemon, "--history", dir}, more...)
	s := &process{exec.Command(path, args...), at}
	s.Stderr = os.Stderr
	s.Env = append(os.Environ(), "WILLOWDECK_LOG=warn")
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Process.Kill()
		s.Wait()
	})
	return s
}

// startWorkerAndDiscovery starts a worker, and discovery that lists it.
func startWorkerAndDiscovery(t *testing.T) (*fakes.Worker, *fakes.Discovery) {
	t.Helper()
	w, err := fakes.NewWorker("w0", 2*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	list, err := fakes.NewDiscovery(w.Endpoint("a"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	return w, list
}

// TestKilledWithRuleset: a process that is killed and restarted knows what was used of rate limits while the
// ruleset is the same; if it is another, all count as used up. Guards against a crash state that is trusted
// although other members may have had its share meanwhile.
func TestKilledWithRuleset(t *testing.T) {
	_, list := startWorkerAndDiscovery(t)
	x := newFakeDaemon(t)
	const rate, depth = 100.0, 50.0
	x.setLease(1, testRules(rate, depth), true)
	dir := t.TempDir()
	startNext := func() (*deployment, *process, time.Time) {
		start := time.Now()
		s := startProcess(t, list, x.address, dir, "--residue", filepath.Join(dir, "residue"))
		d := &deployment{t: t, address: s.address}
		waitFor(t, "it does not serve clients", func() bool {
			c, err := net.Dial("tcp", s.address)
			if err == nil {
				c.Close()
			}
			return err == nil
		})
		return d, s, start
	}
	burst := func(d *deployment) (passed int) {
		for range 40 {
			if d.passes() {
				passed++
			}
		}
		return passed
	}
	d, s, _ := startNext()
	waitFor(t, "the rate limit never fills", func() bool {
		time.Sleep(700 * time.Millisecond) // longer than it takes
		return burst(d) == 40
	})
	time.Sleep(600 * time.Millisecond)
	s.Process.Kill()
	s.Wait()
	d, s, _ = startNext()
	waitFor(t, "no request is served under a lease", d.passes)
	if passed := burst(d); passed < 35 {
		t.Errorf("%d passed at once under the same ruleset", passed)
	}
	time.Sleep(600 * time.Millisecond)
	s.Process.Kill()
	s.Wait()
	x.setLease(2, testRules(rate, depth), true)
	d, _, start := startNext()
	waitFor(t, "no request is served under a lease", d.passes)
	passed := burst(d)
	if maxPassed := rate*time.Since(start).Seconds() + 1; float64(passed) > maxPassed {
		t.Errorf("%d passed under another ruleset, of %.1f since the start", passed, maxPassed)
	}
}

// TestStalledOverRulesetChanges: a process that is stopped while the ruleset changes twice sends nothing
// under the version that it had, once it continues: neither for new requests, nor for those in flight.
// Guards against decisions on a lease that expired unnoticed. Checked by the worker's record and the
// process's own.
func TestStalledOverRulesetChanges(t *testing.T) {
	// Of all rounds together: a thread may be stopped between the last look and the write, which takes some us
	// of the ms that a request does. Without the checks there are up to four a round.
	const maxStale = 2
	staleSends := 0
	worker, list := startWorkerAndDiscovery(t)
	daemon := newFakeDaemon(t)
	next := testRules(1000, 1000)
	next.LeaseMillis, next.Fallback = 200, ruleset.Fallback{Fraction: 0.5, DurationMillis: 100}
	daemon.setLease(1, next, true)
	dir := t.TempDir()
	log := func(who string) *history.Log {
		l, err := history.Open(filepath.Join(dir, who+".jsonl"), who, 1)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	testLog, workerLog := log("rig"), log("w0")
	worker.Record = workerLog
	running := startProcess(t, list, daemon.address, dir)
	d := &deployment{t: t, address: running.address}
	waitFor(t, "it does not serve clients", d.passes)
	stop := make(chan struct{})
	var asking sync.WaitGroup
	for range 64 { // throughout the test
		asking.Add(1)
		go func() {
			defer asking.Done()
			for {
				select {
				case <-stop:
					return
				default:
					d.passes()
				}
			}
		}()
	}
	submissionsOf := func(version uint64) (n int, last time.Time) {
		for _, got := range worker.Received() {
			if got.Version == strconv.FormatUint(version, 10) {
				n, last = n+1, got.At
			}
		}
		return n, last
	}
	version := uint64(1)
	for round := range 3 {
		waitFor(t, fmt.Sprintf("nothing is sent under version %d", version), func() bool {
			n, _ := submissionsOf(version)
			return n > 20
		})
		running.Process.Signal(syscall.SIGSTOP)
		testLog.Write(history.Event{Kind: history.Stalls, Peer: "n0"})
		next.Plans = append([]ruleset.Plan(nil), next.Plans...)
		for range 2 {
			time.Sleep(250 * time.Millisecond) // over the lease and its fallback
			version++
			next.Plans[0].CeilingRate = 500 + float64(version)
			daemon.setLease(version, next, true)
		}
		before, _ := submissionsOf(version - 2)
		continuedAt := time.Now()
		testLog.Write(history.Event{Kind: history.Wakes, Peer: "n0"})
		running.Process.Signal(syscall.SIGCONT)
		waitFor(t, "it does not continue", func() bool {
			n, _ := submissionsOf(version)
			return n > 5
		})
		after, last := submissionsOf(version - 2)
		t.Logf("round %d: %d sent under the version before, the last %v after it continued", round, after-before,
			last.Sub(continuedAt).Round(time.Microsecond))
		staleSends += after - before
		if n, _ := submissionsOf(version - 1); n > 0 {
			t.Errorf("%d sent under version %d, which it never received in time", n, version-1)
		}
	}
	close(stop)
	asking.Wait()
	if staleSends > maxStale {
		t.Errorf("%d sent under versions that had expired", staleSends)
	}
	running.Process.Signal(syscall.SIGTERM) // so that its record is complete
	running.Wait()
	testLog.Close()
	workerLog.Close()
	record, err := history.Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	c := history.Contradiction(record, history.Plainly(nil), ruleset.DefaultConflictBoundMillis, 250)
	if c.Count > 0 || c.Seen == 0 {
		t.Errorf("by the record: %+v", c)
	}
	sends, adopted := 0, map[uint64]bool{}
	for _, e := range record.Events {
		switch e.Kind {
		case history.Acts:
			adopted[e.Version] = true
		case history.Sends:
			if sends++; e.Version > 0 && !adopted[e.Version] || e.Txn == "" || e.Customer == 0 || e.Worker != "w0" {
				t.Fatalf("sent under a version that it had not recorded as adopted: %+v", e)
			}
		}
	}
	if n := len(worker.Received()); sends < n {
		t.Errorf("%d sends recorded, %d came", sends, n)
	}
}
