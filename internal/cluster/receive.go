package cluster

// receive handles a message. It merges the sender's entry, then the other entries and the
// notices, and then responds according to the kind of the message. A member that is leaving
// does not respond. Messages of other clusters, of this process itself, and invalid messages
// are ignored.
func (c *Core) receive(msg *Message) {
	from := msg.From
	switch {
	case msg.ClusterName != c.cfg.ClusterName:
		c.stats.ForeignMessages++
		return
	case from.Name == c.self.Name && from.SameProcess(c.self.Incarnation):
		return // The member sent the message to itself, because its own address is among the seeds.
	case !c.isValidMessage(msg):
		c.stats.Rejected++
		return
	}
	if from.Name != c.self.Name { // A process with this member's name is not another member.
		c.joined = true
	}
	from.ReportedBy = ""
	from.Age = 0
	c.mergeEntry(from, true)
	c.mergeEntries(msg)
	c.mergeNotices(msg.Notices)
	if !c.leaving {
		c.respond(msg, &from)
	}
}

func (c *Core) isValidMessage(msg *Message) bool {
	return msg.Kind < numKinds && c.isValidEntry(&msg.From) &&
		(msg.From.State == Alive || msg.From.State == Left)
}

func (c *Core) isValidEntry(e *Entry) bool {
	return e.Name != "" && len(e.Name) <= MaxNameLength && len(e.ReportedBy) <= MaxNameLength &&
		e.Addr.IsValid() && e.State <= Left && e.Age >= 0 &&
		e.Generation >= 1 && e.Generation <= MaxCounter && e.Refutations <= MaxCounter &&
		(c.cfg.AllowAddress == nil || c.cfg.AllowAddress(e.Addr))
}

// mergeEntries merges at most maxEntries entries of a Gossip message, and at most MaxMembers
// entries of any message. It counts further entries as rejected.
func (c *Core) mergeEntries(msg *Message) {
	for i := range msg.Entries {
		if i >= maxEntries && msg.Kind == Gossip || i >= c.cfg.MaxMembers {
			c.stats.Rejected += len(msg.Entries) - i
			break
		}
		c.mergeEntry(msg.Entries[i], false)
	}
}

// mergeNotices merges the first maxNotices notices of a message, except notices that this
// member reported itself.
func (c *Core) mergeNotices(notices []EndpointNotice) {
	for i := range notices {
		if i >= maxNotices {
			break
		}
		if notices[i].ReportedBy != c.self.Name {
			c.mergeNotice(notices[i])
		}
	}
}

// respond handles a message according to its kind. from is the entry of its sender.
func (c *Core) respond(msg *Message, from *Entry) {
	p := c.peers[from.Name]
	switch msg.Kind {
	case Ping:
		if msg.Target == c.self.Name || msg.Target == "" {
			ack := &Message{Kind: Ack, Seq: msg.Seq, Target: c.self.Name, Entries: c.contradictions(p, from)}
			c.send(from.Addr, ack)
		}
	case Ack:
		c.receiveAck(msg)
	case Nack:
		if c.probe.active && msg.Seq == c.probe.seq {
			c.probe.nacks++
		}
	case PingReq:
		c.relayProbe(msg)
	case Gossip:
		// The sender may not know that it is suspected, and may not learn it from another member.
		if entries := c.contradictions(p, from); entries != nil {
			c.send(from.Addr, &Message{Kind: Gossip, Entries: entries})
		}
	case PushPullRequest:
		c.receivePushPullRequest(msg)
	case PushPullResponse:
		c.receivePushPullResponse(msg)
	}
}

// contradictions returns the known entry with the sender's name if it contradicts the
// sender's own entry, so that the sender can refute the known entry or take the next
// generation. Otherwise it returns nil. This prevents a member that was declared dead from
// staying dead although it answers. p is the peer with the sender's name, or nil.
func (c *Core) contradictions(p *peer, from *Entry) []Entry {
	if from.Name == c.self.Name {
		return []Entry{c.self}
	}
	if p == nil || p.State == Alive && p.SameProcess(from.Incarnation) || from.State == Left {
		return nil
	}
	return []Entry{c.entryOf(p)}
}
