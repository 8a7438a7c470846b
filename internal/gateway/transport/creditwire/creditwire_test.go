package creditwire

import (
	"math"
	"reflect"
	"testing"

	"willowdeck/internal/borrowing"
)

// What is told comes out as it went in, in as many messages as it takes, none over the limit.
func TestRoundTrip(t *testing.T) {
	var all []borrowing.Entry
	for i := range uint32(40) {
		e := borrowing.Entry{Customer: 1<<31 + i, Plan: uint8(i), N: 5, First: uint16(i * 7), Form: uint16(i * 999),
			GaveR: uint64(i) << 20, GotD: uint64(i) << 40, Known: i%2 == 0, Virgin: i%3 == 0}
		if i%4 == 0 {
			e.Asks, e.Nonce, e.Want = true, uint16(i+1), uint64(i+1)
		}
		if i%5 == 0 {
			e.Answers, e.Echo, e.GaveD, e.Left, e.Fill = true, 9, 77, 51.0/255, 8
			e.Spare = 0.5
		}
		all = append(all, e)
	}
	for _, v := range []*uint64{&all[3].GaveR, &all[3].GaveD, &all[3].GotR, &all[3].GotD} {
		*v = math.MaxInt64
	}
	var got []borrowing.Entry
	messages := 0
	for rest := all; len(rest) > 0; messages++ {
		var b []byte
		if b, rest = Append(nil, rest); len(b) > Limit {
			t.Fatalf("%d bytes", len(b))
		}
		var err error
		if got, err = Decode(got, b); err != nil {
			t.Fatal(err)
		}
	}
	if !reflect.DeepEqual(got, all) || messages > 7 {
		t.Errorf("in %d messages: %+v", messages, got)
	}
}

// What is cut, too long, of another version or not of this kind gives an error, and nothing of it is taken.
func TestBadMessages(t *testing.T) {
	good, _ := Append(nil, []borrowing.Entry{{Customer: 1, N: 2, GaveR: 300, Asks: true}, {Customer: 2, N: 2}})
	bad := [][]byte{nil, {Mark}, append([]byte{Mark, version + 1}, good[2:]...), append([]byte{5}, good[1:]...),
		append(append([]byte(nil), good...), 0), append(good[:len(good):len(good)], make([]byte, Limit)...)}
	for i := range len(good) {
		bad = append(bad, good[:i])
	}
	for i, b := range bad {
		if got, err := Decode(nil, b); err == nil || got != nil {
			t.Errorf("%d, %x: %v, %v", i, b, got, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	good, _ := Append(nil, []borrowing.Entry{{Customer: 1, N: 2, GaveD: 300, Asks: true, Answers: true, Want: 5,
		Fill: 3}})
	f.Add(good)
	f.Fuzz(func(t *testing.T, b []byte) {
		all, err := Decode(nil, b)
		if err != nil && all != nil {
			t.Error("an error, and entries")
		}
	})
}
