package snowctl

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestDeprecatedNames checks that flags and commands still work under their former names and print a warning with the current name.
func TestDeprecatedNames(t *testing.T) {
	paths := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		paths <- request.Method + " " + request.URL.Path
		_, _ = writer.Write([]byte(`{}`))
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	for _, test := range []struct {
		name, arguments, path, warning string
	}{
		{"addresses", "status --addresses " + address, "GET /status", ""},
		{"former name of addresses", "status --desks " + address, "GET /status", "Flag --desks has been deprecated, use --addresses"},
		{"breaker", "breaker " + address + " forms reset", "POST /guards/forms/reset", ""},
		{"former name of breaker", "guard " + address + " forms reset", "POST /guards/forms/reset", `Command "guard" is deprecated, use "breaker"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			warnings := runRoot(t, nil, test.arguments)
			if path := <-paths; path != test.path {
				t.Errorf("requested %s, want %s", path, test.path)
			}
			checkWarning(t, warnings, test.warning)
		})
	}
}

// TestDeprecatedTimeout checks that the doctor command reads and validates its timeout under the former name too.
func TestDeprecatedTimeout(t *testing.T) {
	for _, test := range []struct{ name, arguments, warning string }{
		{"timeout", "doctor --timeout 0s", ""},
		{"former name of timeout", "doctor --patience 0s", "Flag --patience has been deprecated, use --timeout"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var runErr error
			warnings := runRoot(t, &runErr, test.arguments)
			if runErr == nil || !strings.Contains(runErr.Error(), "--timeout must be above zero") {
				t.Errorf("got error %v", runErr)
			}
			checkWarning(t, warnings, test.warning)
		})
	}
}

// runRoot runs the command line and returns what it printed to standard error. It stores the error of the command in runErr; if
// runErr is nil, an error fails the test.
func runRoot(t *testing.T, runErr *error, arguments string) string {
	t.Helper()
	var warnings bytes.Buffer
	root := Root()
	root.SetOut(&warnings) // pflag prints its warnings there; the default is standard error
	root.SetErr(&warnings)
	root.SetArgs(strings.Fields(arguments))
	err := root.Execute()
	if runErr != nil {
		*runErr = err
	} else if err != nil {
		t.Error(err)
	}
	return warnings.String()
}

func checkWarning(t *testing.T, warnings, want string) {
	t.Helper()
	if want == "" && warnings != "" || !strings.Contains(warnings, want) {
		t.Errorf("printed the warning %q, want %q", warnings, want)
	}
}
