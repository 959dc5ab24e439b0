package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// declarations are the names that the project's sources declare: "Name" and "Type.Member" by package name, and test functions.
type declarations struct {
	packages map[string]map[string]bool
	tests    map[string]bool
}

// parseDeclarations reads all sources of the project.
func parseDeclarations(t *testing.T) declarations {
	t.Helper()
	found := declarations{packages: map[string]map[string]bool{}, tests: map[string]bool{}}
	for _, folder := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join("..", "..", folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err == nil {
				found.add(file, strings.HasSuffix(path, "_test.go"))
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

func (d declarations) add(file *ast.File, isTest bool) {
	names := d.packages[file.Name.Name]
	if names == nil {
		names = map[string]bool{}
		d.packages[file.Name.Name] = names
	}
	for _, declaration := range file.Decls {
		switch declared := declaration.(type) {
		case *ast.FuncDecl:
			if isTest {
				d.tests[declared.Name.Name] = true
			} else {
				names[receiver(declared)+declared.Name.Name] = true
			}
		case *ast.GenDecl:
			if !isTest {
				addSpecs(names, declared.Specs)
			}
		}
	}
}

// receiver is the name of a method's type with a dot, or nothing for a function.
func receiver(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	expression := function.Recv.List[0].Type
	if pointer, is := expression.(*ast.StarExpr); is {
		expression = pointer.X
	}
	if generic, is := expression.(*ast.IndexExpr); is {
		expression = generic.X
	}
	if named, is := expression.(*ast.Ident); is {
		return named.Name + "."
	}
	return ""
}

// addSpecs adds types with the fields and methods that they list, constants and variables.
func addSpecs(names map[string]bool, specs []ast.Spec) {
	for _, spec := range specs {
		switch declared := spec.(type) {
		case *ast.ValueSpec:
			for _, name := range declared.Names {
				names[name.Name] = true
			}
		case *ast.TypeSpec:
			names[declared.Name.Name] = true
			for _, field := range members(declared.Type) {
				for _, name := range field.Names {
					names[declared.Name.Name+"."+name.Name] = true
				}
			}
		}
	}
}

func members(expression ast.Expr) []*ast.Field {
	switch declared := expression.(type) {
	case *ast.StructType:
		return declared.Fields.List
	case *ast.InterfaceType:
		return declared.Methods.List
	}
	return nil
}

var (
	codeSpan      = regexp.MustCompile("`([^`\n]+)`")
	qualifiedName = regexp.MustCompile(`^([a-z]+)\.(\w+(?:\.\w+)?)$`)
	packagePath   = regexp.MustCompile(`^(?:internal|platform|cmd)(?:/[a-z]+)*$`)
	testName      = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w*`)
	// fileName matches names of files, which look like members of a package.
	fileName = regexp.MustCompile(`\.(go|md|git|json|proto|toml|svg|sum|mod)$`)
)

// formerNames begins the part of the glossary that lists names which aren't in use any more.
const formerNames = "## Former names"

// TestNamedFunctionsExist: each `package.Name` and `package.Type.Member` on these pages is declared in the sources, and each package path is a folder.
func TestNamedFunctionsExist(t *testing.T) {
	declared := parseDeclarations(t)
	for name, least := range map[string]int{"architecture.md": 40, "glossary.md": 0} {
		page, _, _ := strings.Cut(read(t, name), formerNames)
		resolved := 0
		for _, found := range codeSpan.FindAllStringSubmatch(page, -1) {
			if packagePath.MatchString(found[1]) {
				if _, err := os.Stat(filepath.Join("..", "..", found[1])); err != nil {
					t.Errorf("%s names the package %s, which does not exist", name, found[1])
				}
				continue
			}
			qualified := qualifiedName.FindStringSubmatch(found[1])
			if qualified == nil || fileName.MatchString(found[1]) {
				continue
			}
			if resolved++; !declared.packages[qualified[1]][qualified[2]] {
				t.Errorf("%s names %s, which no package declares", name, found[1])
			}
		}
		if resolved < least {
			t.Errorf("%s names %d functions, fewer than %d", name, resolved, least)
		}
	}
}

// TestNamedTestsExist: each test that a page names as a proof is there.
func TestNamedTestsExist(t *testing.T) {
	declared, looked := parseDeclarations(t), 0
	err := filepath.WalkDir(filepath.Join("..", "..", "docs"), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".md") {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		page, _, _ := strings.Cut(string(content), formerNames)
		for _, name := range testName.FindAllString(page, -1) {
			if looked++; !declared.tests[name] {
				t.Errorf("%s names %s, which is no test", path, name)
			}
		}
		return nil
	})
	if err != nil || looked < 50 {
		t.Errorf("%d tests are named; %v", looked, err)
	}
}
