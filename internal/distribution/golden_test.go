package distribution

import (
	"bytes"
	"encoding/json"
	"testing"

	"willowdeck/internal/testkit/goldenform"
	"willowdeck/internal/versioned"
)

// The golden files were written once, at commit d6a566a, by a test that was not kept: it wrote what
// Form.Encode made of Form.Value. They stand for what an earlier program stored and sent, and are never
// written again; a test that fails here is met by a tag or a type of the old form.

var goldenForms = []goldenform.Form{
	{File: "ask.cbor", New: func() any { return &Request{} },
		Encode: func(v any) ([]byte, error) { return v.(*Request).Encode() },
		Decode: func(raw []byte, into any) error {
			a, err := DecodeRequest(raw)
			if err == nil {
				*into.(*Request) = *a
			}
			return err
		}},
	{File: "answer.cbor", New: func() any { return &Response{} },
		Encode: func(v any) ([]byte, error) { return v.(*Response).Encode() },
		Decode: func(raw []byte, into any) error {
			a, err := DecodeResponse(raw)
			if err == nil {
				*into.(*Response) = *a
			}
			return err
		}},
	{File: "counts.json", New: func() any { return &FollowerCounts{} }, Encode: json.Marshal,
		Decode: json.Unmarshal},
	{File: "source-counts.json", New: func() any { return &SourceCounts{} }, Encode: json.Marshal,
		Decode: json.Unmarshal},
}

func TestGoldenMessages(t *testing.T) {
	for _, form := range goldenForms {
		t.Run(form.File, form.Check)
	}
}

func goldenState() *versioned.State {
	return versioned.New(7, []versioned.Entry{{Key: "plan/0003", Value: []byte("a plan")},
		{Key: "rules", Value: []byte("a header")}})
}

// longState is one that is stored compressed.
func longState() *versioned.State {
	return versioned.New(8, []versioned.Entry{{Key: "rules", Value: bytes.Repeat([]byte("header "), 300)}})
}

// A compressed file's bytes are the compressor's own affair, and may change with its version: there the first
// byte, which says how the rest is written, has to stay.
func TestGoldenState(t *testing.T) {
	for file, want := range map[string]*versioned.State{"state.cbor": goldenState(),
		"state-packed.cbor": longState()} {
		golden := goldenform.Read(t, file)
		got, err := DecodeState(golden)
		if err != nil || got.ID() != want.ID() {
			t.Errorf("%s: %v: %v, want %v", file, err, got.ID(), want.ID())
		}
		for key, value := range want.All() {
			if have, there := got.Get(key); !there || !bytes.Equal(have, value) {
				t.Errorf("%s: %s is %q, want %q", file, key, have, value)
			}
		}
		raw, err := EncodeState(want)
		if err != nil || raw[0] != golden[0] || golden[0] == encodingPlain && !bytes.Equal(raw, golden) {
			t.Errorf("%s: %v: the state is encoded as %q, want %q", file, err, raw, golden)
		}
	}
	if how := goldenform.Read(t, "state-packed.cbor")[0]; how != 0x02 {
		t.Errorf("a compressed state begins with %#x", how)
	}
}
