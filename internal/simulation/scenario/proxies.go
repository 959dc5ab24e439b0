package scenario

import (
	"fmt"

	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
	"snowflow/internal/simulation/world"
)

// networkProblem is a problem of a proxy's own network. The empty value means none.
type networkProblem string

const (
	// shortDeadlines means that requests time out before any response can arrive.
	shortDeadlines networkProblem = "late"
	// slowNetwork means that every response arrives late because the network delays messages.
	slowNetwork networkProblem = "slow"
)

// proxyNodePrefix is the prefix of the names of the proxies' nodes.
const proxyNodePrefix = "carrier-"

func (m *Mesh) addProxy(index int, seeds []string) {
	name := fmt.Sprintf("%s%d", proxyNodePrefix, index+1)
	m.proxyNames = append(m.proxyNames, name)
	address := name + ":carrier"
	m.World.Add(name, address, name, func(h *world.Host) (host.Handlers, error) {
		resolver := discovery.New(h, nil, m.currentSeeds(seeds))
		handlers := host.Handlers{}
		resolver.Register(handlers)
		h.Go(func() { resolver.Run(monotonic.Second) })
		keyLease := m.topology.KeyLease
		if m.defects.NoKeyLease {
			keyLease = 0
		}
		instance := proxy.New(proxy.Options{
			Host:       h,
			Resolver:   resolver,
			Name:       name,
			Domain:     fmt.Sprintf("zone-%d", index%m.topology.Zones+1),
			Address:    address,
			Upstream:   &simulatedUpstream{mesh: m, host: h},
			ServeStale: m.topology.Timeouts.ServeStale,
			Linger:     m.topology.DrainLinger,
			KeyLease:   keyLease,
			WaitForReplies: func(timeout monotonic.Micros) {
				if m.waitForReplies != nil {
					m.waitForReplies(timeout)
				}
			},
		})
		m.defects.applyTo(instance)
		instance.Register(handlers)
		instance.Start()
		m.proxies[name], m.startedAt[name] = instance, h.Now()
		return handlers, nil
	})
}

// applyTo disables the parts of a proxy that the defects name.
func (d Defects) applyTo(instance *proxy.Proxy) {
	instance.Admission.SkipClaims(d.NoClaims)
	instance.Admission.ClaimPerService(d.ClaimPerService)
	instance.ConfigClient.IgnoreLease(d.NoServingLease)
	instance.Session.SkipDigestChecks(d.UncheckedDirectoryDelta)
	instance.Singleton.IgnoreExpiry(d.IgnoreSingletonExpiry)
	instance.RetryBudget.SetUnlimited(d.NoRetryBudget)
	instance.Breakers.SkipProbeLeases(d.NoProbeLease)
	instance.TrustClock(d.TrustClock)
	instance.Forwarder.DisableRetryAfterJitter(d.SameRetryAfter)
}
