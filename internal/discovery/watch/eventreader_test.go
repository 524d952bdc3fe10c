package watch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// noSilence returns the silence of a call that is not abandoned in the time of a test.
func noSilence() *silence { return newSilence(time.Hour, time.NewTimer(time.Hour)) }

// readParts reads one event that arrives in the given parts. It returns the event and the entries that were passed on
// before it was complete.
func readParts(parts ...string) (streamEvent, []engine.EndpointUpdate) {
	var partial []engine.EndpointUpdate
	var readers []io.Reader
	for _, part := range parts {
		readers = append(readers, strings.NewReader(part))
	}
	reader := newEventReader(io.MultiReader(readers...), slog.New(slog.DiscardHandler), noSilence(),
		func(update engine.EndpointUpdate) { partial = append(partial, update) })
	return reader.next(), partial
}

// Entries were lost, duplicated or decoded wrongly where an event arrives in parts. However it is divided, its entries
// must be those of the undivided event, and the entries passed on before must be its first ones.
func TestEventInPartsEqualsWholeEvent(t *testing.T) {
	event := `{"seq":43,"whole":true,"hosts":[{"host":"a]}","dial":"x","born_ms":1.5,"health":"SERVING"},` +
		`{"host":"b\"},{","health":"DRAINING"},{"host":"c","more":[{"host":"no"}],"health":"DELETED"}]}`
	for _, text := range []string{
		event,
		indented(t, event),
		`{"hosts":[{"host":"a","health":"SERVING"},{"host":"b","health":"DELETED"}],"whole":false,"seq":44}`,
		`{"more":[{"host":"no"},{"host":"no"}],"o":{"p":{}},"hosts":[{"host":"a","health":"SERVING"}],"seq":45}`,
		`{"hosts":[],"seq":46,"more":[{"host":"no"}]}`,
		`{"Hosts":[{"host":"a","health":"SERVING"}],"seq":47}`,
	} {
		whole, partial := readParts(text)
		if whole.err != nil || len(partial) > 0 {
			t.Fatalf("undivided event %s: error %v, %d partial updates, want none", text, whole.err, len(partial))
		}
		for i := range text {
			for j := i; j < len(text); j += 7 {
				checkParts(t, whole.update, text[:i], text[i:j], text[j:])
			}
		}
		got, _ := readParts(strings.Split(text, "")...)
		if got.err != nil || !sameEvent(got.update, whole.update) {
			t.Errorf("%s byte by byte: got %+v, want %+v", text, got, whole.update)
		}
	}
}

// indented returns an event in the form of a service that indents its lists, with white space before colons too.
func indented(t *testing.T, event string) string {
	t.Helper()
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(event), "\r", "\t"); err != nil {
		t.Fatal(err)
	}
	return strings.ReplaceAll(text.String(), `"hosts": `, "\"hosts\" \n: ")
}

func sameEvent(a, b *engine.EndpointUpdate) bool {
	sameEndpoints := len(a.Endpoints) == 0 && len(b.Endpoints) == 0 || reflect.DeepEqual(a.Endpoints, b.Endpoints)
	return a.Kind == b.Kind && a.Version == b.Version && sameEndpoints
}

func checkParts(t *testing.T, want *engine.EndpointUpdate, parts ...string) {
	t.Helper()
	got, partial := readParts(parts...)
	if got.err != nil || !sameEvent(got.update, want) {
		t.Fatalf("event in parts %q: got %+v, want %+v", parts, got, want)
	}
	early := 0
	for _, update := range partial {
		if !update.Partial || update.Version != 0 && update.Version != want.Version {
			t.Fatalf("event in parts %q: partial update %+v, want Partial and version 0 or %d",
				parts, update, want.Version)
		}
		if !reflect.DeepEqual(update.Endpoints, want.Endpoints[early:early+len(update.Endpoints)]) {
			t.Fatalf("event in parts %q: partial entries %+v, want those from %d on", parts, update.Endpoints, early)
		}
		early += len(update.Endpoints)
	}
}

// Drains that had arrived were ignored if the rest of the event never came. They must be passed on when the connection
// is reset, and when an entry after them cannot be decoded.
func TestEntriesBeforeAFaultArePassedOn(t *testing.T) {
	const drained = `{"seq":43,"whole":false,"hosts":[{"host":"a","health":"DRAINING"},`
	errReset := errors.New("reset")
	for name, rest := range map[string]io.Reader{
		"reset":       iotest.ErrReader(errReset),
		"wrong entry": strings.NewReader(`{"host":"b","born_ms":"yesterday"},{`),
		"end":         strings.NewReader(""),
	} {
		var partial []engine.EndpointUpdate
		body := io.MultiReader(strings.NewReader(drained), rest)
		reader := newEventReader(body, slog.New(slog.DiscardHandler), noSilence(),
			func(update engine.EndpointUpdate) { partial = append(partial, update) })
		event := reader.next()
		if event.err == nil {
			t.Errorf("%s: no error, want one", name)
		}
		if len(partial) != 1 || partial[0].Version != 43 || partial[0].Endpoints[0].State != balancer.Draining {
			t.Errorf("%s: passed on %+v, want the drain of a with version 43", name, partial)
		}
	}
}

// A watch and the requests for the complete list beside it must deliver the entries of a response that never ends.
func TestWatchDeliversEntriesBeforeTheEnd(t *testing.T) {
	for _, inList := range []bool{false, true} {
		updates := startWatchFrom(t, engine.UnknownVersion, testutil.WaitTimeout,
			func(w http.ResponseWriter, r *http.Request) {
				if isListRequest(r) != inList {
					send(w, "\n")
				} else {
					send(w, `{"seq":50,"whole":true,"hosts":[{"host":"a","health":"DRAINING"},{"host":"b",`)
				}
				hang(r)
			})
		for {
			update := testutil.Receive(t, updates, fmt.Sprintf("the entry (in the complete list: %v)", inList))
			if update.Partial {
				if len(update.Endpoints) != 1 || update.Endpoints[0].ID != "a" {
					t.Errorf("in the complete list: %v: delivered %+v, want the drain of a", inList, update)
				}
				break
			}
		}
	}
}

// An event that arrives in parts and has its list twice ended the process, or lost an entry. It must be malformed.
func TestSecondListInPartsIsMalformed(t *testing.T) {
	const begin = `{"seq":43,"whole":true,"hosts":[{"host":"a","health":"SERVING"},`
	for _, second := range []string{`[]`, `null`, `[{"host":"c","health":"SERVING"}]`} {
		event, partial := readParts(begin, `{"host":"b","health":"SERVING"}],"Hosts":`+second+`}`)
		if !errors.Is(event.err, errMalformedEvent) || len(partial) != 1 {
			t.Errorf("second list %s: got %+v and %d partial updates, want errMalformedEvent and 1",
				second, event, len(partial))
		}
	}
}
