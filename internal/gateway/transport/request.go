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
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// MaxBodyBytes is how many bytes a message's body may have: 32 MB, however they are counted, and some more.
const MaxBodyBytes = 40 << 20

// Request is a client's txn as it came: what the module needs of it, and the bytes that pass on unchanged.
// The bytes are the client's connection's, good until its answer is given.
type Request struct {
	policy.Arrival
	Method, Target, RequestID, IdempotencyKey, Body []byte
	Upload                                          *Upload // a body that is not kept
	Anonymous                                       bool    // it does not say whose it is: an auth service has to
	MaybeSent                                       bool    // something may have been sent for it
	client                                          client  // nil where it cannot be seen whether the client waits
	head                                            *fasthttp.RequestHeader
}

// client is a connection that can tell whether its other side has closed it.
type client interface {
	Gone() bool
	RemoteAddr() net.Addr
}

// ClientIP gives the client's address, without its port; empty where it is not known.
func (r *Request) ClientIP() string {
	if r.client == nil {
		return ""
	}
	host, _, _ := net.SplitHostPort(r.client.RemoteAddr().String())
	return host
}

// Header gives the value of a header that may be there once; empty where it is not.
func (r *Request) Header(name string) ([]byte, error) { return OptionalHeader(r.head, name) }

// Gone tells whether the client has closed its connection.
func (r *Request) Gone() bool { return r.client != nil && r.client.Gone() }

// chunkedLength is how the library says that a body comes in chunks.
const chunkedLength = -1

// DecodeRequest reads a txn's head; its method and target may be another's than the head's own, who asks on its
// behalf. Where nameless txns are taken, a head may lack the customer. An error is the client's fault, and
// says what is wrong.
func DecodeRequest(head *fasthttp.RequestHeader, method, target []byte, names *config.Names,
	charter *policy.Charter,
	allowAnonymous bool) (Request, error) {
	r := Request{Method: method, Target: target, head: head}
	err := checkUnambiguous(head.RawHeaders())
	if err != nil {
		return r, err
	}
	if r.RequestID, err = requiredHeader(head, "X-Request-Id"); err != nil {
		return r, err
	}
	if len(r.RequestID) > policy.LongestMark || bytes.IndexFunc(r.RequestID, isUnprintable) >= 0 {
		return r, errors.New("X-Request-Id: it must be plain characters, and not many")
	}
	if r.Product, err = parseProduct(r.Target, names); err != nil {
		return r, err
	}
	repeat := charter.Products[r.Product].Repeat
	if r.IdempotencyKey, err = parseIdempotencyKey(head, r.Method, repeat); err != nil {
		return r, err
	}
	if n := head.ContentLength(); repeat == policy.InquiryLike && (n > 0 || n == chunkedLength) {
		return r, errors.New("body: this product takes none")
	}
	plan, err := requiredHeader(head, "Plan")
	if err != nil {
		return r, err
	}
	var known bool
	if r.Plan, known = names.Plans[string(plan)]; !known {
		//lint:ignore ST1005 it begins with a header's name
		return r, fmt.Errorf("Plan: %q is unknown", plan)
	}
	if allowAnonymous && len(head.Peek("Cookie")) == 0 {
		r.Anonymous = true
	} else if r.Customer, err = parseCustomerCookie(head); err != nil {
		return r, err
	}
	deadline, err := requiredHeader(head, "X-Deadline")
	if err != nil {
		return r, err
	}
	if r.Left, err = parseDeadlineMillis(deadline); err != nil {
		return r, err
	}
	quota, err := requiredHeader(head, "Quota-Info")
	if err != nil {
		return r, err
	}
	return r, r.parseQuota(quota, charter)
}

// checkUnambiguous checks that a head can be read in one way only. Guards against a request that hides another in its
// body: two statements of its length, or lines that not all readers end or begin in the same place.
func checkUnambiguous(head []byte) error {
	hasLength, hasTransferEncoding := false, false
	for len(head) > 0 {
		line, rest, _ := bytes.Cut(head, []byte("\n"))
		head = rest
		switch name, _, _ := bytes.Cut(line, []byte(":")); {
		case !bytes.HasSuffix(line, []byte("\r")) || line[0] == ' ' || line[0] == '\t':
			return errors.New("head: a line is folded, or does not end as it should")
		case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
			hasLength = true
		case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
			hasTransferEncoding = true
		}
	}
	if hasLength && hasTransferEncoding {
		return errors.New("Transfer-Encoding and Content-Length must not be given together")
	}
	return nil
}

func isUnprintable(c rune) bool { return c <= ' ' || c > '~' }

// parseCustomerCookie reads the customer's number from the cookie that names it.
func parseCustomerCookie(head *fasthttp.RequestHeader) (uint64, error) {
	cookie, err := requiredHeader(head, "Cookie")
	if err != nil {
		return 0, err
	}
	var key []byte
	for seen := false; len(cookie) > 0; {
		var pair []byte
		pair, cookie, _ = bytes.Cut(cookie, []byte(";"))
		if value, ok := bytes.CutPrefix(bytes.TrimSpace(pair), []byte("key=")); ok {
			if seen {
				//lint:ignore ST1005 it begins with a header's name
				return 0, errors.New("Cookie: key must be given once")
			}
			key, seen = value, true
		}
	}
	number, err := ParseCustomer(key)
	if err != nil {
		//lint:ignore ST1005 it begins with a header's name
		return 0, fmt.Errorf("Cookie: key %w", err)
	}
	return number, nil
}

// ParseCustomer reads a customer's number.
func ParseCustomer(key []byte) (uint64, error) {
	const digits, bits = 16, 33
	number, err := strconv.ParseUint(string(key), 16, bits)
	if err != nil || len(key) != digits {
		return 0, fmt.Errorf("must be %d hex digits, below 2^%d", digits, bits)
	}
	return number, nil
}

// parseDecimal reads a number as people write it. Guards against words and forms that the library takes for one.
func parseDecimal(text []byte) (float64, error) {
	for _, c := range text {
		if (c < '0' || c > '9') && c != '.' {
			return 0, strconv.ErrSyntax
		}
	}
	return strconv.ParseFloat(string(text), 64)
}

// requiredHeader gives the value of a header that must be there once.
func requiredHeader(head *fasthttp.RequestHeader, name string) ([]byte, error) {
	values := head.PeekAll(name)
	if len(values) != 1 || len(values[0]) == 0 {
		return nil, fmt.Errorf("%s must be given once", name)
	}
	return values[0], nil
}

// OptionalHeader gives the value of a header that may be there once; empty where it is not.
func OptionalHeader(head *fasthttp.RequestHeader, name string) ([]byte, error) {
	values := head.PeekAll(name)
	switch len(values) {
	case 0:
		return nil, nil
	case 1:
		return values[0], nil
	}
	return nil, fmt.Errorf("%s must be given once at most", name)
}

// parseProduct finds the product that the path's first part names.
func parseProduct(target []byte, names *config.Names) (int, error) {
	segment, ok := bytes.CutPrefix(target, []byte("/"))
	if end := bytes.IndexAny(segment, "/?"); end >= 0 {
		segment = segment[:end]
	}
	index, known := names.Products[string(segment)]
	if !ok || !known {
		return 0, fmt.Errorf("path: product %q is unknown", segment)
	}
	return index, nil
}

// parseIdempotencyKey checks that a txn comes as its product's kind asks, and gives its mark against repeats, if any.
func parseIdempotencyKey(head *fasthttp.RequestHeader, method []byte, kind policy.Repeat) ([]byte, error) {
	want := fasthttp.MethodPost
	if kind == policy.InquiryLike {
		want = fasthttp.MethodGet
	}
	if string(method) != want {
		return nil, fmt.Errorf("method: this product takes %s", want)
	}
	if kind == policy.Referenced {
		return requiredHeader(head, "Idempotency-Key")
	}
	if kind == policy.OnceOnly && len(head.Peek("Idempotency-Key")) > 0 {
		return nil, errors.New("Idempotency-Key: this product takes none")
	}
	return head.Peek("Idempotency-Key"), nil
}

// parseDeadlineMillis reads a time with its unit, as ms.
func parseDeadlineMillis(text []byte) (float64, error) {
	var ms float64
	if n := len(text) - 1; n > 0 {
		number, err := parseDecimal(text[:n])
		switch {
		case err != nil:
		case text[n] == 'm':
			ms = number
		case text[n] == 'u':
			ms = number / 1000
		}
	}
	if !(ms > 0) || ms > policy.LongestWait {
		return 0, fmt.Errorf("X-Deadline: %q is no time ahead in m or u, or too long", text)
	}
	return ms, nil
}

// parseQuota reads units=2,spread=3,first=1, which must be within what the charter allows.
func (r *Request) parseQuota(text []byte, charter *policy.Charter) error {
	const allFields = 7
	seen := 0
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte(","))
		name, value, _ := bytes.Cut(bytes.TrimSpace(pair), []byte("="))
		number, err := parseDecimal(value)
		field := 0
		switch string(name) {
		case "units":
			field, r.Units = 1, number
		case "spread":
			field, r.SetSize = 2, int(number)
		case "first":
			field, r.First = 4, int(number)
		default:
			continue
		}
		if err != nil || number > math.MaxInt32 || field > 1 && number != math.Trunc(number) || seen&field != 0 {
			return fmt.Errorf("Quota-Info: %s must be given once, as a number", name)
		}
		seen |= field
	}
	instances := max(charter.Gatekeepers, 1)
	switch {
	case seen != allFields || r.Units == 0 || r.SetSize == 0:
		return errors.New("Quota-Info: units, spread and first must be given")
	case charter.LargestUnits > 0 && r.Units > charter.LargestUnits:
		return fmt.Errorf("Quota-Info: units must be at most %g", charter.LargestUnits)
	case r.SetSize > instances || r.First >= instances:
		return fmt.Errorf("Quota-Info: spread and first must be of %d gatekeepers", instances)
	case (charter.Me-r.First+instances)%instances >= r.SetSize:
		// Guards against a slice of quota and ceiling that is none of the parts they were split in.
		return errors.New("Quota-Info: this gatekeeper is not of the set")
	}
	return nil
}
