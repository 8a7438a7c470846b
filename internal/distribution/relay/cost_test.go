package relay

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"willowdeck/internal/distribution"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/faultinject"
	"willowdeck/internal/testkit/ports"
	"willowdeck/internal/versioned"
)

var (
	costs   = flag.Bool("costs", false, "measure what a request costs a relay, at several sizes")
	commit  = flag.String("commit", "", "commit, in the lines of figures")
	runName = flag.String("run", "trial", "run, in the first column of the lines")
)

const (
	gatewaysPerBenchHost = 18 // a zone's 564 gateways on 31 hosts
	benchClients         = 64 // connections
)

// benchRelay is a relay process below a root in this process.
type benchRelay struct {
	t            *testing.T
	size         int
	root         *server
	process      *faultinject.Process
	address      string
	adminAddress string
	mu           sync.Mutex
	step         uint64
	rules        *versioned.State
}

// TestRequestCosts measures a relay process, whose root and clients are in this process: processor time,
// bytes on the wire and memory, by the number of members. Its lines are those of docs/capacity/relay.csv.
func TestRequestCosts(t *testing.T) {
	if !*costs {
		t.Skip("-args -costs -commit HASH")
	}
	for _, size := range []int{100, 300, 1000, 3000, 7900} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { newBenchRelay(t, size).measure() })
	}
}

func (b *benchRelay) version(number int) *versioned.State {
	b.t.Helper()
	var members []ruleset.Member
	for i := range b.size {
		members = append(members, ruleset.Member{Name: fmt.Sprintf("gatekeeper-%05d", i),
			Host: fmt.Sprintf("host-%04d", i/gatewaysPerBenchHost), Peers: fmt.Sprintf("10.%d.%d.7:7000", i/250,
				i%250)})
	}
	r := ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 1000, ConflictBoundMillis: 2000,
		Fallback: ruleset.Fallback{Fraction: 0.5, DurationMillis: 10000}, Members: members}
	if b.size > 500 {
		r.Needs = []string{ruleset.FeatureManyMembers}
	}
	for i := range 20 {
		r.Plans = append(r.Plans, ruleset.Plan{Name: fmt.Sprintf("plan-%02d", i), Rate: 100, Burst: 200,
			CeilingRate: 1000, CeilingDepth: 2000})
	}
	r.Plans[number%len(r.Plans)].Rate = 100 + float64(number)
	s, err := ruleset.VersionToState(&ruleset.Version{Number: uint64(number), Rules: r})
	if err != nil {
		b.t.Fatal(err)
	}
	return s
}

func newBenchRelay(t *testing.T, size int) *benchRelay {
	t.Helper()
	b := &benchRelay{t: t, size: size, step: 1}
	b.rules = b.version(1)
	s := distribution.NewSource("root", "till", distribution.SourceConfig{FullStateBytesPerSecond: 1 << 30,
		FullStateBurstBytes: 1 << 30})
	b.root = startTestServer(t, s, nil)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for ctx.Err() == nil {
			b.mu.Lock()
			b.root.publish(distribution.Snapshot{Step: b.step, TransitionComplete: true, ReadStartMillis: nowMillis(),
				Rules: b.rules, DiscoveryIndex: -1})
			b.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-stopped
	})
	port := ports.Span(t, 2)
	b.address, b.adminAddress = fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("127.0.0.1:%d", port+1)
	dir := t.TempDir()
	file := filepath.Join(dir, "relay.toml")
	text := fmt.Sprintf("name = \"r\"\ncluster = \"till\"\nlisten = %q\ncontrol = %q\nupstream = [%q]\n"+
		"store = \"relay.copy\"\n[limits]\nwhole_kb_s = 1048576\nwhole_kb = 1048576\n", b.address, b.adminAddress,
		b.root.address)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	b.process = faultinject.Start(t, faultinject.Spec{Name: "r", Dir: dir,
		Args: []string{"relay", "--config", file}})
	b.waitForStep(1)
	return b
}

func (b *benchRelay) status() (s Status, err error) {
	text, err := faultinject.Ask(b.adminAddress, "/relay/status")
	if err == nil {
		err = json.Unmarshal([]byte(text), &s)
	}
	return s, err
}

func (b *benchRelay) waitForStep(step uint64) {
	b.t.Helper()
	faultinject.Until(b.t, activationTimeout, "the relay has the step", func() bool {
		s, err := b.status()
		return err == nil && s.Step == step
	})
}

// cpuMillis gives the processor time of the relay's threads.
func (b *benchRelay) cpuMillis() (ms float64) {
	all, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", b.process.Pid()))
	if err != nil || len(all) == 0 {
		b.t.Fatal(len(all), err)
	}
	for _, path := range all {
		raw, err := os.ReadFile(path)
		if err != nil {
			b.t.Fatal(err)
		}
		ns, err := strconv.ParseFloat(strings.Fields(string(raw))[0], 64)
		if err != nil {
			b.t.Fatal(err)
		}
		ms += ns / 1e6
	}
	return ms
}

// measureRequests has clients send so many requests each, and gives what a request cost the relay:
// milliseconds of processor time, bytes received and bytes sent.
func (b *benchRelay) measureRequests(perClient int, request func(i int) *distribution.Request,
	accept func(*distribution.Response) bool) (ms, in, out float64) {
	b.t.Helper()
	before, err := b.status()
	if err != nil {
		b.t.Fatal(err)
	}
	cpuBefore := b.cpuMillis()
	var wait sync.WaitGroup
	for i := range benchClients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := NewClient([]string{b.address}, RequestPath)
			defer c.Close()
			a := request(i)
			for range perClient {
				got, err := c.Fetch(0, a, 5000)
				if err != nil || !accept(got) {
					b.t.Errorf("size %d: %+v, %v", b.size, got, err)
					return
				}
			}
		}()
	}
	wait.Wait()
	cpuSpent := b.cpuMillis() - cpuBefore
	after, err := b.status()
	if err != nil {
		b.t.Fatal(err)
	}
	n := float64(benchClients * perClient)
	received := after.DownstreamTraffic.ReceivedBytes - before.DownstreamTraffic.ReceivedBytes
	sent := after.DownstreamTraffic.SentBytes - before.DownstreamTraffic.SentBytes
	return cpuSpent / n, float64(received) / n, float64(sent) / n
}

func (b *benchRelay) printFigure(figure, unit string, value float64) {
	fmt.Printf("%s,%s,relays,%d,relay,%s,%s,%.4g\n", *runName, *commit, b.size, figure, unit, value)
}

func (b *benchRelay) printFigures(what string, ms, in, out float64) {
	b.printFigure(what+"_cpu", "us", ms*1000)
	b.printFigure(what+"_in", "bytes", in)
	b.printFigure(what+"_out", "bytes", out)
}

// interest gives that of a host, or of all.
func (b *benchRelay) interest(i int, all bool) ruleset.Interest {
	if all {
		return ruleset.Interest{All: true}
	}
	return ruleset.Interest{Host: fmt.Sprintf("host-%04d",
		i%((b.size+gatewaysPerBenchHost-1)/gatewaysPerBenchHost))}
}

func (b *benchRelay) request(i int, all bool, s *versioned.State) *distribution.Request {
	in := b.interest(i, all)
	return &distribution.Request{
		FormatVersion:  distribution.FormatVersion,
		Cluster:        "till",
		Sender:         fmt.Sprintf("asker-%d", i),
		Interest:       in,
		Step:           1,
		Rules:          ruleset.Select(s, in).ID(),
		DiscoveryIndex: -1,
	}
}

func (b *benchRelay) measure() {
	t := b.t
	isRenewal := func(a *distribution.Response) bool { return a.RulesDelta == nil && a.RetryAfterMillis == 0 }
	isFullState := func(a *distribution.Response) bool {
		return a.RulesDelta != nil &&
			a.RulesDelta.From.IsNone()
	}
	isDelta := func(a *distribution.Response) bool { return a.RulesDelta != nil && !a.RulesDelta.From.IsNone() }
	idle := b.cpuMillis()
	time.Sleep(4 * time.Second)
	b.printFigure("idle_cpu", "ms_per_s", (b.cpuMillis()-idle)/4)
	b.printFigure("state", "bytes", float64(b.rules.Bytes()))
	ms, in, out := b.measureRequests(400, func(i int) *distribution.Request {
		return b.request(i, false,
			b.rules)
	}, isRenewal)
	b.printFigures("renewal", ms, in, out)
	withoutBase := func(all bool) func(int) *distribution.Request {
		return func(i int) *distribution.Request {
			a := b.request(i, all, nil)
			a.Rules = versioned.VersionID{}
			return a
		}
	}
	ms, in, out = b.measureRequests(50, withoutBase(false), isFullState)
	b.printFigures("whole_host", ms, in, out)
	ms, in, out = b.measureRequests(4, withoutBase(true), isFullState)
	b.printFigures("whole_all", ms, in, out)
	const versions = 10
	var sums [2][3]float64
	applyingMillis := 0.0
	for n := range versions {
		former := b.rules
		next := b.version(n + 2)
		began := b.cpuMillis()
		b.mu.Lock()
		b.rules = next
		b.step++
		step := b.step
		b.mu.Unlock()
		b.waitForStep(step)
		time.Sleep(200 * time.Millisecond) // and its checkpoint is written
		applyingMillis += b.cpuMillis() - began
		for i, all := range []bool{false, true} {
			ms, in, out := b.measureRequests(4, func(i int) *distribution.Request { return b.request(i, all, former) },
				isDelta)
			sums[i][0], sums[i][1], sums[i][2] = sums[i][0]+ms, sums[i][1]+in, sums[i][2]+out
		}
	}
	b.printFigure("version_cpu", "ms", applyingMillis/versions)
	for i, what := range []string{"delta_host", "delta_all"} {
		b.printFigures(what, sums[i][0]/versions, sums[i][1]/versions, sums[i][2]/versions)
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.process.Pid()))
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range strings.Split(string(raw), "\n") {
		if f := strings.Fields(l); len(f) > 1 && (f[0] == "VmRSS:" || f[0] == "VmHWM:") {
			kb, _ := strconv.ParseFloat(f[1], 64)
			b.printFigure(map[string]string{"VmRSS:": "memory", "VmHWM:": "memory_most"}[f[0]], "MB", kb/1024)
		}
	}
}
