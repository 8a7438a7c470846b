package edge

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/settings"
)

const (
	drawnConfigurations = 3000
	comparedEdges       = 5
	// acceptedEarlier is a configuration that earlier builds have accepted and this one refuses.
	acceptedEarlier = "../configuration/testdata/accepted-earlier.json"
)

// Parts from which configurations and requests are drawn: forms of few hosts and prefixes, so that many are
// alike.
var (
	drawnHosts = []string{
		"h", "H", "h.", "h:80", "H.:81", "g", "G:80", "h/a", "[::1]", "::1", "[::1]:80", "k", "\u212a",
	}
	drawnPrefixes = []string{"/", "/a/", "/A/", "/a/b/", "/%61/", "/a//", "/b/"}
	drawnPaths    = []string{"/", "/a/", "/a/b/c", "/A/b/", "/%61/x", "/a//b", "/b/a/", "/c"}
	drawnServices = []string{"s1", "s2", "S1", "x", ""}
)

func pick[T any](random *rand.Rand, values []T) T { return values[random.IntN(len(values))] }

// drawConfiguration draws a configuration, which need not be valid.
func drawConfiguration(random *rand.Rand) string {
	var routes []string
	for i := range 1 + random.IntN(5) {
		members := map[string]any{
			"name": fmt.Sprintf("r%d", i), "hostname": pick(random, drawnHosts),
			"path_prefix": pick(random, drawnPrefixes), "route_type": "idempotent",
			"timeout_ms": min(random.IntN(10), 1) * (i + 1),
		}
		if random.IntN(2) == 0 {
			members["backend"] = pick(random, drawnServices[:1+random.IntN(len(drawnServices))])
		}
		if random.IntN(2) == 0 || members["backend"] == nil {
			members["traffic_split"] = []any{
				map[string]any{"backend": pick(random, drawnServices[:2]), "weight": random.IntN(3)},
				map[string]any{"backend": pick(random, drawnServices[:2]), "weight": 1},
			}
		}
		if random.IntN(10) == 0 {
			members["Path_Prefix"], members["BACKEND"] = "/", "x"
		}
		text, err := json.Marshal(members)
		if err != nil {
			panic(err)
		}
		routes = append(routes, string(text))
	}
	return `{"generation":7,"routes":[` + strings.Join(routes, ",") +
		`],"services":[{"name":"s1"},{"name":"s2"}]}`
}

// tablesOf returns the tables that edges build of a configuration, the first from the document itself and the
// others from updates, as edges get them.
func tablesOf(t *testing.T, document *configuration.Document) []*routeSet {
	t.Helper()
	var sets []*routeSet
	for range comparedEdges {
		set, err := newTableBuilder(&settings.Settings{}).routeSetOf(document)
		if err != nil {
			t.Fatal(err)
		}
		sets = append(sets, set)
		if document, err = (*configuration.Document)(nil).Apply(document.FullUpdate()); err != nil {
			t.Fatal(err)
		}
	}
	return sets
}

// nameOf returns the name of a route, or nothing where there is none.
func nameOf(route *configuration.Route) string {
	if route == nil {
		return ""
	}
	return route.Name
}

// routeByPage returns the name of the route that the operators' page gives a request: of the routes of its
// host, the one with the longest prefix that begins the path. Hosts are given without port, final dot and
// capitals.
func routeByPage(body, host, path string) string {
	forms := map[string][]string{
		"h": {"h", "H", "h.", "h:80", "H.:81"}, "g": {"g", "G:80"}, "::1": {"[::1]", "::1", "[::1]:80"}, "k": {"k"},
	}
	var sent struct {
		Routes []map[string]any `json:"routes"`
	}
	if err := json.Unmarshal([]byte(body), &sent); err != nil {
		panic(err)
	}
	name, longest := "", 0
	for _, route := range sent.Routes {
		prefix := route["path_prefix"].(string)
		for _, form := range forms[host] {
			if route["hostname"] == form && strings.HasPrefix(path, prefix) && len(prefix) > longest {
				name, longest = route["name"].(string), len(prefix)
			}
		}
	}
	return name
}

// TestAcceptedConfigurationsLeadWhereThePageSays guards against CONFIG (review/7): two routes that the edges
// took for the same were accepted, and chance decided at each edge which service answered.
func TestAcceptedConfigurationsLeadWhereThePageSays(t *testing.T) {
	accepted := 0
	for seed := range uint64(drawnConfigurations) {
		body := drawConfiguration(rand.New(rand.NewPCG(seed, 84)))
		document, err := configuration.ParseAndValidate([]byte(body))
		if err != nil {
			continue
		}
		accepted++
		for i, set := range tablesOf(t, document) {
			for _, host := range []string{"h", "g", "::1", "k"} {
				for _, path := range drawnPaths {
					sent := map[string]string{"h": "H.:8144", "::1": "[::1]:8144"}[host]
					if sent == "" {
						sent = host
					}
					if got, want := nameOf(set.route(sent, path)), routeByPage(body, host, path); got != want {
						t.Fatalf("seed %d, edge %d, %s%s: route %q, not %q: %s", seed, i, sent, path, got, want, body)
					}
				}
			}
		}
	}
	if accepted < drawnConfigurations/20 || accepted > drawnConfigurations*19/20 {
		t.Errorf("%d of %d configurations were accepted: too few of one kind", accepted, drawnConfigurations)
	}
}

// TestStoredConfigurationLeadsTheSameWayAtEachEdge has edges build tables of a configuration that an earlier
// build has accepted, in which two routes match the same requests: all take the same one.
func TestStoredConfigurationLeadsTheSameWayAtEachEdge(t *testing.T) {
	body, err := os.ReadFile(acceptedEarlier)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		document, err := configuration.Parse(body)
		if err != nil {
			t.Fatal(err)
		}
		for i, set := range tablesOf(t, document) {
			if got := nameOf(set.route("h1", "/a/x")); got != "r2" {
				t.Fatalf("edge %d: route %q", i, got)
			}
			if got := set.route("h1:80", "/b/x"); nameOf(got) != "r3" || got.Priority != 0 {
				t.Fatalf("edge %d: route %+v", i, got)
			}
		}
	}
}
