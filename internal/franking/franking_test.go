package franking_test

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"snowflow/examples"
	"snowflow/internal/franking"
)

// TestDesiredStates keeps transcripts of what is read and refused, and of what services inherit.
func TestDesiredStates(t *testing.T) {
	datadriven.RunTest(t, "testdata/desired", func(t *testing.T, data *datadriven.TestData) string {
		state, faults := franking.Parse([]byte(data.Input))
		var text strings.Builder
		for _, fault := range faults {
			// The JSON library varies its white space on purpose.
			fmt.Fprintln(&text, strings.Join(strings.Fields(fault.String()), " "))
		}
		if data.Cmd == "adopt" {
			text.Reset()
			var err error
			if state, err = franking.Accepted([]byte(data.Input)); err != nil {
				t.Fatal(err)
			}
		} else if len(faults) > 0 {
			return text.String()
		}
		view := franking.Compile(state, 7, "")
		if data.Cmd == "resolve" {
			for _, argument := range data.CmdArgs {
				path, found := view.Resolve("GET", argument.Key)
				if !found {
					fmt.Fprintf(&text, "%s: nowhere\n", argument.Key)
					continue
				}
				fmt.Fprintf(&text, "%s: %s by %s\n", argument.Key, path.Service.Name, path.Prefix)
			}
			return text.String()
		}
		names := []string{}
		for name := range view.Services {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			service := view.Services[name]
			fmt.Fprintf(&text, "%s of %s: window %d, minimum %d, rate %v, wait %d, probes %d, tries %d, cutoff %d\n", name, service.Group,
				service.Guard.GetWindowCalls(), service.Guard.GetMinimumCalls(), service.Guard.GetFailureRate(), service.Guard.GetWaitOpenMicros(),
				service.Guard.GetPermittedHalfOpen(), service.Retry.GetMostTries(), service.Limits.GetCutoffMicros())
		}
		return text.String()
	})
}

// TestExamplesAreValid keeps the shipped examples readable by the validator they are shipped with.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"association", "raahbar", "small"} {
		content, err := examples.Desired(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, faults := franking.Parse(content); len(faults) > 0 {
			t.Errorf("%s: %v", name, faults)
		}
	}
}
