package supervisor

import (
	"encoding/csv"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/gateway/lifecycle"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/fakes"
	"willowdeck/internal/testkit/faultinject"
)

var (
	controlTo = flag.String("control", "", "measure a gatekeeper's control, and write it to a CSV file")
	commit    = flag.String("commit", "", "that the file is to name")
)

// fixed is a voice that says what it is given, as old as a daemon's word below relays is.
type fixed struct {
	mu    sync.Mutex
	lease ruleset.Lease
}

func (v *fixed) Changed() <-chan struct{}     { return nil }
func (v *fixed) InForce() ruleset.Version     { return v.lease.Version }
func (v *fixed) ProcessStarted(int, bool)     {}
func (v *fixed) ProcessExited(int)            {}
func (v *fixed) HighestDiscoveryIndex() int64 { return 0 }
func (v *fixed) Close()                       {}
func (v *fixed) say(number, rate int)         { v.mu.Lock(); defer v.mu.Unlock(); v.set(number, rate) }
func (v *fixed) RenewLease(int, string, uint64, int64) (ruleset.Lease, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := v.lease
	l.AgeMillis = 300
	return l, true
}

func (v *fixed) set(number, rate int) {
	r := v.lease.Version.Rules
	r.Plans = append([]ruleset.Plan(nil), r.Plans...)
	r.Plans[0].Rate = float64(rate)
	v.lease.Version = ruleset.Version{Number: uint64(number), Rules: r}
	v.lease.Step++
	v.lease.TransitionComplete = true
}

// What a gatekeeper's control costs it, as a real process of its own before a daemon's real answers, by how
// many members the rules have: all of them told each time, and changes alone. It takes two and a half
// minutes:
//
//	go test ./internal/supervisor -run TestControlCost -v -timeout 10m -args -control FILE -commit COMMIT
func TestControlCost(t *testing.T) {
	if *controlTo == "" {
		t.Skip("-args -control FILE")
	}
	file, err := os.Create(*controlTo)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	w := csv.NewWriter(file)
	defer w.Flush()
	_ = w.Write([]string{"run", "commit", "distribution", "size", "role", "figure", "unit", "value"})
	for _, n := range []int{20, 300, 1000, 3000, 7900} {
		for _, way := range []string{"none", "direct", "relays"} {
			for _, f := range measured(t, n, way) {
				_ = w.Write([]string{"TestControlCost", *commit, way, strconv.Itoa(n), "gatekeeper", f.name, f.unit,
					strconv.FormatFloat(f.value, 'g', 4, 64)})
				t.Logf("%5d members, %-6s: %s = %.4g %s", n, way, f.name, f.value, f.unit)
			}
			w.Flush()
		}
	}
}

type controlFigure struct {
	name, unit string
	value      float64
}

// measured runs a gatekeeper for some seconds in which nothing changes, and for some in which a version comes
// each half second.
func measured(t *testing.T, n int, way string) (all []controlFigure) {
	const still, change, versions = 4 * time.Second, 500 * time.Millisecond, 6
	dir := t.TempDir()
	worker, err := fakes.NewWorker("w0", 5*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer worker.Close()
	list, err := fakes.NewDiscovery(worker.Of("z"))
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	d := &deployed{t: t, dir: dir, list: list}
	d.config(map[string]any{"me": n / 2, "balancers": n, "family_info": map[string]any{"largest": 1}})
	port := faultinject.Ports(t, 3)
	raw, err := os.ReadFile(filepath.Join(dir, "gatekeeper.json"))
	if err != nil {
		t.Fatal(err)
	}
	head := fmt.Sprintf(`{"name":"g%d","listen":"127.0.0.1:%d",`, n/2, port)
	text := strings.Replace(string(raw), "{", head, 1)
	text = strings.Replace(text, `"peers":true`, `"peers":false`, 1)
	if err := os.WriteFile(filepath.Join(dir, "gatekeeper.json"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	v := &fixed{}
	r := ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 1000, ConflictBoundMillis: 2000,
		Fallback: ruleset.Fallback{Fraction: 0.5, DurationMillis: 3000},
		Plans: []ruleset.Plan{{Name: "basic", Rate: 500, Burst: 500},
			{Name: "capped", Rate: 200, Burst: 200, CeilingRate: ceiling, CeilingDepth: depth}}}
	if n > 500 {
		r.Needs = []string{ruleset.FeatureManyMembers}
	}
	for i := range n {
		r.Members = append(
			r.Members,
			ruleset.Member{Name: fmt.Sprintf("g%d", i), Host: fmt.Sprintf("host-%d", i/14),
				Peers: fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250)},
		)
	}
	v.lease.Version.Rules = r
	v.say(1, 500)
	daemon := &Daemon{log: zerolog.Nop(), seat: &seat{voice: v, teller: newTeller("till")}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+lifecycle.LeasePath, daemon.lease)
	if way == "relays" {
		mux.Handle("POST "+lifecycle.AskPath, relay.NewHandler(daemon.ask))
	}
	s := httptest.NewServer(mux)
	defer s.Close()
	control := fmt.Sprintf("127.0.0.1:%d", port+1)
	env := []string{"NODE_CONFIG=gatekeeper.json", "NODE_CONTROL=" + control}
	if way != "none" {
		env = append(env, "WILLOWDECK_AGREE="+strings.TrimPrefix(s.URL, "http://"))
	}
	p := faultinject.Start(t, faultinject.Spec{Name: "g", Program: program(t), Dir: dir, Args: []string{"serve"},
		Env: env})
	defer func() { _ = p.Kill() }()
	daemon.pids.Store(p.Pid(), fmt.Sprintf("g%d", n/2))
	if err := faultinject.Healthy(control, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	figure := func(name string) float64 {
		x, _ := faultinject.Figure(control, "svc.rules."+name)
		return float64(x)
	}
	by := func(version int) {
		if way == "none" {
			return
		}
		faultinject.Until(t, 10*time.Second, "not by the version", func() bool {
			return figure("version") == float64(version)
		})
	}
	by(1)
	time.Sleep(2 * time.Second) // what a start costs is told apart
	type at struct{ in, out, cpu, work, wall float64 }
	now := func() at {
		return at{figure("bytes_in"), figure("bytes_out"), processor(t, p.Pid()), figure("work_us"),
			raftlog.BootClockMillis()}
	}
	add := func(name, unit string, value float64) { all = append(all, controlFigure{name, unit, value}) }
	add("start_bytes", "B", figure("bytes_in"))
	still0 := now()
	time.Sleep(still)
	a, b := still0, now()
	span := (b.wall - a.wall) / 1000
	add("bytes_in_per_s", "B/s", (b.in-a.in)/span)
	add("bytes_out_per_s", "B/s", (b.out-a.out)/span)
	add("cpu", "% of a core", (b.cpu-a.cpu)/span/10)
	add("work", "% of a core", (b.work-a.work)/1000/span/10)
	if way != "none" {
		a = now()
		for i := range versions {
			v.say(2+i, 500-i)
			time.Sleep(change)
		}
		by(1 + versions)
		c := now()
		part := (c.wall - a.wall) / 1000 / span // of what the same time costs with no change
		add("change_bytes", "B", ((c.in-a.in)-part*(b.in-still0.in))/versions)
		add("change_cpu", "ms", ((c.cpu-a.cpu)-part*(b.cpu-still0.cpu))/versions)
	}
	add("rss", "MB", resident(t, p.Pid()))
	return all
}

// processor is what a process has used of cores since its start, ms.
func processor(t *testing.T, pid int) (ms float64) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		t.Fatalf("no schedstat of %d: %v", pid, err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil { // a thread that has ended
			continue
		}
		ns, err := strconv.ParseFloat(strings.Fields(string(raw))[0], 64)
		if err != nil {
			t.Fatal(err)
		}
		ms += ns / 1e6
	}
	return ms
}

// resident is a process's memory, MB.
func resident(t *testing.T, pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(raw), "VmRSS:")
	kb, err := strconv.ParseFloat(strings.Fields(after)[0], 64)
	if err != nil {
		t.Fatal(err)
	}
	return kb / 1024
}
