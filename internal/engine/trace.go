package engine

import (
	"context"
	"log/slog"
	"time"

	"hazelwing/balancer"
)

// resultKindTexts are the texts of the kinds of results in the log.
var resultKindTexts = [...]string{"served", "streaming", "rejected", "failed", "duplicate", "disconnected"}

// String returns the kind's text for logs.
func (k ResultKind) String() string { return resultKindTexts[k] }

// traceEnabled returns a function that reports whether log has debug lines, which may change at runtime. Methods that
// log on the path of each request call it first, so that no attributes are allocated in vain.
func traceEnabled(log *slog.Logger) func() bool {
	return func() bool { return log.Enabled(context.Background(), slog.LevelDebug) }
}

// traceUpdate logs an update of the endpoint list that was applied, with the time since the update arrived.
func (e *Engine) traceUpdate(u *EndpointUpdate, drained int) {
	if len(u.Endpoints) == 0 && u.Kind != balancer.CompleteList {
		return
	}
	attributes := []any{
		"kind", u.Kind.String(), "version", u.Version, "entries", len(u.Endpoints), "drained", drained,
		"active", len(e.activeProcesses),
	}
	if !u.ArrivedAt.IsZero() {
		attributes = append(attributes, "delay", time.Since(u.ArrivedAt).Round(time.Millisecond))
	}
	e.log.Info("endpoint list updated", attributes...)
}

func (e *Engine) traceAttempt(c *Call, a *balancer.Action) {
	if !e.tracesCalls() {
		return
	}
	purpose := "first attempt"
	switch {
	case c.outstanding > 0:
		purpose = "hedge"
	case len(c.attempts) > 0:
		purpose = "retry"
	}
	e.log.Debug("attempt started", "request", c.ID, "attempt", len(c.attempts), "purpose", purpose,
		"endpoint", a.Endpoint, "timeout", a.Timeout)
}

func (e *Engine) traceOutcome(c *Call, number int, o *Outcome) {
	if !e.tracesCalls() {
		return
	}
	e.log.Debug("attempt ended", "request", c.ID, "attempt", number, "result", o.Result.String(),
		"elapsed", o.Elapsed, "error", o.Err)
}

func (e *Engine) traceResult(c *Call, r *Result, reason balancer.Reason) {
	if !e.tracesCalls() {
		return
	}
	e.log.Debug("call ended", "request", c.ID, "class", c.Class, "result", r.Kind.String(), "reason", reason.String(),
		"attempts", len(c.attempts), "error", r.Err)
}
