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

// started is a real process of the program.
type started struct {
	*exec.Cmd
	at string
}

// start builds the program and runs it before a worker and discovery, with a daemon to ask.
func start(t *testing.T, list *fakes.Discovery, daemon, dir string, more ...string) *started {
	t.Helper()
	path := filepath.Join(dir, "willowdeck")
	if _, err := os.Stat(path); err != nil {
		make := exec.Command("go", "build", "-o", path, "willowdeck/cmd/willowdeck")
		if out, err := make.CombinedOutput(); err != nil {
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
	s := &started{exec.Command(path, args...), at}
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

// around are a worker and discovery.
func around(t *testing.T) (*fakes.Worker, *fakes.Discovery) {
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

// A process that is killed and comes back knows what the one before it had spent while the rules are the
// same; if they are others it takes all ceilings as spent. Guards against a former life's record that is
// believed though others may have had its share meanwhile.
func TestKilledUnderAgreement(t *testing.T) {
	_, list := around(t)
	x := newDaemon(t)
	const rate, depth = 100.0, 50.0
	x.leases(1, rules(rate, depth), true)
	dir := t.TempDir()
	life := func() (*deployment, *started, time.Time) {
		began := time.Now()
		s := start(t, list, x.at, dir, "--residue", filepath.Join(dir, "residue"))
		d := &deployment{t: t, at: s.at}
		until(t, "it does not serve", func() bool {
			c, err := net.Dial("tcp", s.at)
			if err == nil {
				c.Close()
			}
			return err == nil
		})
		return d, s, began
	}
	burst := func(d *deployment) (in int) {
		for range 40 {
			if d.let() {
				in++
			}
		}
		return in
	}
	d, s, _ := life()
	until(t, "it never fills", func() bool {
		time.Sleep(700 * time.Millisecond) // more than it takes to
		return burst(d) == 40
	})
	time.Sleep(600 * time.Millisecond)
	s.Process.Kill()
	s.Wait()
	d, s, _ = life()
	until(t, "no lease", d.let)
	if in := burst(d); in < 35 {
		t.Errorf("%d let in at once by the same rules", in)
	}
	time.Sleep(600 * time.Millisecond)
	s.Process.Kill()
	s.Wait()
	x.leases(2, rules(rate, depth), true)
	d, _, began := life()
	until(t, "no lease", d.let)
	in := burst(d)
	if most := rate*time.Since(began).Seconds() + 1; float64(in) > most {
		t.Errorf("%d let in by other rules, of %.1f since the start", in, most)
	}
}

// A process that stands still while the rules change twice sends nothing by the version that it had, once it
// goes on: neither what comes new, nor what it had in hand. Guards against decisions on a lease that ran out
// unnoticed. By the worker's own record, and by the process's.
func TestStandsStillOverChanges(t *testing.T) {
	// Of all rounds together: a thread may be stopped between the last look and the write, which takes some us
	// of the ms that a txn does. Without the looks there are up to four a round.
	const between = 2
	sum := 0
	w, list := around(t)
	x := newDaemon(t)
	r := rules(1000, 1000)
	r.LeaseMillis, r.Fallback = 200, ruleset.Fallback{Fraction: 0.5, DurationMillis: 100}
	x.leases(1, r, true)
	dir := t.TempDir()
	log := func(who string) *history.Log {
		l, err := history.Open(filepath.Join(dir, who+".jsonl"), who, 1)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	rig, work := log("rig"), log("w0")
	w.Record = work
	s := start(t, list, x.at, dir)
	d := &deployment{t: t, at: s.at}
	until(t, "it does not serve", d.let)
	stop := make(chan struct{})
	var asking sync.WaitGroup
	for range 64 { // all the while
		asking.Add(1)
		go func() {
			defer asking.Done()
			for {
				select {
				case <-stop:
					return
				default:
					d.let()
				}
			}
		}()
	}
	named := func(version uint64) (n int, last time.Time) {
		for _, got := range w.Received() {
			if got.Version == strconv.FormatUint(version, 10) {
				n, last = n+1, got.At
			}
		}
		return n, last
	}
	version := uint64(1)
	for round := range 3 {
		until(t, fmt.Sprintf("nothing is sent by version %d", version), func() bool {
			n, _ := named(version)
			return n > 20
		})
		s.Process.Signal(syscall.SIGSTOP)
		rig.Write(history.Event{Kind: history.Stalls, Peer: "n0"})
		r.Plans = append([]ruleset.Plan(nil), r.Plans...)
		for range 2 {
			time.Sleep(250 * time.Millisecond) // over the lease and its fallback
			version++
			r.Plans[0].CeilingRate = 500 + float64(version)
			x.leases(version, r, true)
		}
		before, _ := named(version - 2)
		on := time.Now()
		rig.Write(history.Event{Kind: history.Wakes, Peer: "n0"})
		s.Process.Signal(syscall.SIGCONT)
		until(t, "it does not go on", func() bool {
			n, _ := named(version)
			return n > 5
		})
		after, last := named(version - 2)
		t.Logf("round %d: %d sent by the version before, the last %v after it went on", round, after-before,
			last.Sub(on).Round(time.Microsecond))
		sum += after - before
		if n, _ := named(version - 1); n > 0 {
			t.Errorf("%d sent by version %d, which it never heard of in time", n, version-1)
		}
	}
	close(stop)
	asking.Wait()
	if sum > between {
		t.Errorf("%d sent by versions that had run out", sum)
	}
	s.Process.Signal(syscall.SIGTERM) // so that its record is whole
	s.Wait()
	rig.Close()
	work.Close()
	record, err := history.Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	c := history.Contradiction(record, history.Plainly(nil), ruleset.DefaultConflictBoundMillis, 250)
	if c.Count > 0 || c.Seen == 0 {
		t.Errorf("by the record: %+v", c)
	}
	sends, acts := 0, map[uint64]bool{}
	for _, e := range record.Events {
		switch e.Kind {
		case history.Acts:
			acts[e.Version] = true
		case history.Sends:
			if sends++; e.Version > 0 && !acts[e.Version] || e.Txn == "" || e.Customer == 0 || e.Worker != "w0" {
				t.Fatalf("sent by what it had not said that it goes by: %+v", e)
			}
		}
	}
	if n := len(w.Received()); sends < n {
		t.Errorf("%d sends recorded, %d came", sends, n)
	}
}
