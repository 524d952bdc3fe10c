package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/testutil"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 1, "first seed of TestSoakOfLargeLists")
	soakSeeds = flag.Int("soak.seeds", 1, "number of seeds of TestSoakOfLargeLists")
)

const (
	soakSteps = 7
	// soakKillTime is the time from SIGTERM to SIGKILL: the longest deadline, which counts as at most 3 s, and 0.7 s.
	soakKillTime = 3700 * time.Millisecond
	// maxStall is the longest stall of the sidecar. It leaves most of the grace period for the sidecar itself.
	maxStall     = 100 * time.Millisecond
	crowdClients = 300
	// dialPeriod is the time after SIGTERM for which the platform routes new connections to the sidecar.
	dialPeriod = 400 * time.Millisecond
	maxSignals = 3
	// pushedShare is the share of seeds whose list is pushed: one in so many.
	pushedShare = 3
)

// listSoak is a run of one seed: discovery changes the list in random ways and fails, signals arrive, the process
// stalls, servers hang, and clients send until SIGKILL.
type listSoak struct {
	t        *testing.T
	sidecar  *largeListSidecar
	rng      *rand.Rand
	watch    *scriptedWatch
	version  int
	entries  map[int]emulator.Endpoint // the list of discovery, by the server's index
	notified map[int]time.Time         // when the sidecar was notified of the drain of each server
	steps    []string                  // what happened, for the report
}

// Random faults of discovery, signals and stalls at a sidecar with a large list must not cause requests to draining
// servers, lost requests or repeated ones. For a long run: -soak.seeds 60.
func TestSoakOfLargeLists(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runListSoak(t, seed) })
	}
}

func runListSoak(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 0))
	load := largeListLoad{
		size:   []int{100, 800, largeListSize}[rng.IntN(3)],
		share:  processorShare + 0.1*float64(rng.IntN(3)),
		rate:   30 + rng.IntN(90),
		pushed: seed%pushedShare == 0,
	}
	s := &listSoak{
		t: t, rng: rng, version: 1, sidecar: startLargeListSidecar(t, load),
		entries: map[int]emulator.Endpoint{}, notified: map[int]time.Time{},
	}
	ctx, stop := context.WithCancel(t.Context())
	var crowd sync.WaitGroup
	defer crowd.Wait()
	defer stop()
	if rng.IntN(3) == 0 {
		s.record("crowd")
		flood(ctx, &crowd, s.sidecar.addr, crowdClients)
	}
	for i, e := range s.sidecar.servers.entries(load.size * 3 / 4) {
		s.entries[i] = e
	}
	s.receiveWatch()
	s.deliver(nil, true)
	for range soakSteps {
		s.heartbeats(200 + rng.IntN(700))
		s.step()
	}
	s.heartbeats(1000)
	s.terminate()
	s.check(load)
}

func (s *listSoak) record(format string, args ...any) {
	s.steps = append(s.steps, fmt.Sprintf(format, args...))
}

func (s *listSoak) milliseconds(from, to int) time.Duration {
	return time.Duration(from+s.rng.IntN(to-from)) * time.Millisecond
}

// receiveWatch waits for the latest watch.
func (s *listSoak) receiveWatch() {
	s.watch = testutil.Receive(s.t, s.sidecar.discovery.watches, "a watch")
	for {
		select {
		case s.watch = <-s.sidecar.discovery.watches:
		case <-time.After(2 * pieceInterval):
			return
		}
	}
}

// heartbeats sends empty lines for a number of milliseconds. If the watch has ended, it waits for the next one and
// sends the complete list on it.
func (s *listSoak) heartbeats(ms int) {
	for end := time.Now().Add(time.Duration(ms) * time.Millisecond); time.Now().Before(end); {
		if err := s.watch.tryWrite([]byte("\n")); err != nil {
			s.record("watch ended")
			s.reopen()
			return
		}
		time.Sleep(min(heartbeatPeriod, time.Until(end)))
	}
}

// reopen sends the complete list on new watches until it was written.
func (s *listSoak) reopen() {
	for written := false; !written; {
		s.receiveWatch()
		written = s.deliver(nil, true)
	}
}

// step makes one change of the list, with one fault.
func (s *listSoak) step() {
	if s.rng.IntN(3) == 0 {
		s.hangServers()
	}
	if s.rng.IntN(3) == 0 {
		stall := s.milliseconds(20, int(maxStall.Milliseconds()))
		s.record("stall %v", stall)
		s.sidecar.limit.stall.Store(int64(stall))
	}
	switch s.rng.IntN(4) {
	case 0:
		s.outage(s.milliseconds(300, 1500))
		s.change()
		s.reopen()
	case 1:
		signals := 1 + s.rng.IntN(maxSignals)
		s.record("SIGHUP %d times", signals)
		for range signals {
			if err := s.sidecar.process.Signal(syscall.SIGHUP); err != nil {
				s.t.Fatal(err)
			}
			time.Sleep(s.milliseconds(0, 50))
		}
		s.change()
		s.reopen()
	default:
		if !s.deliver(s.change(), s.rng.IntN(3) == 0) {
			s.reopen()
		}
	}
}

// outage resets the watch and rejects calls for d.
func (s *listSoak) outage(d time.Duration) {
	s.record("outage %v", d)
	s.sidecar.discovery.outage.Store(true)
	close(s.watch.ended)
	time.Sleep(d)
	s.sidecar.discovery.outage.Store(false)
}

// hangServers makes other servers hang.
func (s *listSoak) hangServers() {
	servers := s.sidecar.servers
	servers.mu.Lock()
	defer servers.mu.Unlock()
	clear(servers.hanging)
	for range len(servers.ids) / 30 {
		servers.hanging[s.rng.IntN(len(servers.ids))] = true
	}
}

// change makes servers drain, stop, restart and start. It returns the indexes of the changed servers.
func (s *listSoak) change() (changed []int) {
	now := time.Now()
	servers := s.sidecar.servers
	s.version++
	for i := range servers.ids {
		e, listed := s.entries[i]
		inUse := now.UnixNano()-servers.lastRequest[i].Load() < int64(time.Second)
		switch {
		case !listed && s.rng.IntN(8) == 0:
			e = servers.entry(i, "SERVING", now)
		case listed && e.Health == "DRAINING" && s.rng.IntN(2) == 0:
			e.Health = "DELETED"
		case listed && e.Health == "SERVING" && s.rng.IntN(40) == 0:
			e.StartedAtMS = float64(now.UnixMilli())
		case listed && e.Health == "SERVING" && (inUse && s.rng.IntN(4) == 0 || s.rng.IntN(20) == 0):
			e.Health = "DRAINING"
		default:
			continue
		}
		s.entries[i] = e
		changed = append(changed, i)
	}
	return changed
}

// completeList returns the indexes of the servers in a complete list, with or without those that drain.
func (s *listSoak) completeList(omitDrained bool) (servers []int) {
	for i := range s.sidecar.servers.ids {
		e, listed := s.entries[i]
		if listed && (e.Health == "SERVING" || e.Health == "DRAINING" && !omitDrained) {
			servers = append(servers, i)
		}
	}
	return servers
}

// deliver writes the changed entries, or the complete list with or without draining servers: whole, in parts, or cut
// off by a reset. It reports whether all was written, and records the notifications.
func (s *listSoak) deliver(changed []int, complete bool) (written bool) {
	omitDrained := complete && s.rng.IntN(2) == 0
	if complete {
		changed = s.completeList(omitDrained)
	}
	var list []emulator.Endpoint
	for _, i := range changed {
		list = append(list, s.entries[i])
	}
	text := listText(s.t, s.version, complete, s.rng.IntN(4) == 0, list)
	parts, interval := 1, time.Duration(0)
	if s.rng.IntN(2) == 0 {
		parts, interval = 2+s.rng.IntN(18), s.milliseconds(2, []int{60, 200}[s.rng.IntN(2)])
	}
	end := len(text)
	if s.version > 1 && s.rng.IntN(4) == 0 {
		end = s.rng.IntN(len(text))
	}
	s.record("version %d: complete %v, without draining %v, %d of %d bytes, %d parts, every %v",
		s.version, complete, omitDrained, end, len(text), parts, interval)
	written = s.writeParts(string(text[:end]), changed, parts, interval)
	if written && end < len(text) {
		s.outage(s.milliseconds(100, 900))
		return false
	}
	if written && complete {
		s.notifyAbsent(changed)
	}
	return written
}

// writeParts writes text in parts, and records the drains in each part once it is written.
func (s *listSoak) writeParts(text string, changed []int, parts int, interval time.Duration) (written bool) {
	next := 0 // index into changed of the next entry that is not complete
	for part := range parts {
		if part > 0 {
			time.Sleep(interval)
		}
		end := len(text) * (part + 1) / parts
		if err := s.watch.tryWrite([]byte(text[len(text)*part/parts : end])); err != nil {
			return false
		}
		for now := time.Now(); next < len(changed); next++ {
			// An entry ends before the next one, or with the list.
			rest := text[:end]
			begin := strings.Index(rest, s.sidecar.servers.ids[changed[next]])
			if begin < 0 || len(rest)-begin < maxEntryLength && end < len(text) {
				break
			}
			s.notify(changed[next], now, len(rest)-begin < maxEntryLength)
		}
	}
	return true
}

// notify records that the sidecar was notified of the state of a server at the given time. If uncertain is set, the
// entry may not have been written completely.
func (s *listSoak) notify(server int, at time.Time, uncertain bool) {
	if _, known := s.notified[server]; !known && !uncertain && s.entries[server].Health != "SERVING" {
		s.notified[server] = at
	}
}

// notifyAbsent records that the sidecar was notified that the servers that are not in listed are gone.
func (s *listSoak) notifyAbsent(listed []int) {
	now := time.Now()
	inList := map[int]bool{}
	for _, i := range listed {
		inList[i] = true
	}
	for i, e := range s.entries {
		if !inList[i] && e.Health != "SERVING" {
			s.notify(i, now, false)
		}
	}
}

// terminate ends the sidecar as the platform does. The clients open new connections for dialPeriod, and continue to
// send on open ones until the process is killed.
func (s *listSoak) terminate() {
	s.record("SIGTERM at %s", time.Now().UTC().Format(time.RFC3339Nano))
	s.sidecar.dialUntil.Store(time.Now().Add(dialPeriod).UnixNano())
	if err := s.sidecar.process.Signal(syscall.SIGTERM); err != nil {
		s.t.Fatal(err)
	}
	time.Sleep(soakKillTime)
	_ = s.sidecar.process.Kill() // the process has normally ended
	s.sidecar.stop()
}

func (s *listSoak) check(load largeListLoad) {
	s.t.Helper()
	servers := s.sidecar.servers
	late, latest := 0, time.Duration(0)
	for i, at := range s.notified {
		if last := servers.lastRequest[i].Load(); last > 0 {
			delay := time.Unix(0, last).Sub(at)
			latest = max(latest, delay)
			if delay > drainLimit {
				late++
			}
		}
	}
	lost, answered := s.sidecar.lost.Load(), s.sidecar.answered.Load()
	servers.mu.Lock()
	defer servers.mu.Unlock()
	s.t.Logf("%+v: %d answered, %d lost, %d repeated, %d drained, late %d, latest %v",
		load, answered, lost, len(servers.repeated), len(s.notified), late, latest)
	if late > 0 || lost > 0 || len(servers.repeated) > 0 {
		s.t.Errorf("%d draining servers got requests later than %v after the notification (the latest %v after it), "+
			"%d requests were lost, and %v ran twice; steps:\n%s\nlog:\n%s", late, drainLimit, latest, lost,
			servers.repeated, strings.Join(s.steps, "\n"), s.sidecar.log)
	}
	if answered == 0 || len(s.notified) == 0 {
		s.t.Error("no request was answered, or no server drained, so that the run shows nothing")
	}
}
