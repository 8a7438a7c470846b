// Package transport holds all that a gatekeeper speaks on sockets: clients through the front, workers,
// discovery
// and peers. Each message is decoded once into a small typed value, and encoded once. It decides nothing.
package transport

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/policy"
)

// Millis turns the module's form of a time span into the library's.
func Millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// MostBody is how many bytes a message's body may have: 32 MB, however they are counted, and some more.
const MostBody = 40 << 20

// Txn is a client's txn as it came: what the module needs of it, and the bytes that pass on unchanged.
// The bytes are the client's connection's, good until its answer is given.
type Txn struct {
	policy.Request
	Method, Target, Mark, Key, Body []byte
	Upload                          *Upload // a body that is not kept
	Nameless                        bool    // it does not say whose it is: an auth service has to
	Sent                            bool    // something may have been sent for it
	client                          client  // nil where it cannot be seen whether the client waits
	head                            *fasthttp.RequestHeader
}

// client is a connection that can tell whether its other side has closed it.
type client interface {
	Gone() bool
	RemoteAddr() net.Addr
}

// From gives the client's address, without its port; empty where it is not known.
func (t *Txn) From() string {
	if t.client == nil {
		return ""
	}
	host, _, _ := net.SplitHostPort(t.client.RemoteAddr().String())
	return host
}

// Field gives the value of a header that may be there once; empty where it is not.
func (t *Txn) Field(name string) ([]byte, error) { return AtMostOnce(t.head, name) }

// Gone tells whether the client has closed its connection.
func (t *Txn) Gone() bool { return t.client != nil && t.client.Gone() }

// inChunks is how the library says that a body comes in chunks.
const inChunks = -1

// Decode reads a txn's head; its method and target may be another's than the head's own, who asks on its
// behalf. Where nameless txns are taken, a head may lack the customer. An error is the client's fault, and
// says what is wrong.
func Decode(h *fasthttp.RequestHeader, method, target []byte, names *config.Names, charter *policy.Settings,
	nameless bool) (Txn, error) {
	t := Txn{Method: method, Target: target, head: h}
	err := plain(h.RawHeaders())
	if err != nil {
		return t, err
	}
	if t.Mark, err = only(h, "X-Request-Id"); err != nil {
		return t, err
	}
	if len(t.Mark) > policy.MaxDedupKeyBytes || bytes.IndexFunc(t.Mark, unsightly) >= 0 {
		return t, errors.New("X-Request-Id: it must be plain characters, and not many")
	}
	if t.Product, err = product(t.Target, names); err != nil {
		return t, err
	}
	repeat := charter.Products[t.Product].Idempotency
	if t.Key, err = keyOf(h, t.Method, repeat); err != nil {
		return t, err
	}
	if n := h.ContentLength(); repeat == policy.Idempotent && (n > 0 || n == inChunks) {
		return t, errors.New("body: this product takes none")
	}
	plan, err := only(h, "Plan")
	if err != nil {
		return t, err
	}
	var ok bool
	if t.Plan, ok = names.Plans[string(plan)]; !ok {
		//lint:ignore ST1005 it begins with a header's name
		return t, fmt.Errorf("Plan: %q is unknown", plan)
	}
	if nameless && len(h.Peek("Cookie")) == 0 {
		t.Nameless = true
	} else if t.Customer, err = customer(h); err != nil {
		return t, err
	}
	wait, err := only(h, "X-Deadline")
	if err != nil {
		return t, err
	}
	if t.TimeLeftMillis, err = span(wait); err != nil {
		return t, err
	}
	quota, err := only(h, "Quota-Info")
	if err != nil {
		return t, err
	}
	return t, t.quota(quota, charter)
}

// plain checks that a head can be read in one way only. Guards against a request that hides another in its
// body: two statements of its length, or lines that not all readers end or begin in the same place.
func plain(head []byte) error {
	length, coding := false, false
	for len(head) > 0 {
		line, rest, _ := bytes.Cut(head, []byte("\n"))
		head = rest
		switch name, _, _ := bytes.Cut(line, []byte(":")); {
		case !bytes.HasSuffix(line, []byte("\r")) || line[0] == ' ' || line[0] == '\t':
			return errors.New("head: a line is folded, or does not end as it should")
		case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
			length = true
		case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
			coding = true
		}
	}
	if length && coding {
		return errors.New("Transfer-Encoding and Content-Length must not be given together")
	}
	return nil
}

func unsightly(c rune) bool { return c <= ' ' || c > '~' }

// customer reads the customer's number from the cookie that names it.
func customer(h *fasthttp.RequestHeader) (uint64, error) {
	cookie, err := only(h, "Cookie")
	if err != nil {
		return 0, err
	}
	var key []byte
	for seen := false; len(cookie) > 0; {
		var part []byte
		part, cookie, _ = bytes.Cut(cookie, []byte(";"))
		if value, ok := bytes.CutPrefix(bytes.TrimSpace(part), []byte("key=")); ok {
			if seen {
				//lint:ignore ST1005 it begins with a header's name
				return 0, errors.New("Cookie: key must be given once")
			}
			key, seen = value, true
		}
	}
	v, err := Customer(key)
	if err != nil {
		//lint:ignore ST1005 it begins with a header's name
		return 0, fmt.Errorf("Cookie: key %w", err)
	}
	return v, nil
}

// Customer reads a customer's number.
func Customer(key []byte) (uint64, error) {
	const digits, bits = 16, 33
	v, err := strconv.ParseUint(string(key), 16, bits)
	if err != nil || len(key) != digits {
		return 0, fmt.Errorf("must be %d hex digits, below 2^%d", digits, bits)
	}
	return v, nil
}

// number reads a number as people write it. Guards against words and forms that the library takes for one.
func number(b []byte) (float64, error) {
	for _, c := range b {
		if (c < '0' || c > '9') && c != '.' {
			return 0, strconv.ErrSyntax
		}
	}
	return strconv.ParseFloat(string(b), 64)
}

// only gives the value of a header that must be there once.
func only(h *fasthttp.RequestHeader, name string) ([]byte, error) {
	all := h.PeekAll(name)
	if len(all) != 1 || len(all[0]) == 0 {
		return nil, fmt.Errorf("%s must be given once", name)
	}
	return all[0], nil
}

// AtMostOnce gives the value of a header that may be there once; empty where it is not.
func AtMostOnce(h *fasthttp.RequestHeader, name string) ([]byte, error) {
	all := h.PeekAll(name)
	switch len(all) {
	case 0:
		return nil, nil
	case 1:
		return all[0], nil
	}
	return nil, fmt.Errorf("%s must be given once at most", name)
}

// product finds the product that the path's first part names.
func product(target []byte, names *config.Names) (int, error) {
	part, ok := bytes.CutPrefix(target, []byte("/"))
	if end := bytes.IndexAny(part, "/?"); end >= 0 {
		part = part[:end]
	}
	p, known := names.Products[string(part)]
	if !ok || !known {
		return 0, fmt.Errorf("path: product %q is unknown", part)
	}
	return p, nil
}

// keyOf checks that a txn comes as its product's kind asks, and gives its mark against repeats, if any.
func keyOf(h *fasthttp.RequestHeader, name []byte, kind policy.Idempotency) ([]byte, error) {
	want := fasthttp.MethodPost
	if kind == policy.Idempotent {
		want = fasthttp.MethodGet
	}
	if string(name) != want {
		return nil, fmt.Errorf("method: this product takes %s", want)
	}
	if kind == policy.Deduplicated {
		return only(h, "Idempotency-Key")
	}
	if kind == policy.NonIdempotent && len(h.Peek("Idempotency-Key")) > 0 {
		return nil, errors.New("Idempotency-Key: this product takes none")
	}
	return h.Peek("Idempotency-Key"), nil
}

// span reads a time with its unit, as ms.
func span(b []byte) (float64, error) {
	var ms float64
	if n := len(b) - 1; n > 0 {
		v, err := number(b[:n])
		switch {
		case err != nil:
		case b[n] == 'm':
			ms = v
		case b[n] == 'u':
			ms = v / 1000
		}
	}
	if !(ms > 0) || ms > policy.MaxClientWaitMillis {
		return 0, fmt.Errorf("X-Deadline: %q is no time ahead in m or u, or too long", b)
	}
	return ms, nil
}

// quota reads units=2,spread=3,first=1, which must be within what the charter allows.
func (t *Txn) quota(b []byte, charter *policy.Settings) error {
	const all = 7
	seen := 0
	for len(b) > 0 {
		var part []byte
		part, b, _ = bytes.Cut(b, []byte(","))
		name, value, _ := bytes.Cut(bytes.TrimSpace(part), []byte("="))
		v, err := number(value)
		bit := 0
		switch string(name) {
		case "units":
			bit, t.Units = 1, v
		case "spread":
			bit, t.SetSize = 2, int(v)
		case "first":
			bit, t.FirstGateway = 4, int(v)
		default:
			continue
		}
		if err != nil || v > math.MaxInt32 || bit > 1 && v != math.Trunc(v) || seen&bit != 0 {
			return fmt.Errorf("Quota-Info: %s must be given once, as a number", name)
		}
		seen |= bit
	}
	n := max(charter.GatewayCount, 1)
	switch {
	case seen != all || t.Units == 0 || t.SetSize == 0:
		return errors.New("Quota-Info: units, spread and first must be given")
	case charter.MaxRequestUnits > 0 && t.Units > charter.MaxRequestUnits:
		return fmt.Errorf("Quota-Info: units must be at most %g", charter.MaxRequestUnits)
	case t.SetSize > n || t.FirstGateway >= n:
		return fmt.Errorf("Quota-Info: spread and first must be of %d gatekeepers", n)
	case (charter.GatewayIndex-t.FirstGateway+n)%n >= t.SetSize:
		// Guards against a slice of quota and ceiling that is none of the parts they were split in.
		return errors.New("Quota-Info: this gatekeeper is not of the set")
	}
	return nil
}
