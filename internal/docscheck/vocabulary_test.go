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
	"unicode"
)

// withdrawnWords are words that names must not contain: those of an earlier naming style, and everyday words for which the field has a
// term. docs/glossary.md lists the terms. "trip" isn't among the words, since it is the term for the opening of a circuit breaker.
const withdrawnWords = `carrier sorter postmaster clerk depot countersign strongbox parcel bulletin franking gazetteer office
postmark postcode seal seals house mailround inspector friday wicket pigeonhole counterfoil rack purse passage desk hutch rota
restante backdoor errand errands courier lastpost vigil letter tenure serial ask asks asked tell tells told beat beats ailing
ill sick crowd worth aim life lives mate mates fellow fellows kin mend mends book ledger ballot settle settles settled
patience place whole held kept keeper news door doors mover tally sight sights sighting sightings seat seats
genesis worst stint lot moment span hold holds pass passes later look attend doubt blind master masters`

// allowedNames are names that may contain a withdrawn word, with the reason.
var allowedNames = map[string]string{
	"aim_micros":          "a key of the configurations that operators write",
	"probe_tenure_micros": "a key of the configurations that operators write",
	"ServerSealHeader":    "the platform's name of its header",
	"halfLife":            "the term for exponential decay",
	"loadHalfLife":        "the term for exponential decay",
	"averageHalfLife":     "the term for exponential decay",
	"withdrawnWords":      "this check's own",
}

// TestVocabulary checks that declared names and names of packages and files contain no withdrawn word.
func TestVocabulary(t *testing.T) {
	withdrawn := map[string]bool{}
	for _, word := range strings.Fields(withdrawnWords) {
		withdrawn[word] = true
	}
	checked := 0
	for _, declared := range declaredNames(t, filepath.Join("..", "..")) {
		checked++
		if _, allowed := allowedNames[declared.name]; allowed {
			continue
		}
		for _, word := range wordsOf(declared.name) {
			if withdrawn[word] {
				t.Errorf("%s: %s contains the withdrawn word %q", declared.position, declared.name, word)
				break
			}
		}
	}
	if checked < 5000 {
		t.Fatalf("only %d names were checked", checked)
	}
}

// declaredName is a name and where it is declared.
type declaredName struct{ name, position string }

// declaredNames returns the names of folders and source files below root, and the names that Go and protobuf files declare.
func declaredNames(t *testing.T, root string) (names []declaredName) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		base := entry.Name()
		switch {
		case entry.IsDir() && path != root && (strings.HasPrefix(base, ".") || base == "testdata" || base == "journal" || base == "target" || base == "bin"):
			return filepath.SkipDir
		case entry.IsDir():
			names = append(names, declaredName{base, path})
		case strings.HasSuffix(base, ".pb.go"):
		case strings.HasSuffix(base, ".go"):
			names = append(names, declaredName{strings.TrimSuffix(strings.TrimSuffix(base, ".go"), "_test"), path})
			names = append(names, goNames(t, path)...)
		case strings.HasSuffix(base, ".proto"):
			names = append(names, protoNames(t, path)...)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// goNames returns the names that a Go file declares.
func goNames(t *testing.T, path string) (names []declaredName) {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	add := func(identifiers ...*ast.Ident) {
		for _, identifier := range identifiers {
			names = append(names, declaredName{identifier.Name, files.Position(identifier.Pos()).String()})
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			add(node.Name)
		case *ast.TypeSpec:
			add(node.Name)
		case *ast.ValueSpec:
			add(node.Names...)
		case *ast.Field:
			add(node.Names...)
		case *ast.AssignStmt:
			for _, left := range node.Lhs {
				if identifier, ok := left.(*ast.Ident); ok && node.Tok == token.DEFINE {
					add(identifier)
				}
			}
		}
		return true
	})
	return names
}

// protoName matches the declaration of a message, an enumeration, a field or an enumeration value.
var protoName = regexp.MustCompile(`(?:message|enum)\s+(\w+)|[\w.]+\s+(\w+)\s*=\s*\d+`)

// protoNames returns the names that a protobuf file declares.
func protoNames(t *testing.T, path string) (names []declaredName) {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(content), "\n") {
		code, _, _ := strings.Cut(line, "//")
		for _, match := range protoName.FindAllStringSubmatch(code, -1) {
			names = append(names, declaredName{match[1] + match[2], path})
		}
	}
	return names
}

// wordsOf splits camelCase and snake_case into lower-case words.
func wordsOf(name string) (words []string) {
	var word []rune
	end := func() {
		if len(word) > 0 {
			words = append(words, strings.ToLower(string(word)))
			word = nil
		}
	}
	previous := rune(0)
	for _, letter := range name {
		switch {
		case letter == '_' || letter == '-' || letter == '.':
			end()
			previous = 0
			continue
		case unicode.IsUpper(letter) && !unicode.IsUpper(previous):
			end()
		}
		word = append(word, letter)
		previous = letter
	}
	end()
	return words
}

func TestWordsOf(t *testing.T) {
	for name, want := range map[string]string{"configLease": "config lease", "HTTPServer": "httpserver", "retry_budget": "retry budget", "load-days.go": "load days go"} {
		if got := strings.Join(wordsOf(name), " "); got != want {
			t.Errorf("%s is split into %q, not %q", name, got, want)
		}
	}
}
