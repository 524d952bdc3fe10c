package cluster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// numBuckets is the number of buckets into which names are divided by hash. It cannot be
// higher than 64, because a bucket mask has one bit for each bucket.
const numBuckets = 64

// Digest summarizes a view: for each bucket of names it has the XOR of the hashes of the
// live members in that bucket. A comparison of equal views takes one datagram in each
// direction. If two views differ, only the buckets that differ are exchanged. Members that
// died or left are not included, because tables drop such members at different times.
type Digest [numBuckets]uint64

// toggleInDigest adds a live peer to the digest, or removes it if it was added before. It
// does nothing for a peer that is dead or has left.
func (c *Core) toggleInDigest(p *peer) {
	if p.State < Dead {
		c.digest[bucketOf(p.Name)] ^= hashOf(p.Name, p.Incarnation)
	}
}

// digestWithSelf returns the digest including this member, unless it is leaving.
func (c *Core) digestWithSelf() []uint64 {
	digest := c.digest
	if !c.leaving {
		digest[bucketOf(c.self.Name)] ^= hashOf(c.self.Name, c.self.Incarnation)
	}
	return digest[:]
}

// differingBuckets returns the mask of the buckets in which the digest of another member
// differs from the digest of this member.
func (c *Core) differingBuckets(digest []uint64) (mask uint64) {
	for i, hash := range c.digestWithSelf() {
		if hash != digest[i] {
			mask |= 1 << i
		}
	}
	return mask
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % numBuckets) }

func hashOf(name string, i Incarnation) uint64 {
	var encoded [24]byte
	binary.LittleEndian.PutUint64(encoded[0:], i.Generation)
	binary.LittleEndian.PutUint64(encoded[8:], i.ProcessID)
	binary.LittleEndian.PutUint64(encoded[16:], i.Refutations)
	d := xxhash.New()
	_, _ = d.WriteString(name) // Writes to an xxhash.Digest never return an error.
	_, _ = d.Write(encoded[:])
	return d.Sum64()
}
