package core

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/statemachine"
	"willowdeck/internal/serving/wirepb"
)

const (
	maxConfiguration = 16 << 20 // bytes
	maxHeartbeat     = 64 << 10
	bodyTimeout      = 20 * time.Second
)

// controlHandler serves operators and workers.
func (c *Core) controlHandler() http.Handler {
	router := mux.NewRouter()
	router.SkipClean(true)
	router.HandleFunc("/Config.Replace", c.replaceConfiguration).Methods(http.MethodPost)
	router.HandleFunc("/Config.Get", c.getConfiguration).Methods(http.MethodGet)
	router.HandleFunc("/Evacuations.Start/{zone}", c.evacuation(true)).Methods(http.MethodPost)
	router.HandleFunc("/Evacuations.Stop/{zone}", c.evacuation(false)).Methods(http.MethodPost)
	router.HandleFunc("/Instances.Heartbeat/{id}", c.heartbeat).Methods(http.MethodPost)
	router.HandleFunc("/Instances.Deregister/{id}", c.deregister).Methods(http.MethodPost)
	router.HandleFunc("/status", c.status).Methods(http.MethodGet)
	return router
}

// refusal is the body of an answer that is no success.
type refusal struct {
	Error string `json:"error"`
}

func answer(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

func refuse(w http.ResponseWriter, status int, message string) { answer(w, status, refusal{message}) }

// taken is the answer to an order that was carried out.
type taken struct {
	OK bool `json:"ok"`
}

// replaceConfiguration takes a whole configuration. Nothing is refused that may have been taken: where the
// outcome is not known in time, the answer is 503, and the same order may be sent again to any core.
func (c *Core) replaceConfiguration(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.Header.Get("Base-Version"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "Base-Version: give the generation that this builds on, or 0")
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfiguration))
	if err != nil {
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			refuse(w, http.StatusRequestEntityTooLarge, "configuration: send at most 16 MiB")
			return
		}
		refuse(w, http.StatusBadRequest, "configuration: send it whole")
		return
	}
	document, err := configuration.ParseAndValidate(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	command, err := statemachine.ReplaceCommand(base, document.Generation, body)
	if err != nil {
		refuse(w, http.StatusInternalServerError, err.Error())
		return
	}
	answerOutcome(w, c.order(command).Outcome)
}

func answerOutcome(w http.ResponseWriter, outcome wirepb.Outcome) {
	switch outcome {
	case wirepb.Outcome_OUTCOME_TAKEN:
		answer(w, http.StatusOK, taken{OK: true})
	case wirepb.Outcome_OUTCOME_CONFLICT:
		refuse(w, http.StatusPreconditionFailed, "another version is current: read it and build on it")
	case wirepb.Outcome_OUTCOME_STALE:
		refuse(w, http.StatusBadRequest, "generation: choose one above the current one")
	default:
		refuse(w, http.StatusServiceUnavailable, "no majority of the core has answered: send the same again")
	}
}

// order carries out a command, or a read where command is nil, and waits for its outcome.
func (c *Core) order(command *wirepb.Command) *wirepb.CallReply {
	replies := make(chan *wirepb.CallReply, 1)
	if c.do(func() { c.engine.Submit(command, func(reply *wirepb.CallReply) { replies <- reply }) }) {
		select {
		case reply := <-replies:
			return reply
		case <-c.stop:
		}
	}
	return &wirepb.CallReply{}
}

func (c *Core) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	reply := c.order(nil)
	if reply.Outcome != wirepb.Outcome_OUTCOME_TAKEN {
		answerOutcome(w, wirepb.Outcome_OUTCOME_UNKNOWN)
		return
	}
	if reply.Generation == 0 {
		refuse(w, http.StatusNotFound, "there is no configuration yet: send one with Base-Version 0")
		return
	}
	body, err := statemachine.Decompress(reply.Body)
	if err != nil {
		refuse(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

func (c *Core) evacuation(active bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		zone := mux.Vars(r)["zone"]
		if _, known := c.settings.Zones[zone]; !known {
			refuse(w, http.StatusNotFound, "zone "+zone+": name one of the settings")
			return
		}
		answerOutcome(w, c.order(statemachine.EvacuationCommand(zone, active)).Outcome)
	}
}
