package core

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/control"
	"willowdeck/internal/serving/statemachine"
	"willowdeck/internal/serving/wirepb"
)

const (
	maxConfigurationBytes = 16 << 20
	maxHeartbeatBytes     = 64 << 10
	// configurationMemoryBytes bounds the configurations that are handled at one time, by their bodies: the
	// longest one fits into the part that new requests may fill.
	configurationMemoryBytes = maxConfigurationBytes*4/3 + 4
	configurationTimeout     = 20 * time.Second // for receiving a configuration, and for sending one
)

// controlHandler returns the handler of the control plane, which operators and workers call.
func (c *Core) controlHandler() http.Handler {
	router := mux.NewRouter()
	router.SkipClean(true)
	router.HandleFunc("/Config.Replace", c.replaceConfiguration).Methods(http.MethodPost)
	router.HandleFunc("/Config.Get", c.getConfiguration).Methods(http.MethodGet)
	router.HandleFunc("/Evacuations.Start/{zone}", c.setEvacuation(true)).Methods(http.MethodPost)
	router.HandleFunc("/Evacuations.Stop/{zone}", c.setEvacuation(false)).Methods(http.MethodPost)
	router.HandleFunc("/Instances.Heartbeat/{id}", c.heartbeat).Methods(http.MethodPost)
	router.HandleFunc("/Instances.Deregister/{id}", c.deregister).Methods(http.MethodPost)
	router.HandleFunc("/Tallies.Update/{id}", c.updateTally).Methods(http.MethodPost)
	router.HandleFunc("/Tallies.Get/{id}", c.getTally).Methods(http.MethodGet)
	router.HandleFunc("/status", c.status).Methods(http.MethodGet)
	return router
}

// replaceConfiguration replaces the configuration. A change that may have been accepted is never rejected:
// where the outcome is not known in time, the status is 504, and the operator may retry at any core.
func (c *Core) replaceConfiguration(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.Header.Get("Base-Version"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "Base-Version: give the generation that this builds on, or 0")
		return
	}
	memory := c.configurationMemory.Open()
	defer func() { memory.Release(c.now()) }()
	if !c.admit(w, c.configurationMemory, memory, bodyBytes(r, maxConfigurationBytes)) {
		return
	}
	body, err := readBody(w, r, maxConfigurationBytes, configurationTimeout)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			writeError(w, http.StatusRequestEntityTooLarge, "configuration: send at most 16 MiB")
			return
		}
		writeError(w, http.StatusBadRequest, "configuration: send the complete body")
		return
	}
	document, err := configuration.ParseAndValidate(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	command, err := statemachine.ReplaceCommand(base, document.Generation, body)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	writeOutcome(w, c.submitAndWait(command).Outcome)
}

// submitAndWait submits a command, or a linearizable read where command is nil, and waits for its outcome.
// The outcome is unknown where the process stops meanwhile, and control.OutcomeNotForwarded where it has
// stopped before.
func (c *Core) submitAndWait(command *wirepb.Command) *wirepb.CallReply {
	replies := make(chan *wirepb.CallReply, 1)
	if !c.enqueue(func() { c.engine.Submit(command, func(reply *wirepb.CallReply) { replies <- reply }) }) {
		return &wirepb.CallReply{Outcome: control.OutcomeNotForwarded}
	}
	select {
	case reply := <-replies:
		return reply
	case <-c.stop:
		return &wirepb.CallReply{Outcome: wirepb.Outcome_OUTCOME_UNKNOWN}
	}
}

// getConfiguration returns the configuration in force, as the operator has sent it.
func (c *Core) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	reply := c.submitAndWait(nil)
	if reply.Outcome != wirepb.Outcome_OUTCOME_ACCEPTED {
		writeError(w, http.StatusServiceUnavailable, "no majority of the core has answered: read again")
		return
	}
	if reply.Generation == 0 {
		writeError(w, http.StatusNotFound, "there is no configuration yet: send one with Base-Version 0")
		return
	}
	memory := c.readerMemory.Open()
	defer func() { memory.Release(c.now()) }()
	if c.admit(w, c.readerMemory, memory, int64(len(reply.Body))) {
		c.writeConfiguration(w, reply.Body)
	}
}

// writeConfiguration responds with a compressed configuration. It is decompressed as it is sent: readers,
// also slow ones, hold the compressed one alone.
func (c *Core) writeConfiguration(w http.ResponseWriter, compressed []byte) {
	length, err := io.Copy(io.Discard, statemachine.NewDecompressor(compressed))
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	// Writers without deadlines, as in tests, need no limit.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(configurationTimeout))
	writeHead(w, http.StatusOK, length)
	_, _ = io.Copy(w, statemachine.NewDecompressor(compressed)) // the caller has gone, or gets a truncated body
}

// setEvacuation returns the handler that starts (active) or stops the evacuation of a zone. A caller that
// closes its connection before it has a response withdraws the command: it has given the call up, and may
// have sent the same command, and others after it, to another core.
func (c *Core) setEvacuation(active bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		zone := mux.Vars(r)["zone"]
		if _, known := c.settings.Zones[zone]; !known {
			writeError(w, http.StatusNotFound, "zone "+zone+": name one of the settings")
			return
		}
		if err := discardBody(w, r); err != nil {
			writeError(w, http.StatusBadRequest, "evacuation: send no body")
			return
		}
		writeOutcome(w, c.submitEvacuationAndWait(r.Context(), zone, active).Outcome)
	}
}

// submitEvacuationAndWait submits the command that starts (active) or stops the evacuation of a zone, and
// waits for its outcome, as submitAndWait does. Once the caller's context ends it withdraws the command. The
// outcome is then unknown: a caller that has closed its side alone, and reads on, gets no acknowledgement.
func (c *Core) submitEvacuationAndWait(
	caller context.Context, zone string, active bool,
) *wirepb.CallReply {
	replies := make(chan *wirepb.CallReply, 1)
	command := statemachine.EvacuationCommand(zone, active)
	var withdraw func() // set and called by the core's goroutine
	submit := func() {
		withdraw = c.engine.SubmitEvacuation(command, func(reply *wirepb.CallReply) { replies <- reply })
	}
	if !c.enqueue(submit) {
		return &wirepb.CallReply{Outcome: control.OutcomeNotForwarded}
	}
	select {
	case reply := <-replies:
		return reply
	case <-caller.Done():
		c.enqueue(func() { withdraw() })
	case <-c.stop:
	}
	return &wirepb.CallReply{Outcome: wirepb.Outcome_OUTCOME_UNKNOWN}
}
