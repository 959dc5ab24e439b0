// Package settings reads a program's settings from a JSON file and from flags of the same names; a flag overrides the file.
//
// A program declares its settings as a list of Fields. Load checks each value and reports all errors at once. A setting may have
// a former name and former values, which are deprecated but still read.
package settings

import (
	"strconv"
	"strings"
	"time"

	"snowflow/internal/monotonic"
)

// Field declares one setting.
type Field struct {
	Name    string
	Help    string
	Default string
	// FormerName, unless empty, is a deprecated name that is still read.
	FormerName string
	// FormerValues maps deprecated values, which are still read, to the values that replaced them.
	FormerValues map[string]string
	// Check, unless nil, returns an error if a value is invalid. It is not called for the empty value.
	Check func(value string) error
	// Optional allows the empty value.
	Optional bool
}

// Values holds the checked settings by their current names. The entries of a list are joined by commas.
type Values map[string]string

// List returns the entries of a setting that is a list, or nil if it is empty.
func (v Values) List(name string) []string {
	if v[name] == "" {
		return nil
	}
	return strings.Split(v[name], ",")
}

// Duration returns the value of a setting that CheckDuration accepted, or zero if it is empty.
func (v Values) Duration(name string) monotonic.Micros {
	duration, err := time.ParseDuration(v[name])
	if err != nil {
		return 0
	}
	return monotonic.FromDuration(duration)
}

// Int returns the value of a setting that CheckCount or CheckPenalty accepted, or zero if it is empty.
func (v Values) Int(name string) int {
	number, err := strconv.Atoi(v[name])
	if err != nil {
		return 0
	}
	return number
}
