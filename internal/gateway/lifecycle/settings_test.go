package lifecycle

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/gateway/config"
)

// classesSettings is the part of the tests' settings that defines the classes.
var classesSettings = settings[strings.Index(settings, `"classes"`):strings.Index(settings, `"tariffs"`)]

// TestClassSettings: what may be done with a class follows from its own effect, group and window, wherever
// it stands in the settings and whatever it is called. Guards against effects by position or by name, and
// against a missing key that is replaced by the laxest value.
func TestClassSettings(t *testing.T) {
	const settled, declined, voided = "HTTP/1.1 200 OK", "HTTP/1.1 429 Too Many Requests",
		"HTTP/1.1 500 Internal Server Error"
	products := []struct {
		name, keys string
		ask        func(target, id string) string
		status     string // after a cut response
		attempts   int    // at most; at least two where it is more than one
	}{
		{"toll", `"effect":"non_idempotent"`, issueRequest, voided, 1},
		{"crossing", `"effect":"idempotency_key","group":"all","window_us":5000000`, saleRequest, declined, 3},
		{"gantry", `"effect":"idempotency_key","group":"zone","window_us":5000000`, saleRequest, voided, 3},
		{"lane", `"effect":"idempotency_key","group":"cell","window_us":5000000`, saleRequest, voided, 3},
		{"no-group", `"effect":"idempotency_key","window_us":5000000`, saleRequest, voided, 3},
		{"no-window", `"effect":"idempotency_key","group":"all"`, saleRequest, declined, 1},
		{"plate", `"effect":"read_like"`, checkRequest, declined, 3},
		{"plate-once", `"effect":"read_like","group":"zone","window_us":0`, checkRequest, declined, 3},
	}
	for turn := range products {
		t.Run(fmt.Sprint("first is ", products[turn].name), func(t *testing.T) {
			var rows []string
			for i := range products {
				p := products[(turn+i)%len(products)]
				rows = append(rows, fmt.Sprintf(`{"name":%q,"aim_us":400000,"worth":1,%s}`, p.name, p.keys))
			}
			d := deploy(t, 2, 5000, classesSettings, `"classes":[`+strings.Join(rows, ",")+`],`)
			p, before := products[turn], 0
			for k, do := range []string{"", "?cut"} {
				status, _ := d.send(p.ask("/"+p.name+do, fmt.Sprint(k)))
				n := len(d.submissions()) - before
				before += n
				want, most := settled, 1
				if do != "" {
					want, most = p.status, p.attempts
				}
				if status != want || n > most || n < min(most, 2) {
					t.Errorf("%s%s: %q after %d submissions, want %q and %d", p.name, do, status, n, want, most)
				}
			}
		})
	}
}

// TestMinimalSettings: settings that say the least are taken at their strictest: a request has one attempt,
// no plan a quota, and a rejection does not say when to return.
func TestMinimalSettings(t *testing.T) {
	d := deploy(t, 2, 5000, classesSettings, `"classes":[{"name":"check","effect":"read_like"}],`,
		`"tariffs":[{"name":"basic","rate":1000,"most_at_once":1000,"worth_factor":1},
  {"name":"tiny","rate":0.1,"most_at_once":1,"worth_factor":1,"over_cost":1}]`,
		`"tariffs":[{"name":"basic"}]`,
		`"max_attempts":3,"cancel":true,"retry_after":true,"max_retry_after_us":9000000,
  "keepalive_us":IDLE,"connect_timeout_us":100000`, ``,
		`"family_info":{"largest":1},"safety":{"cold_from":0.2,"warm_up_us":10000000,"answer_slack_us":5000}`,
		`"family_info":{}`)
	for i := range 20 {
		if status, _ := d.send(checkRequest("/check", fmt.Sprint(i))); status != "HTTP/1.1 200 OK" {
			t.Fatalf("request %d: %q", i, status)
		}
	}
	before, start := len(d.submissions()), time.Now()
	if status, _ := d.send(checkRequest("/check?cut", "last")); status != "HTTP/1.1 429 Too Many Requests" {
		t.Errorf("a cut one gets %q", status)
	}
	if n := len(d.submissions()) - before; n != 1 || time.Since(start) > 350*time.Millisecond {
		t.Errorf("%d submissions in %v, want one before the deadline", n, time.Since(start))
	}
}

// TestReloadInvalidSettings: settings that are unknown or contradict each other are rejected by their key,
// and the old ones stay.
func TestReloadInvalidSettings(t *testing.T) {
	d := deploy(t, 1, 5000)
	<-d.watchRequests
	for key, swap := range map[string][2]string{
		"settings.registry_mode":         {`"family_info"`, `"registry_mode":"sometimes","family_info"`},
		"settings.classes[2].effect":     {`non_idempotent`, `rarely`},
		"settings.tariffs[0].cap_depth":  {`"most_at_once":1000`, `"most_at_once":1000,"hard_rate":5`},
		"settings.safety.cold_from":      {`"cold_from":0.2`, `"cold_from":1.2`},
		"settings.allowed.max_attempts":  {`"max_attempts":3`, `"max_attempts":-3`},
		"settings.family_info.largest":   {`"largest":1`, `"largest":-1`},
		"settings.classes[0].aim_us":     {`400000`, `-400000`},
		"settings.tariffs[1].over_cost":  {`"over_cost":1`, `"over_cost":-1`},
		"settings.safety.warm_up_us":     {`"warm_up_us":10000000`, `"warm_up_us":-1`},
		"settings.allowed.keepalive_us":  {`"keepalive_us":IDLE`, `"keepalive_us":-1`},
		"settings.score_parts.worst":     {`"family_info"`, `"score_parts":{"worst_tenant":-1},"family_info"`},
		"settings.me: ":                  {`"balancers":1`, `"balancers":0,"me":1`},
		"settings: ":                     {`"balancers":1`, `"balancers":"one"`},
		"settings.tariffs[1].name":       {`"tiny"`, `"basic"`},
		"settings.classes[1].group":      {`"group":"all"`, `"group":"floor"`},
		"settings.family_info.peer_in":   {`"largest":1`, `"peer_in_per_s":-1`},
		"settings.classes[0].late_share": {`"read_like"`, `"read_like","late_share":-1`},
	} {
		var log strings.Builder
		d.gateway.log = zerolog.New(&log)
		text := strings.Replace(strings.Replace(settings, swap[0], swap[1], 1), "IDLE", "1", 1)
		d.gateway.Reload(
			config.Decode([]byte(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":`+text+`}`),
				func(string) string { return "" }),
		)
		if !strings.Contains(log.String(), key) || !strings.Contains(log.String(), "the old one stays") ||
			d.gateway.config.DiscoveryAddress != d.config.DiscoveryAddress {
			t.Errorf("%s: discovery is %s now, and the log says %s", key,
				d.gateway.config.DiscoveryAddress, log.String())
		}
	}
	if status, _ := d.send(checkRequest("/check", "1")); status != "HTTP/1.1 200 OK" {
		t.Errorf("by the old one: %q", status)
	}
}
