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

const maxDepth = 64 // levels of a configuration

// InvalidError says what is wrong with a configuration, and what would mend it.
type InvalidError struct {
	Place, Remedy string
}

// Error names the place and the remedy.
func (e *InvalidError) Error() string { return "configuration: " + e.Place + ": " + e.Remedy }

func invalid(place, remedy string) error { return &InvalidError{Place: place, Remedy: remedy} }

var schema = sync.OnceValue(func() *jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic("configuration: schema.json does not parse: " + err.Error())
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("schema.json", document); err != nil {
		panic("configuration: schema.json is refused: " + err.Error())
	}
	return compiler.MustCompile("schema.json")
})

// Check reads a whole configuration and refuses what may not come into force.
func Check(body []byte) (*Document, error) {
	if err := checkKeys(body); err != nil {
		return nil, err
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(body))
	if err != nil {
		return nil, invalid("the whole", "send one JSON object: "+err.Error())
	}
	if err := schema().Validate(value); err != nil {
		return nil, invalid("the whole", err.Error())
	}
	document, err := Read(body)
	if err != nil {
		return nil, err
	}
	return document, checkReferences(body)
}

// checkReferences checks what a schema cannot say: that names refer to something, and that no place is
// taken twice.
func checkReferences(body []byte) error {
	var parsed struct {
		Routes   []Route   `json:"routes"`
		Services []Service `json:"services"`
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return invalid("the whole", err.Error())
	}
	services := map[string]bool{}
	for _, service := range parsed.Services {
		if services[service.Name] {
			return invalid("service "+service.Name, "name each service once")
		}
		services[service.Name] = true
	}
	places := map[string]bool{}
	for _, route := range parsed.Routes {
		if places[route.Key()] {
			return invalid("route "+route.Name, "give each host and prefix to one route")
		}
		places[route.Key()] = true
		if err := checkBackends(&route, services); err != nil {
			return err
		}
	}
	return nil
}

func checkBackends(route *Route, services map[string]bool) error {
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

// checkKeys refuses doubled keys and anything behind the object, which decoding would let pass.
func checkKeys(body []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if err := checkValue(decoder, 0); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return invalid("the end", "send nothing behind the object")
	}
	return nil
}

func checkValue(decoder *json.Decoder, depth int) error {
	token, err := decoder.Token()
	if err != nil {
		return invalid("the whole", "send it whole, as JSON: "+err.Error())
	}
	if depth > maxDepth {
		return invalid("the whole", "nest less deeply")
	}
	switch token {
	case json.Delim('{'):
		return checkObject(decoder, depth)
	case json.Delim('['):
		for decoder.More() {
			if err := checkValue(decoder, depth+1); err != nil {
				return err
			}
		}
		return closeDelimiter(decoder)
	}
	return nil
}

func checkObject(decoder *json.Decoder, depth int) error {
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return invalid("the whole", "send it whole, as JSON: "+err.Error())
		}
		key, _ := token.(string)
		if seen[key] {
			return invalid("key "+key, "give each key of an object once")
		}
		seen[key] = true
		if err := checkValue(decoder, depth+1); err != nil {
			return err
		}
	}
	return closeDelimiter(decoder)
}

func closeDelimiter(decoder *json.Decoder) error {
	if _, err := decoder.Token(); err != nil {
		return invalid("the whole", "send it whole, as JSON: "+err.Error())
	}
	return nil
}
