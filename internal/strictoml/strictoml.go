// Package strictoml decodes TOML files in which every key has to be known.
package strictoml

import (
	"errors"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
)

// Decode decodes a text. An error names the line or the key.
func Decode(text string, into any) error {
	meta, err := toml.Decode(text, into)
	var at toml.ParseError
	if errors.As(err, &at) {
		return fmt.Errorf("line %d: %s", at.Position.Line, at.Message)
	}
	if err != nil {
		return err
	}
	if un := meta.Undecoded(); len(un) > 0 {
		key := un[0][len(un[0])-1]
		for i, line := range strings.Split(text, "\n") {
			if name, _, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == key {
				return fmt.Errorf("line %d: %s: unknown key", i+1, un[0])
			}
		}
		return fmt.Errorf("%s: unknown key", un[0])
	}
	return nil
}

// Has tells whether a text has a key at its top; false where it can't be decoded.
func Has(text, key string) bool {
	var all map[string]any
	_, err := toml.Decode(text, &all)
	_, there := all[key]
	return err == nil && there
}
