package lifecycle

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/gateway/config"
)

// classesOf is the part of the tests' settings that tells of products.
var classesOf = settings[strings.Index(settings, `"classes"`):strings.Index(settings, `"tariffs"`)]

// What a product may do follows from its own effect, group and window, wherever it stands in the settings and
// whatever it is called. Guards against effects by place or by name, and against a missing key that is made
// up for by the laxest value.
func TestProductsByTheirOwnKeys(t *testing.T) {
	const settled, declined, voided = "HTTP/1.1 200 OK", "HTTP/1.1 429 Too Many Requests",
		"HTTP/1.1 500 Internal Server Error"
	products := []struct {
		name, keys string
		ask        func(target, id string) string
		status     string // after a cut
		subs       int    // most, and where it is more than one at least two
	}{
		{"toll", `"effect":"non_idempotent"`, issue, voided, 1},
		{"crossing", `"effect":"idempotency_key","group":"all","window_us":5000000`, sale, declined, 3},
		{"gantry", `"effect":"idempotency_key","group":"zone","window_us":5000000`, sale, voided, 3},
		{"lane", `"effect":"idempotency_key","group":"cell","window_us":5000000`, sale, voided, 3},
		{"no-group", `"effect":"idempotency_key","window_us":5000000`, sale, voided, 3},
		{"no-window", `"effect":"idempotency_key","group":"all"`, sale, declined, 1},
		{"plate", `"effect":"read_like"`, check, declined, 3},
		{"plate-once", `"effect":"read_like","group":"zone","window_us":0`, check, declined, 3},
	}
	for turn := range products {
		t.Run(fmt.Sprint("first is ", products[turn].name), func(t *testing.T) {
			var rows []string
			for i := range products {
				p := products[(turn+i)%len(products)]
				rows = append(rows, fmt.Sprintf(`{"name":%q,"aim_us":400000,"worth":1,%s}`, p.name, p.keys))
			}
			d := deploy(t, 2, 5000, classesOf, `"classes":[`+strings.Join(rows, ",")+`],`)
			p, before := products[turn], 0
			for k, do := range []string{"", "?cut"} {
				status, _ := d.ask(p.ask("/"+p.name+do, fmt.Sprint(k)))
				n := len(d.got()) - before
				before += n
				want, most := settled, 1
				if do != "" {
					want, most = p.status, p.subs
				}
				if status != want || n > most || n < min(most, 2) {
					t.Errorf("%s%s: %q after %d submissions, want %q and %d", p.name, do, status, n, want, most)
				}
			}
		})
	}
}

// The least that settings may say is taken at its strictest: a txn has one submission, no plan a quota, and a
// decline does not say when to return.
func TestBareSettings(t *testing.T) {
	d := deploy(t, 2, 5000, classesOf, `"classes":[{"name":"check","effect":"read_like"}],`,
		`"tariffs":[{"name":"basic","rate":1000,"most_at_once":1000,"worth_factor":1},
  {"name":"tiny","rate":0.1,"most_at_once":1,"worth_factor":1,"over_cost":1}]`,
		`"tariffs":[{"name":"basic"}]`,
		`"max_attempts":3,"cancel":true,"retry_after":true,"max_retry_after_us":9000000,
  "keepalive_us":IDLE,"connect_timeout_us":100000`, ``,
		`"family_info":{"largest":1},"safety":{"cold_from":0.2,"warm_up_us":10000000,"answer_slack_us":5000}`,
		`"family_info":{}`)
	for i := range 20 {
		if status, _ := d.ask(check("/check", fmt.Sprint(i))); status != "HTTP/1.1 200 OK" {
			t.Fatalf("txn %d: %q", i, status)
		}
	}
	before, start := len(d.got()), time.Now()
	if status, _ := d.ask(check("/check?cut", "last")); status != "HTTP/1.1 429 Too Many Requests" {
		t.Errorf("a cut one gets %q", status)
	}
	if n := len(d.got()) - before; n != 1 || time.Since(start) > 350*time.Millisecond {
		t.Errorf("%d submissions in %v, want one before the expiry", n, time.Since(start))
	}
}

// A reload with settings that are unknown or contradict each other names the key, and the old ones stay.
func TestReloadOfFaultySettings(t *testing.T) {
	d := deploy(t, 1, 5000)
	<-d.asked
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
		d.gk.log = zerolog.New(&log)
		text := strings.Replace(strings.Replace(settings, swap[0], swap[1], 1), "IDLE", "1", 1)
		d.gk.Reload(config.Decode([]byte(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":`+text+`}`),
			func(string) string { return "" }))
		if !strings.Contains(log.String(), key) || !strings.Contains(log.String(), "the old one stays") ||
			d.gk.conf.DiscoveryAddress != d.conf.DiscoveryAddress {
			t.Errorf("%s: discovery is %s now, and the log says %s", key, d.gk.conf.DiscoveryAddress, log.String())
		}
	}
	if status, _ := d.ask(check("/check", "1")); status != "HTTP/1.1 200 OK" {
		t.Errorf("by the old one: %q", status)
	}
}
