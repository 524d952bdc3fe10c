package cluster

import "slices"

const (
	// If more than pushPullBacklog broadcasts are queued, gossip also compares views
	// (push-pull) once in pushPullBacklogRounds gossip intervals, because sending so many
	// broadcasts in datagrams alone would take too long. This prevents the views from
	// differing for minutes after a partition of a large cluster has healed. With a higher
	// value of either constant, views are compared less often and differ for longer.
	pushPullBacklog       = 2 * maxEntries
	pushPullBacklogRounds = 3
)

// broadcast identifies an item to be gossiped: the entry of a member or the notice about
// an endpoint. Exactly one field is set. The content is looked up when the message is
// built, so that no outdated state is sent.
type broadcast struct {
	member   string
	endpoint string
}

func memberBroadcast(name string) broadcast       { return broadcast{member: name} }
func endpointBroadcast(endpoint string) broadcast { return broadcast{endpoint: endpoint} }

// broadcastQueue is the queue of broadcasts, ordered by the number of transmissions so far.
// If a broadcast is added while it is queued, its number of transmissions restarts at 0.
type broadcastQueue struct {
	levels     [][]queuedBroadcast  // indexed by the number of transmissions so far
	serials    map[broadcast]uint64 // serial of the valid element for each broadcast
	lastSerial uint64
}

type queuedBroadcast struct {
	broadcast
	serial uint64 // the element is outdated if this differs from the serial in broadcastQueue.serials
}

// transmission is a broadcast that was appended to a message.
type transmission struct {
	queuedBroadcast
	level int // number of transmissions of the broadcast before this transmission
}

func (q *broadcastQueue) len() int { return len(q.serials) }

func (q *broadcastQueue) add(b broadcast) {
	if q.serials == nil {
		q.serials = map[broadcast]uint64{}
	}
	q.lastSerial++
	q.serials[b] = q.lastSerial
	q.push(0, queuedBroadcast{b, q.lastSerial})
}

func (q *broadcastQueue) push(level int, b queuedBroadcast) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.levels[level] = append(q.levels[level], b)
}

// take calls visit with each broadcast in turn until visit returns false for more. If
// visit returns true for taken, this counts as a transmission of the broadcast, which is
// removed from the queue after maxTransmissions.
func (q *broadcastQueue) take(maxTransmissions int, visit func(broadcast) (taken, more bool)) {
	var taken []transmission
	more := true
	for level := 0; level < len(q.levels) && more; level++ {
		taken, more = q.takeLevel(level, taken, visit)
	}
	for _, t := range taken {
		if t.level+1 >= maxTransmissions {
			delete(q.serials, t.broadcast)
			continue
		}
		q.push(t.level+1, t.queuedBroadcast)
	}
	if len(q.serials) == 0 {
		q.levels = nil // drops outdated elements that may be left
	}
}

// takeLevel does the work of take for one level. It calls visit with the broadcasts of the
// level in turn until visit does not take one or returns false for more. It returns the
// slice taken with the broadcasts that visit took appended.
func (q *broadcastQueue) takeLevel(
	level int, taken []transmission, visit func(broadcast) (taken, more bool),
) (_ []transmission, more bool) {
	queued := q.levels[level]
	done := 0
	more = true
	for done < len(queued) && more {
		b := queued[done]
		if q.serials[b.broadcast] == b.serial {
			var wasTaken bool
			if wasTaken, more = visit(b.broadcast); !wasTaken {
				break
			}
			taken = append(taken, transmission{b, level})
		}
		done++
	}
	if done == len(queued) {
		q.levels[level] = queued[:0]
	} else {
		q.levels[level] = queued[done:]
	}
	return taken, more
}

// piggyback appends queued broadcasts to a message until the datagram is full or the message
// has maxEntries entries and notices.
func (c *Core) piggyback(msg *Message) {
	if c.broadcasts.len() == 0 {
		return
	}
	room := c.cfg.MaxDatagramBytes - headerBytes
	for i := range msg.Entries {
		room -= encodedEntryBytes(&msg.Entries[i])
	}
	msg.Entries = slices.Clip(msg.Entries)
	c.broadcasts.take(c.cfg.RetransmitMult*c.broadcastRounds(), func(b broadcast) (taken, more bool) {
		if len(msg.Entries)+len(msg.Notices) >= maxEntries {
			return false, false
		}
		if b.endpoint != "" {
			taken = c.appendNotice(msg, &room, b.endpoint)
		} else {
			taken = c.appendEntry(msg, &room, b.member)
		}
		return taken, taken
	})
}

// appendNotice appends the notice about an endpoint and subtracts its size from room. It
// returns false if there is not enough room. If the notice was removed, appendNotice
// returns true without appending anything.
func (c *Core) appendNotice(msg *Message, room *int, endpoint string) bool {
	n := c.notices[endpoint]
	if n == nil {
		return true
	}
	*room -= noticeBytes + len(endpoint) + len(n.ReportedBy)
	if *room < 0 {
		return false
	}
	msg.Notices = append(msg.Notices, c.currentNotice(n))
	return true
}

// appendEntry appends the entry of a member and subtracts its size from room. It returns
// false if there is not enough room. If the message already has an entry of the member,
// or the member was removed, appendEntry returns true without appending anything.
func (c *Core) appendEntry(msg *Message, room *int, name string) bool {
	if slices.ContainsFunc(msg.Entries, func(e Entry) bool { return e.Name == name }) {
		return true
	}
	e := c.self // The message's header has this entry as well.
	if name != c.self.Name {
		p := c.peers[name]
		if p == nil {
			return true
		}
		e = c.entryOf(p)
	}
	*room -= encodedEntryBytes(&e)
	if *room < 0 {
		return false
	}
	msg.Entries = append(msg.Entries, e)
	return true
}

// encodedEntryBytes returns an upper bound of an entry's encoded size.
func encodedEntryBytes(e *Entry) int { return entryBytes + len(e.Name) + len(e.ReportedBy) }

// gossip sends queued broadcasts to random live members. Suspects are included, so that
// they can refute the suspicion.
func (c *Core) gossip() {
	if c.broadcasts.len() == 0 {
		return
	}
	if c.broadcasts.len() > pushPullBacklog && c.now >= c.nextBacklogPushPull {
		c.nextBacklogPushPull = c.now + pushPullBacklogRounds*c.cfg.GossipInterval
		c.pushPullWithRandomPeer()
	}
	for _, p := range c.randomLivePeers(c.cfg.GossipFanout, nil) {
		if c.broadcasts.len() == 0 {
			return
		}
		c.send(p.Addr, &Message{Kind: Gossip})
	}
}
