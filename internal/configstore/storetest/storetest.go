// Package storetest runs a simulated group of configuration stores for tests.
package storetest

import (
	"fmt"

	"snowflow/internal/configstore"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

const (
	// Stores is the number of configuration stores in a cluster, all of which are voters.
	Stores = 3

	// startupTime is enough for the group to elect a primary, and for the primary to acknowledge applies: until then a proxy might
	// hold a lease of an earlier primary.
	startupTime = 20 * monotonic.Second
	// resolverInterval is the interval at which the outside process looks for the primary.
	resolverInterval = 300 * monotonic.Millisecond
)

// Cluster is a simulated group of configuration stores and a process outside the group.
type Cluster struct {
	World *world.World
	// Outside is the host of the process outside the group, and Resolver finds the primary for it.
	Outside  *world.Host
	Resolver *discovery.Resolver
}

// Start starts a cluster and runs it until the primary acknowledges applies without delay. It sets the options Host, Resolver, Name,
// Voters and Bootstrap for each store. The caller must close World.
func Start(options configstore.Options) *Cluster {
	c := &Cluster{World: world.New(1)}
	for index := range Stores {
		options.Voters = append(options.Voters, Name(index))
	}
	addresses := make([]string, Stores)
	for index := range addresses {
		addresses[index] = fmt.Sprintf("machine-%d:store", index+1)
	}
	for index, name := range options.Voters {
		machine := fmt.Sprintf("machine-%d", index+1)
		c.World.Start(c.World.Add(name, addresses[index], machine, func(h *world.Host) (host.Handlers, error) {
			return startStore(h, name, options, addresses)
		}))
	}
	c.World.Start(c.World.Add("outside", "outside", "outside", func(h *world.Host) (host.Handlers, error) {
		c.Outside, c.Resolver = h, discovery.New(h, nil, addresses)
		h.Go(func() { c.Resolver.Run(resolverInterval) })
		return host.Handlers{}, nil
	}))
	c.Run(startupTime)
	return c
}

// Name returns the name of the store with an index, which counts from zero.
func Name(index int) string { return fmt.Sprintf("store-%d", index+1) }

// startStore opens and starts one store of the cluster.
func startStore(h *world.Host, name string, options configstore.Options, addresses []string) (host.Handlers, error) {
	resolver := discovery.New(h, &wire.PeerAddress{Name: name, Address: h.Node().Address, Group: configstore.Group}, addresses)
	handlers := host.Handlers{}
	resolver.Register(handlers)
	h.Go(func() { resolver.Run(monotonic.Second) })
	options.Host, options.Resolver, options.Name, options.Bootstrap = h, resolver, name, true
	server, err := configstore.Open(options)
	if err != nil {
		return nil, err
	}
	server.Register(handlers)
	server.Start()
	return handlers, nil
}

// Run runs the simulation for the given simulated time.
func (c *Cluster) Run(duration monotonic.Micros) { c.World.Run(c.World.Now() + duration) }

// PrimaryName returns the name of the primary that the outside process knows, or an empty string.
func (c *Cluster) PrimaryName() string { return c.Resolver.PrimaryName(configstore.Group) }
