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

// MostAsk and MostAnswer are the longest that are read, bytes: as sent and, where it was compressed, as
// written. An answer with 10,000 members, 4,096 words and a pending version is 2 MB. MostTold is the most
// facts in a question; of names of 200 bytes they fit.
const (
	MaxRequestBytes  = 1 << 20
	MaxResponseBytes = 8 << 20
	MaxHostSteps     = 2000
)

// A message is a byte that says how it is written, CBOR (RFC 8949, core deterministic), and a CRC-32C over
// both: a bit of an age or a step that has turned would be believed else.
const (
	encodingPlain         = 0x01
	encodingZstd          = 0x02 // zstd (RFC 8878)
	compressFromBytes     = 1024 // bytes from which packing gains something
	checksumBytes         = 4
	compressorWindowBytes = 1 << 20 // of the compressor: it bounds its memory
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	encodeMode = must(cbor.CoreDetEncOptions().EncMode())
	// An unknown key is passed over, so that a later program may say more to an earlier one; what an earlier one
	// has to know has another Form.
	decodeMode = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden,
		TagsMd:      cbor.TagsForbidden, MaxArrayElements: maxEntries, MaxMapPairs: 64, MaxNestedLevels: 8,
		UTF8: cbor.UTF8RejectInvalid}.DecMode())
	compressor = sync.OnceValue(func() *zstd.Encoder {
		return must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(compressorWindowBytes),
			zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false)))
	})
	decompressor = sync.OnceValue(func() *zstd.Decoder {
		return must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(MaxResponseBytes)))
	})
)

// Why a message can't be read.
var (
	ErrTooLong   = errors.New("it is too long")
	ErrChecksum  = errors.New("its checksum is another")
	ErrMalformed = errors.New("it is no such message")
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

func decode(what string, raw []byte, most int, into any) error {
	if len(raw) > most {
		return fmt.Errorf("%s: %w: %d bytes", what, ErrTooLong, len(raw))
	}
	if len(raw) < 1+checksumBytes {
		return fmt.Errorf("%s: %w: %d bytes", what, ErrMalformed, len(raw))
	}
	body, sum := raw[:len(raw)-checksumBytes], raw[len(raw)-checksumBytes:]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(sum) {
		return fmt.Errorf("%s: %w", what, ErrChecksum)
	}
	how, body := body[0], body[1:]
	switch how {
	case encodingPlain:
	case encodingZstd:
		var h zstd.Header
		if err := h.Decode(body); err != nil {
			return fmt.Errorf("%s: %w: %v", what, ErrMalformed, err)
		}
		if h.HasFCS && h.FrameContentSize > uint64(most) {
			return fmt.Errorf("%s: %w: %d bytes", what, ErrTooLong, h.FrameContentSize)
		}
		var err error
		if body, err = decompressor().DecodeAll(body, nil); errors.Is(err, zstd.ErrDecoderSizeExceeded) {
			return fmt.Errorf("%s: %w", what, ErrTooLong)
		} else if err != nil {
			return fmt.Errorf("%s: %w: %v", what, ErrMalformed, err)
		}
		if len(body) > most {
			return fmt.Errorf("%s: %w: %d bytes", what, ErrTooLong, len(body))
		}
	default:
		return fmt.Errorf("%s: %w: written in way %d", what, ErrMalformed, how)
	}
	if err := decodeMode.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%s: %w: %v", what, ErrMalformed, err)
	}
	return nil
}

// Bytes is a question as it is sent.
func (a *Request) Encode() ([]byte, error) { return encode(a) }

// ReadAsk reads one; the error names what is wrong. What it says is checked by Source.Answer.
func DecodeRequest(raw []byte) (*Request, error) {
	a := &Request{DiscoveryIndex: -1}
	if err := decode("ask", raw, MaxRequestBytes, a); err != nil {
		return nil, err
	}
	return a, nil
}

// Bytes is an answer as it is sent.
func (a *Response) Encode() ([]byte, error) { return encode(a) }

// ReadAnswer reads one; the error names what is wrong. What it says is checked by Follower.Heard.
func DecodeResponse(raw []byte) (*Response, error) {
	a := &Response{DiscoveryIndex: -1}
	if err := decode("answer", raw, MaxResponseBytes, a); err != nil {
		return nil, err
	}
	if math.IsNaN(a.AgeMillis) || math.IsInf(a.AgeMillis, 0) || math.IsNaN(a.RetryAfterMillis) ||
		math.IsInf(a.RetryAfterMillis, 0) {
		return nil, fmt.Errorf("answer: %w: an age that is none", ErrMalformed)
	}
	return a, nil
}

// StateBytes is a state as a disk copy has it, with a checksum; nil is an empty one.
func EncodeState(s *versioned.State) ([]byte, error) {
	var d *versioned.Delta
	if s != nil {
		d = versioned.Whole(s)
	}
	return encode(d)
}

// ReadState reads one, which may be nil. What is torn or spoilt is an error.
func DecodeState(raw []byte) (*versioned.State, error) {
	var d *versioned.Delta
	if err := decode("state", raw, MaxResponseBytes, &d); err != nil || d == nil {
		return nil, err
	}
	if !d.From.None() {
		return nil, fmt.Errorf("state: %w: it is a part of one", ErrMalformed)
	}
	s, err := (*versioned.State)(nil).Apply(d)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return s, nil
}
