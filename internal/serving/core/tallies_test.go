package core

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/tallylog"
	"willowdeck/internal/serving/wal"
	"willowdeck/internal/testkit/ports"
)

const tallyCallerTimeout = time.Second // after which a caller takes another core

// controlledDisk is the file system of the operating system, whose writes and syncs a test can hold up or
// have refused.
type controlledDisk struct {
	wal.FileSystem
	mutex     sync.Mutex
	full      bool
	syncDelay time.Duration
	stalled   chan struct{} // closed when the disk is back; nil: it is not stalled
}

var errDiskFull = errors.New("no space left on the disk")

func newControlledDisk() *controlledDisk { return &controlledDisk{FileSystem: wal.Disk} }

func (d *controlledDisk) setFull(full bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.full = full
}

// stall holds up all writes and syncs until the returned function is called.
func (d *controlledDisk) stall() (resume func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stalled := make(chan struct{})
	d.stalled = stalled
	return sync.OnceFunc(func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.stalled = nil
		close(stalled)
	})
}

// wait waits while the disk is stalled, and for delay, and returns an error where it is full.
func (d *controlledDisk) wait(delay time.Duration) error {
	d.mutex.Lock()
	stalled := d.stalled
	d.mutex.Unlock()
	if stalled != nil {
		<-stalled
	}
	time.Sleep(delay)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.full {
		return errDiskFull
	}
	return nil
}

func (d *controlledDisk) Create(path string) (wal.File, error) {
	if err := d.wait(0); err != nil {
		return nil, err
	}
	file, err := d.FileSystem.Create(path)
	return &controlledFile{file, d}, err
}

func (d *controlledDisk) SyncDir(dir string) error {
	if err := d.wait(d.syncDelay); err != nil {
		return err
	}
	return d.FileSystem.SyncDir(dir)
}

// controlledFile is a file of a controlledDisk.
type controlledFile struct {
	wal.File
	disk *controlledDisk
}

func (f *controlledFile) Write(data []byte) (int, error) {
	if err := f.disk.wait(0); err != nil {
		return 0, err
	}
	return f.File.Write(data)
}

func (f *controlledFile) Sync() error {
	if err := f.disk.wait(f.disk.syncDelay); err != nil {
		return err
	}
	return f.File.Sync()
}

// tallyCore is a core that runs, alone in its system, with its control plane behind HTTP.
type tallyCore struct {
	core   *Core
	server *httptest.Server
	stop   func()
}

// startTallyCore runs a core whose log of tallies is on a disk, until stop or the end of the test.
func startTallyCore(t *testing.T, dataDir string, bootstrap bool, disk wal.FileSystem) *tallyCore {
	t.Helper()
	first := ports.Span(t, 2)
	text := fmt.Sprintf("node_name=core-1\nip=127.0.0.1\nzone=a\nregion=south\nzones.a=south\n"+
		"internal_port_range=%d,%d\nseeds=127.0.0.1:9\nbootstrap=%v\ndata_dir=%s\nheartbeat_ms=100\n"+
		"fault_tolerance.machines=0\nfault_tolerance.zones=0\nbounds.grace_s=3\n",
		first, first+1, bootstrap, dataDir)
	config, err := settings.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "boot.conf")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	c, err := newCore(config, path, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	opened, err := tallylog.Open(disk, dataDir)
	if err != nil {
		t.Fatal(err)
	}
	c.tallyWriter.log = opened.Log
	go c.diskWriter.run(c.stop)
	go c.tallyWriter.run(c.stop)
	signals := make(chan os.Signal, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(signals)
	}()
	server := httptest.NewServer(c.controlHandler())
	stop := sync.OnceFunc(func() {
		signals <- os.Interrupt
		<-ended
		server.CloseClientConnections()
		server.Close()
	})
	t.Cleanup(stop)
	return &tallyCore{c, server, stop}
}

// tallyReply is a response to a call, and how long it took.
type tallyReply struct {
	status      int
	body        string
	contentType string
	retryAfter  string
	took        time.Duration
}

// call sends a request. path is encoded as it goes over the wire.
func (c *tallyCore) call(t *testing.T, method, path, body string) tallyReply {
	t.Helper()
	request, err := http.NewRequest(method, c.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	response, err := c.server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var text strings.Builder
	if _, err := bufio.NewReader(response.Body).WriteTo(&text); err != nil {
		t.Fatal(err)
	}
	return tallyReply{
		response.StatusCode, text.String(), response.Header.Get("Content-Type"),
		response.Header.Get("Retry-After"), time.Since(begun),
	}
}

func tallyBody(id string, amount uint64) string {
	return fmt.Sprintf(`{"instance_id":%q,"lease_owner":%d}`, id, amount)
}

// add adds to a tally.
func (c *tallyCore) add(t *testing.T, name, id string, amount uint64) tallyReply {
	t.Helper()
	return c.call(t, http.MethodPost, "/Tallies.Update/"+url.PathEscape(name), tallyBody(id, amount))
}

// total reads a tally, and again while the core does not answer reads yet.
func (c *tallyCore) total(t *testing.T, name string) uint64 {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		reply := c.call(t, http.MethodGet, "/Tallies.Get/"+url.PathEscape(name), "")
		if reply.status == http.StatusServiceUnavailable && time.Now().Before(deadline) {
			continue
		}
		var response tallyResponse
		if err := json.Unmarshal([]byte(reply.body), &response); err != nil || reply.status != http.StatusOK {
			t.Fatalf("read of %q: %+v, %v", name, reply, err)
		}
		if reply.contentType != "application/json" {
			t.Errorf("read of %q: Content-Type %q", name, reply.contentType)
		}
		return response.Total
	}
}

// mustAdd adds to a tally, and sends the same again until it is acknowledged.
func (c *tallyCore) mustAdd(t *testing.T, name, id string, amount uint64) {
	t.Helper()
	var reply tallyReply
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		if reply = c.add(t, name, id, amount); reply.status == http.StatusOK {
			return
		}
	}
	t.Fatalf("add of %s to %q: %+v", id, name, reply)
}

// records returns the number of records that the core holds.
func (c *tallyCore) records(t *testing.T) int {
	t.Helper()
	var status statusResponse
	if err := json.Unmarshal([]byte(c.call(t, http.MethodGet, "/status", "").body), &status); err != nil {
		t.Fatal(err)
	}
	return status.Tallies.Records
}

func TestTallyCalls(t *testing.T) {
	c := startTallyCore(t, t.TempDir(), true, wal.Disk)
	if total := c.total(t, "new"); total != 0 {
		t.Errorf("a new name has %d", total)
	}
	steps := []struct {
		name, tally, id string
		amount          uint64
		status          int
		total           uint64
	}{
		{"first", "t", "a", 4, 200, 4},
		{"repeated", "t", "a", 4, 200, 4},
		{"another amount", "t", "a", 5, 409, 4},
		{"smaller amount", "t", "a", 3, 409, 4},
		{"second", "t", "b", 6, 200, 10},
		{"zero", "t", "c", 0, 200, 10},
		{"same id, other name", "u", "a", 7, 200, 7},
		{"greatest amount", "v", "a", maxTallyAmount, 200, maxTallyAmount},
		{"over the greatest", "v", "b", maxTallyAmount + 1, 400, maxTallyAmount},
	}
	for _, step := range steps {
		reply := c.add(t, step.tally, step.id, step.amount)
		if reply.status != step.status || reply.contentType != "application/json" {
			t.Errorf("%s: %+v instead of %d", step.name, reply, step.status)
		}
		if total := c.total(t, step.tally); total != step.total {
			t.Errorf("%s: total %d instead of %d", step.name, total, step.total)
		}
	}
}

// TestInvalidTallyAdds sends bodies that are no add: each gets a 4xx, and nothing is recorded.
func TestInvalidTallyAdds(t *testing.T) {
	c := startTallyCore(t, t.TempDir(), true, wal.Disk)
	bodies := map[string]string{
		"empty":              ``,
		"cut short":          `{"instance_id":"a","lease_owner":4`,
		"cut in a string":    `{"instance_id":"a`,
		"array":              `[{"instance_id":"a","lease_owner":4}]`,
		"null":               `null`,
		"text":               `"a"`,
		"trailing object":    tallyBody("a", 4) + tallyBody("b", 4),
		"trailing bytes":     tallyBody("a", 4) + "x",
		"no id":              `{"lease_owner":4}`,
		"empty id":           `{"instance_id":"","lease_owner":4}`,
		"null id":            `{"instance_id":null,"lease_owner":4}`,
		"number as id":       `{"instance_id":5,"lease_owner":4}`,
		"list as id":         `{"instance_id":["a"],"lease_owner":4}`,
		"long id":            tallyBody(strings.Repeat("x", maxTallyIDBytes+1), 4),
		"id of no character": `{"instance_id":"\ud800","lease_owner":4}`,
		"invalid UTF-8":      "{\"instance_id\":\"\xff\",\"lease_owner\":4}",
		"no amount":          `{"instance_id":"a"}`,
		"null amount":        `{"instance_id":"a","lease_owner":null}`,
		"amount as text":     `{"instance_id":"a","lease_owner":"4"}`,
		"amount as bool":     `{"instance_id":"a","lease_owner":true}`,
		"amount as object":   `{"instance_id":"a","lease_owner":{}}`,
		"negative":           `{"instance_id":"a","lease_owner":-1}`,
		"negative zero":      `{"instance_id":"a","lease_owner":-0}`,
		"fraction":           `{"instance_id":"a","lease_owner":1.5}`,
		"whole fraction":     `{"instance_id":"a","lease_owner":4.0}`,
		"exponent":           `{"instance_id":"a","lease_owner":1e3}`,
		"2^64":               `{"instance_id":"a","lease_owner":18446744073709551616}`,
		"2^64 - 1":           `{"instance_id":"a","lease_owner":18446744073709551615}`,
		"huge":               `{"instance_id":"a","lease_owner":` + strings.Repeat("9", 400) + `}`,
		"doubled amount":     `{"instance_id":"a","lease_owner":4,"lease_owner":5}`,
		"doubled id":         `{"instance_id":"a","instance_id":"b","lease_owner":4}`,
		"keys in capitals":   `{"Instance_ID":"a","LEASE_OWNER":4}`,
		"over 4 KiB":         `{"instance_id":"a","lease_owner":4,"x":"` + strings.Repeat("x", 4<<10) + `"}`,
		"spaces over 4 KiB":  tallyBody("a", 4) + strings.Repeat(" ", 4<<10),
		"deeply nested":      `{"instance_id":"a","lease_owner":4,"x":` + strings.Repeat("[", 4000) + `}`,
	}
	for name, body := range bodies {
		reply := c.call(t, http.MethodPost, "/Tallies.Update/t", body)
		if reply.status < 400 || reply.status > 499 || reply.status == http.StatusTooManyRequests {
			t.Errorf("%s: %+v", name, reply)
		}
		var response errorResponse
		if err := json.Unmarshal([]byte(reply.body), &response); err != nil || response.Error == "" ||
			reply.contentType != "application/json" {
			t.Errorf("%s: %+v tells no error", name, reply)
		}
	}
	if records := c.records(t); records != 0 {
		t.Errorf("%d records of invalid adds", records)
	}
	withOtherKey := `{"x":[1,{}],"instance_id":"a","lease_owner":4}`
	unknownKey := c.call(t, http.MethodPost, "/Tallies.Update/t", withOtherKey)
	if unknownKey.status != http.StatusOK || c.total(t, "t") != 4 {
		t.Errorf("a key that is not known: %+v", unknownKey)
	}
}

// TestTallyNames uses names as they may come. One that is not valid has no effect on the others.
func TestTallyNames(t *testing.T) {
	c := startTallyCore(t, t.TempDir(), true, wal.Disk)
	valid := map[string]string{
		"t3":                     "t3",
		"ett namn":               "ett%20namn",
		"hälsö-日本":               url.PathEscape("hälsö-日本"),
		"..":                     "%2e%2e",
		"a+b&c=d?e#f":            "a+b&c=d%3Fe%23f",
		"\x00\n":                 "%00%0A",
		"%2F":                    "%252F",
		strings.Repeat("x", 256): strings.Repeat("x", 256),
		strings.Repeat("ö", 128): strings.Repeat("%C3%B6", 128),
	}
	for name, path := range valid {
		reply := c.call(t, http.MethodPost, "/Tallies.Update/"+path, tallyBody("a", 5))
		if reply.status != http.StatusOK {
			t.Errorf("%q: %+v", name, reply)
			continue
		}
		if total := c.total(t, name); total != 5 {
			t.Errorf("%q: total %d", name, total)
		}
	}
	held := c.records(t)
	invalid := map[string]string{
		"empty": "", "slash": "a/b", "encoded slash": "a%2Fb", "no UTF-8": "%ff", "cut UTF-8": "%C3",
		"257 bytes": strings.Repeat("x", 257), "129 characters of two bytes": strings.Repeat("%C3%B6", 129),
	}
	for name, path := range invalid {
		update := c.call(t, http.MethodPost, "/Tallies.Update/"+path, tallyBody("a", 5))
		get := c.call(t, http.MethodGet, "/Tallies.Get/"+path, "")
		for _, reply := range []tallyReply{update, get} {
			if reply.status < 400 || reply.status > 499 || reply.status == http.StatusTooManyRequests {
				t.Errorf("%s: %+v", name, reply)
			}
		}
	}
	if records := c.records(t); records != held {
		t.Errorf("%d records of invalid names", records-held)
	}
	if reply := c.add(t, "after", "a", 1); reply.status != http.StatusOK {
		t.Errorf("an add after the invalid ones: %+v", reply)
	}
}

// TestTallyMethods sends other methods: none creates a tally or counts.
func TestTallyMethods(t *testing.T) {
	c := startTallyCore(t, t.TempDir(), true, wal.Disk)
	for _, path := range []string{"/Tallies.Update/t", "/Tallies.Get/t"} {
		allowed := http.MethodPost
		if strings.Contains(path, "Get") {
			allowed = http.MethodGet
		}
		for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"} {
			if method == allowed {
				continue
			}
			if reply := c.call(t, method, path, tallyBody("a", 5)); reply.status != http.StatusMethodNotAllowed {
				t.Errorf("%s %s: %+v", method, path, reply)
			}
		}
	}
	if total := c.total(t, "t"); total != 0 {
		t.Errorf("total %d", total)
	}
	var status statusResponse
	if err := json.Unmarshal([]byte(c.call(t, http.MethodGet, "/status", "").body), &status); err != nil {
		t.Fatal(err)
	}
	if status.Tallies.Tallies != 0 || status.Tallies.Records != 0 {
		t.Errorf("reads created tallies: %+v", status.Tallies)
	}
}

// TestIncompleteTallyBody sends a body that never comes whole: the call ends with 400 after the time-out, and
// counts nothing.
func TestIncompleteTallyBody(t *testing.T) {
	c := startTallyCore(t, t.TempDir(), true, wal.Disk)
	connection, err := net.Dial("tcp", c.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	body := tallyBody("a", 5)
	const head = "POST /Tallies.Update/t HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
	_, err = fmt.Fprintf(connection, head, len(body)+1, body)
	if err != nil {
		t.Fatal(err)
	}
	connection.SetReadDeadline(time.Now().Add(2 * reportTimeout))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusBadRequest || c.total(t, "t") != 0 {
		t.Errorf("status %d, total %d", response.StatusCode, c.total(t, "t"))
	}
}

// TestStalledDiskOfTallies stalls the disk during adds. The first gets 504 within the time that callers wait,
// since it may count; those refused with 503 or 429 are not recorded. Whatever was not refused counts later.
func TestStalledDiskOfTallies(t *testing.T) {
	disks := map[string]func(*controlledDisk) (resume func()){
		"stalled": (*controlledDisk).stall,
		"full": func(d *controlledDisk) func() {
			d.setFull(true)
			return func() { d.setFull(false) }
		},
	}
	for name, disturb := range disks {
		t.Run(name, func(t *testing.T) {
			dataDir := t.TempDir()
			disk := newControlledDisk()
			c := startTallyCore(t, dataDir, true, disk)
			c.mustAdd(t, "t", "before", 1)
			resume := disturb(disk)
			defer resume()
			mayCount := uint64(0)
			for i := range 6 {
				reply := c.add(t, "t", fmt.Sprint("during-", i), 100)
				if reply.took >= tallyCallerTimeout {
					t.Errorf("add %d took %v", i, reply.took)
				}
				switch reply.status {
				case http.StatusGatewayTimeout:
					mayCount += 100
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					if reply.retryAfter == "" {
						t.Errorf("add %d: %+v without Retry-After", i, reply)
					}
				default:
					t.Errorf("add %d: %+v", i, reply)
				}
			}
			if mayCount == 0 {
				t.Error("not even the first add was recorded")
			}
			resume()
			c.mustAdd(t, "t", "after", 10)
			if total := c.total(t, "t"); total != mayCount+11 {
				t.Errorf("total %d instead of %d", total, mayCount+11)
			}
			c.mustAdd(t, "t", "during-0", 100) // its caller sends it again
			want := c.total(t, "t")
			c.stop()
			c = startTallyCore(t, dataDir, false, wal.Disk)
			if total := c.total(t, "t"); total != want || want != mayCount+11 {
				t.Errorf("total %d after a restart instead of %d", total, want)
			}
		})
	}
}

// TestTalliesAreKeptOverRestarts stops and starts a core several times: all that it has acknowledged is
// there.
func TestTalliesAreKeptOverRestarts(t *testing.T) {
	dataDir := t.TempDir()
	for restart := range uint64(4) {
		c := startTallyCore(t, dataDir, restart == 0, wal.Disk)
		if total := c.total(t, "t"); total != 20*restart {
			t.Fatalf("restart %d: total %d", restart, total)
		}
		for i := range 20 {
			c.mustAdd(t, "t", fmt.Sprintf("%d-%d", restart, i), 1)
		}
		c.mustAdd(t, "t", "0-0", 1) // repeated in a later life
		c.stop()
	}
}
