package distribution

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"willowdeck/internal/versioned"
)

// Bounds of messages. The bytes hold for a message as it is sent and, where it was compressed, for its
// content: a response with 10,000 members, 4,096 worker entries and a pending version has 2 MB. MaxHostAcks
// facts fit into a request with host names of 200 bytes.
const (
	MaxRequestBytes  = 1 << 20
	MaxResponseBytes = 8 << 20
	MaxHostAcks      = 2000
)

// A message is a byte that names its encoding, the CBOR of its value (RFC 8949, core deterministic) and a
// CRC-32C over both. Without the checksum a flipped bit of an age or a step would go unnoticed.
const (
	encodingPlain         = 0x01
	encodingZstd          = 0x02    // RFC 8878
	compressFromBytes     = 1024    // shorter messages are sent plain
	checksumBytes         = 4       // big endian, at the end
	compressorWindowBytes = 1 << 20 // bounds the compressor's memory
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	encodeMode = must(cbor.CoreDetEncOptions().EncMode())
	// Unknown keys are ignored, so that a later program may add keys. A change that an earlier program has to
	// know of gets another FormatVersion.
	decodeMode = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxEntries,
		MaxMapPairs:      64,
		MaxNestedLevels:  8,
		UTF8:             cbor.UTF8RejectInvalid,
	}.DecMode())
	compressor = sync.OnceValue(func() *zstd.Encoder {
		return must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(compressorWindowBytes),
			zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false)))
	})
	decompressor = sync.OnceValue(func() *zstd.Decoder {
		return must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(MaxResponseBytes)))
	})
)

// Reasons why a message can't be decoded.
var (
	ErrTooLong   = errors.New("message too long")
	ErrChecksum  = errors.New("checksum mismatch")
	ErrMalformed = errors.New("malformed message")
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func encode(v any) ([]byte, error) {
	raw, err := encodeMode.Marshal(v)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 1, 1+len(raw)+checksumBytes)
	if out[0] = encodingPlain; len(raw) >= compressFromBytes {
		out[0] = encodingZstd
		out = compressor().EncodeAll(raw, out)
	} else {
		out = append(out, raw...)
	}
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(out, castagnoli)), nil
}

// decode decodes a message of maxBytes at most into a value. What names the message in errors, which wrap
// ErrTooLong, ErrChecksum or ErrMalformed.
func decode(what string, raw []byte, maxBytes int, into any) error {
	if len(raw) > maxBytes {
		return fmt.Errorf("%s: %w: %d bytes", what, ErrTooLong, len(raw))
	}
	if len(raw) < 1+checksumBytes {
		return fmt.Errorf("%s: %w: %d bytes", what, ErrMalformed, len(raw))
	}
	body, checksum := raw[:len(raw)-checksumBytes], raw[len(raw)-checksumBytes:]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(checksum) {
		return fmt.Errorf("%s: %w", what, ErrChecksum)
	}
	encoding, body := body[0], body[1:]
	switch encoding {
	case encodingPlain:
	case encodingZstd:
		var err error
		if body, err = decompress(body, maxBytes); err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
	default:
		return fmt.Errorf("%s: %w: encoding %d", what, ErrMalformed, encoding)
	}
	if err := decodeMode.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%s: %w: %w", what, ErrMalformed, err)
	}
	return nil
}

// decompress gives the content of a zstd frame. A frame that declares more than maxBytes is rejected before
// anything is allocated for it.
func decompress(frame []byte, maxBytes int) ([]byte, error) {
	var header zstd.Header
	if err := header.Decode(frame); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if header.HasFCS && header.FrameContentSize > uint64(maxBytes) {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, header.FrameContentSize)
	}
	content, err := decompressor().DecodeAll(frame, nil)
	switch {
	case errors.Is(err, zstd.ErrDecoderSizeExceeded):
		return nil, ErrTooLong
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	case len(content) > maxBytes:
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, len(content))
	}
	return content, nil
}

// Encode gives the request as it is sent.
func (r *Request) Encode() ([]byte, error) { return encode(r) }

// DecodeRequest decodes a request. Its content is validated by Source.Respond.
func DecodeRequest(raw []byte) (*Request, error) {
	r := &Request{DiscoveryIndex: -1}
	if err := decode("request", raw, MaxRequestBytes, r); err != nil {
		return nil, err
	}
	return r, nil
}

// Encode gives the response as it is sent.
func (r *Response) Encode() ([]byte, error) { return encode(r) }

// DecodeResponse decodes a response. Its content is validated by Follower.HandleResponse.
func DecodeResponse(raw []byte) (*Response, error) {
	r := &Response{DiscoveryIndex: -1}
	if err := decode("response", raw, MaxResponseBytes, r); err != nil {
		return nil, err
	}
	if !finite(r.AgeMillis) || !finite(r.RetryAfterMillis) {
		return nil, fmt.Errorf("response: %w: an age or a pause that is not finite", ErrMalformed)
	}
	return r, nil
}

func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// EncodeState gives a state as a checkpoint stores it, with a checksum; nil is a state without an ID.
func EncodeState(s *versioned.State) ([]byte, error) {
	var full *versioned.Delta
	if s != nil {
		full = versioned.FullDelta(s)
	}
	return encode(full)
}

// DecodeState decodes what EncodeState wrote, and may give nil.
func DecodeState(raw []byte) (*versioned.State, error) {
	var full *versioned.Delta
	if err := decode("state", raw, MaxResponseBytes, &full); err != nil || full == nil {
		return nil, err
	}
	if !full.From.IsNone() {
		return nil, fmt.Errorf("state: %w: a delta and not a full state", ErrMalformed)
	}
	s, err := (*versioned.State)(nil).Apply(full)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return s, nil
}
