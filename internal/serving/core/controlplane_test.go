package core

import (
	"net/http"
	"net/http/httptest"
	"strings"
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

// TestConfigurationsShareTheirMemory has a long configuration come while another one is being handled: it is
// refused before it is read, with a time to come back, and taken once the other one is done. Any number of
// them was read at once, whatever memory the core had.
func TestConfigurationsShareTheirMemory(t *testing.T) {
	c, _ := goldenCore(t)
	send := func(length int) *httptest.ResponseRecorder {
		body := strings.NewReader(strings.Repeat("x", length))
		request := httptest.NewRequest(http.MethodPost, "/Config.Replace", body)
		request.Header.Set("Base-Version", "0")
		recorder := httptest.NewRecorder()
		c.replaceConfiguration(recorder, request)
		return recorder
	}
	other := c.configurationMemory.Open()
	if !other.Admit(maxConfigurationBytes/2 + 100) {
		t.Fatal("no room for the first one")
	}
	refused := send(maxConfigurationBytes / 2)
	if refused.Code != http.StatusServiceUnavailable || refused.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", refused.Code, refused.Header().Get("Retry-After"))
	}
	if short := send(1000); short.Code != http.StatusBadRequest {
		t.Errorf("a short one: status %d", short.Code)
	}
	other.Release(0)
	if long := send(maxConfigurationBytes); long.Code != http.StatusBadRequest {
		t.Errorf("the longest one, alone: status %d", long.Code)
	}
	if held := c.configurationMemory.Reserved(); held != 0 {
		t.Errorf("%d bytes are held", held)
	}
}
