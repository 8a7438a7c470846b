package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"willowdeck/internal/serving/configuration"
)

// TestFurtherAttemptObeysRegionsInForce guards against HOME (review/6): a route's regions change while a
// stream runs, and its worker breaks off later. The stream was resumed in a region that the route no longer
// allowed.
func TestFurtherAttemptObeysRegionsInForce(t *testing.T) {
	route := `{"hostname":"h","path_prefix":"%s","route_type":"streaming","resumable":true,"max_attempts":2,` +
		`"timeout_ms":5000,"backend":"s","allowed_regions":[%s]}`
	cases := []struct {
		name, route string
		resumed     bool
	}{
		{"another region", fmt.Sprintf(route, "/resume/", `"north"`), false},
		{"the worker's region", fmt.Sprintf(route, "/resume/", `"south"`), true},
		{"the route is removed", fmt.Sprintf(route, "/other/", `"north"`), true},
		{"a longer prefix takes its place", fmt.Sprintf(route, "/resume/x/", `"north"`), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { resumeUnderChangedRegions(t, c.route, c.resumed) })
	}
}

// resumeUnderChangedRegions has a stream break off after a configuration with one route has come into force.
func resumeUnderChangedRegions(t *testing.T, route string, resumed bool) {
	t.Helper()
	changed := make(chan struct{})
	respond := func(connection net.Conn, request *http.Request, body string) {
		if request.Header.Get("Last-Event-Id") != "" {
			stream(2, 3, "")(connection, request, body)
			return
		}
		text := head(request, 200, streamHead, "Transfer-Encoding: chunked", "Server-Signature: s")
		_, _ = io.WriteString(connection, text+chunk(event(1)))
		<-changed
		_ = connection.Close()
	}
	workers := []*fakeWorker{newFakeWorker(t, respond), newFakeWorker(t, respond)}
	e, server := startEdge(t, workers...)
	request, err := http.NewRequest(http.MethodPost, server.URL+"/resume/x/y", strings.NewReader("question"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Request-Id", "q-1")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	document, err := configuration.ParseAndValidate([]byte(
		`{"generation":2,"routes":[` + route + `],"services":[{"name":"s"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	e.store.SetCommitted(2, document, nil)
	e.updateTable(newTableBuilder(e.settings))
	close(changed)
	rest, err := io.ReadAll(reader)
	if complete := err == nil && strings.Contains(string(rest), "piece 3"); complete != resumed {
		t.Errorf("complete: %v, rest %q, error %v", complete, rest, err)
	}
	if sent := workers[0].count() + workers[1].count(); (sent == 2) != resumed {
		t.Errorf("%d requests to workers", sent)
	}
}
