package wal

import "hash/crc32"

// checksumBlockBytes is the distance between the positions whose prefix checksums are kept.
const checksumBlockBytes = 512

// Polynomials over GF(2) of degree below 32 are held with the coefficient of x^0 in the highest bit, as
// CRC-32 orders them.
const (
	polynomialOne = uint32(1) << 31
	polynomialX   = uint32(1) << 30
)

// prefixChecksums returns the CRC-32C of any part of data in a time that hardly depends on its length. CRCs
// are linear: with data of two parts A and B, crc(AB) = crc(A) * x^(8 len(B)) + crc(B), modulo the
// polynomial.
type prefixChecksums struct {
	data   []byte
	blocks []uint32 // checksums of the data before each block
}

func newPrefixChecksums(data []byte) *prefixChecksums {
	sums := &prefixChecksums{data: data, blocks: make([]uint32, 1, len(data)/checksumBlockBytes+1)}
	checksum := uint32(0)
	for end := checksumBlockBytes; end <= len(data); end += checksumBlockBytes {
		checksum = crc32.Update(checksum, checksumTable, data[end-checksumBlockBytes:end])
		sums.blocks = append(sums.blocks, checksum)
	}
	return sums
}

// checksum returns the CRC-32C of data[begin:end].
func (s *prefixChecksums) checksum(begin, end int) uint32 {
	if end-begin <= checksumBlockBytes {
		return crc32.Checksum(s.data[begin:end], checksumTable)
	}
	return s.prefix(end) ^ multiply(s.prefix(begin), powerOfX(end-begin))
}

// prefix returns the CRC-32C of data[:end].
func (s *prefixChecksums) prefix(end int) uint32 {
	block := end / checksumBlockBytes
	return crc32.Update(s.blocks[block], checksumTable, s.data[block*checksumBlockBytes:end])
}

// Lengths in bytes are split into digits, for each of which there is a table of powers.
const (
	lengthDigitBits = 9
	lengthDigits    = 3 // enough for maxPayloadBytes
)

// powersOfX holds x^(8 * digit * 2^(9 i)) modulo the polynomial of CRC-32C at i and digit.
var powersOfX = func() (powers [lengthDigits][1 << lengthDigitBits]uint32) {
	step := polynomialX
	for range 3 {
		step = multiply(step, step) // x^8
	}
	for i := range powers {
		power := polynomialOne
		for digit := range powers[i] {
			powers[i][digit] = power
			power = multiply(power, step)
		}
		step = power
	}
	return powers
}()

// powerOfX returns x^(8 * length) modulo the polynomial of CRC-32C, for a length up to maxPayloadBytes.
func powerOfX(length int) uint32 {
	power := powersOfX[0][length%(1<<lengthDigitBits)]
	for i := 1; i < lengthDigits; i++ {
		length >>= lengthDigitBits
		if digit := length % (1 << lengthDigitBits); digit != 0 {
			power = multiply(power, powersOfX[i][digit])
		}
	}
	return power
}

// multiply returns the product of two polynomials modulo the polynomial of CRC-32C.
func multiply(a, b uint32) uint32 {
	product := uint32(0)
	for ; a != 0; a <<= 1 {
		if a&polynomialOne != 0 {
			product ^= b
		}
		b = b>>1 ^ crc32.Castagnoli&-(b&1)
	}
	return product
}
