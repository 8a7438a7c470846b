package faultinject

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"willowdeck/internal/lab/loadgen"
	"willowdeck/internal/lab/workload"
	"willowdeck/internal/testkit/fakes"
)

var (
	long = flag.Duration("long", 4*time.Second, "how long a drawn schedule is")
	seed = flag.Int64("seed", 6, "that it is drawn by")
)

// script starts a shell script as a process.
func script(t *testing.T, text string) *Process {
	t.Helper()
	return Start(t, Spec{Name: "sh", Program: "/bin/sh", Args: []string{"-c", text}})
}

// A stalled process does nothing until it is resumed; a killed one has been reaped, and no signal reaches
// another process under its number; the next life has the same arguments, or others.
func TestProcess(t *testing.T) {
	t.Parallel()
	p := script(t, "while :; do echo tick; sleep 0.01; done")
	Until(t, 5*time.Second, "output", func() bool { return p.Output() != "" })
	if err := p.Stall(); err != nil {
		t.Fatal(err)
	}
	before := p.Output()
	time.Sleep(100 * time.Millisecond)
	if p.Output() != before || !p.Running() || p.Exit() != nil {
		t.Error("a stalled process goes on, or has ended")
	}
	if err := p.Resume(); err != nil {
		t.Error(err)
	}
	Until(t, 5*time.Second, "output again", func() bool { return p.Output() != before })
	if err := p.Stall(); err != nil {
		t.Error(err)
	}
	pid := p.Pid()
	if err := p.Kill(); err != nil || p.Running() || p.Exit() == nil {
		t.Errorf("killed while stalled: %v, %v", err, p.Exit())
	}
	if _, err := os.Stat(fmt.Sprintf("/proc/%d", pid)); err == nil {
		t.Error("not reaped")
	}
	for _, f := range []func() error{p.Kill, p.Stall, p.Resume, p.Term} {
		if err := f(); !errors.Is(err, ErrEnded) {
			t.Errorf("a signal to the dead: %v", err)
		}
	}
	if err := p.Restart(func(s *Spec) {
		s.Args, s.Env = []string{"-c", "echo $WORD; exit 3"}, []string{"WORD=new"}
	}); err != nil {
		t.Fatal(err)
	}
	if !p.Wait(5*time.Second) || p.Exit().ExitCode() != 3 || !strings.HasSuffix(p.Output(), "new\n") ||
		p.Incarnations() != 2 {
		t.Errorf("the second life: %v, %q", p.Exit(), p.Output())
	}
}

// Guards against output that is asked for when something else shows that it was written, and is still on its
// way to the log: the goroutine that takes it there is given no time meanwhile.
func TestOutputIsWhole(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		dir := t.TempDir()
		p := Start(t, Spec{Name: "w", Program: "/bin/sh", Dir: dir,
			Args: []string{"-c", "while [ ! -e go ]; do sleep 0.01; done; echo said; echo > seen; exec sleep 60"}})
		if err := os.WriteFile(filepath.Join(dir, "go"), nil, 0o600); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(10 * time.Second); ; {
			if _, err := os.Stat(filepath.Join(dir, "seen")); err == nil {
				break
			}
			if time.Now().After(end) {
				t.Fatal("it does nothing")
			}
		}
		if s := p.Output(); s != "said\n" {
			t.Fatalf("%q, before it was seen to go on", s)
		}
		if err := p.Kill(); err != nil {
			t.Fatal(err)
		}
	}
}

// A process whose files may get no longer writes short and fails, from its first write on or from when it is
// told; without the bound it writes on.
func TestLimit(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	file := filepath.Join(dir, "store")
	long := func() int64 {
		if info, err := os.Stat(file); err == nil {
			return info.Size()
		}
		return -1
	}
	write := "trap '' XFSZ; while :; do printf '%100s' >>" + file + " 2>/dev/null; sleep 0.005; done"
	p := Start(t, Spec{Name: "w", Program: "/bin/sh", Args: []string{"-c", write}, FileLimitBytes: 1050})
	Until(t, 5*time.Second, "full", func() bool { return long() == 1050 })
	time.Sleep(50 * time.Millisecond)
	if long() != 1050 {
		t.Errorf("%d bytes where 1050 may be", long())
	}
	if err := p.Limit(0); err != nil {
		t.Error(err)
	}
	Until(t, 5*time.Second, "room again", func() bool { return long() > 1500 })
	if err := p.Limit(3000); err != nil {
		t.Error(err)
	}
	Until(t, 5*time.Second, "full again", func() bool { return long() == 3000 })
}

// What descends from a process ends with the test, also in a group of its own and after its parent's death.
func TestNothingIsLeft(t *testing.T) {
	t.Parallel()
	var mark string
	t.Run("inner", func(t *testing.T) {
		p := script(t, "setsid sleep 300 & sleep 300 & wait")
		mark = p.environmentTag
		Until(t, 5*time.Second, "three run", func() bool { return len(marked(mark)) == 3 })
		if err := p.Kill(); err != nil {
			t.Error(err)
		}
		if n := len(marked(mark)); n != 2 {
			t.Errorf("%d outlive their parent", n)
		}
	})
	if left := marked(mark); len(left) > 0 {
		t.Errorf("left over: %v", left)
	}
}

// A disk is what the damage says, the same for the same seed.
func TestDisk(t *testing.T) {
	t.Parallel()
	read := func(d *Disk) map[string]string {
		all := map[string]string{}
		files, err := d.files()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range files {
			b, _ := os.ReadFile(f)
			all[filepath.Base(f)] = string(b)
		}
		return all
	}
	fresh := func() *Disk {
		d := NewDisk(t, t.TempDir())
		os.Mkdir(filepath.Join(d.Dir, "sub"), 0o700)
		os.WriteFile(filepath.Join(d.Dir, "log"), bytes.Repeat([]byte("l"), 100), 0o600)
		os.WriteFile(filepath.Join(d.Dir, "sub", "snap"), bytes.Repeat([]byte("s"), 200), 0o600)
		os.WriteFile(filepath.Join(d.Dir, "none"), nil, 0o600)
		return d
	}
	spoilt := func(d *Disk, how Damage) map[string]string {
		t.Helper()
		if err := d.Spoil(how); err != nil {
			t.Error(err)
		}
		return read(d)
	}
	if err := fresh().Spoil(Damage{What: Old}); !errors.Is(err, ErrNoCopy) {
		t.Errorf("old without a copy: %v", err)
	}
	for seed := range int64(6) {
		got := spoilt(fresh(), Damage{What: Torn, Bytes: 30, Seed: seed})
		if len(got["log"])+len(got["snap"]) != 270 {
			t.Errorf("torn: %v", got)
		}
		how := Damage{What: Flipped, Bytes: 5, Seed: seed}
		got = spoilt(fresh(), how)
		other := 300 - strings.Count(got["log"], "l") - strings.Count(got["snap"], "s")
		if len(got["log"])+len(got["snap"]) != 300 || other < 1 || other > 5 {
			t.Errorf("flipped: %v", got)
		}
		if again := spoilt(fresh(), how); fmt.Sprint(again) != fmt.Sprint(got) {
			t.Error("the same seed spoils otherwise")
		}
	}
	d := fresh()
	if err := d.Keep(); err != nil || !d.Kept() {
		t.Fatal(err)
	}
	kept := read(d)
	os.WriteFile(filepath.Join(d.Dir, "log"), []byte("newer"), 0o600)
	os.WriteFile(filepath.Join(d.Dir, "more"), []byte("newer"), 0o600)
	if got := spoilt(d, Damage{What: Old}); fmt.Sprint(got) != fmt.Sprint(kept) {
		t.Errorf("old: %v", got)
	}
	if got := spoilt(d, Damage{What: Empty}); len(got) > 0 {
		t.Errorf("empty: %v", got)
	}
	if got := spoilt(d, Damage{What: Torn, Bytes: 1}); len(got) > 0 {
		t.Errorf("torn while empty: %v", got)
	}
	os.WriteFile(filepath.Join(d.Dir, "log"), []byte("l"), 0o600)
	if got := spoilt(d, Damage{What: Torn, Bytes: 9}); got["log"] != "" {
		t.Error("torn by more than there is")
	}
	err := d.ReadOnly(true)
	wrote := os.WriteFile(filepath.Join(d.Dir, "log"), []byte("l"), 0o600)
	if err == nil && wrote == nil || err != nil && !errors.Is(err, ErrRoot) {
		t.Errorf("read-only: %v, and a write: %v", err, wrote)
	}
	if err == nil {
		if err = errors.Join(d.ReadOnly(false), os.WriteFile(filepath.Join(d.Dir, "log"), nil, 0)); err != nil {
			t.Errorf("and back: %v", err)
		}
	}
}

// two are gatekeepers that talk through a relay, before stand-ins of a worker and of discovery, which they
// reach through streams.
type two struct {
	t       *testing.T
	net     *Net
	rig     *Rig
	control map[string]string
	at      []string // where clients connect
}

var names = []string{"g0", "g1"}

func runTwo(t *testing.T, seed int64) *two {
	t.Helper()
	w, err := fakes.NewWorker("w0", time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	list, err := fakes.NewDiscovery(w.Endpoint("z"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	n := NewNet(t, seed)
	d := &two{t: t, net: n, control: map[string]string{}, rig: &Rig{Net: n, Processes: map[string]*Process{},
		Disks: map[string]*Disk{}}}
	ports := Ports(t, 3*len(names))
	at := func(i, j int) string { return fmt.Sprintf("127.0.0.1:%d", ports+3*i+j) }
	for i, name := range names {
		n.SetAddress(name, netip.MustParseAddrPort(at(i, 0)))
		d.control[name], d.at = at(i, 1), append(d.at, at(i, 2))
	}
	for i, name := range names {
		b, err := json.Marshal(map[string]any{"name": name, "listen": d.at[i], "control": d.control[name],
			"discovery": n.Stream(name, "list", list.Addr), "seed": "5", "known": list.List(),
			"limits": map[string]any{"sockets": 256, "memory_mb": 64}, "peer_listen": at(i, 0),
			"peers": n.Peers(name, names), "settings": map[string]any{"me": i, "balancers": len(names),
				"classes": []map[string]any{{"name": "check", "aim_us": 500e3, "effect": "read_like", "worth": 1}},
				"tariffs": []map[string]any{{"name": "basic", "rate": 400, "most_at_once": 400, "worth_factor": 1}},
				"allowed": map[string]any{"max_attempts": 2, "cancel": true, "retry_after": true,
					"max_retry_after_us": 9e6, "keepalive_us": 5e6, "connect_timeout_us": 100e3, "peers": true},
				"family_info": map[string]any{"largest": len(names), "peer_in_per_s": 200},
				"safety":      map[string]any{"answer_slack_us": 5000}}})
		if err != nil {
			t.Fatal(err)
		}
		dir := t.TempDir()
		file := filepath.Join(dir, "gatekeeper.json")
		if err = os.WriteFile(file, b, 0o600); err != nil {
			t.Fatal(err)
		}
		store := t.TempDir()
		d.rig.Disks[name] = NewDisk(t, store)
		d.rig.Processes[name] = Start(t, Spec{Name: name, Dir: dir, Args: []string{"serve", "--config", file,
			"--tell", "--residue", filepath.Join(store, "residue")}})
	}
	d.healthy()
	t.Cleanup(func() {
		if t.Failed() {
			for i, name := range names {
				page, err := Ask(d.control[name], "/admin/stats")
				t.Logf("%s: %+v, %v\n%s%s", name, n.Counts(name, names[1-i]), err, page,
					d.rig.Processes[name].Output())
			}
		}
	})
	return d
}

func (d *two) healthy() {
	d.t.Helper()
	for _, name := range names {
		if err := Healthy(d.control[name], 10*time.Second); err != nil {
			d.t.Fatalf("%v: %s", err, d.rig.Processes[name].Output())
		}
	}
}

// hot has a customer ask at both for more than its first slices there, so that they talk of it.
func (d *two) hot() {
	var all []workload.Arrival
	for i := range int(*long/time.Millisecond)/5 + 4000 { // as long as any test here takes
		all = append(all, workload.Arrival{AtMillis: float64(i) * 5, Customer: 1, Units: 1, SetOffset: i})
	}
	j := &loadgen.Load{Arrivals: all, Targets: d.at, SetSize: len(names), Plans: []string{"basic"},
		MaxInFlight: 200,
		Products:    []loadgen.Product{{Name: "check", Idempotency: "inquiry", Timeout: 400 * time.Millisecond}}}
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan error)
	go func() {
		_, err := j.Run(ctx)
		over <- err
	}()
	d.t.Cleanup(func() {
		stop()
		if err := <-over; err != nil && !errors.Is(err, context.Canceled) {
			d.t.Error(err)
		}
	})
}

// talk waits until each hears the other, which it holds to be there.
func (d *two) talk() {
	d.t.Helper()
	was := map[string]int64{}
	for i, name := range names {
		was[name] = d.net.Counts(name, names[1-i]).Passed
	}
	for i, name := range names {
		Until(d.t, 10*time.Second, name+" is heard", func() bool {
			return d.net.Counts(name, names[1-i]).Passed > was[name]+1
		})
		d.suspects(name, 0)
	}
}

func (d *two) suspects(name string, want int64) {
	d.t.Helper()
	Until(d.t, 10*time.Second, fmt.Sprintf("%s suspects %d", name, want), func() bool {
		n, ok := Figure(d.control[name], "svc.peers.suspected")
		return ok && n == want
	})
}

// Two processes of the real program talk through the relay. A one-way cut is seen at the side that hears
// nothing and there alone; healed it is forgotten. A stalled process is suspected by the other, and so is one
// that has been killed, until it is back under the same addresses.
func TestRealProcesses(t *testing.T) {
	t.Parallel()
	d := runTwo(t, 1)
	d.hot()
	d.talk()
	d.net.Cut("g0", "g1", Silent)
	d.suspects("g1", 1)
	if n, ok := Figure(d.control["g0"], "svc.peers.suspected"); !ok || n != 0 {
		t.Errorf("g0, that hears the other, suspects %d", n)
	}
	d.net.Heal("g0", "g1")
	d.talk()
	g1 := d.rig.Processes["g1"]
	if err := g1.Stall(); err != nil {
		t.Fatal(err)
	}
	d.suspects("g0", 1)
	if err := g1.Resume(); err != nil {
		t.Fatal(err)
	}
	d.talk()
	pid := g1.Pid()
	if err := g1.Kill(); err != nil {
		t.Fatal(err)
	}
	if s := g1.Exit().Sys().(syscall.WaitStatus); s.Signal() != syscall.SIGKILL {
		t.Errorf("ended as %v", g1.Exit())
	}
	d.suspects("g0", 1)
	if err := g1.Restart(nil); err != nil || g1.Pid() == pid {
		t.Fatal(err)
	}
	d.healthy()
	d.talk()
	if err := g1.Term(); err != nil || !g1.Wait(10*time.Second) || g1.Exit().ExitCode() != 0 {
		t.Errorf("asked to stop: %v, %v", err, g1.Exit())
	}
}

// A drawn schedule is played on the real program; when it is over all is whole.
func TestDrawnOnRealProcesses(t *testing.T) {
	t.Parallel()
	d := runTwo(t, *seed)
	d.hot()
	s := Draw(*seed, Cast{Ends: append([]string{"list"}, names...), Processes: names, Disks: names,
		Steps: 3 * int(long.Seconds())}, int(*long/time.Millisecond))
	t.Logf("\n%s", s)
	rec := &record{}
	if err := (&Player{Stage: d.rig, Record: rec}).Play(t.Context(), s); err != nil {
		t.Error(err)
	}
	did := map[Verb]int{}
	for _, a := range s.Acts() {
		did[a.Do]++
	}
	if n := len(s.Acts()); len(*rec) != n || len(did) < 9 && *seed == 6 { // that seed's has all there is
		t.Errorf("%d acts recorded of %d: %v", len(*rec), n, did)
	}
	d.healthy()
	d.talk()
	lives := 0
	for _, p := range d.rig.Processes {
		lives += p.Incarnations()
	}
	if lives != len(names)+did[Restart] {
		t.Errorf("%d lives after %d restarts", lives, did[Restart])
	}
}

// A file that may not get longer is an error to the real program, not its end: it says so and serves on.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	d := runTwo(t, 1)
	g0 := d.rig.Processes["g0"]
	if err := d.rig.Disks["g0"].Spoil(Damage{What: Empty}); err != nil {
		t.Fatal(err)
	}
	if err := g0.Restart(func(s *Spec) { s.FileLimitBytes = 4096 }); err != nil {
		t.Fatal(err)
	}
	Until(t, 10*time.Second, "it says so", func() bool { // an operators' port answers before the start is over
		return strings.Contains(g0.Output(), "nothing will survive a crash")
	})
	d.healthy()
	if !g0.Running() || g0.Incarnations() != 2 {
		t.Errorf("%v after %d lives", g0.Exit(), g0.Incarnations())
	}
}

// The instances that a daemon has started are found by its notes, stall and die one by one, outlive the
// daemon, and end with the test.
func TestDaemon(t *testing.T) {
	t.Parallel()
	var all []Instance
	t.Run("inner", func(t *testing.T) {
		d := runTwo(t, 1)
		dir, err := os.MkdirTemp("", "wdr") // sockets' paths are short
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { os.RemoveAll(dir) })
		d.rig.Processes["g1"].Kill()
		b, err := os.ReadFile(filepath.Join(d.rig.Processes["g1"].Dir(), "gatekeeper.json"))
		if err != nil {
			t.Fatal(err)
		}
		var conf map[string]any
		if err = json.Unmarshal(b, &conf); err != nil {
			t.Fatal(err)
		}
		for _, key := range []string{"name", "listen", "control", "peer_listen", "peers"} {
			delete(conf, key)
		}
		b, _ = json.Marshal(conf)
		os.WriteFile(filepath.Join(dir, "gatekeeper.json"), b, 0o600)
		port := Ports(t, 7)
		text := "name = \"g\"\ninstances = 2\nconfig = \"gatekeeper.json\"\nrun_dir = \"run\"\n"
		for i, key := range []string{"control", "listen", "peers", "operators"} {
			text += fmt.Sprintf("%s = \"127.0.0.1:%d\"\n", key, port+[]int{0, 1, 1, 3}[i])
		}
		file := filepath.Join(dir, "fleet.toml")
		os.WriteFile(file, []byte(text+"step = 1\n[restart]\nfirst_ms = 50\nmost_ms = 500\ncalm_s = 5\n"), 0o600)
		p := Start(t, Spec{Name: "daemon", Args: []string{"fleet", "--file", file}})
		run := filepath.Join(dir, "run")
		Until(t, 10*time.Second, "two run", func() bool { all = Instances(run); return len(all) == 2 })
		for _, i := range all {
			if err := Healthy(i.Control, 10*time.Second); err != nil {
				t.Fatalf("%v: %s", err, p.Output())
			}
		}
		if err := errors.Join(all[0].Stall(), all[0].Resume(), all[0].Kill()); err != nil {
			t.Error(err)
		}
		Until(t, 10*time.Second, "another in its place", func() bool {
			now := Instances(run)
			return len(now) == 2 && now[0].Name == all[0].Name && now[0].Pid != all[0].Pid
		})
		if err := all[0].Stall(); !errors.Is(err, ErrEnded) {
			t.Errorf("one that is no more: %v", err)
		}
		if err := p.Kill(); err != nil {
			t.Error(err)
		}
		if all = Instances(run); len(all) != 2 {
			t.Errorf("%d outlive the daemon", len(all))
		}
	})
	for _, i := range all {
		if i.Runs() {
			t.Errorf("%s is left over", i.Name)
		}
	}
}

// A scenario that fails is tried again and again with less in its schedule, each time with processes of its
// own that end with the try: what is left is what makes it fail.
func TestTryAndShrink(t *testing.T) {
	t.Parallel()
	var marks []string
	ended := 0
	scenario := func(t T, s Schedule) {
		p := Start(t, Spec{Name: "p", Program: "/bin/sh", Args: []string{"-c", "exec sleep 300"}})
		marks = append(marks, p.environmentTag)
		t.Cleanup(func() { ended++ })
		rig := &Rig{Net: NewNet(t, s.Seed), Processes: map[string]*Process{"p": p}}
		if err := (&Player{Stage: rig, Wait: atOnce}).Play(context.Background(), s); err != nil {
			t.Errorf("%v", err)
		}
		if p.Incarnations() > 1 {
			t.Fatalf("%d lives", p.Incarnations())
		}
	}
	s := Draw(1, Cast{Ends: names, Processes: []string{"p"}, Steps: 12}, 4000)
	breaks := func(s Schedule) bool { return Try(t, func(t T) { scenario(t, s) }) != nil }
	small := Shrink(s, breaks)
	if len(small.Steps) != 1 || small.Steps[0].What != Crashes || small.Steps[0].At != 0 {
		t.Errorf("\n%s", small)
	}
	if err := Try(t, func(t T) { scenario(t, small) }); err == nil || err.Error() != "2 lives" {
		t.Error(err)
	}
	if small.Steps = nil; breaks(small) {
		t.Error("without a step it fails as well")
	}
	if ended != len(marks) {
		t.Errorf("%d of %d have cleaned up", ended, len(marks))
	}
	for _, m := range marks {
		if left := marked(m); len(left) > 0 {
			t.Errorf("left over: %v", left)
		}
	}
}
