package control

import (
	"testing"
	"time"
)

// TestSilentOrigins checks which incarnations count as silent as time passes without presence messages. While
// this core is not in sync, none may count as silent, since this core may be partitioned itself.
func TestSilentOrigins(t *testing.T) {
	e := &Engine{origins: newOriginTable("own")}
	if e.OriginSilent("a") {
		t.Error("an incarnation is silent before the set of silent ones was published")
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
		{"both cores are alive", time.Second, true, map[string]bool{}},
		{"one core is silent", 2 * time.Second, true, map[string]bool{"a": true}},
		{"this core is not in sync", 9 * time.Second, false, map[string]bool{}},
		{"both cores are silent", 9 * time.Second, true, map[string]bool{"a": true, "b": true}},
	}
	for _, c := range cases {
		e.origins.publish(c.now, c.inSync)
		for _, incarnation := range []string{"a", "b", "", "never seen"} {
			if e.OriginSilent(incarnation) != c.silent[incarnation] {
				t.Errorf("%s: OriginSilent of %q is %v", c.name, incarnation, e.OriginSilent(incarnation))
			}
		}
	}
	e.origins.observe(10*time.Second, "a")
	e.origins.publish(10*time.Second, true)
	if e.OriginSilent("a") {
		t.Error("an incarnation is silent although it has just sent a presence message")
	}
}

// TestUnheardOriginIsSilent guards against DRAIN (issue 75): the directory named edges for good that had died
// together with their core, where this core had started since, or had last heard that core long ago.
func TestUnheardOriginIsSilent(t *testing.T) {
	e := &Engine{origins: newOriginTable("own")}
	e.origins.publish(time.Second, true)
	if e.OriginSilent("dead") {
		t.Error("an incarnation is silent before it could have been heard")
	}
	now := time.Second + silentCoreTimeout + time.Millisecond
	e.origins.observe(now, "alive")
	e.origins.publish(now, true)
	for origin, want := range map[string]bool{"dead": true, "alive": false, "own": false} {
		if got := e.OriginSilent(origin); got != want {
			t.Errorf("%s: silent: %v", origin, got)
		}
	}
	for ; now < 2*unlinkedEdgeRetention; now += time.Second {
		e.origins.publish(now, true)
	}
	if !e.OriginSilent("alive") {
		t.Error("an incarnation that was last heard long ago is not silent")
	}
	e.origins.publish(now, false)
	if e.OriginSilent("dead") {
		t.Error("an incarnation is silent at a core that is not in sync")
	}
}
