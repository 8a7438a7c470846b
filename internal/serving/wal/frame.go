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
	if len(data) < headerBytes {
		return nil, nil, false
	}
	length := int(binary.LittleEndian.Uint32(data[0:]))
	if length == 0 || length > maxPayloadBytes || len(data)-headerBytes < length {
		return nil, nil, false
	}
	payload = data[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, checksumTable) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, nil, false
	}
	return payload, data[headerBytes+length:], true
}

// NextValidFrame returns the offset after the first byte of data at which a valid frame begins, or -1.
func NextValidFrame(data []byte) int {
	for offset := 1; offset+headerBytes < len(data); offset++ {
		if _, _, ok := NextFrame(data[offset:]); ok {
			return offset
		}
	}
	return -1
}
