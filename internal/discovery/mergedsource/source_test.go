package mergedsource

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/discovery"
	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// fakePlatform is a discovery service of the platform whose updates the test sends.
type fakePlatform struct{ watches chan *fakeWatch }

// fakeWatch is a call of fakePlatform.Watch.
type fakeWatch struct {
	version int64
	notify  func(engine.EndpointUpdate)
	stopped atomic.Bool
}

func newFakePlatform() *fakePlatform { return &fakePlatform{make(chan *fakeWatch, 10)} }

func (p *fakePlatform) Watch(version int64, _ time.Duration, notify func(engine.EndpointUpdate)) context.CancelFunc {
	watch := &fakeWatch{version: version, notify: notify}
	p.watches <- watch
	return func() { watch.stopped.Store(true) }
}

// harness runs a Source with a fake platform and one additional source, and collects the updates that it sends.
type harness struct {
	*Source
	t        *testing.T
	platform *fakePlatform
	watch    *fakeWatch
	srv      chan srvEvent
	updates  chan engine.EndpointUpdate
}

// srvEvent is an update of the additional source, or its failure if err is set.
type srvEvent struct {
	update discovery.Update
	err    error
}

// nowMS is the present time according to Config.Now, in Unix milliseconds.
const nowMS = 1_700_000_000_000

// start runs a Source whose cached list has the given endpoints, and watches it.
func start(t *testing.T, additionInterval time.Duration, cached ...string) *harness {
	t.Helper()
	h := &harness{
		t:        t,
		platform: newFakePlatform(),
		srv:      make(chan srvEvent),
		updates:  make(chan engine.EndpointUpdate, 100),
	}
	s, err := New(Config{
		Platform: h.platform,
		Additional: []AdditionalSource{{
			SourceConfig: discovery.SourceConfig{Name: "srv", Rank: 1, StaleTTL: time.Hour},
			Run:          h.runSRV,
		}},
		CachedList:       endpoints(cached...),
		MaxEndpoints:     100,
		AdditionInterval: additionInterval,
		TombstoneTTL:     time.Hour,
		MaxRemovalShare:  0.5,
		RemovalWindow:    time.Minute,
		Now:              func() time.Time { return time.UnixMilli(nowMS) },
		Log:              slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	h.Source = s
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan bool)
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); testutil.Receive(t, done, "the end of Run") })
	s.Watch(7, 0, func(update engine.EndpointUpdate) { h.updates <- update })
	h.watch = testutil.Receive(t, h.platform.watches, "the watch of the platform")
	return h
}

// runSRV runs the additional source, which passes on the events that the test sends to h.srv.
func (h *harness) runSRV(ctx context.Context, update func(discovery.Update), failed func(error)) {
	for seq := int64(1); ; seq++ {
		select {
		case e := <-h.srv:
			if e.err != nil {
				failed(e.err)
				continue
			}
			e.update.Seq = seq
			update(e.update)
		case <-ctx.Done():
			return
		}
	}
}

// endpoints returns one endpoint for each name: "a" is the active endpoint a with the address x:a, "-a" is the same
// endpoint draining.
func endpoints(names ...string) []engine.Endpoint {
	var list []engine.Endpoint
	for _, name := range names {
		e := engine.Endpoint{ID: strings.TrimPrefix(name, "-"), Zone: "z"}
		e.Addr = "x:" + e.ID
		if e.ID != name {
			e.State = balancer.Draining
		}
		list = append(list, e)
	}
	return list
}

// sendAddrs sends an update of the additional source that lists the addresses of the named endpoints.
func (h *harness) sendAddrs(names ...string) {
	update := discovery.Update{Complete: true}
	for _, name := range names {
		update.Endpoints = append(update.Endpoints, discovery.Endpoint{Addr: "x:" + name})
	}
	h.srv <- srvEvent{update: update}
}

// sendPlatformUpdate sends an update of the platform's discovery service.
func (h *harness) sendPlatformUpdate(kind balancer.UpdateKind, version int64, names ...string) {
	h.watch.notify(engine.EndpointUpdate{Kind: kind, Version: version, Endpoints: endpoints(names...)})
}

// wantUpdate receives an update, and fails the test unless text describes it. The form of text is
// "KIND VERSION: ID ...", in which a minus sign before an ID means that the endpoint is draining or removed.
func (h *harness) wantUpdate(text string) engine.EndpointUpdate {
	h.t.Helper()
	update := testutil.Receive(h.t, h.updates, "the update "+text)
	kinds := map[balancer.UpdateKind]string{
		balancer.Delta:       "delta",
		balancer.OutOfBand:   "out-of-band",
		balancer.WatchFailed: "failed",
	}
	got := fmt.Sprintf("%s %d:", kinds[update.Kind], update.Version)
	for _, e := range update.Endpoints {
		sign := " "
		if e.State != balancer.Active {
			sign = " -"
		}
		got += sign + e.ID
	}
	if got != text {
		h.t.Fatalf("received the update %q, want %q", got, text)
	}
	return update
}

// The platform reports an endpoint as draining while the name service still lists it. The endpoint must be removed at
// once, and later answers of the name service must not restore it: it would receive requests.
func TestRemovalWins(t *testing.T) {
	h := start(t, 0, "a", "b", "c")
	h.sendPlatformUpdate(balancer.Delta, 8)
	h.wantUpdate("delta 8:")
	h.sendAddrs("a", "b", "c")
	h.sendPlatformUpdate(balancer.Delta, 9, "-b")
	h.wantUpdate("delta 9: -b")
	h.sendAddrs("b", "a", "c")
	h.sendAddrs("a", "b", "c", "d")
	h.wantUpdate("out-of-band 0: addr x:d")
}

// Most of the cached endpoints are missing from a complete list of the platform. All of them must be removed at once,
// unlike endpoints that a name service stops listing: if the removal were deferred, requests would go to processes
// that no longer exist.
func TestCompleteListOfPlatform(t *testing.T) {
	h := start(t, 0, "a", "b", "c", "d")
	h.sendPlatformUpdate(balancer.CompleteList, 12, "d", "e")
	h.wantUpdate("delta 12: -a -b -c e")
	h.sendPlatformUpdate(balancer.CompleteList, 13)
	h.wantUpdate("delta 13: -d -e")
}

// An endpoint that only the name service lists, and did not list in its first update, may have just started. It must
// count as started now: if it were treated as warm, it would be overloaded.
func TestNewAddressCountsAsStartedNow(t *testing.T) {
	h := start(t, 0)
	h.sendAddrs("a")
	if update := h.wantUpdate("out-of-band 0: addr x:a"); update.Endpoints[0].StartedAtMS != 0 {
		t.Errorf("an endpoint of the first update has the start time %v, want 0", update.Endpoints[0].StartedAtMS)
	}
	h.sendAddrs("a", "b")
	if update := h.wantUpdate("out-of-band 0: addr x:b"); update.Endpoints[0].StartedAtMS != nowMS {
		t.Errorf("a new endpoint has the start time %v, want %d", update.Endpoints[0].StartedAtMS, nowMS)
	}
	h.sendPlatformUpdate(balancer.CompleteList, 3, "b") // replaces the ID that was made from the address
	if update := h.wantUpdate("delta 3: -addr x:b b"); update.Endpoints[1].StartedAtMS != 0 {
		t.Errorf("an endpoint of the platform has the start time %v, want 0", update.Endpoints[1].StartedAtMS)
	}
}

// The watch of the platform fails. The engine must be notified of the failure, or it would not watch again, and must
// receive the changes of the additional source in the meantime. A new watch uses the platform that was set last and
// starts from the version that the engine requests. After a watch is stopped, no update is delivered, and the
// additional source keeps running.
func TestPlatformFails(t *testing.T) {
	h := start(t, 0, "a")
	h.sendPlatformUpdate(balancer.Delta, 8)
	h.wantUpdate("delta 8:")
	h.watch.notify(engine.EndpointUpdate{Kind: balancer.WatchFailed, Version: 8, Err: errors.New("503")})
	h.wantUpdate("failed 8:")
	h.sendAddrs("a", "b")
	h.wantUpdate("out-of-band 0: addr x:b")
	h.srv <- srvEvent{err: errors.New("time-out")}
	other := newFakePlatform()
	h.SetPlatform(other)
	stop := h.Watch(engine.UnknownVersion, 0, func(update engine.EndpointUpdate) { h.updates <- update })
	h.watch = testutil.Receive(t, other.watches, "the watch of the new platform")
	if h.watch.version != engine.UnknownVersion {
		t.Errorf("the new watch starts from version %d, want %d", h.watch.version, engine.UnknownVersion)
	}
	h.sendPlatformUpdate(balancer.Delta, 2, "-a")
	h.wantUpdate("delta 2: -a")
	stop()
	testutil.Until(t, "the end of the watch", h.watch.stopped.Load)
	h.sendPlatformUpdate(balancer.Delta, 3, "f")
	h.sendAddrs("g")
	select {
	case update := <-h.updates:
		t.Errorf("received the update %+v after the watch was stopped, want none", update)
	case <-time.After(10 * time.Millisecond):
	}
}

// The engine is notified of additions at most once per addition interval, and of removals at once.
func TestAdditionInterval(t *testing.T) {
	h := start(t, time.Hour, "a", "b")
	h.sendAddrs("a", "c")
	h.sendPlatformUpdate(balancer.Delta, 8, "-b")
	h.wantUpdate("delta 8: -b")
	select {
	case update := <-h.updates:
		t.Errorf("received the update %+v within the addition interval, want none", update)
	case <-time.After(10 * time.Millisecond):
	}
	h = start(t, 20*time.Millisecond, "a")
	h.sendAddrs("a", "c")
	h.wantUpdate("out-of-band 0: addr x:c") // arrives after the interval without another event
}

// New rejects an invalid configuration with an error that names the invalid setting.
func TestNewRejectsInvalidConfig(t *testing.T) {
	valid := Config{MaxEndpoints: 1, TombstoneTTL: 1, MaxRemovalShare: 1, RemovalWindow: 1}
	reservedName := valid
	reservedName.Additional = []AdditionalSource{{SourceConfig: discovery.SourceConfig{Name: PlatformSourceName}}}
	noShare := valid
	noShare.MaxRemovalShare = 0
	for want, cfg := range map[string]Config{
		`the name "list" of an additional source is reserved`: reservedName,
		"MaxRemovalShare is 0, want above 0 and at most 1":    noShare,
	} {
		if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("New returned the error %v, want one with %q", err, want)
		}
	}
	if _, err := New(valid); err != nil {
		t.Errorf("New rejected a valid configuration: %v", err)
	}
}

// The drain of an endpoint must take effect before its update is complete, also if the lists are merged. The drain of a
// former process, and an endpoint that is not listed, must not.
func TestPartialUpdateOfPlatform(t *testing.T) {
	h := start(t, 0, "a", "b")
	running := endpoints("a")[0]
	running.StartedAtMS = 1000
	h.watch.notify(engine.EndpointUpdate{Kind: balancer.Delta, Version: 2, Endpoints: []engine.Endpoint{running}})
	testutil.Receive(t, h.updates, "the restart of a")
	former, drained, unknown := running, running, running
	former.State, former.StartedAtMS = balancer.Draining, 500
	drained.State = balancer.Draining
	unknown.ID = "x"
	h.watch.notify(engine.EndpointUpdate{
		Kind: balancer.OutOfBand, Partial: true, Endpoints: []engine.Endpoint{former, unknown},
	})
	h.watch.notify(engine.EndpointUpdate{
		Kind: balancer.OutOfBand, Partial: true, Endpoints: []engine.Endpoint{drained},
	})
	update := testutil.Receive(t, h.updates, "the drain")
	if update.Kind != balancer.OutOfBand || len(update.Endpoints) != 1 || update.Endpoints[0].ID != "a" ||
		update.Endpoints[0].State == balancer.Active {
		t.Errorf("the engine received %+v, want only that a is draining", update)
	}
}

// A drain that the platform's watch delivered while it was being replaced was dropped: the next watch may report it
// only seconds later. It must take effect. An endpoint that the replaced watch adds, and its failure, must not.
func TestDrainOfReplacedWatchTakesEffect(t *testing.T) {
	h := start(t, 0, "a", "b")
	replaced := h.watch
	h.Watch(8, 0, func(update engine.EndpointUpdate) { h.updates <- update })
	h.watch = testutil.Receive(t, h.platform.watches, "the next watch of the platform")
	replaced.notify(engine.EndpointUpdate{Kind: balancer.Delta, Version: 9, Endpoints: endpoints("-a", "x")})
	replaced.notify(engine.EndpointUpdate{Kind: balancer.WatchFailed, Version: 9})
	h.sendPlatformUpdate(balancer.Delta, 10, "c")
	drain := testutil.Receive(t, h.updates, "the drain")
	if drain.Kind != balancer.OutOfBand || len(drain.Endpoints) != 1 || drain.Endpoints[0].ID != "a" ||
		drain.Endpoints[0].State == balancer.Active {
		t.Errorf("the engine received %+v, want only that a is draining", drain)
	}
	next := testutil.Receive(t, h.updates, "the update of the next watch")
	if next.Kind != balancer.Delta || len(next.Endpoints) != 1 || next.Endpoints[0].ID != "c" {
		t.Errorf("the engine received %+v, want the new endpoint c", next)
	}
}

// Guards against the loss of a drain while discovery moves: the former service still answers, and the new one has not
// yet. The watch of the former must stay open until its caller stops it.
func TestFormerWatchStaysOpenUntilItIsStopped(t *testing.T) {
	h := start(t, 0, "a", "b")
	former := h.watch
	moved := newFakePlatform()
	h.SetPlatform(moved)
	stop := h.Watch(engine.UnknownVersion, 0, func(update engine.EndpointUpdate) { h.updates <- update })
	current := testutil.Receive(t, moved.watches, "the watch of the new service")
	if former.stopped.Load() {
		t.Fatal("the watch of the former service was stopped before its caller had stopped it")
	}
	former.notify(engine.EndpointUpdate{Kind: balancer.Delta, Version: 8, Endpoints: endpoints("-a")})
	update := testutil.Receive(t, h.updates, "the drain")
	if len(update.Endpoints) != 1 || update.Endpoints[0].ID != "a" || update.Endpoints[0].State == balancer.Active {
		t.Errorf("update %+v, want the drain of a", update)
	}
	stop()
	testutil.Until(t, "the end of the new watch", current.stopped.Load)
}

// Guards against a change that the merger has taken over and that never reaches the engine: it comes after the engine
// has stopped its watch, and before it begins another one.
func TestChangeBetweenTwoWatchesIsDelivered(t *testing.T) {
	h := start(t, 0, "a")
	stop := h.Watch(7, 0, func(engine.EndpointUpdate) { t.Error("notified after the watch was stopped") })
	testutil.Receive(t, h.platform.watches, "the second watch")
	stop()
	h.srv <- srvEvent{update: discovery.Update{Complete: true, Endpoints: []discovery.Endpoint{{Addr: "x:new"}}}}
	testutil.Until(t, "the merger to list the new address", func() bool {
		return slices.ContainsFunc(h.Status(), func(e discovery.EndpointStatus) bool {
			return e.Listed && e.Addr == "x:new"
		})
	})
	h.Watch(7, 0, func(update engine.EndpointUpdate) { h.updates <- update })
	update := testutil.Receive(t, h.updates, "the change between the watches")
	if update.Kind != balancer.OutOfBand || len(update.Endpoints) != 1 || update.Endpoints[0].Addr != "x:new" {
		t.Errorf("update %+v, want the new address, out of band", update)
	}
}
