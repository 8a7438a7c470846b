package framing

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/memorybudget"
	"willowdeck/internal/serving/wirepb"
)

// TestLongFramesShareTheirMemory has two peers send long frames where there is memory for one: the other one
// fails, until the first has been handled. Each link could hold 32 MiB, whatever the others held.
func TestLongFramesShareTheirMemory(t *testing.T) {
	long := &wirepb.CoreNode{Replica: string(make([]byte, 2*firstReadBytes))}
	budget := memorybudget.New(int64(proto.Size(long)) * frameMemoryFactor * 3 / 2)
	receiver := func(messages ...proto.Message) *Conn {
		near, far := pipe(t)
		go func() {
			connection := NewConn(far, time.Second)
			for _, message := range messages {
				_ = connection.WriteMessage(message) // fails where the receiver has closed
			}
		}()
		connection := NewConn(near, time.Second)
		connection.LimitFrames(budget)
		return connection
	}
	first := receiver(long, goldenMessage())
	if err := first.ReadMessage(&wirepb.CoreNode{}, time.Second); err != nil || !first.HoldsMemory() {
		t.Fatalf("error %v, memory held: %v", err, first.HoldsMemory())
	}
	if err := receiver(long).ReadMessage(&wirepb.CoreNode{}, time.Second); err == nil {
		t.Error("a second long frame is taken")
	}
	short := receiver(goldenMessage())
	if err := short.ReadMessage(&wirepb.CoreNode{}, time.Second); err != nil || short.HoldsMemory() {
		t.Errorf("a short frame: error %v", err)
	}
	if err := first.ReadMessage(&wirepb.CoreNode{}, time.Second); err != nil || budget.Reserved() != 0 {
		t.Errorf("error %v, %d bytes reserved after the next frame", err, budget.Reserved())
	}
	if err := receiver(long).ReadMessage(&wirepb.CoreNode{}, time.Second); err != nil {
		t.Errorf("a long frame after the first one: error %v", err)
	}
	if largest := NewFrameMemory(1); !largest.Open().Grow(maxFrameBytes * frameMemoryFactor) {
		t.Error("the longest frame never fits")
	}
}
