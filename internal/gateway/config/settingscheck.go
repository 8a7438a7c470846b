package config

import (
	"errors"
	"fmt"

	lending "willowdeck/internal/borrowing"
	"willowdeck/internal/gateway/transport/gossip"
	"willowdeck/internal/policy"
)

// Values of report.how, where answers carry the load, and of registry_mode, where discovery is polled.
const (
	reportInAnswers   = "answers"
	registryOnRequest = "on_request"
)

// checkShape returns an error that names the first key that does not fit the kind of deployment, which
// follows from report.how. There are two: one perhaps with a counter, in which answers carry neither load
// nor use and each quota has a rate; and one without, in which answers carry load and perhaps use, and a
// plan may have just a limit on attempts in flight.
func (s *settingsFile) checkShape() error {
	answers := s.Report.Mode == reportInAnswers
	switch {
	case answers && s.Deployment.Counter:
		return errors.New("family_info.counter: there is none where report.how is answers")
	case answers && len(s.Report.Fields) == 0:
		return errors.New("report.fields: there is none, though report.how is answers")
	case !answers && s.Deployment.UsePeriodMicros > 0:
		return errors.New("family_info.use_period_us: use is reported only where report.how is answers")
	}
	for i, p := range s.Tariffs {
		switch outAlone := p.MaxInFlight > 0 && p.Rate == 0; {
		case outAlone && !answers:
			return fmt.Errorf("tariffs[%d].open: without a rate it goes only with report.how of answers", i)
		case outAlone && p.Burst > 0:
			return fmt.Errorf("tariffs[%d].most_at_once: a burst does not go with a limit on attempts in flight alone",
				i)
		}
	}
	return nil
}

var reportModes = map[string]bool{"": true, "none": true, "probe": true, reportInAnswers: true}

var weightSources = map[string]bool{"": true, "none": true, "nominal": true, "rough": true, "live": true}

var registryModes = map[string]bool{"": true, "pushed": true, registryOnRequest: true}

var repeatsByEffect = map[string]policy.Idempotency{"read_like": policy.Idempotent,
	"idempotency_key": policy.Deduplicated,
	"non_idempotent":  policy.NonIdempotent}

var groupsByName = map[string]policy.DedupScope{"": policy.DedupAcrossFleet, "all": policy.DedupAcrossFleet,
	"zone": policy.DedupWithinZone,
	"cell": policy.DedupWithinCell}

// check returns an error that names the first key whose value makes no sense.
func (s *settingsFile) check() error {
	if s.Index < 0 || s.Index >= max(s.Instances, 1) {
		return fmt.Errorf("me: %d is not an index below balancers, which is %d", s.Index, s.Instances)
	}
	switch {
	case !reportModes[s.Report.Mode]:
		return fmt.Errorf("report.how: %q is unknown", s.Report.Mode)
	case !weightSources[s.WeightSource]:
		return fmt.Errorf("weight_source: %q is unknown", s.WeightSource)
	case !registryModes[s.RegistryMode]:
		return fmt.Errorf("registry_mode: %q is unknown", s.RegistryMode)
	case s.Safety.SlowStartShare > 1:
		return fmt.Errorf("safety.cold_from: %v is more than all of a worker's capacity", s.Safety.SlowStartShare)
	}
	if err := s.checkNonNegative(); err != nil {
		return err
	}
	if len(s.Classes) == 0 {
		return errors.New("classes: there is none")
	}
	if len(s.Tariffs) == 0 || len(s.Tariffs) > gossip.MaxPlans {
		return fmt.Errorf("tariffs: there are %d, of 1 to %d", len(s.Tariffs), gossip.MaxPlans)
	}
	names := map[string]bool{}
	for i := range s.Classes {
		if err := s.Classes[i].check(fmt.Sprintf("classes[%d]", i), names); err != nil {
			return err
		}
		names[s.Classes[i].Name] = true
	}
	clear(names)
	for i := range s.Tariffs {
		if err := s.Tariffs[i].check(fmt.Sprintf("tariffs[%d]", i), names); err != nil {
			return err
		}
		names[s.Tariffs[i].Name] = true
	}
	return nil
}

// check returns an error that names the first key of a product whose value makes no sense; names are those of
// the products before it.
func (p *classSettings) check(key string, names map[string]bool) error {
	_, repeat := repeatsByEffect[p.Effect]
	_, group := groupsByName[p.Group]
	switch {
	case p.Name == "" || names[p.Name]:
		return fmt.Errorf("%s.name: %q is empty or not unique", key, p.Name)
	case !repeat:
		return fmt.Errorf("%s.effect: %q is unknown", key, p.Effect)
	case !group:
		return fmt.Errorf("%s.group: %q is unknown", key, p.Group)
	}
	return firstNegative(key+".", keyValue{"aim_us", p.LatencyTargetMicros},
		keyValue{"hard_limit_us", p.HardLimitMicros}, keyValue{"window_us", p.WindowMicros},
		keyValue{"worth", p.Value}, keyValue{"late_share", p.LateShare})
}

// check returns an error that names the first key of a plan whose value makes no sense; names are those of
// the plans before it.
func (p *tariffSettings) check(key string, names map[string]bool) error {
	switch {
	case p.Name == "" || names[p.Name]:
		return fmt.Errorf("%s.name: %q is empty or not unique", key, p.Name)
	case p.LimitRate > 0 && p.LimitDepth == 0:
		return fmt.Errorf("%s.cap_depth: a rate limit without depth lets nothing through", key)
	}
	if err := firstNegative(key+".", keyValue{"rate", p.Rate}, keyValue{"most_at_once", p.Burst},
		keyValue{"hard_rate", p.LimitRate}, keyValue{"cap_depth", p.LimitDepth},
		keyValue{"open", float64(p.MaxInFlight)}, keyValue{"worth_factor", p.ValueFactor},
		keyValue{"excess_worth", p.ExcessShare}, keyValue{"over_cost", p.ExcessFee}); err != nil {
		return err
	}
	if err := CheckCredit(p.Rate, p.CreditSeconds, p.RepaySeconds); err != nil {
		return fmt.Errorf("%s.%w", key, err)
	}
	return nil
}

// checkNonNegative returns an error that names the first negative single value.
func (s *settingsFile) checkNonNegative() error {
	a, f := &s.Allowed, &s.Deployment
	return firstNegative("", keyValue{"balancers", float64(s.Instances)},
		keyValue{"allowed.max_attempts", float64(a.MaxAttempts)},
		keyValue{"allowed.max_retry_after_us", a.MaxRetryAfterMicros}, keyValue{"allowed.keepalive_us",
			a.KeepaliveMicros},
		keyValue{"allowed.connect_timeout_us", a.ConnectTimeoutMicros}, keyValue{"family_info.largest",
			f.LargestUnits},
		keyValue{"family_info.peer_in_per_s", f.PeerMessagesPerSecond}, keyValue{"family_info.use_period_us",
			f.UsePeriodMicros},
		keyValue{"safety.cold_from", s.Safety.SlowStartShare}, keyValue{"safety.answer_slack_us",
			s.Safety.AnswerSlackMicros},
		keyValue{"safety.warm_up_us", s.Safety.WarmUpMicros}, keyValue{"safety.tip_multiple",
			s.Safety.OverloadMultiple},
		keyValue{"safety.tip_after_us", s.Safety.OverloadAfterMicros}, keyValue{"score_parts.whole",
			s.ScoreWeights.Total},
		keyValue{"score_parts.worst_class", s.ScoreWeights.WorstClass},
		keyValue{"score_parts.worst_tenant", s.ScoreWeights.WorstTenant})
}

// keyValue is a key and its value.
type keyValue struct {
	key   string
	value float64
}

// firstNegative returns an error that names the first negative value; prefix stands before the keys.
func firstNegative(prefix string, values ...keyValue) error {
	for _, f := range values {
		if f.value < 0 {
			return fmt.Errorf("%s%s: %v is negative", prefix, f.key, f.value)
		}
	}
	return nil
}

// CheckCredit checks a plan's credit against its rate, in units per second; credit and repay are in
// seconds. The error begins with the key at fault.
func CheckCredit(rate, credit, repay float64) error {
	switch {
	case !(credit >= 0) || credit > maxCreditSeconds:
		return fmt.Errorf("credit_s: %v is not of 0 to %v", credit, maxCreditSeconds)
	case !(repay >= 0) || repay > maxCreditSeconds:
		return fmt.Errorf("repay_s: %v is not of 0 to %v", repay, maxCreditSeconds)
	case credit == 0 && repay > 0:
		return errors.New("repay_s: there is no credit_s to pay back")
	case credit > 0 && repay == 0:
		return errors.New("repay_s: it has to be there with credit_s")
	case credit > 0 && rate <= 0:
		return errors.New("credit_s: a rate of 0 never pays it back")
	case credit > 0 && credit > repay*lending.Part:
		return fmt.Errorf("repay_s: within %v half of the rate pays %v back, less than credit_s, %v", repay,
			repay*lending.Part, credit)
	}
	return nil
}
