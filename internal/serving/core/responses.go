package core

import (
	"encoding/json"
	"net/http"
	"strconv"

	"willowdeck/internal/serving/control"
	"willowdeck/internal/serving/wirepb"
)

// errorResponse is the body of a response with an error status. Error says what the caller can do.
type errorResponse struct {
	Error string `json:"error"`
}

// writeJSON writes a response with value as its body.
func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	writeBody(w, status, body)
}

// writeBody writes a response with a JSON body.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	writeHead(w, status, int64(len(body)))
	_, _ = w.Write(body) // the caller has gone, or gets a truncated body
}

// writeHead writes the head of a response with a JSON body of so many bytes.
func writeHead(w http.ResponseWriter, status int, length int64) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	w.WriteHeader(status)
}

// writeError writes an error response.
func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorResponse{message})
}

// acceptedResponse is the body of the response to an accepted command.
type acceptedResponse struct {
	OK bool `json:"ok"`
}

// writeOutcome writes the response to a command. Where the outcome is not known the status is 504: unlike
// 503, it does not promise that nothing was done.
func writeOutcome(w http.ResponseWriter, outcome wirepb.Outcome) {
	switch outcome {
	case wirepb.Outcome_OUTCOME_ACCEPTED:
		writeJSON(w, http.StatusOK, acceptedResponse{OK: true})
	case wirepb.Outcome_OUTCOME_CONFLICT:
		writeError(w, http.StatusPreconditionFailed, "another version is current: read it and build on it")
	case wirepb.Outcome_OUTCOME_STALE:
		writeError(w, http.StatusBadRequest, "generation: choose one above the current one")
	case control.OutcomeNotForwarded:
		writeError(w, http.StatusServiceUnavailable, "no leader is known, nothing was done: send the same again")
	default:
		writeError(w, http.StatusGatewayTimeout, "no majority of the core has answered: send the same again")
	}
}
