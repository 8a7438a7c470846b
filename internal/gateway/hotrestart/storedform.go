package hotrestart

// This file holds the stored form of a handoff: what one process encodes with gob and its successor,
// which may be of another version, decodes. gob matches fields by name and drops those it does not know
// without an error, so the names below are part of the form and never change; the live types on the other
// side may be renamed at will. A field that is added to a live type is added here at the end of its type,
// and is zero when an older version sends it. testdata/will.gob guards the form.

// storedHandoff is what a process leaves to its successor.
type storedHandoff struct {
	Drains     bool
	Estate     storedPolicyState
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

// storedPolicyState is the policy's state.
type storedPolicyState struct {
	Signed    storedSettings
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

// storedSettings is the settings that the state was computed with.
type storedSettings struct {
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
