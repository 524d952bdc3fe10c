package origin

import (
	"time"

	"go.etcd.io/raft/v3"

	"hazelwing/internal/controlplane"
)

// Times in ticks of Config.TickInterval.
const (
	// heartbeatTicks is the time between two heartbeats of a leader. A higher value sends fewer messages, but then
	// fewer lost heartbeats are enough to make the followers start an election.
	heartbeatTicks = 2
	// electionTicks is the minimum time without a message from the leader before an election; the maximum is one tick
	// less than twice as long. A higher value tolerates more loss and delay, but leaves the origins without a leader
	// for longer after one has failed.
	electionTicks = 10
	// minElectionRetryTicks is the minimum time from one campaign to the next; electionTicks-1 is the maximum. A higher
	// value makes colliding campaigns rarer, but elects a leader later after a collision.
	minElectionRetryTicks = 2
	// maxTicksAtOnce limits how many missed ticks one Tick event makes up for. Without the limit, an origin that was
	// suspended for a long time would campaign many times when it resumes, before it processes any message. A higher
	// value makes up for longer delays, but allows more campaigns at once.
	maxTicksAtOnce = 2 * electionTicks
	// keepaliveTicks is the time after the last message to an origin until a keepalive is sent. A higher value sends
	// fewer messages, but other origins learn this origin's write numbers later.
	keepaliveTicks = 10
	// startupTicks is how long a starting origin waits for all others; after that a majority is enough. A higher value
	// makes it more likely to hear from an origin that knows of a lost write, but delays the start while another origin
	// is down.
	startupTicks = 30
	// maxLeaderlessTicks is how long this origin may be without a leader before it rejects changes. A higher value
	// tolerates longer elections, but an operator learns later that there is no majority.
	maxLeaderlessTicks = 2 * electionTicks
	// retryTicks is the time from one attempt of a pending request to the next. A higher value sends fewer copies of a
	// change, but completes it later after a leader has failed.
	retryTicks = 10
	// minReportTicks is the minimum time between two reports to the other origins, and maxReportTicks the time after
	// which an unchanged report is sent again. Higher values send fewer messages, but the other origins learn later
	// which revisions are active on members.
	minReportTicks = 3
	maxReportTicks = 50
)

// resetElectionTimeout restarts the election timer: this origin campaigns if it gets no message from the leader for the
// drawn number of ticks. The number is random, so that two origins do not repeatedly campaign at the same time.
func (n *Node) resetElectionTimeout() {
	n.leaderSilence = 0
	n.electionTimeout = electionTicks + n.rng.IntN(electionTicks)
}

// heardLeader records a message from the leader.
func (n *Node) heardLeader() {
	n.leaderSilence = 0
	if n.electionTimeout < electionTicks { // a campaign of this origin has shortened it
		n.resetElectionTimeout()
	}
}

// handleTick counts the ticks that have passed, and does the work that has become due.
func (n *Node) handleTick(now time.Duration, actions []Action) []Action {
	elapsed := int((now - n.tickedAt) / n.cfg.TickInterval)
	n.tickedAt += time.Duration(elapsed) * n.cfg.TickInterval
	for range min(elapsed, maxTicksAtOnce) {
		n.tickOnce()
	}
	n.memberReports.Expire(now, maxMemberSilence, disconnectedRetention)
	n.peerReports.Expire(now, maxPeerReportAge, 0)
	n.retryPending()
	n.logThrottle.Flush(now, func(kind controlplane.LogKind, text string, count int) {
		actions = append(actions, LogMessage{Kind: kind, Text: text, Count: count})
	})
	return n.sendKeepalives(actions)
}

func (n *Node) tickOnce() {
	n.ticks++
	n.tryParticipate()
	for i := range n.ticksSinceSend {
		n.ticksSinceSend[i]++
	}
	if n.canStep() {
		n.tickElection()
	}
}

// tickElection passes a tick to raft on a leader, and runs the election timer on other origins. It replaces raft's own
// election timer, whose random numbers cannot be seeded. This origin campaigns after a random number of ticks, at least
// electionTicks, without a message from the leader. After a failed campaign it waits for fewer ticks.
func (n *Node) tickElection() {
	if n.raft.BasicStatus().RaftState == raft.StateLeader {
		n.raft.Tick()
		n.leaderSilence = 0
		n.leaderlessTicks = 0
		return
	}
	n.leaderSilence++
	n.leaderlessTicks++
	hasLeader := n.raft.BasicStatus().Lead != raft.None
	if hasLeader {
		n.leaderlessTicks = 0
	}
	if n.leaderSilence >= electionTicks && hasLeader {
		_ = n.raft.ForgetLeader() // an error does not matter: the campaign does not depend on it
	}
	if n.leaderSilence >= n.electionTimeout {
		// If this campaign fails, the next one follows soon. A campaign fails if the other origins do not vote yet,
		// because they have heard from the leader later than this one, or if two origins campaign at once. Because of
		// PreVote, further campaigns do not disturb a working leader.
		n.leaderSilence = 0
		n.electionTimeout = minElectionRetryTicks + n.rng.IntN(electionTicks-minElectionRetryTicks)
		_ = n.raft.Campaign() // an error does not matter: another campaign follows
	}
}

// sendKeepalives sends a message to each other origin for which keepaliveDue returns true. If a report of this origin's
// members is due, it sends a message with the report to all other origins instead.
func (n *Node) sendKeepalives(actions []Action) []Action {
	report := n.dueReport()
	for i, name := range n.names {
		if uint64(i+1) == n.id || !n.keepaliveDue(i) && report == nil {
			continue
		}
		n.ticksSinceSend[i] = 0
		actions = append(actions, Send{To: name, Data: n.encodeEnvelope(nil, report)})
	}
	return actions
}

// keepaliveDue reports whether the last message to another origin was sent so long ago that the next one is due. A
// starting origin sends more often, because other origins that start at the same time wait for its messages.
func (n *Node) keepaliveDue(peer int) bool {
	isStarting := !n.participating && n.rollbackReason == ""
	if isStarting && n.ticksSinceSend[peer] >= heartbeatTicks {
		return true
	}
	return n.ticksSinceSend[peer] >= keepaliveTicks
}

// dueReport returns the report to send to the other origins; nil if none is due.
func (n *Node) dueReport() *controlplane.Report {
	age := n.ticks - n.sentReportAt
	if age < minReportTicks {
		return nil
	}
	report := n.memberReports.Aggregate(n.revision(), nil)
	if age < maxReportTicks && report.Equal(&n.sentReport) {
		return nil
	}
	n.sentReport = report
	n.sentReportAt = n.ticks
	return &report
}
