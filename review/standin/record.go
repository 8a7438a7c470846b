package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case, which says what was sent, answered and run.
type record struct {
	began time.Time
	mu    sync.Mutex // guards what follows
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// printf writes a line with the time since the start.
func (r *record) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}
