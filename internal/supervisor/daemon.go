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
const checkInterval = 50 * time.Millisecond

// Daemon keeps a fleet.
type Daemon struct {
	log        zerolog.Logger
	program    string
	httpClient http.Client

	mu               sync.Mutex
	reconciler       *Reconciler
	settings         *Settings
	slots            map[string]*instanceSlot
	processes        map[int]*processRecord
	startedAt        time.Time
	wakeTimer        *time.Timer
	allStopped       chan struct{}
	allStoppedClosed bool
	loopEnded        chan struct{}
	forecasts        *forecastCollector // nil where it looks ahead at nothing

	rules            *rulesParticipant // nil where there is no council
	orphans          []*processRecord  // are to end, and are none of the fleet's
	instanceByPID    sync.Map          // of processes that run, to the names of their instances
	addressOverrides atomic.Pointer[map[string]map[string]string]
}

// place is what an instance has besides its processes.
type instanceSlot struct {
	instance   Instance
	listener   *os.File // held for it, and handed to each process
	adminIndex int      // of its two operators' ports
}

// running is a process that runs.
type processRecord struct {
	Instance     string `json:"instance"`
	PID          int    `json:"pid"`
	StartTime    string `json:"born"` // the kernel's start time of it: a pid may be another's by now
	AdminAddress string `json:"control"`
	Config       []byte `json:"config"`
	number       int
	ready        bool
	child        bool
	reloading    bool // it has been told to read its configuration anew
}

// NewDaemon starts a daemon: it takes over the instances that one before it has left, and starts the others.
func NewDaemon(settings *Settings, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{log: log, program: settings.Program, settings: settings, slots: map[string]*instanceSlot{}, processes: map[int]*processRecord{},
		startedAt: time.Now(), allStopped: make(chan struct{}), loopEnded: make(chan struct{}),
		reconciler: NewReconciler(settings.Policy, time.Now().UnixNano()), httpClient: http.Client{Timeout: time.Second,
			Transport: &http.Transport{DisableKeepAlives: true}}}
	if d.program == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		d.program = self
	}
	if err := os.MkdirAll(settings.RunDir, 0o700); err != nil {
		return nil, fmt.Errorf("run_dir: %w", err)
	}
	if settings.Rules != nil {
		if err := d.joinRules(settings); err != nil {
			return nil, err
		}
		d.addressOverrides.Store(&settings.Rules.AddressOverrides)
	}
	d.wakeTimer = time.NewTimer(time.Hour)
	d.mu.Lock()
	d.setDesired(settings)
	d.adopt()
	if d.rules != nil && d.rules.subscription != nil {
		d.rules.subscription.setUpstreams(settings.Rules.Relay.Upstreams)
	}
	d.reconcile()
	d.mu.Unlock()
	if settings.Region != "" {
		d.forecasts = d.newForecastCollector()
		go d.forecasts.run(d)
	}
	go d.run()
	if d.rules != nil {
		go d.followRules()
	}
	return d, nil
}

func (d *Daemon) nowMillis() float64 {
	return float64(time.Since(d.startedAt)) / float64(time.Millisecond)
}

// turn tells the keeper the time and carries its decisions out, under the lock.
func (d *Daemon) reconcile() {
	d.reconciler.SetTime(d.nowMillis())
	for {
		action, ok := d.reconciler.Next()
		if !ok {
			return
		}
		switch action.Kind {
		case StartProcess:
			if err := d.spawn(action.Instance, action.ProcessNumber); err != nil {
				d.log.Error().Err(err).Str("instance", action.Instance).Msg("not started")
				d.reconciler.ProcessEnded(action.Instance, action.ProcessNumber)
			}
		case TerminateProcess:
			d.signal(action.ProcessNumber, syscall.SIGTERM)
		case KillProcess:
			d.log.Warn().Str("instance", action.Instance).Msg("ended by force")
			d.signal(action.ProcessNumber, syscall.SIGKILL)
		case ReloadProcess:
			if err := d.reloadProcess(action.Instance, action.ProcessNumber); err != nil {
				d.log.Error().Err(err).Str("instance", action.Instance).Msg("not renewed")
			}
		case WakeUp:
			d.wakeTimer.Reset(time.Duration((action.AtMillis - d.nowMillis()) * float64(time.Millisecond)))
			return
		case AllStopped:
			if !d.allStoppedClosed {
				d.allStoppedClosed = true
				close(d.allStopped)
			}
			return
		}
	}
}

// loop looks at processes until the fleet has ended.
func (d *Daemon) run() {
	defer close(d.loopEnded)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.allStopped:
			return
		case <-d.wakeTimer.C:
		case <-ticker.C:
			d.checkProcesses()
		}
		d.mu.Lock()
		d.reconcile()
		d.mu.Unlock()
	}
}

// look asks those that are not ready for their health, and finds adopted ones that are no more.
func (d *Daemon) checkProcesses() {
	d.mu.Lock()
	d.reapOrphans()
	var starting, renewing []*processRecord
	for _, process := range d.processes {
		if !process.child && processStartTime(process.PID) != process.StartTime {
			d.recordExit(process)
		} else if !process.ready {
			starting = append(starting, process)
		} else if process.reloading {
			renewing = append(renewing, process)
		}
	}
	wantedStat := fmt.Sprintf("svc.members=%d\n", d.settings.fleetSize)
	d.mu.Unlock()
	for _, process := range renewing {
		if stats, err := d.getAdmin(process, "/admin/stats"); err == nil && strings.Contains(stats, wantedStat) {
			d.mu.Lock()
			if process.reloading && bytes.Equal(process.Config, d.slots[process.Instance].instance.Config) {
				process.reloading = false
				d.reconciler.ProcessReloaded(process.Instance, process.number)
				d.log.Info().Str("instance", process.Instance).Int("pid", process.PID).Msg("has taken up who the others are")
			}
			d.mu.Unlock()
		}
	}
	for _, process := range starting {
		if _, err := d.getAdmin(process, "/admin/health"); err == nil {
			d.mu.Lock()
			process.ready = true
			d.reconciler.ProcessReady(process.Instance, process.number)
			d.log.Info().Str("instance", process.Instance).Int("pid", process.PID).Msg("ready")
			d.mu.Unlock()
		}
	}
}

// call asks a process at its operators' port. An error is any answer but a yes.
func (d *Daemon) getAdmin(process *processRecord, path string) (string, error) {
	response, err := d.httpClient.Get("http://" + process.AdminAddress + path)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return string(body), err
}

// want takes a fleet's file up, under the lock. What an instance is told decides whether it has changed.
func (d *Daemon) setDesired(settings *Settings) {
	var names []string
	changed := map[string]ConfigChange{}
	for _, instance := range settings.Instances {
		names = append(names, instance.Name)
		slot := d.slots[instance.Name]
		if slot == nil {
			slot = &instanceSlot{}
			d.slots[instance.Name] = slot
		} else if !bytes.Equal(slot.instance.Config, instance.Config) {
			if changed[instance.Name] = classifyChange(slot.instance.Config, instance.Config); !settings.PeerBootstrap { // they do not say what they reckon with
				changed[instance.Name] = RestartNeeded
			}
		}
		if slot.listener != nil && slot.instance.ListenAddress != instance.ListenAddress {
			_ = slot.listener.Close()
			slot.listener = nil
		}
		slot.instance = instance
	}
	d.settings = settings
	d.reconciler.SetPolicy(settings.Policy)
	d.reconciler.SetDesired(names, changed)
}

// changeOf tells in what two configurations differ.
func classifyChange(old, updated []byte) ConfigChange {
	var a, b map[string]any
	if json.Unmarshal(old, &a) != nil || json.Unmarshal(updated, &b) != nil {
		return RestartNeeded
	}
	for _, document := range []map[string]any{a, b} {
		delete(document, "peers")
		if settings, ok := document["settings"].(map[string]any); ok {
			delete(settings, "balancers")
		}
	}
	if reflect.DeepEqual(a, b) {
		return MembershipChanged
	}
	return RestartNeeded
}

// Reload takes a fleet's file up that has been read anew; where it could not be, the old one stays in force.
func (d *Daemon) Reload(settings *Settings, err error) {
	if err == nil && (settings.RunDir != d.settings.RunDir || settings.ControlAddress != d.settings.ControlAddress || settings.Name != d.settings.Name ||
		settings.Region != d.settings.Region) {
		err = errors.New("name, run_dir, control and hall can't change while the daemon runs")
	}
	if err != nil {
		d.log.Error().Err(err).Msg("file not taken up, the old one stays")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.reloadRules(settings); err != nil {
		d.log.Error().Err(err).Msg("file not taken up, the old one stays")
		return
	}
	if d.rules != nil { // whatever the file says, the version in force says which there are
		d.addressOverrides.Store(&settings.Rules.AddressOverrides)
		settings.Instances, settings.fleetSize = d.settings.Instances, d.settings.fleetSize
		d.settings = settings
		err = d.applyRules()
	} else {
		d.setDesired(settings)
	}
	if err != nil {
		d.log.Error().Err(err).Msg("instances stay as they are")
	}
	d.reconcile()
	d.log.Info().Int("instances", len(settings.Instances)).Msg("file taken up")
}

// Stop ends all instances, and returns when they have ended.
func (d *Daemon) Stop() {
	d.mu.Lock()
	d.reconciler.Stop()
	d.reconcile()
	d.mu.Unlock()
	<-d.loopEnded
	for _, slot := range d.slots {
		if slot.listener != nil {
			_ = slot.listener.Close()
		}
	}
	d.leaveRules()
}

// renew has a process read its configuration anew, under the lock.
func (d *Daemon) reloadProcess(name string, number int) error {
	process, slot := d.processes[number], d.slots[name]
	if process == nil {
		return nil
	}
	if err := d.writeGatewayConfig(name, slot.instance.Config); err != nil {
		return err
	}
	process.Config, process.reloading = slot.instance.Config, true
	if err := d.writeNote(process); err != nil {
		d.log.Warn().Err(err).Msg("a daemon after this one will find the process as it was")
	}
	d.signal(number, syscall.SIGHUP)
	return nil
}

// write writes an instance's configuration, whole or not at all.
func (d *Daemon) writeGatewayConfig(name string, config []byte) error {
	file := d.gatewayConfigPath(name)
	if err := os.WriteFile(file+".part", config, 0o600); err != nil {
		return err
	}
	return os.Rename(file+".part", file)
}

func (d *Daemon) gatewayConfigPath(name string) string {
	return filepath.Join(d.settings.RunDir, name, "config.json")
}

// spawn starts a process, under the lock.
func (d *Daemon) spawn(name string, number int) error {
	slot := d.slots[name]
	if slot.listener == nil {
		l, err := net.Listen("tcp", slot.instance.ListenAddress)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		slot.listener, err = l.(*net.TCPListener).File()
		_ = l.Close()
		if err != nil {
			return err
		}
	}
	dir := filepath.Join(d.settings.RunDir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	file := d.gatewayConfigPath(name)
	if err := d.writeGatewayConfig(name, slot.instance.Config); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	slot.adminIndex = 1 - slot.adminIndex
	process := &processRecord{Instance: name, AdminAddress: slot.instance.AdminAddresses[slot.adminIndex], Config: slot.instance.Config, number: number,
		child: true}
	cmd := exec.Command(d.program, "serve")
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+file, "NODE_NAME="+name, "NODE_CONTROL="+process.AdminAddress,
		"NODE_FD=3",
		"TMPDIR="+dir)
	if d.settings.PeerBootstrap {
		cmd.Env = append(cmd.Env, "WILLOWDECK_TELL=true")
		if ask := d.readyAdminAddresses(name); len(ask) > 0 {
			cmd.Env = append(cmd.Env, "WILLOWDECK_ASK="+strings.Join(ask, ","))
		}
	}
	if d.settings.Region != "" {
		cmd.Env = append(cmd.Env, "WILLOWDECK_HALL="+d.settings.Region, "WILLOWDECK_HOST="+d.settings.Name)
	}
	if d.settings.Region != "" && d.rules != nil && d.rules.subscription != nil { // each knows other addresses than its peers
		cmd.Env = append(cmd.Env, "WILLOWDECK_GROUP="+d.settings.Name)
	}
	if d.settings.CrashState {
		cmd.Env = append(cmd.Env, "WILLOWDECK_RESIDUE="+filepath.Join(dir, "residue"),
			fmt.Sprintf("WILLOWDECK_RECALL=%t", d.settings.RestoreCheckpoint))
	}
	if d.rules != nil {
		cmd.Env = append(cmd.Env, "WILLOWDECK_AGREE="+d.settings.ControlAddress)
	}
	cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = log, log, []*os.File{slot.listener}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a signal to the daemon's group is not theirs
	if err := cmd.Start(); err != nil {
		return err
	}
	process.PID = cmd.Process.Pid
	process.StartTime = processStartTime(process.PID)
	d.processes[number] = process
	d.recordStart(process, false)
	if err := d.writeNote(process); err != nil {
		d.log.Warn().Err(err).Msg("a daemon after this one will not find the process")
		if d.rules != nil { // and would take it for one that holds nothing
			_ = cmd.Process.Kill()
		}
	}
	d.log.Info().Str("instance", name).Int("pid", process.PID).Str("control", process.AdminAddress).Msg("started")
	go func() {
		err := cmd.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.log.Info().Str("instance", name).Int("pid", process.PID).AnErr("as", err).Msg("ended")
		d.recordExit(process)
		d.reconcile()
	}()
	return nil
}

// running gives the operators' ports of a few other instances that serve, under the lock.
func (d *Daemon) readyAdminAddresses(except string) (addresses []string) {
	for _, process := range d.processes {
		if process.ready && process.Instance != except && len(addresses) < bootstrap.Peers {
			addresses = append(addresses, process.AdminAddress)
		}
	}
	return addresses
}

// gone books the end of a process, under the lock.
func (d *Daemon) recordExit(process *processRecord) {
	if _, known := d.processes[process.number]; !known {
		return
	}
	delete(d.processes, process.number)
	d.instanceByPID.Delete(process.PID)
	if d.rules != nil {
		d.rules.Ended(process.PID)
	}
	_ = os.Remove(d.notePath(process))
	d.reconciler.ProcessEnded(process.Instance, process.number)
}

// began books that a process runs; before: it did before this daemon.
func (d *Daemon) recordStart(process *processRecord, adopted bool) {
	if d.rules != nil {
		d.rules.Began(process.PID, adopted)
	}
	d.instanceByPID.Store(process.PID, process.Instance)
}

func (d *Daemon) signal(number int, signal syscall.Signal) {
	if process := d.processes[number]; process != nil && processStartTime(process.PID) == process.StartTime {
		_ = syscall.Kill(process.PID, signal)
	}
}

// born gives when the kernel started a process, or nothing where there is none: a pid alone may be another's.
func processStartTime(pid int) string {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const state, since = 0, 19 // behind the name: the state, and the start time
	if len(fields) <= since || fields[state] == "Z" {
		return ""
	}
	return fields[since]
}

func (d *Daemon) notePath(process *processRecord) string {
	return filepath.Join(d.settings.RunDir, fmt.Sprintf("%s.%d.run", process.Instance, process.PID))
}

// note writes what a daemon after this one needs to find a process.
func (d *Daemon) writeNote(process *processRecord) error {
	raw, err := json.Marshal(process)
	if err == nil {
		err = os.WriteFile(d.notePath(process)+".part", raw, 0o600)
	}
	if err == nil {
		err = os.Rename(d.notePath(process)+".part", d.notePath(process))
	}
	return err
}

// adopt takes over the processes that a daemon before this one has left, under the lock. One of two for an
// instance is ended, and so is one that is none of the fleet's any more.
func (d *Daemon) adopt() {
	files, _ := filepath.Glob(filepath.Join(d.settings.RunDir, "*.run"))
	for _, file := range files {
		raw, err := os.ReadFile(file)
		process := &processRecord{}
		if err != nil || json.Unmarshal(raw, process) != nil || process.PID <= 1 || processStartTime(process.PID) != process.StartTime || process.StartTime == "" {
			_ = os.Remove(file)
			continue
		}
		slot, duplicate := d.slots[process.Instance], false
		for _, other := range d.processes {
			duplicate = duplicate || other.Instance == process.Instance
		}
		if slot == nil || duplicate {
			_ = syscall.Kill(process.PID, syscall.SIGTERM)
			d.trackOrphan(process)
			continue
		}
		process.number = d.reconciler.Adopt(process.Instance)
		d.processes[process.number] = process
		d.recordStart(process, true)
		if process.AdminAddress == slot.instance.AdminAddresses[1] {
			slot.adminIndex = 1
		}
		if !bytes.Equal(process.Config, slot.instance.Config) { // the file has changed meanwhile
			d.reconciler.SetDesired(d.instanceNames(), map[string]ConfigChange{process.Instance: RestartNeeded})
		}
		d.log.Info().Str("instance", process.Instance).Int("pid", process.PID).Msg("taken over")
	}
}

func (d *Daemon) instanceNames() (names []string) {
	for _, instance := range d.settings.Instances {
		names = append(names, instance.Name)
	}
	return names
}
