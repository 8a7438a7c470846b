package authserver

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/forwardauth/authcache"
	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/transport"
)

// originalRequest is the client's request for which a reverse proxy asks for clearance.
type originalRequest struct{ method, target []byte }

// callError is the reason why a call is invalid, with the status of the response.
type callError struct {
	status  int
	message string
}

func (e *callError) Error() string { return e.message }

// badRequest returns a callError of status 400.
func badRequest(format string, args ...any) error {
	return &callError{fasthttp.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// forwardedHeader is a forwarded header, by its names in the two dialects, and its validation.
type forwardedHeader struct {
	names    [2]string
	required bool
	validate func([]byte) error
}

// targetHeader is the index of the target in forwardedHeaders.
const targetHeader = 1

// forwardedHeaders are the headers that the documentation of reverse proxies names. A GET call has either
// X-Forwarded-Method, -Proto, -Host, -Uri and -For, or X-Original-Method with X-Original-URI or -URL. Other
// proxies call with the method of the original request, and with its path after a prefix.
var forwardedHeaders = [...]forwardedHeader{
	{[2]string{"X-Forwarded-Method", "X-Original-Method"}, true, validateMethod},
	{[2]string{"X-Forwarded-Uri", "X-Original-Uri"}, true, validateTarget},
	{[2]string{"X-Forwarded-Host", "X-Original-Host"}, false, validateHost},
	{[2]string{"X-Forwarded-Proto", "X-Original-Proto"}, false, validateScheme},
}

// parseOriginal returns the original request of a call, according to the configured dialect. Headers for the
// same value must be equal, as one of them may have been set by the client.
func parseOriginal(header *fasthttp.RequestHeader, cfg *config.AuthServer) (originalRequest, error) {
	var values [len(forwardedHeaders)][]byte
	for i, f := range forwardedHeaders {
		for _, name := range f.names {
			v, err := transport.OptionalHeader(header, name)
			switch {
			case err != nil:
				return originalRequest{}, badRequest("%v", err)
			case v == nil:
				continue
			case len(v) > authcache.MaxHeaderBytes && i != targetHeader || len(v) > authcache.MaxTargetBytes:
				return originalRequest{}, &callError{fasthttp.StatusRequestURITooLong, name + " is too long"}
			}
			if err := f.validate(v); err != nil {
				return originalRequest{}, badRequest("%s: %v", name, err)
			}
			if values[i] != nil && !bytes.Equal(values[i], v) {
				return originalRequest{}, badRequest("%s and %s contradict each other", f.names[0], name)
			}
			values[i] = v
		}
	}
	wholeURL, err := transport.OptionalHeader(header, "X-Original-Url")
	if err != nil {
		return originalRequest{}, badRequest("%v", err)
	}
	if wholeURL != nil {
		target, err := targetOfURL(wholeURL)
		if err != nil {
			return originalRequest{}, err
		}
		if values[targetHeader] != nil && !bytes.Equal(values[targetHeader], target) {
			return originalRequest{}, badRequest("X-Original-Url contradicts another header")
		}
		values[targetHeader] = target
	}
	if err := validateClientChain(header); err != nil {
		return originalRequest{}, err
	}
	original := originalRequest{values[0], values[targetHeader]}
	if cfg.Dialect == config.DialectPath {
		return originalByPath(header, cfg, original)
	}
	path, _, _ := bytes.Cut(header.RequestURI(), []byte("?"))
	switch {
	case string(path) != cfg.Path:
		return originalRequest{}, &callError{fasthttp.StatusNotFound, "calls are taken at " + cfg.Path}
	case string(header.Method()) != fasthttp.MethodGet:
		return originalRequest{}, &callError{fasthttp.StatusMethodNotAllowed, "a call is a GET"}
	}
	for i, f := range forwardedHeaders {
		if f.required && values[i] == nil {
			return originalRequest{}, badRequest("%s must be given once", f.names[cfg.Dialect])
		}
	}
	return original, nil
}

// originalByPath returns the original request of a call that has the original method, and the original target
// after a prefix. forwarded is the request according to the headers, which must not differ from it.
func originalByPath(header *fasthttp.RequestHeader, cfg *config.AuthServer,
	forwarded originalRequest) (originalRequest, error) {
	target, ok := bytes.CutPrefix(header.RequestURI(), []byte(cfg.Path))
	switch {
	case !ok || len(target) == 0 || target[0] != '/':
		return originalRequest{}, &callError{fasthttp.StatusNotFound, "calls are taken under " + cfg.Path + "/"}
	case len(target) > authcache.MaxTargetBytes:
		return originalRequest{}, &callError{fasthttp.StatusRequestURITooLong, "the path is too long"}
	case forwarded.method != nil && !bytes.Equal(forwarded.method, header.Method()),
		forwarded.target != nil && !bytes.Equal(forwarded.target, target):
		return originalRequest{}, badRequest("a forwarded header contradicts the call itself")
	}
	return originalRequest{header.Method(), target}, nil
}

// validateMethod checks that a value is an HTTP method in capitals.
func validateMethod(v []byte) error {
	for _, c := range v {
		if c < 'A' || c > 'Z' {
			return errors.New("it must be a method in capitals")
		}
	}
	return validateNotEmpty(v)
}

// validateTarget checks that a value is a path with an optional query.
func validateTarget(v []byte) error {
	if len(v) == 0 || v[0] != '/' || bytes.HasPrefix(v, []byte("//")) {
		return errors.New("it must be a path")
	}
	return validatePrintable(v)
}

// validateHost checks that a value is one host.
func validateHost(v []byte) error {
	if bytes.ContainsAny(v, ",/@") {
		return errors.New("it must be one host")
	}
	return validatePrintable(v)
}

// validateScheme checks that a value is http or https.
func validateScheme(v []byte) error {
	if string(v) != "http" && string(v) != "https" {
		return errors.New("it must be http or https")
	}
	return nil
}

// validateNotEmpty checks that a value is not empty.
func validateNotEmpty(v []byte) error {
	if len(v) == 0 {
		return errors.New("it is empty")
	}
	return nil
}

// validatePrintable rejects empty values and characters at which parsers might disagree about the end of the
// value.
func validatePrintable(v []byte) error {
	for _, c := range v {
		if c <= ' ' || c > '~' || c == '#' || c == '\\' {
			return errors.New("it must be plain characters")
		}
	}
	return validateNotEmpty(v)
}

// targetOfURL returns the path and query of an absolute URL.
func targetOfURL(v []byte) ([]byte, error) {
	if len(v) > authcache.MaxTargetBytes {
		return nil, &callError{fasthttp.StatusRequestURITooLong, "X-Original-Url is too long"}
	}
	u, err := url.Parse(string(v))
	if err != nil || u.Host == "" || validateScheme([]byte(u.Scheme)) != nil || validatePrintable(v) != nil {
		return nil, badRequest("X-Original-Url: it must be a whole address")
	}
	rest := v[len(u.Scheme)+len("://"):]
	start := bytes.IndexAny(rest, "/?")
	if start < 0 || rest[start] != '/' {
		return nil, badRequest("X-Original-Url: it has no path")
	}
	if err := validateTarget(rest[start:]); err != nil {
		return nil, badRequest("X-Original-Url: %v", err)
	}
	return rest[start:], nil
}

// validateClientChain checks the addresses of the client and of the proxies between it and the gateway. There
// must be at least one.
func validateClientChain(header *fasthttp.RequestHeader) error {
	const name = "X-Forwarded-For"
	forwardedFor, err := transport.OptionalHeader(header, name)
	if err != nil {
		return badRequest("%v", err)
	}
	realIP, err := transport.OptionalHeader(header, "X-Real-Ip")
	if err != nil {
		return badRequest("%v", err)
	}
	if forwardedFor == nil && realIP == nil {
		return badRequest("%s must be given once", name)
	}
	if len(forwardedFor) > authcache.MaxHeaderBytes || len(realIP) > authcache.MaxHeaderBytes {
		return &callError{fasthttp.StatusRequestHeaderFieldsTooLarge, name + " is too long"}
	}
	var hops []string
	if forwardedFor != nil {
		hops = strings.Split(string(forwardedFor), ",")
	}
	if len(hops) > authcache.MaxForwardedHops {
		return badRequest("%s: %d addresses are too many", name, len(hops))
	}
	if realIP != nil {
		hops = append(hops, string(realIP))
	}
	for _, s := range hops {
		if _, err := netip.ParseAddr(strings.TrimSpace(s)); err != nil {
			return badRequest("%s: %q is no address", name, s)
		}
	}
	return nil
}
