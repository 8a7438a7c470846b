package edge

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/memorybudget"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/sse"
)

const (
	// requestMemoryTenths is the part of the process's memory that requests may hold together.
	requestMemoryTenths = 5
	// connectionMemoryTenths is the part that clients' connections may take together.
	connectionMemoryTenths = 2
	// readinessMemoryHundredths is the part, in hundredths, that connections of readiness checks may take.
	readinessMemoryHundredths = 1
	// requestOverheadBytes is what a request holds besides its headers and bodies: stacks, and the buffers of
	// the client's and the worker's connections.
	requestOverheadBytes = 48 << 10
	// headerFieldBytes is what a header field holds besides its text, in the map of the request's header.
	headerFieldBytes = 128
	headerCopies     = 3 // as received, without hop-by-hop headers, and as sent

	discardTimeout = time.Second // for the rest of a rejected request's body
	// rejectionTimeout is how long after its arrival a request without a route may hold its memory.
	rejectionTimeout = 10 * time.Second
	// slowReaderTimeout is how long after its deadline a request whose client does not read the response may
	// hold its memory.
	slowReaderTimeout = 3 * time.Second

	minSegmentBytes = 4 << 10
	maxSegmentBytes = 256 << 10
	minBufferBytes  = 512 // of a response
	// unreservedBytes of a response or an event are part of a request's overhead.
	unreservedBytes = 8 << 10
)

// newRequestMemory returns the budget of all requests of an edge.
func newRequestMemory(config *settings.Settings) *memorybudget.Budget {
	return memorybudget.New(config.MemoryLimitBytes / 10 * requestMemoryTenths)
}

// headerMemory returns how much memory a header takes with its copies.
func headerMemory(header http.Header) int64 {
	bytes := int64(0)
	for name, values := range header {
		for _, value := range values {
			bytes += int64(len(name)+len(value)) + headerFieldBytes
		}
	}
	return headerCopies * bytes
}

// rejectWithoutMemory rejects a request that does not fit into the memory now. What still comes of its body
// is discarded for a while: closing the connection under a client that writes would lose it the response.
func (e *Edge) rejectWithoutMemory(w http.ResponseWriter, r *http.Request, reserved int64) {
	bytes := max(reserved, requestOverheadBytes) + max(r.ContentLength, 0)
	w.Header().Set("Connection", "close") // the body may not have been read
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex() // the response goes out before the body has come
	reject(w, http.StatusServiceUnavailable, e.requestMemory.RetryAfter(e.now(), bytes))
	if r.Header.Get("Expect") != "" {
		return // the client waits for 100 Continue, which reading the body would send
	}
	if control.Flush() == nil && control.SetReadDeadline(time.Now().Add(discardTimeout)) == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// receiveBody reads a request's body, and reserves what that holds. It returns false where it has rejected
// the request.
func (e *Edge) receiveBody(
	w http.ResponseWriter, r *http.Request, limits configuration.Limits, deadline time.Time,
	memory *memorybudget.Reservation,
) (body [][]byte, ok bool) {
	// A client that sends slowly holds memory no longer than its request may take.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	body, status := readBody(w, r, limits, memory)
	_ = control.SetReadDeadline(time.Time{})
	switch status {
	case 0:
		return body, true
	case http.StatusServiceUnavailable:
		reserved := memory.Bytes()
		memory.Cancel() // before the rest of the body is discarded
		e.rejectWithoutMemory(w, r, reserved)
	default:
		reject(w, status, 0)
	}
	return nil, false
}

// readBody reads a request's body completely, in segments, each of which is reserved before it is made. It
// returns the status of a rejection, or 0; 503 says that there is no memory left.
func readBody(
	w http.ResponseWriter, r *http.Request, limits configuration.Limits, memory *memorybudget.Reservation,
) ([][]byte, int) {
	maxBytes := int64(defaultMaxBodyBytes)
	if limits.MaxBodyBytes > 0 {
		maxBytes = int64(limits.MaxBodyBytes)
	}
	if r.ContentLength > maxBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.ContentLength > 0 && !memory.Admit(r.ContentLength) {
		return nil, http.StatusServiceUnavailable
	}
	source := http.MaxBytesReader(w, r.Body, maxBytes)
	var segments [][]byte
	left := r.ContentLength // that is reserved; negative: the length is not known
	for size := int64(minSegmentBytes); left != 0; size = min(2*size, maxSegmentBytes) {
		switch {
		case left > 0:
			size = min(size, left)
			left -= size
		case !memory.Admit(size):
			return nil, http.StatusServiceUnavailable
		}
		segment := make([]byte, size)
		n, err := fill(source, segment)
		segments = append(segments, segment[:n])
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			return nil, http.StatusRequestEntityTooLarge
		case errors.Is(err, io.EOF):
			return segments, 0
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, http.StatusRequestTimeout
		case err != nil:
			return nil, http.StatusBadRequest
		}
	}
	return segments, 0
}

// fill reads until the buffer is full or the source returns an error. Unlike io.ReadFull it returns that
// error unchanged: io.EOF is the end of a body, io.ErrUnexpectedEOF a body that was cut off.
func fill(source io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var read int
		read, err = source.Read(buffer[n:])
		n += read
	}
	return n, err
}

// errNoMemory ends the reading of a response that there is no memory for.
var errNoMemory = errors.New("the response does not fit into the memory of this process now")

// readBuffered reads a response's body up to maxBufferedBodyBytes. It returns whether the body is complete:
// it is not where it is longer, or there is no memory left for more.
func (p *proxiedRequest) readBuffered(response *http.Response) (begun []byte, complete bool, err error) {
	body := response.Body
	// One byte more than is stated, so that the end is seen without a larger buffer.
	first := min(max(response.ContentLength+1, minBufferBytes), minSegmentBytes)
	buffer := make([]byte, 0, first)
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, true, nil
		case err != nil:
			return nil, false, err
		case len(buffer) < cap(buffer):
			continue
		}
		size := 2 * cap(buffer)
		if size > maxBufferedBodyBytes || size > unreservedBytes && !p.memory.Grow(int64(size)) {
			return buffer, false, nil
		}
		buffer = append(make([]byte, 0, size), buffer...)
	}
}

// newEventReader returns a reader of a response's events, whose memory is reserved as they grow.
func (p *proxiedRequest) newEventReader(body io.Reader) *sse.Reader {
	reserved := unreservedBytes
	return sse.NewReader(body, func(bytes int) bool {
		for reserved < bytes {
			if !p.memory.Grow(int64(reserved)) {
				return false
			}
			reserved *= 2
		}
		return true
	})
}

// releaseBody gives the memory of the request's body back: no further attempt will send it.
func (p *proxiedRequest) releaseBody() {
	bytes := int64(0)
	for _, segment := range p.workerRequest.Body {
		bytes += int64(cap(segment))
	}
	p.workerRequest.Body = nil
	p.memory.Shrink(p.edge.now(), bytes)
}
