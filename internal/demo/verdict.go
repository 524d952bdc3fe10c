package demo

import (
	"errors"
	"fmt"
	"io"

	"hazelwing/internal/emulator"
)

// ErrRuleBroken is returned if a rule was broken. The output lists the violations.
var ErrRuleBroken = errors.New("at least one rule was broken")

// PrintVerdict writes the violations of rules to out and returns ErrRuleBroken. If there are none, it writes summary.
func PrintVerdict(out io.Writer, violations []string, summary string) error {
	for _, violation := range violations {
		printf(out, "rule broken: %s\n", violation)
	}
	if len(violations) > 0 {
		return ErrRuleBroken
	}
	printf(out, "%s\n", summary)
	return nil
}

// printVerdict calls PrintVerdict with the violations that the nodes detected and the unanswered requests of a replay.
func printVerdict(out io.Writer, report *emulator.Report, violations []string) error {
	if report.Unanswered > 0 {
		const format = "%d requests had no final response by their client's deadline plus the grace"
		violations = append(violations, fmt.Sprintf(format, report.Unanswered))
	}
	return PrintVerdict(out, violations,
		"all rules kept: one final response to each request, no effect twice, no job after a drain grace, "+
			"no warming node overloaded")
}

// printf writes to the user's terminal or file. It ignores errors, since the exit status does not depend on the output.
func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }
