// Package rollout computes how far the newest version of the desired state has rolled out, from the status of the configuration stores.
package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"snowflow/internal/configstore"
)

// Progress is how far the newest version has rolled out, as the primary configuration store knows it.
type Progress struct {
	Primary string `json:"primary"`
	Version uint64 `json:"version"`
	// Nodes are the proxies that hold a lease, those furthest behind first, then those that took longest.
	Nodes    []configstore.LeaseStatus `json:"nodes"`
	UpToDate int                       `json:"there"` // nodes that have the newest version
}

// FromStatuses finds the primary among the configuration stores' statuses, by name. It gives false if none serves as primary.
func FromStatuses(statuses map[string]configstore.Status) (Progress, bool) {
	for name, status := range statuses {
		if !status.Core.Serving {
			continue
		}
		progress := Progress{Primary: name, Version: status.Version, Nodes: slices.Clone(status.Leases)}
		slices.SortFunc(progress.Nodes, func(one, other configstore.LeaseStatus) int {
			if one.AdoptedVersion != other.AdoptedVersion {
				return compare(one.AdoptedVersion, other.AdoptedVersion)
			}
			if one.AdoptionMicros != other.AdoptionMicros {
				return compare(other.AdoptionMicros, one.AdoptionMicros)
			}
			return strings.Compare(one.Proxy, other.Proxy)
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

func compare[Number uint64 | int64](one, other Number) int {
	if one < other {
		return -1
	}
	return 1
}

// Done reports whether every node has the newest version.
func (p Progress) Done() bool { return p.UpToDate == len(p.Nodes) }

// Line formats the progress in one line.
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

// Table formats a line for each node: its version, how long ago it adopted that, and how long after the commit it acknowledged it.
func (p Progress) Table() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-24s %10s %12s %12s\n", "node", "version", "ago", "took")
	for _, node := range p.Nodes {
		took := "-" // this primary did not see the commit
		if node.AdoptionMicros > 0 {
			took = formatMicros(node.AdoptionMicros)
		}
		fmt.Fprintf(&text, "%-24s %10d %12s %12s\n", node.Proxy, node.AdoptedVersion, formatMicros(node.AdoptedForMicros), took)
	}
	return text.String()
}

func formatMicros(count int64) string {
	duration := time.Duration(count) * time.Microsecond
	if duration >= 10*time.Second {
		return duration.Round(time.Second).String()
	}
	return duration.Round(100 * time.Microsecond).String()
}
