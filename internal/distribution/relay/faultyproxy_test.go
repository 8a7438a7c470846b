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

// What a middle man makes of answers.
const (
	corruptByte    = "flips"   // a byte on its way
	swapValue      = "swaps"   // a value within a delta, and has the checksum of the answer right
	changeBase     = "rebases" // a delta: it is against another state
	dropDelta      = "loses"   // a delta
	repeatResponse = "doubles" // gives an answer for the next ask as well
	delayResponse  = "delays"  // an answer for longer than is waited for
)

// middleMan stands between a relay and those above it.
type faultyProxy struct {
	t *testing.T

	mu        sync.Mutex
	fault     string
	remaining int // left to do so
	injected  int
	last      []byte
}

// open listens in front of a real upstream.
func (m *faultyProxy) listen(target string) string {
	m.t.Helper()
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
			body = m.corrupt(body)
		}
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(res.StatusCode)
		_, _ = w.Write(body)
	}))
	m.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
		client.CloseIdleConnections()
	})
	return s.Listener.Addr().(*net.TCPAddr).String()
}

// begin has answers spoilt, so many of them.
func (m *faultyProxy) inject(how string, times int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault, m.remaining, m.injected = how, times, 0
}

// done tells how many it has spoilt since.
func (m *faultyProxy) injectedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.injected
}

func (m *faultyProxy) corrupt(came []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	was := m.last
	m.last = came
	if m.remaining == 0 {
		return came
	}
	a, err := distribution.DecodeResponse(came)
	if err != nil {
		m.t.Error(err)
		return came
	}
	whole := func() []byte {
		m.remaining--
		m.injected++
		raw, err := a.Encode()
		if err != nil {
			m.t.Error(err)
		}
		return raw
	}
	d := a.RulesDelta
	switch m.fault {
	case corruptByte:
		m.remaining--
		m.injected++
		came = bytes.Clone(came)
		came[len(came)/2] ^= 0x10
	case repeatResponse:
		if was != nil {
			m.remaining--
			m.injected++
			return was
		}
	case delayResponse:
		m.remaining--
		m.injected++
		m.mu.Unlock()
		time.Sleep(600 * time.Millisecond)
		m.mu.Lock()
	case swapValue:
		if d != nil && len(d.Set) > 0 {
			v := bytes.Clone(d.Set[0].Value)
			v[len(v)-1] ^= 1
			d.Set[0].Value = v
			return whole()
		}
	case changeBase:
		if d != nil && !d.From.None() {
			d.From = versioned.Mark{Number: d.From.Number, Digest: versioned.Digest{1}}
			return whole()
		}
	case dropDelta:
		if d != nil {
			a.RulesDelta = nil
			return whole()
		}
	}
	return came
}
