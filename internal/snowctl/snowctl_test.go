package snowctl

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestDeprecatedNames: flags and commands still work under their former names, and say on standard error what to use instead.
func TestDeprecatedNames(t *testing.T) {
	paths := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		paths <- request.Method + " " + request.URL.Path
		_, _ = writer.Write([]byte(`{}`))
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	for _, one := range []struct {
		name, arguments, path, warning string
	}{
		{"addresses", "status --addresses " + address, "GET /status", ""},
		{"former name of addresses", "status --desks " + address, "GET /status", "Flag --desks has been deprecated, use --addresses"},
		{"breaker", "breaker " + address + " forms reset", "POST /guards/forms/reset", ""},
		{"former name of breaker", "guard " + address + " forms reset", "POST /guards/forms/reset", `Command "guard" is deprecated, use "breaker"`},
	} {
		t.Run(one.name, func(t *testing.T) {
			warnings := runRoot(t, nil, one.arguments)
			if path := <-paths; path != one.path {
				t.Errorf("requested %s instead of %s", path, one.path)
			}
			checkWarning(t, warnings, one.warning)
		})
	}
}

// TestDeprecatedTimeout: the doctor's timeout is read under its former name too, and both names are checked.
func TestDeprecatedTimeout(t *testing.T) {
	for _, one := range []struct{ name, arguments, warning string }{
		{"timeout", "doctor --timeout 0s", ""},
		{"former name of timeout", "doctor --patience 0s", "Flag --patience has been deprecated, use --timeout"},
	} {
		t.Run(one.name, func(t *testing.T) {
			var failure error
			warnings := runRoot(t, &failure, one.arguments)
			if failure == nil || !strings.Contains(failure.Error(), "--timeout must be above zero") {
				t.Errorf("ended with %v", failure)
			}
			checkWarning(t, warnings, one.warning)
		})
	}
}

// runRoot runs the command line and gives what it printed on standard error. It stores the error in failure; nil for none wanted.
func runRoot(t *testing.T, failure *error, arguments string) string {
	t.Helper()
	var warnings bytes.Buffer
	root := Root()
	root.SetOut(&warnings) // pflag prints there, which is standard error unless it is set
	root.SetErr(&warnings)
	root.SetArgs(strings.Fields(arguments))
	err := root.Execute()
	if failure != nil {
		*failure = err
	} else if err != nil {
		t.Error(err)
	}
	return warnings.String()
}

func checkWarning(t *testing.T, warnings, wanted string) {
	t.Helper()
	if wanted == "" && warnings != "" || !strings.Contains(warnings, wanted) {
		t.Errorf("warned %q instead of %q", warnings, wanted)
	}
}
