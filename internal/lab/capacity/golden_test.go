package capacity

import (
	"testing"

	"willowdeck/internal/strictoml"
	"willowdeck/internal/testkit/goldenform"
)

// The golden file was written once, at commit d6a566a, by a test that was not kept: TOML with every key of
// Form.Value in lower case. It stands for what operators have written, and is never written again; a test
// that fails here is met by a tag with the old key.

func goldenSpec() goldenform.Form {
	return goldenform.Form{File: "spec.toml", New: func() any { return &Spec{} },
		Decode: func(raw []byte, into any) error { return strictoml.Decode(string(raw), into) }}
}

func TestGoldenSpec(t *testing.T) { goldenSpec().Check(t) }
