package config

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"willowdeck/internal/txnjournal"
)

// TestJournalFile: the operator file in deploy has every key, and its values are the defaults.
func TestJournalFile(t *testing.T) {
	raw, err := os.ReadFile("../../../deploy/journal.toml")
	if err != nil {
		t.Fatal(err)
	}
	plain, err := DecodeJournal(string(raw))
	if err != nil {
		t.Fatal(err)
	}
	if plain.Config != txnjournal.DefaultConfig() ||
		plain.InstanceDir("g1") != "/var/lib/willowdeck/journal/g1" {
		t.Errorf("%+v", plain)
	}
	set := regexp.MustCompile(`(?m)^# (\w+ = )`).ReplaceAllString(string(raw), "$1")
	set = strings.Replace(set, "= refuse", "= \"refuse\"", 1)
	all, err := DecodeJournal(set)
	if err != nil || *all != *plain {
		t.Errorf("with the defaults set: %v, %+v", err, all)
	}
	if n := strings.Count(set, " = "); n != 15 {
		t.Errorf("%d keys", n)
	}
}

// TestFaultyJournalFile: an error names the key at fault.
func TestFaultyJournalFile(t *testing.T) {
	for text, says := range map[string]string{
		"":                                "dir",
		"dir = \"d\"\npolice = 1":         "line 2: police",
		"dir = \"d\"\npolicy = \"maybe\"": "policy",
		"dir = \"d\"\nwait_ms = 0":        "wait_ms",
		"dir = \"d\"\nsegments = 2":       "segments",
		"dir = \"d\"\nsegment_kb = 64\nanswer_bytes = 9000":      "answer_bytes",
		"dir = \"d\"\n[breaker]\npause_ms = 5\nmost_ms = 2":      "breaker.most_ms",
		"dir = \"d\"\nwindow_ms = nan":                           "window_ms",
		"dir = \"d\"\nremember_s = 1e9\nanswers_kb = 1\ntxns= 1": "remember_s",
	} {
		if _, err := DecodeJournal(text); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%q: %v, want %q", text, err, says)
		}
	}
}
