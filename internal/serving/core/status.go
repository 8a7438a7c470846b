package core

import (
	"encoding/json"
	"net/http"

	"willowdeck/internal/serving/control"
	"willowdeck/internal/serving/tally"
)

// statusResponse is the body of /status.
type statusResponse struct {
	control.Status
	Tallies tally.Status `json:"tallies"`
}

// status returns the status of this core and its view of the system, as indented JSON.
func (c *Core) status(w http.ResponseWriter, _ *http.Request) {
	reports := make(chan statusResponse, 1)
	if !c.enqueue(func() { reports <- statusResponse{c.engine.Status(), c.tallies.Status()} }) {
		writeError(w, http.StatusServiceUnavailable, "this core is stopping: ask another one")
		return
	}
	select {
	case report := <-reports:
		body, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			writeError(w, http.StatusInternalServerError, err.Error())
			return
		}
		writeBody(w, http.StatusOK, append(body, '\n'))
	case <-c.stop:
		writeError(w, http.StatusServiceUnavailable, "this core is stopping: ask another one")
	}
}
