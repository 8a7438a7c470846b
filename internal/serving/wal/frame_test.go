package wal

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// largeLogBytes is the size of the damaged logs that are searched.
const largeLogBytes = 40 << 20

// searchLimit is far above what a search takes, and far below one that takes a checksum at each offset.
const searchLimit = 30 * time.Second

// nextValidFrameSlowly is what NextValidFrame returns, with a checksum of the whole payload at each offset.
func nextValidFrameSlowly(data []byte) int {
	for offset := 1; offset+headerBytes < len(data); offset++ {
		if _, _, ok := NextFrame(data[offset:]); ok {
			return offset
		}
	}
	return -1
}

// damagedFrames returns frames of up to maxPayload bytes with damage in some places. Half of the payloads
// have small bytes, which read as lengths of frames.
func damagedFrames(random *rand.Rand, frames, maxPayload int) []byte {
	var data []byte
	for range frames {
		payload := make([]byte, 1+random.Intn(maxPayload))
		random.Read(payload)
		if random.Intn(2) == 0 {
			for i := range payload {
				payload[i] %= 3
			}
		}
		data = AppendFrame(data, payload)
	}
	for range random.Intn(4) {
		position := random.Intn(len(data))
		switch random.Intn(3) {
		case 0:
			data[position] ^= 1 << random.Intn(8)
		case 1:
			clear(data[position:min(len(data), position+random.Intn(200))])
		case 2:
			data = data[:max(1, position)]
		}
	}
	return data
}

// TestNextValidFrame compares with a search that takes a checksum of the whole payload at each offset.
func TestNextValidFrame(t *testing.T) {
	for seed := range int64(600) {
		random := rand.New(rand.NewSource(seed))
		data := damagedFrames(random, 1+random.Intn(6), 1+random.Intn(3*checksumBlockBytes))
		for len(data) > 0 {
			got, want := NextValidFrame(data), nextValidFrameSlowly(data)
			if got != want {
				t.Fatalf("seed %d: %d instead of %d", seed, got, want)
			}
			if want < 0 {
				break
			}
			data = data[want:]
		}
	}
}

// TestChecksumOfParts compares the checksums of parts with those of their frames.
func TestChecksumOfParts(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	data := make([]byte, 20*checksumBlockBytes+7)
	random.Read(data)
	sums := newPrefixChecksums(data)
	for range 2000 {
		begin := random.Intn(len(data))
		end := begin + 1 + random.Intn(len(data)-begin)
		_, want, _ := readHeader(AppendFrame(nil, data[begin:end]))
		if got := sums.checksum(begin, end); got != want {
			t.Fatalf("%d to %d: %x instead of %x", begin, end, got, want)
		}
	}
}

// largeLogs are the contents of damaged logs: the first byte is part of no frame.
func largeLogs() map[string][]byte {
	random := rand.New(rand.NewSource(1))
	noise := make([]byte, largeLogBytes)
	random.Read(noise)
	records := []byte{0xff}
	for i := 0; len(records) < largeLogBytes; i++ {
		text := fmt.Sprintf("\n\x2c\n\x14core-a-1/0a1b2c3d4e5f\x10\x01\x1a\x12\n\x02t3\x12\x08%08d\x18\x04", i)
		records = append(records, "\x40\x00\x00\x00none"...) // a checksum that is not that of the payload
		records = append(records, text...)
	}
	return map[string][]byte{"noise": noise, "zeros": make([]byte, largeLogBytes), "damaged records": records}
}

// TestNextValidFrameOfLargeLog searches damaged logs without and with a frame at the end.
func TestNextValidFrameOfLargeLog(t *testing.T) {
	for name, data := range largeLogs() {
		begun := time.Now()
		if offset := NextValidFrame(data); offset >= 0 {
			t.Errorf("%s: a frame at %d", name, offset)
		}
		if offset := NextValidFrame(AppendFrame(data, []byte("frame"))); offset != len(data) {
			t.Errorf("%s: a frame at %d instead of %d", name, offset, len(data))
		}
		if took := time.Since(begun); took > searchLimit {
			t.Errorf("%s: %v", name, took)
		}
	}
}

// BenchmarkNextValidFrame searches damaged logs without a frame.
func BenchmarkNextValidFrame(b *testing.B) {
	for name, data := range largeLogs() {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				NextValidFrame(data)
			}
		})
	}
}
