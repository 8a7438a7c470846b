package configuration

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync"
	"unicode/utf16"
	"unicode/utf8"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed schema.json
var schemaText []byte

// maxNesting limits the nesting depth of objects and arrays in a configuration.
const maxNesting = 64

// InvalidError reports why a configuration, or an update to one, is rejected.
type InvalidError struct {
	Element string // the part that is invalid, such as a route by its name
	Remedy  string // what the sender should change
}

// Error returns a message with the element and the remedy.
func (e *InvalidError) Error() string { return "configuration: " + e.Element + ": " + e.Remedy }

func invalid(element, remedy string) error { return &InvalidError{Element: element, Remedy: remedy} }

// schema returns the compiled schema.json. It panics if the schema is invalid: the schema is embedded in the
// binary, so that such an error is one of the build.
var schema = sync.OnceValue(func() *jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic("configuration: cannot parse schema.json: " + err.Error())
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("schema.json", document); err != nil {
		panic("configuration: schema.json is invalid: " + err.Error())
	}
	return compiler.MustCompile("schema.json")
})

// ParseAndValidate parses a configuration that an operator sent. It returns an InvalidError if the
// configuration is invalid.
func ParseAndValidate(body []byte) (*Document, error) {
	if err := validateStructure(body); err != nil {
		return nil, err
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(body))
	if err != nil {
		return nil, invalid("document", "send one JSON object: "+err.Error())
	}
	if err := schema().Validate(value); err != nil {
		return nil, invalid("document", err.Error())
	}
	if err := validateReferences(body); err != nil {
		return nil, err
	}
	return Parse(body)
}

// decoded are the parts of a configuration whose decoding can fail.
type decoded struct {
	Generation uint64    `json:"generation"`
	Routes     []Route   `json:"routes"`
	Services   []Service `json:"services"`
}

// decode decodes a configuration. Builds until December 2026 take keys in another case for known ones when
// they apply it: what they could not decode, or would take for another generation, is invalid here too.
func decode(body []byte) (decoded, error) {
	var parsed, byEarlierBuilds decoded
	known := withoutMiscasedKeys(body)
	if err := json.Unmarshal(known, &parsed); err != nil {
		return decoded{}, invalid("document", err.Error())
	}
	if bytes.Equal(known, body) {
		return parsed, nil
	}
	if err := json.Unmarshal(body, &byEarlierBuilds); err != nil {
		return decoded{}, invalid("document", err.Error())
	}
	if byEarlierBuilds.Generation != parsed.Generation {
		return decoded{}, invalid("generation", "give it once, and no key that differs in case alone")
	}
	return parsed, nil
}

// validateReferences checks the rules that the schema cannot express: backends must be services of the
// configuration, and the names of services and what routes match must be unique.
func validateReferences(body []byte) error {
	parsed, err := decode(body)
	if err != nil {
		return err
	}
	services := map[string]bool{}
	for _, service := range parsed.Services {
		if services[service.Name] {
			return invalid("service "+service.Name, "name each service once")
		}
		services[service.Name] = true
	}
	names := map[Match]string{}
	for _, route := range parsed.Routes {
		if other, taken := names[route.Match()]; taken {
			remedy := fmt.Sprintf("give its host and prefix to one route, not to %q as well", other)
			return invalid("route "+route.Name, remedy)
		}
		names[route.Match()] = route.Name
		if err := validateBackends(&route, services); err != nil {
			return err
		}
	}
	return nil
}

// validateBackends checks that all services that the route names exist, whether it uses them or not, and that
// the sum of the weights is positive.
func validateBackends(route *Route, services map[string]bool) error {
	named := route.Backends()
	if route.Backend != "" {
		named = append(slices.Clone(named), Split{Backend: route.Backend})
	}
	for _, split := range named {
		if !services[split.Backend] {
			remedy := fmt.Sprintf("name a service of this configuration instead of %q", split.Backend)
			return invalid("route "+route.Name, remedy)
		}
	}
	sum := 0.0
	for _, split := range route.Backends() {
		sum += split.Weight
	}
	if !(sum > 0) {
		return invalid("route "+route.Name, "let the weights add up to more than 0")
	}
	return nil
}

// validateStructure rejects text that is no Unicode, duplicate keys, deep nesting and data after the object,
// which the JSON decoder would accept.
func validateStructure(body []byte) error {
	if !utf8.Valid(body) || hasLoneSurrogate(body) {
		return invalid("document", "send it in UTF-8, with surrogates in pairs")
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if err := validateValue(decoder, 0); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return invalid("end of document", "send nothing after the object")
	}
	return nil
}

// hasLoneSurrogate reports whether a JSON text has an escaped half of a surrogate pair alone. The decoder
// puts the replacement character in its place, so that different names would become the same.
func hasLoneSurrogate(text []byte) bool {
	for {
		escape := bytes.IndexByte(text, '\\')
		if escape < 0 || escape+1 >= len(text) {
			return false
		}
		unit, ok := escapedUnit(text[escape:])
		if !ok {
			text = text[escape+2:]
			continue
		}
		text = text[escape+escapedUnitBytes:]
		if !utf16.IsSurrogate(unit) {
			continue
		}
		second, ok := escapedUnit(text)
		if !ok || utf16.DecodeRune(unit, second) == utf8.RuneError {
			return true
		}
		text = text[escapedUnitBytes:]
	}
}

// escapedUnitBytes is the length of an escaped UTF-16 code unit, as in \u0041.
const escapedUnitBytes = 6

// escapedUnit returns the UTF-16 code unit that a text begins with in escaped form.
func escapedUnit(text []byte) (unit rune, ok bool) {
	if len(text) < escapedUnitBytes || text[0] != '\\' || text[1] != 'u' {
		return 0, false
	}
	value, err := strconv.ParseUint(string(text[2:escapedUnitBytes]), 16, 16)
	return rune(value), err == nil
}

// validateValue consumes the next JSON value of the decoder.
func validateValue(decoder *json.Decoder, depth int) error {
	token, err := decoder.Token()
	if err != nil {
		return invalid("document", "send complete JSON: "+err.Error())
	}
	if depth > maxNesting {
		return invalid("document", "nest less deeply")
	}
	switch token {
	case json.Delim('{'):
		return validateObject(decoder, depth)
	case json.Delim('['):
		for decoder.More() {
			if err := validateValue(decoder, depth+1); err != nil {
				return err
			}
		}
		return closeDelimiter(decoder)
	}
	return nil
}

// validateObject consumes the rest of an object after its opening brace.
func validateObject(decoder *json.Decoder, depth int) error {
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return invalid("document", "send complete JSON: "+err.Error())
		}
		key, _ := token.(string)
		if seen[key] {
			return invalid("key "+key, "give each key of an object once")
		}
		seen[key] = true
		if err := validateValue(decoder, depth+1); err != nil {
			return err
		}
	}
	return closeDelimiter(decoder)
}

// closeDelimiter consumes the closing delimiter of an object or an array.
func closeDelimiter(decoder *json.Decoder) error {
	if _, err := decoder.Token(); err != nil {
		return invalid("document", "send complete JSON: "+err.Error())
	}
	return nil
}
