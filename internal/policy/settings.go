package policy

// Idempotency states whether a request of a product may run more than once.
type Idempotency uint8

// The kinds of products by whether a request may run more than once.
const (
	Idempotent    Idempotency = iota // a request may run any number of times
	Deduplicated                     // a request carries a key by which workers recognize and drop a repeat
	NonIdempotent                    // a request must never run twice
)

// DedupScope states which workers share the deduplication keys of a product.
type DedupScope uint8

// The scopes in which workers share deduplication keys, from the widest to the narrowest.
const (
	DedupAcrossFleet DedupScope = iota
	DedupWithinZone
	DedupWithinCell
)

// Product is a kind of request. The JSON keys are those of the forecast's messages.
type Product struct {
	// LatencyTargetMillis is the latency target (SLO).
	LatencyTargetMillis float64 `json:"SLA"`
	// Value is the value of an answer within the latency target, before it is multiplied by the plan's
	// ValueFactor.
	Value float64 `json:"Value"`
	// LateValueFraction is the fraction of Value that a late answer still has.
	LateValueFraction float64     `json:"LateShare"`
	Idempotency       Idempotency `json:"Repeat"`
	DedupScope        DedupScope  `json:"Group"`
	// DedupWindowMillis is how long workers keep the keys of a deduplicated product.
	DedupWindowMillis float64 `json:"Window"`
}

// Plan is the contract of a group of customers: the limits and values that apply to each of them. A limit
// of 0 means that there is no such limit. The order of the fields is part of the digests of crash state and
// checkpoints.
type Plan struct {
	// QuotaPerSecond and QuotaBurst are the refill rate, in units a second, and the burst, in units, of each
	// customer's quota.
	QuotaPerSecond float64 `json:"Rate"`
	QuotaBurst     float64 `json:"Burst"`
	// RateLimitPerSecond and RateLimitBurst are the refill rate, in units a second, and the burst, in units,
	// of each customer's rate limit, a hard limit that is never exceeded.
	RateLimitPerSecond float64 `json:"CeilingRate"`
	RateLimitBurst     float64 `json:"CeilingDepth"`
	// WithheldFraction is the fraction, 0 to 1, of this gateway's share of the rate limit that must not be
	// used at present.
	WithheldFraction float64 `json:"Withheld"`
	// MaxInFlight is how many attempts a customer may have in flight at once.
	MaxInFlight int `json:"Open"`
	// ValueFactor multiplies a product's value. A request admitted beyond the quota earns ExcessValueFraction
	// of that value and costs ExcessCostFraction of it.
	ValueFactor         float64 `json:"Factor"`
	ExcessValueFraction float64 `json:"ExcessShare"`
	ExcessCostFraction  float64 `json:"ExcessFee"`
	// CreditSeconds bounds what a customer may borrow, in seconds of its quota's rate. RepayWithinMillis is
	// the time within which it repays a loan.
	CreditSeconds     float64 `json:"Credit"`
	RepayWithinMillis float64 `json:"Repay"`
}

// Settings is the configuration of an Engine. Reconfigure can change some of it while the engine is in use.
type Settings struct {
	// GatewayIndex is the index of this gateway among the GatewayCount gateways, from 0 on.
	GatewayIndex int       `json:"Me"`
	GatewayCount int       `json:"Gatekeepers"`
	Products     []Product `json:"Products"`
	Plans        []Plan    `json:"Plans"`
	// MaxRequestUnits is the size of the largest request.
	MaxRequestUnits float64 `json:"LargestUnits"`
	// MaxAttempts bounds the attempts of a request.
	MaxAttempts int `json:"MaxSubmissions"`
	// AllowHedging states whether two attempts of a request may be in flight at the same time.
	AllowHedging bool `json:"MayOverlap"`
	// AllowCancel states whether an attempt may be cancelled before its response.
	AllowCancel bool `json:"MayWithdraw"`
	// AllowRetryAfter states whether a rejection may carry a retry-after time. Clients respect times of up to
	// MaxRetryAfterMillis.
	AllowRetryAfter     bool    `json:"MayAdvise"`
	MaxRetryAfterMillis float64 `json:"MaxAdvice"`
	// AllowGossip states whether gateways may send each other reports.
	AllowGossip bool `json:"MayTell"`
	// WorkersReportLoad states whether responses may carry the worker's load.
	WorkersReportLoad bool `json:"LoadTold"`
	// PeerMessagesPerSecond is how many messages a second a gateway accepts from all its peers together; 0
	// means that there is no limit.
	PeerMessagesPerSecond float64 `json:"PeerInPerS"`
	// ReportsPerMessage is how many customers' reports fit into a message.
	ReportsPerMessage int `json:"ReportsPerTell"`
	// WarmingCapacityFraction is the least fraction of its capacity that a worker has at its start.
	// WarmUpMillis is the longest time until it has its full capacity.
	WarmingCapacityFraction float64 `json:"ColdFrom"`
	WarmUpMillis            float64 `json:"WarmUp"`
	// OverloadFactor is the load, as a multiple of its capacity, that a worker withstands for OverloadMillis
	// before it falls behind; 0 if that is unknown.
	OverloadFactor float64 `json:"Tips"`
	OverloadMillis float64 `json:"TipAfter"`
	// TotalWeight is the weight of the total value over all requests, WorstPlanWeight the weight of how well
	// the worst-served plan and product are served.
	TotalWeight     float64 `json:"Whole"`
	WorstPlanWeight float64 `json:"WorstPlan"`
	// QuotaWithoutGossip states that this gateway admits by fixed shares of the quotas, which need no reports
	// from peers.
	QuotaWithoutGossip bool `json:"Narrow"`
}
