package statemachine

import (
	"crypto/sha256"
	"encoding/binary"

	"willowdeck/internal/serving/wirepb"
)

// ReplaceCommand returns the command that puts a configuration in force as generation, provided that
// generation base is in force when the command is applied.
func ReplaceCommand(base, generation uint64, body []byte) (*wirepb.Command, error) {
	compressed, err := Compress(body)
	if err != nil {
		return nil, err
	}
	change := &wirepb.ReplaceConfiguration{
		Base: base, Generation: generation, Digest: Digest(base, body), Body: compressed,
	}
	return &wirepb.Command{Change: &wirepb.Command_Replace{Replace: change}}, nil
}

// EvacuationCommand returns the command that starts (active) or stops the evacuation of a zone.
func EvacuationCommand(zone string, active bool) *wirepb.Command {
	change := &wirepb.SetEvacuation{Zone: zone, Active: active}
	return &wirepb.Command{Change: &wirepb.Command_Evacuation{Evacuation: change}}
}

// Digest returns the SHA-256 digest of a base generation and a configuration. It identifies the change that
// replaces that generation by that configuration.
func Digest(base uint64, body []byte) []byte {
	hash := sha256.New()
	var encodedBase [8]byte
	binary.BigEndian.PutUint64(encodedBase[:], base)
	hash.Write(encodedBase[:])
	hash.Write(body)
	return hash.Sum(nil)
}
