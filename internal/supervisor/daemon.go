package supervisor

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"reflect"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	// checkInterval is the time between two health checks of the processes. It is a quarter of the default
	// initial backoff, and a check takes some 0.1 ms of CPU time for each process.
	checkInterval = 50 * time.Millisecond
	// adminTimeout is the timeout of a request to an instance's admin port.
	adminTimeout = time.Second
	// initialWakeDelay is the wake-up timer's setting before the first action.
	initialWakeDelay = time.Hour
)

// Daemon runs the gateway instances of one host. Its goroutines end with Stop. Reload, Stop and ServeControl
// are called by one goroutine.
type Daemon struct {
	log        zerolog.Logger
	program    string // path of the gateway's program
	httpClient http.Client
	startedAt  time.Time // origin of the reconciler's clock

	mu               sync.Mutex // guards the fields of this group
	reconciler       *Reconciler
	settings         *Settings
	slots            map[string]*instanceSlot // by the instance's name
	processes        map[int]*processRecord   // by process number
	orphans          []*processRecord         // undesired ones of an earlier daemon, sent SIGTERM
	wakeTimer        *time.Timer
	allStoppedClosed bool

	allStopped chan struct{} // closed once all processes have ended after Stop
	loopEnded  chan struct{} // closed by run

	forecasts        *forecastCollector // nil if there is no region; set by NewDaemon alone
	rules            *rulesParticipant  // nil if there is no ruleset; set by NewDaemon alone
	instanceByPID    sync.Map           // PID (int) of each running process to its instance's name (string)
	addressOverrides atomic.Pointer[map[string]map[string]string]
}

// instanceSlot is the state of an instance apart from its processes. The daemon's lock guards it.
type instanceSlot struct {
	instance   Instance
	listener   *os.File // for clients; the daemon passes it to each process; nil until the first start
	adminIndex int      // index of the current process's address in Instance.AdminAddresses
}

// NewDaemon starts a daemon, which adopts the running processes of an earlier daemon and starts the other
// instances.
func NewDaemon(settings *Settings, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		log:        log,
		program:    settings.Program,
		settings:   settings,
		slots:      map[string]*instanceSlot{},
		processes:  map[int]*processRecord{},
		startedAt:  time.Now(),
		allStopped: make(chan struct{}),
		loopEnded:  make(chan struct{}),
		reconciler: NewReconciler(settings.Policy, time.Now().UnixNano()),
		httpClient: http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
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
	d.wakeTimer = time.NewTimer(initialWakeDelay)
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

// nowMillis returns the time on the reconciler's clock, in milliseconds.
func (d *Daemon) nowMillis() float64 {
	return float64(time.Since(d.startedAt)) / float64(time.Millisecond)
}

// reconcile performs the reconciler's actions until none is due. The caller holds the lock.
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
				d.log.Error().Err(err).Str("instance", action.Instance).Msg("instance process not started")
				d.reconciler.ProcessEnded(action.Instance, action.ProcessNumber)
			}
		case TerminateProcess:
			d.signal(action.ProcessNumber, syscall.SIGTERM)
		case KillProcess:
			d.log.Warn().Str("instance", action.Instance).Msg("instance process killed after a timeout")
			d.signal(action.ProcessNumber, syscall.SIGKILL)
		case ReloadProcess:
			if err := d.reloadProcess(action.Instance, action.ProcessNumber); err != nil {
				d.log.Error().Err(err).Str("instance", action.Instance).Msg("instance process not reloaded")
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

// run checks the processes and reconciles until all of them have stopped.
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

// setDesired makes the instances of the settings the desired ones. It passes on as changed the instances
// whose configuration differs from before. The caller holds the lock.
func (d *Daemon) setDesired(settings *Settings) {
	var names []string
	changed := map[string]ConfigChange{}
	for _, instance := range settings.Instances {
		names = append(names, instance.Name)
		slot := d.slots[instance.Name]
		switch {
		case slot == nil:
			slot = &instanceSlot{}
			d.slots[instance.Name] = slot
		case bytes.Equal(slot.instance.Config, instance.Config):
		case !settings.PeerBootstrap: // without it instances do not report the membership that they have loaded
			changed[instance.Name] = RestartNeeded
		default:
			changed[instance.Name] = classifyChange(slot.instance.Config, instance.Config)
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

// classifyChange returns the kind of change between two different configurations of an instance.
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

// instanceNames returns the names of the desired instances. The caller holds the lock.
func (d *Daemon) instanceNames() (names []string) {
	for _, instance := range d.settings.Instances {
		names = append(names, instance.Name)
	}
	return names
}

// Reload applies newly loaded settings; err is the error of loading them. The old settings stay in force if
// err is not nil, or if the new ones change a key that cannot change while the daemon runs.
func (d *Daemon) Reload(settings *Settings, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil &&
		(settings.RunDir != d.settings.RunDir || settings.ControlAddress != d.settings.ControlAddress ||
			settings.Name != d.settings.Name || settings.Region != d.settings.Region) {
		err = errors.New("name, run_dir, control and hall can't change while the daemon runs")
	}
	if err != nil {
		d.log.Error().Err(err).Msg("settings not reloaded, the old ones stay in force")
		return
	}
	if err := d.reloadRules(settings); err != nil {
		d.log.Error().Err(err).Msg("settings not reloaded, the old ones stay in force")
		return
	}
	if d.rules != nil { // the ruleset version in force determines the instances, not the file
		d.addressOverrides.Store(&settings.Rules.AddressOverrides)
		settings.Instances, settings.fleetSize = d.settings.Instances, d.settings.fleetSize
		d.settings = settings
		err = d.applyRules()
	} else {
		d.setDesired(settings)
	}
	if err != nil {
		d.log.Error().Err(err).Msg("rules in force cannot be applied on this host: instances stay as they are")
	}
	d.reconcile()
	d.log.Info().Int("instances", len(settings.Instances)).Msg("settings reloaded")
}

// Stop stops all instances and returns once their processes have exited.
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

// Statuses returns the status of each instance.
func (d *Daemon) Statuses() []InstanceStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reconciler.Statuses()
}
