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

var journalKills = flag.Int("kills", 8, "how often the gateway of the journal's test is killed")

// withJournal configures a journal in a folder.
func withJournal(dir string) func(*config.Gateway) {
	return withJournalIn(dir, 4<<10, txnjournal.DefaultMaxSegments)
}

func withJournalIn(dir string, size, segments int) func(*config.Gateway) {
	return func(c *config.Gateway) {
		t := txnjournal.DefaultConfig()
		t.SegmentBytes, t.MaxSegments = size, segments     // so that they change often
		t.CommitWaitMillis, t.SlowCommitMillis = 250, 1000 // a loaded machine
		c.Journal = &config.Journal{Dir: dir, Config: t}
	}
}

// restart starts the deployment's gateway again, once the one before has stopped.
func (d *deployment) restart() *Gateway {
	d.t.Helper()
	g := d.startSuccessor(func(*config.Gateway) {})
	d.address = g.Address
	return g
}

// journalVerdict gives the journal's verdict on a request ID that was used a moment ago.
func journalVerdict(t *testing.T, directory, requestID string) txnjournal.Verdict {
	t.Helper()
	now := float64(time.Now().UnixMilli())
	replay, err := store.ReadAll(store.Dir(directory), txnjournal.DefaultConfig(), now, store.Visitor{})
	if err != nil {
		t.Fatal(err)
	}
	v, _, _ := replay.Index.Resolve(requestID, now+5000, now+5000, now) // not so near to when the journal began
	return v
}

// TestNonIdempotentRetry: a non-idempotent request that was sent is not sent again when its client retries.
// A settled one gets its response, one with an unknown outcome is voided, in the same incarnation and in the
// next. Guards against a second effect after a restart. A request with other content, or of another
// customer, does not get that response.
func TestNonIdempotentRetry(t *testing.T) {
	dir := t.TempDir()
	d := deployWith(t, withJournal(dir), 1, 5000)
	const ok, void = "HTTP/1.1 200 OK", "HTTP/1.1 500 Internal Server Error"
	other := strings.Replace(issueRequest("/issue", "done"), "b4d65521", "b4d65522", 1)
	cases := []struct {
		name, raw, status, body string
		sent                    int // submissions for it; -1 is any
	}{
		{"settled", issueRequest("/issue", "done"), ok, "valid\n", 1},
		{"settled, again", issueRequest("/issue", "done"), ok, "valid\n", 0},
		{"another content", issueRequest("/issue/2", "done"), void, "", 0},
		{"another customer", other, ok, "valid\n", 1},
		{"cut", issueRequest("/issue?cut", "lost"), void, "", 1},
		{"cut, again", issueRequest("/issue?cut", "lost"), void, "", 0},
		{"a read", checkRequest("/check", "look"), ok, "valid\n", 1},
		{"a read, again", checkRequest("/check", "look"), ok, "valid\n", 1},
		{"rejected by all", issueRequest("/issue?full", "none"), "HTTP/1.1 429 Too Many Requests", "", -1},
	}
	for _, c := range cases {
		before := len(d.submissions())
		status, body := d.send(c.raw)
		if n := len(d.submissions()) - before; status != c.status || body != c.body || c.sent >= 0 && n != c.sent {
			t.Errorf("%s: %q %q, %d submissions, want %q, %d", c.name, status, body, n, c.status, c.sent)
		}
	}
	d.gateway.Stop()
	for requestID, want := range map[string]txnjournal.Verdict{"done": txnjournal.SentCompleted,
		"lost": txnjournal.SentUnknown,
		"none": txnjournal.NotSent} {
		if v := journalVerdict(t, filepath.Join(dir, "n0"), requestID); v != want {
			t.Errorf("the journal says of %s: %v", requestID, v)
		}
	}
	next := d.restart()
	before := len(d.submissions())
	for _, i := range []int{1, 2, 5} {
		if status, body := d.send(cases[i].raw); status != cases[i].status || body != cases[i].body {
			t.Errorf("%s, in the next incarnation: %q %q", cases[i].name, status, body)
		}
	}
	if n := len(d.submissions()) - before; n != 0 {
		t.Errorf("%d sent again", n)
	}
	if status, _ := d.send(issueRequest("/issue", "fresh")); status != ok {
		t.Errorf("a new one: %q", status)
	}
	next.Stop()
}

// TestJournalUnavailable: without its journal a gateway sends no non-idempotent request, and serves all
// others.
func TestJournalUnavailable(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "n0"), nil, 0o600); err != nil { // no folder can be made there
		t.Fatal(err)
	}
	d := deployWith(t, withJournal(dir), 1, 5000)
	if status, _ := d.send(issueRequest("/issue", "1")); status != "HTTP/1.1 500 Internal Server Error" {
		t.Errorf("non-idempotent: %q", status)
	}
	if len(d.submissions()) > 0 {
		t.Error("it was sent")
	}
	for range 3 {
		if status, _ := d.send(checkRequest("/check", "2")); status != "HTTP/1.1 200 OK" {
			t.Errorf("a read: %q", status)
		}
	}
}

// TestJournalDiskFailure: the disk hangs in service. Non-idempotent requests are rejected, or sent without a
// record, as the policy says, soon and within their time; others are not affected.
func TestJournalDiskFailure(t *testing.T) {
	for _, policy := range []txnjournal.UnwrittenPolicy{txnjournal.RefuseUnwritten, txnjournal.ServeUnwritten} {
		t.Run(policy.String(), func(t *testing.T) {
			m, usual := store.NewMemoryDisk(1), journalDisk
			journalDisk = func(string) store.Disk { return m }
			defer func() { journalDisk = usual }()
			d := deployWith(t, func(c *config.Gateway) {
				withJournal("")(c)
				t := &c.Journal.Config
				t.Policy, t.CommitWaitMillis, t.CoverageLeaseMillis = policy, 150, 200
				t.BreakerBackoffMillis, t.BreakerMaxBackoffMillis = 20, 40
			}, 2, 5000)
			if status, _ := d.send(issueRequest("/issue", "before")); status != "HTTP/1.1 200 OK" {
				t.Fatalf("before: %q", status)
			}
			release := make(chan bool)
			m.BlockSyncs(release)
			defer close(release)
			want, sent := "HTTP/1.1 429 Too Many Requests", len(d.submissions())
			if policy == txnjournal.ServeUnwritten {
				want = "HTTP/1.1 200 OK"
			}
			attempts := 0
			waitFor(t, "non-idempotent requests are not answered as the policy says", func() bool {
				attempts++
				status, _ := d.send(issueRequest("/issue", fmt.Sprint("x", attempts)))
				return status == want
			})
			if n := len(d.submissions()) - sent; policy == txnjournal.RefuseUnwritten && n > 0 {
				t.Errorf("%d were sent", n)
			}
			from := time.Now()
			for i := range 20 {
				if status, _ := d.send(checkRequest("/check", fmt.Sprint("y", i))); status != "HTTP/1.1 200 OK" {
					t.Errorf("a read: %q", status)
				}
			}
			if elapsed := time.Since(from); elapsed > 2*time.Second {
				t.Errorf("20 reads take %v", elapsed)
			}
		})
	}
}

// TestJournalAtReplacement: a successor takes over the journal. Requests in flight in the predecessor end in
// it, and are not sent again. Guards against two writers, and against ends that the successor never learns
// of.
func TestJournalAtReplacement(t *testing.T) {
	d, change := deployWithInheritedListener(t)
	dir := t.TempDir()
	withBoth := func(c *config.Gateway) {
		change(c)
		withJournal(dir)(c)
	}
	first := d.startSuccessor(withBoth)
	d.gateway.Stop()
	d.send(issueRequest("/issue", "before"))
	busyConn, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer busyConn.Close()
	fmt.Fprint(busyConn, issueRequest("/issue?slow", "busy"))
	before := d.submissions()
	waitFor(t, "the request is not sent", func() bool { before = d.submissions(); return len(before) == 2 })
	second := d.startSuccessor(withBoth)
	first.Stop()
	if status, _ := readResponse(busyConn); status != "HTTP/1.1 200 OK" {
		t.Errorf("in flight: %q", status)
	}
	for _, raw := range []string{issueRequest("/issue", "before"), issueRequest("/issue?slow", "busy")} {
		waitFor(t, "not answered by the predecessor's response", func() bool {
			status, _ := d.send(raw)
			return status == "HTTP/1.1 200 OK"
		})
	}
	if n := len(d.submissions()); n != 2 {
		t.Errorf("%d submissions", n)
	}
	if status, _ := d.send(issueRequest("/issue", "after")); status != "HTTP/1.1 200 OK" {
		t.Errorf("after: %q", status)
	}
	second.Stop()
}

// TestJournalChild is no test: it is the gateway process that TestJournalKilled kills.
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
	withJournalIn(filepath.Dir(path), size, segments)(&conf)
	g, err := Start(conf, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println("at", g.Address)
	select {}
}

// TestJournalKilled kills a gateway under load, at random moments. The journal says of no request that a
// worker has run that it was not sent, and of none that no worker has run that it is settled; a retry to the
// next incarnation is not run again.
func TestJournalKilled(t *testing.T) {
	t.Run("all segments kept", func(t *testing.T) { testJournalKilled(t, 4<<10, 1000) })
	t.Run("segments dropped", func(t *testing.T) { testJournalKilled(t, 16<<10, 12) })
}

func testJournalKilled(t *testing.T, size, segments int) {
	t.Helper()
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
	sentAt := map[string]float64{}
	next := 0
	var retries []string // of the incarnation before: they are sent once more
	for range *journalKills {
		gateway := exec.Command(os.Args[0], "-test.run", "TestJournalChild$")
		gateway.Env = append(os.Environ(), "WILLOWDECK_TEST_JOURNAL="+path,
			fmt.Sprint("WILLOWDECK_TEST_SEGMENTS=", size, " ", segments))
		out, err := gateway.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := gateway.Start(); err != nil {
			t.Fatal(err)
		}
		var at string
		if _, err := fmt.Fscanln(out, new(string), &at); err != nil {
			t.Fatal(err)
		}
		var clients sync.WaitGroup
		var mu sync.Mutex
		var sentNow []string
		first := make(chan bool, 1)
		for client := range 8 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for i := client; ; i += 8 {
					mu.Lock()
					var requestID string
					if i < len(retries) {
						requestID = retries[i]
					} else {
						next++
						requestID = fmt.Sprint("x", next)
						sentAt[requestID] = float64(time.Now().UnixMilli())
						sentNow = append(sentNow, requestID)
					}
					mu.Unlock()
					c, err := net.Dial("tcp", at)
					if err != nil {
						return // the gateway is killed
					}
					c.SetDeadline(time.Now().Add(2 * time.Second))
					fmt.Fprint(c, issueRequest("/issue", requestID))
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
		_ = gateway.Process.Kill()
		clients.Wait()
		_ = gateway.Wait()
		retries = sentNow[:len(sentNow)-len(sentNow)/4] // the last ones may not have arrived, and are not retried
	}
	runs, twice := map[string]int{}, 0
	for _, w := range workers {
		for _, g := range w.Received() {
			if runs[g.ID]++; runs[g.ID] > 1 {
				twice++
			}
		}
	}
	now := float64(time.Now().UnixMilli())
	journalDir := store.Dir(filepath.Join(dir, "n0"))
	replay, err := store.ReadAll(journalDir, txnjournal.DefaultConfig(), now, store.Visitor{})
	if err != nil {
		t.Fatal(err)
	}
	count, falselyNotSent, falselySettled, unknownNotRun := [3]int{}, 0, 0, 0
	for requestID, at := range sentAt {
		v, why, _ := replay.Index.Resolve(requestID, at, now, now)
		count[v]++
		switch {
		case v == txnjournal.NotSent && runs[requestID] > 0:
			falselyNotSent++
			t.Errorf("%s ran, and the journal says it was not sent: %s", requestID, why)
		case v == txnjournal.SentCompleted && runs[requestID] == 0:
			falselySettled++
		case v == txnjournal.SentUnknown && runs[requestID] == 0:
			unknownNotRun++
		}
	}
	t.Logf(
		"%d incarnations, %d records in %d segments, %d bytes cut; of %d requests %d ran, "+
			"%d twice; settled %d, unknown %d (%d of them never ran), not sent %d; "+
			"falsely not sent %d, falsely settled %d",
		replay.LastIncarnation,
		replay.Stats.Records,
		replay.Stats.Segments,
		replay.Stats.UnreadableBytes,
		len(sentAt),
		len(runs),
		twice,
		count[txnjournal.SentCompleted],
		count[txnjournal.SentUnknown],
		unknownNotRun,
		count[txnjournal.NotSent],
		falselyNotSent,
		falselySettled,
	)
	if twice > 0 || falselySettled > 0 || len(runs) < *journalKills ||
		int(replay.LastIncarnation) < *journalKills/2 {
		t.Errorf("%d ran twice, %d are settled that never ran, %d ran in %d incarnations",
			twice, falselySettled, len(runs), replay.LastIncarnation)
	}
}
