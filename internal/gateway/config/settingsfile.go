package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// settingsFile is the form of the settings, as they stand in the configuration file and on the simulator's
// wire. Every field carries its key as a tag: encoding/json passes over a key that matches no field, so
// that without the tag a renamed field would drop an operator's setting silently. A key that is absent or
// 0 means what the field's comment says under default.
type settingsFile struct {
	// Index is this instance's position among Instances, from 0.
	Index int `json:"me"`
	// Instances is the number of gateways that share the customers' quotas. Default: 1.
	Instances int `json:"balancers"`
	// Classes are the products, at least one.
	Classes []classSettings `json:"classes"`
	// Tariffs are the plans, 1 to gossip.MaxPlans.
	Tariffs      []tariffSettings  `json:"tariffs"`
	Allowed      allowedSettings   `json:"allowed"`
	Deployment   familySettings    `json:"family_info"`
	Report       reportSettings    `json:"report"`
	WeightSource string            `json:"weight_source"` // checked only: a key of weightSources
	RegistryMode string            `json:"registry_mode"` // a key of registryModes
	Safety       safetySettings    `json:"safety"`
	ScoreWeights scorePartSettings `json:"score_parts"`
}

// classSettings is one product.
type classSettings struct {
	// Name is what a request names; unique.
	Name string `json:"name"`
	// LatencyTargetMicros is the latency target. Default: HardLimitMicros.
	LatencyTargetMicros float64 `json:"aim_us"`
	// HardLimitMicros is how long a client waits for its answer. Default: no limit is known.
	HardLimitMicros float64 `json:"hard_limit_us"`
	// Value is what a request that is answered within its target is worth. Default: 0.
	Value float64 `json:"worth"`
	// LateShare is the part of Value that an answer beyond the target still earns. Default: 0.
	LateShare float64 `json:"late_share"`
	// Effect says whether an attempt may be repeated: a key of repeatsByEffect. Required.
	Effect string `json:"effect"`
	// Group says which workers share the record of idempotency keys: a key of groupsByName. Default: cell, the
	// smallest group, so that no promise is assumed.
	Group string `json:"group"`
	// WindowMicros is how long workers remember an idempotency key. Default: 0, a request is never repeated.
	WindowMicros float64 `json:"window_us"`
}

// tariffSettings is one plan. Quotas and limits hold per customer.
type tariffSettings struct {
	// Name is what a request names; unique.
	Name string `json:"name"`
	// Rate is the quota, in units per second. Default: 0.
	Rate float64 `json:"rate"`
	// Burst is the depth of the quota's token bucket, in units. Default: 0.
	Burst float64 `json:"most_at_once"`
	// LimitRate is the hard rate limit, in units per second. Default: none, whatever LimitDepth says.
	LimitRate float64 `json:"hard_rate"`
	// LimitDepth is the depth of the rate limit's token bucket, in units. Required with LimitRate.
	LimitDepth float64 `json:"cap_depth"`
	// MaxInFlight is how many attempts a customer may have in flight. Default: no limit.
	MaxInFlight int `json:"open"`
	// ValueFactor multiplies the values of products. Default: 0.
	ValueFactor float64 `json:"worth_factor"`
	// ExcessShare is the part of a request's value that is earned beyond the quota. Default: 0.
	ExcessShare float64 `json:"excess_worth"`
	// ExcessFee is the part of a request's value that is paid for serving it beyond the quota. Default: 0.
	ExcessFee float64 `json:"over_cost"`
	// CreditSeconds is how many seconds' worth of Rate may be borrowed, up to maxCreditSeconds. Default: none.
	CreditSeconds float64 `json:"credit_s"`
	// RepaySeconds is within how many seconds that is repaid. Required with CreditSeconds; see CheckCredit.
	RepaySeconds float64 `json:"repay_s"`
}

// allowedSettings is what the gateway may do. What is absent is not allowed.
type allowedSettings struct {
	// MaxAttempts is the number of attempts per request, the first included. Default: 1.
	MaxAttempts int `json:"max_attempts"`
	// MayDuplicate allows two attempts of a request in flight at once.
	MayDuplicate bool `json:"may_duplicate"`
	// Cancel allows an attempt in flight to be cancelled.
	Cancel bool `json:"cancel"`
	// RetryAfter allows a rejection to say when to return.
	RetryAfter bool `json:"retry_after"`
	// MaxRetryAfterMicros is the longest such time that clients heed.
	MaxRetryAfterMicros float64 `json:"max_retry_after_us"`
	// Peers allows messages between instances.
	Peers bool `json:"peers"`
	// KeepaliveMicros is after how long workers close an idle connection. Default: 10 s.
	KeepaliveMicros float64 `json:"keepalive_us"`
	// ConnectTimeoutMicros bounds the opening of a connection to a worker. Default: 250 ms.
	ConnectTimeoutMicros float64 `json:"connect_timeout_us"`
}

// familySettings describes the kind of deployment.
type familySettings struct {
	// LargestUnits is the cost of the largest request, in units.
	LargestUnits float64 `json:"largest"`
	// PeerMessagesPerSecond is how many peer messages an instance takes in.
	PeerMessagesPerSecond float64 `json:"peer_in_per_s"`
	// Counter says that there is a shared counter; checked only, the gateway does not use it.
	Counter bool `json:"counter"`
	// UsePeriodMicros is the period of reports of use; checked only.
	UsePeriodMicros float64 `json:"use_period_us"`
}

// reportSettings says how workers report their load.
type reportSettings struct {
	// Mode is a key of reportModes. Load is used only with reportInAnswers.
	Mode string `json:"how"`
	// Fields are the reported figures; at least one with reportInAnswers.
	Fields []string `json:"fields"`
}

// safetySettings describes workers that warm up.
type safetySettings struct {
	// SlowStartShare is the least share of its capacity that a started worker has, 0 to 1.
	SlowStartShare float64 `json:"cold_from"`
	// AnswerSlackMicros is how late after its expiry a request's final answer may come.
	AnswerSlackMicros float64 `json:"answer_slack_us"`
	// WarmUpMicros is the longest that a worker takes to reach all of its capacity.
	WarmUpMicros float64 `json:"warm_up_us"`
	// OverloadMultiple is how many times its capacity a worker that warms up bears. Default: not known.
	OverloadMultiple float64 `json:"tip_multiple"`
	// OverloadAfterMicros is after how long beyond that it fails. Default: not known.
	OverloadAfterMicros float64 `json:"tip_after_us"`
}

// scorePartSettings are the weights of what the gateway optimizes.
type scorePartSettings struct {
	// Total is the weight of the value earned over all.
	Total float64 `json:"whole"`
	// WorstClass is the weight of the worst-served product.
	WorstClass float64 `json:"worst_class"`
	// WorstTenant is the weight of the worst-served plan.
	WorstTenant float64 `json:"worst_tenant"`
}

func decodeSettings(raw []byte) (settingsFile, error) {
	var file settingsFile
	if err := json.Unmarshal(raw, &file); err != nil {
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &mismatch) { // its own text names Go fields
			return file, fmt.Errorf("settings: %s: %s where a %s belongs",
				strings.ToLower(strings.TrimPrefix(mismatch.Field, ".")), mismatch.Value, mismatch.Type.Kind())
		}
		return file, fmt.Errorf("settings: %w", err)
	}
	if err := file.check(); err != nil {
		return file, fmt.Errorf("settings.%w", err)
	}
	return file, nil
}
