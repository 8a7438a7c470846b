package lifecycle

import (
	"flag"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/testkit/fakes"
	"willowdeck/internal/txnjournal"
	"willowdeck/internal/txnjournal/store"
)

var kills = flag.Int("kills", 8, "how often the gatekeeper of the journal's test is killed")

// journaled has a gatekeeper keep a journal in a folder.
func journaled(dir string) func(*config.Gateway) {
	return journaledIn(dir, 4<<10, txnjournal.DefaultMaxSegments)
}

func journaledIn(dir string, size, segments int) func(*config.Gateway) {
	return func(c *config.Gateway) {
		t := txnjournal.DefaultConfig()
		t.SegmentBytes, t.MaxSegments = size, segments     // so that they change often
		t.CommitWaitMillis, t.SlowCommitMillis = 250, 1000 // a loaded machine
		c.Journal = &config.Journal{Dir: dir, Terms: t}
	}
}

// again starts the deployment's gatekeeper anew, once the one before has ended.
func (d *deployment) again() *Gatekeeper {
	d.t.Helper()
	g := d.second(func(*config.Gateway) {})
	d.at = g.At
	return g
}

// says gives the journal's answer on a mark that was asked for not long ago.
func answers(t *testing.T, dir, mark string) txnjournal.Verdict {
	t.Helper()
	now := float64(time.Now().UnixMilli())
	replay, err := store.ReadAll(store.Dir(dir), txnjournal.DefaultConfig(), now, store.Visitor{})
	if err != nil {
		t.Fatal(err)
	}
	v, _, _ := replay.Index.Resolve(mark, now+5000, now+5000, now) // not so near to when the journal began
	return v
}

// A once-only txn that went out is not submitted again when its client comes back: one that was settled gets
// its answer, one of which nobody knows is voided, in the same life and in the next. Guards against a second
// effect after a restart. What has another content, or another customer, is not answered by it.
func TestOnceOnlyComesBack(t *testing.T) {
	dir := t.TempDir()
	d := deployWith(t, journaled(dir), 1, 5000)
	const ok, void = "HTTP/1.1 200 OK", "HTTP/1.1 500 Internal Server Error"
	other := strings.Replace(issue("/issue", "done"), "b4d65521", "b4d65522", 1)
	cases := []struct {
		name, raw, status, body string
		sent                    int // submissions for it
	}{
		{"settled", issue("/issue", "done"), ok, "valid\n", 1},
		{"settled, again", issue("/issue", "done"), ok, "valid\n", 0},
		{"another content", issue("/issue/2", "done"), void, "", 0},
		{"another customer's", other, ok, "valid\n", 1},
		{"cut", issue("/issue?cut", "lost"), void, "", 1},
		{"cut, again", issue("/issue?cut", "lost"), void, "", 0},
		{"an inquiry", check("/check", "look"), ok, "valid\n", 1},
		{"an inquiry, again", check("/check", "look"), ok, "valid\n", 1},
		{"turned away by all", issue("/issue?full", "none"), "HTTP/1.1 429 Too Many Requests", "", -1},
	}
	for _, c := range cases {
		before := len(d.got())
		status, body := d.ask(c.raw)
		if n := len(d.got()) - before; status != c.status || body != c.body || c.sent >= 0 && n != c.sent {
			t.Errorf("%s: %q %q, submitted %d times, want %q, %d", c.name, status, body, n, c.status, c.sent)
		}
	}
	d.gk.Stop()
	for mark, want := range map[string]txnjournal.Verdict{"done": txnjournal.SentCompleted,
		"lost": txnjournal.SentUnknown,
		"none": txnjournal.NotSent} {
		if v := answers(t, filepath.Join(dir, "n0"), mark); v != want {
			t.Errorf("the journal says of %s: %v", mark, v)
		}
	}
	next := d.again()
	before := len(d.got())
	for _, i := range []int{1, 2, 5} {
		if status, body := d.ask(cases[i].raw); status != cases[i].status || body != cases[i].body {
			t.Errorf("%s, in the next life: %q %q", cases[i].name, status, body)
		}
	}
	if n := len(d.got()) - before; n != 0 {
		t.Errorf("%d submitted again", n)
	}
	if status, _ := d.ask(issue("/issue", "fresh")); status != ok {
		t.Errorf("a new one: %q", status)
	}
	next.Stop()
}

// Where the journal can't be had no once-only txn goes out, and all else is served as ever.
func TestNoJournal(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "n0"), nil, 0o600); err != nil { // no folder can be made there
		t.Fatal(err)
	}
	d := deployWith(t, journaled(dir), 1, 5000)
	if status, _ := d.ask(issue("/issue", "1")); status != "HTTP/1.1 500 Internal Server Error" {
		t.Errorf("once-only: %q", status)
	}
	if len(d.got()) > 0 {
		t.Error("it was sent")
	}
	for range 3 {
		if status, _ := d.ask(check("/check", "2")); status != "HTTP/1.1 200 OK" {
			t.Errorf("an inquiry: %q", status)
		}
	}
}

// A disk that fails or hangs in service: once-only txns are declined, or go out unwritten, as the policy
// says, soon and within their time; inquiries know nothing of it.
func TestDiskFailsInService(t *testing.T) {
	for _, policy := range []txnjournal.UnwrittenPolicy{txnjournal.RefuseUnwritten, txnjournal.ServeUnwritten} {
		t.Run(policy.String(), func(t *testing.T) {
			m, usual := store.NewMemoryDisk(1), diskOf
			diskOf = func(string) store.Disk { return m }
			defer func() { diskOf = usual }()
			d := deployWith(t, func(c *config.Gateway) {
				journaled("")(c)
				t := &c.Journal.Terms
				t.Policy, t.CommitWaitMillis, t.CoverageLeaseMillis = policy, 150, 200
				t.BreakerBackoffMillis, t.BreakerMaxBackoffMillis = 20, 40
			}, 2, 5000)
			if status, _ := d.ask(issue("/issue", "before")); status != "HTTP/1.1 200 OK" {
				t.Fatalf("before: %q", status)
			}
			hung := make(chan bool)
			m.BlockSyncs(hung)
			defer close(hung)
			want, sent := "HTTP/1.1 429 Too Many Requests", len(d.got())
			if policy == txnjournal.ServeUnwritten {
				want = "HTTP/1.1 200 OK"
			}
			tries := 0
			until(t, "once-only txns don't get what the policy says", func() bool {
				tries++
				status, _ := d.ask(issue("/issue", fmt.Sprint("x", tries)))
				return status == want
			})
			if n := len(d.got()) - sent; policy == txnjournal.RefuseUnwritten && n > 0 {
				t.Errorf("%d were sent", n)
			}
			from := time.Now()
			for i := range 20 {
				if status, _ := d.ask(check("/check", fmt.Sprint("y", i))); status != "HTTP/1.1 200 OK" {
					t.Errorf("an inquiry: %q", status)
				}
			}
			if took := time.Since(from); took > 2*time.Second {
				t.Errorf("20 inquiries take %v", took)
			}
		})
	}
}

// A second process takes the journal over: what the first has in hand ends in it, and nothing of it is sent
// again. Guards against two writers, and against ends that the heir never hears of.
func TestJournalAtReplacement(t *testing.T) {
	d, change := heldListener(t)
	dir := t.TempDir()
	both := func(c *config.Gateway) {
		change(c)
		journaled(dir)(c)
	}
	first := d.second(both)
	d.gk.Stop()
	d.ask(issue("/issue", "before"))
	busy, err := net.Dial("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	fmt.Fprint(busy, issue("/issue?slow", "busy"))
	before := d.got()
	until(t, "it does not go out", func() bool { before = d.got(); return len(before) == 2 })
	second := d.second(both)
	first.Stop()
	if status, _ := read(busy); status != "HTTP/1.1 200 OK" {
		t.Errorf("in hand: %q", status)
	}
	for _, raw := range []string{issue("/issue", "before"), issue("/issue?slow", "busy")} {
		until(t, "not answered by what the first process was told", func() bool {
			status, _ := d.ask(raw)
			return status == "HTTP/1.1 200 OK"
		})
	}
	if n := len(d.got()); n != 2 {
		t.Errorf("%d submitted", n)
	}
	if status, _ := d.ask(issue("/issue", "after")); status != "HTTP/1.1 200 OK" {
		t.Errorf("after: %q", status)
	}
	second.Stop()
}

// TestJournalChild is no test: it is the gatekeeper that TestJournalKilled kills.
func TestJournalChild(t *testing.T) {
	path := os.Getenv("WILLOWDECK_TEST_JOURNAL")
	if path == "" {
		t.Skip("run by TestJournalKilled")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	conf, err := config.Decode(raw, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	var size, segments int
	if _, err := fmt.Sscan(os.Getenv("WILLOWDECK_TEST_SEGMENTS"), &size, &segments); err != nil {
		t.Fatal(err)
	}
	journaledIn(filepath.Dir(path), size, segments)(&conf)
	g, err := Start(conf, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println("at", g.At)
	select {}
}

// Kills at random moments, under load: the journal says of no txn that a worker has run that it was not sent,
// and of none that it is settled that no worker has run; and what comes back to the next life is not run
// again.
func TestJournalKilled(t *testing.T) {
	t.Run("all kept", func(t *testing.T) { killed(t, 4<<10, 1000) })
	t.Run("segments let go", func(t *testing.T) { killed(t, 16<<10, 12) })
}

func killed(t *testing.T, size, segments int) {
	rng := rand.New(rand.NewSource(4))
	dir := t.TempDir()
	var workers []*fakes.Worker
	var entries []string
	for i := range 3 {
		w, err := fakes.NewWorker(fmt.Sprint("w", i), 3*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		defer w.Close()
		workers = append(workers, w)
		entries = append(entries, fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","group":1,"status":"active"}`,
			w.Name, w.Addr))
	}
	disc, err := fakes.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer disc.Close()
	conf := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"5","limits":{"sockets":128},
		"known":{"index":7,"snapshot":true,"endpoints":[%s]},"settings":%s}`, disc.Addr, strings.Join(entries, ","),
		strings.NewReplacer("IDLE", "5000000").Replace(settings))
	path := filepath.Join(dir, "conf.json")
	if err := os.WriteFile(path, []byte(conf), 0o600); err != nil {
		t.Fatal(err)
	}
	asked := map[string]float64{}
	next := 0
	var back []string // of the life before: they come once more
	for range *kills {
		cmd := exec.Command(os.Args[0], "-test.run", "TestJournalChild$")
		cmd.Env = append(os.Environ(), "WILLOWDECK_TEST_JOURNAL="+path,
			fmt.Sprint("WILLOWDECK_TEST_SEGMENTS=", size, " ", segments))
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		var at string
		if _, err := fmt.Fscanln(out, new(string), &at); err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		var now []string
		first := make(chan bool, 1)
		for client := range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := client; ; i += 8 {
					mu.Lock()
					var mark string
					if i < len(back) {
						mark = back[i]
					} else {
						next++
						mark = fmt.Sprint("x", next)
						asked[mark] = float64(time.Now().UnixMilli())
						now = append(now, mark)
					}
					mu.Unlock()
					c, err := net.Dial("tcp", at)
					if err != nil {
						return // it is dead
					}
					c.SetDeadline(time.Now().Add(2 * time.Second))
					fmt.Fprint(c, issue("/issue", mark))
					buf := make([]byte, 512)
					n, _ := c.Read(buf)
					c.Close()
					if n == 0 {
						return
					}
					select {
					case first <- true:
					default:
					}
				}
			}()
		}
		select { // a machine under load takes its time
		case <-first:
		case <-time.After(2 * time.Second):
		}
		time.Sleep(time.Duration(rng.Intn(160)) * time.Millisecond)
		_ = cmd.Process.Kill()
		wg.Wait()
		_ = cmd.Wait()
		back = now[:len(now)-len(now)/4] // the last ones may not have got there, and don't come again
	}
	ran, twice := map[string]int{}, 0
	for _, w := range workers {
		for _, g := range w.Received() {
			if ran[g.ID]++; ran[g.ID] > 1 {
				twice++
			}
		}
	}
	end := float64(time.Now().UnixMilli())
	kept := store.Dir(filepath.Join(dir, "n0"))
	replay, err := store.ReadAll(kept, txnjournal.DefaultConfig(), end, store.Visitor{})
	if err != nil {
		t.Fatal(err)
	}
	count, falsely, early, needless := [3]int{}, 0, 0, 0
	for mark, at := range asked {
		v, why, _ := replay.Index.Resolve(mark, at, end, end)
		count[v]++
		switch {
		case v == txnjournal.NotSent && ran[mark] > 0:
			falsely++
			t.Errorf("%s ran, and the journal says it was not sent: %s", mark, why)
		case v == txnjournal.SentCompleted && ran[mark] == 0:
			early++
		case v == txnjournal.SentUnknown && ran[mark] == 0:
			needless++
		}
	}
	t.Logf(
		"%d lives, %d records in %d segments, %d bytes cut; of %d txns %d ran, %d twice; settled %d, "+
			"unknown %d (%d of them never ran), not sent %d; falsely not sent %d, falsely settled %d",
		replay.LastIncarnation,
		replay.Stats.Records,
		replay.Stats.Segments,
		replay.Stats.UnreadableBytes,
		len(asked),
		len(ran),
		twice,
		count[txnjournal.SentCompleted],
		count[txnjournal.SentUnknown],
		needless,
		count[txnjournal.NotSent],
		falsely,
		early,
	)
	if twice > 0 || early > 0 || len(ran) < *kills || int(replay.LastIncarnation) < *kills/2 {
		t.Errorf("%d ran twice, %d are settled that never ran, %d ran in %d lives", twice, early, len(ran),
			replay.LastIncarnation)
	}
}
