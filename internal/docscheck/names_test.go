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

// declarations are the names that the project's sources declare: "Name" and "Type.Member" by package name, and the names of test
// functions.
type declarations struct {
	packages map[string]map[string]bool
	tests    map[string]bool
}

// parseDeclarations returns the declarations in all sources of the project.
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

// add adds the declarations of a file.
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

// receiver returns the name of a method's receiver type, followed by a dot, or an empty string for a function.
func receiver(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	expression := function.Recv.List[0].Type
	if pointer, ok := expression.(*ast.StarExpr); ok {
		expression = pointer.X
	}
	if generic, ok := expression.(*ast.IndexExpr); ok {
		expression = generic.X
	}
	if named, ok := expression.(*ast.Ident); ok {
		return named.Name + "."
	}
	return ""
}

// addSpecs adds constants, variables, and types with their fields and interface methods.
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

// members returns the fields of a struct type or the methods of an interface type.
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
	// fileName matches names of files, which qualifiedName matches too.
	fileName = regexp.MustCompile(`\.(go|md|git|json|proto|toml|svg|sum|mod)$`)
)

// formerNames is the heading of the part of the glossary that lists names that are no longer in use.
const formerNames = "## Former names"

// TestNamedFunctionsExist checks that each exported `package.Name` and `package.Type.Member` that a page names is declared in the sources,
// and that each Go file that it names exists. On the architecture page it also checks unexported names and package paths.
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

// pages returns the paths of all pages below docs.
func pages(t *testing.T) (paths []string) {
	t.Helper()
	err := filepath.WalkDir(filepath.Join("..", "..", "docs"), func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".md") {
			paths = append(paths, path)
		}
		return err
	})
	if err != nil || len(paths) < 20 {
		t.Fatalf("found %d pages; %v", len(paths), err)
	}
	return paths
}

// readPage returns a page without the part that lists names that are no longer in use.
func readPage(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	page, _, _ := strings.Cut(string(content), formerNames)
	return page
}

// goFiles returns the slash-separated paths of all Go files of the project.
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

// TestNamedTestsExist checks that each test that a page names exists.
func TestNamedTestsExist(t *testing.T) {
	declared, checked := parseDeclarations(t), 0
	for _, path := range pages(t) {
		for _, name := range testName.FindAllString(readPage(t, path), -1) {
			if checked++; !declared.tests[name] {
				t.Errorf("%s names %s, which is not a test", path, name)
			}
		}
	}
	if checked < 50 {
		t.Errorf("only %d tests are named", checked)
	}
}
