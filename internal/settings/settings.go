// Package settings reads a program's settings: a table of fields, a JSON file, and flags that go before the file.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/spf13/pflag"

	"snowflow/internal/monotonic"
)

// Field is one setting.
type Field struct {
	Name    string
	Help    string
	Default string
	// Check tells what is wrong with a value. The empty value of an optional field isn't checked.
	Check    func(value string) error
	Optional bool
}

// Values are the settings by name.
type Values map[string]string

// List splits a setting of several values.
func (v Values) List(name string) []string {
	if v[name] == "" {
		return nil
	}
	return strings.Split(v[name], ",")
}

// CheckDuration is a checked setting in microseconds.
func (v Values) Duration(name string) monotonic.Micros {
	duration, _ := time.ParseDuration(v[name])
	return monotonic.FromDuration(duration)
}

// Int is a checked whole number.
func (v Values) Int(name string) int {
	number, _ := strconv.Atoi(v[name])
	return number
}

// AddFlags adds a flag for each field, and one for the file.
func AddFlags(flags *pflag.FlagSet, fields []Field) {
	flags.String("env", "", "settings file, JSON; flags go before it")
	for _, field := range fields {
		flags.String(field.Name, field.Default, field.Help)
	}
}

// Load reads the file and the flags, and checks everything. All faults are told at once.
func Load(flags *pflag.FlagSet, fields []Field) (Values, error) {
	values, problems := Values{}, []error{}
	fromFile := map[string]any{}
	if path, _ := flags.GetString("env"); path != "" {
		content, err := os.ReadFile(path)
		if err == nil {
			err = json.Unmarshal(content, &fromFile)
		}
		if err != nil {
			problems = append(problems, fmt.Errorf("settings file %s: %w", path, err))
		}
	}
	known := map[string]bool{}
	for _, field := range fields {
		known[field.Name] = true
		values[field.Name] = field.Default
		if raw, present := fromFile[field.Name]; present {
			text, err := formatValue(raw)
			if err != nil {
				problems = append(problems, fmt.Errorf("%s: %w", field.Name, err))
			}
			values[field.Name] = text
		}
		if flags.Changed(field.Name) {
			values[field.Name], _ = flags.GetString(field.Name)
		}
		if values[field.Name] == "" {
			if !field.Optional {
				problems = append(problems, fmt.Errorf("%s: must be set", field.Name))
			}
			continue
		}
		if field.Check != nil {
			if err := field.Check(values[field.Name]); err != nil {
				problems = append(problems, fmt.Errorf("%s: %w", field.Name, err))
			}
		}
	}
	unknown := []string{}
	for name := range fromFile {
		if !known[name] {
			unknown = append(unknown, name)
		}
	}
	sort.Strings(unknown)
	for _, name := range unknown {
		problems = append(problems, fmt.Errorf("%s: no such setting", name))
	}
	return values, errors.Join(problems...)
}

func formatValue(raw any) (string, error) {
	switch value := raw.(type) {
	case string:
		return value, nil
	case float64:
		return strconv.FormatFloat(value, 'f', -1, 64), nil
	case bool:
		return strconv.FormatBool(value), nil
	case []any:
		parts := make([]string, len(value))
		for index, part := range value {
			text, isText := part.(string)
			if !isText {
				return "", fmt.Errorf("entry %d is not a text", index)
			}
			parts[index] = text
		}
		return strings.Join(parts, ","), nil
	}
	return "", fmt.Errorf("%v is not a text, number, truth value or list of texts", raw)
}

// CheckAddress checks an IP number with a port.
func CheckAddress(value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP number", host)
	}
	if number, err := strconv.Atoi(port); err != nil || number < 1 || number > 65535 {
		return fmt.Errorf("%q is not a port", port)
	}
	return nil
}

// CheckAddresses checks a list of addresses.
func CheckAddresses(value string) error {
	var problems []error
	for _, address := range strings.Split(value, ",") {
		if err := CheckAddress(address); err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", address, err))
		}
	}
	return errors.Join(problems...)
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// CheckName checks one name.
func CheckName(value string) error {
	if !namePattern.MatchString(value) {
		return fmt.Errorf("%q must be a lower-case letter, then up to 62 letters, digits or hyphens", value)
	}
	return nil
}

// CheckNames checks a list of different names.
func CheckNames(value string) error {
	seen := map[string]bool{}
	var problems []error
	for _, part := range strings.Split(value, ",") {
		if err := CheckName(part); err != nil {
			problems = append(problems, err)
		}
		if seen[part] {
			problems = append(problems, fmt.Errorf("%q is there twice", part))
		}
		seen[part] = true
	}
	return errors.Join(problems...)
}

// CheckVoters checks a roster: three names at least, or no machine could be lost.
func CheckVoters(value string) error {
	if count := len(strings.Split(value, ",")); count < 3 {
		return errors.Join(fmt.Errorf("%d voters; there must be three at least, so that one may be lost", count), CheckNames(value))
	}
	return CheckNames(value)
}

// CheckCount checks a whole number from 1 to 1024.
func CheckCount(value string) error {
	number, err := strconv.Atoi(value)
	if err == nil && (number < 1 || number > 1024) {
		return fmt.Errorf("%d is not from 1 to 1024", number)
	}
	return err
}

// CheckPenalty checks a number of microseconds from 0 to 10000000.
func CheckPenalty(value string) error {
	number, err := strconv.Atoi(value)
	if err == nil && (number < 0 || number > 10000000) {
		return fmt.Errorf("%d is not from 0 to 10000000", number)
	}
	return err
}

// CheckDuration checks a span of time such as 8s.
func CheckDuration(value string) error {
	duration, err := time.ParseDuration(value)
	if err == nil && (duration <= 0 || duration > time.Hour) {
		return fmt.Errorf("%s is not above zero and at most 1h", value)
	}
	return err
}

// CheckOneOf checks a word against a list.
func CheckOneOf(words ...string) func(value string) error {
	return func(value string) error {
		for _, word := range words {
			if value == word {
				return nil
			}
		}
		return fmt.Errorf("%q is none of %v", value, words)
	}
}

// CheckLevel checks a log level.
func CheckLevel(value string) error {
	_, err := log.ParseLevel(value)
	return err
}

// CommonFields are the settings of every daemon.
func CommonFields() []Field {
	return []Field{
		{Name: "name", Help: "this process's name, unique in its group", Check: CheckName},
		{Name: "domain", Help: "the zone it runs in", Check: CheckName},
		{Name: "listen", Help: "address for the mesh's other processes", Check: CheckAddress},
		{Name: "advertise", Help: "address at which others reach listen; the same if left out", Check: CheckAddress, Optional: true},
		{Name: "seeds", Help: "three addresses of other processes, with commas between; any process of the mesh will do", Check: CheckAddresses},
		{Name: "rehearse-clock", Help: "file of microseconds by which SIGUSR1 moves this process's clock, to rehearse a broken one; left out in earnest", Optional: true},
		{Name: "processors", Help: "most processors to run on; as many as there are if left out", Check: CheckCount, Optional: true},
		{Name: "clock", Help: "boottime goes on while the machine is suspended; monotonic costs less, for machines that never are", Default: "boottime", Check: CheckOneOf("boottime", "monotonic")},
		{Name: "log", Help: "least level of events to log: debug, info, warn or error", Default: "info", Check: CheckLevel},
	}
}

// ControlPlaneFields are the further settings of sorters and postmasters.
func ControlPlaneFields() []Field {
	return append(CommonFields(),
		Field{Name: "voters", Help: "names of all processes of this group, the same everywhere, with commas between; where their number is even the first counts double", Check: CheckVoters},
		Field{Name: "data", Help: "data folder, for this process alone"},
		Field{Name: "rehearse-sync", Help: "added to each sync, to rehearse a slow disk; left out in earnest", Check: CheckDuration, Optional: true},
		Field{Name: "desk", Help: "HTTP address for status, metrics and operators", Check: CheckAddress},
	)
}

// ProxyFields are the settings of a carrier.
func ProxyFields() []Field {
	return append(CommonFields(),
		Field{Name: "callers", Help: "HTTP address for callers", Check: CheckAddress},
		Field{Name: "choice", Help: "near prefers backends of the own zone while the load stays even; blind doesn't look at zones", Default: "near", Check: CheckOneOf("near", "blind")},
		Field{Name: "far-penalty", Help: "microseconds that the way to another zone counts for in the choice", Default: "20000", Check: CheckPenalty},
		Field{Name: "desk", Help: "HTTP address for this machine's backends, the platform and operators", Check: CheckAddress},
		Field{Name: "grace", Help: "how long a planned stop may take", Default: "2.5s", Check: CheckDuration},
	)
}
