package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header of 8 bytes (length and CRC-32C of the payload, both little-endian) and the payload.
// Each frame is synced before the next one is written: a valid frame after an invalid one therefore proves
// that the invalid one is corruption, not a torn write.
const (
	headerBytes     = 8
	maxPayloadBytes = 64 << 20 // a greater length is corruption
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// AppendFrame appends the frame of payload to buffer.
func AppendFrame(buffer, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, checksumTable))
	return append(append(buffer, header[:]...), payload...)
}

// NextFrame splits the first frame off data. ok is false where it is truncated, corrupted or empty.
func NextFrame(data []byte) (payload, rest []byte, ok bool) {
	length, checksum, ok := readHeader(data)
	if !ok {
		return nil, nil, false
	}
	payload = data[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, checksumTable) != checksum {
		return nil, nil, false
	}
	return payload, data[headerBytes+length:], true
}

// readHeader returns the length and the checksum of the payload that a frame at the beginning of data has. ok
// is false where data is too short for it, or the length is not one of a frame.
func readHeader(data []byte) (length int, checksum uint32, ok bool) {
	if len(data) < headerBytes {
		return 0, 0, false
	}
	length = int(binary.LittleEndian.Uint32(data[0:]))
	if length == 0 || length > maxPayloadBytes || len(data)-headerBytes < length {
		return 0, 0, false
	}
	return length, binary.LittleEndian.Uint32(data[4:]), true
}

// NextValidFrame returns the offset after the first byte of data at which a valid frame begins, or -1. It
// takes no checksum of whole payloads, which may overlap at every offset: the time would grow with the square
// of the size.
func NextValidFrame(data []byte) int {
	var sums *prefixChecksums
	for offset := 1; offset+headerBytes < len(data); offset++ {
		length, checksum, ok := readHeader(data[offset:])
		if !ok {
			continue
		}
		if sums == nil {
			sums = newPrefixChecksums(data)
		}
		begin := offset + headerBytes
		if sums.checksum(begin, begin+length) == checksum {
			return offset
		}
	}
	return -1
}
