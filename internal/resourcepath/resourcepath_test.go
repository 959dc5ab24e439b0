package resourcepath_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"snowflow/internal/resourcepath"
)

// TestSpellings approves a transcript of targets as clients send them, and the canonical forms by which they are routed, matched
// with their idempotency keys and forwarded.
func TestSpellings(t *testing.T) {
	datadriven.RunTest(t, "testdata/spellings", func(t *testing.T, data *datadriven.TestData) string {
		var text strings.Builder
		for _, target := range strings.Split(data.Input, "\n") {
			address, err := resourcepath.Parse(target)
			if err != nil {
				fmt.Fprintf(&text, "%s: refused, %v\n", target, err)
				continue
			}
			// A canonical form is its own canonical form.
			if again, err := resourcepath.Parse(address.Encoded); err != nil || again != address {
				t.Errorf("%s: %v, then %v %v", target, address, again, err)
			}
			fmt.Fprintf(&text, "%s: path %s, resource %s, sent as %s\n", target, address.Path, resourcepath.TrimTrailingSlash(address.Path), address.Encoded)
		}
		return text.String()
	})
}
