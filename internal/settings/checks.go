package settings

import (
	"errors"
	"fmt"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
)

const (
	maxCount       = 1024
	maxPenalty     = 10_000_000 // microseconds
	maxDuration    = time.Hour
	maxPort        = 65535
	minVoterCount  = 3
	namePatternDoc = "must be a lower-case letter, then up to 62 letters, digits or hyphens"
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// CheckAddress accepts an IP address with a port.
func CheckAddress(value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	if number, err := strconv.Atoi(port); err != nil || number < 1 || number > maxPort {
		return fmt.Errorf("%q is not a port", port)
	}
	return nil
}

// CheckAddresses accepts a list of IP addresses with ports.
func CheckAddresses(value string) error {
	var problems []error
	for _, address := range strings.Split(value, ",") {
		if err := CheckAddress(address); err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", address, err))
		}
	}
	return errors.Join(problems...)
}

// CheckName accepts the name of a process or zone: a lower-case letter, then up to 62 letters, digits or hyphens.
func CheckName(value string) error {
	if !namePattern.MatchString(value) {
		return fmt.Errorf("%q %s", value, namePatternDoc)
	}
	return nil
}

// CheckNames accepts a list of names without duplicates.
func CheckNames(value string) error {
	seen := map[string]bool{}
	var problems []error
	for _, name := range strings.Split(value, ",") {
		if err := CheckName(name); err != nil {
			problems = append(problems, err)
		}
		if seen[name] {
			problems = append(problems, fmt.Errorf("%q is listed twice", name))
		}
		seen[name] = true
	}
	return errors.Join(problems...)
}

// CheckVoters accepts a list of at least three names without duplicates: a group of fewer could not lose a process.
func CheckVoters(value string) error {
	err := CheckNames(value)
	if count := len(strings.Split(value, ",")); count < minVoterCount {
		return errors.Join(fmt.Errorf("%d voters; there must be three at least, so that one may be lost", count), err)
	}
	return err
}

// CheckCount accepts a whole number from 1 to 1024.
func CheckCount(value string) error { return checkRange(value, 1, maxCount) }

// CheckPenalty accepts a number of microseconds from 0 to 10000000.
func CheckPenalty(value string) error { return checkRange(value, 0, maxPenalty) }

func checkRange(value string, least, most int) error {
	number, err := strconv.Atoi(value)
	if err == nil && (number < least || number > most) {
		return fmt.Errorf("%d is not between %d and %d", number, least, most)
	}
	return err
}

// CheckDuration accepts a duration such as 8s, above zero and up to an hour.
func CheckDuration(value string) error {
	duration, err := time.ParseDuration(value)
	if err == nil && (duration <= 0 || duration > maxDuration) {
		return fmt.Errorf("%s must be above 0 and at most 1h", value)
	}
	return err
}

// CheckOneOf returns a check that accepts only the given words.
func CheckOneOf(words ...string) func(value string) error {
	return func(value string) error {
		if !slices.Contains(words, value) {
			return fmt.Errorf("%q is not one of %v", value, words)
		}
		return nil
	}
}

// CheckLevel accepts a log level.
func CheckLevel(value string) error {
	_, err := log.ParseLevel(value)
	return err
}
