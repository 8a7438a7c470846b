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
	flips   = "flips"   // a byte on its way
	swaps   = "swaps"   // a value within a delta, and has the checksum of the answer right
	rebases = "rebases" // a delta: it is against another state
	loses   = "loses"   // a delta
	doubles = "doubles" // gives an answer for the next ask as well
	delays  = "delays"  // an answer for longer than is waited for
)

// middleMan stands between a relay and those above it.
type middleMan struct {
	t *testing.T

	mu    sync.Mutex
	how   string
	times int // left to do so
	did   int
	last  []byte
}

// open listens in front of a real upstream.
func (m *middleMan) open(target string) string {
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
			body = m.spoil(body)
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
func (m *middleMan) begin(how string, times int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.how, m.times, m.did = how, times, 0
}

// done tells how many it has spoilt since.
func (m *middleMan) done() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.did
}

func (m *middleMan) spoil(came []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	was := m.last
	m.last = came
	if m.times == 0 {
		return came
	}
	a, err := distribution.ReadAnswer(came)
	if err != nil {
		m.t.Error(err)
		return came
	}
	whole := func() []byte {
		m.times--
		m.did++
		raw, err := a.Bytes()
		if err != nil {
			m.t.Error(err)
		}
		return raw
	}
	d := a.RulesDelta
	switch m.how {
	case flips:
		m.times--
		m.did++
		came = bytes.Clone(came)
		came[len(came)/2] ^= 0x10
	case doubles:
		if was != nil {
			m.times--
			m.did++
			return was
		}
	case delays:
		m.times--
		m.did++
		m.mu.Unlock()
		time.Sleep(600 * time.Millisecond)
		m.mu.Lock()
	case swaps:
		if d != nil && len(d.Set) > 0 {
			v := bytes.Clone(d.Set[0].Value)
			v[len(v)-1] ^= 1
			d.Set[0].Value = v
			return whole()
		}
	case rebases:
		if d != nil && !d.From.IsNone() {
			d.From = versioned.VersionID{Number: d.From.Number, Digest: versioned.Digest{1}}
			return whole()
		}
	case loses:
		if d != nil {
			a.RulesDelta = nil
			return whole()
		}
	}
	return came
}
