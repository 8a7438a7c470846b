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
	costs  = flag.Bool("costs", false, "measure what an ask costs a relay, at several sizes")
	commit = flag.String("commit", "", "named in the figures' lines")
	named  = flag.String("run", "trial", "and this, in their first column")
)

const (
	perHost = 18 // gatekeepers: a zone's 564 on 31 hosts
	askers  = 64 // connections
)

// bench is a relay process below a root in this one.
type bench struct {
	t     *testing.T
	size  int
	root  *giver
	p     *faultinject.Process
	at    string
	ops   string
	mu    sync.Mutex
	step  uint64
	rules *versioned.State
}

// TestCosts measures a relay process, whose root and askers are in this one: processor time, bytes on the
// wire and memory, by the number of members. Its lines are those of docs/capacity/relay.csv.
func TestCosts(t *testing.T) {
	if !*costs {
		t.Skip("-args -costs -commit HASH")
	}
	for _, size := range []int{100, 300, 1000, 3000, 7900} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { benched(t, size).measure() })
	}
}

func (b *bench) version(number int) *versioned.State {
	b.t.Helper()
	var members []ruleset.Member
	for i := range b.size {
		members = append(members, ruleset.Member{Name: fmt.Sprintf("gatekeeper-%05d", i),
			Host: fmt.Sprintf("host-%04d", i/perHost), Peers: fmt.Sprintf("10.%d.%d.7:7000", i/250, i%250)})
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

func benched(t *testing.T, size int) *bench {
	t.Helper()
	b := &bench{t: t, size: size, step: 1}
	b.rules = b.version(1)
	s := distribution.NewSource("root", "till", distribution.Bounds{WholeRate: 1 << 30, WholeBurst: 1 << 30})
	b.root = server(t, s, nil)
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() {
		defer close(over)
		for ctx.Err() == nil {
			b.mu.Lock()
			b.root.offer(distribution.View{Step: b.step, Settled: true, Begun: Clock(), Rules: b.rules, Index: -1})
			b.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-over
	})
	port := ports.Span(t, 2)
	b.at, b.ops = fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("127.0.0.1:%d", port+1)
	dir := t.TempDir()
	file := filepath.Join(dir, "relay.toml")
	text := fmt.Sprintf("name = \"r\"\ncluster = \"till\"\nlisten = %q\ncontrol = %q\nupstream = [%q]\n"+
		"store = \"relay.copy\"\n[limits]\nwhole_kb_s = 1048576\nwhole_kb = 1048576\n", b.at, b.ops, b.root.at)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	b.p = faultinject.Start(t, faultinject.Spec{Name: "r", Dir: dir, Args: []string{"relay", "--config", file}})
	b.reached(1)
	return b
}

func (b *bench) status() (s Status, err error) {
	text, err := faultinject.Ask(b.ops, "/relay/status")
	if err == nil {
		err = json.Unmarshal([]byte(text), &s)
	}
	return s, err
}

func (b *bench) reached(step uint64) {
	b.t.Helper()
	faultinject.Until(b.t, within, "the relay knows of it", func() bool {
		s, err := b.status()
		return err == nil && s.Step == step
	})
}

// cpu is the processor time of the relay's threads, ms.
func (b *bench) cpu() (ms float64) {
	all, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", b.p.Pid()))
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

// asking has askers send so many asks each, and gives what each cost the relay: ms, bytes in, bytes out.
func (b *bench) asking(each int, ask func(i int) *distribution.Ask,
	answers func(*distribution.Answer) bool) (ms, in, out float64) {
	b.t.Helper()
	before, err := b.status()
	if err != nil {
		b.t.Fatal(err)
	}
	began := b.cpu()
	var wait sync.WaitGroup
	for i := range askers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := NewClient([]string{b.at}, AskPath)
			defer c.Close()
			a := ask(i)
			for range each {
				got, err := c.Ask(0, a, 5000)
				if err != nil || !answers(got) {
					b.t.Errorf("size %d: %+v, %v", b.size, got, err)
					return
				}
			}
		}()
	}
	wait.Wait()
	spent := b.cpu() - began
	after, err := b.status()
	if err != nil {
		b.t.Fatal(err)
	}
	n := float64(askers * each)
	return spent / n, float64(after.Down.In-before.Down.In) / n, float64(after.Down.Out-before.Down.Out) / n
}

func (b *bench) line(figure, unit string, value float64) {
	fmt.Printf("%s,%s,relays,%d,relay,%s,%s,%.4g\n", *named, *commit, b.size, figure, unit, value)
}

func (b *bench) lines(what string, ms, in, out float64) {
	b.line(what+"_cpu", "us", ms*1000)
	b.line(what+"_in", "bytes", in)
	b.line(what+"_out", "bytes", out)
}

// interest is of a host, or of all.
func (b *bench) interest(i int, all bool) ruleset.Interest {
	if all {
		return ruleset.Interest{All: true}
	}
	return ruleset.Interest{Host: fmt.Sprintf("host-%04d", i%((b.size+perHost-1)/perHost))}
}

func (b *bench) ask(i int, all bool, s *versioned.State) *distribution.Ask {
	in := b.interest(i, all)
	return &distribution.Ask{
		Form:     distribution.Form,
		Cluster:  "till",
		From:     fmt.Sprintf("asker-%d", i),
		Interest: in,
		Step:     1,
		Rules:    ruleset.Select(s, in).ID(),
		Index:    -1,
	}
}

func (b *bench) measure() {
	t := b.t
	renewal := func(a *distribution.Answer) bool { return a.RulesDelta == nil && a.Busy == 0 }
	whole := func(a *distribution.Answer) bool { return a.RulesDelta != nil && a.RulesDelta.From.IsNone() }
	delta := func(a *distribution.Answer) bool { return a.RulesDelta != nil && !a.RulesDelta.From.IsNone() }
	idle := b.cpu()
	time.Sleep(4 * time.Second)
	b.line("idle_cpu", "ms_per_s", (b.cpu()-idle)/4)
	b.line("state", "bytes", float64(b.rules.Bytes()))
	ms, in, out := b.asking(400, func(i int) *distribution.Ask { return b.ask(i, false, b.rules) }, renewal)
	b.lines("renewal", ms, in, out)
	none := func(all bool) func(int) *distribution.Ask {
		return func(i int) *distribution.Ask {
			a := b.ask(i, all, nil)
			a.Rules = versioned.VersionID{}
			return a
		}
	}
	ms, in, out = b.asking(50, none(false), whole)
	b.lines("whole_host", ms, in, out)
	ms, in, out = b.asking(4, none(true), whole)
	b.lines("whole_all", ms, in, out)
	const versions = 10
	var sums [2][3]float64
	taking := 0.0
	for n := range versions {
		was := b.rules
		next := b.version(n + 2)
		began := b.cpu()
		b.mu.Lock()
		b.rules = next
		b.step++
		step := b.step
		b.mu.Unlock()
		b.reached(step)
		time.Sleep(200 * time.Millisecond) // and its copy is written
		taking += b.cpu() - began
		for i, all := range []bool{false, true} {
			ms, in, out := b.asking(4, func(i int) *distribution.Ask { return b.ask(i, all, was) }, delta)
			sums[i][0], sums[i][1], sums[i][2] = sums[i][0]+ms, sums[i][1]+in, sums[i][2]+out
		}
	}
	b.line("version_cpu", "ms", taking/versions)
	for i, what := range []string{"delta_host", "delta_all"} {
		b.lines(what, sums[i][0]/versions, sums[i][1]/versions, sums[i][2]/versions)
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.p.Pid()))
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range strings.Split(string(raw), "\n") {
		if f := strings.Fields(l); len(f) > 1 && (f[0] == "VmRSS:" || f[0] == "VmHWM:") {
			kb, _ := strconv.ParseFloat(f[1], 64)
			b.line(map[string]string{"VmRSS:": "memory", "VmHWM:": "memory_most"}[f[0]], "MB", kb/1024)
		}
	}
}
