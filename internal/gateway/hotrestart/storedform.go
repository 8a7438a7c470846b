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
		Mark:  live.Mark,
		Facts: encodeFacts(live.Facts),
		Used:  live.Used,
		Until: live.Until,
	}
}

func encodeFacts(live authcache.Facts) storedFacts {
	return storedFacts{
		Customer: live.Customer,
		Product:  live.Product,
		Plan:     live.Plan,
		Units:    live.Units,
		SetSize:  live.SetSize,
		First:    live.First,
	}
}

func encodeEstate(live policy.Estate) storedEstate {
	return storedEstate{
		Signed:    encodeCharter(live.Signed),
		At:        live.At,
		Started:   live.Started,
		Base:      live.Base,
		Customers: convertAll(live.Customers, encodeCustomer),
		Workers:   convertAll(live.Workers, encodeWorker),
		Kinds:     convertAll(live.Kinds, encodeKind),
		Peers:     convertAll(live.Peers, encodePeer),
		Window:    live.Window,
		Press:     live.Press,
		CutAt:     live.CutAt,
		Pace:      live.Pace,
		Load:      live.Load,
		WarmDone:  live.WarmDone,
		WarmEach:  live.WarmEach,
		WarmAt:    live.WarmAt,
		Long:      live.Long,
		LongAt:    live.LongAt,
		Astray:    live.Astray,
		AstrayAt:  live.AstrayAt,
		Tight:     live.Tight,
		Stay:      live.Stay,
		NextTell:  live.NextTell,
	}
}

func encodeCharter(live policy.Charter) storedCharter {
	return storedCharter{
		Me:             live.Me,
		Gatekeepers:    live.Gatekeepers,
		Products:       convertAll(live.Products, encodeProduct),
		Plans:          convertAll(live.Plans, encodePlan),
		LargestUnits:   live.LargestUnits,
		MaxSubmissions: live.MaxSubmissions,
		MayOverlap:     live.MayOverlap,
		MayWithdraw:    live.MayWithdraw,
		MayAdvise:      live.MayAdvise,
		MaxAdvice:      live.MaxAdvice,
		MayTell:        live.MayTell,
		LoadTold:       live.LoadTold,
		PeerInPerS:     live.PeerInPerS,
		ReportsPerTell: live.ReportsPerTell,
		ColdFrom:       live.ColdFrom,
		WarmUp:         live.WarmUp,
		Tips:           live.Tips,
		TipAfter:       live.TipAfter,
		Whole:          live.Whole,
		WorstPlan:      live.WorstPlan,
		Narrow:         live.Narrow,
	}
}

func encodeProduct(live policy.Product) storedProduct {
	return storedProduct{
		SLA:       live.SLA,
		Value:     live.Value,
		LateShare: live.LateShare,
		Repeat:    uint8(live.Repeat),
		Group:     uint8(live.Group),
		Window:    live.Window,
	}
}

func encodePlan(live policy.Plan) storedPlan {
	return storedPlan{
		Rate:         live.Rate,
		Burst:        live.Burst,
		CeilingRate:  live.CeilingRate,
		CeilingDepth: live.CeilingDepth,
		Withheld:     live.Withheld,
		Open:         live.Open,
		Factor:       live.Factor,
		ExcessShare:  live.ExcessShare,
		ExcessFee:    live.ExcessFee,
		Credit:       live.Credit,
		Repay:        live.Repay,
	}
}

func encodeCustomer(live policy.Customer) storedCustomer {
	return storedCustomer{
		Key:       live.Key,
		Plan:      live.Plan,
		N:         live.N,
		First:     live.First,
		Txns:      live.Txns,
		Out:       live.Out,
		Holding:   live.Holding,
		Level:     live.Level,
		Whole:     live.Whole,
		Filled:    live.Filled,
		Others:    live.Others,
		Flow:      live.Flow,
		Held:      live.Held,
		Heard:     live.Heard,
		Demand:    live.Demand,
		Lately:    live.Lately,
		Seen:      live.Seen,
		CoolSince: live.CoolSince,
		CeilingAt: live.CeilingAt,
		Unsaid:    live.Unsaid,
		Said:      live.Said,
		SaidAt:    live.SaidAt,
		Known:     live.Known,
		Hot:       live.Hot,
		Lag:       live.Lag,
		Dealt:     live.Dealt,
	}
}

func encodeWorker(live policy.Standing) storedWorker {
	return storedWorker{
		Worker:     live.Worker,
		Since:      live.Since,
		Pace:       live.Pace,
		Paced:      live.Paced,
		Load:       live.Load,
		Told:       live.Told,
		Heard:      live.Heard,
		Distrust:   live.Distrust,
		DistrustAt: live.DistrustAt,
		Turned:     live.Turned,
		TurnedAt:   live.TurnedAt,
		Full:       live.Full,
		ColdAt:     live.ColdAt,
		ColdDebt:   live.ColdDebt,
	}
}

func encodeKind(live policy.Pace) storedKind {
	return storedKind{
		Kind:    live.Kind,
		Pace:    live.Pace,
		Answers: live.Answers,
	}
}

func encodePeer(live policy.Hearing) storedPeer {
	return storedPeer{
		Heard:  live.Heard,
		Told:   live.Told,
		Owes:   live.Owes,
		Spoke:  live.Spoke,
		Silent: live.Silent,
		Gone:   live.Gone,
		Last:   convertAll(live.Last, encodeReport),
	}
}

func encodeReport(live policy.Report) storedReport {
	return storedReport{
		Customer: live.Customer,
		Plan:     live.Plan,
		Demand:   live.Demand,
		Known:    live.Known,
		Spent:    live.Spent,
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
		Mark:  stored.Mark,
		Facts: decodeFacts(stored.Facts),
		Used:  stored.Used,
		Until: stored.Until,
	}
}

func decodeFacts(stored storedFacts) authcache.Facts {
	return authcache.Facts{
		Customer: stored.Customer,
		Product:  stored.Product,
		Plan:     stored.Plan,
		Units:    stored.Units,
		SetSize:  stored.SetSize,
		First:    stored.First,
	}
}

func decodeEstate(stored storedEstate) policy.Estate {
	return policy.Estate{
		Signed:    decodeCharter(stored.Signed),
		At:        stored.At,
		Started:   stored.Started,
		Base:      stored.Base,
		Customers: convertAll(stored.Customers, decodeCustomer),
		Workers:   convertAll(stored.Workers, decodeWorker),
		Kinds:     convertAll(stored.Kinds, decodeKind),
		Peers:     convertAll(stored.Peers, decodePeer),
		Window:    stored.Window,
		Press:     stored.Press,
		CutAt:     stored.CutAt,
		Pace:      stored.Pace,
		Load:      stored.Load,
		WarmDone:  stored.WarmDone,
		WarmEach:  stored.WarmEach,
		WarmAt:    stored.WarmAt,
		Long:      stored.Long,
		LongAt:    stored.LongAt,
		Astray:    stored.Astray,
		AstrayAt:  stored.AstrayAt,
		Tight:     stored.Tight,
		Stay:      stored.Stay,
		NextTell:  stored.NextTell,
	}
}

func decodeCharter(stored storedCharter) policy.Charter {
	return policy.Charter{
		Me:             stored.Me,
		Gatekeepers:    stored.Gatekeepers,
		Products:       convertAll(stored.Products, decodeProduct),
		Plans:          convertAll(stored.Plans, decodePlan),
		LargestUnits:   stored.LargestUnits,
		MaxSubmissions: stored.MaxSubmissions,
		MayOverlap:     stored.MayOverlap,
		MayWithdraw:    stored.MayWithdraw,
		MayAdvise:      stored.MayAdvise,
		MaxAdvice:      stored.MaxAdvice,
		MayTell:        stored.MayTell,
		LoadTold:       stored.LoadTold,
		PeerInPerS:     stored.PeerInPerS,
		ReportsPerTell: stored.ReportsPerTell,
		ColdFrom:       stored.ColdFrom,
		WarmUp:         stored.WarmUp,
		Tips:           stored.Tips,
		TipAfter:       stored.TipAfter,
		Whole:          stored.Whole,
		WorstPlan:      stored.WorstPlan,
		Narrow:         stored.Narrow,
	}
}

func decodeProduct(stored storedProduct) policy.Product {
	return policy.Product{
		SLA:       stored.SLA,
		Value:     stored.Value,
		LateShare: stored.LateShare,
		Repeat:    policy.Repeat(stored.Repeat),
		Group:     policy.Group(stored.Group),
		Window:    stored.Window,
	}
}

func decodePlan(stored storedPlan) policy.Plan {
	return policy.Plan{
		Rate:         stored.Rate,
		Burst:        stored.Burst,
		CeilingRate:  stored.CeilingRate,
		CeilingDepth: stored.CeilingDepth,
		Withheld:     stored.Withheld,
		Open:         stored.Open,
		Factor:       stored.Factor,
		ExcessShare:  stored.ExcessShare,
		ExcessFee:    stored.ExcessFee,
		Credit:       stored.Credit,
		Repay:        stored.Repay,
	}
}

func decodeCustomer(stored storedCustomer) policy.Customer {
	return policy.Customer{
		Key:       stored.Key,
		Plan:      stored.Plan,
		N:         stored.N,
		First:     stored.First,
		Txns:      stored.Txns,
		Out:       stored.Out,
		Holding:   stored.Holding,
		Level:     stored.Level,
		Whole:     stored.Whole,
		Filled:    stored.Filled,
		Others:    stored.Others,
		Flow:      stored.Flow,
		Held:      stored.Held,
		Heard:     stored.Heard,
		Demand:    stored.Demand,
		Lately:    stored.Lately,
		Seen:      stored.Seen,
		CoolSince: stored.CoolSince,
		CeilingAt: stored.CeilingAt,
		Unsaid:    stored.Unsaid,
		Said:      stored.Said,
		SaidAt:    stored.SaidAt,
		Known:     stored.Known,
		Hot:       stored.Hot,
		Lag:       stored.Lag,
		Dealt:     stored.Dealt,
	}
}

func decodeWorker(stored storedWorker) policy.Standing {
	return policy.Standing{
		Worker:     stored.Worker,
		Since:      stored.Since,
		Pace:       stored.Pace,
		Paced:      stored.Paced,
		Load:       stored.Load,
		Told:       stored.Told,
		Heard:      stored.Heard,
		Distrust:   stored.Distrust,
		DistrustAt: stored.DistrustAt,
		Turned:     stored.Turned,
		TurnedAt:   stored.TurnedAt,
		Full:       stored.Full,
		ColdAt:     stored.ColdAt,
		ColdDebt:   stored.ColdDebt,
	}
}

func decodeKind(stored storedKind) policy.Pace {
	return policy.Pace{
		Kind:    stored.Kind,
		Pace:    stored.Pace,
		Answers: stored.Answers,
	}
}

func decodePeer(stored storedPeer) policy.Hearing {
	return policy.Hearing{
		Heard:  stored.Heard,
		Told:   stored.Told,
		Owes:   stored.Owes,
		Spoke:  stored.Spoke,
		Silent: stored.Silent,
		Gone:   stored.Gone,
		Last:   convertAll(stored.Last, decodeReport),
	}
}

func decodeReport(stored storedReport) policy.Report {
	return policy.Report{
		Customer: stored.Customer,
		Plan:     stored.Plan,
		Demand:   stored.Demand,
		Known:    stored.Known,
		Spent:    stored.Spent,
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
