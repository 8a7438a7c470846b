package relay

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/distribution"
)

// TestAgeStaysYoung guards against a relay that gives on what it knows at changes alone: what its parent says
// anew, with nothing changed, has to make what those below are told younger.
func TestAgeStaysYoung(t *testing.T) {
	s := distribution.NewSource("root", "till", distribution.Bounds{})
	up := server(t, s, nil)
	rules := stateOf(t, 1, 1, some(2, "h"))
	f := &File{Name: "r", Cluster: "till", Listen: "127.0.0.1:0", Control: "127.0.0.1:0", LeaseMS: 1000,
		Upstream: []string{up.at}, Store: filepath.Join(t.TempDir(), "copy")}
	f.Limits.Connections, f.Limits.WholeKB, f.Limits.WholeKBS = 16, 1024, 1024
	r, err := Start(f, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	c := NewClient([]string{r.At()}, AskPath)
	defer c.Close()
	a := distribution.Ask{Form: distribution.Form, Cluster: "till", From: "h", Index: -1}
	answered, oldest := 0, 0.0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		up.offer(distribution.View{Step: 1, Begun: Clock(), Settled: true, Rules: rules, Index: -1})
		if got, err := c.Ask(0, &a, 500); err == nil && got.Step > 0 {
			answered++
			oldest = max(oldest, got.Age)
		}
	}
	if answered < 20 || oldest > 800 {
		t.Errorf("%d answers, the oldest of %.0f ms, below a root that is confirmed each 20 ms", answered, oldest)
	}
}

// TestSameVersionAgain: a relay whose copy is of the version in force goes by it as soon as one above it says
// that this is so.
func TestSameVersionAgain(t *testing.T) {
	s := distribution.NewSource("root", "till", distribution.Bounds{})
	up := server(t, s, nil)
	rules := stateOf(t, 1, 1, some(2, "h"))
	f := &File{Name: "r", Cluster: "till", Listen: "127.0.0.1:0", Control: "127.0.0.1:0", LeaseMS: 1000,
		Upstream: []string{up.at}, Store: filepath.Join(t.TempDir(), "copy")}
	f.Limits.Connections, f.Limits.WholeKB, f.Limits.WholeKBS = 16, 1024, 1024
	for life := range 2 {
		r, err := Start(f, nil, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			up.offer(distribution.View{Step: 1, Begun: Clock(), Settled: true, Rules: rules, Index: -1})
			if s := r.Status(); s.Known && s.Copy.Written+int64(life) > 0 {
				break
			}
		}
		if s := r.Status(); !s.Known || s.Follow.Wholes != int64(1-life) || s.Follow.Deltas != 0 {
			t.Errorf("life %d: %+v %+v", life, s, s.Follow)
		}
		r.Close()
	}
}
