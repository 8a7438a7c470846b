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
	Dir    string // holds the directories of all instances on this host
	Config txnjournal.Config
}

// InstanceDir returns the directory of one instance's journal.
func (j *Journal) InstanceDir(name string) string { return filepath.Join(j.Dir, name) }

// journalFile is the form of the operator file; its defaults are txnjournal.DefaultConfig. Every field
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
	t := txnjournal.DefaultConfig()
	f := journalFile{
		Policy:      t.Policy.String(),
		WindowMS:    t.BatchWindowMillis,
		WaitMS:      t.CommitWaitMillis,
		SlowMS:      t.SlowCommitMillis,
		LeaseMS:     t.CoverageLeaseMillis,
		SegmentKB:   t.SegmentBytes >> 10,
		Segments:    t.MaxSegments,
		Txns:        t.MaxTxns,
		AnswerBytes: t.MaxResponseBytes,
		AnswersKB:   t.MaxStoredResponseBytes >> 10,
		RememberS:   t.ResponseRetentionMillis / 1000,
	}
	f.Breaker.After = t.BreakerThreshold
	f.Breaker.PauseMS, f.Breaker.MostMS = t.BreakerBackoffMillis, t.BreakerMaxBackoffMillis
	if err := strictoml.Decode(text, &f); err != nil {
		return nil, err
	}
	if f.Dir == "" {
		return nil, errors.New("dir is missing")
	}
	switch f.Policy {
	case txnjournal.RefuseUnwritten.String():
	case txnjournal.ServeUnwritten.String():
		t.Policy = txnjournal.ServeUnwritten
	default:
		return nil, fmt.Errorf("policy: %q is not refuse or serve", f.Policy)
	}
	if err := f.checkRanges(); err != nil {
		return nil, err
	}
	t.BatchWindowMillis, t.CommitWaitMillis = f.WindowMS, f.WaitMS
	t.SlowCommitMillis, t.CoverageLeaseMillis = f.SlowMS, f.LeaseMS
	t.SegmentBytes, t.MaxSegments, t.MaxTxns = f.SegmentKB<<10, f.Segments, f.Txns
	t.MaxResponseBytes, t.MaxStoredResponseBytes = f.AnswerBytes, f.AnswersKB<<10
	t.ResponseRetentionMillis = f.RememberS * 1000
	t.BreakerThreshold = f.Breaker.After
	t.BreakerBackoffMillis, t.BreakerMaxBackoffMillis = f.Breaker.PauseMS, f.Breaker.MostMS
	return &Journal{Dir: f.Dir, Config: t}, nil
}

// checkRanges checks the numbers of the file.
func (f *journalFile) checkRanges() error {
	return firstOutOfRange(
		keyRange{"window_ms", f.WindowMS, 0, txnjournal.MaxBatchWindowMillis},
		keyRange{"wait_ms", f.WaitMS, 1, txnjournal.MaxCommitWaitMillis},
		keyRange{"slow_ms", f.SlowMS, 1, txnjournal.MaxCommitWaitMillis},
		keyRange{"lease_ms", f.LeaseMS, 100, txnjournal.MaxCoverageLeaseMillis},
		keyRange{"segment_kb", float64(f.SegmentKB), txnjournal.MinSegmentBytes >> 10,
			txnjournal.MaxSegmentBytes >> 10},
		keyRange{"segments", float64(f.Segments), txnjournal.MinMaxSegments, txnjournal.LargestMaxSegments},
		keyRange{"txns", float64(f.Txns), 1, txnjournal.LargestMaxTxns},
		keyRange{"answer_bytes", float64(f.AnswerBytes), 0, float64(f.SegmentKB << 10 / 8)},
		keyRange{"answers_kb", float64(f.AnswersKB), 0, txnjournal.LargestMaxStoredResponseBytes >> 10},
		keyRange{"remember_s", f.RememberS, 0, txnjournal.MaxResponseRetentionMillis / 1000},
		keyRange{"breaker.after", float64(f.Breaker.After), 1, 1000},
		keyRange{"breaker.pause_ms", f.Breaker.PauseMS, 1, txnjournal.MaxBreakerBackoffMillis},
		keyRange{"breaker.most_ms", f.Breaker.MostMS, f.Breaker.PauseMS, txnjournal.MaxBreakerBackoffMillis},
	)
}
