package daemon

import (
	"context"
	"log/slog"
)

// newLeveledLogger returns a logger that uses the handler of log, and a variable that sets the logger's level.
func newLeveledLogger(log *slog.Logger) (*slog.Logger, *slog.LevelVar) {
	level := new(slog.LevelVar)
	return slog.New(leveledHandler{log.Handler(), level}), level
}

// leveledHandler is a handler whose level can change at runtime.
type leveledHandler struct {
	slog.Handler
	level *slog.LevelVar
}

// Enabled uses the variable level in place of the embedded handler's own level.
func (h leveledHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= h.level.Level()
}

// WithAttrs returns a handler that shares the variable level.
func (h leveledHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return leveledHandler{h.Handler.WithAttrs(attrs), h.level}
}

// WithGroup returns a handler that shares the variable level.
func (h leveledHandler) WithGroup(name string) slog.Handler {
	return leveledHandler{h.Handler.WithGroup(name), h.level}
}
