package framing

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// TestStatedLengthTakesNoMemory has a peer state a long frame and send little of it, as a peer in trouble may
// on many links at once.
func TestStatedLengthTakesNoMemory(t *testing.T) {
	const acceptableBytes = 1 << 20
	near, far := pipe(t)
	go func() {
		far.Write(binary.BigEndian.AppendUint32(nil, maxFrameBytes))
		far.Write(make([]byte, readBufferBytes))
		far.Close()
	}()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := NewConn(near, time.Second).ReadMessage(&wirepb.CoreNode{}, 10*time.Second)
	runtime.ReadMemStats(&after)
	if err == nil || after.TotalAlloc-before.TotalAlloc > acceptableBytes {
		t.Errorf("error %v, %d bytes taken", err, after.TotalAlloc-before.TotalAlloc)
	}
}

// TestReadAllOf reads lengths around those at which the buffer grows.
func TestReadAllOf(t *testing.T) {
	lengths := []int{0, 1, firstReadBytes - 1, firstReadBytes, firstReadBytes + 1, 5*firstReadBytes + 7}
	for _, length := range lengths {
		sent := bytes.Repeat([]byte("abc"), length)[:length]
		got, err := readAllOf(bytes.NewReader(append(sent, "behind"...)), length)
		if err != nil || !bytes.Equal(got, sent) {
			t.Errorf("%d bytes: got %d, error %v", length, len(got), err)
		}
		if _, err := readAllOf(bytes.NewReader(sent[:max(length-1, 0)]), length); err == nil && length > 0 {
			t.Errorf("%d bytes of %d are taken for all", length-1, length)
		}
	}
}
