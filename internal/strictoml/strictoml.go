// Package strictoml decodes TOML and rejects unknown keys. It keeps no state and imports no other package of
// this module.
package strictoml

import (
	"errors"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
)

// Decode decodes text into the struct that into points to. A syntax error names the line; the error for an
// unknown key names the key and, if it is found, its line.
func Decode(text string, into any) error {
	meta, err := toml.Decode(text, into)
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		return fmt.Errorf("line %d: %s", parseError.Position.Line, parseError.Message)
	}
	if err != nil {
		return err
	}
	if undecoded := meta.Undecoded(); len(undecoded) > 0 {
		key := undecoded[0][len(undecoded[0])-1]
		for i, line := range strings.Split(text, "\n") {
			if name, _, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == key {
				return fmt.Errorf("line %d: %s: unknown key", i+1, undecoded[0])
			}
		}
		return fmt.Errorf("%s: unknown key", undecoded[0])
	}
	return nil
}

// Has reports whether text contains the top-level key. It returns false if text cannot be decoded.
func Has(text, key string) bool {
	var keys map[string]any
	_, err := toml.Decode(text, &keys)
	_, exists := keys[key]
	return err == nil && exists
}
