package config

import (
	"math"

	"willowdeck/internal/gateway/transport/gossip"
	"willowdeck/internal/policy"
)

const (
	microsPerMilli, millisPerSecond = 1000, 1000
	maxCreditSeconds                = 86400.0 // s; a day: what is to be paid back over more is another quota
)

// Names maps the names of products and plans, as requests give them, to their indexes in the charter.
type Names struct {
	Products, Plans map[string]int
}

// PlanNames returns the plans' names by index.
func (n Names) PlanNames() []string { return namesByIndex(n.Plans) }

// ProductNames returns the products' names by index.
func (n Names) ProductNames() []string { return namesByIndex(n.Products) }

func namesByIndex(indexes map[string]int) []string {
	names := make([]string, len(indexes))
	for name, i := range indexes {
		names[i] = name
	}
	return names
}

// Connections is what the settings say of connections to workers and of final answers.
type Connections struct {
	IdleTimeoutMillis    float64 // after which workers close an idle connection
	ConnectTimeoutMillis float64
	AnswerSlackMillis    float64 // how late after its expiry a request's final answer may come
	MaxClientWaitMillis  float64 // for an answer, over all products; +Inf where one does not say
	PollsDiscovery       bool    // discovery is polled and can be overloaded by that; it does not push
}

// Settings are the decoded settings in the gateway's units: ms, and indexes for names.
type Settings struct {
	Policy      policy.Settings
	Names       Names
	Connections Connections
}

// DecodeSettings decodes and checks the settings, which stand in the configuration file and on the
// simulator's wire in the same form. An error names the key at fault.
func DecodeSettings(raw []byte) (Settings, error) {
	s, err := decodeSettings(raw)
	if err != nil {
		return Settings{}, err
	}
	return s.settings(), nil
}

// settings converts checked settings.
func (s *settingsFile) settings() Settings {
	t := Settings{Names: Names{Products: map[string]int{}, Plans: map[string]int{}}}
	t.Connections = Connections{IdleTimeoutMillis: orDefault(s.Allowed.KeepaliveMicros/microsPerMilli,
		defaultIdleTimeoutMillis),
		ConnectTimeoutMillis: orDefault(s.Allowed.ConnectTimeoutMicros/microsPerMilli, defaultConnectTimeoutMillis),
		AnswerSlackMillis:    s.Safety.AnswerSlackMicros / microsPerMilli,
		PollsDiscovery:       s.RegistryMode == registryOnRequest}
	t.Policy = policy.Settings{
		GatewayIndex: s.Index, GatewayCount: s.Instances,
		MaxRequestUnits:         s.Deployment.LargestUnits,
		MaxAttempts:             s.Allowed.MaxAttempts,
		AllowHedging:            s.Allowed.MayDuplicate,
		AllowCancel:             s.Allowed.Cancel,
		AllowRetryAfter:         s.Allowed.RetryAfter,
		MaxRetryAfterMillis:     s.Allowed.MaxRetryAfterMicros / microsPerMilli,
		AllowGossip:             s.Allowed.Peers,
		PeerMessagesPerSecond:   s.Deployment.PeerMessagesPerSecond,
		ReportsPerMessage:       gossip.MaxReports,
		WarmingCapacityFraction: s.Safety.SlowStartShare,
		WarmUpMillis:            s.Safety.WarmUpMicros / microsPerMilli,
		OverloadFactor:          s.Safety.OverloadMultiple,
		OverloadMillis:          s.Safety.OverloadAfterMicros / microsPerMilli,
		TotalWeight:             s.ScoreWeights.Total,
		WorstPlanWeight:         s.ScoreWeights.WorstTenant + s.ScoreWeights.WorstClass,
		WorkersReportLoad:       s.Report.Mode == reportInAnswers,
	}
	s.addProducts(&t)
	s.addPlans(&t)
	return t
}

// addProducts adds the products to the settings.
func (s *settingsFile) addProducts(t *Settings) {
	for i, p := range s.Classes {
		t.Connections.MaxClientWaitMillis = max(t.Connections.MaxClientWaitMillis,
			orDefault(p.HardLimitMicros/microsPerMilli, math.Inf(1)))
		t.Names.Products[p.Name] = i
		group := groupsByName[p.Group]
		if p.Group == "" { // the smallest group, so that no promise is assumed
			group = policy.DedupWithinCell
		}
		t.Policy.Products = append(t.Policy.Products, policy.Product{
			LatencyTargetMillis: orDefault(p.LatencyTargetMicros, p.HardLimitMicros) / microsPerMilli, Value: p.Value,
			LateValueFraction: p.LateShare, Idempotency: repeatsByEffect[p.Effect], DedupScope: group,
			DedupWindowMillis: p.WindowMicros / microsPerMilli})
	}
}

// addPlans adds the plans to the settings.
func (s *settingsFile) addPlans(t *Settings) {
	for i, p := range s.Tariffs {
		t.Names.Plans[p.Name] = i
		if p.LimitRate == 0 { // there is no rate limit, whatever its depth
			p.LimitDepth = 0
		}
		t.Policy.Plans = append(t.Policy.Plans, policy.Plan{QuotaPerSecond: p.Rate, QuotaBurst: p.Burst,
			RateLimitPerSecond: p.LimitRate, RateLimitBurst: p.LimitDepth, MaxInFlight: p.MaxInFlight,
			ValueFactor:         p.ValueFactor,
			ExcessValueFraction: p.ExcessShare, ExcessCostFraction: p.ExcessFee, CreditSeconds: p.CreditSeconds,
			RepayWithinMillis: p.RepaySeconds * millisPerSecond})
	}
}

// orDefault returns value, or fallback where value is not positive.
func orDefault(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}
