package transport

import (
	"context"
	"fmt"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
)

// originInput is an input of an origin's event loop: nodeEvent, statusRequest or frameRequest.
type originInput interface{ originInput() }

// nodeEvent carries an event for the node.
type nodeEvent struct{ event origin.Event }

// statusRequest requests the node's status.
type statusRequest struct{ response chan<- origin.Status }

// frameRequest requests the node's latest frame. The response is nil if there is none.
type frameRequest struct{ response chan<- *controlplane.Frame }

func (nodeEvent) originInput()     {}
func (statusRequest) originInput() {}
func (frameRequest) originInput()  {}

// post sends an input to the event loop. It blocks while the queue is full. Once Run has stopped, the input is
// dropped.
func (o *Origin) post(input originInput) {
	select {
	case o.inputs <- input:
	case <-o.stopped:
	}
}

// runNode is the event loop of an origin. Only its goroutine uses the node.
func (o *Origin) runNode(ctx context.Context) error {
	ticker := time.NewTicker(o.cfg.Node.TickInterval)
	defer ticker.Stop()
	if err := o.execute(o.initialActions); err != nil {
		return err
	}
	for {
		var actions []origin.Action
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			actions = o.node.Handle(o.now(), origin.Tick{})
			role := o.node.Status().Role
			o.server.setParticipating(role == origin.RoleLeader || role == origin.RoleFollower)
		case input := <-o.inputs:
			actions = o.handle(input)
		}
		if err := o.execute(actions); err != nil {
			return err
		}
	}
}

// handle responds to a request for data of the node, or passes an event to the node and returns the resulting actions.
func (o *Origin) handle(input originInput) []origin.Action {
	switch input := input.(type) {
	case statusRequest:
		input.response <- o.node.Status()
	case frameRequest:
		if frame, ok := o.node.Frame(); ok {
			input.response <- &frame
		} else {
			input.response <- nil
		}
	case nodeEvent:
		return o.node.Handle(o.now(), input.event)
	}
	return nil
}

// execute performs the actions of the node in order. It stops with an error when a write to the store fails, since the
// actions after it must not take effect before the write is durable.
func (o *Origin) execute(actions []origin.Action) error {
	for _, action := range actions {
		switch action := action.(type) {
		case origin.Persist:
			if err := origin.Write(o.cfg.Store, action); err != nil {
				return fmt.Errorf("origin: stopped because a write to the store failed: %w", err)
			}
		case origin.Send:
			o.enqueue(action)
		case origin.Publish:
			o.server.publish(action.Frame)
		case origin.Result:
			o.deliver(action)
		case origin.LogMessage:
			o.cfg.Log.Info("origin event", keyComponent, originComponent,
				keyKind, action.Kind, keyDetail, action.Text, keyCount, action.Count)
		}
	}
	return nil
}

// request passes an event to the node and returns the node's result for this ID, which the node sends within its own
// request timeout. request returns nil if the origin stops, ctx is done, another request is waiting for the same ID,
// or too many requests are waiting.
func (o *Origin) request(ctx context.Context, id string, event origin.Event) *origin.Result {
	wait := make(chan origin.Result, 1)
	o.mu.Lock()
	rejected := o.waiting[id] != nil || len(o.waiting) >= maxOriginConns
	if !rejected {
		o.waiting[id] = wait
	}
	o.mu.Unlock()
	if rejected {
		return nil
	}
	o.post(nodeEvent{event})
	select {
	case result := <-wait:
		return &result
	case <-o.stopped:
	case <-ctx.Done(): // the result is dropped when it is delivered
	}
	return nil
}

// deliver sends a result to the request that waits for it, if any.
func (o *Origin) deliver(result origin.Result) {
	o.mu.Lock()
	wait := o.waiting[result.ID]
	delete(o.waiting, result.ID)
	o.mu.Unlock()
	if wait != nil {
		wait <- result
	}
}
