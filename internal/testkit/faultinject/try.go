package faultinject

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"sync"
)

// Try runs a scenario with a T of its own, and gives what it has failed with instead of failing the test.
// What the scenario has started is ended when Try returns, so that a schedule can be played again and again,
// by Shrink say.
func Try(t T, scenario func(T)) error {
	t.Helper()
	x := &trial{T: t}
	run := func(f func()) { // Fatalf ends it, and nothing else
		var over sync.WaitGroup
		over.Go(f)
		over.Wait()
	}
	run(func() { scenario(x) })
	for f := x.last(); f != nil; f = x.last() {
		run(f)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return errors.Join(x.failed...)
}

// trial is the T of a scenario that may fail.
type trial struct {
	T
	mu      sync.Mutex
	failed  []error
	cleanup []func()
}

// last takes what is to be done next at the end, or nil.
func (x *trial) last() func() {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := len(x.cleanup)
	if n == 0 {
		return nil
	}
	f := x.cleanup[n-1]
	x.cleanup = x.cleanup[:n-1]
	return f
}

// Cleanup registers a function that Try calls once the scenario has ended, last in first out.
func (x *trial) Cleanup(f func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cleanup = append(x.cleanup, f)
}

// Errorf records a failure; the scenario goes on.
func (x *trial) Errorf(format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.failed = append(x.failed, fmt.Errorf(format, args...))
}

// Fatalf records a failure and ends the scenario.
func (x *trial) Fatalf(format string, args ...any) {
	x.Errorf(format, args...)
	runtime.Goexit()
}

// TempDir returns a new directory that is removed when the scenario has ended.
func (x *trial) TempDir() string {
	dir, err := os.MkdirTemp("", "wdr")
	if err != nil {
		x.Fatalf("%v", err)
	}
	x.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}
