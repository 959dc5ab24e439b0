package scenario

import (
	"slices"
	"testing"
)

// TestDeprecatedNames: a name of an earlier release still finds its scenario, and is not listed any more.
func TestDeprecatedNames(t *testing.T) {
	for deprecated, present := range deprecatedNames {
		t.Run(deprecated, func(t *testing.T) {
			found, err := Find(deprecated)
			if err != nil || found.Name != present {
				t.Errorf("found %q, %v, instead of %q", found.Name, err, present)
			}
			if slices.Contains(Names(), deprecated) {
				t.Error("the deprecated name is listed")
			}
		})
	}
	if _, err := Find("flood"); err == nil {
		t.Error("an unknown scenario is found")
	}
}
