package watch

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
)

// eventReader reads the events of a response. It decodes the entries of an event as they arrive, and passes them on
// before the event is complete. This prevents a drain from taking effect only when the last byte of a large list has
// arrived, or not at all if the connection is reset before that.
type eventReader struct {
	objects *objectReader
	log     *slog.Logger
	silence *silence // of the call
	// onPartial receives the entries that have arrived of an event which is not complete. Its updates have the fields
	// Partial, Version and ArrivedAt set; Version is 0 if the version comes after the list.
	onPartial func(engine.EndpointUpdate)

	endpoints []engine.Endpoint // entries of the present event that were passed to onPartial
}

func newEventReader(
	body io.Reader, log *slog.Logger, silence *silence, onPartial func(engine.EndpointUpdate),
) *eventReader {
	r := &eventReader{objects: newObjectReader(body), log: log, silence: silence, onPartial: onPartial}
	r.objects.onBegin = silence.eventBegan
	r.objects.onEntries = r.decodePart
	return r
}

// next reads the next event or empty line.
func (r *eventReader) next() streamEvent {
	r.endpoints = nil
	text, err := r.objects.next()
	if text == nil || err != nil {
		return streamEvent{err: err}
	}
	update, err := r.decode(text)
	if err != nil {
		return streamEvent{err: fmt.Errorf("%w: %w", errMalformedEvent, err)}
	}
	return streamEvent{update: &update}
}

// decodePart decodes entries of an event that is not complete. header is an event without these entries.
func (r *eventReader) decodePart(entries, header []byte) error {
	var part Event
	if err := json.Unmarshal(header, &part); err != nil {
		return fmt.Errorf("%w: %w", errMalformedEvent, err)
	}
	if err := json.Unmarshal(entries, &part.Endpoints); err != nil {
		return fmt.Errorf("%w: %w", errMalformedEvent, err)
	}
	endpoints := r.toEndpoints(&part)
	r.endpoints = append(r.endpoints, endpoints...)
	r.silence.entriesArrived()
	r.onPartial(engine.EndpointUpdate{
		Kind:      balancer.OutOfBand,
		Partial:   true,
		Version:   part.Version,
		Endpoints: endpoints,
		ArrivedAt: r.objects.beganAt,
	})
	return nil
}

// decode decodes an event from JSON and converts it to an update for the engine. Entries that were passed to onPartial
// are missing from text.
func (r *eventReader) decode(text []byte) (engine.EndpointUpdate, error) {
	var event Event
	if err := json.Unmarshal(text, &event); err != nil {
		return engine.EndpointUpdate{}, err
	}
	if len(r.endpoints) > 0 {
		if len(event.Endpoints) == 0 || event.Endpoints[0] != (Endpoint{}) {
			return engine.EndpointUpdate{}, errSecondList
		}
		event.Endpoints = event.Endpoints[1:] // takenEntries
	}
	update := engine.EndpointUpdate{
		Kind:      balancer.Delta,
		Version:   event.Version,
		Endpoints: append(r.endpoints, r.toEndpoints(&event)...),
		ArrivedAt: r.objects.beganAt,
	}
	if event.Complete {
		update.Kind = balancer.CompleteList
	}
	return update, nil
}

// toEndpoints converts the entries of an event, and logs those with unknown health.
func (r *eventReader) toEndpoints(event *Event) []engine.Endpoint {
	endpoints, err := event.ToEndpoints()
	if err != nil {
		r.log.Warn("endpoint with unknown health counts as draining", "error", err)
	}
	return endpoints
}

// streamEvent is an event of a watch, an empty line, or the error that ended the watch.
type streamEvent struct {
	update *engine.EndpointUpdate // nil for an empty line, which shows that the watch is alive
	err    error                  // wraps errMalformedEvent if data of the watch could not be read
}
