// Package distribution carries versions of the rules from a council's daemon down a tree of relays, and what
// has
// been seen of them up: the I/O of package distribution, which decides. See docs/relay-design.md.
package relay

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/bootclock"
	"willowdeck/internal/distribution"
)

const (
	// AskPath is where relays and a council's daemons are asked: POST of an Ask, answered with an Answer.
	AskPath = "/relay/ask"

	contentType = "application/cbor"

	longestSays = 200             // bytes of a refusal that are kept
	mostTalks   = 2               // connections to one upstream: one may hang until its time is up
	idleFor     = 5 * time.Second // asks come several in a lease: only those to others lie idle
)

// Clock is the time by which ages are counted, ms: it goes on while the process stands still and the machine
// sleeps.
func Clock() float64 { return float64(bootclock.Nanos()) / 1e6 }

// millis is a time in ms as the library has it.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// StatusError is an answer that is none. Code is HTTP's; 404 is of a program that does not speak this.
type StatusError struct {
	Code int
	Says string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Code, e.Says) }

// ErrSpoilt is of an answer that came and can't be gone by: garbled, too long, or with another's digest.
var ErrSpoilt = errors.New("an answer that can't be gone by")

// Reasons why an ask has no answer, as they are counted.
const (
	late    = "late"    // no answer in its time
	refused = "refused" // one with another status than 200
	garbled = "garbled" // one that can't be read
	lost    = "lost"    // the connection failed
	other   = "other"   // it is to another question
	spoilt  = "spoilt"  // its checksum is another than that of what came
)

// Traffic is what has passed in one direction since the start.
type Traffic struct {
	Asks        int64            `json:"asks"`
	Answers     int64            `json:"answers"`
	AskBytes    int64            `json:"ask_bytes"`    // bodies, without HTTP's headers
	AnswerBytes int64            `json:"answer_bytes"` // the same
	In          int64            `json:"in"`           // bytes on the wire that came here, heads too
	Out         int64            `json:"out"`
	Failed      map[string]int64 `json:"failed"` // without an answer that can be gone by, by reason
}

// traffic counts as it passes.
type traffic struct {
	asks, answers, askBytes, answerBytes, in, out atomic.Int64

	mu     sync.Mutex
	failed map[string]int64
}

func (t *traffic) fail(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failed == nil {
		t.failed = map[string]int64{}
	}
	t.failed[reason]++
}

func (t *traffic) counts() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Traffic{Asks: t.asks.Load(), Answers: t.answers.Load(), AskBytes: t.askBytes.Load(),
		AnswerBytes: t.answerBytes.Load(), In: t.in.Load(), Out: t.out.Load(), Failed: map[string]int64{}}
	for k, n := range t.failed {
		c.Failed[k] = n
	}
	return c
}

// counted counts the bytes that pass, heads and all.
type counted struct {
	net.Conn
	in, out *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// Client asks upstreams, over connections that are kept. It is safe for concurrent use.
type Client struct {
	traffic traffic
	number  atomic.Uint64 // of the last question
	ways    []*fasthttp.HostClient
	urls    []string
}

// NewClient makes one for upstreams at HOST:PORT each, that answer at a path. An address may be any: it is
// dialled when it is asked.
func NewClient(at []string, path string) *Client {
	c := &Client{}
	c.number.Store(rand.Uint64()) // those of a former life may be on the way
	for _, a := range at {
		c.urls = append(c.urls, "http://"+a+path)
		c.ways = append(c.ways, &fasthttp.HostClient{Addr: a, MaxConns: mostTalks, MaxIdleConnDuration: idleFor,
			MaxIdemponentCallAttempts: 1, MaxResponseBodySize: distribution.MostAnswer, NoDefaultUserAgentHeader: true,
			DisablePathNormalizing: true, DialTimeout: c.dial})
	}
	return c
}

// dial connects to an upstream within an ask's own time.
func (c *Client) dial(at string, within time.Duration) (net.Conn, error) {
	n, err := net.DialTimeout("tcp", at, within)
	if err != nil {
		return nil, err
	}
	return counted{n, &c.traffic.in, &c.traffic.out}, nil
}

// Ask asks one upstream and waits for its answer, for so many ms at most. An error is a *StatusError where it
// has answered with another status than 200, and an ErrSpoilt where its answer can't be gone by. An ask
// without a Number gets one, and the answer has to bear it: its age counts from when its question came, so
// that one which is given again for a later question (by a cache, or a box that has lost count) would make
// what it says younger than it is.
func (c *Client) Ask(upstream int, a *distribution.Ask, within float64) (*distribution.Answer, error) {
	q := *a
	if q.Number == 0 {
		q.Number = c.number.Add(1)
	}
	raw, err := q.Bytes()
	if err != nil {
		return nil, err
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(c.urls[upstream])
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType(contentType)
	req.SetBodyRaw(raw)
	c.traffic.asks.Add(1)
	c.traffic.askBytes.Add(int64(len(raw)))
	if err := c.ways[upstream].DoTimeout(req, res, millis(within)); err != nil {
		switch {
		case errors.Is(err, fasthttp.ErrTimeout):
			c.traffic.fail(late)
		case errors.Is(err, fasthttp.ErrBodyTooLarge):
			c.traffic.fail(garbled)
			return nil, fmt.Errorf("%w: %w", ErrSpoilt, err)
		default:
			c.traffic.fail(lost)
		}
		return nil, err
	}
	body := res.Body()
	c.traffic.answers.Add(1)
	c.traffic.answerBytes.Add(int64(len(body)))
	if s := res.StatusCode(); s != fasthttp.StatusOK {
		c.traffic.fail(refused)
		return nil, &StatusError{Code: s, Says: string(body[:min(len(body), longestSays)])}
	}
	got, err := distribution.ReadAnswer(body)
	if err != nil {
		c.traffic.fail(unread(err))
		return nil, fmt.Errorf("%w: %w", ErrSpoilt, err)
	}
	if got.Number != q.Number {
		c.traffic.fail(other)
		return nil, fmt.Errorf("%w: it is to question %d, this was %d", ErrSpoilt, got.Number, q.Number)
	}
	return got, nil
}

// unread is the reason by which something is counted that can't be read.
func unread(err error) string {
	if errors.Is(err, distribution.ErrSum) {
		return spoilt
	}
	return garbled
}

// Traffic gives what has passed so far.
func (c *Client) Traffic() Traffic { return c.traffic.counts() }

// Close ends connections that lie idle. One that an ask is on ends with that ask.
func (c *Client) Close() {
	for _, w := range c.ways {
		w.CloseIdleConnections()
	}
}
