// Package wire translates between the simulator's wire protocol and package balancer. It makes no decisions.
//
// The protocol is JSON with one object per line. Each input line is a batch of events. The reply to it is one output
// line with the resulting actions. A process runs many instances of the balancer; events and actions carry the number
// of their instance. Unknown verbs and fields are ignored.
package wire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"hazelwing/balancer"
)

// bufferSize is the size in bytes of the input buffer and of the output buffer.
const bufferSize = 1 << 20

var errNoEnv = errors.New("field Env is missing")

// unknownInstanceError reports an event for an instance that is not running.
type unknownInstanceError struct{ number int }

func (e *unknownInstanceError) Error() string {
	return fmt.Sprintf("instance %d is not running", e.number)
}

// host runs the instances of a process. Endpoint tables are identified by numbers and shared by the instances, so they
// must not be modified.
type host struct {
	instances map[int]*balancer.Balancer
	tables    map[int][]balancer.Endpoint
	actions   []balancer.Action // buffer reused for each event
}

// Serve reads batches from in and writes their replies to out until in ends. An error message starts with the number of
// the input line that caused it.
func Serve(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	h := &host{
		instances: map[int]*balancer.Balancer{},
		tables:    map[int][]balancer.Endpoint{},
	}
	for line := 1; ; line++ {
		text, err := readLine(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = h.serveBatch(text, writer)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
	}
}

// readLine returns the next line. The last line need not end with a newline. readLine returns io.EOF only if there is
// no more input.
func readLine(r *bufio.Reader) ([]byte, error) {
	text, err := r.ReadBytes('\n')
	if errors.Is(err, io.EOF) && len(text) > 0 {
		return text, nil
	}
	return text, err
}

// serveBatch handles the batch on one input line and writes the reply.
func (h *host) serveBatch(line []byte, w *bufio.Writer) error {
	actions, err := h.handleBatch(line)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(w).Encode(reply{Actions: actions}); err != nil {
		return fmt.Errorf("writing the reply: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("writing the reply: %w", err)
	}
	return nil
}

// handleBatch returns the actions that result from the batch on one input line. The returned slice is never nil unless
// there is an error.
func (h *host) handleBatch(line []byte) ([]action, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("cannot decode batch: %w", err)
	}
	actions := []action{}
	now := Duration(b.TimeMs)
	for i, raw := range b.Events {
		var e event
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, fmt.Errorf("cannot decode event %d: %w", i, err)
		}
		var err error
		if actions, err = h.handleEvent(now, &e, actions); err != nil {
			return nil, fmt.Errorf("event %d (%s): %w", i, e.Verb, err)
		}
	}
	return actions, nil
}

// handleEvent handles one event and appends the resulting actions to actions.
func (h *host) handleEvent(now time.Duration, e *event, actions []action) ([]action, error) {
	switch e.Verb {
	case verbEndpointTable:
		h.tables[e.Table] = endpointsFrom(e.Endpoints)
		return actions, nil
	case verbStart:
		return actions, h.start(e)
	case verbStop:
		if _, err := h.instance(e.Instance); err != nil {
			return nil, err
		}
		delete(h.instances, e.Instance)
		return actions, nil
	}
	translated := h.translate(e)
	if translated == nil {
		return actions, nil
	}
	b, err := h.instance(e.Instance)
	if err != nil {
		return nil, err
	}
	return h.decide(b, now, e.Instance, translated, actions), nil
}

// start creates an instance. It replaces an existing instance with the same number.
func (h *host) start(e *event) error {
	if e.Env == nil {
		return errNoEnv
	}
	b, err := balancer.New(e.Env.Settings(), seedFrom(e.Seed))
	if err != nil {
		return err
	}
	h.instances[e.Instance] = b
	return nil
}

func (h *host) instance(number int) (*balancer.Balancer, error) {
	b := h.instances[number]
	if b == nil {
		return nil, &unknownInstanceError{number}
	}
	return b, nil
}

// decide passes an event to an instance and appends the resulting actions to actions. If the balancer panics, decide
// appends an action that contains the panic's text instead, after the actions of earlier events.
func (h *host) decide(
	b *balancer.Balancer, now time.Duration, instance int, e balancer.Event, actions []action,
) (result []action) {
	defer func() {
		if p := recover(); p != nil {
			actions = append(actions, action{Verb: verbPanic, Instance: instance, Text: fmt.Sprint(p)})
			result = actions
		}
	}()
	h.actions = b.Handle(now, e, h.actions[:0])
	for i := range h.actions {
		actions = append(actions, encode(instance, &h.actions[i]))
	}
	return actions
}
