package distribution

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

func drawMark(t *rapid.T) versioned.VersionID {
	m := versioned.VersionID{Number: uint64(rapid.IntRange(0, 3).Draw(t, "number"))}
	if m.Number > 0 {
		copy(m.Digest[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "digest"))
	}
	return m
}

func drawDelta(t *rapid.T) *versioned.Delta {
	if rapid.Bool().Draw(t, "no delta") {
		return nil
	}
	d := &versioned.Delta{From: drawMark(t), To: drawMark(t)}
	for range rapid.IntRange(0, 4).Draw(t, "set") {
		d.Set = append(d.Set, versioned.Entry{Key: rapid.StringN(0, 9, 20).Draw(t, "key"),
			Value: rapid.SliceOfN(rapid.Byte(), 1, 600).Draw(t, "value")})
	}
	for range rapid.IntRange(0, 4).Draw(t, "drop") {
		d.Delete = append(d.Delete, rapid.StringN(0, 9, 20).Draw(t, "key"))
	}
	return d
}

// TestMessages: a message is decoded as it was encoded, encoding is deterministic, and a message with a
// flipped bit or a missing end is rejected.
func TestMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := &Request{FormatVersion: FormatVersion, Cluster: "c",
			Sender:   rapid.StringN(0, 9, 20).Draw(t, "from"),
			Interest: ruleset.Interest{All: rapid.Bool().Draw(t, "all"), Name: "n", Around: 3},
			Step:     rapid.Uint64().Draw(t, "step"), Rules: drawMark(t), Pending: drawMark(t),
			RenewalOnly: rapid.Bool().Draw(t, "quiet"), DiscoveryIndex: rapid.Int64().Draw(t, "index"),
			ProcessID: rapid.IntRange(0, 1<<22).Draw(t, "process"), AckedStep: rapid.Uint64().Draw(t, "holds")}
		for range rapid.IntRange(0, 100).Draw(t, "facts") {
			request.HostAcks = append(request.HostAcks, HostAck{Host: "host", Step: rapid.Uint64().Draw(t, "step")})
		}
		response := &Response{FormatVersion: FormatVersion, Cluster: "c", Sender: "f",
			Incarnation: rapid.Uint64().Draw(t, "life"),
			Depth:       rapid.IntRange(0, 9).Draw(t, "depth"), Step: rapid.Uint64().Draw(t, "step"),
			TransitionComplete: rapid.Bool().Draw(t, "settled"), AgeMillis: rapid.Float64Range(0, 1e6).Draw(t, "age"),
			DiscoveryIndex: rapid.Int64().Draw(t, "index"), Rules: drawMark(t), Pending: drawMark(t),
			RulesDelta: drawDelta(t), PendingDelta: drawDelta(t), RetryAfterMillis: rapid.Float64Range(0, 1e4).Draw(t,
				"busy")}
		raw, err := request.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeRequest(raw); err != nil || !reflect.DeepEqual(got, request) {
			t.Fatalf("%v\n%+v\n%+v", err, got, request)
		}
		encoded, err := response.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeResponse(encoded); err != nil || !reflect.DeepEqual(got, response) {
			t.Fatalf("%v\n%+v\n%+v", err, got, response)
		}
		if again, _ := response.Encode(); !bytes.Equal(again, encoded) {
			t.Fatal("encoding is not deterministic")
		}
		at := rapid.IntRange(0, len(encoded)-1).Draw(t, "at")
		flipped := bytes.Clone(encoded)
		flipped[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if _, err := DecodeResponse(flipped); err == nil {
			t.Fatalf("decoded with a bit flipped at %d of %d", at, len(encoded))
		}
		if _, err := DecodeResponse(encoded[:at]); err == nil {
			t.Fatalf("%d of %d bytes are decoded", at, len(encoded))
		}
	})
}

func TestMessagesAreBounded(t *testing.T) {
	if _, err := DecodeRequest(make([]byte, MaxRequestBytes+1)); !errors.Is(err, ErrTooLong) {
		t.Errorf("%v", err)
	}
	bomb, err := encode(make([]byte, MaxResponseBytes+1))
	if err != nil || len(bomb) > 1<<20 {
		t.Fatalf("%v, %d bytes", err, len(bomb))
	}
	if _, err := DecodeResponse(bomb); !errors.Is(err, ErrTooLong) {
		t.Errorf("%v", err)
	}
	tooManyEntries, err := encode(&Response{FormatVersion: FormatVersion,
		RulesDelta: &versioned.Delta{Delete: make([]string, maxEntries+1)}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeResponse(tooManyEntries); !errors.Is(err, ErrMalformed) {
		t.Errorf("%v", err)
	}
	for _, raw := range [][]byte{nil, {encodingPlain}, {9, 0, 0, 0, 0, 0}} {
		if _, err := DecodeResponse(raw); err == nil {
			t.Errorf("%v is decoded", raw)
		}
	}
	if raw, err := (&Response{AgeMillis: math.NaN()}).Encode(); err != nil {
		t.Fatal(err)
	} else if _, err := DecodeResponse(raw); !errors.Is(err, ErrMalformed) {
		t.Errorf("%v", err)
	}
}

// TestUnknownKeysAreIgnored: a later program may add keys under the same format version.
func TestUnknownKeysAreIgnored(t *testing.T) {
	raw, err := encode(map[int]any{1: FormatVersion, 2: "c", 3: "f", 8: 1.5, 99: "news"})
	if err != nil {
		t.Fatal(err)
	}
	if a, err := DecodeResponse(raw); err != nil || a.AgeMillis != 1.5 || a.DiscoveryIndex != -1 {
		t.Errorf("%v %+v", err, a)
	}
}

func TestStoredStates(t *testing.T) {
	s := testState(t, 7, testRules(300, 96))
	raw, err := EncodeState(s)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeState(raw); err != nil || got.ID() != s.ID() {
		t.Errorf("%v", err)
	}
	if raw, err = EncodeState(nil); err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeState(raw); err != nil || got != nil {
		t.Errorf("%v %v", err, got)
	}
	delta, err := encode(versioned.Diff(s, testState(t, 8, testRules(300, 48))))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeState(delta); err == nil {
		t.Error("a delta is decoded as a state")
	}
	d := versioned.FullDelta(s)
	d.Set = d.Set[1:]
	if raw, err = encode(d); err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeState(raw); !errors.Is(err, versioned.ErrDigestMismatch) {
		t.Errorf("%v", err)
	}
}

// TestSizes: renewals are small, and versions are no longer than they need to be.
func TestSizes(t *testing.T) {
	s := NewSource("region-0-relay-1", "fleet", SourceConfig{})
	v1, v2 := testState(t, 41, testRules(7900, 96)), testState(t, 42, testRules(7900, 48))
	size := func(a *Request) (int, int) {
		r, err := s.Respond(a, 2000)
		if err != nil {
			t.Fatal(err)
		}
		x, err := a.Encode()
		y, errResponse := r.Encode()
		if err != nil || errResponse != nil {
			t.Fatal(err, errResponse)
		}
		return len(x), len(y)
	}
	for _, test := range []struct {
		name      string
		in        ruleset.Interest
		fullState int
	}{{"a relay", ruleset.Interest{All: true}, 300000},
		{"a gateway", ruleset.Interest{Name: "g77", Around: 20}, 2500},
		{"a gateway with 250 on either side", ruleset.Interest{Name: "g777", Around: 250}, 12000},
		{"a host", ruleset.Interest{Host: "h77", Around: 20}, 2500}} {
		a := &Request{FormatVersion: FormatVersion, Cluster: "fleet", Sender: "host-0077", Interest: test.in,
			Step:           80,
			DiscoveryIndex: 123456,
			ProcessID:      4321, AckedStep: 80, Nonce: 1 << 60}
		s.Publish(Snapshot{Step: 80, ReadStartMillis: 1900, Rules: v1, DiscoveryIndex: 123456})
		_, fullState := size(a)
		a.Rules = ruleset.Select(v1, test.in).ID()
		request, renewal := size(a)
		s.Publish(Snapshot{Step: 81, ReadStartMillis: 1900, Rules: v2, DiscoveryIndex: 123456})
		_, delta := size(a)
		s = NewSource("region-0-relay-1", "fleet", SourceConfig{})
		t.Logf("%s: %d bytes of a request, %d of a renewal, %d of a version of one plan, %d of a full state",
			test.name,
			request, renewal, delta, fullState)
		if request > 120 || renewal > 120 || delta > 250 || fullState > test.fullState {
			t.Errorf("%s: too long", test.name)
		}
	}
}

// addChecksum makes a plain message of a body, with the right checksum.
func addChecksum(body []byte) []byte {
	out := append([]byte{encodingPlain}, body...)
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(out, castagnoli))
}

func FuzzDecodeResponse(f *testing.F) {
	s := testState(f, 1, testRules(3, 96))
	raw, _ := (&Response{FormatVersion: FormatVersion, Cluster: "c", Step: 2, Rules: s.ID(),
		RulesDelta: versioned.FullDelta(s)}).Encode()
	f.Add(raw[1 : len(raw)-checksumBytes])
	f.Fuzz(func(t *testing.T, body []byte) {
		raw := addChecksum(body)
		a, err := DecodeResponse(raw)
		if err != nil {
			return
		}
		fl := NewFollower(FollowerConfig{Name: "f", Cluster: "c", Upstreams: 1,
			Interest: ruleset.Interest{All: true}}, 0)
		fl.AdvanceClock(1000)
		fl.HandleResponse(0, 1000, a)
		if v, ok := fl.Snapshot(); ok && (v.Rules.ID() != a.Rules || v.Pending.ID() != a.Pending ||
			versioned.New(v.Rules.ID().Number, versioned.FullDelta(v.Rules).Set).ID() != a.Rules) {
			t.Fatalf("%+v of %+v", v, a)
		}
	})
}

func FuzzDecodeRequest(f *testing.F) {
	raw, _ := (&Request{FormatVersion: FormatVersion, Cluster: "c", Sender: "f",
		HostAcks: []HostAck{{Host: "h", Step: 1}}}).Encode()
	f.Add(raw[1 : len(raw)-checksumBytes])
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := DecodeRequest(addChecksum(body))
		if err != nil {
			return
		}
		s := NewSource("s", "c", SourceConfig{})
		s.Publish(Snapshot{Step: 1, Rules: testState(t, 1, testRules(4, 96)), DiscoveryIndex: -1})
		if r, err := s.Respond(a, 10); err == nil {
			if _, err := r.Encode(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// BenchmarkRenewal is an exchange without the network: what a hop costs the requester and the responder.
func BenchmarkRenewal(b *testing.B) {
	s := NewSource("zone-0-relay-1", "fleet", SourceConfig{})
	v := testState(b, 41, testRules(7900, 96))
	in := ruleset.Interest{Name: "g77", Around: 20}
	s.Publish(Snapshot{Step: 80, ReadStartMillis: 1900, Rules: v, DiscoveryIndex: 123456})
	a := &Request{FormatVersion: FormatVersion, Cluster: "fleet", Sender: "host-0077", Interest: in, Step: 80,
		DiscoveryIndex: 123456,
		ProcessID:      4321, AckedStep: 80, Rules: ruleset.Select(v, in).ID(), Nonce: 1 << 60}
	raw, err := a.Encode()
	if err != nil {
		b.Fatal(err)
	}
	f := NewFollower(FollowerConfig{Name: "f", Cluster: "fleet", Upstreams: 1, Interest: in}, 0)
	fullState, err := s.Respond(&Request{FormatVersion: FormatVersion, Cluster: "fleet", Sender: "f",
		Interest:       in,
		DiscoveryIndex: -1}, 1900)
	if err != nil {
		b.Fatal(err)
	}
	f.AdvanceClock(2000)
	f.HandleResponse(0, 2000, fullState)
	b.Run("responder", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			q, err := DecodeRequest(raw)
			if err != nil {
				b.Fatal(err)
			}
			r, err := s.Respond(q, 2000)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := r.Encode(); err != nil {
				b.Fatal(err)
			}
		}
	})
	r, err := s.Respond(a, 2000)
	if err != nil {
		b.Fatal(err)
	}
	r.Nonce = 0
	encoded, err := r.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("requester", func(b *testing.B) {
		b.ReportAllocs()
		now := 2000.0
		for b.Loop() {
			now += 0.001
			f.AdvanceClock(now)
			if _, err := a.Encode(); err != nil {
				b.Fatal(err)
			}
			x, err := DecodeResponse(encoded)
			if err != nil {
				b.Fatal(err)
			}
			f.HandleResponse(0, now, x)
		}
	})
}

// BenchmarkVersion sends a version through a relay with 564 hosts below it, with a selection for each host.
func BenchmarkVersion(b *testing.B) {
	for _, around := range []int{20, 250} {
		b.Run(fmt.Sprint(around), func(b *testing.B) { benchmarkVersionTo564Hosts(b, around) })
	}
}

func benchmarkVersionTo564Hosts(b *testing.B, around int) {
	b.Helper()
	from, to := testState(b, 41, testRules(7900, 96)), testState(b, 42, testRules(7900, 48))
	var requests []*Request
	for i := range 564 {
		in := ruleset.Interest{Host: fmt.Sprint("h", i), Around: around}
		requests = append(requests, &Request{FormatVersion: FormatVersion, Cluster: "fleet", Sender: in.Host,
			Interest:       in,
			DiscoveryIndex: -1,
			Rules:          ruleset.Select(from, in).ID()})
	}
	for b.Loop() {
		b.StopTimer()
		s := NewSource("zone-0-relay-1", "fleet", SourceConfig{})
		s.Publish(Snapshot{Step: 80, ReadStartMillis: 1900, Rules: from, DiscoveryIndex: -1})
		for _, a := range requests {
			if _, err := s.Respond(a, 1900); err != nil {
				b.Fatal(err)
			}
		}
		b.StartTimer()
		s.Publish(Snapshot{Step: 81, ReadStartMillis: 1900, Rules: to, DiscoveryIndex: -1})
		for _, a := range requests {
			if r, err := s.Respond(a, 1900); err != nil || r.RulesDelta == nil || r.RulesDelta.From.IsNone() {
				b.Fatal(err, r)
			}
		}
	}
}
