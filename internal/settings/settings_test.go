package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/spf13/pflag"
)

// load reads the settings of a proxy from the content of a settings file and from arguments.
func load(t *testing.T, content string, arguments ...string) (Values, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	flags := pflag.NewFlagSet("proxy", pflag.ContinueOnError)
	AddFlags(flags, ProxyFields())
	if err := flags.Parse(append([]string{"--env", path}, arguments...)); err != nil {
		t.Fatal(err)
	}
	return Load(flags, ProxyFields())
}

// required holds the settings that the file of each test has.
const required = `"name": "proxy-1", "domain": "north", "listen": "10.1.1.1:7300", "callers": "127.0.0.1:7302", "seeds": ["10.1.0.1:7100", "10.2.0.1:7100"]`

// TestFormerNames checks that former names and values are read from the file and from flags, and that flags override the file,
// whichever of the two names is used.
func TestFormerNames(t *testing.T) {
	for _, test := range []struct {
		name, content string
		arguments     []string
		http, balance string
	}{
		{"present names", `{` + required + `, "http": "10.1.1.1:7301", "balance": "uniform"}`, nil, "10.1.1.1:7301", BalanceUniform},
		{"former names", `{` + required + `, "desk": "10.1.1.1:7301", "choice": "near"}`, nil, "10.1.1.1:7301", BalanceNear},
		{"former value", `{` + required + `, "desk": "10.1.1.1:7301", "choice": "blind"}`, nil, "10.1.1.1:7301", BalanceUniform},
		{"former value by its present name", `{` + required + `, "http": "10.1.1.1:7301", "balance": "blind"}`, nil, "10.1.1.1:7301", BalanceUniform},
		{"default", `{` + required + `, "desk": "10.1.1.1:7301"}`, nil, "10.1.1.1:7301", BalanceNear},
		{"present flags", `{` + required + `}`, []string{"--http", "10.1.1.1:7305", "--balance", "uniform"}, "10.1.1.1:7305", BalanceUniform},
		{"former flags", `{` + required + `}`, []string{"--desk", "10.1.1.1:7305", "--choice", "blind"}, "10.1.1.1:7305", BalanceUniform},
		{"former flag over present name", `{` + required + `, "http": "10.1.1.1:7301"}`, []string{"--desk", "10.1.1.1:7305"}, "10.1.1.1:7305", BalanceNear},
		{"present flag over former name", `{` + required + `, "desk": "10.1.1.1:7301"}`, []string{"--http", "10.1.1.1:7305"}, "10.1.1.1:7305", BalanceNear},
	} {
		t.Run(test.name, func(t *testing.T) {
			values, err := load(t, test.content, test.arguments...)
			if err != nil {
				t.Fatal(err)
			}
			if values["http"] != test.http || values["balance"] != test.balance {
				t.Errorf("got http %q and balance %q", values["http"], values["balance"])
			}
			for _, former := range []string{"desk", "choice"} {
				if _, present := values[former]; present {
					t.Errorf("%s is among the values", former)
				}
			}
		})
	}
}

// TestFormerNamesAreDeprecated checks that the flags of former names are marked deprecated, and no others.
func TestFormerNamesAreDeprecated(t *testing.T) {
	for program, fields := range map[string][]Field{"proxy": ProxyFields(), "control plane": ControlPlaneFields()} {
		t.Run(program, func(t *testing.T) {
			flags := pflag.NewFlagSet(program, pflag.ContinueOnError)
			AddFlags(flags, fields)
			marked := 0
			for _, field := range fields {
				if flags.Lookup(field.Name).Deprecated != "" {
					t.Errorf("%s is marked deprecated", field.Name)
				}
				if field.FormerName == "" {
					continue
				}
				marked++
				if flags.Lookup(field.FormerName).Deprecated != "use --"+field.Name {
					t.Errorf("%s is not marked deprecated", field.FormerName)
				}
			}
			if marked == 0 {
				t.Error("no field has a former name")
			}
		})
	}
}

// TestLoadErrors checks that each kind of error is reported with the name of its setting.
func TestLoadErrors(t *testing.T) {
	for _, test := range []struct {
		name, content string
		arguments     []string
		want          error  // wrapped by the error of Load, unless nil
		text          string // the text of the error of Load
	}{
		{"missing", `{` + required + `}`, nil, ErrMissing, "http: must be set"},
		{"unknown", `{` + required + `, "http": "10.1.1.1:7301", "colour": "red"}`, nil, ErrUnknown, "colour: no such setting"},
		{"set twice in the file", `{` + required + `, "http": "10.1.1.1:7301", "desk": "10.1.1.1:7301"}`, nil, ErrSetTwice, "http: set by its former name too: desk"},
		{"set twice by flags", `{` + required + `}`, []string{"--http", "10.1.1.1:7301", "--desk", "10.1.1.1:7301"}, ErrSetTwice, "http: set by its former name too: --desk"},
		{"invalid value", `{` + required + `, "http": "10.1.1.1:7301", "balance": "far"}`, nil, nil, `balance: "far" is not one of [near uniform]`},
		{"invalid address", `{` + required + `, "http": "localhost:7301"}`, nil, nil, `http: "localhost" is not an IP address`},
		{"list of numbers", `{` + required + `, "http": [1]}`, nil, nil, "http: entry 0 is not a string"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := load(t, test.content, test.arguments...)
			if test.want != nil && !errors.Is(err, test.want) {
				t.Errorf("the error %v does not wrap %v", err, test.want)
			}
			if err == nil || err.Error() != test.text {
				t.Errorf("the error is %v, want %s", err, test.text)
			}
		})
	}
}
