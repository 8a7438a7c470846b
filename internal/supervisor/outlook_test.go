package supervisor

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/forecast"
	"willowdeck/internal/lab/loadgen"
	"willowdeck/internal/lab/workload"
	"willowdeck/internal/testkit/fakes"
	"willowdeck/internal/testkit/faultinject"
)

var foresee = flag.Bool("foresee", false, "each kind of loss of a hall, until shares have moved; minutes")

// trio is three halls of real gatekeepers before stand-ins, all links between halls through relays, and a
// daemon in each hall that looks ahead.
type trio struct {
	t       *testing.T
	net     *faultinject.Net
	workers [3][]*fakes.Worker
	keepers []*faultinject.Process // number i stands in hall i % 3
	targets []string
	daemons []*Daemon
	ports   []*ControlServer
}

const (
	trioKeepers = 6
	trioWorkers = 2 // of a hall
	trioCores   = 2
	trioTakes   = 40 * time.Millisecond
)

var trioValues = []float64{1, 2, 4}

func hallOf(i int) string { return fmt.Sprintf("hall%d", i%3) }

func newTrio(t *testing.T, rate float64) *trio {
	x := &trio{t: t, net: faultinject.NewNet(t, 1)}
	for h := range 3 {
		for i := range trioWorkers {
			w, err := fakes.NewWorker(fmt.Sprintf("w%d-%d", h, i), trioTakes)
			if err != nil {
				t.Fatal(err)
			}
			w.Cores(trioCores)
			t.Cleanup(w.Close)
			x.workers[h] = append(x.workers[h], w)
		}
	}
	var lists [3]*fakes.Discovery
	for h := range 3 {
		var entries []fakes.Entry
		for o := range 3 {
			for _, w := range x.workers[o] {
				e := w.Of(hallOf(o))
				if o != h {
					e.Address = x.net.Stream(hallOf(h), hallOf(o), w.At)
				}
				entries = append(entries, e)
			}
		}
		d, err := fakes.NewDiscovery(entries...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Close)
		lists[h] = d
	}
	from := faultinject.Ports(t, 3*trioKeepers)
	var names []string
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", from+i) }
	for i := range trioKeepers {
		names = append(names, fmt.Sprintf("g%d", i))
		x.net.Place(names[i], netip.MustParseAddrPort(at(2*trioKeepers+i)))
		x.targets = append(x.targets, at(i))
	}
	var asks [3][]string
	for i, name := range names {
		asks[i%3] = append(asks[i%3], at(trioKeepers+i))
		b, err := json.Marshal(map[string]any{"name": name, "listen": at(i), "control": at(trioKeepers + i),
			"discovery": lists[i%3].At, "known": lists[i%3].List(), "seed": "5",
			"peer_listen": at(2*trioKeepers + i), "peers": x.net.Peers(name, names),
			"limits": map[string]any{"sockets": 512, "memory_mb": 64}, "settings": trioSettings(i, rate)})
		if err != nil {
			t.Fatal(err)
		}
		dir := t.TempDir()
		file := filepath.Join(dir, "config.json")
		if err := os.WriteFile(file, b, 0o600); err != nil {
			t.Fatal(err)
		}
		x.keepers = append(x.keepers, faultinject.Start(t, faultinject.Spec{Name: name, Dir: dir,
			Args: []string{"serve", "--config", file, "--hall", hallOf(i), "--host", "d" + hallOf(i),
				"--group", "trio"}}))
	}
	for i := range names {
		if err := faultinject.Healthy(at(trioKeepers+i), 10*time.Second); err != nil {
			t.Fatalf("%s: %v", names[i], err)
		}
	}
	x.watch(asks)
	return x
}

// watch starts a daemon in each hall that keeps no instance, and looks ahead.
func (x *trio) watch(asks [3][]string) {
	from := faultinject.Ports(x.t, 3)
	quoted := func(all []string) string { return "[\"" + strings.Join(all, "\", \"") + "\"]" }
	for h := range 3 {
		var others []string
		for o := range 3 {
			if o != h {
				others = append(others, fmt.Sprintf("127.0.0.1:%d", from+o))
			}
		}
		dir := x.t.TempDir()
		file := filepath.Join(dir, "fleet.toml")
		text := fmt.Sprintf("name = %q\ninstances = 0\nrun_dir = \"run\"\ncontrol = \"127.0.0.1:%d\"\nhall = %q\n"+
			"[outlook]\neach_ms = 100\nneighbours = %s\nask = %s\nworker_cores = %d\nway_ms = 1\n", "d"+hallOf(h),
			from+h, hallOf(h), quoted(others), quoted(asks[h]), trioCores)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			x.t.Fatal(err)
		}
		f, err := LoadSettings(file)
		if err != nil {
			x.t.Fatal(err)
		}
		d, err := NewDaemon(f, zerolog.Nop())
		if err != nil {
			x.t.Fatal(err)
		}
		x.t.Cleanup(d.Stop)
		p, err := d.ServeControl()
		if err != nil {
			x.t.Fatal(err)
		}
		x.t.Cleanup(p.Close)
		x.daemons, x.ports = append(x.daemons, d), append(x.ports, p)
	}
}

func trioSettings(me int, rate float64) map[string]any {
	return map[string]any{"me": me, "balancers": trioKeepers,
		"classes": []map[string]any{
			{"name": "check", "aim_us": 500e3, "effect": "read_like", "worth": trioValues[0]},
			{"name": "sale", "aim_us": 500e3, "effect": "idempotency_key", "group": "all", "window_us": 5e6,
				"worth": trioValues[1]},
			{"name": "issue", "aim_us": 500e3, "effect": "non_idempotent", "worth": trioValues[2]}},
		"tariffs": []map[string]any{{"name": "basic", "rate": rate, "most_at_once": 2 * rate, "worth_factor": 1}},
		"allowed": map[string]any{"max_attempts": 3, "cancel": true, "retry_after": true, "max_retry_after_us": 9e6,
			"keepalive_us": 5e6, "connect_timeout_us": 100e3, "peers": true},
		"family_info": map[string]any{"largest": 1, "peer_in_per_s": 200},
		"safety":      map[string]any{"answer_slack_us": 5000}, "score_parts": map[string]any{"whole": 1}}
}

// ask gets a daemon's answer.
func (x *trio) ask(daemon int, path string) string {
	text, err := faultinject.Ask(x.ports[daemon].Address, path)
	if err != nil {
		x.t.Fatal(err)
	}
	return text
}

// agree waits until all daemons rest on the same words, of all gatekeepers, and fails unless they then say
// the same to the byte.
func (x *trio) agree() *forecast.Outlook {
	var o forecast.Outlook
	faultinject.Until(x.t, 10*time.Second, "three daemons that have heard the same words", func() bool {
		var texts [3]string
		var rests [3]string
		for i := range 3 {
			var each forecast.Outlook
			texts[i] = x.ask(i, "/fleet/outlook")
			if err := json.Unmarshal([]byte(texts[i]), &each); err != nil {
				x.t.Fatal(err)
			}
			rests[i] = fmt.Sprint(each.Rests)
			o = each
		}
		if rests[0] != rests[1] || rests[1] != rests[2] || len(o.Rests) != trioKeepers || o.Now.Value == 0 {
			return false
		}
		for i := range 3 {
			if texts[i] != texts[0] {
				x.t.Fatalf("the same words, and not the same outlook:\n%s\n%s", texts[0], texts[i])
			}
		}
		return true
	})
	return &o
}

// seen is what became of requests by when they were due.
type seen struct {
	mu    sync.Mutex
	at    []float64 // ms
	value []float64
	got   []bool
}

// share gives the part of the value that was settled of what was due in a span, and that value a second.
func (s *seen) share(from, to float64) (part, perS float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, got := 0.0, 0.0
	for i, at := range s.at {
		if at >= from && at < to {
			if all += s.value[i]; s.got[i] {
				got += s.value[i]
			}
		}
	}
	return got / math.Max(all, 1e-9), all / (to - from) * 1000
}

// send sends a steady load for so many seconds: until the loss to all gatekeepers, and from then on, where
// some are lost, to the next one of each set that lives.
func (x *trio) send(perS, lossS, endS float64, lost func(i int) bool) (*seen, func()) {
	group := workload.Group{Customers: 12, Rate: perS / 12, Products: []float64{6, 3, 1}, Units: 1, Spread: 3}
	all := workload.Plan([]workload.Group{group}, nil, endS*1000, 7)
	s := &seen{}
	var done sync.WaitGroup
	for part := range 2 {
		var mine []workload.Arrival
		base := 0
		for _, a := range all {
			if late := a.At >= lossS*1000; late != (part == 1) {
				continue
			}
			first := int(uint64(a.Customer+1) * 0x9E3779B97F4A7C15 >> 33 % trioKeepers) // as the sender has it
			for a.Set %= 3; part == 1 && lost((first+a.Set)%trioKeepers); a.Set = (a.Set + 1) % 3 {
			}
			mine = append(mine, a)
		}
		s.mu.Lock()
		base = len(s.at)
		for _, a := range mine {
			s.at, s.value, s.got = append(s.at, a.At), append(s.value, trioValues[a.Product]), append(s.got, false)
		}
		s.mu.Unlock()
		j := &loadgen.Job{Arrivals: mine, Targets: x.targets, Spread: 3, Plans: []string{"basic"}, Most: 2000,
			Products: []loadgen.Product{{Name: "check", Repeat: "inquiry", Waits: 500 * time.Millisecond},
				{Name: "sale", Repeat: "referenced", Waits: 500 * time.Millisecond, Body: 20},
				{Name: "issue", Repeat: "once", Waits: 500 * time.Millisecond, Body: 20}},
			Each: func(i int, o loadgen.Outcome, _ time.Duration) {
				s.mu.Lock()
				s.got[base+i] = o == loadgen.Settled
				s.mu.Unlock()
			}}
		done.Add(1)
		go func() {
			defer done.Done()
			if _, err := j.Run(context.Background()); err != nil {
				x.t.Error(err)
			}
		}()
	}
	return s, done.Wait
}

// take takes from the rig what a loss takes.
func (x *trio) take(l forecast.Loss) {
	for h := range 3 {
		lost := slices.Contains(l.Halls, hallOf(h))
		switch {
		case lost && l.Kind == forecast.Links:
			for o := range 3 {
				if o != h {
					x.net.Part(hallOf(h), hallOf(o), faultinject.Silent)
				}
			}
			for i := range trioKeepers {
				for k := range i {
					if (i%3 == h) != (k%3 == h) {
						x.net.Part(fmt.Sprintf("g%d", i), fmt.Sprintf("g%d", k), faultinject.Silent)
					}
				}
			}
			continue
		case lost && l.Kind != forecast.Keepers:
			for _, w := range x.workers[h] {
				w.Down()
			}
			for o := range 3 { // a relay takes connections for workers that are no more
				if o != h {
					x.net.Part(hallOf(h), hallOf(o), faultinject.Reset)
				}
			}
		case !lost && l.Kind == forecast.Slowed:
			for _, w := range x.workers[h] {
				w.Takes(2 * trioTakes)
			}
		}
		if lost {
			for i := h; i < trioKeepers; i += 3 {
				if err := x.keepers[i].Kill(); err != nil {
					x.t.Fatal(err)
				}
			}
		}
	}
}

// Real processes in three halls: what the daemons foretell of a loss is held against what clients got and
// workers were sent. In the usual form one loss, over some seconds and with wide bounds.
func TestForetold(t *testing.T) {
	type form struct {
		kind        forecast.Kind
		perS, measS float64
		rate        float64 // of each of twelve customers' quota
		halls       []string
	}
	one, two := []string{hallOf(1)}, []string{hallOf(1), hallOf(2)}
	forms := []form{{forecast.Whole, 210, 4, 30, one}}
	if *foresee {
		forms = nil
		for k := forecast.Whole; k <= forecast.Slowed; k++ {
			for _, perS := range []float64{140, 210, 270} {
				forms = append(forms, form{k, perS, 16, 40, one})
			}
			forms = append(forms, form{k, 140, 16, 40, two})
			forms = append(forms, form{k, 180, 16, 16, one})
		}
	}
	for _, f := range forms {
		t.Run(fmt.Sprintf("%v at %v of %v, %d", f.kind, f.perS, 12*f.rate, len(f.halls)), func(t *testing.T) {
			x := newTrio(t, f.rate)
			loss := forecast.Loss{Kind: f.kind, Halls: f.halls}
			warm := 4.0
			if *foresee {
				warm = 11
			}
			s, wait := x.send(f.perS, warm, warm+f.measS, func(i int) bool {
				return f.kind != forecast.Links && slices.Contains(f.halls, hallOf(i))
			})
			began := time.Now()
			time.Sleep(time.Until(began.Add(time.Duration((warm - 1) * float64(time.Second)))))
			o := x.agree()
			time.Sleep(time.Until(began.Add(time.Duration(warm * float64(time.Second)))))
			x.take(loss)
			taken := time.Now()
			wait()
			x.hold(o, loss, s, warm*1000, f.measS*1000, taken)
		})
	}
}

// A daemon tells its instances to say their words, and gathers them: each is named as the daemon names it.
func TestInstancesSpeak(t *testing.T) {
	d := prepare(t, 2)
	d.write(2, "hall = \"z\"")
	text, err := os.ReadFile(d.file)
	if err != nil {
		t.Fatal(err)
	}
	text = append(text, "[outlook]\neach_ms = 100\nworker_cores = 4\n"...)
	if err := os.WriteFile(d.file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	x := d.daemon()
	defer x.Stop()
	p, err := x.ServeControl()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	d.until(x, 2)
	var all []workload.Arrival
	for i := range 300 {
		all = append(all, workload.Arrival{At: float64(10 * i), Customer: i % 5, Product: i % 3, Units: 1, Set: i})
	}
	j := &loadgen.Job{Arrivals: all, Targets: d.targets(2), Spread: 2, Plans: []string{"basic", "capped"},
		Most: 100, Products: []loadgen.Product{{Name: "check", Repeat: "inquiry", Waits: 400 * time.Millisecond},
			{Name: "sale", Repeat: "referenced", Waits: 400 * time.Millisecond, Body: 20},
			{Name: "issue", Repeat: "once", Waits: 400 * time.Millisecond, Body: 20}}}
	if _, err := j.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	var o forecast.Outlook
	faultinject.Until(t, 10*time.Second, "words of both instances with answers in them", func() bool {
		text, err := faultinject.Ask(p.Address, "/fleet/outlook")
		return err == nil && json.Unmarshal([]byte(text), &o) == nil && len(o.Rests) == 2 && o.Now.InTime > 20 &&
			len(o.Losses) > 0
	})
	if s := o.Rests[0]; s.Name != "g-0" || s.Host != "g" || s.Hall != "z" || len(o.Unheard) != 0 {
		t.Errorf("%+v, unheard %v", o.Rests, o.Unheard)
	}
	page, err := faultinject.Ask(p.Address, "/fleet/outlook?form=text")
	if err != nil || !strings.Contains(page, "rests on 2 words") || !strings.Contains(page, "loss of hall: z") {
		t.Errorf("%v: %s", err, page)
	}
	t.Log(page)
	if stats, err := faultinject.Ask(p.Address, "/fleet/stats"); err != nil ||
		!strings.Contains(stats, "fleet.outlook.words=2") {
		t.Errorf("%v: %s", err, stats)
	}
}

// hold holds a forecast against what was seen.
func (x *trio) hold(o *forecast.Outlook, l forecast.Loss, s *seen, at, span float64, taken time.Time) {
	t := x.t
	for _, c := range o.Losses {
		if !c.Loss.Same(l) {
			continue
		}
		before, _ := s.share(at-3000, at)
		after, asked := s.share(at, at+span)
		found := (before - after) * asked
		foretold := c.First.Lost + c.AtOnce/span*1000
		t.Logf("%v: asked %.1f, lost foretold %.1f, found %.1f, error %.3f of asked", l.Kind, asked, foretold,
			found, (foretold-found)/asked)
		if math.Abs(foretold-found) > 0.3*asked {
			t.Errorf("foretold %v of %v, found %v", foretold, asked, found)
		}
		for h, hall := range c.First.Halls {
			n := 0
			for _, w := range x.workers[h] {
				for _, g := range w.Got() {
					if d := g.At.Sub(taken); d >= 0 && d < time.Duration(span)*time.Millisecond {
						n++
					}
				}
			}
			run := float64(n) / span * 1000
			t.Logf("  %s: foretold %.1f/s, found %.1f/s, use foretold %.2f", hall.Name, hall.Run, run, hall.Use)
			if hall.Workers > 0 && math.Abs(hall.Run-run) > 0.5*run {
				t.Errorf("%s: foretold %v a second, found %v", hall.Name, hall.Run, run)
			}
		}
		return
	}
	t.Fatalf("%v is not foretold: %v", l, o.Unknown)
}
