package watch

import (
	"context"
	"errors"
	"fmt"
	"net"
)

var (
	// errNoData is the reason for abandoning a call whose timeout has expired. A call that had received part of an
	// event or of the complete list is abandoned for the same reason.
	errNoData = errors.New("no data received")
	// errMalformedEvent is returned for data that is not an event of a watch. The next watch starts from the complete
	// list; see listTracker.resumeVersion.
	errMalformedEvent = errors.New("malformed watch event")
	// errSecondList is returned for an event in parts that has its list of entries twice.
	errSecondList = errors.New("the event has two lists of entries")
	// errWatchEnded is the reason for the failure of a watch that the service ended between two events.
	errWatchEnded = errors.New("the service ended the watch")
	// errNotComplete is returned if the response to a request for the complete list is a delta.
	errNotComplete = errors.New("the response is not marked as a complete list")
)

// statusError is returned for a response whose status is not 200.
type statusError struct {
	status string // status of the response, such as "503 Service Unavailable"
}

func (e *statusError) Error() string {
	return "server responded with status " + e.status + ", want 200"
}

// unknownHealthError is returned for an endpoint whose health is none of the values that the discovery service defines.
type unknownHealthError struct{ id, health string }

func (e *unknownHealthError) Error() string {
	return fmt.Sprintf("endpoint %s: unknown health %q, want %s, %s or %s",
		e.id, e.health, healthServing, healthDraining, healthDeleted)
}

// causeOf returns the reason for the failure of an operation with ctx: the cause of ctx if it is done, otherwise err.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// reachedService reports whether a call that failed with err reached the service, which responded or closed the
// connection. It returns false if the dial failed or the timeout of the call expired. A service that is reached again
// after an outage is called at the fast interval again (backoff.Scheduler.CallFailed).
func reachedService(err error) bool {
	if errors.Is(err, errNoData) {
		return false
	}
	var netErr *net.OpError
	return !errors.As(err, &netErr) || netErr.Op != "dial"
}
