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

// original is the request on whose behalf a portal asks.
type original struct{ method, target []byte }

// flaw is why a call can't be taken, and the status that says so.
type flaw struct {
	status int
	says   string
}

func (f *flaw) Error() string { return f.says }

func bad(format string, args ...any) error {
	return &flaw{fasthttp.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// field is a forwarded header, by its names in the two dialects, and the checks that it has to pass.
type field struct {
	names [2]string
	must  bool
	check func([]byte) error
}

// The habits are those that the reverse proxies' own pages publish: X-Forwarded-Method, -Proto, -Host, -Uri
// and -For with a call by GET; X-Original-Method with X-Original-URI or -URL; or the original's own method,
// with its path behind a prefix.
var fields = [...]field{
	{[2]string{"X-Forwarded-Method", "X-Original-Method"}, true, methodWord},
	{[2]string{"X-Forwarded-Uri", "X-Original-Uri"}, true, target},
	{[2]string{"X-Forwarded-Host", "X-Original-Host"}, false, host},
	{[2]string{"X-Forwarded-Proto", "X-Original-Proto"}, false, proto},
}

// read finds the original request of a call, by a dialect. What a portal says in two ways has to agree, as
// one of them may be the client's own.
func read(h *fasthttp.RequestHeader, a *config.AuthServer) (original, error) {
	var got [len(fields)][]byte
	for i, f := range fields {
		for _, name := range f.names {
			v, err := transport.OptionalHeader(h, name)
			switch {
			case err != nil:
				return original{}, bad("%v", err)
			case v == nil:
				continue
			case len(v) > authcache.LongestField && i != 1 || len(v) > authcache.LongestTarget:
				return original{}, &flaw{fasthttp.StatusRequestURITooLong, name + " is too long"}
			}
			if err := f.check(v); err != nil {
				return original{}, bad("%s: %v", name, err)
			}
			if got[i] != nil && !bytes.Equal(got[i], v) {
				return original{}, bad("%s and %s contradict each other", f.names[0], name)
			}
			got[i] = v
		}
	}
	whole, err := transport.OptionalHeader(h, "X-Original-Url")
	if err != nil {
		return original{}, bad("%v", err)
	}
	if whole != nil {
		t, err := targetOf(whole)
		if err != nil {
			return original{}, err
		}
		if got[1] != nil && !bytes.Equal(got[1], t) {
			return original{}, bad("X-Original-Url contradicts another header")
		}
		got[1] = t
	}
	if err := chain(h); err != nil {
		return original{}, err
	}
	o := original{got[0], got[1]}
	if a.Dialect == config.DialectPath {
		rest, ok := bytes.CutPrefix(h.RequestURI(), []byte(a.Path))
		switch {
		case !ok || len(rest) == 0 || rest[0] != '/':
			return original{}, &flaw{fasthttp.StatusNotFound, "calls are taken under " + a.Path + "/"}
		case len(rest) > authcache.LongestTarget:
			return original{}, &flaw{fasthttp.StatusRequestURITooLong, "the path is too long"}
		case o.method != nil && !bytes.Equal(o.method, h.Method()), o.target != nil && !bytes.Equal(o.target, rest):
			return original{}, bad("a forwarded header contradicts the call itself")
		}
		return original{h.Method(), rest}, nil
	}
	path, _, _ := bytes.Cut(h.RequestURI(), []byte("?"))
	switch {
	case string(path) != a.Path:
		return original{}, &flaw{fasthttp.StatusNotFound, "calls are taken at " + a.Path}
	case string(h.Method()) != fasthttp.MethodGet:
		return original{}, &flaw{fasthttp.StatusMethodNotAllowed, "a call is a GET"}
	}
	for i, f := range fields {
		if f.must && got[i] == nil {
			return original{}, bad("%s must be given once", f.names[a.Dialect])
		}
	}
	return o, nil
}

func methodWord(v []byte) error {
	for _, c := range v {
		if c < 'A' || c > 'Z' {
			return errors.New("it must be a method in capitals")
		}
	}
	return some(v)
}

func target(v []byte) error {
	if len(v) == 0 || v[0] != '/' || bytes.HasPrefix(v, []byte("//")) {
		return errors.New("it must be a path")
	}
	return plain(v)
}

func host(v []byte) error {
	if bytes.ContainsAny(v, ",/@") {
		return errors.New("it must be one host")
	}
	return plain(v)
}

func proto(v []byte) error {
	if string(v) != "http" && string(v) != "https" {
		return errors.New("it must be http or https")
	}
	return nil
}

func some(v []byte) error {
	if len(v) == 0 {
		return errors.New("it is empty")
	}
	return nil
}

// plain takes nothing that one reader could see as the end and another not.
func plain(v []byte) error {
	for _, c := range v {
		if c <= ' ' || c > '~' || c == '#' || c == '\\' {
			return errors.New("it must be plain characters")
		}
	}
	return some(v)
}

// targetOf gives the path and query of a whole address.
func targetOf(v []byte) ([]byte, error) {
	if len(v) > authcache.LongestTarget {
		return nil, &flaw{fasthttp.StatusRequestURITooLong, "X-Original-Url is too long"}
	}
	u, err := url.Parse(string(v))
	if err != nil || u.Host == "" || proto([]byte(u.Scheme)) != nil || plain(v) != nil {
		return nil, bad("X-Original-Url: it must be a whole address")
	}
	t := v[len(u.Scheme)+len("://"):]
	at := bytes.IndexAny(t, "/?")
	if at < 0 || t[at] != '/' {
		return nil, bad("X-Original-Url: it has no path")
	}
	if err := target(t[at:]); err != nil {
		return nil, bad("X-Original-Url: %v", err)
	}
	return t[at:], nil
}

// chain checks the client's address and those of the portals on its way: it has to be there.
func chain(h *fasthttp.RequestHeader) error {
	const name = "X-Forwarded-For"
	v, err := transport.OptionalHeader(h, name)
	if err != nil {
		return bad("%v", err)
	}
	real, err := transport.OptionalHeader(h, "X-Real-Ip")
	if err != nil {
		return bad("%v", err)
	}
	if v == nil && real == nil {
		return bad("%s must be given once", name)
	}
	if len(v) > authcache.LongestField || len(real) > authcache.LongestField {
		return &flaw{fasthttp.StatusRequestHeaderFieldsTooLarge, name + " is too long"}
	}
	var hops []string
	if v != nil {
		hops = strings.Split(string(v), ",")
	}
	if len(hops) > authcache.MostHops {
		return bad("%s: %d addresses are too many", name, len(hops))
	}
	if real != nil {
		hops = append(hops, string(real))
	}
	for _, s := range hops {
		if _, err := netip.ParseAddr(strings.TrimSpace(s)); err != nil {
			return bad("%s: %q is no address", name, s)
		}
	}
	return nil
}
