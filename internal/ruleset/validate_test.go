package ruleset

import "testing"

// A subset of rules has vacant indexes for other members; Validate would reject it for that alone.
func TestValidateSubset(t *testing.T) {
	s, _ := VersionToState(&Version{Number: 1, Rules: *smallRules(96, "abc")})
	for _, in := range []Interest{{Name: "a"}, {}} {
		v, err := VersionFromState(Select(s, in))
		if err != nil || ValidateSubset(&v.Rules) != nil || Validate(&v.Rules) == nil {
			t.Errorf("%v, %v, %v", err, ValidateSubset(&v.Rules), Validate(&v.Rules))
		}
	}
	bad := smallRules(-1, "a")
	if ValidateSubset(bad) == nil {
		t.Error("a rate below nought is taken")
	}
}
