package operator

import (
	"fmt"
	"strings"
)

// FileError reports all that cannot be used in a file.
type FileError struct {
	// Path is the name of the file, as it was given.
	Path string
	// Errs are the errors in the order of the checks, at least one; each text begins with a line and a column.
	Errs []error
}

// Error returns one line for each error, with the file, the line, the column and the key.
func (e *FileError) Error() string {
	lines := make([]string, 0, len(e.Errs))
	for _, err := range e.Errs {
		lines = append(lines, fmt.Sprintf("%s:%v", e.Path, err))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors.
func (e *FileError) Unwrap() []error {
	return e.Errs
}
