package control

import (
	"testing"
	"time"
)

// TestSilentWriters lets one core fall silent, in the view of another that is sure of its own footing, and
// of one that is not.
func TestSilentWriters(t *testing.T) {
	e := &Engine{writers: newWriterTable()}
	if e.SilentWriter("a") {
		t.Error("silent before anything was published")
	}
	e.writers.heard(0, "a")
	e.writers.heard(0, "")
	e.writers.heard(2*time.Second, "b")
	cases := []struct {
		name   string
		now    time.Duration
		sure   bool
		silent map[string]bool
	}{
		{"both speak", time.Second, true, map[string]bool{}},
		{"one has fallen silent", 2 * time.Second, true, map[string]bool{"a": true}},
		{"this core is cut off itself", 9 * time.Second, false, map[string]bool{}},
		{"both are silent", 9 * time.Second, true, map[string]bool{"a": true, "b": true}},
	}
	for _, c := range cases {
		e.writers.publish(c.now, c.sure)
		for _, life := range []string{"a", "b", "", "never heard"} {
			if e.SilentWriter(life) != c.silent[life] {
				t.Errorf("%s: %q silent: %v", c.name, life, e.SilentWriter(life))
			}
		}
	}
	e.writers.heard(10*time.Second, "a")
	e.writers.publish(10*time.Second, true)
	if e.SilentWriter("a") {
		t.Error("silent although it has spoken again")
	}
}
