package main

import "errors"

// statusFailure is the exit status for an error that wraps no exitError.
const statusFailure = 1

// exitError is an error that determines the exit status of the program.
type exitError struct {
	err    error
	status int
}

// Error returns the text of the error without the status.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the error without the status.
func (e exitError) Unwrap() error { return e.err }

// exitStatus returns the exit status for an error of a command.
func exitStatus(err error) int {
	if exit, ok := errors.AsType[exitError](err); ok {
		return exit.status
	}
	return statusFailure
}
