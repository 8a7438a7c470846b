package scale

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"willowdeck/internal/testkit/faultinject"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m) // a run leaves no goroutine behind
}

// rig has runs' files in a folder of their own, and checks at the end that no file and no process is left:
// each process of a run works below that folder.
func rig(t *testing.T) Programs {
	t.Helper()
	p := Programs{faultinject.Program(t, "willowdeck"), faultinject.Program(t, "willowdeck-lab")}
	dir, err := os.MkdirTemp("", "wds")
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("TMPDIR", dir)
	t.Cleanup(func() {
		left, _ := os.ReadDir(dir)
		for _, f := range left {
			if f.Name() != "willowdeck-ports" {
				t.Errorf("%s is left", f.Name())
			}
		}
		for _, cmd := range below(dir) {
			t.Errorf("a process is left: %q", cmd)
		}
		os.RemoveAll(dir)
	})
	return p
}

// below gives the command lines of processes that work below a folder.
func below(dir string) (all []string) {
	cwds, _ := filepath.Glob("/proc/[0-9]*/cwd")
	for _, link := range cwds {
		if at, err := os.Readlink(link); err == nil && strings.HasPrefix(at, dir) {
			cmd, _ := os.ReadFile(filepath.Join(filepath.Dir(link), "cmdline"))
			all = append(all, string(cmd))
		}
	}
	return all
}

func quick(t *testing.T, text string) *Scenario {
	t.Helper()
	s, err := Decode("name = \"quick\"\n" + text)
	if err != nil {
		t.Fatal(err)
	}
	s.Council.WindowS, s.Changes.Count, s.Changes.EveryMS, s.Changes.AwayMS = 1, 2, 300, 100
	s.Lists.Changes, s.Lists.EveryMS, s.Words.Periods = 4, 20, 3
	return s
}

// played runs a scenario to its end, and shows its table.
func played(t *testing.T, s *Scenario, p Programs) *Table {
	t.Helper()
	table, err := Run(context.Background(), s, p, zerolog.Nop())
	var page bytes.Buffer
	table.Print(&page)
	t.Logf("%s", page.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// bounded is a figure at 20 gatekeepers that has to be measured, and from least to most.
type bounded struct {
	role, name  string
	least, most float64
}

func within(t *testing.T, table *Table, all []bounded) {
	t.Helper()
	for _, c := range all {
		if v, there := table.Value(20, c.role, c.name); !there || !(v >= c.least && v <= c.most) {
			t.Errorf("%s of the %s: %v (measured: %t), not from %v to %v", c.name, c.role, v, there, c.least, c.most)
		}
	}
}

// A small size from end to end: real daemons and gatekeepers, hollow ones, lists and words. Its verdict is of
// what came to be and of what has to be so on any machine, not of how fast.
func TestRun(t *testing.T) {
	p := rig(t)
	s := quick(t, "sizes = [20]\nparts = [\"rules\", \"lists\", \"words\"]\n")
	table := played(t, s, p)
	within(t, table, []bounded{
		{fleetRole, "refused", 0, 0}, {fleetRole, "hosts", 4, 4}, {fleetRole, "asking", 17, 17},
		{fleetRole, "start", 1, 60000}, {fleetRole, "in_force_worst", 1, 30000},
		{fleetRole, "zone_back", 0.01, 60000},
		{keeperRole, "bytes_in_per_s", 1000, 20000}, {keeperRole, "answer_bytes", 1500, 3000},
		{keeperRole, "spoilt", 0, 0}, {keeperRole, "rss_real", 5, 200}, {councilRole, "bytes_out_per_s", 1000, 1e6},
		{councilRole, "rss", 5, 200}, {hostRole, "bytes_out_per_s", 1000, 1e6},
		{hostRole, "rss_each", 1000, 200000},
		{listRole, "workers", 278, 278}, {listRole, "refused", 0, 0}, {keeperRole, "change_bytes", 100, 300},
		{keeperRole, "words_period", 399, 401}, {keeperRole, "words_peers", 19, 19},
		{machineRole, "processes", 10, 11},
	})
}

// The same by relays, with changes while relays lie still and are killed, and a zone that comes back without
// any copy. No word of relays is spoilt, and gatekeepers are told changes alone.
func TestRelays(t *testing.T) {
	p := rig(t)
	s := quick(t, "distribution = \"relays\"\nsizes = [20]\nparts = [\"rules\"]\n[hollow]\nper_host = 5\n"+
		"[relays]\nregions = 1\nzones = 2\nfaults = true\n[changes]\nrestarts_per_s = 5\n")
	table := played(t, s, p)
	within(t, table, []bounded{
		{fleetRole, "refused", 0, 0}, {fleetRole, "hosts", 5, 5}, {fleetRole, "asking", 19, 19},
		{fleetRole, "start", 1, 60000}, {fleetRole, "in_force_worst", 1, 30000}, {fleetRole, "zone_back", 1, 60000},
		{fleetRole, "restarts", 1, 1000}, {fleetRole, "in_force_restarts", 1, 30000},
		{fleetRole, "in_force_still", 1, 30000}, {fleetRole, "in_force_killed", 1, 30000},
		{fleetRole, "in_force_leader", 1, 30000}, {fleetRole, "control_back", 1, 30000},
		{keeperRole, "bytes_in_per_s", 100, 5000}, {keeperRole, "spoilt", 0, 0}, {keeperRole, "rss_real", 5, 200},
		{keeperRole, "rules_real", 100, 5000}, {councilRole, "bytes_out_per_s", 1000, 1e6},
		{regionRole, "bytes_out_per_s", 500, 1e6}, {zoneRole, "bytes_out_per_s", 500, 1e6},
		{zoneRole, "rss", 5, 200},
		{machineRole, "processes", 15, 16},
	})
}

// A size beyond what the program takes is a result, with what the program said, and a trial beside it.
func TestRefused(t *testing.T) {
	p := rig(t)
	s := quick(t, "sizes = [12000]\nparts = [\"rules\"]\n")
	s.Hollow.Sample, s.Council.Daemons = 2, 1
	table := played(t, s, p)
	if v, _ := table.Value(12000, fleetRole, "refused"); v != 1 || len(table.Refused) != 1 ||
		!strings.Contains(table.Refused[0], "members: 12000 are more than") {
		t.Errorf("%v: %q", v, table.Refused)
	}
	for _, f := range table.Rows {
		if f.Role == keeperRole && f.Distribution != Direct+"-trial" {
			t.Errorf("a trial's figure is told as another: %+v", f)
		}
	}
	if v, there := table.Value(12000, keeperRole, "answer_bytes"); !there || v < 5e5 {
		t.Errorf("answers of %v bytes", v)
	}
}

// A run that is broken off, at any moment, and one whose time is up leave nothing behind.
func TestBrokenOff(t *testing.T) {
	p := rig(t)
	for _, ms := range []time.Duration{50, 300, 1500} {
		after := ms * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), after)
		_, err := Run(ctx, quick(t, "sizes = [20]\nparts = [\"rules\", \"lists\"]\n"), p, zerolog.Nop())
		cancel()
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("after %v: %v", after, err)
		}
	}
	s := quick(t, "sizes = [20]\nparts = [\"rules\"]\n[machine]\nsize_s = 1\n")
	if _, err := Run(context.Background(), s, p, zerolog.Nop()); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("its time is up: %v", err)
	}
	s.Machine.SizeS, s.Machine.Processes = 30, 4
	if _, err := Run(context.Background(), s, p, zerolog.Nop()); err == nil ||
		!strings.Contains(err.Error(), "machine.processes") {
		t.Errorf("too many processes: %v", err)
	}
	s.Machine.Processes, s.Machine.MemoryMB = 100, 100
	if _, err := Run(context.Background(), s, p, zerolog.Nop()); err == nil ||
		!strings.Contains(err.Error(), "machine.memory_mb") {
		t.Errorf("too little memory: %v", err)
	}
	if _, err := Run(context.Background(), s, Programs{"none", "none"}, zerolog.Nop()); err == nil {
		t.Error("a program that is not there")
	}
}

// A run that is killed outright leaves no process and no file either.
func TestKilled(t *testing.T) {
	p := rig(t)
	cmd := exec.Command(p.Lab, "scale", "../../../scenarios/scale-ci.toml", "--program", p.Willowdeck)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	tmp := os.Getenv("TMPDIR")
	faultinject.Until(t, 20*time.Second, "real gatekeepers run", func() bool {
		n := 0
		for _, c := range below(tmp) {
			if strings.HasSuffix(c, "serve\x00") {
				n++
			}
		}
		return n == 3
	})
	if err := cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Wait()
	faultinject.Until(t, 30*time.Second, "nothing is left", func() bool {
		left, _ := filepath.Glob(filepath.Join(tmp, "wdscale*"))
		return len(left) == 0 && len(below(tmp)) == 0
	})
}
