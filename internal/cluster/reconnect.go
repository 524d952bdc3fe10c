package cluster

import "slices"

const (
	// maxRemovedAddresses limits the remembered addresses of removed members, which are
	// still probed. With a higher value, more members are found again after a partition
	// that lasted longer than DeadMemberTTL, and more memory is used.
	maxRemovedAddresses = 256
	// reconnectAttempts is the number of times per ReconnectInterval that all members
	// together probe each dead address. A higher value merges the halves of a partitioned
	// cluster sooner, and sends more messages to members that no longer exist.
	reconnectAttempts = 3
)

// rememberAddress remembers the address of a removed dead member, so that reconnect still
// probes it. If there are maxRemovedAddresses already, the oldest one is dropped.
func (c *Core) rememberAddress(addr Address) {
	if slices.Contains(c.removedAddresses, addr) {
		return
	}
	if len(c.removedAddresses) >= maxRemovedAddresses {
		c.removedAddresses = c.removedAddresses[1:]
	}
	c.removedAddresses = append(c.removedAddresses, addr)
}

// reconnect probes one random dead address. A dead address is the address of a dead
// member, or an address of a removed member or a seed that no live member has.
//
// Whether a probe is sent is random, with a probability that depends on the numbers of live
// members and of dead addresses. On average, all members together probe each dead address
// reconnectAttempts times per ReconnectInterval, so that the cost of a dead member does not
// grow with the cluster. If there are few live members and many dead addresses, each call
// probes one address.
//
// Without these probes, two halves of a cluster that have declared each other dead would
// stay separate after the network has healed, because no member would send to the other
// half.
func (c *Core) reconnect() {
	dead, addresses := c.reconnectCandidates()
	candidates := len(dead) + len(addresses)
	if candidates == 0 || c.random.Float64()*float64(c.NumLive()) >= float64(reconnectAttempts*candidates) {
		return
	}
	c.lastSeq++
	ping := &Message{Kind: Ping, Seq: c.lastSeq}
	i := c.random.IntN(candidates)
	if i >= len(dead) {
		c.send(addresses[i-len(dead)], ping)
		return
	}
	ping.Target = dead[i].Name
	ping.Entries = []Entry{c.entryOf(dead[i])}
	c.send(dead[i].Addr, ping)
}

// reconnectCandidates returns the dead peers sorted by name, and the addresses of removed
// members and seeds that no live member has. It also removes from removedAddresses the
// addresses that a live member has.
func (c *Core) reconnectCandidates() (dead []*peer, addresses []Address) {
	isUnused := map[Address]bool{} // for each address of a removed member or seed: whether no live member has it
	for _, addr := range append(slices.Clone(c.removedAddresses), c.cfg.Seeds...) {
		isUnused[addr] = addr != c.self.Addr
	}
	for _, p := range c.peers {
		switch {
		case p.State == Dead:
			dead = append(dead, p)
		case p.liveIndex != notLive && isUnused[p.Addr]:
			isUnused[p.Addr] = false
		}
	}
	slices.SortFunc(dead, comparePeerNames)
	c.removedAddresses = slices.DeleteFunc(c.removedAddresses, func(addr Address) bool { return !isUnused[addr] })
	addresses = slices.Clone(c.removedAddresses)
	for _, seed := range c.cfg.Seeds {
		if isUnused[seed] && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return dead, addresses
}

// removeExpiredPeers removes the peers that died or left more than DeadMemberTTL ago.
func (c *Core) removeExpiredPeers() {
	var expired []*peer
	for _, p := range c.peers {
		if p.State >= Dead && c.now-p.departedAt >= c.cfg.DeadMemberTTL {
			expired = append(expired, p)
		}
	}
	// The peers are sorted so that a simulation with the same random seed always takes the
	// same course, including the order of the remembered addresses.
	slices.SortFunc(expired, comparePeerNames)
	for _, p := range expired {
		c.reportTransition(p, p.State, ReasonExpired)
		c.removePeer(p)
	}
}
