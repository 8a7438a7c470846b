package relay

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"willowdeck/internal/distribution"
	"willowdeck/internal/versioned"
)

// Faults that a faultyProxy injects into responses.
const (
	corruptByte    = "flips"   // flips a bit
	swapValue      = "swaps"   // changes a value within a delta, with a valid checksum of the message
	changeBase     = "rebases" // has a delta be against another state
	dropDelta      = "loses"   // removes a delta
	repeatResponse = "doubles" // delivers a response to the next request as well
	delayResponse  = "delays"  // delays a response beyond the time-out
)

// faultyProxy is a proxy between a relay and its upstreams that corrupts responses.
type faultyProxy struct {
	t *testing.T

	mu        sync.Mutex
	fault     string
	remaining int // responses that are still to be corrupted
	injected  int
	last      []byte
}

// listen starts a proxy in front of a real upstream, and gives its address.
func (p *faultyProxy) listen(target string) string {
	p.t.Helper()
	client := &http.Client{Timeout: 2 * time.Second}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+target+r.URL.Path, r.Body)
		if err != nil {
			return
		}
		req.Header = r.Header.Clone()
		res, err := client.Do(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		if err != nil {
			return
		}
		if res.StatusCode == http.StatusOK {
			body = p.corrupt(body)
		}
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(res.StatusCode)
		_, _ = w.Write(body)
	}))
	p.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
		client.CloseIdleConnections()
	})
	return s.Listener.Addr().(*net.TCPAddr).String()
}

// inject has the next responses corrupted, so many of them.
func (p *faultyProxy) inject(fault string, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.remaining, p.injected = fault, count, 0
}

// injectedCount gives how many were corrupted since.
func (p *faultyProxy) injectedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.injected
}

func (p *faultyProxy) corrupt(body []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.last
	p.last = body
	if p.remaining == 0 {
		return body
	}
	response, err := distribution.DecodeResponse(body)
	if err != nil {
		p.t.Error(err)
		return body
	}
	encoded := func() []byte {
		p.remaining--
		p.injected++
		raw, err := response.Encode()
		if err != nil {
			p.t.Error(err)
		}
		return raw
	}
	delta := response.RulesDelta
	switch p.fault {
	case corruptByte:
		p.remaining--
		p.injected++
		body = bytes.Clone(body)
		body[len(body)/2] ^= 0x10
	case repeatResponse:
		if previous != nil {
			p.remaining--
			p.injected++
			return previous
		}
	case delayResponse:
		p.remaining--
		p.injected++
		p.mu.Unlock()
		time.Sleep(600 * time.Millisecond)
		p.mu.Lock()
	case swapValue:
		if delta != nil && len(delta.Set) > 0 {
			value := bytes.Clone(delta.Set[0].Value)
			value[len(value)-1] ^= 1
			delta.Set[0].Value = value
			return encoded()
		}
	case changeBase:
		if delta != nil && !delta.From.IsNone() {
			delta.From = versioned.VersionID{Number: delta.From.Number, Digest: versioned.Digest{1}}
			return encoded()
		}
	case dropDelta:
		if delta != nil {
			response.RulesDelta = nil
			return encoded()
		}
	}
	return body
}
