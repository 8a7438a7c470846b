package control

import (
	"testing"
	"time"
)

// TestSilentOrigins lets one core fall silent, in the view of a core that is in sync and of one that is not.
func TestSilentOrigins(t *testing.T) {
	e := &Engine{origins: newOriginTable()}
	if e.OriginSilent("a") {
		t.Error("silent before anything was published")
	}
	e.origins.observe(0, "a")
	e.origins.observe(0, "")
	e.origins.observe(2*time.Second, "b")
	cases := []struct {
		name   string
		now    time.Duration
		inSync bool
		silent map[string]bool
	}{
		{"both are alive", time.Second, true, map[string]bool{}},
		{"one has fallen silent", 2 * time.Second, true, map[string]bool{"a": true}},
		{"this core is partitioned itself", 9 * time.Second, false, map[string]bool{}},
		{"both are silent", 9 * time.Second, true, map[string]bool{"a": true, "b": true}},
	}
	for _, c := range cases {
		e.origins.publish(c.now, c.inSync)
		for _, incarnation := range []string{"a", "b", "", "never seen"} {
			if e.OriginSilent(incarnation) != c.silent[incarnation] {
				t.Errorf("%s: %q silent: %v", c.name, incarnation, e.OriginSilent(incarnation))
			}
		}
	}
	e.origins.observe(10*time.Second, "a")
	e.origins.publish(10*time.Second, true)
	if e.OriginSilent("a") {
		t.Error("silent although it has sent a message again")
	}
}
