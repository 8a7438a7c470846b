package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// Sentences of the operators' page, to which the cases below belong.
const (
	unreadable     = "it cannot be read whole"
	unknownService = "a route names an unknown service"
	sharedMatch    = "two routes share host and prefix"
	weightless     = "the weights of a route add up to 0"
	withoutTimeout = "a timeout_ms is 0"
	nothingForbids = "none of these"
)

// Routes, two of them with gaps for what differs.
const (
	plainRoute = `{"name":"r1","hostname":"h.example","path_prefix":"/a/","route_type":"idempotent",` +
		`"timeout_ms":100,"backend":"s1"}`
	routeOfHost = `{"name":"%s","hostname":"%s","path_prefix":"%s","route_type":"idempotent",` +
		`"timeout_ms":100,"backend":"s1"}`
	routeOfServices = `{"hostname":"h.example","path_prefix":"/a/","route_type":"idempotent",` +
		`"timeout_ms":100,%s}`
)

// document returns a configuration with these routes and the services s1 and s2.
func documentOf(routes ...string) string {
	return `{"generation":7,"routes":[` + strings.Join(routes, ",") +
		`],"services":[{"name":"s1"},{"name":"s2"}]}`
}

func ofServices(members string) string { return documentOf(fmt.Sprintf(routeOfServices, members)) }

// ofHosts returns a configuration of two routes with hosts and prefixes.
func ofHosts(first, firstPrefix, second, secondPrefix string) string {
	return documentOf(
		fmt.Sprintf(routeOfHost, "r1", first, firstPrefix), fmt.Sprintf(routeOfHost, "r2", second, secondPrefix),
	)
}

// pageCase is a configuration, and the sentence of the page by which it is invalid, or nothingForbids.
type pageCase struct{ name, sentence, body string }

func pageCases() []pageCase {
	return []pageCase{
		{"a backend beside a split", unknownService,
			ofServices(`"backend":"x","traffic_split":[{"backend":"s1","weight":1}]`)},
		{"a backend beside a split of weight 0", unknownService,
			ofServices(`"backend":"x","traffic_split":[{"backend":"s1","weight":1},{"backend":"s2","weight":0}]`)},
		{"a backend alone", unknownService, ofServices(`"backend":"x"`)},
		{"a backend in another case", unknownService, ofServices(`"backend":"S1"`)},
		{"a part of a split", unknownService,
			ofServices(`"traffic_split":[{"backend":"s1","weight":1},{"backend":"x","weight":1}]`)},
		{"a part of weight 0", unknownService,
			ofServices(`"traffic_split":[{"backend":"s1","weight":1},{"backend":"x","weight":0}]`)},
		{"no service at all", unknownService, ofServices(`"traffic_split":[]`)},

		{"the same text", sharedMatch, ofHosts("h.example", "/a/", "h.example", "/a/")},
		{"hosts that differ in case", sharedMatch, ofHosts("h.example", "/a/", "H.Example", "/a/")},
		{"hosts that differ in a final dot", sharedMatch, ofHosts("h.example", "/a/", "h.example.", "/a/")},
		{"hosts that differ in a port", sharedMatch, ofHosts("h.example", "/a/", "h.example:8080", "/a/")},
		{"hosts with two ports", sharedMatch, ofHosts("h.example:80", "/a/", "h.example:8080", "/a/")},
		{"all of these", sharedMatch, ofHosts("H.EXAMPLE.:80", "/a/", "h.example", "/a/")},
		{"an address with and without brackets", sharedMatch, ofHosts("[::1]:80", "/a/", "::1", "/a/")},
		{"escaped letters of JSON", sharedMatch, ofHosts("h.example", "/a/", "h.example", `\u002fa/`)},

		{"one weight of 0", weightless, ofServices(`"traffic_split":[{"backend":"s1","weight":0}]`)},
		{"all weights 0 beside a backend", weightless,
			ofServices(`"backend":"s1","traffic_split":[{"backend":"s1","weight":0},{"backend":"s2","weight":0}]`)},

		{"a time-out of 0", withoutTimeout, strings.Replace(documentOf(plainRoute), "100", "0", 1)},
		{"a time-out of 0.0", withoutTimeout, strings.Replace(documentOf(plainRoute), "100", "0.0", 1)},

		{"bytes that are no UTF-8", unreadable, strings.Replace(documentOf(plainRoute), "r1", "r\xff", 1)},
		{"half a surrogate pair", unreadable, strings.Replace(documentOf(plainRoute), "r1", `r\ud800`, 1)},
		{"the other half", unreadable, strings.Replace(documentOf(plainRoute), "r1", `r\udc00\ud800x`, 1)},
		{"a key twice, once escaped", unreadable,
			strings.Replace(documentOf(plainRoute), `"name":"r1"`, `"name":"r1","n\u0061me":"r1"`, 1)},

		{"no backend beside a split", nothingForbids,
			ofServices(`"traffic_split":[{"backend":"s1","weight":1}]`)},
		{"an empty backend beside a split", nothingForbids,
			ofServices(`"backend":"","traffic_split":[{"backend":"s1","weight":1}]`)},
		{"a known backend beside a split without it", nothingForbids,
			ofServices(`"backend":"s2","traffic_split":[{"backend":"s1","weight":1}]`)},
		{"an empty split", nothingForbids, ofServices(`"backend":"s1","traffic_split":[]`)},
		{"a weight of 0 beside others", nothingForbids,
			ofServices(`"traffic_split":[{"backend":"s1","weight":0},{"backend":"s2","weight":0.5}]`)},
		{"one service twice in a split", nothingForbids,
			ofServices(`"traffic_split":[{"backend":"s1","weight":1},{"backend":"s1","weight":2}]`)},
		{"a host in capitals alone", nothingForbids, ofHosts("H.EXAMPLE", "/a/", "other", "/a/")},
		{"a host with a port alone", nothingForbids, ofHosts("h.example:8080", "/a/", "other", "/a/")},
		{"one prefix on two hosts", nothingForbids, ofHosts("h.example", "/a/", "g.example", "/a/")},
		{"prefixes that differ in case", nothingForbids, ofHosts("h.example", "/a/", "h.example", "/A/")},
		{"prefixes that differ in encoding", nothingForbids,
			ofHosts("h.example", "/a/", "h.example", "/%61/")},
		{"prefixes that differ in a slash", nothingForbids, ofHosts("h.example", "/a/", "h.example", "/a//")},
		{"a prefix below another one", nothingForbids, ofHosts("h.example", "/", "h.example", "/a/")},
		{"host and prefix that are alike when joined", nothingForbids, ofHosts("h/a", "/b/", "h", "/a/b/")},
		{"a letter that is a K in Unicode alone", nothingForbids,
			ofHosts("\u212a.example", "/a/", "k.example", "/a/")},
		{"a time-out below 1", nothingForbids, strings.Replace(documentOf(plainRoute), "100", "0.5", 1)},
		{"a pair of surrogates", nothingForbids,
			strings.Replace(documentOf(plainRoute), "r1", `r\ud83d\ude00`, 1)},
		{"an escaped backslash", nothingForbids, strings.Replace(documentOf(plainRoute), "r1", `r\\ud800`, 1)},
		{"no route", nothingForbids, documentOf()},
		{"an unknown key", nothingForbids,
			strings.Replace(documentOf(plainRoute), `"name":"r1"`, `"comment":0`, 1)},
		{"an unknown key like a known one", nothingForbids,
			strings.Replace(documentOf(plainRoute), `"name":"r1"`, `"Backend":"x"`, 1)},
	}
}

// TestInvalidConfigurationsOfThePage guards against CONFIG (review/7): a configuration that the page calls
// invalid was acknowledged. It also guards against refusing a valid one.
func TestInvalidConfigurationsOfThePage(t *testing.T) {
	for _, c := range pageCases() {
		document, err := ParseAndValidate([]byte(c.body))
		if c.sentence == nothingForbids {
			if err != nil {
				t.Errorf("%s: refused: %v", c.name, err)
			}
			continue
		}
		var invalidError *InvalidError
		if document != nil || !errors.As(err, &invalidError) {
			t.Errorf("%s (%s): accepted, error %v", c.name, c.sentence, err)
		}
	}
}

// TestRoutesStayApart checks that no route of a valid configuration takes the place of another one, in the
// document or in updates to it.
func TestRoutesStayApart(t *testing.T) {
	for _, c := range pageCases() {
		document, err := ParseAndValidate([]byte(c.body))
		if err != nil {
			continue
		}
		var sent struct{ Routes []Route }
		if err := json.Unmarshal([]byte(c.body), &sent); err != nil {
			t.Fatal(err)
		}
		updated, err := (*Document)(nil).Apply(document.FullUpdate())
		if err != nil || len(document.Routes()) != len(sent.Routes) || len(updated.Routes()) != len(sent.Routes) {
			t.Errorf("%s: %d of %d routes, %d after an update, error %v", c.name, len(document.Routes()),
				len(sent.Routes), len(updated.Routes()), err)
		}
	}
}

// TestMiscasedKeysHaveNoEffect guards against CONFIG: keys that differ from known ones by case alone are
// unknown to the schema, and were decoded in place of the known ones, unchecked: a time-out of 0, routes that
// nobody had checked, limits by which no edge could build a table.
func TestMiscasedKeysHaveNoEffect(t *testing.T) {
	plain := documentOf(plainRoute)
	bodies := []string{
		strings.Replace(plain, `"backend":"s1"`, `"backend":"s1","Timeout_ms":0,"BACKEND":"x","hoſtname":"g"`, 1),
		strings.Replace(plain, `"services":`, `"Routes":[{"hostname":"h"}],"Generation":7,"services":`, 1),
		strings.Replace(plain, `{"name":"s1"}`, `{"name":"s1","Name":"s2","Cold_per_s":5}`, 1),
		strings.Replace(plain, `"services":`, `"Limits":{"max_body_bytes":1},"services":`, 1),
	}
	want, err := ParseAndValidate([]byte(plain))
	if err != nil {
		t.Fatal(err)
	}
	var route Route
	for _, body := range bodies {
		document, err := ParseAndValidate([]byte(body))
		if err != nil {
			t.Errorf("%s: %v", body, err)
			continue
		}
		updated, err := (*Document)(nil).Apply(document.FullUpdate())
		if err != nil || !equal(updated, document) || document.Generation != want.Generation {
			t.Errorf("%s: updated to %+v, error %v", body, updated, err)
		}
		if err := json.Unmarshal([]byte(document.Routes()["h.example/a/"]), &route); err != nil {
			t.Error(err)
		}
		changed := route.TimeoutMs != 100 || route.Backend != "s1" || document.limits != want.limits
		if len(document.Routes()) != 1 || changed {
			t.Errorf("%s: route %+v, limits %s", body, route, document.limits)
		}
		if services, err := document.Services(); err != nil || services[0].Name != "s1" {
			t.Errorf("%s: services %+v, error %v", body, services, err)
		}
	}
}

// TestWhatEarlierBuildsCannotApplyIsRefused has keys in another case that a core of an earlier build could
// not decode when it applies the configuration, so that it would end, or would take for another generation.
func TestWhatEarlierBuildsCannotApplyIsRefused(t *testing.T) {
	plain := documentOf(plainRoute)
	for _, body := range []string{
		strings.Replace(plain, `"services":`, `"Routes":5,"services":`, 1),
		strings.Replace(plain, `"services":`, `"Generation":"x","services":`, 1),
		strings.Replace(plain, `"services":`, `"Generation":9,"services":`, 1),
		strings.Replace(plain, `"backend":"s1"`, `"backend":"s1","Hostname":5`, 1),
		strings.Replace(plain, `{"name":"s1"}`, `{"name":"s1","Cold_per_s":"x"}`, 1),
	} {
		if _, err := ParseAndValidate([]byte(body)); err == nil {
			t.Errorf("accepted: %s", body)
		}
	}
}

// TestUpdateOfEarlierBuildIsDecodedAlike applies an update with miscased keys, as a core of an earlier build
// sends it.
func TestUpdateOfEarlierBuildIsDecodedAlike(t *testing.T) {
	update := (&Document{Generation: 3, routes: map[string]string{}, services: "null"}).FullUpdate()
	route := strings.Replace(plainRoute, `"backend":"s1"`, `"backend":"s1","Hostname":"g"`, 1)
	update.Routes = [][]byte{[]byte(route)}
	update.Limits = []byte(`{"max_body_bytes":5,"MAX_BODY_BYTES":"x"}`)
	update.Services = []byte(`[{"name":"s1","Name":"s2"}]`)
	document, err := (*Document)(nil).Apply(update)
	if err != nil {
		t.Fatal(err)
	}
	limits, err := document.Limits()
	if err != nil || limits.MaxBodyBytes != 5 || document.Routes()["h.example/a/"] == "" {
		t.Errorf("limits %+v, routes %v, error %v", limits, document.Routes(), err)
	}
	if services, err := document.Services(); err != nil || services[0].Name != "s1" {
		t.Errorf("services %+v, error %v", services, err)
	}
}

func TestCanonicalHost(t *testing.T) {
	want := map[string]string{
		"h.example": "h.example", "H.Example": "h.example", "h.example.": "h.example",
		"h.example:8080": "h.example",
		"H.EXAMPLE.:80":  "h.example", "h:": "h", "[::1]:80": "::1", "[::1]": "::1", "::1": "::1", "[::A]": "::a",
		"127.0.0.1:80": "127.0.0.1", "": "", ":80": "", ".": "", "h..": "h.", "\u212a": "\u212a", "É": "É",
		"É.X": "É.x", "[::1": "::1", "]": "]",
	}
	for host, canonical := range want {
		if got := CanonicalHost(host); got != canonical {
			t.Errorf("%q: %q instead of %q", host, got, canonical)
		}
	}
}
