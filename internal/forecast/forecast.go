package forecast

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"willowdeck/internal/policy"
)

// Assumptions are the operators' settings for a forecast, which reports cannot supply. A forecast repeats
// them.
type Assumptions struct {
	MaxReportAgeMillis float64 `json:"MostAge"` // reports older than the newest by more than this are not used
	WorkerCores        float64 `json:"Cores"`   // requests that a worker runs concurrently; 0: not known
	// WorkerPerSecond is how many requests of the usual mix a warm worker can answer; 0: estimated from load
	// reports or answer times.
	WorkerPerSecond float64 `json:"PerS"`
	// NetworkMillis is the network's part of the answer time between a gateway and a worker of the same region.
	NetworkMillis  float64 `json:"Way"`
	ClientAttempts int     `json:"Tries"` // most attempts per request, each at the next gateway of its set
	// ClientBackoffMillis is a client's longest pause before a retry, where no Retry-After is sent.
	ClientBackoffMillis float64 `json:"Back"`
	// TakeoverMillis is the time until clients of a lost gateway use other gateways; 0: with their next attempt.
	TakeoverMillis float64 `json:"Takeover"`
	// FailsOver is set if clients whose gateways are all lost use the remaining gateways; otherwise their
	// requests fail.
	FailsOver bool `json:"Elsewhere"`
	// SlowFactor multiplies the service times of the remaining workers in losses of LoseRegionSlowNeighbours.
	SlowFactor float64 `json:"Slow"`
}

// DefaultAssumptions apply where operators set nothing.
var DefaultAssumptions = Assumptions{MaxReportAgeMillis: 10000, ClientAttempts: 1, FailsOver: true,
	SlowFactor: 2}

// Validate returns an error that names the first key whose value is out of range.
func (r *Assumptions) Validate() error {
	switch {
	case !(r.MaxReportAgeMillis > 0):
		return fmt.Errorf("old_ms: %v is not positive", r.MaxReportAgeMillis)
	case !(r.WorkerCores >= 0) || !(r.WorkerPerSecond >= 0) || !(r.NetworkMillis >= 0):
		return errors.New("worker_cores, worker_per_s, way_ms: one is negative")
	case r.ClientAttempts < 1 || r.ClientAttempts > 100:
		return fmt.Errorf("tries: %d is not from 1 to 100", r.ClientAttempts)
	case !(r.ClientBackoffMillis >= 0) || !(r.TakeoverMillis >= 0):
		return errors.New("back_ms, takeover_ms: one is negative")
	case !(r.SlowFactor >= 1):
		return fmt.Errorf("slow: %v is under one", r.SlowFactor)
	}
	return nil
}

// Kind tells which part of a region is lost.
type Kind uint8

// The kinds of loss.
const (
	LoseRegion               Kind = iota // its workers and gateways
	LoseGateways                         // its gateways only
	LoseLinks                            // its network links: each such region is partitioned from all others
	LoseRegionSlowNeighbours             // its workers and gateways, while workers of other regions are slow
	kindCount
)

var kindNames = [kindCount]string{"hall", "gatekeepers", "links", "hall, neighbours slow"}

func (k Kind) String() string { return kindNames[k] }

// MarshalText returns a kind's name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(kindNames[k]), nil }

// UnmarshalText parses a kind's name.
func (k *Kind) UnmarshalText(text []byte) error {
	i := slices.Index(kindNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("loss: %q is unknown", text)
	}
	*k = Kind(i)
	return nil
}

// Loss is a loss whose cost is estimated.
type Loss struct {
	Kind    Kind     `json:"Kind"`
	Regions []string `json:"Halls"`
}

// Equal reports whether two losses are the same.
func (l *Loss) Equal(o Loss) bool { return l.Kind == o.Kind && slices.Equal(l.Regions, o.Regions) }

// PossibleLosses returns the losses that are estimated: each kind for each region and, if there are more than
// two regions, for each pair of them.
func PossibleLosses(regions []string) (all []Loss) {
	regions = slices.Sorted(slices.Values(regions))
	for k := range kindCount {
		for _, h := range regions {
			all = append(all, Loss{k, []string{h}})
		}
		for i, h := range regions {
			for _, o := range regions[i+1:] {
				if len(regions) > 2 {
					all = append(all, Loss{k, []string{h, o}})
				}
			}
		}
	}
	return all
}

// Forecast is the state of the fleet now and after each loss, as far as reports show it. Rates are per
// second, times in ms, and values in the unit of the settings' product values.
type Forecast struct {
	AsOf           int64       `json:"AsOf"` // Unix ms of the newest report, by its gateway's clock
	Assumptions    Assumptions `json:"Rules"`
	RulesetVersion uint64      `json:"Version"` // newest ruleset version among the reports
	Used           []Source    `json:"Rests"`   // reports that the forecast is computed from
	TooOld         []Source    `json:"Old"`     // reports not used because they are too old
	Rejected       []string    `json:"Other"`   // other unused reports, with the reason
	Missing        []string    `json:"Unheard"` // gateways of known groups without a used report
	Scale          float64     `json:"Scaled"`  // factor on the reported rates, to make up for missing gateways
	Unknown        []string    `json:"Unknown"` // what could not be estimated, and why
	Now            State       `json:"Now"`
	// RebalanceMillis is the time after a loss until the quota shares of lost gateways have moved to others.
	RebalanceMillis float64 `json:"Moved"`
	Losses          []Cost  `json:"Losses"`
}

// Source identifies a report that was received.
type Source struct {
	Name           string `json:"Name"`
	Host           string `json:"Host"`
	Region         string `json:"Hall"`
	Incarnation    uint32 `json:"Life"`
	Sequence       uint64 `json:"Seq"`
	RulesetVersion uint64 `json:"Version"`
	AgeMillis      int64  `json:"Age"` // age relative to the newest report
}

// State tells how a fleet serves.
type State struct {
	Value    float64       `json:"Value"` // of answered requests; late ones count in part
	InTime   float64       `json:"InTime"`
	Late     float64       `json:"Late"`
	Rejected []PlanRate    `json:"Declined"` // unserved requests by plan
	Regions  []RegionState `json:"Halls"`
}

// PlanRate is a rate of requests of one plan.
type PlanRate struct {
	Name string  `json:"Name"`
	Rate float64 `json:"Rate"`
}

// RegionState tells how a region serves. Requested counts the requests that reach its gateways. Succeeded and
// the fields after it describe its workers, whichever gateway calls them.
type RegionState struct {
	Name           string  `json:"Name"`
	Gatekeepers    int     `json:"Gatekeepers"`
	Workers        int     `json:"Workers"`
	WarmWorkers    float64 `json:"Able"` // capacity, in fully warmed-up workers
	Requested      float64 `json:"Asked"`
	Succeeded      float64 `json:"Run"`  // requests that its workers answer successfully
	Utilization    float64 `json:"Use"`  // fraction of its workers' capacity in use; negative if unknown
	MeanMillis     float64 `json:"Pace"` // mean answer time
	WindowCapacity float64 `json:"Room"` // attempts in flight to it that congestion windows admit
	InFlight       int     `json:"InHand"`
}

// Cost is the estimated cost of a loss.
type Cost struct {
	Loss Loss `json:"Loss"`
	// Immediate is the value lost at once: of requests in flight, and of those that arrive until clients have
	// moved to other gateways.
	Immediate float64  `json:"AtOnce"`
	Before    Phase    `json:"First"`   // mean state until quota shares have moved
	After     Phase    `json:"After"`   // the state after that
	Orphans   float64  `json:"Orphans"` // per second, requests whose clients' gateways are all lost
	Wasted    float64  `json:"Wasted"`  // requests in flight whose answers reach no client
	Missing   []string `json:"Missing"` // descriptions of the missing capacity and quota
}

// Phase tells how the fleet serves during a period after a loss.
type Phase struct {
	LostValue   float64 `json:"Lost"`   // value lost per second
	Wasted      float64 `json:"Wasted"` // requests per second that are answered too late
	CreditDrawn float64 `json:"Credit"` // units that customers borrow in the period
	State
}

// Project estimates the losses from validated reports.
func Project(reports []*Report, r Assumptions) *Forecast {
	o := &Forecast{Assumptions: r, Scale: 1}
	used := o.selectReports(reports)
	if len(used) == 0 {
		o.Unknown = append(o.Unknown, "everything: there is no word to go by")
		return o
	}
	f := o.newFleet(used)
	o.RebalanceMillis = toSignificantDigits(f.rebalanceMillis())
	o.Now = f.currentState()
	if f.cores == 0 {
		return o
	}
	base := f.baseline()
	for _, l := range PossibleLosses(f.regions) {
		o.Losses = append(o.Losses, f.costOf(l, base))
	}
	return o
}

// selectReports returns the reports that are used, sorted by group and index: the newest one of each gateway,
// unless it is too old or its settings differ from the most common ones. It records the unused ones in o.
func (o *Forecast) selectReports(reports []*Report) (used []*Report) {
	newest := map[string]*Report{}
	for _, w := range reports {
		id := w.Group + "\x00" + fmt.Sprint(w.Index)
		if previous := newest[id]; previous == nil || w.Newer(previous) {
			newest[id] = w
		}
	}
	all := make([]*Report, 0, len(newest))
	for _, w := range newest {
		all = append(all, w)
		o.AsOf, o.RulesetVersion = max(o.AsOf, w.MeasuredAtMillis), max(o.RulesetVersion, w.RulesetVersion)
	}
	slices.SortFunc(all, func(a, b *Report) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Name, b.Name))
	})
	settings, mostCommon := mostCommonSettings(all)
	for i, w := range all {
		s := Source{w.Name, w.Host, w.Region, w.Incarnation, w.Sequence, w.RulesetVersion,
			o.AsOf - w.MeasuredAtMillis}
		switch {
		case float64(s.AgeMillis) > o.Assumptions.MaxReportAgeMillis:
			o.TooOld = append(o.TooOld, s)
		case settings[i] != mostCommon:
			o.Rejected = append(o.Rejected, w.Name+": goes by other products and plans than most")
		default:
			o.Used = append(o.Used, s)
			used = append(used, w)
		}
	}
	o.findMissing(used)
	return used
}

// comparableSettings encodes the settings that reports must have in common to be summed.
func (w *Report) comparableSettings() string {
	c := w.Settings
	c.GatewayIndex = 0
	b, err := json.Marshal(struct {
		C              any
		Products, Plan []string
	}{c, w.Products, w.Plans})
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// mostCommonSettings returns the encoded settings of each report, and the most common ones; of two that are
// equally common, the one that sorts first.
func mostCommonSettings(reports []*Report) (all []string, mostCommon string) {
	count := map[string]int{}
	for _, w := range reports {
		all = append(all, w.comparableSettings())
		count[all[len(all)-1]]++
	}
	for settings, n := range count {
		if n > count[mostCommon] || n == count[mostCommon] && settings < mostCommon {
			mostCommon = settings
		}
	}
	return all, mostCommon
}

// findMissing records the gateways of known groups that have no report in use, and sets Scale. Each missing
// gateway is assumed to receive as many requests as the others on average, as the policy assumes of a peer
// that never reported.
func (o *Forecast) findMissing(used []*Report) {
	known, reporting := 0, 0
	for i := 0; i < len(used); {
		group, n := used[i].Group, used[i].Settings.GatewayCount
		reported := map[int]bool{}
		for ; i < len(used) && used[i].Group == group; i++ {
			reported[used[i].Index] = true
		}
		known, reporting = known+n, reporting+len(reported)
		var gaps []string
		for k := range n {
			if !reported[k] {
				gaps = append(gaps, fmt.Sprint(k))
			}
		}
		if len(gaps) > 0 {
			o.Missing = append(o.Missing, fmt.Sprintf("group %s: number %s of %d", group, strings.Join(gaps, " "), n))
		}
	}
	if reporting > 0 {
		o.Scale = toSignificantDigits(float64(known) / float64(reporting))
	}
}

// newFleet returns the sum of the reports in use.
func (o *Forecast) newFleet(used []*Report) *fleet {
	f := &fleet{assumptions: o.Assumptions, reports: used, settings: used[0].Settings,
		products: used[0].Products, plans: used[0].Plans, regionIndex: map[string]int{},
		gatewayRegions: map[string][]int{}, scale: o.Scale}
	f.behaviour = policy.ModelParametersOf(f.settings)
	f.addReports()
	o.Unknown = append(o.Unknown, f.unknown...)
	return f
}
