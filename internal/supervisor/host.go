package supervisor

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/gateway/recovery/bootstrap"
)

// lookEach is how often instances are asked for their health, and those that are not the daemon's own
// children looked at: a fifth of the shortest pause before a start, at some 0.1 ms of a core each.
const lookEach = 50 * time.Millisecond

// Daemon keeps a fleet.
type Daemon struct {
	log     zerolog.Logger
	program string
	client  http.Client

	mu      sync.Mutex
	keeper  *Keeper
	fleet   *Fleet
	by      map[string]*place
	runs    map[int]*running
	start   time.Time
	timer   *time.Timer
	done    chan struct{}
	ended   bool
	stopped chan struct{}
	watcher *watcher // nil where it looks ahead at nothing

	seat   *seat      // nil where there is no council
	strays []*running // are to end, and are none of the fleet's
	pids   sync.Map   // of processes that run, to the names of their instances
	reach  atomic.Pointer[map[string]map[string]string]
}

// place is what an instance has besides its processes.
type place struct {
	in       Instance
	listener *os.File // held for it, and handed to each process
	turn     int      // of its two operators' ports
}

// running is a process that runs.
type running struct {
	Instance string `json:"instance"`
	Pid      int    `json:"pid"`
	Born     string `json:"born"` // the kernel's start time of it: a pid may be another's by now
	Control  string `json:"control"`
	Config   []byte `json:"config"`
	number   int
	ready    bool
	child    bool
	renewing bool // it has been told to read its configuration anew
}

// NewDaemon starts a daemon: it takes over the instances that one before it has left, and starts the others.
func NewDaemon(f *Fleet, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{log: log, program: f.Program, fleet: f, by: map[string]*place{}, runs: map[int]*running{},
		start: time.Now(), done: make(chan struct{}), stopped: make(chan struct{}),
		keeper: NewKeeper(f.Pace, time.Now().UnixNano()), client: http.Client{Timeout: time.Second,
			Transport: &http.Transport{DisableKeepAlives: true}}}
	if d.program == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		d.program = self
	}
	if err := os.MkdirAll(f.RunDir, 0o700); err != nil {
		return nil, fmt.Errorf("run_dir: %w", err)
	}
	if f.Agreed != nil {
		if err := d.convene(f); err != nil {
			return nil, err
		}
		d.reach.Store(&f.Agreed.Reach)
	}
	d.timer = time.NewTimer(time.Hour)
	d.mu.Lock()
	d.want(f)
	d.adopt()
	if d.seat != nil && d.seat.branch != nil {
		d.seat.branch.follows(f.Agreed.Relay.Upstream)
	}
	d.turn()
	d.mu.Unlock()
	if f.Hall != "" {
		d.watcher = d.watches()
		go d.watcher.loop(d)
	}
	go d.loop()
	if d.seat != nil {
		go d.follow()
	}
	return d, nil
}

func (d *Daemon) now() float64 { return float64(time.Since(d.start)) / float64(time.Millisecond) }

// turn tells the keeper the time and carries its decisions out, under the lock.
func (d *Daemon) turn() {
	d.keeper.Clock(d.now())
	for {
		v, ok := d.keeper.Next()
		if !ok {
			return
		}
		switch v.Kind {
		case Start:
			if err := d.spawn(v.Instance, v.Process); err != nil {
				d.log.Error().Err(err).Str("instance", v.Instance).Msg("not started")
				d.keeper.Ended(v.Instance, v.Process)
			}
		case Term:
			d.signal(v.Process, syscall.SIGTERM)
		case Kill:
			d.log.Warn().Str("instance", v.Instance).Msg("ended by force")
			d.signal(v.Process, syscall.SIGKILL)
		case Renew:
			if err := d.renew(v.Instance, v.Process); err != nil {
				d.log.Error().Err(err).Str("instance", v.Instance).Msg("not renewed")
			}
		case Wake:
			d.timer.Reset(time.Duration((v.At - d.now()) * float64(time.Millisecond)))
			return
		case Done:
			if !d.ended {
				d.ended = true
				close(d.done)
			}
			return
		}
	}
}

// loop looks at processes until the fleet has ended.
func (d *Daemon) loop() {
	defer close(d.stopped)
	t := time.NewTicker(lookEach)
	defer t.Stop()
	for {
		select {
		case <-d.done:
			return
		case <-d.timer.C:
		case <-t.C:
			d.look()
		}
		d.mu.Lock()
		d.turn()
		d.mu.Unlock()
	}
}

// look asks those that are not ready for their health, and finds adopted ones that are no more.
func (d *Daemon) look() {
	d.mu.Lock()
	d.left()
	var ask, renewing []*running
	for _, r := range d.runs {
		if !r.child && born(r.Pid) != r.Born {
			d.gone(r)
		} else if !r.ready {
			ask = append(ask, r)
		} else if r.renewing {
			renewing = append(renewing, r)
		}
	}
	members := fmt.Sprintf("svc.members=%d\n", d.fleet.places)
	d.mu.Unlock()
	for _, r := range renewing {
		if figures, err := d.call(r, "/admin/stats"); err == nil && strings.Contains(figures, members) {
			d.mu.Lock()
			if r.renewing && bytes.Equal(r.Config, d.by[r.Instance].in.Config) {
				r.renewing = false
				d.keeper.Renewed(r.Instance, r.number)
				d.log.Info().Str("instance", r.Instance).Int("pid", r.Pid).Msg("has taken up who the others are")
			}
			d.mu.Unlock()
		}
	}
	for _, r := range ask {
		if _, err := d.call(r, "/admin/health"); err == nil {
			d.mu.Lock()
			r.ready = true
			d.keeper.Ready(r.Instance, r.number)
			d.log.Info().Str("instance", r.Instance).Int("pid", r.Pid).Msg("ready")
			d.mu.Unlock()
		}
	}
}

// call asks a process at its operators' port. An error is any answer but a yes.
func (d *Daemon) call(r *running, path string) (string, error) {
	res, err := d.client.Get("http://" + r.Control + path)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", res.StatusCode)
	}
	return string(b), err
}

// want takes a fleet's file up, under the lock. What an instance is told decides whether it has changed.
func (d *Daemon) want(f *Fleet) {
	var names []string
	changed := map[string]Change{}
	for _, in := range f.Instances {
		names = append(names, in.Name)
		p := d.by[in.Name]
		if p == nil {
			p = &place{}
			d.by[in.Name] = p
		} else if !bytes.Equal(p.in.Config, in.Config) {
			if changed[in.Name] = changeOf(p.in.Config, in.Config); !f.Warm { // they do not say what they reckon with
				changed[in.Name] = More
			}
		}
		if p.listener != nil && p.in.Listen != in.Listen {
			_ = p.listener.Close()
			p.listener = nil
		}
		p.in = in
	}
	d.fleet = f
	d.keeper.Pace(f.Pace)
	d.keeper.Want(names, changed)
}

// changeOf tells in what two configurations differ.
func changeOf(old, now []byte) Change {
	var a, b map[string]any
	if json.Unmarshal(old, &a) != nil || json.Unmarshal(now, &b) != nil {
		return More
	}
	for _, c := range []map[string]any{a, b} {
		delete(c, "peers")
		if s, ok := c["settings"].(map[string]any); ok {
			delete(s, "balancers")
		}
	}
	if reflect.DeepEqual(a, b) {
		return Members
	}
	return More
}

// Reload takes a fleet's file up that has been read anew; where it could not be, the old one stays in force.
func (d *Daemon) Reload(f *Fleet, err error) {
	if err == nil && (f.RunDir != d.fleet.RunDir || f.Control != d.fleet.Control || f.Name != d.fleet.Name ||
		f.Hall != d.fleet.Hall) {
		err = errors.New("name, run_dir, control and hall can't change while the daemon runs")
	}
	if err != nil {
		d.log.Error().Err(err).Msg("file not taken up, the old one stays")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.recall(f); err != nil {
		d.log.Error().Err(err).Msg("file not taken up, the old one stays")
		return
	}
	if d.seat != nil { // whatever the file says, the version in force says which there are
		d.reach.Store(&f.Agreed.Reach)
		f.Instances, f.places = d.fleet.Instances, d.fleet.places
		d.fleet = f
		err = d.carry()
	} else {
		d.want(f)
	}
	if err != nil {
		d.log.Error().Err(err).Msg("instances stay as they are")
	}
	d.turn()
	d.log.Info().Int("instances", len(f.Instances)).Msg("file taken up")
}

// Stop ends all instances, and returns when they have ended.
func (d *Daemon) Stop() {
	d.mu.Lock()
	d.keeper.Stop()
	d.turn()
	d.mu.Unlock()
	<-d.stopped
	for _, p := range d.by {
		if p.listener != nil {
			_ = p.listener.Close()
		}
	}
	d.adjourn()
}

// renew has a process read its configuration anew, under the lock.
func (d *Daemon) renew(name string, number int) error {
	r, p := d.runs[number], d.by[name]
	if r == nil {
		return nil
	}
	if err := d.write(name, p.in.Config); err != nil {
		return err
	}
	r.Config, r.renewing = p.in.Config, true
	if err := d.note(r); err != nil {
		d.log.Warn().Err(err).Msg("a daemon after this one will find the process as it was")
	}
	d.signal(number, syscall.SIGHUP)
	return nil
}

// write writes an instance's configuration, whole or not at all.
func (d *Daemon) write(name string, config []byte) error {
	file := d.configOf(name)
	if err := os.WriteFile(file+".part", config, 0o600); err != nil {
		return err
	}
	return os.Rename(file+".part", file)
}

func (d *Daemon) configOf(name string) string {
	return filepath.Join(d.fleet.RunDir, name, "config.json")
}

// spawn starts a process, under the lock.
func (d *Daemon) spawn(name string, number int) error {
	p := d.by[name]
	if p.listener == nil {
		l, err := net.Listen("tcp", p.in.Listen)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		p.listener, err = l.(*net.TCPListener).File()
		_ = l.Close()
		if err != nil {
			return err
		}
	}
	dir := filepath.Join(d.fleet.RunDir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	file := d.configOf(name)
	if err := d.write(name, p.in.Config); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.turn = 1 - p.turn
	r := &running{Instance: name, Control: p.in.Operators[p.turn], Config: p.in.Config, number: number,
		child: true}
	cmd := exec.Command(d.program, "serve")
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+file, "NODE_NAME="+name, "NODE_CONTROL="+r.Control,
		"NODE_FD=3",
		"TMPDIR="+dir)
	if d.fleet.Warm {
		cmd.Env = append(cmd.Env, "WILLOWDECK_TELL=true")
		if ask := d.running(name); len(ask) > 0 {
			cmd.Env = append(cmd.Env, "WILLOWDECK_ASK="+strings.Join(ask, ","))
		}
	}
	if d.fleet.Hall != "" {
		cmd.Env = append(cmd.Env, "WILLOWDECK_HALL="+d.fleet.Hall, "WILLOWDECK_HOST="+d.fleet.Name)
	}
	if d.fleet.Hall != "" && d.seat != nil && d.seat.branch != nil { // each knows other addresses than its peers
		cmd.Env = append(cmd.Env, "WILLOWDECK_GROUP="+d.fleet.Name)
	}
	if d.fleet.Remember {
		cmd.Env = append(cmd.Env, "WILLOWDECK_RESIDUE="+filepath.Join(dir, "residue"),
			fmt.Sprintf("WILLOWDECK_RECALL=%t", d.fleet.Recall))
	}
	if d.seat != nil {
		cmd.Env = append(cmd.Env, "WILLOWDECK_AGREE="+d.fleet.Control)
	}
	cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = log, log, []*os.File{p.listener}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a signal to the daemon's group is not theirs
	if err := cmd.Start(); err != nil {
		return err
	}
	r.Pid = cmd.Process.Pid
	r.Born = born(r.Pid)
	d.runs[number] = r
	d.began(r, false)
	if err := d.note(r); err != nil {
		d.log.Warn().Err(err).Msg("a daemon after this one will not find the process")
		if d.seat != nil { // and would take it for one that holds nothing
			_ = cmd.Process.Kill()
		}
	}
	d.log.Info().Str("instance", name).Int("pid", r.Pid).Str("control", r.Control).Msg("started")
	go func() {
		err := cmd.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.log.Info().Str("instance", name).Int("pid", r.Pid).AnErr("as", err).Msg("ended")
		d.gone(r)
		d.turn()
	}()
	return nil
}

// running gives the operators' ports of a few other instances that serve, under the lock.
func (d *Daemon) running(but string) (all []string) {
	for _, r := range d.runs {
		if r.ready && r.Instance != but && len(all) < bootstrap.Peers {
			all = append(all, r.Control)
		}
	}
	return all
}

// gone books the end of a process, under the lock.
func (d *Daemon) gone(r *running) {
	if _, there := d.runs[r.number]; !there {
		return
	}
	delete(d.runs, r.number)
	d.pids.Delete(r.Pid)
	if d.seat != nil {
		d.seat.ProcessExited(r.Pid)
	}
	_ = os.Remove(d.noteOf(r))
	d.keeper.Ended(r.Instance, r.number)
}

// began books that a process runs; before: it did before this daemon.
func (d *Daemon) began(r *running, before bool) {
	if d.seat != nil {
		d.seat.ProcessStarted(r.Pid, before)
	}
	d.pids.Store(r.Pid, r.Instance)
}

func (d *Daemon) signal(number int, s syscall.Signal) {
	if r := d.runs[number]; r != nil && born(r.Pid) == r.Born {
		_ = syscall.Kill(r.Pid, s)
	}
}

// born gives when the kernel started a process, or nothing where there is none: a pid alone may be another's.
func born(pid int) string {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	f := strings.Fields(rest)
	const state, since = 0, 19 // behind the name: the state, and the start time
	if len(f) <= since || f[state] == "Z" {
		return ""
	}
	return f[since]
}

func (d *Daemon) noteOf(r *running) string {
	return filepath.Join(d.fleet.RunDir, fmt.Sprintf("%s.%d.run", r.Instance, r.Pid))
}

// note writes what a daemon after this one needs to find a process.
func (d *Daemon) note(r *running) error {
	b, err := json.Marshal(r)
	if err == nil {
		err = os.WriteFile(d.noteOf(r)+".part", b, 0o600)
	}
	if err == nil {
		err = os.Rename(d.noteOf(r)+".part", d.noteOf(r))
	}
	return err
}

// adopt takes over the processes that a daemon before this one has left, under the lock. One of two for an
// instance is ended, and so is one that is none of the fleet's any more.
func (d *Daemon) adopt() {
	files, _ := filepath.Glob(filepath.Join(d.fleet.RunDir, "*.run"))
	for _, file := range files {
		raw, err := os.ReadFile(file)
		r := &running{}
		if err != nil || json.Unmarshal(raw, r) != nil || r.Pid <= 1 || born(r.Pid) != r.Born || r.Born == "" {
			_ = os.Remove(file)
			continue
		}
		p, has := d.by[r.Instance], false
		for _, other := range d.runs {
			has = has || other.Instance == r.Instance
		}
		if p == nil || has {
			_ = syscall.Kill(r.Pid, syscall.SIGTERM)
			d.leaves(r)
			continue
		}
		r.number = d.keeper.Adopt(r.Instance)
		d.runs[r.number] = r
		d.began(r, true)
		if r.Control == p.in.Operators[1] {
			p.turn = 1
		}
		if !bytes.Equal(r.Config, p.in.Config) { // the file has changed meanwhile
			d.keeper.Want(d.names(), map[string]Change{r.Instance: More})
		}
		d.log.Info().Str("instance", r.Instance).Int("pid", r.Pid).Msg("taken over")
	}
}

func (d *Daemon) names() (all []string) {
	for _, in := range d.fleet.Instances {
		all = append(all, in.Name)
	}
	return all
}
