package supervisor

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net/http"
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

	"willowdeck/internal/lab/loadgen"
	"willowdeck/internal/lab/workload"
	"willowdeck/internal/testkit/fakes"
	"willowdeck/internal/testkit/faultinject"
)

var (
	chaosFor  = flag.Duration("chaos", 12*time.Second, "how long instances are killed at random")
	remember  = flag.Bool("remember", true, "whether those that are killed remember what they spent")
	instances = flag.Int("instances", 5, "how many there are")
)

// deployed is a fleet of real processes on loopback before stand-ins.
type deployed struct {
	t       *testing.T
	dir     string
	file    string
	workers []*fakes.Worker
	list    *fakes.Discovery
	ports   int
	n       int
}

// program builds the gatekeeper once.
var program = func() func(t *testing.T) string {
	built := ""
	var mu sync.Mutex
	return func(t *testing.T) string {
		mu.Lock()
		defer mu.Unlock()
		if built == "" {
			dir, err := os.MkdirTemp("", "wdfleet")
			if err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(dir, "willowdeck")
			if out, err := exec.Command("go", "build", "-o", path,
				"willowdeck/cmd/willowdeck").CombinedOutput(); err != nil {
				t.Fatalf("%v: %s", err, out)
			}
			built = path
		}
		return built
	}
}()

const ceiling, depth = 40.0, 20.0

func prepare(t *testing.T, n int) *deployed {
	t.Helper()
	dir, err := os.MkdirTemp("", "wdf") // sockets' paths are short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	d := &deployed{
		t:     t,
		dir:   dir,
		file:  filepath.Join(dir, "fleet.toml"),
		ports: faultinject.Ports(t, 4*n+1),
		n:     n,
	}
	var entries []fakes.Entry
	for i := range 4 {
		w, err := fakes.NewWorker(fmt.Sprintf("w%d", i), 5*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		d.workers = append(d.workers, w)
		entries = append(entries, w.Of("z"))
	}
	if d.list, err = fakes.NewDiscovery(entries...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.list.Close)
	d.config(map[string]any{})
	d.write(n, "")
	return d
}

// config writes what all instances are told.
func (d *deployed) config(more map[string]any) {
	settings := map[string]any{"me": 0, "balancers": 1,
		"classes": []map[string]any{
			{"name": "check", "aim_us": 500e3, "effect": "read_like", "worth": 1},
			{"name": "sale", "aim_us": 500e3, "effect": "idempotency_key", "group": "all", "window_us": 5e6,
				"worth": 1},
			{"name": "issue", "aim_us": 500e3, "effect": "non_idempotent", "worth": 1}},
		"tariffs": []map[string]any{{"name": "basic", "rate": 500, "most_at_once": 500, "worth_factor": 1},
			{"name": "capped", "rate": 200, "most_at_once": 200, "hard_rate": ceiling, "cap_depth": depth,
				"worth_factor": 1}},
		"allowed": map[string]any{"max_attempts": 3, "cancel": true, "retry_after": true, "max_retry_after_us": 9e6,
			"keepalive_us": 5e6, "connect_timeout_us": 100e3, "peers": true},
		"family_info": map[string]any{"largest": 1, "peer_in_per_s": 200},
		"safety":      map[string]any{"answer_slack_us": 5000}}
	for k, v := range more {
		settings[k] = v
	}
	b, err := json.Marshal(map[string]any{"discovery": d.list.At, "seed": "5", "known": d.list.List(),
		"limits": map[string]any{"sockets": 256, "memory_mb": 64}, "settings": settings})
	if err != nil {
		d.t.Fatal(err)
	}
	os.WriteFile(filepath.Join(d.dir, "gatekeeper.json"), b, 0o600)
}

func (d *deployed) write(n int, more string) {
	at := func(i int) string { return fmt.Sprintf("\"127.0.0.1:%d\"", d.ports+i) }
	text := strings.Join([]string{"name = \"g\"", fmt.Sprintf("instances = %d", n),
		fmt.Sprintf("program = %q", program(d.t)), "config = \"gatekeeper.json\"", "run_dir = \"run\"",
		"control = " + at(0), "listen = " + at(1), "operators = " + at(1+d.n), "peers = " + at(1), "step = 2", more,
		"[restart]", "first_ms = 50", "most_ms = 500", "calm_s = 5", ""}, "\n")
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployed) daemon() *Daemon {
	d.t.Helper()
	f, err := LoadSettings(d.file)
	if err != nil {
		d.t.Fatal(err)
	}
	x, err := NewDaemon(f, zerolog.Nop())
	if err != nil {
		d.t.Fatal(err)
	}
	return x
}

// until waits for all that are wanted to be ready, with what is wanted.
func (d *deployed) until(x *Daemon, ready int) {
	d.t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		n := 0
		for _, s := range x.Statuses() {
			if s.State == Ready && !s.Outdated {
				n++
			}
		}
		if n == ready {
			return
		}
	}
	d.t.Fatalf("not %d are ready: %+v", ready, x.Statuses())
}

func (d *deployed) targets(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("127.0.0.1:%d", d.ports+1+i))
	}
	return all
}

// beyond tells by how many units sends went beyond the ceiling. The slack is what its rate gives in 500
// ms: the rule's 150, and what a busy machine may bunch on the way to a worker, where they are seen.
func beyond(at []time.Time) (most float64) {
	slices.SortFunc(at, time.Time.Compare)
	full := depth + ceiling*0.5
	level := full
	for i := range at {
		if i > 0 {
			level = min(level+at[i].Sub(at[i-1]).Seconds()*ceiling, full)
		}
		level--
		most = max(most, -level)
	}
	return most
}

// Instances are killed at random under load and come back, a reload replaces all of them meanwhile, and
// half fall at once. Counted from the workers' own records: no once-only txn runs twice, and no customer
// goes beyond its ceiling by more than the stated slack.
func TestChaos(t *testing.T) {
	d := prepare(t, *instances)
	d.write(*instances, fmt.Sprintf("remember = %t", *remember))
	x := d.daemon()
	defer x.Stop()
	d.until(x, d.n)
	var all []workload.Arrival
	span := float64(*chaosFor / time.Millisecond)
	for at := 0.0; at < span; at += 6 {
		a := workload.Arrival{At: at, Customer: len(all) % 7, Product: len(all) % 3, Units: 1, Set: len(all)}
		if len(all)%2 == 0 { // one customer that asks for twice its ceiling, at all gatekeepers
			a.Customer, a.Plan = 100, 1
		}
		all = append(all, a)
	}
	j := &loadgen.Job{Arrivals: all, Targets: d.targets(d.n), Spread: d.n, Plans: []string{"basic", "capped"},
		Most: 2000,
		Products: []loadgen.Product{{Name: "check", Repeat: "inquiry", Waits: 400 * time.Millisecond},
			{Name: "sale", Repeat: "referenced", Waits: 400 * time.Millisecond, Body: 20},
			{Name: "issue", Repeat: "once", Waits: 400 * time.Millisecond, Body: 20}}}
	done := make(chan *loadgen.Report, 1)
	go func() {
		r, err := j.Run(context.Background())
		if err != nil {
			t.Error(err)
		}
		done <- r
	}()
	rng := rand.New(rand.NewSource(1))
	kills := 0
	var report *loadgen.Report
	for tick, wait := 0, time.NewTicker(300*time.Millisecond); report == nil; tick++ {
		select {
		case report = <-done:
			wait.Stop()
			continue
		case <-wait.C:
		}
		x.mu.Lock()
		for _, s := range x.reconciler.Statuses() {
			half := tick%20 == 10 // half of them at one moment, in the middle of it
			if r := x.processes[s.ProcessNumber]; r != nil && (half && rng.Intn(2) == 0 || !half && rng.Intn(4*d.n) == 0) {
				syscall.Kill(r.PID, syscall.SIGKILL)
				kills++
			}
		}
		x.mu.Unlock()
		if tick == 15 {
			d.config(map[string]any{"weight_source": "none"}) // another text, the same sense
			x.Reload(LoadSettings(d.file))
		}
	}
	d.until(x, d.n)
	ran := map[string]int{}
	var capped []time.Time // what was sent of the customer with a ceiling
	whole := 0
	for _, w := range d.workers {
		for _, got := range w.Got() {
			whole++
			if ran[got.ID]++; got.Product == "issue" && ran[got.ID] > 1 {
				t.Errorf("once-only %s was run %d times", got.ID, ran[got.ID])
			}
			n := 0
			_, query, _ := strings.Cut(got.Target, "?n=")
			if fmt.Sscan(query, &n); all[n].Plan == 1 && ran[got.ID] == 1 {
				capped = append(capped, got.At)
			}
		}
	}
	over := beyond(capped)
	if over > 0 || len(capped) < 20 {
		t.Errorf("%.1f units beyond the ceiling, of %d", over, len(capped))
	}
	settled := int64(0)
	for _, n := range report.Counts {
		settled += n[loadgen.Settled]
	}
	restarts := 0
	for _, s := range x.Statuses() {
		restarts += s.Restarts
	}
	t.Logf("%d kills, %d restarts, %d asked, %d settled, %d sent to workers, %d under the ceiling",
		kills, restarts, len(all),
		settled, whole, len(capped))
	if kills < 3 || restarts < kills/2 || settled < int64(len(all))/2 {
		t.Errorf("%d kills, %d restarts, %d of %d settled", kills, restarts, settled, len(all))
	}
}

// The number of instances changes in service; one that is taken away ends, and its port is free.
func TestGrowAndShrink(t *testing.T) {
	d := prepare(t, 4)
	d.write(2, "")
	x := d.daemon()
	defer x.Stop()
	d.until(x, 2)
	pid := func() int {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.processes[x.reconciler.Statuses()[0].ProcessNumber].PID
	}
	first := pid()
	grow := func(n int) {
		t.Helper()
		d.write(n, "")
		x.Reload(LoadSettings(d.file))
		d.until(x, n)
		if pid() != first {
			b, _ := os.ReadFile(filepath.Join(d.dir, "run", "g-0", "log"))
			t.Errorf("the first instance was replaced on the way to %d: %s", n, b)
		}
	}
	grow(4)
	// All reckon with four: a set of four is taken by each, under one ceiling.
	var all []workload.Arrival
	for i := range 600 {
		all = append(all, workload.Arrival{At: float64(i * 3), Customer: 100, Plan: 1, Units: 1, Set: i})
	}
	j := &loadgen.Job{Arrivals: all, Targets: d.targets(4), Spread: 4, Plans: []string{"basic", "capped"},
		Most:     100,
		Products: []loadgen.Product{{Name: "check", Repeat: "inquiry", Waits: 400 * time.Millisecond}}}
	r, err := j.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var capped []time.Time
	for _, got := range fakes.InOrder(d.workers) {
		capped = append(capped, got.At)
	}
	c := r.Counts["check"]
	if over := beyond(capped); over > 0 || len(capped) < 30 || c[loadgen.Voided]+c[loadgen.NoAnswer] > 0 {
		t.Errorf("%.1f units beyond the ceiling, of %d; %v", over, len(capped), c)
	}
	grow(1)
	time.Sleep(200 * time.Millisecond)
	for end := time.Now().Add(6 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		x.mu.Lock()
		n := len(x.processes)
		x.mu.Unlock()
		if n == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d processes run", n)
		}
	}
	p, err := x.ServeControl()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for path, says := range map[string]string{"/fleet/health": "ready",
		"/fleet/stats": "fleet.g-0.state=ready\n"} {
		res, err := http.Get("http://" + p.Address + path)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(res.Body)
		if res.StatusCode != 200 || !strings.Contains(string(b), says) {
			t.Errorf("%s: %d %q", path, res.StatusCode, b)
		}
	}
	x.Reload(nil, fmt.Errorf("unreadable"))
	d.until(x, 1) // the old one stays in force
}

// A daemon that is gone leaves its instances serving; the next one finds them, and can replace and end them.
func TestDaemonKilled(t *testing.T) {
	d := prepare(t, 2)
	first := d.daemon()
	d.until(first, 2)
	pids := map[int]bool{}
	first.mu.Lock()
	for _, r := range first.processes {
		pids[r.PID] = true
	}
	close(first.allStopped) // as if it were killed: it looks at nothing any more
	first.mu.Unlock()
	<-first.loopEnded
	for _, p := range first.slots {
		p.listener.Close()
	}
	second := d.daemon()
	defer second.Stop()
	d.until(second, 2)
	second.mu.Lock()
	for _, r := range second.processes {
		if !pids[r.PID] {
			t.Errorf("%s was started anew", r.Instance)
		}
	}
	second.mu.Unlock()
	d.config(map[string]any{"weight_source": "none"})
	second.Reload(LoadSettings(d.file))
	d.until(second, 2)
	second.mu.Lock()
	defer second.mu.Unlock()
	for _, r := range second.processes {
		if pids[r.PID] {
			t.Errorf("%s was not replaced", r.Instance)
		}
	}
}

// What is wrong in a fleet's file is named by its line or key, and nothing is started.
func TestBadFiles(t *testing.T) {
	d := prepare(t, 3)
	raw, err := os.ReadFile(d.file)
	if err != nil {
		t.Fatal(err)
	}
	good := string(raw)
	control := fmt.Sprintf("control = \"127.0.0.1:%d\"", d.ports)
	cases := []struct{ name, old, new, says string }{
		{"no TOML", "instances = 3", "instances =", "line 2"},
		{"unknown key", "instances = 3", "instances = 3\ncolour = 1", "colour: unknown key"},
		{"none", "instances = 3", "instances = 0", "instances"},
		{"a port twice", control, fmt.Sprintf("control = \"127.0.0.1:%d\"", d.ports+2), "listen"},
		{"no address", control, "control = \"here\"", "control"},
		{"ports beyond the last", fmt.Sprintf("operators = \"127.0.0.1:%d\"", d.ports+4),
			"operators = \"127.0.0.1:65533\"", "operators"},
		{"no configuration", "gatekeeper.json", "none.json", "config: open"},
		{"more memory than there is", "step = 2", "step = 2\n[host]\nmemory_mb = 100", "host.memory_mb"},
		{"more descriptors than there are", "step = 2", "step = 2\n[host]\nsockets = 100", "host.sockets"},
		{"a bound under the first pause", "most_ms = 500", "most_ms = 5", "restart.most_ms"},
		{"no step", "step = 2", "step = 0", "step"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(good, c.old) {
				t.Fatal("the case changes nothing")
			}
			os.WriteFile(d.file, []byte(strings.Replace(good, c.old, c.new, 1)), 0o600)
			if f, err := LoadSettings(d.file); err == nil || f != nil || !strings.Contains(err.Error(), c.says) ||
				!strings.HasPrefix(err.Error(), d.file) {
				t.Errorf("got %v, want %q", err, c.says)
			}
		})
	}
	os.WriteFile(d.file, []byte(good), 0o600)
	os.WriteFile(filepath.Join(d.dir, "gatekeeper.json"), []byte(`{"settings":{"classes":[]}}`), 0o600)
	if _, err := LoadSettings(d.file); err == nil || !strings.Contains(err.Error(), "settings.classes") {
		t.Errorf("a configuration that a gatekeeper would refuse: %v", err)
	}
}

// What counts sends beyond a ceiling counts them: a part that two instances both take shows, an even
// stream does not.
func TestBeyond(t *testing.T) {
	var even, burst, twice []time.Time
	start := time.Now()
	for i := range 200 {
		at := start.Add(time.Duration(float64(i) / ceiling * float64(time.Second)))
		even, twice = append(even, at), append(twice, at, at.Add(time.Millisecond))
		burst = append(burst, start.Add(time.Duration(i)*time.Millisecond))
	}
	if beyond(even) > 0 || beyond(burst) < 100 || beyond(twice) < 100 {
		t.Errorf("even %v, burst %v, twice %v", beyond(even), beyond(burst), beyond(twice))
	}
}

// A worker drains, discovery falls silent, one instance is killed: it comes back with the list of its file,
// in which the worker is well. Told by the others, it sends it nothing; without them it does.
func TestNewcomerIsTold(t *testing.T) {
	for _, warm := range []bool{true, false} {
		d := prepare(t, 3)
		d.write(3, fmt.Sprintf("warm = %t", warm))
		x := d.daemon()
		d.until(x, 3)
		e := d.workers[0].Of("z")
		e.Status = "leaving"
		d.list.Tell(e)
		time.Sleep(300 * time.Millisecond)
		d.list.Down(true)
		x.mu.Lock()
		for _, s := range x.reconciler.Statuses() {
			if r := x.processes[s.ProcessNumber]; s.Name == "g-1" {
				syscall.Kill(r.PID, syscall.SIGKILL)
			}
		}
		x.mu.Unlock()
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			if all := x.Statuses(); all[1].Restarts == 1 && all[1].State == Ready {
				break
			}
		}
		d.until(x, 3)
		time.Sleep(100 * time.Millisecond) // it is told within some ms; nothing waits for it
		before := len(d.workers[0].Got())
		var all []workload.Arrival
		for i := range 300 { // the other two know of the drain
			all = append(all, workload.Arrival{At: float64(i), Customer: i % 50, Units: 1, Set: i})
		}
		j := &loadgen.Job{Arrivals: all, Targets: d.targets(3), Spread: 3, Plans: []string{"basic"}, Most: 100,
			Products: []loadgen.Product{{Name: "check", Repeat: "inquiry", Waits: 400 * time.Millisecond}}}
		r, err := j.Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		n := len(d.workers[0].Got()) - before
		if settled := r.Counts["check"][loadgen.Settled]; settled < 100 || (n == 0) != warm {
			t.Errorf("told %v: %d settled, %d sent to the worker that drains", warm, settled, n)
		}
		x.Stop()
	}
}
