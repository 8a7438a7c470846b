package loadreport

import (
	"encoding/hex"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

// goldenReport is a load report as edges of 2 December 2026 send it: of edge-1, number 9, with 3 requests and
// 700 unread tokens at w-1. The package has no form of its own beside it.
const goldenReport = "0a06656467652d3110091a0a0a03772d31100318bc05"

// TestGoldenReport takes the report and compares what is added up of it.
func TestGoldenReport(t *testing.T) {
	data, err := hex.DecodeString(goldenReport)
	if err != nil {
		t.Fatal(err)
	}
	message := &wirepb.LoadReport{}
	if err := proto.Unmarshal(data, message); err != nil {
		t.Fatal(err)
	}
	if message.Edge != "edge-1" || message.Number != 9 || len(message.Loads) != 1 {
		t.Errorf("report %v", message)
	}
	peers := New()
	peers.Take(time.Second, message)
	if sum, known := peers.Sum(time.Second, "w-1", 1); !known || sum != (Load{InHand: 3, Unread: 700}) {
		t.Errorf("sum %+v, known %v", sum, known)
	}
	if again, err := proto.Marshal(message); err != nil || hex.EncodeToString(again) != goldenReport {
		t.Errorf("encoded to %x, error %v", again, err)
	}
}
