package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"willowdeck/internal/strictoml"
	"willowdeck/internal/txnjournal"
)

// Journal configures the journal of non-idempotent requests.
type Journal struct {
	Dir   string // holds the directories of all instances on this host
	Terms txnjournal.Terms
}

// InstanceDir returns the directory of one instance's journal.
func (j *Journal) InstanceDir(name string) string { return filepath.Join(j.Dir, name) }

// journalFile is the form of the operator file; its defaults are txnjournal.DefaultTerms. Every field
// carries its key as a tag.
type journalFile struct {
	Dir         string  `toml:"dir"`
	Policy      string  `toml:"policy"`
	WindowMS    float64 `toml:"window_ms"`
	WaitMS      float64 `toml:"wait_ms"`
	SlowMS      float64 `toml:"slow_ms"`
	LeaseMS     float64 `toml:"lease_ms"`
	SegmentKB   int     `toml:"segment_kb"`
	Segments    int     `toml:"segments"`
	Txns        int     `toml:"txns"`
	AnswerBytes int     `toml:"answer_bytes"`
	AnswersKB   int     `toml:"answers_kb"`
	RememberS   float64 `toml:"remember_s"`
	Breaker     struct {
		After   int     `toml:"after"`
		PauseMS float64 `toml:"pause_ms"`
		MostMS  float64 `toml:"most_ms"`
	} `toml:"breaker"`
}

// ReadJournal reads and checks the journal's operator file, for the instance name. An error names the
// file, and the line or the key.
func ReadJournal(path, name string) (*Journal, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j, err := DecodeJournal(string(raw))
	if err == nil && (strings.ContainsRune(name, filepath.Separator) || name == "." || name == "..") {
		err = fmt.Errorf("name: %q cannot name a directory", name)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return j, nil
}

// DecodeJournal decodes and checks the operator file's text.
func DecodeJournal(text string) (*Journal, error) {
	t := txnjournal.DefaultTerms()
	f := journalFile{Policy: t.Policy.String(), WindowMS: t.Window, WaitMS: t.Wait, SlowMS: t.Slow,
		LeaseMS: t.Lease, SegmentKB: t.Segment >> 10, Segments: t.Segments, Txns: t.Txns, AnswerBytes: t.Answer,
		AnswersKB: t.Answers >> 10, RememberS: t.Remember / 1000}
	f.Breaker.After, f.Breaker.PauseMS, f.Breaker.MostMS = t.After, t.Pause, t.MostPause
	if err := strictoml.Decode(text, &f); err != nil {
		return nil, err
	}
	if f.Dir == "" {
		return nil, errors.New("dir is missing")
	}
	switch f.Policy {
	case txnjournal.Refuse.String():
	case txnjournal.Serve.String():
		t.Policy = txnjournal.Serve
	default:
		return nil, fmt.Errorf("policy: %q is not refuse or serve", f.Policy)
	}
	err := firstOutOfRange(
		keyRange{"window_ms", f.WindowMS, 0, txnjournal.LongestWindow},
		keyRange{
			"wait_ms",
			f.WaitMS,
			1,
			txnjournal.LongestWait,
		},
		keyRange{"slow_ms", f.SlowMS, 1, txnjournal.LongestWait},
		keyRange{"lease_ms", f.LeaseMS, 100, txnjournal.LongestLease},
		keyRange{"segment_kb", float64(f.SegmentKB), txnjournal.LeastSegment >> 10, txnjournal.MostSegment >> 10},
		keyRange{"segments", float64(f.Segments), txnjournal.LeastSegments, txnjournal.MostSegments},
		keyRange{"txns", float64(f.Txns), 1, txnjournal.MostTxns},
		keyRange{"answer_bytes", float64(f.AnswerBytes), 0, float64(f.SegmentKB << 10 / 8)},
		keyRange{"answers_kb", float64(f.AnswersKB), 0, txnjournal.MostAnswers >> 10},
		keyRange{"remember_s", f.RememberS, 0, txnjournal.LongestMemory / 1000},
		keyRange{"breaker.after", float64(f.Breaker.After), 1, 1000},
		keyRange{"breaker.pause_ms", f.Breaker.PauseMS, 1, txnjournal.LongestPause},
		keyRange{"breaker.most_ms", f.Breaker.MostMS, f.Breaker.PauseMS, txnjournal.LongestPause},
	)
	if err != nil {
		return nil, err
	}
	t.Window, t.Wait, t.Slow, t.Lease = f.WindowMS, f.WaitMS, f.SlowMS, f.LeaseMS
	t.Segment, t.Segments, t.Txns = f.SegmentKB<<10, f.Segments, f.Txns
	t.Answer, t.Answers, t.Remember = f.AnswerBytes, f.AnswersKB<<10, f.RememberS*1000
	t.After, t.Pause, t.MostPause = f.Breaker.After, f.Breaker.PauseMS, f.Breaker.MostMS
	return &Journal{Dir: f.Dir, Terms: t}, nil
}
