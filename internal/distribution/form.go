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
	MostAsk    = 1 << 20
	MostAnswer = 8 << 20
	MostTold   = 2000
)

// A message is a byte that says how it is written, CBOR (RFC 8949, core deterministic), and a CRC-32C over
// both: a bit of an age or a step that has turned would be believed else.
const (
	plain      = 0x01
	packed     = 0x02 // zstd (RFC 8878)
	packFrom   = 1024 // bytes from which packing gains something
	sumBytes   = 4
	packWindow = 1 << 20 // of the compressor: it bounds its memory
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	writes     = must(cbor.CoreDetEncOptions().EncMode())
	// An unknown key is passed over, so that a later program may say more to an earlier one; what an earlier one
	// has to know has another Form.
	reads = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxArrayElements: mostEntries, MaxMapPairs: 64, MaxNestedLevels: 8,
		UTF8: cbor.UTF8RejectInvalid}.DecMode())
	packer = sync.OnceValue(func() *zstd.Encoder {
		return must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(packWindow),
			zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false)))
	})
	unpacker = sync.OnceValue(func() *zstd.Decoder {
		return must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(MostAnswer)))
	})
)

// Why a message can't be read.
var (
	ErrLong  = errors.New("it is too long")
	ErrSum   = errors.New("its checksum is another")
	ErrShape = errors.New("it is no such message")
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func write(v any) ([]byte, error) {
	raw, err := writes.Marshal(v)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 1, 1+len(raw)+sumBytes)
	if out[0] = plain; len(raw) >= packFrom {
		out[0] = packed
		out = packer().EncodeAll(raw, out)
	} else {
		out = append(out, raw...)
	}
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(out, castagnoli)), nil
}

func read(what string, raw []byte, most int, into any) error {
	if len(raw) > most {
		return fmt.Errorf("%s: %w: %d bytes", what, ErrLong, len(raw))
	}
	if len(raw) < 1+sumBytes {
		return fmt.Errorf("%s: %w: %d bytes", what, ErrShape, len(raw))
	}
	body, sum := raw[:len(raw)-sumBytes], raw[len(raw)-sumBytes:]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(sum) {
		return fmt.Errorf("%s: %w", what, ErrSum)
	}
	how, body := body[0], body[1:]
	switch how {
	case plain:
	case packed:
		var h zstd.Header
		if err := h.Decode(body); err != nil {
			return fmt.Errorf("%s: %w: %v", what, ErrShape, err)
		}
		if h.HasFCS && h.FrameContentSize > uint64(most) {
			return fmt.Errorf("%s: %w: %d bytes", what, ErrLong, h.FrameContentSize)
		}
		var err error
		if body, err = unpacker().DecodeAll(body, nil); errors.Is(err, zstd.ErrDecoderSizeExceeded) {
			return fmt.Errorf("%s: %w", what, ErrLong)
		} else if err != nil {
			return fmt.Errorf("%s: %w: %v", what, ErrShape, err)
		}
		if len(body) > most {
			return fmt.Errorf("%s: %w: %d bytes", what, ErrLong, len(body))
		}
	default:
		return fmt.Errorf("%s: %w: written in way %d", what, ErrShape, how)
	}
	if err := reads.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%s: %w: %v", what, ErrShape, err)
	}
	return nil
}

// Bytes is a question as it is sent.
func (a *Ask) Bytes() ([]byte, error) { return write(a) }

// ReadAsk reads one; the error names what is wrong. What it says is checked by Source.Answer.
func ReadAsk(raw []byte) (*Ask, error) {
	a := &Ask{Index: -1}
	if err := read("ask", raw, MostAsk, a); err != nil {
		return nil, err
	}
	return a, nil
}

// Bytes is an answer as it is sent.
func (a *Answer) Bytes() ([]byte, error) { return write(a) }

// ReadAnswer reads one; the error names what is wrong. What it says is checked by Follower.Heard.
func ReadAnswer(raw []byte) (*Answer, error) {
	a := &Answer{Index: -1}
	if err := read("answer", raw, MostAnswer, a); err != nil {
		return nil, err
	}
	if math.IsNaN(a.Age) || math.IsInf(a.Age, 0) || math.IsNaN(a.Busy) || math.IsInf(a.Busy, 0) {
		return nil, fmt.Errorf("answer: %w: an age that is none", ErrShape)
	}
	return a, nil
}

// StateBytes is a state as a disk copy has it, with a checksum; nil is an empty one.
func StateBytes(s *versioned.State) ([]byte, error) {
	var d *versioned.Delta
	if s != nil {
		d = versioned.FullDelta(s)
	}
	return write(d)
}

// ReadState reads one, which may be nil. What is torn or spoilt is an error.
func ReadState(raw []byte) (*versioned.State, error) {
	var d *versioned.Delta
	if err := read("state", raw, MostAnswer, &d); err != nil || d == nil {
		return nil, err
	}
	if !d.From.IsNone() {
		return nil, fmt.Errorf("state: %w: it is a part of one", ErrShape)
	}
	s, err := (*versioned.State)(nil).Apply(d)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return s, nil
}
