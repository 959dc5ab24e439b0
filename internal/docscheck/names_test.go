package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
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
	codeQuote     = regexp.MustCompile("`([^`\n]+)`")
	qualifiedName = regexp.MustCompile(`^([a-z]+)\.(\w+(?:\.\w+)?)$`)
	packagePath   = regexp.MustCompile(`^(?:internal|platform|cmd)(?:/[a-z]+)*$`)
	testName      = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w*`)
	goFile        = regexp.MustCompile(`^[\w/]+\.go$`)
	// fileName matches names of files, which look like members of a package.
	fileName = regexp.MustCompile(`\.(go|md|git|json|proto|toml|svg|sum|mod)$`)
)

// formerNames begins the part of the glossary that lists names which aren't in use any more.
const formerNames = "## Former names"

// TestNamedFunctionsExist: each exported `package.Name` and `package.Type.Member` on any page is declared in the sources, and each Go file exists. On the
// architecture's page that holds for unexported names and package paths too.
func TestNamedFunctionsExist(t *testing.T) {
	declared, files := parseDeclarations(t), goFiles(t)
	for _, path := range pages(t) {
		name, strict := filepath.Base(path), filepath.Base(path) == "architecture.md"
		resolved := 0
		for _, found := range codeQuote.FindAllStringSubmatch(readPage(t, path), -1) {
			quote := found[1]
			if strict && packagePath.MatchString(quote) {
				if _, err := os.Stat(filepath.Join("..", "..", quote)); err != nil {
					t.Errorf("%s names the package %s, which does not exist", name, quote)
				}
			}
			if goFile.MatchString(quote) && !slices.ContainsFunc(files, func(file string) bool { return strings.HasSuffix(file, "/"+quote) }) {
				t.Errorf("%s names the file %s, which does not exist", name, quote)
			}
			qualified := qualifiedName.FindStringSubmatch(quote)
			if qualified == nil || fileName.MatchString(quote) || !strict && !ast.IsExported(qualified[2]) {
				continue
			}
			if resolved++; !declared.packages[qualified[1]][qualified[2]] && !declared.tests[qualified[2]] {
				t.Errorf("%s names %s, which no package declares", name, quote)
			}
		}
		if strict && resolved < 40 {
			t.Errorf("%s names only %d functions", name, resolved)
		}
	}
}

// pages lists all pages below docs.
func pages(t *testing.T) (paths []string) {
	t.Helper()
	err := filepath.WalkDir(filepath.Join("..", "..", "docs"), func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".md") {
			paths = append(paths, path)
		}
		return err
	})
	if err != nil || len(paths) < 20 {
		t.Fatalf("%d pages; %v", len(paths), err)
	}
	return paths
}

// readPage reads a page up to the names that aren't in use any more.
func readPage(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	page, _, _ := strings.Cut(string(content), formerNames)
	return page
}

// goFiles lists all Go files of the project, with slashes.
func goFiles(t *testing.T) (paths []string) {
	t.Helper()
	for _, folder := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join("..", "..", folder), func(path string, _ fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") {
				paths = append(paths, filepath.ToSlash(path))
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return paths
}

// TestNamedTestsExist: each test that a page names as a proof is there.
func TestNamedTestsExist(t *testing.T) {
	declared, looked := parseDeclarations(t), 0
	for _, path := range pages(t) {
		for _, name := range testName.FindAllString(readPage(t, path), -1) {
			if looked++; !declared.tests[name] {
				t.Errorf("%s names %s, which is no test", path, name)
			}
		}
	}
	if looked < 50 {
		t.Errorf("only %d tests are named", looked)
	}
}
