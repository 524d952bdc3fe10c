package origin

import "fmt"

// raftLogger discards raft's log messages, since LogMessage covers the relevant events. Raft also reports its fatal
// errors through the logger; these panic.
type raftLogger struct{}

func (raftLogger) Debug(...any)                      {}
func (raftLogger) Debugf(string, ...any)             {}
func (raftLogger) Error(...any)                      {}
func (raftLogger) Errorf(string, ...any)             {}
func (raftLogger) Info(...any)                       {}
func (raftLogger) Infof(string, ...any)              {}
func (raftLogger) Warning(...any)                    {}
func (raftLogger) Warningf(string, ...any)           {}
func (raftLogger) Fatal(v ...any)                    { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
func (raftLogger) Panic(v ...any)                    { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
