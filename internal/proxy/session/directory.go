package session

import (
	"cmp"
	"slices"

	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/resource"
	"snowflow/internal/transport/wire"
)

// Candidate is one backend that a load balancer may choose.
type Candidate struct {
	Proxy       string // name of the proxy on the backend's host
	Incarnation uint64 // of that proxy
	Address     string // of that proxy
	Domain      string // failure domain of that proxy
	Service     string
	Instance    string
	Slots       uint32 // number of requests that the backend runs at once; zero if unknown
	Warming     bool   // the backend reported that it is still slower than usual
}

// Directory is one version of the live proxies and their backends. It never changes once built.
type Directory struct {
	// Candidates lists the backends of each service, sorted by instance, then by proxy. The second key matters while an
	// instance moves from one proxy to another and both report it.
	Candidates map[string][]Candidate
	// ProxiesByDomain counts the live proxies that are not draining, by failure domain.
	ProxiesByDomain map[string]int
	// Live is the number of live proxies that are not draining.
	Live int
	// Addresses maps the name of each live proxy, draining or not, to its address.
	Addresses map[string]string
}

// UpdateCounts counts the answers by the way in which they updated the directory. Unchanged directories don't count.
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
	for _, one := range set.All() {
		if session, ok := one.Message.(*wire.Session); ok { // a snapshot holds nothing else
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

// Directory returns the newest directory. It is empty, never nil, before the first answer.
func (c *Client) Directory() *Directory {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory
}

// Version identifies the current directory: the server's incarnation that returned it, and its version there. Both are zero
// before the first answer; the version is zero after a rejected delta until the complete directory arrives.
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

// SkipDigestChecks makes the client apply deltas without checking base or digest. It exists so that tests can show that
// the simulation's invariants detect the damage; no program calls it.
func (c *Client) SkipDigestChecks(enabled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot.skipChecks = enabled
}
