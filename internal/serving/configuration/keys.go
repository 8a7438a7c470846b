package configuration

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"sync"
	"unicode/utf8"
)

// topLevel are the parts of a configuration.
type topLevel struct {
	Generation uint64            `json:"generation"`
	Routes     []json.RawMessage `json:"routes"`
	Services   json.RawMessage   `json:"services"`
	Limits     json.RawMessage   `json:"limits"`
}

// knownKeys returns the keys of a configuration that are decoded.
var knownKeys = sync.OnceValue(func() map[string]bool {
	keys := map[string]bool{}
	for _, value := range []any{topLevel{}, Route{}, Split{}, Service{}, Engine{}, Limits{}} {
		for field := range reflect.TypeOf(value).Fields() {
			keys[field.Tag.Get("json")] = true
		}
	}
	return keys
})

// withoutMiscasedKeys returns a JSON value without the members whose key is a known one in another case. The
// schema takes these for unknown keys, which have no effect; encoding/json would decode them into the field
// of the known key.
func withoutMiscasedKeys(value json.RawMessage) json.RawMessage {
	if !mayHoldMiscasedKeys(value) {
		return value
	}
	switch bytes.TrimLeft(value, " \t\r\n")[0] {
	case '{':
		return objectWithoutMiscasedKeys(value)
	case '[':
		return arrayWithoutMiscasedKeys(value)
	}
	return value
}

// mayHoldMiscasedKeys reports whether a JSON text has any byte that a key in another case has. Few
// configurations have one.
func mayHoldMiscasedKeys(text []byte) bool {
	return bytes.ContainsFunc(text, func(r rune) bool {
		return 'A' <= r && r <= 'Z' || r == '\\' || r >= utf8.RuneSelf
	})
}

func objectWithoutMiscasedKeys(value json.RawMessage) json.RawMessage {
	var members map[string]json.RawMessage
	if json.Unmarshal(value, &members) != nil {
		return value
	}
	changed := false
	for key, member := range members {
		if miscased(key) {
			delete(members, key)
			changed = true
			continue
		}
		if kept := withoutMiscasedKeys(member); !bytes.Equal(kept, member) {
			members[key] = kept
			changed = true
		}
	}
	return encodedIf(changed, members, value)
}

func arrayWithoutMiscasedKeys(value json.RawMessage) json.RawMessage {
	var elements []json.RawMessage
	if json.Unmarshal(value, &elements) != nil {
		return value
	}
	changed := false
	for i, element := range elements {
		elements[i] = withoutMiscasedKeys(element)
		changed = changed || !bytes.Equal(elements[i], element)
	}
	return encodedIf(changed, elements, value)
}

// encodedIf returns the JSON text of parts if they were changed, and else the text that they come from.
func encodedIf(changed bool, parts any, value json.RawMessage) json.RawMessage {
	if !changed {
		return value
	}
	text, err := json.Marshal(parts)
	if err != nil {
		return value
	}
	return text
}

// miscased reports whether a key differs from a known one by the case of its letters alone.
func miscased(key string) bool {
	if knownKeys()[key] {
		return false
	}
	for known := range knownKeys() {
		if strings.EqualFold(key, known) {
			return true
		}
	}
	return false
}
