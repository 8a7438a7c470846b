package statemachine

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/configuration"
)

// Compress compresses a configuration with DEFLATE, as it is stored in the log.
func Compress(body []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(body); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// NewDecompressor returns a reader of the configuration that Compress compressed.
func NewDecompressor(compressed []byte) io.Reader {
	return flate.NewReader(bytes.NewReader(compressed))
}

// Decompress returns the configuration that Compress compressed.
func Decompress(compressed []byte) ([]byte, error) { return io.ReadAll(NewDecompressor(compressed)) }

// readCompressed parses a compressed configuration that was accepted as generation. An earlier build may have
// read another one from its text.
func readCompressed(compressed []byte, generation uint64) (*configuration.Document, error) {
	body, err := Decompress(compressed)
	if err != nil {
		return nil, errors.Wrap(err, "cannot decompress committed configuration")
	}
	document, err := configuration.Parse(body)
	if err != nil {
		return nil, err
	}
	document.Generation = generation
	return document, nil
}
