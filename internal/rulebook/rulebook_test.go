package rulebook

import (
	"reflect"
	"strings"
	"testing"
)

const least = "[[members]]\nname = \"a\"\nhost = \"h\"\n"

// What is wrong is named by line or key, and gives no rules: guards against a change that is half taken.
func TestDecode(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{least, ""},
		{"leese_ms = 5\n" + least, "line 1: leese_ms: unknown key"},
		{"lease_ms = \"x\"\n" + least, "lease_ms"},
		{"lease_ms = \n", "line 1"},
		{"lease_ms = 1800\n" + least, "lease_ms: 1800"},
		{"lease_ms = nan\n" + least, "lease_ms: NaN"},
		{"form = 2\n" + least, `needs: "form 2"`},
		{"needs = [\"tides\"]\n" + least, `needs: "tides"`},
		{"[fallback]\npart = 1.5\n" + least, "fallback.part: 1.5"},
		{"[[plans]]\nname = \"p\"\nceiling_rate = 5\n" + least, "plans.p.ceiling_rate"},
		{"[[plans]]\nname = \"p\"\nrate = 5\ncredit_s = 1\n" + least, "plans.p.repay_s"},
		{least + "peers = \"x\"\n" + least, "members.1.name"},
		{least + "[[words]]\nbarred = true\n", "words.0.worker"},
		{strings.Repeat("#", MostOf+1), "more than"},
		{"", "members"},
	} {
		r, err := Decode(c.text)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.60q: %v, not %q", c.text, err, c.want)
		}
		if err != nil && !reflect.ValueOf(r).IsZero() {
			t.Errorf("%.60q: rules beside an error", c.text)
		}
	}
}

// The operators' example holds, says every key, and comes back from its own encoding as it was.
func TestExample(t *testing.T) {
	r, err := Read("../../deploy/rules.toml")
	if err != nil {
		t.Fatal(err)
	}
	text, err := Encode(&r)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Decode(text)
	if err != nil || !reflect.DeepEqual(r, again) {
		t.Errorf("%v\n%+v\n%+v\n%s", err, r, again, text)
	}
	if len(r.Plans) != 2 || len(r.Members) != 3 || len(r.Words) != 2 || r.Plans[0].Repay != 60000 {
		t.Errorf("%+v", r)
	}
}
