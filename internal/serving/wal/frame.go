package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header of 8 bytes (length and checksum of the payload), then the payload. One write makes
// one frame, and is synced before the next one begins: a frame behind a damaged one therefore proves that
// the damage is no torn tail.
const (
	headerBytes = 8
	maxPayload  = 64 << 20 // bytes; a greater length is damage
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

func appendFrame(buffer, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, checksumTable))
	return append(append(buffer, header[:]...), payload...)
}

// nextFrame splits the first frame off data. ok is false where it is cut short, damaged or empty.
func nextFrame(data []byte) (payload, rest []byte, ok bool) {
	if len(data) < headerBytes {
		return nil, nil, false
	}
	length := int(binary.LittleEndian.Uint32(data[0:]))
	if length == 0 || length > maxPayload || len(data)-headerBytes < length {
		return nil, nil, false
	}
	payload = data[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, checksumTable) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, nil, false
	}
	return payload, data[headerBytes+length:], true
}

// validFrameAfter reports whether a whole frame begins anywhere behind damaged bytes.
func validFrameAfter(data []byte) bool {
	for offset := 1; offset+headerBytes < len(data); offset++ {
		if _, _, ok := nextFrame(data[offset:]); ok {
			return true
		}
	}
	return false
}
