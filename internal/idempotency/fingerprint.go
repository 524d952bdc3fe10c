package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies an operation that must run only once. It is the same for all requests of one class and tenant
// with the same idempotency key, or with the same request ID if the client sent no key. It is a prefix of a SHA-256
// hash, so that no client can construct a collision with another client's request.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a class, a tenant, and an idempotency key or request ID. Each is hashed
// with its length, so that no two triples have the same input.
func NewFingerprint(class, tenant, identity string) Fingerprint {
	var input []byte
	for _, part := range []string{class, tenant, identity} {
		input = binary.LittleEndian.AppendUint32(input, uint32(len(part)))
		input = append(input, part...)
	}
	sum := sha256.Sum256(input)
	var f Fingerprint
	copy(f[:], sum[:])
	return f
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
