package policy

// Idempotency says what a second run of a product's request would do.
type Idempotency uint8

// The kinds of products by what a second run does.
const (
	Idempotent    Idempotency = iota // a request may run again
	Deduplicated                     // it carries a key by which workers drop a repeat
	NonIdempotent                    // it must never run twice
)

// DedupScope says which workers share the keys of a deduplicated product.
type DedupScope uint8

// The scopes, the maxWorkersExamined first.
const (
	DedupAcrossFleet DedupScope = iota
	DedupWithinZone
	DedupWithinCell
)

// Product is a kind of request. The JSON keys are those of the forecast's messages.
type Product struct {
	// LatencyTargetMillis is the latency target (SLO).
	LatencyTargetMillis float64 `json:"SLA"`
	// Value is what an answer in time is worth, before the plan's factor.
	Value float64 `json:"Value"`
	// LateValueFraction of it is what a late answer is worth.
	LateValueFraction float64     `json:"LateShare"`
	Idempotency       Idempotency `json:"Repeat"`
	DedupScope        DedupScope  `json:"Group"`
	// DedupWindowMillis is how long workers remember the keys of a deduplicated product.
	DedupWindowMillis float64 `json:"Window"`
}

// Plan is what a customer has signed for. 0 means no such limit. The order of the fields is part of the
// digests of crash state and checkpoints.
type Plan struct {
	// QuotaPerSecond and QuotaBurst, in units, are the fill and the depth of the customer's quota.
	QuotaPerSecond float64 `json:"Rate"`
	QuotaBurst     float64 `json:"Burst"`
	// RateLimitPerSecond and RateLimitBurst, in units, are the hard rate limit, which nothing exceeds.
	RateLimitPerSecond float64 `json:"CeilingRate"`
	RateLimitBurst     float64 `json:"CeilingDepth"`
	// WithheldFraction of this gateway's share of the rate limit is not to be used now, 0 to 1.
	WithheldFraction float64 `json:"Withheld"`
	// MaxInFlight is how many attempts a customer may have in flight at once.
	MaxInFlight int `json:"Open"`
	// ValueFactor multiplies a product's value. Beyond the quota ExcessValueFraction of it is earned and
	// ExcessCostFraction paid.
	ValueFactor         float64 `json:"Factor"`
	ExcessValueFraction float64 `json:"ExcessShare"`
	ExcessCostFraction  float64 `json:"ExcessFee"`
	// CreditSeconds of the quota's rate may be borrowed, and are repaid within RepayWithinMillis.
	CreditSeconds     float64 `json:"Credit"`
	RepayWithinMillis float64 `json:"Repay"`
}

// Settings is all that an engine is given at its start; some of it may change in service, see Reconfigure.
type Settings struct {
	// GatewayIndex is this gateway's place among GatewayCount.
	GatewayIndex int       `json:"Me"`
	GatewayCount int       `json:"Gatekeepers"`
	Products     []Product `json:"Products"`
	Plans        []Plan    `json:"Plans"`
	// MaxRequestUnits is the size of the largest request.
	MaxRequestUnits float64 `json:"LargestUnits"`
	// MaxAttempts bounds the attempts of a request.
	MaxAttempts int `json:"MaxSubmissions"`
	// AllowHedging says that two attempts of a request may be in flight together.
	AllowHedging bool `json:"MayOverlap"`
	// AllowCancel says that an attempt may be given up before its response.
	AllowCancel bool `json:"MayWithdraw"`
	// AllowRetryAfter says that a rejection may say when to return; clients heed up to MaxRetryAfterMillis.
	AllowRetryAfter     bool    `json:"MayAdvise"`
	MaxRetryAfterMillis float64 `json:"MaxAdvice"`
	// AllowGossip says that gateways may send each other reports.
	AllowGossip bool `json:"MayTell"`
	// WorkersReportLoad says that responses may carry the worker's load.
	WorkersReportLoad bool `json:"LoadTold"`
	// PeerMessagesPerSecond is how many messages a gateway takes in.
	PeerMessagesPerSecond float64 `json:"PeerInPerS"`
	// ReportsPerMessage is how many customers' reports fit a message.
	ReportsPerMessage int `json:"ReportsPerTell"`
	// WarmingCapacityFraction of its capacity is what a worker has at its start, at least; it has all of it
	// after WarmUpMillis, at most.
	WarmingCapacityFraction float64 `json:"ColdFrom"`
	WarmUpMillis            float64 `json:"WarmUp"`
	// OverloadFactor is how many times its capacity a worker withstands, for OverloadMillis before it falls
	// behind; 0 where that is not stated.
	OverloadFactor float64 `json:"Tips"`
	OverloadMillis float64 `json:"TipAfter"`
	// TotalWeight is how much the service as a whole counts, WorstPlanWeight how much the worst-served plan and
	// product do.
	TotalWeight     float64 `json:"Whole"`
	WorstPlanWeight float64 `json:"WorstPlan"`
	// QuotaWithoutGossip says that quotas go by the shares that need no reports of peers.
	QuotaWithoutGossip bool `json:"Narrow"`
}
