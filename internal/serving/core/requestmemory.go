package core

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"willowdeck/internal/serving/memorybudget"
)

const (
	// connectionMemoryTenths is the part of the process's memory that the connections of callers may take
	// together: hundreds of workers keep theirs.
	connectionMemoryTenths = 3
	// reportMemoryTenths is the part that the bodies of workers' reports and of adds to tallies may take
	// together.
	reportMemoryTenths = 1
	// reportMemoryFactor is how much more memory a short JSON object takes than its text.
	reportMemoryFactor = 8
	reportTimeout      = 3 * time.Second // for the body of a report or an add
)

// newReportMemory returns the budget of workers' reports and of adds to tallies.
func newReportMemory(processBytes int64) *memorybudget.Budget {
	return memorybudget.New(processBytes / 10 * reportMemoryTenths)
}

// now returns the time since the start of the process, as budgets take it.
func (c *Core) now() time.Duration { return time.Since(c.started) }

// bodyBytes returns how long the body of a request may be, of which maxBytes are read at most.
func bodyBytes(r *http.Request, maxBytes int64) int64 {
	if r.ContentLength < 0 {
		return maxBytes
	}
	return min(r.ContentLength, maxBytes)
}

// admit reserves bytes for a request that nothing was done for yet. Where there is no room it responds with
// 503 and the time to come back, and returns false.
func (c *Core) admit(
	w http.ResponseWriter, budget *memorybudget.Budget, memory *memorybudget.Reservation, bytes int64,
) bool {
	if memory.Admit(bytes) {
		return true
	}
	retryAfter := budget.RetryAfter(c.now(), bytes)
	w.Header().Set(headerRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	writeError(w, http.StatusServiceUnavailable, "no memory for the request now: send the same again")
	return false
}

// readBody reads the body of a request, which has to come within timeout.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64, timeout time.Duration) ([]byte, error) {
	// Writers without deadlines, as in tests, need no limit.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
}

// discardBody reads the body of a request that needs none: the server notices that a caller has gone only
// behind the end of the body.
func discardBody(w http.ResponseWriter, r *http.Request) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	// Writers without deadlines, as in tests, need no limit.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(reportTimeout))
	_, err := io.Copy(io.Discard, r.Body)
	_ = control.SetReadDeadline(time.Time{}) // the server would take a time-out for the caller's close
	return err
}
