package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/pflag"
)

// fileFlag is the flag that names the settings file.
const fileFlag = "env"

var (
	// ErrMissing is the error of a setting that must be set but is not.
	ErrMissing = errors.New("must be set")
	// ErrUnknown is the error of a name in the settings file that is not the name of a setting.
	ErrUnknown = errors.New("no such setting")
	// ErrSetTwice is the error of a setting that is set under both its name and its former name.
	ErrSetTwice = errors.New("set by its former name too")
)

// AddFlags adds a flag for each field, deprecated ones for former names, and one for the settings file.
func AddFlags(flags *pflag.FlagSet, fields []Field) {
	flags.String(fileFlag, "", "settings file, JSON; flags override it")
	for _, field := range fields {
		flags.String(field.Name, field.Default, field.Help)
		if field.FormerName == "" {
			continue
		}
		flags.String(field.FormerName, field.Default, field.Help)
		if err := flags.MarkDeprecated(field.FormerName, "use --"+field.Name); err != nil {
			panic(err) // the flag was added just now
		}
	}
}

// Load reads the settings file and the flags that AddFlags added, and checks all values. It returns the joined errors of all settings,
// or nil if all are valid.
func Load(flags *pflag.FlagSet, fields []Field) (Values, error) {
	fromFile, err := readFile(flags)
	problems := []error{err}
	values := Values{}
	for _, field := range fields {
		value, err := field.read(flags, fromFile)
		if err == nil {
			err = field.check(value)
		}
		if err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", field.Name, err))
		}
		values[field.Name] = value
	}
	problems = append(problems, checkUnknown(fromFile, fields)...)
	return values, errors.Join(problems...)
}

// readFile reads the settings file, if the flags name one.
func readFile(flags *pflag.FlagSet) (map[string]any, error) {
	content := map[string]any{}
	path, err := flags.GetString(fileFlag)
	if err != nil || path == "" {
		return content, err
	}
	encoded, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(encoded, &content)
	}
	if err != nil {
		return content, fmt.Errorf("settings file %s: %w", path, err)
	}
	return content, nil
}

// read returns the value of a field: that of the flag if it is given, else that of the settings file, else the default.
func (f *Field) read(flags *pflag.FlagSet, fromFile map[string]any) (string, error) {
	value, set, err := f.readFlag(flags)
	if !set && err == nil {
		value, set, err = f.readFile(fromFile)
	}
	if err != nil {
		return value, err
	}
	if !set {
		return f.Default, nil
	}
	if current, former := f.FormerValues[value]; former {
		return current, nil
	}
	return value, nil
}

// readFlag returns the value of the field's flag, under its current or its former name, and whether it was given.
func (f *Field) readFlag(flags *pflag.FlagSet) (value string, set bool, err error) {
	name := f.Name
	if f.FormerName != "" && flags.Changed(f.FormerName) {
		if flags.Changed(f.Name) {
			return "", false, fmt.Errorf("%w: --%s", ErrSetTwice, f.FormerName)
		}
		name = f.FormerName
	}
	if !flags.Changed(name) {
		return "", false, nil
	}
	value, err = flags.GetString(name)
	return value, true, err
}

// readFile returns the field's value in the settings file, under its current or its former name, and whether it was given.
func (f *Field) readFile(fromFile map[string]any) (value string, set bool, err error) {
	raw, set := fromFile[f.Name]
	if former, formerSet := fromFile[f.FormerName]; f.FormerName != "" && formerSet {
		if set {
			return "", false, fmt.Errorf("%w: %s", ErrSetTwice, f.FormerName)
		}
		raw, set = former, true
	}
	if !set {
		return "", false, nil
	}
	value, err = formatValue(raw)
	return value, true, err
}

// check returns an error if a value is missing or invalid.
func (f *Field) check(value string) error {
	if value == "" {
		if f.Optional {
			return nil
		}
		return ErrMissing
	}
	if f.Check == nil {
		return nil
	}
	return f.Check(value)
}

// checkUnknown returns an error for each name in the file that no field has, sorted by name.
func checkUnknown(fromFile map[string]any, fields []Field) (problems []error) {
	known := map[string]bool{}
	for _, field := range fields {
		known[field.Name] = true
		if field.FormerName != "" {
			known[field.FormerName] = true
		}
	}
	unknown := []string{}
	for name := range fromFile {
		if !known[name] {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	for _, name := range unknown {
		problems = append(problems, fmt.Errorf("%s: %w", name, ErrUnknown))
	}
	return problems
}

// formatValue returns a value of the settings file in the form that a flag has. The entries of a list are joined by commas.
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
			text, isString := part.(string)
			if !isString {
				return "", fmt.Errorf("entry %d is not a string", index)
			}
			parts[index] = text
		}
		return strings.Join(parts, ","), nil
	}
	return "", fmt.Errorf("%v is not a string, number, boolean or list of strings", raw)
}
