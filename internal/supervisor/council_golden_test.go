package supervisor

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"willowdeck/internal/gateway/lifecycle"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/strictoml"
)

// The files in testdata/golden/council were written once by the code of commit d6a566a: a scratch test had
// the daemon below write rules.json and answer the two requests, and encoded the Sitting; fleet.toml was
// written by hand. They stand for what old programs have stored or send, so that there is no flag that writes
// them again: if a test here fails, the code has changed the form, not the file.

func goldenCouncilFile(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "golden", "council", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func goldenCouncilBytes(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := goldenCouncilFile(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: the code writes\n%s\nnot\n%s", name, got, want)
	}
}

func goldenCouncilSame(t *testing.T, name string, got, want any, err error) {
	t.Helper()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: read as\n%+v\nnot as\n%+v\n%v", name, got, want, err)
	}
}

// goldenAgreedRules have no field that is zero.
func goldenAgreedRules(rate float64) ruleset.Rules {
	return ruleset.Rules{
		Format: 1, Needs: []string{"members"},
		Plans: []ruleset.Plan{{Name: "gold", Rate: rate, Burst: 12, CeilingRate: 13, CeilingDepth: 14,
			CreditSeconds: 0.5, RepayMillis: 15000}},
		Members: []ruleset.Member{{Name: "gk1", Host: "h1", Peers: "10.0.0.1:7001"}},
		WorkerOverrides: []ruleset.WorkerOverride{{Worker: "w1", Region: "hall1", Barred: true, Drained: true,
			Weight: 2.5}},
		Fallback: ruleset.Fallback{Fraction: 0.25, DurationMillis: 9000}, LeaseMillis: 1200,
		ConflictBoundMillis: 1900,
	}
}

// goldenLeaseVoice says what is in force; its other methods are not called.
type goldenLeaseVoice struct{ voice }

func (goldenLeaseVoice) HighestDiscoveryIndex() int64 { return 91 }

func (goldenLeaseVoice) InForce() ruleset.Version {
	return ruleset.Version{Number: 7, Rules: goldenAgreedRules(11)}
}

// RenewLease answers only if each value of the query has come under its own name.
func (v goldenLeaseVoice) RenewLease(pid int, name string, holds uint64, index int64) (ruleset.Lease, bool) {
	pending := goldenAgreedRules(11.5)
	return ruleset.Lease{Step: 41, Version: v.InForce(), TransitionComplete: true, Pending: &pending,
			AgeMillis: 12.5},
		pid == 4711 && name == "gk1" && holds == 40 && index == 90
}

// goldenCouncilDaemon keeps no instance: the members of the rules are of another host.
func goldenCouncilDaemon(t *testing.T) *Daemon {
	t.Helper()
	dir := t.TempDir()
	file := &File{Control: "127.0.0.1:7100", Listen: "127.0.0.1:7200", Operators: "127.0.0.1:7300",
		Config: filepath.Join(dir, "gatekeeper.toml"), Council: &CouncilFile{Me: "h9"}}
	if err := os.WriteFile(file.Config, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	d := &Daemon{fleet: &Fleet{RunDir: dir, Agreed: &Agreed{}, file: file}, by: map[string]*place{},
		seat: &seat{voice: goldenLeaseVoice{}, file: file}, keeper: NewKeeper(Pace{}, 1)}
	d.pids.Store(4711, "gk1")
	return d
}

// A daemon starts with the rules that one before it has carried out last.
func TestGoldenLastRulesOfCouncil(t *testing.T) {
	d := goldenCouncilDaemon(t)
	path := filepath.Join(d.fleet.RunDir, "rules.json")
	if err := os.WriteFile(path, goldenCouncilFile(t, "rules.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := d.fleet.last()
	want := goldenAgreedRules(11)
	goldenCouncilSame(t, "rules.json", got, &want, err)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := d.carry(); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	goldenCouncilBytes(t, "rules.json", raw)
}

// What instances of an older program ask, and what operators read.
func TestGoldenCouncilAnswers(t *testing.T) {
	d := goldenCouncilDaemon(t)
	for _, c := range []struct {
		name, path string
		answer     http.HandlerFunc
	}{
		{"lease.json", "/?instance=gk1&pid=4711&holds=40&index=90", d.lease},
		{"rules.txt", "/", d.rulesText},
	} {
		w := httptest.NewRecorder()
		c.answer(w, httptest.NewRequest(http.MethodGet, c.path, nil))
		if w.Code != http.StatusOK {
			t.Errorf("%s: %d", c.name, w.Code)
		}
		goldenCouncilBytes(t, c.name, w.Body.Bytes())
		if index := w.Header().Get("X-Discovery-Index"); c.name == "lease.json" && index != "91" {
			t.Errorf("%s: the header of the highest index says %q", c.name, index)
		}
	}
	if lifecycle.LeasePath != "/fleet/lease" {
		t.Errorf("instances of an older program ask at /fleet/lease, not at %s", lifecycle.LeasePath)
	}
	pending := goldenAgreedRules(11.5)
	got, err := ruleset.DecodeLease(goldenCouncilFile(t, "lease.json"))
	goldenCouncilSame(t, "lease.json", got, ruleset.Lease{Step: 41, Version: goldenLeaseVoice{}.InForce(),
		TransitionComplete: true, Pending: &pending, AgeMillis: 12.5}, err)
}

func goldenSitting() Sitting {
	return Sitting{
		Status: raftlog.Status{State: "member", Reason: "why", HostName: "h1", DiskID: "a1", GroupID: "c",
			LeaderName: "h2",
			Term:       3, AppliedIndex: 44, Hosts: []raftlog.HostStatus{{Name: "h2", Address: "10.0.0.2:9000",
				DiskID:   "a2",
				IsMember: true, IsLeader: true, SinceContactMillis: 12.5, LastError: "late"}}},
		Rules: raftlog.ActivationStatus{Version: 7, Digest: "abc", Step: 41, Settled: true, ReadAgeMillis: 3.5,
			PendingVersion: 8,
			PendingReason:  "it waits"},
	}
}

func TestGoldenSitting(t *testing.T) {
	var got Sitting
	err := json.Unmarshal(goldenCouncilFile(t, "sitting.json"), &got)
	goldenCouncilSame(t, "sitting.json", got, goldenSitting(), err)
	raw, err := json.MarshalIndent(goldenSitting(), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	goldenCouncilBytes(t, "sitting.json", raw)
}

// The settings of a council and of relays in a fleet's file have no tags either.
func TestGoldenCouncilSettings(t *testing.T) {
	var f File
	if err := strictoml.Decode(string(goldenCouncilFile(t, "fleet.toml")), &f); err != nil {
		t.Fatal(err)
	}
	goldenCouncilSame(t, "council", f.Council, &CouncilFile{Me: "h1", Listen: "10.0.0.1:9000",
		Store: "council.db", Rules: "rules.toml", Found: true, Serve: "10.0.0.1:9100",
		Hosts: []struct{ Name, Address string }{{"h1", "10.0.0.1:9000"}, {"h2", "10.0.0.2:9000"}}}, nil)
	goldenCouncilSame(t, "relay", f.Relay, &RelayFile{Me: "h3", Upstream: []string{"10.0.0.1:9100"},
		Store: "relay.db"}, nil)
	goldenCouncilSame(t, "reach", f.Reach, map[string]map[string]string{
		"gk1": {"10.0.0.2:7002": "127.0.0.1:7002"}}, nil)
}
