package emulator

import (
	"errors"
	"fmt"

	"willowdeck/internal/borrowing"
)

// validate returns an error that names the first key with an invalid value.
func (s *Scenario) validate() error {
	if err := s.validateFleet(); err != nil {
		return err
	}
	if _, ok := Policies[s.Policy]; !ok {
		return fmt.Errorf("policy: %q is unknown", s.Policy)
	}
	if len(s.Products) == 0 || len(s.Plans) == 0 || s.Name == "" {
		return errors.New("name, products and plans: there must be a name, and one of each at least")
	}
	if err := s.validateProducts(); err != nil {
		return err
	}
	if err := s.validatePlans(); err != nil {
		return err
	}
	for i := range s.Shapes {
		if _, err := s.loadShape(i); err != nil {
			return fmt.Errorf("shapes[%d].%w", i, err)
		}
	}
	return s.validateFaults()
}

// inRange returns an error that names the key of a value outside minimum to maximum.
func inRange(key string, value, minimum, maximum float64) error {
	if !(value >= minimum) || value > maximum {
		return fmt.Errorf("%s: %v is not from %v to %v", key, value, minimum, maximum)
	}
	return nil
}

// validateFleet checks the numbers of instances, workers, network and clients.
func (s *Scenario) validateFleet() error {
	gatekeepers, workers, network := &s.Gatekeepers, &s.Workers, &s.Network
	err := errors.Join(
		inRange("seconds", s.Seconds, 0.1, 1e5), inRange("gatekeepers.count", float64(gatekeepers.Count), 1, 2000),
		inRange("gatekeepers.spread", float64(gatekeepers.SetSize), 1, float64(gatekeepers.Count)),
		inRange("gatekeepers.max_submissions", float64(gatekeepers.MaxAttempts), 1, 100),
		inRange("gatekeepers.keeps", float64(gatekeepers.Retained), 0, 127),
		inRange("gatekeepers.peer_in_per_s", gatekeepers.PeerMessagesPerSecond, 0, 1e6),
		inRange("gatekeepers.start_ms", gatekeepers.StartMillis, 0, 1e5),
		inRange("workers.count", float64(workers.Count), 1, 5000), inRange("workers.cores",
			float64(workers.Cores), 1, 1000),
		inRange("workers.queue", float64(workers.Queue), 0, 1e6), inRange("workers.zones", float64(workers.Zones),
			0, 1000),
		inRange("workers.service_ms", workers.ServiceMillis, 0.01, 1e5), inRange("workers.spread",
			workers.ServiceSigma, 0, 3),
		inRange("workers.cold_from", workers.ColdCapacityFraction, 0.01, 1), inRange("workers.warm_up_s",
			workers.WarmUpSeconds, 0, 1e4),
		inRange("workers.tip_multiple", workers.OverloadFactor, 0, 100), inRange("workers.tip_ms",
			workers.OverloadMillis, 0, 1e5),
		inRange("workers.drain_s", workers.DrainSeconds, 0, 1e4), inRange("workers.grace_ms", workers.GraceMillis,
			0, 1e5),
		inRange("network.client_ms", network.ClientMillis, 0, 1e4), inRange("network.worker_ms",
			network.WorkerMillis, 0, 1e4),
		inRange("network.peer_ms", network.PeerMillis, 0, 1e5), inRange("network.peer_loss", network.PeerLoss, 0,
			1),
		inRange("network.list_ms", network.EndpointUpdateMillis, 0, 1e5), inRange("network.across_ms",
			network.CrossRegionMillis, 0, 1e4),
		inRange("clients.waits", s.Clients.TimeoutFactor, 0.01, 100),
		inRange("clients.retries", float64(s.Clients.Retries), 0, 100), inRange("clients.back_ms",
			s.Clients.MaxBackoffMillis, 0, 1e5))
	return firstError(err)
}

// validateProducts checks the products.
func (s *Scenario) validateProducts() error {
	names := map[string]bool{}
	for i, p := range s.Products {
		key := fmt.Sprintf("products[%d].", i)
		_, repeat := idempotencies[p.Idempotency]
		_, group := dedupScopes[p.DedupScope]
		switch {
		case p.Name == "" || names[p.Name]:
			return fmt.Errorf("%sname: %q is empty or there twice", key, p.Name)
		case !repeat:
			return fmt.Errorf("%srepeat: %q is unknown", key, p.Idempotency)
		case !group:
			return fmt.Errorf("%sgroup: %q is unknown", key, p.DedupScope)
		}
		names[p.Name] = true
		if err := errors.Join(inRange(key+"sla_ms", p.LatencyTargetMillis, 1, 1e6), inRange(key+"value", p.Value,
			0, 1e6),
			inRange(key+"late_share", p.LateValueFraction, 0, 1), inRange(key+"window_ms", p.DedupWindowMillis, 0,
				1e7),
			inRange(key+"weight", p.Weight, 1e-6, 1e6), inRange(key+"work", p.RelativeWork, 1e-3, 1e3)); err != nil {
			return firstError(err)
		}
	}
	return nil
}

// validatePlans checks the plans.
func (s *Scenario) validatePlans() error {
	names := map[string]bool{}
	for i, p := range s.Plans {
		key := fmt.Sprintf("plans[%d].", i)
		if p.Name == "" || names[p.Name] {
			return fmt.Errorf("%sname: %q is empty or there twice", key, p.Name)
		}
		names[p.Name] = true
		if err := errors.Join(inRange(key+"customers", float64(p.Customers), 1, 1e6), inRange(key+"rate",
			p.QuotaPerSecond, 1e-3, 1e6),
			inRange(key+"burst", p.QuotaBurst, 0, 1e7), inRange(key+"ceiling", p.RateLimitPerSecond, 0, 1e6),
			inRange(key+"ceiling_depth", p.RateLimitBurst, 0, 1e7), inRange(key+"asks", p.OfferedLoad, 0, 1000),
			inRange(key+"factor", p.ValueFactor, 0, 1000), inRange(key+"excess_share", p.ExcessValueFraction, 0, 1),
			inRange(key+"excess_fee", p.ExcessCostFraction, 0, 100), inRange(key+"units", p.MaxUnits, 1, 1e6),
			inRange(key+"spread", float64(p.SetSize), 0, float64(s.Gatekeepers.Count)), inRange(key+"skew", p.Skew,
				0, 10),
			inRange(key+"credit_s", p.CreditSeconds, 0, 1e5), inRange(key+"repay_s", p.RepaySeconds, 0,
				1e5)); err != nil {
			return firstError(err)
		}
		if p.CreditSeconds > p.RepaySeconds*borrowing.MaxRepaymentShare {
			return fmt.Errorf("%srepay_s: in %v s a half of the fill does not pay %v s back", key, p.RepaySeconds,
				p.CreditSeconds)
		}
	}
	return nil
}

// validateFaults checks the faults.
func (s *Scenario) validateFaults() error {
	for i, fault := range s.Faults {
		key := fmt.Sprintf("faults[%d].", i)
		if _, ok := FaultKinds[fault.Kind]; !ok {
			return fmt.Errorf("%skind: %q is unknown", key, fault.Kind)
		}
		if err := errors.Join(inRange(key+"from_s", fault.FromSeconds, 0, s.Seconds), inRange(key+"to_s",
			fault.ToSeconds, fault.FromSeconds,
			s.Seconds+1e4),
			inRange(key+"part", fault.Fraction, 0, 1), inRange(key+"factor", fault.Factor, 0, 1e4)); err != nil {
			return firstError(err)
		}
		regional := fault.Kind == faultRegion || fault.Kind == faultGatekeepers || fault.Kind == faultLinks
		if regional != (len(fault.Regions) > 0) && (regional || fault.Fraction > 0) {
			return fmt.Errorf("%shalls: they go with hall, keepers and links, else in place of part", key)
		}
		for _, region := range fault.Regions {
			if err := inRange(key+"halls", float64(region), 0, float64(max(s.Workers.Zones, 1)-1)); err != nil {
				return err
			}
		}
	}
	return nil
}

// firstError returns the first of joined errors, or nil: one key is corrected at a time.
func firstError(err error) error {
	if all, ok := err.(interface{ Unwrap() []error }); ok {
		return all.Unwrap()[0]
	}
	return err
}
