package policy

// Idempotency tells what a second run of a product would do.
type Idempotency uint8

const (
	Idempotent    Idempotency = iota // may run again
	Deduplicated                     // carries a mark by which a repeat is dropped
	NonIdempotent                    // must never run twice
)

// DedupScope names the workers that share the marks of a referenced product.
type DedupScope uint8

const (
	DedupAcrossFleet DedupScope = iota
	DedupWithinZone
	DedupWithinCell
)

// Product is a kind of txn. Times are in ms.
type Product struct {
	LatencyTargetMillis float64     `json:"SLA"`
	Value               float64     `json:"Value"`
	LateValueFraction   float64     `json:"LateShare"`
	Idempotency         Idempotency `json:"Repeat"`
	DedupScope          DedupScope  `json:"Group"`
	DedupWindowMillis   float64     `json:"Window"` // how long marks of a referenced product are remembered
}

// Plan is what a customer has signed for. Rates are in units a second; 0 means no such limit.
type Plan struct {
	QuotaPerSecond     float64 `json:"Rate"` // quota: fill and depth of the customer's store
	QuotaBurst         float64 `json:"Burst"`
	RateLimitPerSecond float64 `json:"CeilingRate"` // hard ceiling
	RateLimitBurst     float64 `json:"CeilingDepth"`
	WithheldFraction   float64 `json:"Withheld"` // part of its slice here that is not to be used now, 0 to 1
	MaxInFlight        int     `json:"Open"`     // submissions the customer may have out at once
	// value multiplier; earned and paid beyond the quota, of the value
	ValueFactor         float64 `json:"Factor"`
	ExcessValueFraction float64 `json:"ExcessShare"`
	ExcessCostFraction  float64 `json:"ExcessFee"`
	CreditSeconds       float64 `json:"Credit"` // s of the rate that may be borrowed; 0 is none
	RepayWithinMillis   float64 `json:"Repay"`  // ms within which that is paid back
}

// Settings is all that a gatekeeper is told at its start; some of it may change in service, see Recharter.
// Times are in ms.
type Settings struct {
	GatewayIndex          int       `json:"Me"`
	GatewayCount          int       `json:"Gatekeepers"`
	Products              []Product `json:"Products"`
	Plans                 []Plan    `json:"Plans"`
	MaxRequestUnits       float64   `json:"LargestUnits"`
	MaxAttempts           int       `json:"MaxSubmissions"`
	AllowHedging          bool      `json:"MayOverlap"` // two submissions of a txn may be out together
	AllowCancel           bool      `json:"MayWithdraw"`
	AllowRetryAfter       bool      `json:"MayAdvise"`      // a decline may say when to return
	MaxRetryAfterMillis   float64   `json:"MaxAdvice"`      // longest advice that clients heed
	AllowGossip           bool      `json:"MayTell"`        // peer messages are allowed
	WorkersReportLoad     bool      `json:"LoadTold"`       // answers may carry the worker's load
	PeerMessagesPerSecond float64   `json:"PeerInPerS"`     // messages a gatekeeper takes in a second
	ReportsPerMessage     int       `json:"ReportsPerTell"` // customer reports that fit one peer message
	ColdCapacityFraction  float64   `json:"ColdFrom"`       // a started worker's least share of its capacity
	WarmUpMillis          float64   `json:"WarmUp"`         // and the longest it takes to reach all of it
	// times what it can do that it bears, and until it falls beyond; 0 is not said
	OverloadFactor     float64 `json:"Tips"`
	OverloadMillis     float64 `json:"TipAfter"`
	TotalWeight        float64 `json:"Whole"`     // how much the service as a whole counts
	WorstPlanWeight    float64 `json:"WorstPlan"` // and how much the worst-served plan, and product
	QuotaWithoutGossip bool    `json:"Narrow"`    // quotas go by the slices that need no word of peers
}
