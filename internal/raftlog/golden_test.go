package raftlog

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"

	"willowdeck/internal/ruleset"
)

// The files in testdata/golden were written once by the code of commit d6a566a: a scratch test encoded the
// values below and copied the store of buildGoldenStore. They stand for what old programs have stored or
// send, so that there is no flag that writes them again: if a test here fails, the code has changed the
// form, not the file.

func goldenFile(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	must(t, err)
	return raw
}

// fullOf fails where any field below v is zero: a field that is zero could drop out of a form unseen.
func fullOf(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() || (v.Kind() == reflect.Slice || v.Kind() == reflect.Map) && v.Len() == 0 {
		t.Errorf("%s is zero", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		fullOf(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.Name != "_" {
				fullOf(t, path+"."+f.Name, v.Field(i))
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			fullOf(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			fullOf(t, fmt.Sprintf("%s[%v]", path, k), v.MapIndex(k))
		}
	}
}

// goldenJSON reads a file into a value of its own type, and encodes that which was written once more.
func goldenJSON[T any](t *testing.T, name string, want T) {
	t.Helper()
	fullOf(t, name, reflect.ValueOf(want))
	raw := goldenFile(t, name)
	var got T
	if err := json.Unmarshal(raw, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: decoded to\n%+v\nnot to\n%+v\n%v", name, got, want, err)
	}
	if b, err := json.Marshal(want); err != nil || !bytes.Equal(b, raw) {
		t.Errorf("%s: encoded to\n%s\nnot to\n%s\n%v", name, b, raw, err)
	}
}

func goldenHello() hello {
	return hello{Form: 1, Cluster: "c1", Name: "h1", ID: "00000000000000a1", To: "00000000000000a2",
		Council: "0123456789abcdef", Seq: 17, Blank: true, Hosts: []string{"h1", "h2"}, Index: 91}
}

func goldenReply() reply {
	return reply{hello: goldenHello(), For: "00000000000000a3", Heard: 16, Gone: true, Voter: true,
		Leader: "h2", Says: "asked the others"}
}

func goldenPacket() packet {
	return packet{hello: goldenHello(), Messages: [][]byte{{1, 2, 3}, {4, 5}}}
}

// The messages between the daemons of hosts.
func TestGoldenMessages(t *testing.T) {
	goldenJSON(t, "reply.json", goldenReply())
	goldenJSON(t, "packet.json", goldenPacket())
	if Form != 1 {
		t.Errorf("the form of messages is %d; old programs speak 1", Form)
	}
}

// Daemons of two versions meet at these paths.
func TestGoldenPaths(t *testing.T) {
	mux := (&Council{}).handler().(*http.ServeMux)
	for _, path := range []string{"/council/hello", "/council/raft", "/council/join"} {
		_, pattern := mux.Handler(httptest.NewRequest(http.MethodPost, path, nil))
		sameAs(t, path, pattern, "POST "+path)
	}
}

// Operators count what was refused by these names.
func TestGoldenReasons(t *testing.T) {
	sameAs(t, "reasons", []string{tooLong, garbled, otherForm, otherName, stranger, otherDisk, crowded},
		[]string{"too_long", "garbled", "other_form", "other_cluster", "stranger", "other_disk", "queue_full"})
}

func goldenView() View {
	return View{State: "member", Why: "why", Me: "h1", Disk: "a1", Council: "c", Leader: "h2", Term: 3,
		Applied: 44,
		Hosts: []HostView{{Name: "h2", Address: "10.0.0.2:9000", Disk: "a2", Member: true, Leads: true,
			HeardMS: 12.5, Why: "late"}},
		Refused: map[string]int64{"garbled": 2}, Last: map[string]string{"garbled": "what"},
		Aside: map[string]int{"torn": 1}}
}

func goldenAgreement() Agreement {
	return Agreement{Version: 7, Mark: "abc", Step: 41, Settled: true, ReadMS: 3.5, Pending: 8,
		Waits: "it waits",
		Held:  []uint64{5, 6}, Wanted: "h1-a",
		Outcomes: []Heard{{ID: "h1-b", Base: 6, Number: 7, Refused: "no", Waits: "it waits too"}},
		CutOff:   map[string]float64{"gk1": 1200.5},
		Lags:     []ruleset.LaggingMember{{Name: "gk2", Index: 5, HighestIndex: 9, LagMillis: 3100.5}},
		Seen:     map[string]uint64{"h1": 40}}
}

// What operators' ports show.
func TestGoldenViews(t *testing.T) {
	goldenJSON(t, "view.json", goldenView())
	goldenJSON(t, "agreement.json", goldenAgreement())
}

func goldenRules() ruleset.Rules {
	return ruleset.Rules{
		Format: 1, Needs: []string{"members"},
		Plans: []ruleset.Plan{{Name: "gold", Rate: 11, Burst: 12, CeilingRate: 13, CeilingDepth: 14,
			CreditSeconds: 0.5, RepayMillis: 15000}},
		Members: []ruleset.Member{{Name: "gk1", Host: "h1", Peers: "10.0.0.1:7001"}},
		WorkerOverrides: []ruleset.WorkerOverride{{Worker: "w1", Region: "hall1", Barred: true, Drained: true,
			Weight: 2.5}},
		Fallback: ruleset.Fallback{Fraction: 0.25, DurationMillis: 9000}, LeaseMillis: 1200,
		ConflictBoundMillis: 1900,
	}
}

// The mark of rules is a digest of their JSON, and daemons of two versions compare it in records.
func TestGoldenMark(t *testing.T) {
	rules := goldenRules()
	fullOf(t, "rules", reflect.ValueOf(rules))
	if got, want := Mark(&rules), string(goldenFile(t, "mark.txt")); got != want {
		t.Errorf("the mark is %s, not %s", got, want)
	}
}

// What the store of a daemon holds.
const goldenName, goldenNonce = "h1", "000102030405060708090a0b0c0d0e0f"

func goldenSelf() self {
	return self{Name: goldenName, Nonce: goldenNonce, Cluster: "0123456789abcdef"}
}

func goldenHeard() map[string]uint64 { return map[string]uint64{"00000000000000a2": 23} }

func goldenHard() raftpb.HardState {
	return raftpb.HardState{Term: 3, Vote: goldenSelf().id(), Commit: 12}
}

// goldenMachine is a state of accord.s with a version in force; accord has golden files of all its fields.
func goldenMachine() ruleset.State {
	return ruleset.State{Step: 41, InForce: ruleset.Version{Number: 7, Rules: goldenRules()},
		AckedSteps: map[string]uint64{"h1": 38}}
}

func goldenKept(t *testing.T) kept {
	t.Helper()
	machine, err := json.Marshal(goldenMachine())
	must(t, err)
	return kept{Members: map[uint64]string{goldenSelf().id(): goldenName, 162: "h2"}, Gone: []uint64{163},
		Machine: machine}
}

func goldenSnapshot(t *testing.T) raftpb.Snapshot {
	t.Helper()
	data, err := json.Marshal(goldenKept(t))
	must(t, err)
	return raftpb.Snapshot{Data: data, Metadata: raftpb.SnapshotMetadata{Index: 10, Term: 2,
		ConfState: raftpb.ConfState{Voters: []uint64{goldenSelf().id(), 162}}}}
}

func goldenEntry() ruleset.LogEntry {
	rules := goldenRules()
	rules.Plans[0].Rate = 21
	return ruleset.LogEntry{Type: ruleset.EntryPropose, ID: "h1-a", Base: 7, Rules: &rules}
}

func goldenEntries(t *testing.T) []raftpb.Entry {
	t.Helper()
	proposed, err := goldenEntry().Encode()
	must(t, err)
	names, err := json.Marshal(map[uint64]string{162: "h2"})
	must(t, err)
	change, err := (&raftpb.ConfChangeV2{Changes: []raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeAddNode, NodeID: 162}}, Context: names}).Marshal()
	must(t, err)
	return []raftpb.Entry{{Term: 3, Index: 11, Type: raftpb.EntryConfChangeV2, Data: change},
		{Term: 3, Index: 12, Type: raftpb.EntryNormal, Data: proposed}}
}

// buildGoldenStore writes the values above as a daemon does.
func buildGoldenStore(t *testing.T, path string) {
	t.Helper()
	s, _, _, err := open(path, goldenName)
	must(t, err)
	defer s.close()
	s.self, s.heard = goldenSelf(), goldenHeard()
	must(t, s.save(raftpb.HardState{}, nil, goldenSnapshot(t)))
	must(t, s.save(goldenHard(), goldenEntries(t), raftpb.Snapshot{}))
}

// storeText is all that a store's file holds, a line for each key.
func storeText(t *testing.T, path string) string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	must(t, err)
	defer db.Close()
	var text bytes.Buffer
	must(t, db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				fmt.Fprintf(&text, "%s %q %s\n", bucket, k, hex.EncodeToString(v))
				return nil
			})
		})
	}))
	return text.String()
}

// copiedStore is a copy of the stored file: opening writes to it.
func copiedStore(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "council.db")
	must(t, os.WriteFile(path, goldenFile(t, "council.db"), 0o600))
	return path
}

func sameAs(t *testing.T, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: it is\n%+v\nnot\n%+v", what, got, want)
	}
}

func TestGoldenStore(t *testing.T) {
	path := copiedStore(t)
	stored := storeText(t, path)
	s, aside, why, err := open(path, goldenName)
	if err != nil || aside != "" {
		t.Fatalf("the store of an old program is not opened, or set aside as %q: %v, %v", aside, why, err)
	}
	defer s.close()
	fullOf(t, "self", reflect.ValueOf(s.self))
	sameAs(t, "self", s.self, goldenSelf())
	sameAs(t, "id", hexOf(s.self.id()), string(goldenFile(t, "id.txt")))
	sameAs(t, "heard", s.heard, goldenHeard())
	sameAs(t, "seq", s.seq, uint64(3))
	hard, _, err := s.mem.InitialState()
	must(t, err)
	sameAs(t, "hard state", hard, goldenHard())
	snap, err := s.mem.Snapshot()
	must(t, err)
	sameAs(t, "snapshot", snap.Metadata, goldenSnapshot(t).Metadata)
	var k kept
	must(t, json.Unmarshal(snap.Data, &k))
	fullOf(t, "kept", reflect.ValueOf(k))
	sameAs(t, "kept", k, goldenKept(t))
	c := ruleset.NewStateMachine()
	must(t, c.Restore(k.Machine))
	sameAs(t, "machine", *c.State(), goldenMachine())
	entries, err := s.mem.Entries(11, 13, 1<<20)
	must(t, err)
	sameAs(t, "entries", entries, goldenEntries(t))
	e, err := ruleset.DecodeLogEntry(entries[1].Data)
	must(t, err)
	sameAs(t, "proposal", e, goldenEntry())

	again := filepath.Join(t.TempDir(), "council.db")
	buildGoldenStore(t, again)
	sameAs(t, "what this code writes", storeText(t, again), stored)
}

// A daemon takes up the version in force, the members and those gone from an old program's store.
func TestGoldenStoreLoaded(t *testing.T) {
	s, _, _, err := open(copiedStore(t), goldenName)
	must(t, err)
	defer s.close()
	seat := &Seat{council: ruleset.NewStateMachine(), changed: make(chan struct{}, 1)}
	seat.steward = ruleset.NewHostAgent(goldenName, seat.council)
	v := &life{c: &Council{machine: (*bench)(seat)}, s: s}
	must(t, v.load())
	sameAs(t, "members", v.members, goldenKept(t).Members)
	sameAs(t, "gone", v.gone, goldenKept(t).Gone)
	sameAs(t, "voters", v.conf.Voters, goldenSnapshot(t).Metadata.ConfState.Voters)
	sameAs(t, "in force", seat.InForce(), goldenMachine().InForce)
	data, err := v.snapshot()
	must(t, err)
	sameAs(t, "snapshot", string(data), string(goldenSnapshot(t).Data))
}
