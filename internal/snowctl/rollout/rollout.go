// Package rollout computes the progress of the newest version's roll-out from the status of the configuration stores.
package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"snowflow/internal/configstore"
)

// Progress is the progress of the newest version's roll-out, as the primary configuration store knows it.
type Progress struct {
	Primary string `json:"primary"`
	Version uint64 `json:"version"`
	// Nodes are the proxies that have a lease, sorted by their version, lowest first, and then by adoption time, longest first.
	Nodes    []configstore.LeaseStatus `json:"nodes"`
	UpToDate int                       `json:"there"` // nodes that have the newest version
}

// FromStatuses computes the progress from the statuses of configuration stores, by process name. It returns false if none of them
// serves as primary.
func FromStatuses(statuses map[string]configstore.Status) (Progress, bool) {
	for name, status := range statuses {
		if !status.Core.Serving {
			continue
		}
		progress := Progress{Primary: name, Version: status.Version, Nodes: slices.Clone(status.Leases)}
		slices.SortFunc(progress.Nodes, func(a, b configstore.LeaseStatus) int {
			if a.AdoptedVersion != b.AdoptedVersion {
				return compare(a.AdoptedVersion, b.AdoptedVersion)
			}
			if a.AdoptionMicros != b.AdoptionMicros {
				return compare(b.AdoptionMicros, a.AdoptionMicros)
			}
			return strings.Compare(a.Proxy, b.Proxy)
		})
		for _, node := range progress.Nodes {
			if node.AdoptedVersion >= progress.Version {
				progress.UpToDate++
			}
		}
		return progress, true
	}
	return Progress{}, false
}

// compare orders two different numbers.
func compare[Number uint64 | int64](a, b Number) int {
	if a < b {
		return -1
	}
	return 1
}

// Done reports whether every node has the newest version.
func (p Progress) Done() bool { return p.UpToDate == len(p.Nodes) }

// Line formats the progress as one line, with the node that is furthest behind or was slowest.
func (p Progress) Line() string {
	text := fmt.Sprintf("version %d: %d of %d nodes", p.Version, p.UpToDate, len(p.Nodes))
	if len(p.Nodes) == 0 {
		return text
	}
	slowest := p.Nodes[0]
	if slowest.AdoptedVersion < p.Version {
		return text + fmt.Sprintf(", furthest behind %s at version %d", slowest.Proxy, slowest.AdoptedVersion)
	}
	if slowest.AdoptionMicros > 0 {
		text += fmt.Sprintf(", slowest %s after %s", slowest.Proxy, formatMicros(slowest.AdoptionMicros))
	}
	return text
}

// Table formats a header and a line for each node: its version, how long ago it adopted the version, and how long that took from the
// commit.
func (p Progress) Table() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-24s %10s %12s %12s\n", "node", "version", "ago", "took")
	for _, node := range p.Nodes {
		took := "-" // this primary did not observe both the commit and the adoption
		if node.AdoptionMicros > 0 {
			took = formatMicros(node.AdoptionMicros)
		}
		fmt.Fprintf(&text, "%-24s %10d %12s %12s\n", node.Proxy, node.AdoptedVersion, formatMicros(node.AdoptedForMicros), took)
	}
	return text.String()
}

func formatMicros(micros int64) string {
	duration := time.Duration(micros) * time.Microsecond
	if duration >= 10*time.Second {
		return duration.Round(time.Second).String()
	}
	return duration.Round(100 * time.Microsecond).String()
}
