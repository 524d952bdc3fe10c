package cluster

import (
	"cmp"
	"slices"
	"time"
)

// allBuckets is the mask of all buckets of a digest.
const allBuckets = ^uint64(0)

const (
	// pushPullRate limits the push-pull requests that are answered with entries, per
	// second. With a higher value, more members can join at once, and this member sends
	// more views at once.
	pushPullRate = 50.0

	// Until a message of another member arrives, a member asks seeds again after
	// minJoinBackoff. The time between attempts is multiplied by joinBackoffFactor each
	// time, up to maxJoinBackoff. With higher values, a member sends fewer messages to seeds
	// that are not up yet, and joins later.
	minJoinBackoff    = 200 * time.Millisecond
	maxJoinBackoff    = 5 * time.Second
	joinBackoffFactor = 2
	// maxJoinSeeds is the number of seeds that are asked at a time. With a higher value, a
	// member joins sooner if most seeds are down, and receives more views otherwise.
	maxJoinSeeds = 3
)

// join asks random seeds for their whole views. Core repeats this with backoff until a
// message of another member has arrived.
func (c *Core) join() {
	c.due.join = c.now + c.jitter(c.joinBackoff)
	c.joinBackoff = min(joinBackoffFactor*c.joinBackoff, maxJoinBackoff)
	seeds := slices.Clone(c.cfg.Seeds)
	c.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	asked := 0
	for _, seed := range seeds {
		if seed != c.self.Addr && asked < maxJoinSeeds {
			c.requestPushPull(seed, true)
			asked++
		}
	}
}

// requestPushPull starts a push-pull. If join is set, it requests the whole view.
func (c *Core) requestPushPull(to Address, join bool) {
	c.nextReconnectPushPull = c.now + c.cfg.ProbeInterval
	c.send(to, &Message{Kind: PushPullRequest, Digest: slices.Clone(c.digestWithSelf()), Join: join})
}

// pushPullWithRandomPeer compares views with a random live member, if there is one.
func (c *Core) pushPullWithRandomPeer() {
	if peers := c.randomLivePeers(1, nil); len(peers) > 0 {
		c.requestPushPull(peers[0].Addr, false)
	}
}

// pushPullAfterReconnect compares views with a peer that this member considered dead and
// that is alive again, because other members of the peer's partition may be alive again
// too. It does nothing within ProbeInterval after the latest push-pull request.
func (c *Core) pushPullAfterReconnect(p *peer) {
	if c.now >= c.nextReconnectPushPull {
		c.requestPushPull(p.Addr, false)
	}
}

// receivePushPullRequest answers with the notices and the entries of the buckets that
// differ, or of all buckets if the sender joins.
//
// On average, at most pushPullRate requests per second are answered with entries. After a
// pause, up to pushPullRate requests are answered in a burst. Answers that only confirm
// equal views are not limited. The limit prevents many members that join at once, or that
// repeat their requests, from overloading this member: its own probes and its answers would
// be late, and other members would suspect it.
func (c *Core) receivePushPullRequest(msg *Message) {
	if len(msg.Digest) != numBuckets {
		c.stats.Rejected++
		return
	}
	mask := c.differingBuckets(msg.Digest)
	if msg.Join {
		mask = allBuckets
	}
	if mask == 0 {
		c.send(msg.From.Addr, &Message{Kind: PushPullResponse})
		return
	}
	if c.pushPullTokens < 1 {
		c.stats.PushPullsThrottled++
		return
	}
	c.pushPullTokens--
	c.sendStream(msg.From.Addr, &Message{
		Kind:       PushPullResponse,
		BucketMask: mask,
		Entries:    c.entriesInBuckets(mask),
		Notices:    c.currentNotices(),
	})
}

// receivePushPullResponse sends this member's entries of the buckets that differ. The
// entries of the response have been merged already.
func (c *Core) receivePushPullResponse(msg *Message) {
	if msg.BucketMask == 0 {
		return
	}
	c.sendStream(msg.From.Addr, &Message{
		Kind:    PushPullFinal,
		Entries: c.entriesInBuckets(msg.BucketMask),
		Notices: c.currentNotices(),
	})
}

// entriesInBuckets returns the entries of the peers in the buckets of mask, sorted by
// name. Entries of peers that are dead or have left are included.
func (c *Core) entriesInBuckets(mask uint64) (entries []Entry) {
	for _, p := range c.peers {
		if mask&(1<<bucketOf(p.Name)) != 0 {
			entries = append(entries, c.entryOf(p))
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return entries
}
