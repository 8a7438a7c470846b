// Package strictoml decodes TOML files in which every key has to be known. It owns no state and imports no
// package of the product.
package strictoml

import (
	"errors"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
)

// Decode decodes text into a struct. An error names the line or the key.
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

// Has reports whether the text has a top-level key; false where it cannot be decoded.
func Has(text, key string) bool {
	var keys map[string]any
	_, err := toml.Decode(text, &keys)
	_, exists := keys[key]
	return err == nil && exists
}
