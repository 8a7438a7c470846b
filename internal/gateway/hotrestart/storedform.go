package hotrestart

import (
	"willowdeck/internal/forwardauth/authcache"
	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/policy"
)

// This file holds the stored form of a handoff: what one process encodes with gob and its successor,
// which may be of another version, decodes. gob matches fields by name and drops those it does not know
// without an error, so the names below are part of the form and never change; the live types on the other
// side may be renamed at will. A field that is added to a live type is added here at the end of its type,
// and is zero when an older version sends it. testdata/will.gob guards the form.

// storedHandoff is what a process leaves to its successor.
type storedHandoff struct {
	Drains     bool
	Estate     storedEstate
	Workers    map[int]string
	Kinds      map[int]string
	Clearances []storedClearance
	Word       storedSequence
}

// storedSequence is the sequence number of the last message to peers.
type storedSequence struct {
	Incarnation uint32
	Sequence    uint32
}

// storedClearance is one answer of forward authentication.
type storedClearance struct {
	Mark  string
	Facts storedFacts
	Used  bool
	Until float64
}

// storedFacts is what a clearance says of its request.
type storedFacts struct {
	Customer uint64
	Product  int
	Plan     int
	Units    float64
	SetSize  int
	First    int
}

// storedEstate is the policy's state.
type storedEstate struct {
	Signed    storedCharter
	At        float64
	Started   float64
	Base      float64
	Customers []storedCustomer
	Workers   []storedWorker
	Kinds     []storedKind
	Peers     []storedPeer
	Window    float64
	Press     float64
	CutAt     float64
	Pace      float64
	Load      float64
	WarmDone  float64
	WarmEach  float64
	WarmAt    float64
	Long      float64
	LongAt    float64
	Astray    float64
	AstrayAt  float64
	Tight     []float64
	Stay      []float64
	NextTell  float64
}

// storedCharter is the settings that the state was computed with.
type storedCharter struct {
	Me             int
	Gatekeepers    int
	Products       []storedProduct
	Plans          []storedPlan
	LargestUnits   float64
	MaxSubmissions int
	MayOverlap     bool
	MayWithdraw    bool
	MayAdvise      bool
	MaxAdvice      float64
	MayTell        bool
	LoadTold       bool
	PeerInPerS     float64
	ReportsPerTell int
	ColdFrom       float64
	WarmUp         float64
	Tips           float64
	TipAfter       float64
	Whole          float64
	WorstPlan      float64
	Narrow         bool
}

// storedProduct is one request class of the settings.
type storedProduct struct {
	SLA       float64
	Value     float64
	LateShare float64
	Repeat    uint8
	Group     uint8
	Window    float64
}

// storedPlan is one plan of the settings.
type storedPlan struct {
	Rate         float64
	Burst        float64
	CeilingRate  float64
	CeilingDepth float64
	Withheld     float64
	Open         int
	Factor       float64
	ExcessShare  float64
	ExcessFee    float64
	Credit       float64
	Repay        float64
}

// storedCustomer is one customer's state.
type storedCustomer struct {
	Key       uint64
	Plan      int
	N         int
	First     int
	Txns      int
	Out       int
	Holding   int
	Level     float64
	Whole     float64
	Filled    float64
	Others    float64
	Flow      float64
	Held      float64
	Heard     float64
	Demand    float64
	Lately    float64
	Seen      float64
	CoolSince float64
	CeilingAt float64
	Unsaid    float64
	Said      float64
	SaidAt    float64
	Known     float64
	Hot       bool
	Lag       float64
	Dealt     float64
}

// storedWorker is one worker's state.
type storedWorker struct {
	Worker     int
	Since      float64
	Pace       float64
	Paced      float64
	Load       float64
	Told       float64
	Heard      float64
	Distrust   float64
	DistrustAt float64
	Turned     []float64
	TurnedAt   []float64
	Full       bool
	ColdAt     float64
	ColdDebt   float64
}

// storedKind is one kind of machine.
type storedKind struct {
	Kind    int
	Pace    float64
	Answers float64
}

// storedPeer is one peer's state.
type storedPeer struct {
	Heard  float64
	Told   float64
	Owes   float64
	Spoke  float64
	Silent bool
	Gone   bool
	Last   []storedReport
}

// storedReport is one customer in a peer's last report.
type storedReport struct {
	Customer uint64
	Plan     int
	Demand   float64
	Known    float64
	Spent    float64
}

func encodeHandoff(live HandoffState) storedHandoff {
	return storedHandoff{
		Drains:     live.Draining,
		Estate:     encodeEstate(live.Policy),
		Workers:    live.WorkerNames,
		Kinds:      live.KindNames,
		Clearances: convertAll(live.Clearances, encodeClearance),
		Word:       encodeSequence(live.LastSentToPeer),
	}
}

func encodeSequence(live incarnation.MessageID) storedSequence {
	return storedSequence{
		Incarnation: live.Incarnation,
		Sequence:    live.Sequence,
	}
}

func encodeClearance(live authcache.Clearance) storedClearance {
	return storedClearance{
		Mark:  live.RequestID,
		Facts: encodeFacts(live.Attributes),
		Used:  live.Used,
		Until: live.ExpiresMillis,
	}
}

func encodeFacts(live authcache.Attributes) storedFacts {
	return storedFacts{
		Customer: live.Customer,
		Product:  live.Product,
		Plan:     live.Plan,
		Units:    live.Units,
		SetSize:  live.SetSize,
		First:    live.First,
	}
}

func encodeEstate(live policy.HandoffState) storedEstate {
	return storedEstate{
		Signed:    encodeCharter(live.Settings),
		At:        live.AtMillis,
		Started:   live.StartedAtMillis,
		Base:      live.RateLimitBaseMillis,
		Customers: convertAll(live.Customers, encodeCustomer),
		Workers:   convertAll(live.Workers, encodeWorker),
		Kinds:     convertAll(live.Kinds, encodeKind),
		Peers:     convertAll(live.Peers, encodePeer),
		Window:    live.Window,
		Press:     live.Pressure,
		CutAt:     live.WindowCutAtMillis,
		Pace:      live.ResponseMillis,
		Load:      live.MeanWorkerLoad,
		WarmDone:  live.WarmWorkUnits,
		WarmEach:  live.WarmWorkUnitsPerWorker,
		WarmAt:    live.WarmWorkAtMillis,
		Long:      live.SlowRequests,
		LongAt:    live.SlowRequestsAtMillis,
		Astray:    live.LostRequests,
		AstrayAt:  live.LostRequestsAtMillis,
		Tight:     live.ShortDeadlineSuccess,
		Stay:      live.AttemptMillis,
		NextTell:  live.NextReportAtMillis,
	}
}

func encodeCharter(live policy.Settings) storedCharter {
	return storedCharter{
		Me:             live.GatewayIndex,
		Gatekeepers:    live.GatewayCount,
		Products:       convertAll(live.Products, encodeProduct),
		Plans:          convertAll(live.Plans, encodePlan),
		LargestUnits:   live.MaxRequestUnits,
		MaxSubmissions: live.MaxAttempts,
		MayOverlap:     live.AllowHedging,
		MayWithdraw:    live.AllowCancel,
		MayAdvise:      live.AllowRetryAfter,
		MaxAdvice:      live.MaxRetryAfterMillis,
		MayTell:        live.AllowGossip,
		LoadTold:       live.WorkersReportLoad,
		PeerInPerS:     live.PeerMessagesPerSecond,
		ReportsPerTell: live.ReportsPerMessage,
		ColdFrom:       live.ColdCapacityFraction,
		WarmUp:         live.WarmUpMillis,
		Tips:           live.OverloadFactor,
		TipAfter:       live.OverloadMillis,
		Whole:          live.TotalWeight,
		WorstPlan:      live.WorstPlanWeight,
		Narrow:         live.QuotaWithoutGossip,
	}
}

func encodeProduct(live policy.Product) storedProduct {
	return storedProduct{
		SLA:       live.LatencyTargetMillis,
		Value:     live.Value,
		LateShare: live.LateValueFraction,
		Repeat:    uint8(live.Idempotency),
		Group:     uint8(live.DedupScope),
		Window:    live.DedupWindowMillis,
	}
}

func encodePlan(live policy.Plan) storedPlan {
	return storedPlan{
		Rate:         live.QuotaPerSecond,
		Burst:        live.QuotaBurst,
		CeilingRate:  live.RateLimitPerSecond,
		CeilingDepth: live.RateLimitBurst,
		Withheld:     live.WithheldFraction,
		Open:         live.MaxInFlight,
		Factor:       live.ValueFactor,
		ExcessShare:  live.ExcessValueFraction,
		ExcessFee:    live.ExcessCostFraction,
		Credit:       live.CreditSeconds,
		Repay:        live.RepayWithinMillis,
	}
}

func encodeCustomer(live policy.CustomerState) storedCustomer {
	return storedCustomer{
		Key:       live.ID,
		Plan:      live.Plan,
		N:         live.SetSize,
		First:     live.FirstGateway,
		Txns:      live.Requests,
		Out:       live.InFlight,
		Holding:   live.SilentPeers,
		Level:     live.ShareTokens,
		Whole:     live.QuotaTokens,
		Filled:    live.FilledAtMillis,
		Others:    live.PeerDemand,
		Flow:      live.PeerSpentUnits,
		Held:      live.SilentPeerDemand,
		Heard:     live.PeerDemandAtMillis,
		Demand:    live.OwnDemand,
		Lately:    live.RecentDemand,
		Seen:      live.LastRequestAtMillis,
		CoolSince: live.CoolSinceMillis,
		CeilingAt: live.RateLimitFullAtMillis,
		Unsaid:    live.UnreportedUnits,
		Said:      live.ReportedDemand,
		SaidAt:    live.ReportedAtMillis,
		Known:     live.PreviousReportedDemand,
		Hot:       live.Hot,
		Lag:       live.UncollectedRepayment,
		Dealt:     live.CreditAtMillis,
	}
}

func encodeWorker(live policy.WorkerState) storedWorker {
	return storedWorker{
		Worker:     live.Worker,
		Since:      live.StartedAtMillis,
		Pace:       live.ResponseMillis,
		Paced:      live.ResponseAtMillis,
		Load:       live.ReportedLoad,
		Told:       live.ReportedLoadAtMillis,
		Heard:      live.HeardAtMillis,
		Distrust:   live.Suspicion,
		DistrustAt: live.SuspicionAtMillis,
		Turned:     live.Rejections,
		TurnedAt:   live.RejectionsAtMillis,
		Full:       live.Overloaded,
		ColdAt:     live.SlowStartAtMillis,
		ColdDebt:   live.SlowStartDebtUnits,
	}
}

func encodeKind(live policy.MachineKindState) storedKind {
	return storedKind{
		Kind:    live.MachineKind,
		Pace:    live.ResponseMillis,
		Answers: live.Responses,
	}
}

func encodePeer(live policy.PeerState) storedPeer {
	return storedPeer{
		Heard:  live.HeardAtMillis,
		Told:   live.ReportedAtMillis,
		Owes:   live.ReportDueSinceMillis,
		Spoke:  live.ReportsHeardAtMillis,
		Silent: live.Silent,
		Gone:   live.Lost,
		Last:   convertAll(live.LastReports, encodeReport),
	}
}

func encodeReport(live policy.Report) storedReport {
	return storedReport{
		Customer: live.Customer,
		Plan:     live.Plan,
		Demand:   live.DemandPerSecond,
		Known:    live.PreviousDemandPerSecond,
		Spent:    live.SpentUnits,
	}
}

func decodeHandoff(stored storedHandoff) HandoffState {
	return HandoffState{
		Draining:       stored.Drains,
		Policy:         decodeEstate(stored.Estate),
		WorkerNames:    stored.Workers,
		KindNames:      stored.Kinds,
		Clearances:     convertAll(stored.Clearances, decodeClearance),
		LastSentToPeer: decodeSequence(stored.Word),
	}
}

func decodeSequence(stored storedSequence) incarnation.MessageID {
	return incarnation.MessageID{
		Incarnation: stored.Incarnation,
		Sequence:    stored.Sequence,
	}
}

func decodeClearance(stored storedClearance) authcache.Clearance {
	return authcache.Clearance{
		RequestID:     stored.Mark,
		Attributes:    decodeFacts(stored.Facts),
		Used:          stored.Used,
		ExpiresMillis: stored.Until,
	}
}

func decodeFacts(stored storedFacts) authcache.Attributes {
	return authcache.Attributes{
		Customer: stored.Customer,
		Product:  stored.Product,
		Plan:     stored.Plan,
		Units:    stored.Units,
		SetSize:  stored.SetSize,
		First:    stored.First,
	}
}

func decodeEstate(stored storedEstate) policy.HandoffState {
	return policy.HandoffState{
		Settings:               decodeCharter(stored.Signed),
		AtMillis:               stored.At,
		StartedAtMillis:        stored.Started,
		RateLimitBaseMillis:    stored.Base,
		Customers:              convertAll(stored.Customers, decodeCustomer),
		Workers:                convertAll(stored.Workers, decodeWorker),
		Kinds:                  convertAll(stored.Kinds, decodeKind),
		Peers:                  convertAll(stored.Peers, decodePeer),
		Window:                 stored.Window,
		Pressure:               stored.Press,
		WindowCutAtMillis:      stored.CutAt,
		ResponseMillis:         stored.Pace,
		MeanWorkerLoad:         stored.Load,
		WarmWorkUnits:          stored.WarmDone,
		WarmWorkUnitsPerWorker: stored.WarmEach,
		WarmWorkAtMillis:       stored.WarmAt,
		SlowRequests:           stored.Long,
		SlowRequestsAtMillis:   stored.LongAt,
		LostRequests:           stored.Astray,
		LostRequestsAtMillis:   stored.AstrayAt,
		ShortDeadlineSuccess:   stored.Tight,
		AttemptMillis:          stored.Stay,
		NextReportAtMillis:     stored.NextTell,
	}
}

func decodeCharter(stored storedCharter) policy.Settings {
	return policy.Settings{
		GatewayIndex:          stored.Me,
		GatewayCount:          stored.Gatekeepers,
		Products:              convertAll(stored.Products, decodeProduct),
		Plans:                 convertAll(stored.Plans, decodePlan),
		MaxRequestUnits:       stored.LargestUnits,
		MaxAttempts:           stored.MaxSubmissions,
		AllowHedging:          stored.MayOverlap,
		AllowCancel:           stored.MayWithdraw,
		AllowRetryAfter:       stored.MayAdvise,
		MaxRetryAfterMillis:   stored.MaxAdvice,
		AllowGossip:           stored.MayTell,
		WorkersReportLoad:     stored.LoadTold,
		PeerMessagesPerSecond: stored.PeerInPerS,
		ReportsPerMessage:     stored.ReportsPerTell,
		ColdCapacityFraction:  stored.ColdFrom,
		WarmUpMillis:          stored.WarmUp,
		OverloadFactor:        stored.Tips,
		OverloadMillis:        stored.TipAfter,
		TotalWeight:           stored.Whole,
		WorstPlanWeight:       stored.WorstPlan,
		QuotaWithoutGossip:    stored.Narrow,
	}
}

func decodeProduct(stored storedProduct) policy.Product {
	return policy.Product{
		LatencyTargetMillis: stored.SLA,
		Value:               stored.Value,
		LateValueFraction:   stored.LateShare,
		Idempotency:         policy.Idempotency(stored.Repeat),
		DedupScope:          policy.DedupScope(stored.Group),
		DedupWindowMillis:   stored.Window,
	}
}

func decodePlan(stored storedPlan) policy.Plan {
	return policy.Plan{
		QuotaPerSecond:      stored.Rate,
		QuotaBurst:          stored.Burst,
		RateLimitPerSecond:  stored.CeilingRate,
		RateLimitBurst:      stored.CeilingDepth,
		WithheldFraction:    stored.Withheld,
		MaxInFlight:         stored.Open,
		ValueFactor:         stored.Factor,
		ExcessValueFraction: stored.ExcessShare,
		ExcessCostFraction:  stored.ExcessFee,
		CreditSeconds:       stored.Credit,
		RepayWithinMillis:   stored.Repay,
	}
}

func decodeCustomer(stored storedCustomer) policy.CustomerState {
	return policy.CustomerState{
		ID:                     stored.Key,
		Plan:                   stored.Plan,
		SetSize:                stored.N,
		FirstGateway:           stored.First,
		Requests:               stored.Txns,
		InFlight:               stored.Out,
		SilentPeers:            stored.Holding,
		ShareTokens:            stored.Level,
		QuotaTokens:            stored.Whole,
		FilledAtMillis:         stored.Filled,
		PeerDemand:             stored.Others,
		PeerSpentUnits:         stored.Flow,
		SilentPeerDemand:       stored.Held,
		PeerDemandAtMillis:     stored.Heard,
		OwnDemand:              stored.Demand,
		RecentDemand:           stored.Lately,
		LastRequestAtMillis:    stored.Seen,
		CoolSinceMillis:        stored.CoolSince,
		RateLimitFullAtMillis:  stored.CeilingAt,
		UnreportedUnits:        stored.Unsaid,
		ReportedDemand:         stored.Said,
		ReportedAtMillis:       stored.SaidAt,
		PreviousReportedDemand: stored.Known,
		Hot:                    stored.Hot,
		UncollectedRepayment:   stored.Lag,
		CreditAtMillis:         stored.Dealt,
	}
}

func decodeWorker(stored storedWorker) policy.WorkerState {
	return policy.WorkerState{
		Worker:               stored.Worker,
		StartedAtMillis:      stored.Since,
		ResponseMillis:       stored.Pace,
		ResponseAtMillis:     stored.Paced,
		ReportedLoad:         stored.Load,
		ReportedLoadAtMillis: stored.Told,
		HeardAtMillis:        stored.Heard,
		Suspicion:            stored.Distrust,
		SuspicionAtMillis:    stored.DistrustAt,
		Rejections:           stored.Turned,
		RejectionsAtMillis:   stored.TurnedAt,
		Overloaded:           stored.Full,
		SlowStartAtMillis:    stored.ColdAt,
		SlowStartDebtUnits:   stored.ColdDebt,
	}
}

func decodeKind(stored storedKind) policy.MachineKindState {
	return policy.MachineKindState{
		MachineKind:    stored.Kind,
		ResponseMillis: stored.Pace,
		Responses:      stored.Answers,
	}
}

func decodePeer(stored storedPeer) policy.PeerState {
	return policy.PeerState{
		HeardAtMillis:        stored.Heard,
		ReportedAtMillis:     stored.Told,
		ReportDueSinceMillis: stored.Owes,
		ReportsHeardAtMillis: stored.Spoke,
		Silent:               stored.Silent,
		Lost:                 stored.Gone,
		LastReports:          convertAll(stored.Last, decodeReport),
	}
}

func decodeReport(stored storedReport) policy.Report {
	return policy.Report{
		Customer:                stored.Customer,
		Plan:                    stored.Plan,
		DemandPerSecond:         stored.Demand,
		PreviousDemandPerSecond: stored.Known,
		SpentUnits:              stored.Spent,
	}
}

// convertAll converts each element. A nil slice stays nil, as gob has it.
func convertAll[From, To any](all []From, convert func(From) To) []To {
	if all == nil {
		return nil
	}
	converted := make([]To, len(all))
	for i, one := range all {
		converted[i] = convert(one)
	}
	return converted
}
