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
func (values Values) List(name string) []string {
	if values[name] == "" {
		return nil
	}
	return strings.Split(values[name], ",")
}

// Span is a checked setting in microseconds.
func (values Values) Span(name string) monotonic.Micros {
	span, _ := time.ParseDuration(values[name])
	return monotonic.Of(span)
}

// Number is a checked whole number.
func (values Values) Number(name string) int {
	number, _ := strconv.Atoi(values[name])
	return number
}

// Flags adds a flag for each field, and one for the file.
func Flags(flags *pflag.FlagSet, fields []Field) {
	flags.String("env", "", "settings file, JSON; flags go before it")
	for _, field := range fields {
		flags.String(field.Name, field.Default, field.Help)
	}
}

// Load reads the file and the flags, and checks everything. All faults are told at once.
func Load(flags *pflag.FlagSet, fields []Field) (Values, error) {
	values, faults := Values{}, []error{}
	fromFile := map[string]any{}
	if path, _ := flags.GetString("env"); path != "" {
		content, err := os.ReadFile(path)
		if err == nil {
			err = json.Unmarshal(content, &fromFile)
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("settings file %s: %w", path, err))
		}
	}
	known := map[string]bool{}
	for _, field := range fields {
		known[field.Name] = true
		values[field.Name] = field.Default
		if told, present := fromFile[field.Name]; present {
			text, err := plain(told)
			if err != nil {
				faults = append(faults, fmt.Errorf("%s: %w", field.Name, err))
			}
			values[field.Name] = text
		}
		if flags.Changed(field.Name) {
			values[field.Name], _ = flags.GetString(field.Name)
		}
		if values[field.Name] == "" {
			if !field.Optional {
				faults = append(faults, fmt.Errorf("%s: must be set", field.Name))
			}
			continue
		}
		if field.Check != nil {
			if err := field.Check(values[field.Name]); err != nil {
				faults = append(faults, fmt.Errorf("%s: %w", field.Name, err))
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
		faults = append(faults, fmt.Errorf("%s: no such setting", name))
	}
	return values, errors.Join(faults...)
}

func plain(told any) (string, error) {
	switch value := told.(type) {
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
	return "", fmt.Errorf("%v is not a text, number, truth value or list of texts", told)
}

// Address checks an IP number with a port.
func Address(value string) error {
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

// Addresses checks a list of addresses.
func Addresses(value string) error {
	var faults []error
	for _, address := range strings.Split(value, ",") {
		if err := Address(address); err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", address, err))
		}
	}
	return errors.Join(faults...)
}

var name = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Name checks one name.
func Name(value string) error {
	if !name.MatchString(value) {
		return fmt.Errorf("%q must be a lower-case letter, then up to 62 letters, digits or hyphens", value)
	}
	return nil
}

// Names checks a list of different names.
func Names(value string) error {
	seen := map[string]bool{}
	var faults []error
	for _, part := range strings.Split(value, ",") {
		if err := Name(part); err != nil {
			faults = append(faults, err)
		}
		if seen[part] {
			faults = append(faults, fmt.Errorf("%q is there twice", part))
		}
		seen[part] = true
	}
	return errors.Join(faults...)
}

// Voters checks a roster: three names at least, or no machine could be lost.
func Voters(value string) error {
	if count := len(strings.Split(value, ",")); count < 3 {
		return errors.Join(fmt.Errorf("%d voters; there must be three at least, so that one may be lost", count), Names(value))
	}
	return Names(value)
}

// Count checks a whole number from 1 to 1024.
func Count(value string) error {
	number, err := strconv.Atoi(value)
	if err == nil && (number < 1 || number > 1024) {
		return fmt.Errorf("%d is not from 1 to 1024", number)
	}
	return err
}

// Penalty checks a number of microseconds from 0 to 10000000.
func Penalty(value string) error {
	number, err := strconv.Atoi(value)
	if err == nil && (number < 0 || number > 10000000) {
		return fmt.Errorf("%d is not from 0 to 10000000", number)
	}
	return err
}

// Span checks a span of time such as 8s.
func Span(value string) error {
	span, err := time.ParseDuration(value)
	if err == nil && (span <= 0 || span > time.Hour) {
		return fmt.Errorf("%s is not above zero and at most 1h", value)
	}
	return err
}

// OneOf checks a word against a list.
func OneOf(words ...string) func(value string) error {
	return func(value string) error {
		for _, word := range words {
			if value == word {
				return nil
			}
		}
		return fmt.Errorf("%q is none of %v", value, words)
	}
}

// Level checks a log level.
func Level(value string) error {
	_, err := log.ParseLevel(value)
	return err
}

// Common are the settings of every daemon.
func Common() []Field {
	return []Field{
		{Name: "name", Help: "this process's name, unique in its group", Check: Name},
		{Name: "domain", Help: "the zone it runs in", Check: Name},
		{Name: "listen", Help: "address for the mesh's other processes", Check: Address},
		{Name: "advertise", Help: "address at which others reach listen; the same if left out", Check: Address, Optional: true},
		{Name: "seeds", Help: "three addresses of other processes, with commas between; any process of the mesh will do", Check: Addresses},
		{Name: "rehearse-clock", Help: "file of microseconds by which SIGUSR1 moves this process's clock, to rehearse a broken one; left out in earnest", Optional: true},
		{Name: "processors", Help: "most processors to run on; as many as there are if left out", Check: Count, Optional: true},
		{Name: "clock", Help: "boottime goes on while the machine is suspended; monotonic costs less, for machines that never are", Default: "boottime", Check: OneOf("boottime", "monotonic")},
		{Name: "log", Help: "least level of events to log: debug, info, warn or error", Default: "info", Check: Level},
	}
}

// Core are the further settings of sorters and postmasters.
func Core() []Field {
	return append(Common(),
		Field{Name: "voters", Help: "names of all processes of this group, the same everywhere, with commas between; where their number is even the first counts double", Check: Voters},
		Field{Name: "data", Help: "data folder, for this process alone"},
		Field{Name: "rehearse-sync", Help: "added to each sync, to rehearse a slow disk; left out in earnest", Check: Span, Optional: true},
		Field{Name: "desk", Help: "HTTP address for status, metrics and operators", Check: Address},
	)
}

// Carrier are the settings of a carrier.
func Carrier() []Field {
	return append(Common(),
		Field{Name: "callers", Help: "HTTP address for callers", Check: Address},
		Field{Name: "choice", Help: "near prefers backends of the own zone while the load stays even; blind doesn't look at zones", Default: "near", Check: OneOf("near", "blind")},
		Field{Name: "far-penalty", Help: "microseconds that the way to another zone counts for in the choice", Default: "20000", Check: Penalty},
		Field{Name: "desk", Help: "HTTP address for this machine's backends, the platform and operators", Check: Address},
		Field{Name: "grace", Help: "how long a planned stop may take", Default: "2.5s", Check: Span},
	)
}
