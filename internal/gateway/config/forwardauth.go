package config

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"

	"willowdeck/internal/forwardauth/authcache"
	"willowdeck/internal/policy"
	"willowdeck/internal/strictoml"
)

// Forward is what forward authentication is told, in either role; nil where a role is off.
type Forward struct {
	Asked  *Asked
	Asking *Asking
}

// Asked is the role in which portals ask whether a txn may come. Times are in ms.
type Asked struct {
	Listen       string
	Path         string // of their calls; of the dialect path, what stands before the original one
	Dialect      Dialect
	Trusted      []netip.Prefix // portals' addresses
	NoStatus     int            // of a decline
	Life, Memory float64
	Most         int
	Callers      int
	Only         []bool // by product: it comes only if it has been cleared
}

// Dialect is how a portal says what the original request was.
type Dialect uint8

// The dialects.
const (
	ByForwarded Dialect = iota // X-Forwarded-Method and -Uri
	ByOriginal                 // X-Original-Method and -URI or -URL
	ByPath                     // its own method, and the path behind a prefix
)

var dialects = map[string]Dialect{"forwarded": ByForwarded, "original": ByOriginal, "path": ByPath}

// Asking is the role in which a service is asked before a txn goes on. Times are in ms.
type Asking struct {
	Service     string // address
	Path        string
	Credential  string // header of the txn that says who its client is
	Customer    string // header of a yes that names the customer; empty where none does
	Send, Copy  []string
	Concerned   []bool // by product
	OpenOn      []bool // by product: on trouble it goes on
	Terms       authcache.Terms
	Connections int
}

// forwardFile is the operator file's own form.
type forwardFile struct {
	Asked struct {
		Listen      string
		Path        string
		Dialect     string
		Trusted     []string
		NoStatus    int     `toml:"no_status"`
		LifeMS      float64 `toml:"life_ms"`
		RememberS   float64 `toml:"remember_s"`
		Most        int
		Connections int
		ClearedOnly []string `toml:"cleared_only"`
	}
	Asking struct {
		Service     string
		Path        string
		Credential  string
		Customer    string
		Send, Copy  []string
		Products    []string
		Open        []string
		LimitMS     float64 `toml:"limit_ms"`
		Share       float64
		Connections int
		YesS        float64 `toml:"yes_s"`
		NoS         float64 `toml:"no_s"`
		Credentials int
		Breaker     struct {
			After   int
			PauseMS float64 `toml:"pause_ms"`
			MostMS  float64 `toml:"most_ms"`
		}
	}
}

// ReadForward reads and checks the operator file of forward authentication. Its products are those of the
// gatekeeper's own settings. An error names the file, and the line or the key.
func ReadForward(path string, g *Gatekeeper) (*Forward, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("forward: %w", err)
	}
	f, err := DecodeForward(string(raw), g)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// DecodeForward decodes and checks the operator file's text.
func DecodeForward(text string, g *Gatekeeper) (*Forward, error) {
	var file forwardFile
	file.defaults()
	err := strictoml.Decode(text, &file)
	if err != nil {
		return nil, err
	}
	f, isAsked, asks := &Forward{}, strictoml.Has(text, "asked"), strictoml.Has(text, "asking")
	if !isAsked && !asks {
		return nil, errors.New("asked, asking: neither is there")
	}
	if isAsked {
		if f.Asked, err = file.asked(g); err != nil {
			return nil, fmt.Errorf("asked.%w", err)
		}
	}
	if asks {
		if f.Asking, err = file.asking(g); err != nil {
			return nil, fmt.Errorf("asking.%w", err)
		}
	}
	if held := f.Connections(); held > g.Sockets/2 {
		return nil, fmt.Errorf("connections: asked and asking have %d together, over half of limits.sockets, %d",
			held, g.Sockets)
	}
	return f, nil
}

// Connections is how many descriptors forward authentication may hold.
func (f *Forward) Connections() int {
	n := 0
	if f != nil && f.Asked != nil {
		n += f.Asked.Callers + 1
	}
	if f != nil && f.Asking != nil {
		n += f.Asking.Connections
	}
	return n
}

func (file *forwardFile) defaults() {
	a, b := &file.Asked, &file.Asking
	a.Path, a.Dialect, a.NoStatus, a.LifeMS = "/auth", "forwarded", http.StatusTooManyRequests,
		authcache.DefaultLife
	a.RememberS, a.Most, a.Connections = authcache.DefaultMemory/1000, authcache.DefaultMost,
		authcache.DefaultCallers
	b.Path, b.Credential, b.LimitMS, b.Share = "/", "Authorization", authcache.DefaultLimit,
		authcache.DefaultShare
	b.Connections, b.Credentials = authcache.DefaultAsks, authcache.DefaultKept
	b.YesS, b.NoS = authcache.DefaultYes/1000, authcache.DefaultNo/1000
	b.Breaker.After, b.Breaker.PauseMS = authcache.DefaultAfter, authcache.DefaultPause
	b.Breaker.MostMS = authcache.DefaultPauseAt
}

// within says what is wrong with the first figure that is out of its range.
func within(figures ...bound) error {
	for _, f := range figures {
		if !(f.v >= f.least && f.v <= f.most) {
			return fmt.Errorf("%s: %v is not from %v to %v", f.key, f.v, f.least, f.most)
		}
	}
	return nil
}

type bound struct {
	key            string
	v, least, most float64
}

func (file *forwardFile) asked(g *Gatekeeper) (*Asked, error) {
	t := &file.Asked
	a := &Asked{NoStatus: t.NoStatus, Life: t.LifeMS, Memory: t.RememberS * 1000, Most: t.Most,
		Callers: t.Connections, Path: t.Path}
	var err error
	if a.Listen, err = address("listen", t.Listen); err != nil {
		return nil, err
	}
	for _, other := range []string{g.Listen, g.Control} {
		if a.Listen == other {
			return nil, fmt.Errorf("listen: %s is taken by another port of this gatekeeper", other)
		}
	}
	var ok bool
	if a.Dialect, ok = dialects[t.Dialect]; !ok {
		return nil, fmt.Errorf("dialect: %q is none of forwarded, original, path", t.Dialect)
	}
	if !strings.HasPrefix(a.Path, "/") || strings.HasSuffix(a.Path, "/") {
		return nil, fmt.Errorf("path: %q must begin with a slash and not end with one", a.Path)
	}
	if len(t.Trusted) == 0 {
		return nil, errors.New("trusted: there is none, so that nobody could ask")
	}
	for i, s := range t.Trusted {
		p, err := netip.ParsePrefix(s)
		if err != nil {
			return nil, fmt.Errorf("trusted[%d]: %w", i, err)
		}
		a.Trusted = append(a.Trusted, p.Masked())
	}
	switch a.NoStatus {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusTooManyRequests:
	default:
		return nil, fmt.Errorf("no_status: %d is none of 401, 403, 429", a.NoStatus)
	}
	if err = within(bound{"life_ms", a.Life, 1, authcache.LongestLife},
		bound{"remember_s", t.RememberS, a.Life / 1000, authcache.LongestMemory / 1000},
		bound{"most", float64(a.Most), 1, authcache.MostOfAll},
		bound{"connections", float64(a.Callers), 1, 1 << 16}); err != nil {
		return nil, err
	}
	a.Only, err = g.marked("cleared_only", t.ClearedOnly, false)
	return a, err
}

func (file *forwardFile) asking(g *Gatekeeper) (*Asking, error) {
	t := &file.Asking
	a := &Asking{Path: t.Path, Credential: t.Credential, Customer: t.Customer, Send: t.Send, Copy: t.Copy,
		Connections: t.Connections, Terms: authcache.Terms{Limit: t.LimitMS, Share: t.Share, Yes: t.YesS * 1000,
			No: t.NoS * 1000, Kept: t.Credentials, After: t.Breaker.After, Pause: t.Breaker.PauseMS,
			MostPause: t.Breaker.MostMS}}
	var err error
	if a.Service, err = address("service", t.Service); err != nil {
		return nil, err
	}
	if !strings.HasPrefix(a.Path, "/") {
		return nil, fmt.Errorf("path: %q must begin with a slash", a.Path)
	}
	if !plainName(a.Credential) {
		return nil, fmt.Errorf("credential: %q is no header that a client may set", a.Credential)
	}
	if a.Customer != "" && !token(a.Customer) {
		return nil, fmt.Errorf("customer: %q is no header", a.Customer)
	}
	for i, name := range a.Send {
		if !plainName(name) {
			return nil, fmt.Errorf("send[%d]: %q is no header that a client may set", i, name)
		}
	}
	for i, name := range a.Copy {
		if !plainName(name) || strings.EqualFold(name, "Retry-After") {
			return nil, fmt.Errorf("copy[%d]: %q is no header that may be passed on", i, name)
		}
	}
	if a.Concerned, err = g.marked("products", t.Products, len(t.Products) == 0); err != nil {
		return nil, err
	}
	if a.OpenOn, err = g.marked("open", t.Open, false); err != nil {
		return nil, err
	}
	for i, open := range a.OpenOn {
		if open && !a.Concerned[i] {
			return nil, errors.New("open: it names a product that is not of products")
		}
		if open && a.Customer != "" {
			return nil, errors.New("open: on trouble nobody would say whose a txn is, which customer asks for")
		}
	}
	return a, within(
		bound{"limit_ms", t.LimitMS, 1, authcache.LongestLimit},
		bound{"share", t.Share, 0.01, 0.9},
		bound{
			"yes_s",
			t.YesS,
			0,
			authcache.LongestGood / 1000,
		},
		bound{"no_s", t.NoS, 0, authcache.LongestGood / 1000},
		bound{"credentials", float64(t.Credentials), 0, authcache.MostKept},
		bound{"connections", float64(t.Connections), 1, authcache.MostAsks},
		bound{"breaker.after", float64(t.Breaker.After), 1, 1000},
		bound{"breaker.pause_ms", t.Breaker.PauseMS, 1, authcache.LongestPause},
		bound{"breaker.most_ms", t.Breaker.MostMS, t.Breaker.PauseMS, authcache.LongestPause},
	)
}

// marked gives a mark for each product: those that are named, or all.
func (g *Gatekeeper) marked(key string, names []string, all bool) ([]bool, error) {
	marks := make([]bool, len(g.Charter.Products))
	for i := range marks {
		marks[i] = all
	}
	for _, name := range names {
		p, ok := g.Names.Products[name]
		if !ok {
			return nil, fmt.Errorf("%s: product %q is unknown", key, name)
		}
		if marks[p] && !all {
			return nil, fmt.Errorf("%s: product %q is there twice", key, name)
		}
		marks[p] = true
	}
	return marks, nil
}

// token tells whether a text can be a header's name.
func token(name string) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return name != "" && len(name) <= policy.LongestMark
}

// plainName tells whether a header may be passed on as it came: those that frame a message, or say who a
// client is behind a portal, may not.
func plainName(name string) bool {
	low := strings.ToLower(name)
	for _, own := range []string{"connection", "content-length", "transfer-encoding", "host", "te", "trailer",
		"upgrade", "keep-alive", "expect"} {
		if low == own {
			return false
		}
	}
	return token(name) && !strings.HasPrefix(low, "x-forwarded-") && !strings.HasPrefix(low, "x-original-")
}
