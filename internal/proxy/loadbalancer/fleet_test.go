package loadbalancer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/session"
	"snowflow/internal/simulation/world"
)

// fleet simulates a service and its callers with a real balancer at each caller, and real slots and outlier detection at each
// backend's proxy. Only the network between them and the backends' work are replaced by sleeps in simulated time.
type fleet struct {
	node      *world.Host
	random    *rand.Rand
	startedAt monotonic.Micros
	backends  *localbackends.Set
	directory *session.Directory
}

// runFleet lets body set up a fleet on a simulated host, and runs it for the duration.
func runFleet(t *testing.T, seed uint64, duration monotonic.Micros, body func(fleet *fleet)) {
	t.Helper()
	simulated := world.New(seed)
	defer simulated.Close()
	simulated.Start(simulated.Add("one", "one", "one", func(node *world.Host) (host.Handlers, error) {
		body(&fleet{
			node:      node,
			random:    simulated.Rand(),
			startedAt: node.Now(),
			backends:  localbackends.New(node, func() {}),
			directory: &session.Directory{Candidates: map[string][]session.Candidate{}, ProxiesByDomain: map[string]int{}},
		})
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + duration)
	if simulated.Panicked != nil {
		t.Fatal(simulated.Panicked)
	}
}

// domainOf assigns the domains in turn.
func domainOf(index, domains int) string { return fmt.Sprint("zone-", index%domains) }

// addBackends adds backends, distributed over the domains, and starts their periodic reports to their proxies.
func (f *fleet) addBackends(names []string, slots uint32, domains int) {
	report := func(sequence uint64) {
		for _, name := range names {
			_, _ = f.backends.ApplyReport(localbackends.Report{Backend: localbackends.Backend{Service: "forms", Instance: name, Address: name}, Slots: slots, Condition: localbackends.Alive, Sequence: sequence})
		}
	}
	report(1)
	for index, name := range names {
		f.directory.Candidates["forms"] = append(f.directory.Candidates["forms"], session.Candidate{Proxy: "proxy-" + name, Domain: domainOf(index, domains), Service: "forms", Instance: name, Slots: slots})
	}
	f.node.Go(func() {
		for sequence := uint64(2); ; sequence++ {
			f.node.Sleep(2 * monotonic.Second)
			report(sequence)
		}
	})
}

// addCaller adds a caller in a domain, which sends requests at exponentially distributed intervals with the given mean in
// microseconds. newRequest draws the random values of a request and returns the function that sends it.
func (f *fleet) addCaller(domain string, crossDomainPenalty monotonic.Micros, meanInterval float64, newRequest func(balancer *Balancer) (send func())) {
	f.directory.ProxiesByDomain[domain]++
	f.directory.Live++
	balancer := New(Config{Host: f.node, Domain: domain, CrossDomainPenalty: crossDomainPenalty})
	f.node.Go(func() {
		for {
			f.node.Sleep(monotonic.Micros(f.random.ExpFloat64() * meanInterval))
			f.node.Go(func() { newRequest(balancer)() })
		}
	})
}

// uniformServiceTime draws a service time from [minimum, minimum+width) microseconds.
func (f *fleet) uniformServiceTime(minimum, width int) monotonic.Micros {
	return monotonic.Micros(minimum + f.random.IntN(width))
}
