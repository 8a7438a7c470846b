// Package config reads what a gatekeeper is told at its start, checks it and fills in defaults. Its errors
// name the key at fault.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"

	lending "willowdeck/internal/borrowing"
	"willowdeck/internal/gateway/transport/gossip"
	"willowdeck/internal/policy"
)

const (
	usPerMs, msPerS = 1000, 1000
	mostCredit      = 86400.0 // s; a day: what is to be paid back over more is another quota
)

// Names gives the places in the charter of the products and plans that txns name.
type Names struct {
	Products, Plans map[string]int
}

// PlanNames gives the plans' names by their places.
func (n Names) PlanNames() []string { return byPlace(n.Plans) }

// ProductNames gives the products' names by their places.
func (n Names) ProductNames() []string { return byPlace(n.Products) }

func byPlace(places map[string]int) []string {
	all := make([]string, len(places))
	for name, i := range places {
		all[i] = name
	}
	return all
}

// Lines is what the settings say of connections to workers and of final answers. Times are in ms.
type Lines struct {
	IdleLimit      float64 // the worker's side closes a connection that stands idle for so long
	ConnectTimeout float64
	AnswerSlack    float64 // how late after its expiry a txn's final answer may come
	LongestWait    float64 // a client waits for its answer, if it says no more; +Inf where that is not stated
	ListAsked      bool    // discovery is asked, and may be asked too much; it does not push
}

// Terms are what the settings hold, in the form that a gatekeeper uses.
type Terms struct {
	Charter policy.Charter
	Names   Names
	Lines   Lines
}

// told is the settings' own form.
type told struct {
	Me        int
	Balancers int
	Classes   []struct {
		Name      string
		Aim       float64 `json:"aim_us"`
		HardLimit float64 `json:"hard_limit_us"`
		Worth     float64
		LateShare float64 `json:"late_share"`
		Effect    string
		Group     string
		Window    float64 `json:"window_us"`
	}
	Tariffs []struct {
		Name        string
		Rate        float64
		MostAtOnce  float64 `json:"most_at_once"`
		HardRate    float64 `json:"hard_rate"`
		CapDepth    float64 `json:"cap_depth"`
		Open        int
		WorthFactor float64 `json:"worth_factor"`
		ExcessWorth float64 `json:"excess_worth"`
		OverCost    float64 `json:"over_cost"`
		Credit      float64 `json:"credit_s"`
		Repay       float64 `json:"repay_s"`
	}
	Allowed struct {
		MaxAttempts    int     `json:"max_attempts"`
		MayDuplicate   bool    `json:"may_duplicate"`
		Cancel         bool    `json:"cancel"`
		RetryAfter     bool    `json:"retry_after"`
		MaxRetryAfter  float64 `json:"max_retry_after_us"`
		Peers          bool    `json:"peers"`
		Keepalive      float64 `json:"keepalive_us"`
		ConnectTimeout float64 `json:"connect_timeout_us"`
	}
	FamilyInfo struct {
		Largest    float64
		PeerInPerS float64 `json:"peer_in_per_s"`
		Counter    bool
		UsePeriod  float64 `json:"use_period_us"`
	} `json:"family_info"`
	Report struct {
		How    string
		Fields []string
	}
	WeightSource string `json:"weight_source"`
	RegistryMode string `json:"registry_mode"`
	Safety       struct {
		ColdFrom    float64 `json:"cold_from"`
		AnswerSlack float64 `json:"answer_slack_us"`
		WarmUp      float64 `json:"warm_up_us"`
		Tips        float64 `json:"tip_multiple"`
		TipAfter    float64 `json:"tip_after_us"`
	}
	ScoreParts struct {
		Whole       float64
		WorstClass  float64 `json:"worst_class"`
		WorstTenant float64 `json:"worst_tenant"`
	} `json:"score_parts"`
}

// ReadTerms reads the settings, as they stand in the configuration and on the bench's wire alike.
func ReadTerms(raw []byte) (Terms, error) {
	s, err := read(raw)
	if err != nil {
		return Terms{}, err
	}
	return s.terms(), nil
}

func read(raw []byte) (told, error) {
	var s told
	if err := json.Unmarshal(raw, &s); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) { // its own text names the program's fields
			return s, fmt.Errorf("settings: %s: %s where a %s belongs",
				strings.ToLower(strings.TrimPrefix(kind.Field, ".")), kind.Value, kind.Type.Kind())
		}
		return s, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return s, fmt.Errorf("settings.%w", err)
	}
	return s, nil
}

func (s *told) terms() Terms {
	t := Terms{Names: Names{Products: map[string]int{}, Plans: map[string]int{}}}
	t.Lines = Lines{IdleLimit: orDefault(s.Allowed.Keepalive/usPerMs, defaultIdleLimit),
		ConnectTimeout: orDefault(s.Allowed.ConnectTimeout/usPerMs, defaultConnect),
		AnswerSlack:    s.Safety.AnswerSlack / usPerMs,
		ListAsked:      s.RegistryMode == onRequest}
	t.Charter = policy.Charter{
		Me: s.Me, Gatekeepers: s.Balancers,
		LargestUnits:   s.FamilyInfo.Largest,
		MaxSubmissions: s.Allowed.MaxAttempts,
		MayOverlap:     s.Allowed.MayDuplicate,
		MayWithdraw:    s.Allowed.Cancel,
		MayAdvise:      s.Allowed.RetryAfter,
		MaxAdvice:      s.Allowed.MaxRetryAfter / usPerMs,
		MayTell:        s.Allowed.Peers,
		PeerInPerS:     s.FamilyInfo.PeerInPerS,
		ReportsPerTell: gossip.MaxReports,
		ColdFrom:       s.Safety.ColdFrom,
		WarmUp:         s.Safety.WarmUp / usPerMs,
		Tips:           s.Safety.Tips,
		TipAfter:       s.Safety.TipAfter / usPerMs,
		Whole:          s.ScoreParts.Whole,
		WorstPlan:      s.ScoreParts.WorstTenant + s.ScoreParts.WorstClass,
		LoadTold:       s.Report.How == inAnswers,
	}
	for i, p := range s.Classes {
		t.Lines.LongestWait = max(t.Lines.LongestWait, orDefault(p.HardLimit/usPerMs, math.Inf(1)))
		t.Names.Products[p.Name] = i
		group := groups[p.Group]
		if p.Group == "" { // of those that may share its marks the fewest, and no promise that all do
			group = policy.GroupCell
		}
		t.Charter.Products = append(t.Charter.Products, policy.Product{
			SLA: orDefault(p.Aim, p.HardLimit) / usPerMs, Value: p.Worth,
			LateShare: p.LateShare, Repeat: repeats[p.Effect], Group: group, Window: p.Window / usPerMs})
	}
	for i, p := range s.Tariffs {
		t.Names.Plans[p.Name] = i
		if p.HardRate == 0 { // there is no ceiling, whatever is said of its depth
			p.CapDepth = 0
		}
		t.Charter.Plans = append(t.Charter.Plans, policy.Plan{Rate: p.Rate, Burst: p.MostAtOnce,
			CeilingRate: p.HardRate, CeilingDepth: p.CapDepth, Open: p.Open, Factor: p.WorthFactor,
			ExcessShare: p.ExcessWorth, ExcessFee: p.OverCost, Credit: p.Credit, Repay: p.Repay * msPerS})
	}
	return t
}

// inAnswers is how reports of load come where they reach the module; onRequest is how the list does where
// calls for it wait in turn.
const (
	inAnswers = "answers"
	onRequest = "on_request"
)

// mixed finds the first key that does not fit the shape of deployment that the settings are of. There are
// two: one perhaps with a counter, where answers say nothing of load or use and each quota has a rate; one
// without it, where answers say load and perhaps use, and a plan may have just a limit on submissions out.
// Which it is follows from report.how.
func (s *told) mixed() error {
	answers := s.Report.How == inAnswers
	switch {
	case answers && s.FamilyInfo.Counter:
		return errors.New("family_info.counter: there is none where report.how is answers")
	case answers && len(s.Report.Fields) == 0:
		return errors.New("report.fields: there is none, though report.how is answers")
	case !answers && s.FamilyInfo.UsePeriod > 0:
		return errors.New("family_info.use_period_us: use is told only where report.how is answers")
	}
	for i, p := range s.Tariffs {
		switch outAlone := p.Open > 0 && p.Rate == 0; {
		case outAlone && !answers:
			return fmt.Errorf("tariffs[%d].open: without a rate it goes only with report.how of answers", i)
		case outAlone && p.MostAtOnce > 0:
			return fmt.Errorf("tariffs[%d].most_at_once: a store does not go with a limit on submissions out alone", i)
		}
	}
	return nil
}

var reportWays = map[string]bool{"": true, "none": true, "probe": true, inAnswers: true}

var weightSources = map[string]bool{"": true, "none": true, "nominal": true, "rough": true, "live": true}

var registryModes = map[string]bool{"": true, "pushed": true, onRequest: true}

var repeats = map[string]policy.Repeat{"read_like": policy.InquiryLike, "idempotency_key": policy.Referenced,
	"non_idempotent": policy.OnceOnly}

var groups = map[string]policy.Group{"": policy.GroupAll, "all": policy.GroupAll, "zone": policy.GroupZone,
	"cell": policy.GroupCell}

// check finds the first key whose value makes no sense.
func (s *told) check() error {
	if s.Me < 0 || s.Me >= max(s.Balancers, 1) {
		return fmt.Errorf("me: %d is none of balancers, which is %d", s.Me, s.Balancers)
	}
	switch {
	case !reportWays[s.Report.How]:
		return fmt.Errorf("report.how: %q is unknown", s.Report.How)
	case !weightSources[s.WeightSource]:
		return fmt.Errorf("weight_source: %q is unknown", s.WeightSource)
	case !registryModes[s.RegistryMode]:
		return fmt.Errorf("registry_mode: %q is unknown", s.RegistryMode)
	case s.Safety.ColdFrom > 1:
		return fmt.Errorf("safety.cold_from: %v is more than all of a worker's capacity", s.Safety.ColdFrom)
	}
	if err := s.figures(); err != nil {
		return err
	}
	if len(s.Classes) == 0 {
		return errors.New("classes: there is none")
	}
	if len(s.Tariffs) == 0 || len(s.Tariffs) > gossip.MaxPlans {
		return fmt.Errorf("tariffs: there are %d, of 1 to %d", len(s.Tariffs), gossip.MaxPlans)
	}
	seen := map[string]bool{}
	for i, p := range s.Classes {
		key := fmt.Sprintf("classes[%d]", i)
		_, repeat := repeats[p.Effect]
		_, group := groups[p.Group]
		switch {
		case p.Name == "" || seen[p.Name]:
			return fmt.Errorf("%s.name: %q is empty or there twice", key, p.Name)
		case !repeat:
			return fmt.Errorf("%s.effect: %q is unknown", key, p.Effect)
		case !group:
			return fmt.Errorf("%s.group: %q is unknown", key, p.Group)
		}
		if err := belowNought(key+".", figure{"aim_us", p.Aim}, figure{"hard_limit_us", p.HardLimit},
			figure{"window_us", p.Window}, figure{"worth", p.Worth}, figure{"late_share", p.LateShare}); err != nil {
			return err
		}
		seen[p.Name] = true
	}
	clear(seen)
	for i, p := range s.Tariffs {
		key := fmt.Sprintf("tariffs[%d]", i)
		switch {
		case p.Name == "" || seen[p.Name]:
			return fmt.Errorf("%s.name: %q is empty or there twice", key, p.Name)
		case p.HardRate > 0 && p.CapDepth == 0:
			return fmt.Errorf("%s.cap_depth: a ceiling that holds nothing lets nothing through", key)
		}
		if err := belowNought(key+".", figure{"rate", p.Rate}, figure{"most_at_once", p.MostAtOnce},
			figure{"hard_rate", p.HardRate}, figure{"cap_depth", p.CapDepth}, figure{"open", float64(p.Open)},
			figure{"worth_factor", p.WorthFactor}, figure{"excess_worth", p.ExcessWorth},
			figure{"over_cost", p.OverCost}); err != nil {
			return err
		}
		if err := Lends(p.Rate, p.Credit, p.Repay); err != nil {
			return fmt.Errorf("%s.%w", key, err)
		}
		seen[p.Name] = true
	}
	return nil
}

// figures finds the first of the settings' single figures that is below nought.
func (s *told) figures() error {
	a, f := &s.Allowed, &s.FamilyInfo
	return belowNought("", figure{"balancers", float64(s.Balancers)},
		figure{"allowed.max_attempts", float64(a.MaxAttempts)},
		figure{"allowed.max_retry_after_us", a.MaxRetryAfter}, figure{"allowed.keepalive_us", a.Keepalive},
		figure{"allowed.connect_timeout_us", a.ConnectTimeout}, figure{"family_info.largest", f.Largest},
		figure{"family_info.peer_in_per_s", f.PeerInPerS}, figure{"family_info.use_period_us", f.UsePeriod},
		figure{"safety.cold_from", s.Safety.ColdFrom}, figure{"safety.answer_slack_us", s.Safety.AnswerSlack},
		figure{"safety.warm_up_us", s.Safety.WarmUp}, figure{"safety.tip_multiple", s.Safety.Tips},
		figure{"safety.tip_after_us", s.Safety.TipAfter}, figure{"score_parts.whole", s.ScoreParts.Whole},
		figure{"score_parts.worst_class", s.ScoreParts.WorstClass},
		figure{"score_parts.worst_tenant", s.ScoreParts.WorstTenant})
}

// figure is a setting's key and what it says.
type figure struct {
	key string
	v   float64
}

// belowNought finds the first of some figures under one key that is below nought.
func belowNought(under string, all ...figure) error {
	for _, f := range all {
		if f.v < 0 {
			return fmt.Errorf("%s%s: %v is below nought", under, f.key, f.v)
		}
	}
	return nil
}

// Lends checks a plan's line of credit against its rate, units a second; times are in seconds.
func Lends(rate, credit, repay float64) error {
	switch {
	case !(credit >= 0) || credit > mostCredit:
		return fmt.Errorf("credit_s: %v is not of 0 to %v", credit, mostCredit)
	case !(repay >= 0) || repay > mostCredit:
		return fmt.Errorf("repay_s: %v is not of 0 to %v", repay, mostCredit)
	case credit == 0 && repay > 0:
		return errors.New("repay_s: there is no credit_s to pay back")
	case credit > 0 && repay == 0:
		return errors.New("repay_s: it has to be there with credit_s")
	case credit > 0 && rate <= 0:
		return errors.New("credit_s: a rate of nought never pays it back")
	case credit > 0 && credit > repay*lending.Part:
		return fmt.Errorf("repay_s: in %v a half of the fill pays %v back, and credit_s is %v", repay,
			repay*lending.Part, credit)
	}
	return nil
}

func orDefault(v, other float64) float64 {
	if v > 0 {
		return v
	}
	return other
}
