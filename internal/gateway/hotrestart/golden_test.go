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
	return HandoffState{Draining: true, Policy: policy.Estate{Signed: policy.Charter{Me: 1, Gatekeepers: 2,
		Products: []policy.Product{{SLA: 3.5, Value: 4.5, LateShare: 5.5, Repeat: 6, Group: 7, Window: 8.5},
			{SLA: 9.5, Value: 10.5, LateShare: 11.5, Repeat: 12, Group: 13, Window: 14.5}},
		Plans: []policy.Plan{{Rate: 15.5, Burst: 16.5, CeilingRate: 17.5, CeilingDepth: 18.5, Withheld: 19.5,
			Open: 20, Factor: 21.5, ExcessShare: 22.5, ExcessFee: 23.5, Credit: 24.5, Repay: 25.5}, {Rate: 26.5,
			Burst: 27.5, CeilingRate: 28.5, CeilingDepth: 29.5, Withheld: 30.5, Open: 31, Factor: 32.5,
			ExcessShare: 33.5, ExcessFee: 34.5, Credit: 35.5, Repay: 36.5}}, LargestUnits: 37.5,
		MaxSubmissions: 38, MayOverlap: true, MayWithdraw: true, MayAdvise: true, MaxAdvice: 39.5,
		MayTell: true, LoadTold: true, PeerInPerS: 40.5, ReportsPerTell: 41, ColdFrom: 42.5, WarmUp: 43.5,
		Tips: 44.5, TipAfter: 45.5, Whole: 46.5, WorstPlan: 47.5, Narrow: true}, At: 48.5, Started: 49.5,
		Base: 50.5, Customers: []policy.Customer{{Key: 51, Plan: 52, N: 53, First: 54, Txns: 55, Out: 56,
			Holding: 57, Level: 58.5, Whole: 59.5, Filled: 60.5, Others: 61.5, Flow: 62.5, Held: 63.5, Heard: 64.5,
			Demand: 65.5, Lately: 66.5, Seen: 67.5, CoolSince: 68.5, CeilingAt: 69.5, Unsaid: 70.5, Said: 71.5,
			SaidAt: 72.5, Known: 73.5, Hot: true, Lag: 74.5, Dealt: 75.5}, {Key: 76, Plan: 77, N: 78, First: 79,
			Txns: 80, Out: 81, Holding: 82, Level: 83.5, Whole: 84.5, Filled: 85.5, Others: 86.5, Flow: 87.5,
			Held: 88.5, Heard: 89.5, Demand: 90.5, Lately: 91.5, Seen: 92.5, CoolSince: 93.5, CeilingAt: 94.5,
			Unsaid: 95.5, Said: 96.5, SaidAt: 97.5, Known: 98.5, Hot: true, Lag: 99.5, Dealt: 100.5}},
		Workers: []policy.Standing{{Worker: 101, Since: 102.5, Pace: 103.5, Paced: 104.5, Load: 105.5,
			Told: 106.5, Heard: 107.5, Distrust: 108.5, DistrustAt: 109.5, Turned: []float64{110.5, 111.5},
			TurnedAt: []float64{112.5, 113.5}, Full: true, ColdAt: 114.5, ColdDebt: 115.5}, {Worker: 116,
			Since: 117.5, Pace: 118.5, Paced: 119.5, Load: 120.5, Told: 121.5, Heard: 122.5, Distrust: 123.5,
			DistrustAt: 124.5, Turned: []float64{125.5, 126.5}, TurnedAt: []float64{127.5, 128.5}, Full: true,
			ColdAt: 129.5, ColdDebt: 130.5}}, Kinds: []policy.Pace{{Kind: 131, Pace: 132.5, Answers: 133.5},
			{Kind: 134, Pace: 135.5, Answers: 136.5}}, Peers: []policy.Hearing{{Heard: 137.5, Told: 138.5,
			Owes: 139.5, Spoke: 140.5, Silent: true, Gone: true, Last: []policy.Report{{Customer: 141, Plan: 142,
				Demand: 143.5, Known: 144.5, Spent: 145.5}, {Customer: 146, Plan: 147, Demand: 148.5, Known: 149.5,
				Spent: 150.5}}}, {Heard: 151.5, Told: 152.5, Owes: 153.5, Spoke: 154.5, Silent: true, Gone: true,
			Last: []policy.Report{{Customer: 155, Plan: 156, Demand: 157.5, Known: 158.5, Spent: 159.5},
				{Customer: 160, Plan: 161, Demand: 162.5, Known: 163.5, Spent: 164.5}}}}, Window: 165.5, Press: 166.5,
		CutAt: 167.5, Pace: 168.5, Load: 169.5, WarmDone: 170.5, WarmEach: 171.5, WarmAt: 172.5, Long: 173.5,
		LongAt: 174.5, Astray: 175.5, AstrayAt: 176.5, Tight: []float64{177.5, 178.5}, Stay: []float64{179.5,
			180.5}, NextTell: 181.5}, WorkerNames: map[int]string{182: "s182", 183: "s183"},
		KindNames: map[int]string{184: "s184", 185: "s185"}, Clearances: []authcache.Clearance{{Mark: "s186",
			Facts: authcache.Facts{Customer: 187, Product: 188, Plan: 189, Units: 190.5, SetSize: 191, First: 192},
			Used:  true, Until: 193.5}, {Mark: "s194", Facts: authcache.Facts{Customer: 195, Product: 196, Plan: 197,
			Units: 198.5, SetSize: 199, First: 200}, Used: true, Until: 201.5}},
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
