// Package settings reads the settings file of a process: its place, its addresses, and the bounds that it has
// to keep.
package settings

import (
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
	"github.com/pkg/errors"
)

// PathVariable is the environment variable that names the settings file.
const PathVariable = "WILLOWDECK_BOOT"

// Settings are the checked settings of one process.
type Settings struct {
	NodeName       string
	IP             string
	Zone           string
	Region         string
	Zones          map[string]string // zone to region
	Front          string            // HOST:PORT for clients; empty where the role does not serve them
	Readiness      string
	ControlPlane   string
	Directory      string
	FirstPort      int // of the internal range
	LastPort       int
	Seeds          []string // control plane addresses
	Bootstrap      bool
	DataDir        string
	HeartbeatEvery time.Duration // of workers
	MachinesLost   int           // of those that count, at once, while all rules still hold
	Bounds         Bounds
}

// Bounds are the limits of the rules that the programs go by.
type Bounds struct {
	CatchUp          time.Duration // within which a new or returned core counts again
	Grace            time.Duration
	RetryBudgetRatio float64
	BudgetWindow     time.Duration
	RetrySlack       float64
	ColdOvershoot    float64
	ColdSlack        float64
	TTLMax           time.Duration
}

// ValueError names a key whose value cannot be used, and what would do.
type ValueError struct {
	Key, Value, Remedy string
}

// Error names the key and the remedy.
func (e *ValueError) Error() string {
	return "settings: " + e.Key + " = \"" + e.Value + "\": " + e.Remedy
}

// Path returns the settings file's path: flagged, or that of the environment.
func Path(flagged string) (string, error) {
	if flagged != "" {
		return flagged, nil
	}
	if path := os.Getenv(PathVariable); path != "" {
		return path, nil
	}
	return "", errors.Errorf("no settings file: name one with -settings or in %s", PathVariable)
}

// Load reads and checks the file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "cannot read the settings file: check its path")
	}
	return Parse(string(data))
}

// Parse checks settings in the form a.b=value, one in a line. Unknown keys are left alone.
func Parse(text string) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	table, err := loader.LoadBytes([]byte(text))
	if err != nil {
		return nil, errors.Wrap(err, "settings: a line does not have the form a.b=value")
	}
	r := &reader{table: table}
	s := &Settings{
		NodeName:       r.text("node_name", true),
		IP:             r.ip("ip"),
		Zone:           r.text("zone", true),
		Region:         r.text("region", true),
		Zones:          r.zones(),
		Front:          r.address("listen.front"),
		Readiness:      r.address("listen.readiness"),
		ControlPlane:   r.address("listen.control_plane"),
		Directory:      r.address("listen.directory"),
		Seeds:          r.list("seeds"),
		Bootstrap:      r.flag("bootstrap"),
		DataDir:        r.text("data_dir", false),
		MachinesLost:   int(r.number("fault_tolerance.machines", 1)),
		HeartbeatEvery: r.milliseconds("heartbeat_ms", 1000),
		Bounds: Bounds{
			CatchUp:          r.milliseconds("bounds.catch_up_s", 4) * 1000,
			Grace:            r.milliseconds("bounds.grace_s", 8) * 1000,
			RetryBudgetRatio: r.number("bounds.retry_budget_ratio", 0.1),
			BudgetWindow:     r.milliseconds("bounds.budget_window_s", 10) * 1000,
			RetrySlack:       r.number("bounds.retry_slack", 0),
			ColdOvershoot:    r.number("bounds.cold_overshoot", 1),
			ColdSlack:        r.number("bounds.cold_slack", 0),
			TTLMax:           r.milliseconds("bounds.ttl_max_s", 5) * 1000,
		},
	}
	s.FirstPort, s.LastPort = r.ports("internal_port_range")
	return s, r.err
}

// reader reads values and keeps the first error.
type reader struct {
	table *properties.Properties
	err   error
}

func (r *reader) fail(key, value, remedy string) {
	if r.err == nil {
		r.err = &ValueError{Key: key, Value: value, Remedy: remedy}
	}
}

func (r *reader) text(key string, needed bool) string {
	value := strings.TrimSpace(r.table.GetString(key, ""))
	if value == "" && needed {
		r.fail(key, value, "give it a value")
	}
	return value
}

func (r *reader) list(key string) []string {
	var values []string
	for value := range strings.SplitSeq(r.text(key, false), ",") {
		if value = strings.TrimSpace(value); value != "" {
			values = append(values, value)
		}
	}
	return values
}

func (r *reader) ip(key string) string {
	value := r.text(key, true)
	if value != "" && net.ParseIP(value) == nil {
		r.fail(key, value, "give an IP number")
	}
	return value
}

func (r *reader) address(key string) string {
	value := r.text(key, false)
	if value == "" {
		return ""
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		r.fail(key, value, "give IP:PORT")
	}
	return value
}

func (r *reader) flag(key string) bool {
	value := r.text(key, false)
	switch value {
	case "true":
		return true
	case "false", "":
		return false
	}
	r.fail(key, value, "give true or false")
	return false
}

func (r *reader) number(key string, fallback float64) float64 {
	value := r.text(key, false)
	if value == "" {
		return fallback
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= 0 && number <= 1e12) {
		r.fail(key, value, "give a number that is not negative")
		return fallback
	}
	return number
}

func (r *reader) milliseconds(key string, fallback float64) time.Duration {
	return time.Duration(r.number(key, fallback) * float64(time.Millisecond))
}

func (r *reader) ports(key string) (int, int) {
	value := r.text(key, true)
	first, last, _ := strings.Cut(value, ",")
	low, lowErr := strconv.Atoi(strings.TrimSpace(first))
	high, highErr := strconv.Atoi(strings.TrimSpace(last))
	if lowErr != nil || highErr != nil || low < 1 || high > 65535 || high-low < 1 {
		r.fail(key, value, "give the first and the last of at least two ports, with a comma between them")
	}
	return low, high
}

func (r *reader) zones() map[string]string {
	zones := map[string]string{}
	for _, key := range r.table.Keys() {
		if zone, ok := strings.CutPrefix(key, "zones."); ok {
			zones[zone] = r.text(key, true)
		}
	}
	return zones
}
