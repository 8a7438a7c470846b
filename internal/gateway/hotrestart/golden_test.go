package hotrestart

import (
	"bytes"
	"encoding/gob"
	"net"
	"testing"
	"time"

	"willowdeck/internal/forwardauth/authcache"
	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/goldentest"
)

// The golden files were written once by the code of version 4, before names were changed: will.gob is what
// SendState sent, will.txt names each field of it as it is on the wire. They were made by filling all fields
// by reflection, in the order of declaration, with values that are distinct but for bools. They are what a
// predecessor of the old version leaves, so new code must never write them again.
//
// gob drops fields whose names it does not know without an error. So no value below is zero, and a field
// whose name on the wire has changed is seen as missing on one side or the other.
const goldenGreeting = "h4 n0" // of this conversation, on both sides

// goldenState is what will.gob holds, in today's types.
func goldenState() HandoffState {
	return HandoffState{Draining: true, Policy: policy.HandoffState{Settings: policy.Settings{GatewayIndex: 1,
		GatewayCount: 2,
		Products: []policy.Product{{LatencyTargetMillis: 3.5, Value: 4.5, LateValueFraction: 5.5, Idempotency: 6,
			DedupScope: 7, DedupWindowMillis: 8.5},
			{LatencyTargetMillis: 9.5, Value: 10.5, LateValueFraction: 11.5, Idempotency: 12, DedupScope: 13,
				DedupWindowMillis: 14.5}},
		Plans: []policy.Plan{{QuotaPerSecond: 15.5, QuotaBurst: 16.5, RateLimitPerSecond: 17.5,
			RateLimitBurst: 18.5, WithheldFraction: 19.5,
			MaxInFlight: 20, ValueFactor: 21.5, ExcessValueFraction: 22.5, ExcessCostFraction: 23.5,
			CreditSeconds: 24.5, RepayWithinMillis: 25.5}, {QuotaPerSecond: 26.5,
			QuotaBurst: 27.5, RateLimitPerSecond: 28.5, RateLimitBurst: 29.5, WithheldFraction: 30.5, MaxInFlight: 31,
			ValueFactor:         32.5,
			ExcessValueFraction: 33.5, ExcessCostFraction: 34.5, CreditSeconds: 35.5, RepayWithinMillis: 36.5}},
		MaxRequestUnits: 37.5,
		MaxAttempts:     38, AllowHedging: true, AllowCancel: true, AllowRetryAfter: true,
		MaxRetryAfterMillis: 39.5,
		AllowGossip:         true, WorkersReportLoad: true, PeerMessagesPerSecond: 40.5, ReportsPerMessage: 41,
		WarmingCapacityFraction: 42.5, WarmUpMillis: 43.5,
		OverloadFactor: 44.5, OverloadMillis: 45.5, TotalWeight: 46.5, WorstPlanWeight: 47.5,
		QuotaWithoutGossip: true}, AtMillis: 48.5, StartedAtMillis: 49.5,
		RateLimitBaseMillis: 50.5, Customers: []policy.CustomerState{{ID: 51, Plan: 52, SetSize: 53,
			FirstGateway: 54, Requests: 55, InFlight: 56,
			SilentPeers: 57, ShareTokens: 58.5, QuotaTokens: 59.5, FilledAtMillis: 60.5, PeerDemand: 61.5,
			PeerSpentUnits: 62.5, SilentPeerDemand: 63.5, PeerDemandAtMillis: 64.5,
			OwnDemand: 65.5, RecentDemand: 66.5, LastRequestAtMillis: 67.5, CoolSinceMillis: 68.5,
			RateLimitFullAtMillis: 69.5, UnreportedUnits: 70.5, ReportedDemand: 71.5,
			ReportedAtMillis: 72.5, PreviousReportedDemand: 73.5, Hot: true, UncollectedRepayment: 74.5,
			CreditAtMillis: 75.5}, {ID: 76, Plan: 77, SetSize: 78, FirstGateway: 79,
			Requests: 80, InFlight: 81, SilentPeers: 82, ShareTokens: 83.5, QuotaTokens: 84.5, FilledAtMillis: 85.5,
			PeerDemand: 86.5, PeerSpentUnits: 87.5,
			SilentPeerDemand: 88.5, PeerDemandAtMillis: 89.5, OwnDemand: 90.5, RecentDemand: 91.5,
			LastRequestAtMillis: 92.5, CoolSinceMillis: 93.5, RateLimitFullAtMillis: 94.5,
			UnreportedUnits: 95.5, ReportedDemand: 96.5, ReportedAtMillis: 97.5, PreviousReportedDemand: 98.5,
			Hot: true, UncollectedRepayment: 99.5, CreditAtMillis: 100.5}},
		Workers: []policy.WorkerState{{Worker: 101, StartedAtMillis: 102.5, ResponseMillis: 103.5,
			ResponseAtMillis: 104.5, ReportedLoad: 105.5,
			ReportedLoadAtMillis: 106.5, ReceivedAtMillis: 107.5, Suspicion: 108.5, SuspicionAtMillis: 109.5,
			Rejections:         []float64{110.5, 111.5},
			RejectionsAtMillis: []float64{112.5, 113.5}, Overloaded: true, SlowStartAtMillis: 114.5,
			SlowStartDebtUnits: 115.5}, {Worker: 116,
			StartedAtMillis: 117.5, ResponseMillis: 118.5, ResponseAtMillis: 119.5, ReportedLoad: 120.5,
			ReportedLoadAtMillis: 121.5, ReceivedAtMillis: 122.5, Suspicion: 123.5,
			SuspicionAtMillis: 124.5, Rejections: []float64{125.5, 126.5}, RejectionsAtMillis: []float64{127.5, 128.5},
			Overloaded:        true,
			SlowStartAtMillis: 129.5, SlowStartDebtUnits: 130.5}}, Kinds: []policy.MachineKindState{{MachineKind: 131,
			ResponseMillis: 132.5, Responses: 133.5},
			{MachineKind: 134, ResponseMillis: 135.5, Responses: 136.5}},
		Peers: []policy.PeerState{{ReceivedAtMillis: 137.5, ReportedAtMillis: 138.5,
			ReportDueSinceMillis: 139.5, ReportsReceivedAtMillis: 140.5, Silent: true, Lost: true,
			LastReports: []policy.Report{{Customer: 141, Plan: 142,
				DemandPerSecond: 143.5, PreviousDemandPerSecond: 144.5, SpentUnits: 145.5}, {Customer: 146, Plan: 147,
				DemandPerSecond: 148.5, PreviousDemandPerSecond: 149.5,
				SpentUnits: 150.5}}}, {ReceivedAtMillis: 151.5, ReportedAtMillis: 152.5, ReportDueSinceMillis: 153.5,
			ReportsReceivedAtMillis: 154.5, Silent: true, Lost: true,
			LastReports: []policy.Report{{Customer: 155, Plan: 156, DemandPerSecond: 157.5,
				PreviousDemandPerSecond: 158.5, SpentUnits: 159.5},
				{Customer: 160, Plan: 161, DemandPerSecond: 162.5, PreviousDemandPerSecond: 163.5, SpentUnits: 164.5}}}},
		Window: 165.5, Pressure: 166.5,
		WindowCutAtMillis: 167.5, ResponseMillis: 168.5, MeanWorkerLoad: 169.5, WarmWorkUnits: 170.5,
		WarmWorkUnitsPerWorker: 171.5, WarmWorkAtMillis: 172.5, SlowRequests: 173.5,
		SlowRequestsAtMillis: 174.5, LostRequests: 175.5, LostRequestsAtMillis: 176.5,
		ShortDeadlineSuccess: []float64{177.5, 178.5}, AttemptMillis: []float64{179.5,
			180.5}, NextReportAtMillis: 181.5}, WorkerNames: map[int]string{182: "s182", 183: "s183"},
		KindNames: map[int]string{184: "s184", 185: "s185"}, Clearances: []authcache.Clearance{{RequestID: "s186",
			Attributes: authcache.Attributes{
				Customer: 187,
				Product:  188,
				Plan:     189,
				Units:    190.5,
				SetSize:  191,
				First:    192,
			},
			Used: true, ExpiresMillis: 193.5}, {RequestID: "s194", Attributes: authcache.Attributes{Customer: 195,
			Product: 196, Plan: 197,
			Units: 198.5, SetSize: 199, First: 200}, Used: true, ExpiresMillis: 201.5}},
		LastSentToPeer: incarnation.MessageID{Incarnation: 202,
			Sequence: 203}}
}

// The old form as it is on the wire. These types are frozen: they keep their names when others change.
type (
	oldWill struct {
		Drains         bool
		Estate         oldEstate
		Workers, Kinds map[int]string
		Clearances     []oldClearance
		Word           oldWord
	}
	oldWord      struct{ Incarnation, Sequence uint32 }
	oldClearance struct {
		Mark  string
		Facts oldFacts
		Used  bool
		Until float64
	}
	oldFacts struct {
		Customer       uint64
		Product, Plan  int
		Units          float64
		SetSize, First int
	}
	oldEstate struct {
		Signed            oldCharter
		At, Started, Base float64
		Customers         []oldCustomer
		Workers           []oldStanding
		Kinds             []oldPace
		Peers             []oldHearing

		Window, Press, CutAt, Pace, Load float64
		WarmDone, WarmEach, WarmAt       float64
		Long, LongAt, Astray, AstrayAt   float64
		Tight, Stay                      []float64
		NextTell                         float64
	}
	oldCharter struct {
		Me, Gatekeepers                  int
		Products                         []oldProduct
		Plans                            []oldPlan
		LargestUnits                     float64
		MaxSubmissions                   int
		MayOverlap, MayWithdraw          bool
		MayAdvise                        bool
		MaxAdvice                        float64
		MayTell, LoadTold                bool
		PeerInPerS                       float64
		ReportsPerTell                   int
		ColdFrom, WarmUp, Tips, TipAfter float64
		Whole, WorstPlan                 float64
		Narrow                           bool
	}
	oldProduct struct {
		SLA, Value, LateShare float64
		Repeat, Group         uint8
		Window                float64
	}
	oldPlan struct {
		Rate, Burst, CeilingRate, CeilingDepth, Withheld float64
		Open                                             int
		Factor, ExcessShare, ExcessFee, Credit, Repay    float64
	}
	oldCustomer struct {
		Key                                    uint64
		Plan, N, First, Txns, Out, Holding     int
		Level, Whole, Filled                   float64
		Others, Flow, Held, Heard              float64
		Demand, Lately, Seen, CoolSince        float64
		CeilingAt, Unsaid, Said, SaidAt, Known float64
		Hot                                    bool
		Lag, Dealt                             float64
	}
	oldStanding struct {
		Worker                                int
		Since, Pace, Paced, Load, Told, Heard float64
		Distrust, DistrustAt                  float64
		Turned, TurnedAt                      []float64
		Full                                  bool
		ColdAt, ColdDebt                      float64
	}
	oldPace struct {
		Kind          int
		Pace, Answers float64
	}
	oldHearing struct {
		Heard, Told, Owes, Spoke float64
		Silent, Gone             bool
		Last                     []oldReport
	}
	oldReport struct {
		Customer             uint64
		Plan                 int
		Demand, Known, Spent float64
	}
)

// decodeOld decodes a handoff state as the old version would, and fails where it is not the golden one.
func decodeOld(t *testing.T, b []byte) {
	t.Helper()
	var will oldWill
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&will); err != nil {
		t.Fatal(err)
	}
	goldentest.SameLines(t, goldentest.Leaves(will), goldentest.Lines(t, "will.txt"))
	if zeros := goldentest.Zeros(will); len(zeros) > 0 {
		t.Errorf("these fields are lost: %q", zeros)
	}
}

// The golden file holds what will.txt says, by the names that are on the wire.
func TestGoldenStateFile(t *testing.T) { decodeOld(t, goldentest.File(t, "will.gob")) }

// A state that a process of the old version sends is decoded with all its fields.
func TestReadGoldenState(t *testing.T) {
	old := goldentest.File(t, "will.gob")
	path := SocketPath(t.TempDir(), "n0")
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	received := make(chan string, 2)
	go func() { // the old process
		defer close(received)
		conn, err := listener.AcceptUnix()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		buf := make([]byte, 256)
		n, _ := conn.Read(buf)
		received <- string(buf[:n])
		_, _ = conn.Write([]byte(goldenGreeting))
		_, _ = conn.Write(append([]byte("p"), old[:1000]...))
		_, _ = conn.Write(append([]byte("w"), old[1000:]...))
		n, _ = conn.Read(buf)
		received <- string(buf[:n])
	}()
	successor, err := Connect(path, "n0")
	if err != nil {
		t.Fatal(err)
	}
	var got HandoffState
	complete, err := successor.Receive(Handlers{State: func(state HandoffState) { got = state }})
	if !complete || err != nil {
		t.Fatalf("complete %v: %v", complete, err)
	}
	if greeted, acknowledged := <-received, <-received; greeted != goldenGreeting || acknowledged != "y" {
		t.Errorf("the successor sends %q, %q", greeted, acknowledged)
	}
	goldentest.Same(t, got, goldenState())
}

// A state that the current code sends is decoded by a process of the old version with all its fields.
func TestWriteGoldenState(t *testing.T) {
	path := SocketPath(t.TempDir(), "n0")
	predecessor, err := Listen(path, "n0")
	if err != nil {
		t.Fatal(err)
	}
	defer predecessor.Close()
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	buf := make([]byte, 64<<10)
	_, _ = conn.Write([]byte(goldenGreeting))
	if n, err := conn.Read(buf); string(buf[:n]) != goldenGreeting || err != nil {
		t.Fatalf("the predecessor sends %q: %v", buf[:n], err)
	}
	for i := 0; !predecessor.HasSuccessor(); i++ {
		if i == 1000 {
			t.Fatal("no successor is connected")
		}
		time.Sleep(time.Millisecond)
	}
	sent := make(chan error, 1)
	go func() { sent <- predecessor.SendState(goldenState()) }()
	var encoded []byte
	for last := false; !last; {
		n, err := conn.Read(buf)
		if n == 0 || err != nil || buf[0] != 'p' && buf[0] != 'w' {
			t.Fatalf("%d bytes, kind %q: %v", n, buf[0], err)
		}
		encoded, last = append(encoded, buf[1:n]...), buf[0] == 'w'
	}
	_, _ = conn.Write([]byte("y"))
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	decodeOld(t, encoded)
}
