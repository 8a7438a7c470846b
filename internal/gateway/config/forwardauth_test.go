package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const forward = `[asked]
listen = "127.0.0.1:5800"
trusted = ["127.0.0.0/8", "::1/128"]
cleared_only = ["sale"]

[asking]
service = "127.0.0.1:9400"
products = ["sale", "check"]
open = ["check"]
copy = ["WWW-Authenticate"]
[asking.breaker]
after = 3
`

// TestForwardAuthFile: the operator file's values are taken, the rest has its defaults, and an error names
// the key.
func TestForwardAuthFile(t *testing.T) {
	g, err := Decode([]byte(whole), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	f, err := DecodeForwardAuth(forward, &g)
	switch {
	case err != nil:
		t.Fatal(err)
	case f.Server.Path != "/auth" || f.Server.LifetimeMillis != 2000 || f.Server.RejectStatus != 429 ||
		f.Server.RetentionMillis != 120000:
		t.Errorf("asked: %+v", f.Server)
	case f.Server.RequiresClearance[0] || !f.Server.RequiresClearance[1] || len(f.Server.TrustedProxies) != 2:
		t.Errorf("asked: %+v", f.Server)
	case f.Authorizer.CredentialHeader != "Authorization" || f.Authorizer.Service.BreakerThreshold != 3 ||
		f.Authorizer.Service.BreakerBackoffMillis != 500:
		t.Errorf("asking: %+v", f.Authorizer)
	case !f.Authorizer.FailsOpen[0] || f.Authorizer.FailsOpen[1] || f.Connections() != 64+1+16:
		t.Errorf("asking: %+v", f.Authorizer)
	}
	swap := func(old, replacement string) string { return strings.Replace(forward, old, replacement, 1) }
	for _, c := range []struct{ name, text, says string }{
		{"nothing", "", "asked, asking"},
		{"no TOML", "[asked", "line 1"},
		{"unknown key", swap("cleared_only", "only_cleared"), "line 4: asked.only_cleared"},
		{"no address", swap("listen = \"127.0.0.1:5800\"", ""), "asked.listen"},
		{"the clients' address", swap("5800", "5000"), "asked.listen"},
		{"nobody is trusted", swap(`["127.0.0.0/8", "::1/128"]`, "[]"), "asked.trusted"},
		{"no network", swap("::1/128", "localhost"), "asked.trusted[1]"},
		{"dialect", swap("trusted", "dialect = \"x\"\ntrusted"), "asked.dialect"},
		{"path", swap("trusted", "path = \"auth\"\ntrusted"), "asked.path"},
		{"status", swap("trusted", "no_status = 200\ntrusted"), "asked.no_status"},
		{"life", swap("trusted", "life_ms = 0\ntrusted"), "asked.life_ms"},
		{"memory under life", swap("trusted", "life_ms = 50000\nremember_s = 20\ntrusted"), "asked.remember_s"},
		{"most", swap("trusted", "most = 99999999\ntrusted"), "asked.most"},
		{"product", swap(`cleared_only = ["sale"]`, `cleared_only = ["sail"]`), "asked.cleared_only"},
		{"product twice", swap(`cleared_only = ["sale"]`, `cleared_only = ["sale", "sale"]`), "asked.cleared_only"},
		{"no service", swap("service = \"127.0.0.1:9400\"", ""), "asking.service"},
		{"credential", swap("products", "credential = \"X-Forwarded-For\"\nproducts"), "asking.credential"},
		{"customer", swap("products", "customer = \"a b\"\nproducts"), "asking.customer"},
		{"send", swap("products", "send = [\"Host\"]\nproducts"), "asking.send[0]"},
		{"copy", swap("WWW-Authenticate", "Content-Length"), "asking.copy[0]"},
		{"open and not asked for", swap(`open = ["check"]`, `open = ["none"]`), "asking.open"},
		{"open for none of its products", swap(`products = ["sale", "check"]`, `products = ["sale"]`),
			"asking.open"},
		{"open and nameless", swap("products", "customer = \"X-C\"\nproducts"), "asking.open"},
		{"limit", swap("products", "limit_ms = -1\nproducts"), "asking.limit_ms"},
		{"share", swap("products", "share = 1.5\nproducts"), "asking.share"},
		{"yes", swap("products", "yes_s = 1e9\nproducts"), "asking.yes_s"},
		{"no", swap("products", "no_s = nan\nproducts"), "asking.no_s"},
		{"credentials", swap("products", "credentials = -1\nproducts"), "asking.credentials"},
		{"breaker", swap("after = 3", "after = 0"), "asking.breaker.after"},
		{"pauses", swap("after = 3", "pause_ms = 900\nmost_ms = 800"), "asking.breaker.most_ms"},
		{"descriptors", swap("trusted", "connections = 200\ntrusted"), "limits.sockets"},
	} {
		if _, err := DecodeForwardAuth(c.text, &g); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	path := filepath.Join(t.TempDir(), "forward.toml")
	if err := os.WriteFile(path, []byte(swap("5800", "0x")), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadForwardAuth(path, &g); err == nil ||
		!strings.HasPrefix(err.Error(), path+": asked.listen: ") {
		t.Errorf("file and key: %v", err)
	}
}
