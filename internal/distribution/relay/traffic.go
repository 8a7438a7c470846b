package relay

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"willowdeck/internal/distribution"
)

// Reasons by which Traffic.Failures counts. They are keys at the operators' ports.
const (
	reasonTimeout    = "late"    // no response, or no complete request, in time
	reasonStatus     = "refused" // a response with another status than 200
	reasonMalformed  = "garbled" // a message that can't be decoded
	reasonConnection = "lost"    // the connection failed
	reasonWrongNonce = "other"   // a response to another request
	reasonChecksum   = "spoilt"  // a message with another checksum than that of its content

	reasonTooLong      = "too_long"   // a request beyond the bound
	reasonUnacceptable = "unfit"      // a request of another format version or cluster, or with invalid fields
	reasonNoResponse   = "unanswered" // a response that can't be encoded, or an error without a reason
)

// decodeFailureReason gives the reason of an error of DecodeRequest or DecodeResponse.
func decodeFailureReason(err error) string {
	if errors.Is(err, distribution.ErrChecksum) {
		return reasonChecksum
	}
	return reasonMalformed
}

// Traffic counts what has passed in one direction of the tree since the start.
type Traffic struct {
	Requests      int64            `json:"asks"`
	Responses     int64            `json:"answers"`
	RequestBytes  int64            `json:"ask_bytes"`    // bodies, without the headers of HTTP
	ResponseBytes int64            `json:"answer_bytes"` // likewise
	ReceivedBytes int64            `json:"in"`           // on connections, headers included
	SentBytes     int64            `json:"out"`          // likewise
	Failures      map[string]int64 `json:"failed"`       // requests without a usable response, by reason
}

// trafficCounters counts traffic. It is safe for concurrent use.
type trafficCounters struct {
	requests, responses         atomic.Int64
	requestBytes, responseBytes atomic.Int64
	receivedBytes, sentBytes    atomic.Int64

	mu       sync.Mutex
	failures map[string]int64 // by reason; guarded by mu
}

func (t *trafficCounters) countFailure(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failures == nil {
		t.failures = map[string]int64{}
	}
	t.failures[reason]++
}

func (t *trafficCounters) snapshot() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Traffic{
		Requests:      t.requests.Load(),
		Responses:     t.responses.Load(),
		RequestBytes:  t.requestBytes.Load(),
		ResponseBytes: t.responseBytes.Load(),
		ReceivedBytes: t.receivedBytes.Load(),
		SentBytes:     t.sentBytes.Load(),
		Failures:      map[string]int64{},
	}
	for reason, n := range t.failures {
		s.Failures[reason] = n
	}
	return s
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	received, sent *atomic.Int64
}

// Read is net.Conn's.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// Write is net.Conn's.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *trafficCounters
}

// Accept is net.Listener's.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, &l.traffic.receivedBytes, &l.traffic.sentBytes}, nil
}
