package settings

import (
	"os"
	"runtime/debug"
	"time"

	"github.com/magiconair/properties"
	"github.com/pkg/errors"
)

// PathEnvVar is the environment variable that names the settings file.
const PathEnvVar = "WILLOWDECK_BOOT"

// Settings are the checked settings of one process. Addresses are HOST:PORT, and empty where the program
// does not listen there.
type Settings struct {
	NodeName               string
	IP                     string
	Zone                   string
	Region                 string
	Zones                  map[string]string // regions by zone
	FrontAddress           string            // for clients
	ReadinessAddress       string            // for the platform's readiness checks
	ControlPlaneAddress    string            // for operators and workers
	DirectoryAddress       string            // for clients that resolve edges
	FirstInternalPort      int               // first port of the range for connections between the programs
	LastInternalPort       int               // last port of that range, inclusive
	Seeds                  []string          // control plane addresses of cores
	Bootstrap              bool              // the seeds are the initial members of the quorum
	DataDir                string
	HeartbeatInterval      time.Duration // the interval at which workers send heartbeats
	ToleratedMachineLosses int           // simultaneous losses of machines that all guarantees survive
	ToleratedZoneLosses    int           // simultaneous losses of zones that all guarantees survive
	MemoryLimitBytes       int64         // memory limit of the process; 0: not limited
	Bounds                 Bounds
}

const bytesPerMegabyte = 1 << 20

// Bounds are the limits within which the programs keep their guarantees.
type Bounds struct {
	CatchUpTimeout     time.Duration // for a new or returned core to catch up with the log
	GracePeriod        time.Duration // between SIGTERM and the end of the process
	RetryBudgetRatio   float64       // allowed retries per request
	RetryBudgetWindow  time.Duration
	RetryBudgetSlack   float64 // retries in a window that are allowed beyond the ratio
	SlowStartOvershoot float64 // burst of a warming worker, as a factor on its rate per second
	SlowStartSlack     float64 // requests that are allowed beyond that burst
	MaxResolveTTL      time.Duration
}

// heapTenths is the part of the process's memory, in tenths, that the garbage collector aims to stay within.
const heapTenths = 8

// LimitHeap has the garbage collector keep the process within its memory, where that is limited.
func (s *Settings) LimitHeap() {
	if s.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(s.MemoryLimitBytes / 10 * heapTenths)
	}
}

// ValueError is the error of a value that cannot be used. Remedy says what the operator has to change.
type ValueError struct {
	Key, Value, Remedy string
}

// Error returns the key, the value and the remedy.
func (e *ValueError) Error() string {
	return "settings: " + e.Key + " = \"" + e.Value + "\": " + e.Remedy
}

// Path returns the path of the settings file: flagValue, or the value of PathEnvVar if the flag is empty.
func Path(flagValue string) (string, error) {
	if flagValue != "" {
		return flagValue, nil
	}
	if path := os.Getenv(PathEnvVar); path != "" {
		return path, nil
	}
	return "", errors.Errorf("no settings file: name one with -settings or in %s", PathEnvVar)
}

// Load reads and checks the settings file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "cannot read the settings file: check its path")
	}
	return Parse(string(data))
}

// Parse parses and checks settings in the form a.b=value, one on each line. Unknown keys are ignored. The
// error of an unusable value is a *ValueError; the first one is reported.
func Parse(text string) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	parsed, err := loader.LoadBytes([]byte(text))
	if err != nil {
		return nil, errors.Wrap(err, "settings: a line does not have the form a.b=value")
	}
	r := &reader{properties: parsed}
	s := &Settings{
		NodeName:               r.requiredText("node_name"),
		IP:                     r.ip("ip"),
		Zone:                   r.requiredText("zone"),
		Region:                 r.requiredText("region"),
		Zones:                  r.zones(),
		FrontAddress:           r.address("listen.front"),
		ReadinessAddress:       r.address("listen.readiness"),
		ControlPlaneAddress:    r.address("listen.control_plane"),
		DirectoryAddress:       r.address("listen.directory"),
		Seeds:                  r.list("seeds"),
		Bootstrap:              r.boolean("bootstrap"),
		DataDir:                r.text("data_dir"),
		ToleratedMachineLosses: int(r.number("fault_tolerance.machines", 1)),
		ToleratedZoneLosses:    int(r.number("fault_tolerance.zones", 0)),
		MemoryLimitBytes:       int64(r.number("limits.memory_mb", 0) * bytesPerMegabyte),
		HeartbeatInterval:      r.milliseconds("heartbeat_ms", 1000),
		Bounds: Bounds{
			CatchUpTimeout:     r.seconds("bounds.catch_up_s", 4),
			GracePeriod:        r.seconds("bounds.grace_s", 8),
			RetryBudgetRatio:   r.number("bounds.retry_budget_ratio", 0.1),
			RetryBudgetWindow:  r.seconds("bounds.budget_window_s", 10),
			RetryBudgetSlack:   r.number("bounds.retry_slack", 0),
			SlowStartOvershoot: r.number("bounds.cold_overshoot", 1),
			SlowStartSlack:     r.number("bounds.cold_slack", 0),
			MaxResolveTTL:      r.seconds("bounds.ttl_max_s", 5),
		},
	}
	s.FirstInternalPort, s.LastInternalPort = r.ports("internal_port_range")
	return s, r.err
}
