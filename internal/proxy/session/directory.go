package session

import (
	"cmp"
	"slices"

	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/resource"
	"snowflow/internal/transport/wire"
)

// Candidate is a backend that a load balancer may choose.
type Candidate struct {
	Proxy       string // name of the proxy on the backend's host
	Incarnation uint64 // of that proxy
	Address     string // of that proxy
	Domain      string // failure domain of that proxy
	Service     string
	Instance    string
	Slots       uint32 // number of requests that the backend runs concurrently; zero if unknown
	Warming     bool   // the backend reported that it is still warming up and slower than usual
}

// Directory is one version of the live proxies and their backends. It is immutable.
type Directory struct {
	// Candidates lists the backends of each service, sorted by instance, then by proxy: while an instance moves from one
	// proxy to another, both report it.
	Candidates map[string][]Candidate
	// ProxiesByDomain counts the live proxies that are not draining, by failure domain.
	ProxiesByDomain map[string]int
	// Live is the number of live proxies that are not draining.
	Live int
	// Addresses maps the name of each live proxy, draining or not, to its address.
	Addresses map[string]string
}

// UpdateCounts counts the responses by how they updated the directory. Those without a change are not counted. The JSON keys keep
// their former names.
type UpdateCounts struct {
	Deltas    uint64 `json:"changes"`
	Snapshots uint64 `json:"wholes"`
	Rejected  uint64 `json:"refused"` // deltas that could not be applied
}

// NewDirectory returns the directory of the given sessions.
func NewDirectory(sessions []*wire.Session) *Directory {
	full := fullSnapshot(sessions)
	return buildDirectory(full.set)
}

func buildDirectory(set *resource.Set) *Directory {
	directory := &Directory{Candidates: map[string][]Candidate{}, ProxiesByDomain: map[string]int{}, Addresses: map[string]string{}}
	for _, entry := range set.All() {
		if session, ok := entry.Message.(*wire.Session); ok { // a snapshot holds nothing else
			directory.add(session)
		}
	}
	for _, candidates := range directory.Candidates {
		slices.SortFunc(candidates, func(one, other Candidate) int {
			if order := cmp.Compare(one.Instance, other.Instance); order != 0 {
				return order
			}
			return cmp.Compare(one.Proxy, other.Proxy)
		})
	}
	return directory
}

func (d *Directory) add(session *wire.Session) {
	d.Addresses[session.Proxy] = session.Address
	if session.Leaving {
		return
	}
	d.ProxiesByDomain[session.Domain]++
	d.Live++
	for _, backend := range session.Backends {
		if backend.Condition != localbackends.Alive && backend.Condition != localbackends.Working {
			continue
		}
		d.Candidates[backend.Service] = append(d.Candidates[backend.Service], Candidate{
			Proxy:       session.Proxy,
			Incarnation: session.Incarnation,
			Address:     session.Address,
			Domain:      session.Domain,
			Service:     backend.Service,
			Instance:    backend.Instance,
			Slots:       backend.Slots,
			Warming:     backend.SlowStart > 0,
		})
	}
}

// Directory returns the newest directory. Before the first response it is empty, but not nil.
func (c *Client) Directory() *Directory {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory
}

// Version identifies the current directory by the server incarnation that returned it and the version there. Both are zero
// before the first response; the version is also zero from a rejected delta until the complete directory arrives.
func (c *Client) Version() (source, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot.source, c.snapshot.version
}

// UpdateCounts returns the counts of directory updates since the start of the process.
func (c *Client) UpdateCounts() UpdateCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.updates
}

// SkipDigestChecks makes the client apply deltas without checking their base or digest. Tests use it to show that the
// simulation's invariants detect a wrong directory; no program calls it.
func (c *Client) SkipDigestChecks(enabled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot.skipChecks = enabled
}
