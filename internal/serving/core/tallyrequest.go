package core

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"willowdeck/internal/serving/tally"
)

// Limits of the requests of tallies.
const (
	maxTallyBodyBytes = 4 << 10
	maxTallyNameBytes = 256
	maxTallyIDBytes   = 128
	maxTallyAmount    = 1_000_000_000_000 // so that the greatest number of adds does not overflow a total
)

// Keys of the body of an add.
const (
	tallyIDKey     = "instance_id"
	tallyAmountKey = "lease_owner"
)

// errTallyRequest is wrapped by the errors of requests that are not valid.
var errTallyRequest = errors.New("tally")

// errTallyBodyTooLarge is the error of a body over the limit.
var errTallyBodyTooLarge = errors.New("tally: send a body of at most 4 KiB")

// readTallyAdd reads the add that a request states.
func readTallyAdd(w http.ResponseWriter, r *http.Request) (tally.Add, error) {
	name, err := tallyName(r)
	if err != nil {
		return tally.Add{}, err
	}
	body, err := readBody(w, r, maxTallyBodyBytes, reportTimeout)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return tally.Add{}, errTallyBodyTooLarge
		}
		return tally.Add{}, errors.Wrap(errTallyRequest, "send the complete body")
	}
	return parseTallyAdd(name, body)
}

// tallyName returns the name of a tally in the path of a request. Messages between cores hold UTF-8 alone.
func tallyName(r *http.Request) (string, error) {
	name := mux.Vars(r)["id"]
	if name == "" || len(name) > maxTallyNameBytes || !utf8.ValidString(name) {
		return "", errors.Wrapf(errTallyRequest, "give a name of 1 to %d bytes in UTF-8", maxTallyNameBytes)
	}
	return name, nil
}

// parseTallyAdd returns the add to the tally name that a request's body states.
func parseTallyAdd(name string, body []byte) (tally.Add, error) {
	members, err := parseObject(body)
	if err != nil {
		return tally.Add{}, err
	}
	id, err := parseTallyID(members[tallyIDKey])
	if err != nil {
		return tally.Add{}, err
	}
	// Only digits are left by ParseUint: no text, fraction, exponent or sign.
	amount, err := strconv.ParseUint(string(members[tallyAmountKey]), 10, 64)
	if err != nil || amount > maxTallyAmount {
		return tally.Add{}, errors.Wrapf(errTallyRequest, "%s: give a whole number from 0 to %d",
			tallyAmountKey, maxTallyAmount)
	}
	return tally.Add{Tally: name, ID: id, Amount: amount}, nil
}

// parseTallyID returns the id that a JSON value states. A decoder turns surrogates that stand alone into the
// replacement character: with it, different ids would be the same.
func parseTallyID(value json.RawMessage) (string, error) {
	var id string
	err := json.Unmarshal(value, &id)
	if err != nil || id == "" || len(id) > maxTallyIDBytes || strings.ContainsRune(id, utf8.RuneError) {
		return "", errors.Wrapf(errTallyRequest, "%s: give a text of 1 to %d bytes", tallyIDKey, maxTallyIDBytes)
	}
	return id, nil
}

// parseObject returns the members of a JSON object by their keys. Each key may be there once.
func parseObject(body []byte) (map[string]json.RawMessage, error) {
	notAnObject := errors.Wrapf(errTallyRequest, "send a JSON object with %s and %s", tallyIDKey, tallyAmountKey)
	if !utf8.Valid(body) || !json.Valid(body) {
		return nil, notAnObject
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if begin, err := decoder.Token(); err != nil || begin != json.Delim('{') {
		return nil, notAnObject
	}
	members := map[string]json.RawMessage{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, notAnObject
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, notAnObject
		}
		key, _ := token.(string) // the keys of valid JSON are texts
		if _, doubled := members[key]; doubled {
			return nil, errors.Wrapf(errTallyRequest, "%s: state it once", key)
		}
		members[key] = value
	}
	return members, nil
}
