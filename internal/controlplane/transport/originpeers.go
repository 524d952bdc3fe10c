package transport

import (
	"context"

	"hazelwing/internal/controlplane/origin"
)

const (
	messagePath = "/origin/message"
	// originSendQueueSize limits the messages that wait to be sent to one other origin. When the queue is full, the
	// oldest message is dropped. A higher value tolerates longer bursts, but sends more messages that are out of date.
	originSendQueueSize = 64
)

// enqueue queues a message for the goroutine that sends to its receiver. If the queue is full, enqueue drops the
// oldest message: the consensus protocol tolerates lost messages, and later ones are more useful.
func (o *Origin) enqueue(message origin.Send) {
	queue := o.outgoing[message.To]
	if queue == nil {
		return
	}
	for {
		select {
		case queue <- message.Data:
			return
		default:
		}
		select {
		case <-queue:
		default:
		}
	}
}

// sendMessages sends messages to one other origin, one at a time, until ctx is done.
func (o *Origin) sendMessages(ctx context.Context, name string, messages <-chan []byte) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-messages:
			o.sendMessage(ctx, name, data)
		}
	}
}

// sendMessage sends one message, and ignores errors: the consensus protocol tolerates lost messages, and sends again
// those that are still needed.
func (o *Origin) sendMessage(ctx context.Context, name string, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	_ = o.client.post(ctx, o.cfg.PeerAddrs[name], messagePath, data)
}
