package core

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gorilla/mux"
)

// contractCalls are the calls that the operators' pages name for the control plane and the directory.
var contractCalls = []struct{ method, path string }{
	{http.MethodPost, "/Config.Replace"},
	{http.MethodGet, "/Config.Get"},
	{http.MethodPost, "/Evacuations.Start/zone"},
	{http.MethodPost, "/Evacuations.Stop/zone"},
	{http.MethodPost, "/Instances.Heartbeat/id"},
	{http.MethodPost, "/Instances.Deregister/id"},
	{http.MethodPost, "/Tallies.Update/t3"},
	{http.MethodGet, "/Tallies.Get/t3"},
	{http.MethodGet, "/resolve"},
}

// TestEachCallOfTheContractHasAHandler guards against LOST and SHORT: a call that the contract names and that
// gets 404 from the router.
func TestEachCallOfTheContractHasAHandler(t *testing.T) {
	c, _ := goldenCore(t)
	for _, call := range contractCalls {
		request := httptest.NewRequest(call.method, call.path, nil)
		control := c.controlHandler().(*mux.Router)
		directory := c.directoryHandler().(*http.ServeMux)
		_, pattern := directory.Handler(request)
		if pattern == "" && !control.Match(request, &mux.RouteMatch{}) {
			t.Errorf("%s %s has no handler", call.method, call.path)
		}
	}
}
