package configuration

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed schema.json
var schemaText []byte

// maxNesting bounds the levels of objects and lists in a configuration.
const maxNesting = 64

// InvalidError rejects a configuration, or an update to one.
type InvalidError struct {
	Element string // the part at fault, such as a route by its name
	Remedy  string // what the sender should change
}

// Error names the element and the remedy.
func (e *InvalidError) Error() string { return "configuration: " + e.Element + ": " + e.Remedy }

func invalid(element, remedy string) error { return &InvalidError{Element: element, Remedy: remedy} }

// schema is the compiled schema.json, which is part of the binary: an error in it is one of the build.
var schema = sync.OnceValue(func() *jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic("configuration: schema.json does not parse: " + err.Error())
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("schema.json", document); err != nil {
		panic("configuration: schema.json is invalid: " + err.Error())
	}
	return compiler.MustCompile("schema.json")
})

// ParseAndValidate parses a configuration that an operator sent and rejects, by an InvalidError, what may not
// come into force.
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

// validateReferences validates what a schema cannot express: that backends are services of the configuration,
// and that service names and routes are unique.
func validateReferences(body []byte) error {
	var parsed struct {
		Routes   []Route   `json:"routes"`
		Services []Service `json:"services"`
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return invalid("document", err.Error())
	}
	services := map[string]bool{}
	for _, service := range parsed.Services {
		if services[service.Name] {
			return invalid("service "+service.Name, "name each service once")
		}
		services[service.Name] = true
	}
	routeKeys := map[string]bool{}
	for _, route := range parsed.Routes {
		if routeKeys[route.Key()] {
			return invalid("route "+route.Name, "give each host and prefix to one route")
		}
		routeKeys[route.Key()] = true
		if err := validateBackends(&route, services); err != nil {
			return err
		}
	}
	return nil
}

// validateBackends validates that the route's backends exist and that some of them has a weight.
func validateBackends(route *Route, services map[string]bool) error {
	sum := 0.0
	for _, split := range route.Backends() {
		if !services[split.Backend] {
			remedy := fmt.Sprintf("name a service of this configuration instead of %q", split.Backend)
			return invalid("route "+route.Name, remedy)
		}
		sum += split.Weight
	}
	if !(sum > 0) {
		return invalid("route "+route.Name, "let the weights add up to more than 0")
	}
	return nil
}

// validateStructure rejects duplicate keys, deep nesting and anything after the object, which decoding would
// accept.
func validateStructure(body []byte) error {
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

// validateValue consumes one JSON value, whose first token is the next one.
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

// validateObject consumes an object, whose opening brace was read.
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

// closeDelimiter consumes the end of an object or a list.
func closeDelimiter(decoder *json.Decoder) error {
	if _, err := decoder.Token(); err != nil {
		return invalid("document", "send complete JSON: "+err.Error())
	}
	return nil
}
