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

// Assumptions are what operators state beside the reports; a forecast repeats them.
type Assumptions struct {
	MaxReportAgeMillis float64 `json:"MostAge"` // a report older than the newest by more is not used
	WorkerCores        float64 `json:"Cores"`   // requests that a worker runs at once; 0: not known
	// Requests of the usual mix that a warm worker can answer; 0: estimated from answer times.
	WorkerPerSecond float64 `json:"PerS"`
	// Of an answer's time in the same region, what is not the worker's.
	NetworkMillis  float64 `json:"Way"`
	ClientAttempts int     `json:"Tries"` // each at the next gateway of its set
	// The longest pause before an attempt, where no Retry-After is sent.
	ClientBackoffMillis float64 `json:"Back"`
	// Until clients of a lost gateway use others; 0: with their next attempt.
	TakeoverMillis float64 `json:"Takeover"`
	// Clients whose gateways are all lost use the neighbours', else none.
	FailsOver bool `json:"Elsewhere"`
	// Of the neighbours' answer times, with LoseRegionSlowNeighbours.
	SlowFactor float64 `json:"Slow"`
}

// DefaultAssumptions hold where operators state nothing.
var DefaultAssumptions = Assumptions{MaxReportAgeMillis: 10000, ClientAttempts: 1, FailsOver: true,
	SlowFactor: 2}

// Validate returns an error that names the first key whose value makes no sense.
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

// Kind is which part of a region is lost.
type Kind uint8

// The kinds.
const (
	LoseRegion               Kind = iota // its workers and its gateways
	LoseGateways                         // its gateways alone
	LoseLinks                            // its links to others: each lost region is then alone
	LoseRegionSlowNeighbours             // its workers and gateways, while the neighbours' workers are slow
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

// Loss is a loss to be estimated.
type Loss struct {
	Kind    Kind     `json:"Kind"`
	Regions []string `json:"Halls"`
}

// Equal reports whether two losses are the same.
func (l *Loss) Equal(o Loss) bool { return l.Kind == o.Kind && slices.Equal(l.Regions, o.Regions) }

// PossibleLosses returns the losses that are estimated: each kind for each region, and for each pair of
// regions where another one is left.
func PossibleLosses(halls []string) (all []Loss) {
	halls = slices.Sorted(slices.Values(halls))
	for k := range kindCount {
		for _, h := range halls {
			all = append(all, Loss{k, []string{h}})
		}
		for i, h := range halls {
			for _, o := range halls[i+1:] {
				if len(halls) > 2 {
					all = append(all, Loss{k, []string{h, o}})
				}
			}
		}
	}
	return all
}

// Forecast is the state of the fleet now and after each loss, as far as reports show it. Rates are per
// second, times in ms, values those of the charter.
type Forecast struct {
	AsOf           int64       `json:"AsOf"` // Unix ms of the newest report, by its gateway's clock
	Assumptions    Assumptions `json:"Rules"`
	RulesetVersion uint64      `json:"Version"` // the newest that was reported
	Used           []Source    `json:"Rests"`   // reports that the forecast rests on
	TooOld         []Source    `json:"Old"`     // reports that are too old
	Rejected       []string    `json:"Other"`   // other reports that are not used, and why
	Missing        []string    `json:"Unheard"` // gateways that are known of and have reported nothing
	Scale          float64     `json:"Scaled"`  // by which reported requests are multiplied, for those
	Unknown        []string    `json:"Unknown"` // what could not be estimated, and why
	Now            State       `json:"Now"`
	// After a loss, until the quota shares of lost gateways have moved to others.
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
	AgeMillis      int64  `json:"Age"` // behind the newest report
}

// State is how a fleet serves.
type State struct {
	Value    float64       `json:"Value"` // of answered requests, late ones by their late share
	InTime   float64       `json:"InTime"`
	Late     float64       `json:"Late"`
	Rejected []PlanRate    `json:"Declined"` // requests, by plan; also failed ones and those whose clients left
	Regions  []RegionState `json:"Halls"`
}

// PlanRate is a rate of a plan.
type PlanRate struct {
	Name string  `json:"Name"`
	Rate float64 `json:"Rate"`
}

// RegionState is how a region serves. Requested counts by the gateways in it, the rest by its workers.
type RegionState struct {
	Name           string  `json:"Name"`
	Gatekeepers    int     `json:"Gatekeepers"`
	Workers        int     `json:"Workers"`
	WarmWorkers    float64 `json:"Able"` // capacity, in workers that have warmed up
	Requested      float64 `json:"Asked"`
	Succeeded      float64 `json:"Run"`  // requests that its workers answer
	Utilization    float64 `json:"Use"`  // of what they can do; negative where that is not known
	MeanMillis     float64 `json:"Pace"` // of an answer
	WindowCapacity float64 `json:"Room"` // attempts that windows admit to it now
	InFlight       int     `json:"InHand"`
}

// Cost is what a loss would cost.
type Cost struct {
	Loss Loss `json:"Loss"`
	// Value lost at once: what is in flight, and what arrives until clients have moved.
	Immediate float64  `json:"AtOnce"`
	Before    Phase    `json:"First"` // the mean until quota shares have moved
	After     Phase    `json:"After"`
	Orphans   float64  `json:"Orphans"` // requests whose gateways are all lost
	Wasted    float64  `json:"Wasted"`  // requests that run without use at once
	Missing   []string `json:"Missing"`
}

// Phase is how the fleet serves after a loss.
type Phase struct {
	LostValue   float64 `json:"Lost"`   // value
	Wasted      float64 `json:"Wasted"` // requests that run and are answered too late
	CreditDrawn float64 `json:"Credit"` // units borrowed
	State
}

// Project estimates the losses from validated reports.
func Project(words []*Report, r Assumptions) *Forecast {
	o := &Forecast{Assumptions: r, Scale: 1}
	used := o.selectReports(words)
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

// selectReports returns the reports that are used, by group and index: the newest of each gateway, of the
// newest ruleset, with the charter that most of them have.
func (o *Forecast) selectReports(words []*Report) (used []*Report) {
	newest := map[string]*Report{}
	for _, w := range words {
		id := w.Group + "\x00" + fmt.Sprint(w.Index)
		if was := newest[id]; was == nil || w.Newer(was) {
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
	terms, most := mostCommonSettings(all)
	for i, w := range all {
		s := Source{w.Name, w.Host, w.Region, w.Incarnation, w.Sequence, w.RulesetVersion,
			o.AsOf - w.MeasuredAtMillis}
		switch {
		case float64(s.AgeMillis) > o.Assumptions.MaxReportAgeMillis:
			o.TooOld = append(o.TooOld, s)
		case terms[i] != most:
			o.Rejected = append(o.Rejected, w.Name+": goes by other products and plans than most")
		default:
			o.Used = append(o.Used, s)
			used = append(used, w)
		}
	}
	o.findMissing(used)
	return used
}

// comparableSettings encodes what reports must agree on to be added up.
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

// mostCommonSettings returns the settings of each report, and those that most have; of two as common the
// first in order.
func mostCommonSettings(words []*Report) (all []string, most string) {
	count := map[string]int{}
	for _, w := range words {
		all = append(all, w.comparableSettings())
		count[all[len(all)-1]]++
	}
	for t, n := range count {
		if n > count[most] || n == count[most] && t < most {
			most = t
		}
	}
	return all, most
}

// findMissing names the gateways that are known of and have reported nothing. Each is assumed to get as
// many requests as the mean of the others, as the policy assumes of a peer that never reported.
func (o *Forecast) findMissing(used []*Report) {
	known, heard := 0, 0
	for i := 0; i < len(used); {
		group, n := used[i].Group, used[i].Settings.GatewayCount
		said := map[int]bool{}
		for ; i < len(used) && used[i].Group == group; i++ {
			said[used[i].Index] = true
		}
		known, heard = known+n, heard+len(said)
		var gaps []string
		for k := range n {
			if !said[k] {
				gaps = append(gaps, fmt.Sprint(k))
			}
		}
		if len(gaps) > 0 {
			o.Missing = append(o.Missing, fmt.Sprintf("group %s: number %s of %d", group, strings.Join(gaps, " "), n))
		}
	}
	if heard > 0 {
		o.Scale = toSignificantDigits(float64(known) / float64(heard))
	}
}

// newFleet adds the reports up.
func (o *Forecast) newFleet(used []*Report) *fleet {
	f := &fleet{rules: o.Assumptions, reports: used, settings: used[0].Settings, products: used[0].Products,
		plans: used[0].Plans, regionIndex: map[string]int{}, gatewayRegions: map[string][]int{}, scale: o.Scale}
	f.behaviour = policy.ModelParametersOf(f.settings)
	f.addReports()
	o.Unknown = append(o.Unknown, f.unknown...)
	return f
}
