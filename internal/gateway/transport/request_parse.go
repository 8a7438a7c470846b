package transport

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/policy"
)

// Headers of a request that are named more than once here.
const (
	planHeader           = "Plan"
	cookieHeader         = "Cookie"
	idempotencyKeyHeader = "Idempotency-Key"
)

// DecodeRequest decodes a request's head. Method and target may be other than the head's own, where somebody
// asks on a client's behalf. allowAnonymous lets a head lack the customer. An error is the client's fault;
// its text goes to the client.
func DecodeRequest(head *fasthttp.RequestHeader, method, target []byte, names *config.Names,
	charter *policy.Settings, allowAnonymous bool) (Request, error) {
	r := Request{Method: method, Target: target, head: head}
	err := checkUnambiguous(head.RawHeaders())
	if err != nil {
		return r, err
	}
	if r.RequestID, err = requiredHeader(head, "X-Request-Id"); err != nil {
		return r, err
	}
	if len(r.RequestID) > policy.MaxDedupKeyBytes || bytes.IndexFunc(r.RequestID, isUnprintable) >= 0 {
		return r, errors.New("X-Request-Id: it must be plain characters, and not many")
	}
	if r.Product, err = parseProduct(r.Target, names); err != nil {
		return r, err
	}
	repeat := charter.Products[r.Product].Idempotency
	if r.IdempotencyKey, err = parseIdempotencyKey(head, r.Method, repeat); err != nil {
		return r, err
	}
	if n := head.ContentLength(); repeat == policy.Idempotent && (n > 0 || n == chunkedLength) {
		return r, errors.New("body: this product takes none")
	}
	plan, err := requiredHeader(head, planHeader)
	if err != nil {
		return r, err
	}
	var known bool
	if r.Plan, known = names.Plans[string(plan)]; !known {
		return r, fmt.Errorf("%s: %q is unknown", planHeader, plan)
	}
	if allowAnonymous && len(head.Peek(cookieHeader)) == 0 {
		r.Anonymous = true
	} else if r.Customer, err = parseCustomerCookie(head); err != nil {
		return r, err
	}
	deadline, err := requiredHeader(head, "X-Deadline")
	if err != nil {
		return r, err
	}
	if r.TimeLeftMillis, err = parseDeadlineMillis(deadline); err != nil {
		return r, err
	}
	quota, err := requiredHeader(head, "Quota-Info")
	if err != nil {
		return r, err
	}
	return r, r.parseQuota(quota, charter)
}

// checkUnambiguous checks that all readers of a head understand the same. Guards against request smuggling: a
// body that is stated in two ways, or lines that not all readers end or begin in the same place.
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

// isUnprintable tells whether a character is a blank, a control character or not ASCII.
func isUnprintable(c rune) bool { return c <= ' ' || c > '~' }

// parseCustomerCookie reads the customer's number from the cookie key.
func parseCustomerCookie(head *fasthttp.RequestHeader) (uint64, error) {
	cookie, err := requiredHeader(head, cookieHeader)
	if err != nil {
		return 0, err
	}
	var key []byte
	for seen := false; len(cookie) > 0; {
		var pair []byte
		pair, cookie, _ = bytes.Cut(cookie, []byte(";"))
		if value, ok := bytes.CutPrefix(bytes.TrimSpace(pair), []byte("key=")); ok {
			if seen {
				return 0, fmt.Errorf("%s: key must be given once", cookieHeader)
			}
			key, seen = value, true
		}
	}
	number, err := ParseCustomer(key)
	if err != nil {
		return 0, fmt.Errorf("%s: key %w", cookieHeader, err)
	}
	return number, nil
}

// ParseCustomer parses a customer's number. Its error says what the number must be.
func ParseCustomer(key []byte) (uint64, error) {
	const digits, bits = 16, 33
	number, err := strconv.ParseUint(string(key), 16, bits)
	if err != nil || len(key) != digits {
		return 0, fmt.Errorf("must be %d hex digits, below 2^%d", digits, bits)
	}
	return number, nil
}

// parseDecimal parses digits with an optional decimal point. Guards against the other forms that strconv
// takes: signs, exponents, hex, Inf and NaN.
func parseDecimal(text []byte) (float64, error) {
	for _, c := range text {
		if (c < '0' || c > '9') && c != '.' {
			return 0, strconv.ErrSyntax
		}
	}
	return strconv.ParseFloat(string(text), 64)
}

// requiredHeader gives the value of a header that must be there exactly once.
func requiredHeader(head *fasthttp.RequestHeader, name string) ([]byte, error) {
	values := head.PeekAll(name)
	if len(values) != 1 || len(values[0]) == 0 {
		return nil, fmt.Errorf("%s must be given once", name)
	}
	return values[0], nil
}

// OptionalHeader gives the value of a header that may be there once; nil where it is not there.
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

// parseProduct gives the index of the product that the path's first segment names.
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

// parseIdempotencyKey checks that method and key are as a product of this kind requires, and gives the key,
// if any.
func parseIdempotencyKey(head *fasthttp.RequestHeader, method []byte, kind policy.Idempotency) ([]byte,
	error) {
	want := fasthttp.MethodPost
	if kind == policy.Idempotent {
		want = fasthttp.MethodGet
	}
	if string(method) != want {
		return nil, fmt.Errorf("method: this product takes %s", want)
	}
	if kind == policy.Deduplicated {
		return requiredHeader(head, idempotencyKeyHeader)
	}
	if kind == policy.NonIdempotent && len(head.Peek(idempotencyKeyHeader)) > 0 {
		return nil, errors.New("Idempotency-Key: this product takes none")
	}
	return head.Peek(idempotencyKeyHeader), nil
}

// parseDeadlineMillis parses a time span with its unit, m for ms or u for us, and gives it in ms.
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
	if !(ms > 0) || ms > policy.MaxClientWaitMillis {
		return 0, fmt.Errorf("X-Deadline: %q is no time ahead in m or u, or too long", text)
	}
	return ms, nil
}

// parseQuota parses units=2,spread=3,first=1 into the request and checks it against the charter.
func (r *Request) parseQuota(text []byte, charter *policy.Settings) error {
	const (
		unitsField, spreadField, firstField = 1, 2, 4
		allFields                           = unitsField | spreadField | firstField
	)
	seen := 0
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte(","))
		name, value, _ := bytes.Cut(bytes.TrimSpace(pair), []byte("="))
		number, err := parseDecimal(value)
		field := 0
		switch string(name) {
		case "units":
			field, r.Units = unitsField, number
		case "spread":
			field, r.SetSize = spreadField, int(number)
		case "first":
			field, r.FirstGateway = firstField, int(number)
		default:
			continue
		}
		fraction := field != unitsField && number != math.Trunc(number)
		if err != nil || number > math.MaxInt32 || fraction || seen&field != 0 {
			return fmt.Errorf("Quota-Info: %s must be given once, as a number", name)
		}
		seen |= field
	}
	instances := max(charter.GatewayCount, 1)
	switch {
	case seen != allFields || r.Units == 0 || r.SetSize == 0:
		return errors.New("Quota-Info: units, spread and first must be given")
	case charter.MaxRequestUnits > 0 && r.Units > charter.MaxRequestUnits:
		return fmt.Errorf("Quota-Info: units must be at most %g", charter.MaxRequestUnits)
	case r.SetSize > instances || r.FirstGateway >= instances:
		return fmt.Errorf("Quota-Info: spread and first must be of %d gatekeepers", instances)
	case (charter.GatewayIndex-r.FirstGateway+instances)%instances >= r.SetSize:
		// Guards against a share of a quota and rate limit that are not split among a set with this instance.
		return errors.New("Quota-Info: this gatekeeper is not of the set")
	}
	return nil
}
