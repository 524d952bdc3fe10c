package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"reflect"
	"strings"
	"testing"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/transport"
	"hazelwing/internal/discovery/bootstrap"
	"hazelwing/internal/testutil"
)

// objectKeys returns the keys of a JSON object, in order.
func objectKeys(t *testing.T, text []byte) (keys []string) {
	t.Helper()
	in := json.NewDecoder(strings.NewReader(string(text)))
	if _, err := in.Token(); err != nil {
		t.Fatal(err)
	}
	for in.More() {
		key, err := in.Token()
		if err != nil {
			t.Fatal(err)
		}
		keys = append(keys, key.(string))
		var value json.RawMessage
		if err := in.Decode(&value); err != nil {
			t.Fatal(err)
		}
	}
	return keys
}

// GET /config returns the member's state, with this sidecar's address of discovery and log level in the same object. A
// test of package transport has the golden file of the member's state.
func TestConfigurationStateFormatIsStable(t *testing.T) {
	member, err := transport.NewMember(transport.MemberConfig{
		Follower:       controlplane.FollowerConfig{Cluster: "f", Self: "m1"},
		Origins:        []string{testutil.UnusedAddr},
		MaxSubscribers: 4,
		Selector:       bootstrap.Config{Self: "m1", Roots: 1, FanOut: 2, ConfiguredSize: 1, RandomSeed: 1},
		Log:            slog.New(slog.DiscardHandler),
		Apply:          func(*controlplane.Snapshot) error { return nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		member.Run(ctx)
		close(ended)
	}()
	defer func() {
		stop()
		<-ended
	}()
	m := &configMember{
		member:  member,
		sidecar: &sidecar{currentDiscovery: "10.0.0.2:8500"},
		level:   new(slog.LevelVar),
	}
	state := m.state()
	testutil.CheckExplicitNames(t, "json", state)
	text, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields("held acts kept refused older conflicts broken foreign fetches crowded highest ready " +
		"not_confirmed_for upstreams got report serves discovery level")
	if got := objectKeys(t, text); !reflect.DeepEqual(got, want) {
		t.Errorf("keys of GET /config: got %q, want %q", got, want)
	}
	var local struct{ Discovery, Level string }
	if err := json.Unmarshal(text, &local); err != nil || local.Discovery != "10.0.0.2:8500" || local.Level != "INFO" {
		t.Errorf("GET /config: got %+v, error %v; want discovery 10.0.0.2:8500 and level INFO", local, err)
	}
}
