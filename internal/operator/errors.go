package operator

import (
	"fmt"
	"strings"
)

// FileError reports all errors of a file.
type FileError struct {
	// Path is the name of the file, as it was passed to Load or LoadOrigin.
	Path string
	// Errs has at least one error, in the order of the checks. Each text begins with a line and a column.
	Errs []error
}

// Error returns one line for each error, with the file, the line, the column and, if it is known, the key.
func (e *FileError) Error() string {
	lines := make([]string, 0, len(e.Errs))
	for _, err := range e.Errs {
		lines = append(lines, fmt.Sprintf("%s:%v", e.Path, err))
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes each error available to errors.Is and errors.As.
func (e *FileError) Unwrap() []error {
	return e.Errs
}
