package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"math"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// codeNames has the declarations of the code, with which tests compare the names on documentation pages. Packages are
// named by the last element of their paths.
type codeNames struct {
	names     map[string]bool             // declared names: package.Name, and package.Type.Member for members
	functions map[string]string           // comments of functions and methods, by their key in names
	constants map[string]packageConstants // constants by package
	literals  map[string]bool             // string literals
}

// codePatterns match the packages that codeNames covers.
var codePatterns = []string{"balancer", "internal/*", "internal/*/*", "rpc/*"}

// parsedCode caches the result of readCode, which several tests need.
var parsedCode struct {
	once sync.Once
	code codeNames
	err  error
}

// parseCode returns the declarations of the code. It parses the code once.
func parseCode(t *testing.T) codeNames {
	t.Helper()
	parsedCode.once.Do(func() { parsedCode.code, parsedCode.err = readCode() })
	if parsedCode.err != nil {
		t.Fatal(parsedCode.err)
	}
	return parsedCode.code
}

func readCode() (codeNames, error) {
	code := codeNames{
		names:     map[string]bool{},
		functions: map[string]string{},
		constants: map[string]packageConstants{},
		literals:  map[string]bool{},
	}
	for _, pattern := range codePatterns {
		files, err := filepath.Glob(filepath.Join(moduleRoot, pattern, "*.go"))
		if err != nil {
			return code, err
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			const mode = parser.ParseComments | parser.SkipObjectResolution
			file, err := parser.ParseFile(token.NewFileSet(), name, nil, mode)
			if err != nil {
				return code, err
			}
			code.add(path.Base(path.Dir(filepath.ToSlash(name))), file)
		}
	}
	return code, nil
}

// add adds the declarations and literals of a file.
func (c codeNames) add(packageName string, file *ast.File) {
	if c.constants[packageName].exprs == nil {
		c.constants[packageName] = packageConstants{exprs: map[string]ast.Expr{}, others: c.constants}
	}
	c.constants[packageName].add(file)
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			name := declaration.Name.Name
			if declaration.Recv != nil {
				name = receiverName(declaration.Recv) + "." + name
			}
			c.names[packageName+"."+name] = true
			c.functions[packageName+"."+name] = commentsOf(file, declaration)
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				c.addSpec(packageName, spec)
			}
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if literal, ok := n.(*ast.BasicLit); ok {
			c.literals[literalText(literal)] = true
		}
		return true
	})
}

func (c codeNames) addSpec(packageName string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		typeName := packageName + "." + spec.Name.Name
		c.names[typeName] = true
		for _, member := range membersOf(spec.Type) {
			c.names[typeName+"."+member] = true
		}
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			c.names[packageName+"."+name.Name] = true
		}
	}
}

// commentsOf returns the text of a function's doc comment and of the comments in its body.
func commentsOf(file *ast.File, function *ast.FuncDecl) string {
	text := function.Doc.Text()
	for _, comment := range file.Comments {
		if comment.Pos() > function.Pos() && comment.End() < function.End() {
			text += comment.Text()
		}
	}
	return text
}

// membersOf returns the names of a struct's fields or an interface's methods.
func membersOf(expression ast.Expr) (names []string) {
	var fields *ast.FieldList
	switch expression := expression.(type) {
	case *ast.StructType:
		fields = expression.Fields
	case *ast.InterfaceType:
		fields = expression.Methods
	default:
		return nil
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			names = append(names, name.Name)
		}
	}
	return names
}

// receiverName returns the name of a method's receiver type.
func receiverName(receiver *ast.FieldList) string {
	expression := receiver.List[0].Type
	if pointer, ok := expression.(*ast.StarExpr); ok {
		expression = pointer.X
	}
	if generic, ok := expression.(*ast.IndexExpr); ok {
		expression = generic.X
	}
	if name, ok := expression.(*ast.Ident); ok {
		return name.Name
	}
	return ""
}

// constant returns the value of a constant by its qualified name, in seconds if it is a duration.
func (c codeNames) constant(name string) (float64, error) {
	packageName, constant, _ := strings.Cut(name, ".")
	return c.constants[packageName].value(constant)
}

// packageConstants are the constants of a package, or of one file of it.
type packageConstants struct {
	exprs  map[string]ast.Expr         // expressions of the constants, by name
	others map[string]packageConstants // constants of all packages, by package; nil: no constants of other packages
}

// add adds the constants that a file declares with an expression.
func (c packageConstants) add(file *ast.File) {
	for _, decl := range file.Decls {
		group, ok := decl.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			valueSpec := spec.(*ast.ValueSpec)
			for i, ident := range valueSpec.Names {
				if i < len(valueSpec.Values) {
					c.exprs[ident.Name] = valueSpec.Values[i]
				}
			}
		}
	}
}

// value returns the value of a constant, in seconds if it is a duration.
func (c packageConstants) value(name string) (float64, error) {
	expr, ok := c.exprs[name]
	if !ok {
		return 0, fmt.Errorf("there is no constant %s", name)
	}
	return c.evaluate(expr)
}

// evaluate returns the value of an expression, in seconds if it is a duration.
func (c packageConstants) evaluate(expr ast.Expr) (float64, error) {
	switch e := expr.(type) {
	case *ast.BasicLit:
		return strconv.ParseFloat(strings.ReplaceAll(e.Value, "_", ""), 64)
	case *ast.ParenExpr:
		return c.evaluate(e.X)
	case *ast.Ident:
		return c.value(e.Name)
	case *ast.SelectorExpr:
		if unit, ok := timeUnit(e.Sel.Name); ok {
			return unit.Seconds(), nil
		}
		return c.others[lastName(e.X)].value(e.Sel.Name)
	case *ast.BinaryExpr:
		return c.evaluateBinary(e)
	}
	return 0, fmt.Errorf("expressions of type %T cannot be evaluated", expr)
}

func (c packageConstants) evaluateBinary(e *ast.BinaryExpr) (float64, error) {
	left, err := c.evaluate(e.X)
	if err != nil {
		return 0, err
	}
	right, err := c.evaluate(e.Y)
	if err != nil {
		return 0, err
	}
	switch e.Op {
	case token.ADD:
		return left + right, nil
	case token.SUB:
		return left - right, nil
	case token.MUL:
		return left * right, nil
	case token.QUO:
		return left / right, nil
	case token.SHL:
		return math.Ldexp(left, int(right)), nil
	}
	return 0, fmt.Errorf("expression %s: operator %s is not supported", types.ExprString(e), e.Op)
}

// timeUnit returns the unit that has the given name in package time, and whether there is one.
func timeUnit(name string) (time.Duration, bool) {
	switch name {
	case "Microsecond":
		return time.Microsecond, true
	case "Millisecond":
		return time.Millisecond, true
	case "Second":
		return time.Second, true
	case "Minute":
		return time.Minute, true
	case "Hour":
		return time.Hour, true
	}
	return 0, false
}
