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

// ForwardAuth configures forward authentication, in either role; a role that is off is nil.
type ForwardAuth struct {
	Server     *AuthServer
	Authorizer *Authorizer
}

// AuthServer configures the role in which reverse proxies ask whether a request may pass: section asked of
// the operator file.
type AuthServer struct {
	ListenAddress string
	// Path is the path of the proxies' calls; with DialectPath the prefix before the original path.
	Path    string
	Dialect Dialect
	// TrustedProxies are the addresses that may call.
	TrustedProxies []netip.Prefix
	// RejectStatus is the HTTP status of a rejection, 401, 403 or 429.
	RejectStatus int
	// LifetimeMillis is how long a clearance is valid; RetentionMillis is how long it is remembered.
	LifetimeMillis, RetentionMillis float64
	// MaxClearances bounds the remembered clearances.
	MaxClearances int
	// MaxConnections bounds the proxies' connections.
	MaxConnections int
	// RequiresClearance says, by product, that a request passes only if it has been cleared.
	RequiresClearance []bool
}

// Dialect is how a reverse proxy describes the original request.
type Dialect uint8

// The dialects.
const (
	DialectForwarded Dialect = iota // headers X-Forwarded-Method and -Uri
	DialectOriginal                 // headers X-Original-Method and -URI or -URL
	DialectPath                     // the call's own method, and its path behind a prefix
)

var dialects = map[string]Dialect{"forwarded": DialectForwarded, "original": DialectOriginal,
	"path": DialectPath}

// Authorizer configures the role in which a service is asked before a request goes on: section asking of the
// operator file.
type Authorizer struct {
	ServiceAddress string
	Path           string
	// CredentialHeader is the request's header that identifies its client.
	CredentialHeader string
	// CustomerHeader is the header of a positive answer that names the customer; empty where none does.
	CustomerHeader string
	// SentHeaders are headers of the request that the service is sent too; CopiedHeaders are headers of its
	// answer that the request goes on with.
	SentHeaders, CopiedHeaders []string
	// Covers says, by product, that the service is asked.
	Covers []bool
	// FailsOpen says, by product, that a request goes on if the service fails.
	FailsOpen []bool
	Service   authcache.ServiceConfig
	// MaxConnections bounds the connections to the service.
	MaxConnections int
}

// forwardAuthFile is the form of the operator file; setDefaults has its defaults. Every field carries its
// key as a tag.
type forwardAuthFile struct {
	Asked struct {
		Listen      string   `toml:"listen"`
		Path        string   `toml:"path"`
		Dialect     string   `toml:"dialect"`
		Trusted     []string `toml:"trusted"`
		NoStatus    int      `toml:"no_status"`
		LifeMS      float64  `toml:"life_ms"`
		RememberS   float64  `toml:"remember_s"`
		Most        int      `toml:"most"`
		Connections int      `toml:"connections"`
		ClearedOnly []string `toml:"cleared_only"`
	} `toml:"asked"`
	Asking struct {
		Service     string   `toml:"service"`
		Path        string   `toml:"path"`
		Credential  string   `toml:"credential"`
		Customer    string   `toml:"customer"`
		Send        []string `toml:"send"`
		Copy        []string `toml:"copy"`
		Products    []string `toml:"products"`
		Open        []string `toml:"open"`
		LimitMS     float64  `toml:"limit_ms"`
		Share       float64  `toml:"share"`
		Connections int      `toml:"connections"`
		YesS        float64  `toml:"yes_s"`
		NoS         float64  `toml:"no_s"`
		Credentials int      `toml:"credentials"`
		Breaker     struct {
			After   int     `toml:"after"`
			PauseMS float64 `toml:"pause_ms"`
			MostMS  float64 `toml:"most_ms"`
		} `toml:"breaker"`
	} `toml:"asking"`
}

// ReadForwardAuth reads and checks the operator file of forward authentication; its products are those of
// g. An error names the file, and the line or the key.
func ReadForwardAuth(path string, g *Gateway) (*ForwardAuth, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("forward: %w", err)
	}
	f, err := DecodeForwardAuth(string(raw), g)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// DecodeForwardAuth decodes and checks the operator file's text.
func DecodeForwardAuth(text string, g *Gateway) (*ForwardAuth, error) {
	var file forwardAuthFile
	file.setDefaults()
	err := strictoml.Decode(text, &file)
	if err != nil {
		return nil, err
	}
	f, hasServer, hasAuthorizer := &ForwardAuth{}, strictoml.Has(text, "asked"), strictoml.Has(text, "asking")
	if !hasServer && !hasAuthorizer {
		return nil, errors.New("asked, asking: one of the sections is required")
	}
	if hasServer {
		if f.Server, err = file.authServer(g); err != nil {
			return nil, fmt.Errorf("asked.%w", err)
		}
	}
	if hasAuthorizer {
		if f.Authorizer, err = file.authorizer(g); err != nil {
			return nil, fmt.Errorf("asking.%w", err)
		}
	}
	if connections := f.Connections(); connections > g.MaxSockets/2 {
		return nil, fmt.Errorf("connections: asked and asking need %d, more than half of limits.sockets, %d",
			connections, g.MaxSockets)
	}
	return f, nil
}

// Connections returns how many descriptors forward authentication may use.
func (f *ForwardAuth) Connections() int {
	n := 0
	if f != nil && f.Server != nil {
		n += f.Server.MaxConnections + 1
	}
	if f != nil && f.Authorizer != nil {
		n += f.Authorizer.MaxConnections
	}
	return n
}

func (file *forwardAuthFile) setDefaults() {
	a, b := &file.Asked, &file.Asking
	a.Path, a.Dialect, a.NoStatus, a.LifeMS = "/auth", "forwarded", http.StatusTooManyRequests,
		authcache.DefaultClearanceLifetimeMillis
	a.RememberS, a.Most = authcache.DefaultUsedRetentionMillis/1000, authcache.DefaultMaxClearances
	a.Connections = authcache.DefaultMaxCallers
	b.Path, b.Credential, b.LimitMS, b.Share = "/", "Authorization", authcache.DefaultTimeoutMillis,
		authcache.DefaultTimeoutShare
	b.Connections, b.Credentials = authcache.DefaultConnections, authcache.DefaultMaxDecisions
	b.YesS, b.NoS = authcache.DefaultAllowTTLMillis/1000, authcache.DefaultDenyTTLMillis/1000
	b.Breaker.After, b.Breaker.PauseMS = authcache.DefaultBreakerThreshold, authcache.DefaultBreakerBackoffMillis
	b.Breaker.MostMS = authcache.DefaultBreakerMaxBackoffMillis
}

// firstOutOfRange returns an error that names the first value outside its range.
func firstOutOfRange(figures ...keyRange) error {
	for _, f := range figures {
		if !(f.value >= f.min && f.value <= f.max) {
			return fmt.Errorf("%s: %v is not within %v to %v", f.key, f.value, f.min, f.max)
		}
	}
	return nil
}

// keyRange is a key, its value and the range allowed for it.
type keyRange struct {
	key             string
	value, min, max float64
}

func (file *forwardAuthFile) authServer(g *Gateway) (*AuthServer, error) {
	t := &file.Asked
	a := &AuthServer{RejectStatus: t.NoStatus, LifetimeMillis: t.LifeMS, RetentionMillis: t.RememberS * 1000,
		MaxClearances:  t.Most,
		MaxConnections: t.Connections, Path: t.Path}
	var err error
	if a.ListenAddress, err = address("listen", t.Listen); err != nil {
		return nil, err
	}
	for _, other := range []string{g.ListenAddress, g.AdminAddress} {
		if a.ListenAddress == other {
			return nil, fmt.Errorf("listen: %s is another port of this gateway", other)
		}
	}
	var ok bool
	if a.Dialect, ok = dialects[t.Dialect]; !ok {
		return nil, fmt.Errorf("dialect: %q is not forwarded, original or path", t.Dialect)
	}
	if !strings.HasPrefix(a.Path, "/") || strings.HasSuffix(a.Path, "/") {
		return nil, fmt.Errorf("path: %q must begin with a slash and not end with one", a.Path)
	}
	if len(t.Trusted) == 0 {
		return nil, errors.New("trusted: it is empty, so that no proxy could ask")
	}
	for i, s := range t.Trusted {
		p, err := netip.ParsePrefix(s)
		if err != nil {
			return nil, fmt.Errorf("trusted[%d]: %w", i, err)
		}
		a.TrustedProxies = append(a.TrustedProxies, p.Masked())
	}
	switch a.RejectStatus {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusTooManyRequests:
	default:
		return nil, fmt.Errorf("no_status: %d is none of 401, 403, 429", a.RejectStatus)
	}
	if err = firstOutOfRange(keyRange{"life_ms", a.LifetimeMillis, 1, authcache.MaxClearanceLifetimeMillis},
		keyRange{"remember_s", t.RememberS, a.LifetimeMillis / 1000, authcache.MaxUsedRetentionMillis / 1000},
		keyRange{"most", float64(a.MaxClearances), 1, authcache.LargestMaxClearances},
		keyRange{"connections", float64(a.MaxConnections), 1, 1 << 16}); err != nil {
		return nil, err
	}
	a.RequiresClearance, err = g.productFlags("cleared_only", t.ClearedOnly, false)
	return a, err
}

func (file *forwardAuthFile) authorizer(g *Gateway) (*Authorizer, error) {
	t := &file.Asking
	a := &Authorizer{
		Path:             t.Path,
		CredentialHeader: t.Credential,
		CustomerHeader:   t.Customer,
		SentHeaders:      t.Send,
		CopiedHeaders:    t.Copy,
		MaxConnections:   t.Connections,
		Service: authcache.ServiceConfig{
			TimeoutMillis:           t.LimitMS,
			TimeoutShare:            t.Share,
			AllowTTLMillis:          t.YesS * 1000,
			DenyTTLMillis:           t.NoS * 1000,
			MaxDecisions:            t.Credentials,
			BreakerThreshold:        t.Breaker.After,
			BreakerBackoffMillis:    t.Breaker.PauseMS,
			BreakerMaxBackoffMillis: t.Breaker.MostMS,
		},
	}
	var err error
	if a.ServiceAddress, err = address("service", t.Service); err != nil {
		return nil, err
	}
	if !strings.HasPrefix(a.Path, "/") {
		return nil, fmt.Errorf("path: %q must begin with a slash", a.Path)
	}
	if err = a.checkHeaders(); err != nil {
		return nil, err
	}
	if a.Covers, err = g.productFlags("products", t.Products, len(t.Products) == 0); err != nil {
		return nil, err
	}
	if a.FailsOpen, err = g.productFlags("open", t.Open, false); err != nil {
		return nil, err
	}
	if err = a.checkFailsOpen(); err != nil {
		return nil, err
	}
	return a, file.checkAskingRanges()
}

// checkFailsOpen checks the products whose requests pass while the service fails.
func (a *Authorizer) checkFailsOpen() error {
	for i, open := range a.FailsOpen {
		if open && !a.Covers[i] {
			return errors.New("open: it names a product that is not among products")
		}
		if open && a.CustomerHeader != "" {
			return errors.New("open: if the service fails nobody names the customer, which customer asks for")
		}
	}
	return nil
}

// checkAskingRanges checks the numbers of how the service is asked.
func (file *forwardAuthFile) checkAskingRanges() error {
	t := &file.Asking
	return firstOutOfRange(
		keyRange{"limit_ms", t.LimitMS, 1, authcache.MaxTimeoutMillis},
		keyRange{"share", t.Share, 0.01, 0.9},
		keyRange{"yes_s", t.YesS, 0, authcache.MaxDecisionTTLMillis / 1000},
		keyRange{"no_s", t.NoS, 0, authcache.MaxDecisionTTLMillis / 1000},
		keyRange{"credentials", float64(t.Credentials), 0, authcache.LargestMaxDecisions},
		keyRange{"connections", float64(t.Connections), 1, authcache.MaxConnections},
		keyRange{"breaker.after", float64(t.Breaker.After), 1, 1000},
		keyRange{"breaker.pause_ms", t.Breaker.PauseMS, 1, authcache.MaxBreakerBackoffMillis},
		keyRange{"breaker.most_ms", t.Breaker.MostMS, t.Breaker.PauseMS, authcache.MaxBreakerBackoffMillis},
	)
}

// checkHeaders returns an error that names the first key with a header that is not allowed there.
func (a *Authorizer) checkHeaders() error {
	if !isForwardable(a.CredentialHeader) {
		return fmt.Errorf("credential: %q is not a header that a client may set", a.CredentialHeader)
	}
	if a.CustomerHeader != "" && !isHeaderName(a.CustomerHeader) {
		return fmt.Errorf("customer: %q is not a header name", a.CustomerHeader)
	}
	for i, name := range a.SentHeaders {
		if !isForwardable(name) {
			return fmt.Errorf("send[%d]: %q is not a header that a client may set", i, name)
		}
	}
	for i, name := range a.CopiedHeaders {
		if !isForwardable(name) || strings.EqualFold(name, "Retry-After") {
			return fmt.Errorf("copy[%d]: %q is not a header that may be passed on", i, name)
		}
	}
	return nil
}

// productFlags returns a flag for each product: true for those in names, or for all.
func (g *Gateway) productFlags(key string, names []string, all bool) ([]bool, error) {
	marks := make([]bool, len(g.Policy.Products))
	for i := range marks {
		marks[i] = all
	}
	for _, name := range names {
		p, ok := g.Names.Products[name]
		if !ok {
			return nil, fmt.Errorf("%s: product %q is unknown", key, name)
		}
		if marks[p] && !all {
			return nil, fmt.Errorf("%s: product %q is listed twice", key, name)
		}
		marks[p] = true
	}
	return marks, nil
}

// isHeaderName reports whether a string can be a header's name.
func isHeaderName(name string) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return name != "" && len(name) <= policy.MaxDedupKeyBytes
}

// isForwardable reports whether a header may be passed on as it came. Headers that frame a message, or
// that say who a client behind a proxy is, may not.
func isForwardable(name string) bool {
	low := strings.ToLower(name)
	for _, own := range []string{"connection", "content-length", "transfer-encoding", "host", "te", "trailer",
		"upgrade", "keep-alive", "expect"} {
		if low == own {
			return false
		}
	}
	return isHeaderName(name) && !strings.HasPrefix(low, "x-forwarded-") &&
		!strings.HasPrefix(low, "x-original-")
}
