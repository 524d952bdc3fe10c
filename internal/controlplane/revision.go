package controlplane

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
)

// Limits of messages between members.
const (
	// MaxSnapshotSize is the maximum size of a snapshot's text, in bytes.
	MaxSnapshotSize = 256 << 10
	// MaxNameLength is the maximum length of a member's name in a Report, in bytes. Longer names are truncated.
	MaxNameLength = 128

	maxHashLength = 2 * sha256.Size
)

// Errors of Frame.Validate.
var (
	// ErrForeignFrame says that a frame belongs to another cluster.
	ErrForeignFrame = errors.New("frame belongs to another cluster")
	// ErrCorruptFrame says that a frame's size, revision or hash is invalid.
	ErrCorruptFrame = errors.New("invalid frame")
)

// Revision identifies a snapshot. The zero Revision means that there is no snapshot.
type Revision struct {
	Epoch   uint64 `json:"epoch"`   // chosen by the operator when the origins are bootstrapped
	Version uint64 `json:"version"` // number of changes that the origins accepted in the epoch, from 1
	Hash    string `json:"hash"`    // hexadecimal SHA-256 of the text; empty in a revision received by gossip
}

// Compare orders revisions by epoch, then by version. It returns -1, 0 or 1. Two revisions that compare equal and
// have different hashes are in conflict.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Version, other.Version))
}

// IsZero reports whether r means that there is no snapshot.
func (r Revision) IsZero() bool { return r.Epoch == 0 && r.Version == 0 }

// String returns EPOCH.VERSION, or "none" for the zero Revision.
func (r Revision) String() string {
	if r.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d.%d", r.Epoch, r.Version)
}

// sanitize enforces the limits on the hash of a received revision.
func (r *Revision) sanitize() {
	if len(r.Hash) > maxHashLength {
		r.Hash = r.Hash[:maxHashLength]
	}
	r.Hash = printable(r.Hash, maxHashLength)
}

// Frame is a snapshot in the form in which it is sent. It is always complete, never a difference to another snapshot.
type Frame struct {
	Cluster  string   `json:"fleet"`
	Revision Revision `json:"stamp"`
	Text     []byte   `json:"text"`
}

// Validate checks a received frame before its text is parsed. Its error wraps ErrForeignFrame if the frame belongs to
// a cluster other than the given one, else ErrCorruptFrame.
func (f *Frame) Validate(cluster string) error {
	switch {
	case f.Cluster != cluster:
		return fmt.Errorf("%w: %q, want %q", ErrForeignFrame, printable(f.Cluster, MaxNameLength), cluster)
	case len(f.Text) == 0 || len(f.Text) > MaxSnapshotSize:
		return fmt.Errorf("%w: text has %d bytes, want 1 to %d", ErrCorruptFrame, len(f.Text), MaxSnapshotSize)
	case f.Revision.Epoch == 0:
		return fmt.Errorf("%w: revision has epoch 0, want 1 or higher", ErrCorruptFrame)
	case f.Revision.Version == 0:
		return fmt.Errorf("%w: revision has version 0, want 1 or higher", ErrCorruptFrame)
	case f.Revision.Hash != HashText(f.Text):
		return fmt.Errorf("%w: hash does not match the text", ErrCorruptFrame)
	}
	return nil
}

// HashText returns the hash of a snapshot's text in the form of Revision.Hash.
func HashText(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// printable truncates text to maxLength bytes, replaces line feeds by semicolons, and replaces all other characters
// that are not printable ASCII, or that encoding/json would escape, by question marks.
func printable(text string, maxLength int) string {
	if len(text) > maxLength {
		text = text[:maxLength]
	}
	return strings.Map(func(r rune) rune {
		switch {
		case r == '\n':
			return ';'
		case r < ' ' || r > '~' || strings.ContainsRune(`<>&"\`, r):
			return '?'
		}
		return r
	}, text)
}
