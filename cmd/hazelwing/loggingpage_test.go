package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const loggingPage = moduleRoot + "/docs/operators/logging.md"

// loggingPackages are the packages whose log lines an operator sees: the packages of the daemon, of an origin and of
// the plug-in.
var loggingPackages = []string{
	"balancer",
	"cmd/hazelwing",
	"internal/admin",
	"internal/cluster",
	"internal/cluster/*",
	"internal/controlplane",
	"internal/controlplane/*",
	"internal/daemon",
	"internal/discovery",
	"internal/discovery/*",
	"internal/engine",
	"internal/front/*",
	"internal/idempotency",
	"internal/idempotency/*",
	"internal/limits",
	"internal/operator",
	"internal/platform",
	"internal/store",
	"internal/transport/*",
	"rpc/grpcbalancer",
}

var (
	// loggingRow matches a row of the page's table of messages, whose first cell is the message.
	loggingRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (?:debug|info|warn|error) \\|")
	// loggerName matches the name of a logger, which is the last identifier before a logging method.
	loggerName = regexp.MustCompile(`(?i)(log|logger)$`)
)

// logMethods are the logging methods, whose first argument is the message. Balancer.log is one of them.
var logMethods = map[string]bool{"Debug": true, "Info": true, "Warn": true, "Error": true, "log": true}

// The page of log messages has a row for each message in the code. The message of each row is a string literal of the
// code.
func TestLoggingPageHasAllMessages(t *testing.T) {
	page, err := os.ReadFile(loggingPage)
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, row := range loggingRow.FindAllStringSubmatch(string(page), -1) {
		documented[row[1]] = true
	}
	logged, literals := loggedMessages(t)
	for message, place := range logged {
		if !documented[message] {
			t.Errorf("%s logs %q, which is not on the page", place, message)
		}
	}
	for message := range documented {
		if !literals[message] {
			t.Errorf("the page has %q, which is no string literal of the code", message)
		}
	}
}

// loggedMessages returns the messages that are literal arguments of logging methods, each with a place that logs it. It
// also returns all string literals of the code, because some messages reach a logging method through a variable.
func loggedMessages(t *testing.T) (messages map[string]string, literals map[string]bool) {
	t.Helper()
	messages, literals = map[string]string{}, map[string]bool{}
	for _, pattern := range loggingPackages {
		files, err := filepath.Glob(filepath.Join(moduleRoot, pattern, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			set := token.NewFileSet()
			file, err := parser.ParseFile(set, name, nil, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(file, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.CallExpr:
					if message, ok := loggedMessage(n); ok {
						messages[message] = set.Position(n.Pos()).String()
					}
				case *ast.BasicLit:
					literals[literalText(n)] = true
				}
				return true
			})
		}
	}
	return messages, literals
}

// literalText returns the text of a string literal, and an empty text for other literals.
func literalText(literal *ast.BasicLit) string {
	if literal.Kind != token.STRING {
		return ""
	}
	text, err := strconv.Unquote(literal.Value)
	if err != nil {
		return ""
	}
	return text
}

// loggedMessage returns the message of a call, and whether the call is a logging call with a literal message.
func loggedMessage(call *ast.CallExpr) (string, bool) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !logMethods[method.Sel.Name] || len(call.Args) == 0 {
		return "", false
	}
	if method.Sel.Name != "log" && !loggerName.MatchString(lastName(method.X)) {
		return "", false
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok {
		return "", false
	}
	message := literalText(literal)
	return message, message != ""
}

// lastName returns the last identifier of an expression such as c.cfg.Log.
func lastName(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.Ident:
		return expression.Name
	case *ast.SelectorExpr:
		return expression.Sel.Name
	}
	return ""
}
