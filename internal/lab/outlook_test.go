package lab

import (
	"context"
	"flag"
	"testing"

	"willowdeck/internal/emu"
	"willowdeck/internal/outlook"
)

var foreseeSeeds = flag.Int("foresee", 1, "seeds that losses of halls are projected and played with")

func TestForesee(t *testing.T) {
	for _, name := range []string{"halls20", "halls300"} {
		s, err := emu.Read("../../scenarios/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		losses := []outlook.Loss{{Kind: outlook.Whole, Halls: []string{"hall0"}},
			{Kind: outlook.Whole, Halls: []string{"hall0", "hall1"}},
			{Kind: outlook.Keepers, Halls: []string{"hall0"}}, {Kind: outlook.Links, Halls: []string{"hall0"}},
			{Kind: outlook.Slowed, Halls: []string{"hall0"}}}
		for seed := int64(1); seed <= int64(*foreseeSeeds); seed++ {
			all, o, err := Foresee(context.Background(), s, seed, 10, losses)
			if err != nil {
				t.Fatal(err)
			}
			if seed == 1 {
				t.Logf("%+v", o.Now)
			}
			for _, f := range all {
				t.Logf("%s %v %v: asked %.1f foretold %.1f found %.1f error %.3f load %.3f", name, f.Loss.Kind,
					f.Loss.Halls, f.Asked, f.Foretold, f.Found, f.Error(), f.LoadError())
				t.Log(f.Loads, s.Gatekeepers.Count)
			}
		}
	}
}

func TestDump(t *testing.T) {
	s, _ := emu.Read("../../scenarios/halls20.toml")
	_, o, _ := Foresee(context.Background(), s, 1, 6, nil)
	for _, c := range o.Losses[:8] {
		t.Logf("%+v\n", c)
	}
}
