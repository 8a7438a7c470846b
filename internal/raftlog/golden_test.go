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
	requireNoError(t, err)
	return raw
}

// requireNonZero fails where any field below v is zero: a field that is zero could drop out of a form unseen.
func requireNonZero(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() || (v.Kind() == reflect.Slice || v.Kind() == reflect.Map) && v.Len() == 0 {
		t.Errorf("%s is zero", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		requireNonZero(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.Name != "_" {
				requireNonZero(t, path+"."+f.Name, v.Field(i))
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			requireNonZero(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			requireNonZero(t, fmt.Sprintf("%s[%v]", path, k), v.MapIndex(k))
		}
	}
}

// goldenJSON reads a file into a value of its own type, and encodes that which was written once more.
func goldenJSON[T any](t *testing.T, name string, want T) {
	t.Helper()
	requireNonZero(t, name, reflect.ValueOf(want))
	raw := goldenFile(t, name)
	var got T
	if err := json.Unmarshal(raw, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: decoded to\n%+v\nnot to\n%+v\n%v", name, got, want, err)
	}
	if b, err := json.Marshal(want); err != nil || !bytes.Equal(b, raw) {
		t.Errorf("%s: encoded to\n%s\nnot to\n%s\n%v", name, b, raw, err)
	}
}

func goldenHeader() messageHeader {
	return messageHeader{ProtocolVersion: 1, Cluster: "c1", HostName: "h1", DiskID: "00000000000000a1",
		ToDiskID: "00000000000000a2",
		GroupID:  "0123456789abcdef", WriteSeq: 17, IsBlank: true, Hosts: []string{"h1", "h2"}, DiscoveryIndex: 91}
}

func goldenResponse() response {
	return response{messageHeader: goldenHeader(), ForDiskID: "00000000000000a3", HighestWriteSeq: 16,
		Removed: true, IsVoter: true,
		LeaderName: "h2", Message: "asked the others"}
}

func goldenRequest() request {
	return request{messageHeader: goldenHeader(), Messages: [][]byte{{1, 2, 3}, {4, 5}}}
}

// The messages between the daemons of hosts.
func TestGoldenMessages(t *testing.T) {
	goldenJSON(t, "reply.json", goldenResponse())
	goldenJSON(t, "packet.json", goldenRequest())
	if ProtocolVersion != 1 {
		t.Errorf("the form of messages is %d; old programs speak 1", ProtocolVersion)
	}
}

// Daemons of two versions meet at these paths.
func TestGoldenPaths(t *testing.T) {
	mux := (&Node{}).handler().(*http.ServeMux)
	for _, path := range []string{"/council/hello", "/council/raft", "/council/join"} {
		_, pattern := mux.Handler(httptest.NewRequest(http.MethodPost, path, nil))
		requireEqual(t, path, pattern, "POST "+path)
	}
}

// Operators count rejections by these names.
func TestGoldenRejectionReasons(t *testing.T) {
	requireEqual(t, "reasons", []string{reasonTooLong, reasonMalformed, reasonProtocolVersion,
		reasonOtherCluster, reasonUnknownHost, reasonOtherDisk, reasonQueueFull},
		[]string{"too_long", "garbled", "other_form", "other_cluster", "stranger", "other_disk", "queue_full"})
}

func goldenStatus() Status {
	return Status{State: "member", Reason: "why", HostName: "h1", DiskID: "a1", GroupID: "c", LeaderName: "h2",
		Term:         3,
		AppliedIndex: 44,
		Hosts: []HostStatus{{Name: "h2", Address: "10.0.0.2:9000", DiskID: "a2", IsMember: true, IsLeader: true,
			SinceContactMillis: 12.5, LastError: "late"}},
		Rejections: map[string]int64{"garbled": 2}, LastRejections: map[string]string{"garbled": "what"},
		MovedAside: map[string]int{"torn": 1}}
}

func goldenActivationStatus() ActivationStatus {
	return ActivationStatus{Version: 7, Digest: "abc", Step: 41, TransitionComplete: true, ReadAgeMillis: 3.5,
		PendingVersion:     8,
		PendingReason:      "it waits",
		SupersededVersions: []uint64{5, 6}, WantedProposal: "h1-a",
		ProposalOutcomes: []ProposalOutcome{{ID: "h1-b", BaseVersion: 6, Version: 7, Rejection: "no",
			PendingReason: "it waits too"}},
		CutOffInstances: map[string]float64{"gk1": 1200.5},
		LaggingMembers:  []ruleset.LaggingMember{{Name: "gk2", Index: 5, HighestIndex: 9, LagMillis: 3100.5}},
		AckedSteps:      map[string]uint64{"h1": 40}}
}

// The forms at operators' ports.
func TestGoldenStatuses(t *testing.T) {
	goldenJSON(t, "view.json", goldenStatus())
	goldenJSON(t, "agreement.json", goldenActivationStatus())
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

// The digest of rules is that of their JSON, and daemons of two versions compare it in records.
func TestGoldenRulesDigest(t *testing.T) {
	rules := goldenRules()
	requireNonZero(t, "rules", reflect.ValueOf(rules))
	if got, want := RulesDigest(&rules), string(goldenFile(t, "mark.txt")); got != want {
		t.Errorf("the digest is %s, not %s", got, want)
	}
}

// What the store of a daemon holds.
const goldenName, goldenNonce = "h1", "000102030405060708090a0b0c0d0e0f"

func goldenIdentity() identity {
	return identity{HostName: goldenName, Nonce: goldenNonce, GroupID: "0123456789abcdef"}
}

func goldenPeerSeqs() map[string]uint64 { return map[string]uint64{"00000000000000a2": 23} }

func goldenHardState() raftpb.HardState {
	return raftpb.HardState{Term: 3, Vote: goldenIdentity().diskID(), Commit: 12}
}

// goldenRulesetState is an activation state with a version in force; ruleset has golden files of all its
// fields.
func goldenRulesetState() ruleset.State {
	return ruleset.State{Step: 41, InForce: ruleset.Version{Number: 7, Rules: goldenRules()},
		AckedSteps: map[string]uint64{"h1": 38}}
}

func goldenSnapshotData(t *testing.T) snapshotData {
	t.Helper()
	machine, err := json.Marshal(goldenRulesetState())
	requireNoError(t, err)
	return snapshotData{Members: map[uint64]string{goldenIdentity().diskID(): goldenName, 162: "h2"},
		Removed:      []uint64{163},
		StateMachine: machine}
}

func goldenSnapshot(t *testing.T) raftpb.Snapshot {
	t.Helper()
	data, err := json.Marshal(goldenSnapshotData(t))
	requireNoError(t, err)
	return raftpb.Snapshot{Data: data, Metadata: raftpb.SnapshotMetadata{Index: 10, Term: 2,
		ConfState: raftpb.ConfState{Voters: []uint64{goldenIdentity().diskID(), 162}}}}
}

func goldenEntry() ruleset.LogEntry {
	rules := goldenRules()
	rules.Plans[0].Rate = 21
	return ruleset.LogEntry{Type: ruleset.EntryPropose, ID: "h1-a", Base: 7, Rules: &rules}
}

func goldenEntries(t *testing.T) []raftpb.Entry {
	t.Helper()
	proposed, err := goldenEntry().Encode()
	requireNoError(t, err)
	names, err := json.Marshal(map[uint64]string{162: "h2"})
	requireNoError(t, err)
	change, err := (&raftpb.ConfChangeV2{Changes: []raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeAddNode, NodeID: 162}}, Context: names}).Marshal()
	requireNoError(t, err)
	return []raftpb.Entry{{Term: 3, Index: 11, Type: raftpb.EntryConfChangeV2, Data: change},
		{Term: 3, Index: 12, Type: raftpb.EntryNormal, Data: proposed}}
}

// buildGoldenStore writes the values above as a daemon does.
func buildGoldenStore(t *testing.T, path string) {
	t.Helper()
	opened, err := openStore(path, goldenName)
	requireNoError(t, err)
	s := opened.store
	defer s.close()
	s.identity, s.peerSeqs = goldenIdentity(), goldenPeerSeqs()
	requireNoError(t, s.save(&storeUpdate{snapshot: goldenSnapshot(t)}))
	requireNoError(t, s.save(&storeUpdate{hardState: goldenHardState(), entries: goldenEntries(t)}))
}

// dumpStore returns all that a store's file holds, a line for each key.
func dumpStore(t *testing.T, path string) string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	requireNoError(t, err)
	defer db.Close()
	var text bytes.Buffer
	requireNoError(t, db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				fmt.Fprintf(&text, "%s %q %s\n", bucket, k, hex.EncodeToString(v))
				return nil
			})
		})
	}))
	return text.String()
}

// copyGoldenStore returns the path of a copy of the stored file: opening writes to it.
func copyGoldenStore(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "council.db")
	requireNoError(t, os.WriteFile(path, goldenFile(t, "council.db"), 0o600))
	return path
}

func requireEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: it is\n%+v\nnot\n%+v", what, got, want)
	}
}

func TestGoldenStore(t *testing.T) {
	path := copyGoldenStore(t)
	stored := dumpStore(t, path)
	opened, err := openStore(path, goldenName)
	s, aside, why := opened.store, opened.movedTo, opened.corruption
	if err != nil || aside != "" {
		t.Fatalf("the store of an old program is not opened, or set aside as %q: %v, %v", aside, why, err)
	}
	defer s.close()
	requireNonZero(t, "self", reflect.ValueOf(s.identity))
	requireEqual(t, "self", s.identity, goldenIdentity())
	requireEqual(t, "id", formatDiskID(s.identity.diskID()), string(goldenFile(t, "id.txt")))
	requireEqual(t, "heard", s.peerSeqs, goldenPeerSeqs())
	requireEqual(t, "seq", s.writeSeq.Load(), uint64(3))
	hard, _, err := s.memory.InitialState()
	requireNoError(t, err)
	requireEqual(t, "hard state", hard, goldenHardState())
	snap, err := s.memory.Snapshot()
	requireNoError(t, err)
	requireEqual(t, "snapshot", snap.Metadata, goldenSnapshot(t).Metadata)
	var k snapshotData
	requireNoError(t, json.Unmarshal(snap.Data, &k))
	requireNonZero(t, "kept", reflect.ValueOf(k))
	requireEqual(t, "kept", k, goldenSnapshotData(t))
	c := ruleset.NewStateMachine()
	requireNoError(t, c.Restore(k.StateMachine))
	requireEqual(t, "machine", *c.State(), goldenRulesetState())
	entries, err := s.memory.Entries(11, 13, 1<<20)
	requireNoError(t, err)
	requireEqual(t, "entries", entries, goldenEntries(t))
	e, err := ruleset.DecodeLogEntry(entries[1].Data)
	requireNoError(t, err)
	requireEqual(t, "proposal", e, goldenEntry())

	again := filepath.Join(t.TempDir(), "council.db")
	buildGoldenStore(t, again)
	requireEqual(t, "what this code writes", dumpStore(t, again), stored)
}

// A node restores the version in force, the members and the removed ones from an old program's store.
func TestGoldenStoreLoaded(t *testing.T) {
	opened, err := openStore(copyGoldenStore(t), goldenName)
	requireNoError(t, err)
	s := opened.store
	defer s.close()
	seat := &RulesetNode{activation: ruleset.NewStateMachine(), changed: make(chan struct{}, 1)}
	seat.hostAgent = ruleset.NewHostAgent(goldenName, seat.activation)
	v := &session{node: &Node{stateMachine: (*rulesetMachine)(seat)}, store: s}
	requireNoError(t, v.restoreFromStore())
	requireEqual(t, "members", v.members, goldenSnapshotData(t).Members)
	requireEqual(t, "gone", v.removed, goldenSnapshotData(t).Removed)
	requireEqual(t, "voters", v.confState.Voters, goldenSnapshot(t).Metadata.ConfState.Voters)
	requireEqual(t, "in force", seat.InForce(), goldenRulesetState().InForce)
	data, err := v.encodeSnapshot()
	requireNoError(t, err)
	requireEqual(t, "snapshot", string(data), string(goldenSnapshot(t).Data))
}
