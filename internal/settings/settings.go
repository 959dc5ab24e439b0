// Package settings reads a program's settings from a JSON file and from flags of the same names; a flag overrides the file.
//
// A program declares its settings as a table of Fields. Load checks each value and reports all errors at once. A setting may
// have a former name and former values, which are still read and are marked deprecated.
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
	// FormerValues maps deprecated values that are still read to those that replaced them.
	FormerValues map[string]string
	// Check, unless nil, returns an error if a value is invalid. It is not called for the empty value.
	Check func(value string) error
	// Optional allows the empty value.
	Optional bool
}

// Values holds the checked settings by their present names. Lists are joined by commas.
type Values map[string]string

// List returns a setting of several values, nil if it is empty.
func (v Values) List(name string) []string {
	if v[name] == "" {
		return nil
	}
	return strings.Split(v[name], ",")
}

// Duration returns a setting that CheckDuration accepted, zero if it is empty.
func (v Values) Duration(name string) monotonic.Micros {
	duration, err := time.ParseDuration(v[name])
	if err != nil {
		return 0
	}
	return monotonic.FromDuration(duration)
}

// Int returns a setting that CheckCount or CheckPenalty accepted, zero if it is empty.
func (v Values) Int(name string) int {
	number, err := strconv.Atoi(v[name])
	if err != nil {
		return 0
	}
	return number
}
