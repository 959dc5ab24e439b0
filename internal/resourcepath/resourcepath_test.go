package resourcepath_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"snowflow/internal/resourcepath"
)

// TestSpellings compares the canonical forms of targets, by which requests are routed, matched with their idempotency keys and forwarded,
// with an approved transcript.
func TestSpellings(t *testing.T) {
	datadriven.RunTest(t, "testdata/spellings", func(t *testing.T, data *datadriven.TestData) string {
		var text strings.Builder
		for _, target := range strings.Split(data.Input, "\n") {
			canonical, err := resourcepath.Parse(target)
			if err != nil {
				fmt.Fprintf(&text, "%s: refused, %v\n", target, err)
				continue
			}
			// Parsing a canonical form must not change it.
			if again, err := resourcepath.Parse(canonical.Encoded); err != nil || again != canonical {
				t.Errorf("%s: %v, then %v %v", target, canonical, again, err)
			}
			fmt.Fprintf(&text, "%s: path %s, resource %s, sent as %s\n", target, canonical.Path, resourcepath.TrimTrailingSlash(canonical.Path), canonical.Encoded)
		}
		return text.String()
	})
}
