package fakes

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Fault is what a fake does instead of answering while the fault lasts.
type Fault uint8

// The faults. Comments say what a request meets.
const (
	None     Fault = iota
	Stalls         // the answer comes once the fault has ended
	Silent         // no answer ever comes
	Errs           // status 500; the request has run
	Full           // status 503 and X-Not-Run; the request has not run
	Cuts           // the connection ends; the request has run
	Garbage        // the answer is not HTTP
	HalfHead       // the connection ends in the middle of the response header
)

// behavior is how a fake answers at present.
type behavior struct {
	mu          sync.Mutex // guards these and the mutable fields of the fake that embeds it
	serviceTime time.Duration
	fault       Fault
	faultEnded  chan struct{} // closed when the fault ends
}

// SetFault begins a fault, or with None ends the present one.
func (b *behavior) SetFault(f Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.faultEnded)
	b.fault, b.faultEnded = f, make(chan struct{})
}

// SetServiceTime sets the service time: how long an answer without a fault takes.
func (b *behavior) SetServiceTime(serviceTime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceTime = serviceTime
}

// injectFault carries out a fault, or waits for the service time, and reports whether the caller is to answer
// the request. A wait for a fault's end ends early where the client gives up.
func injectFault(f Fault, faultEnded <-chan struct{}, serviceTime time.Duration, out http.ResponseWriter,
	r *http.Request) bool {
	rawResponse := "what is this\r\n\r\n"
	switch f {
	case Silent:
		<-r.Context().Done()
		return false
	case Stalls:
		select {
		case <-faultEnded:
		case <-r.Context().Done():
			return false
		}
	case Full:
		out.Header().Set("X-Not-Run", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return false
	case Errs:
		out.WriteHeader(http.StatusInternalServerError)
		return false
	case Cuts:
		panic(http.ErrAbortHandler)
	case HalfHead:
		rawResponse = "HTTP/1.1 200 OK\r\nContent-Le"
		fallthrough
	case Garbage:
		if c, _, err := out.(http.Hijacker).Hijack(); err == nil {
			fmt.Fprint(c, rawResponse)
			c.Close()
		}
		return false
	}
	time.Sleep(serviceTime)
	return true
}
