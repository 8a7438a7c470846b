package creditwire

import (
	"math"
	"reflect"
	"testing"

	"willowdeck/internal/borrowing"
)

// Entries come back as they were encoded, over as many messages as it takes, none beyond the limit.
func TestRoundTrip(t *testing.T) {
	var entries []borrowing.Entry
	for i := range uint32(40) {
		entry := borrowing.Entry{Customer: 1<<31 + i, Plan: uint8(i), N: 5, First: uint16(i * 7),
			Form: uint16(i * 999), GaveR: uint64(i) << 20, GotD: uint64(i) << 40, Known: i%2 == 0, Virgin: i%3 == 0}
		if i%4 == 0 {
			entry.Asks, entry.Nonce, entry.Want = true, uint16(i+1), uint64(i+1)
		}
		if i%5 == 0 {
			entry.Answers, entry.Echo, entry.GaveD, entry.Left, entry.Fill = true, 9, 77, 51.0/255, 8
			entry.Spare = 0.5
		}
		entries = append(entries, entry)
	}
	for _, counter := range []*uint64{&entries[3].GaveR, &entries[3].GaveD, &entries[3].GotR, &entries[3].GotD} {
		*counter = math.MaxInt64
	}
	var got []borrowing.Entry
	messages := 0
	for rest := entries; len(rest) > 0; messages++ {
		var message []byte
		if message, rest = Append(nil, rest); len(message) > MaxMessageBytes {
			t.Fatalf("%d bytes", len(message))
		}
		var err error
		if got, err = Decode(got, message); err != nil {
			t.Fatal(err)
		}
	}
	if !reflect.DeepEqual(got, entries) || messages > 7 {
		t.Errorf("in %d messages: %+v", messages, got)
	}
}

// A message that is truncated, too long, of another version or of another kind gives an error and no entry.
func TestMalformedMessages(t *testing.T) {
	valid, _ := Append(nil, []borrowing.Entry{{Customer: 1, N: 2, GaveR: 300, Asks: true}, {Customer: 2, N: 2}})
	malformed := [][]byte{nil, {Magic}, append([]byte{Magic, formatVersion + 1}, valid[2:]...),
		append([]byte{5}, valid[1:]...), append(append([]byte(nil), valid...), 0),
		append(valid[:len(valid):len(valid)], make([]byte, MaxMessageBytes)...)}
	for i := range len(valid) {
		malformed = append(malformed, valid[:i])
	}
	for i, b := range malformed {
		if got, err := Decode(nil, b); err == nil || got != nil {
			t.Errorf("%d, %x: %v, %v", i, b, got, err)
		}
	}
}

// Of a malformed message no entry is given.
func FuzzDecode(f *testing.F) {
	valid, _ := Append(nil, []borrowing.Entry{{Customer: 1, N: 2, GaveD: 300, Asks: true, Answers: true, Want: 5,
		Fill: 3}})
	f.Add(valid)
	f.Fuzz(func(t *testing.T, b []byte) {
		entries, err := Decode(nil, b)
		if err != nil && entries != nil {
			t.Error("entries beside an error")
		}
	})
}
