package daemon

import (
	"context"
	"log/slog"
)

// newLeveledLogger returns a logger with the handler of log whose level can change.
func newLeveledLogger(log *slog.Logger) (*slog.Logger, *slog.LevelVar) {
	level := new(slog.LevelVar)
	return slog.New(leveledHandler{log.Handler(), level}), level
}

// leveledHandler is a handler with a level that can change.
type leveledHandler struct {
	slog.Handler
	level *slog.LevelVar
}

// Enabled takes the place of the embedded handler's own level.
func (h leveledHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= h.level.Level()
}

// WithAttrs returns a handler with the same changing level.
func (h leveledHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return leveledHandler{h.Handler.WithAttrs(attrs), h.level}
}

// WithGroup returns a handler with the same changing level.
func (h leveledHandler) WithGroup(name string) slog.Handler {
	return leveledHandler{h.Handler.WithGroup(name), h.level}
}
