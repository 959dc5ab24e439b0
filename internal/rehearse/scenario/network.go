package scenario

import (
	"fmt"
	"time"

	"snowflow/internal/rehearse/fleet"
)

// partition blocks the network between two hosts in both directions.
func (r *Rehearsal) partition(one, other string) {
	r.Fleet.Relays.Block(one, other)
	r.Fleet.Relays.Block(other, one)
}

// delay adds latency to the network between two hosts in both directions.
func (r *Rehearsal) delay(one, other string, duration time.Duration) {
	r.Fleet.Relays.Delay(one, other, duration)
	r.Fleet.Relays.Delay(other, one, duration)
}

func isolateHosts(r *Rehearsal) error {
	if r.Fleet.Relays == nil {
		return errRelaysRequired
	}
	for turn, began := 0, time.Now(); r.withinDuration(began); turn++ {
		victim := randomItem(r.Fleet.Proxies)
		if turn%2 == 1 {
			victim = r.AwaitPrimary(r.Fleet.Registries)
		}
		r.Logf("isolating %s", victim.Name)
		r.isolate(victim, turn%3 != 2)
		r.Wait(5 * time.Second)
		r.Fleet.Relays.Heal()
		r.Wait(4 * time.Second)
	}
	r.awaitRecovery()
	return nil
}

// isolate blocks a host's traffic to all other hosts and, if bothDirections is set, theirs to it.
func (r *Rehearsal) isolate(victim *fleet.Process, bothDirections bool) {
	for _, other := range r.Fleet.All() {
		if other.Host == victim.Host {
			continue
		}
		r.Fleet.Relays.Block(victim.Host, other.Host)
		if bothDirections {
			r.Fleet.Relays.Block(other.Host, victim.Host)
		}
	}
}

func partitionControlPlane(r *Rehearsal) error {
	if r.Fleet.Relays == nil {
		return errRelaysRequired
	}
	r.Wait(r.fractionOfDuration(0.2))
	first := r.Fleet.Registries[0].Host
	for _, other := range r.Fleet.Registries[1:] {
		r.partition(first, other.Host)
	}
	r.Wait(r.fractionOfDuration(0.3))
	r.Fleet.Relays.Heal()
	for _, proxy := range r.Fleet.Proxies {
		for _, registry := range r.Fleet.Registries {
			r.partition(proxy.Host, registry.Host)
		}
	}
	r.Wait(r.fractionOfDuration(0.3))
	r.Fleet.Relays.Heal()
	r.awaitRecovery()
	return nil
}

func partitionIntoHalves(r *Rehearsal) error {
	if r.Fleet.Relays == nil {
		return errRelaysRequired
	}
	if len(r.Fleet.Registries) != 4 {
		return fmt.Errorf("the halves scenario requires a control plane of four hosts, which layout %s does not have", r.Fleet.Layout.Name)
	}
	r.Wait(r.fractionOfDuration(0.2))
	for _, one := range r.Fleet.Registries[:2] {
		for _, other := range r.Fleet.Registries[2:] {
			r.partition(one.Host, other.Host)
		}
	}
	began := time.Now()
	if err := r.applyVariant(1); err != nil {
		r.AddFinding("rule 12: no configuration was accepted in the half with the quorum: %v", err)
	}
	r.Logf("a configuration was acknowledged %d ms after the partition began", time.Since(began).Milliseconds())
	r.Wait(r.fractionOfDuration(0.8))
	r.Fleet.Relays.Heal()
	r.awaitRecovery()
	return nil
}

func impairProxyNetwork(r *Rehearsal) error {
	if r.Fleet.Relays == nil {
		return errRelaysRequired
	}
	victim, relays := r.Fleet.Proxies[1].Host, r.Fleet.Relays
	r.Wait(r.fractionOfDuration(0.2))
	r.History.RecordMarker(markerNetworkDegraded+r.Fleet.Proxies[1].Name, r.Clock.Now())
	for _, impair := range []func(other string){
		func(other string) { relays.Delay(victim, other, 700*time.Millisecond) },
		func(other string) { relays.Corrupt(victim, other); relays.Corrupt(other, victim) },
		func(other string) { relays.Block(victim, other) },
	} {
		for _, other := range r.Fleet.Proxies {
			if other.Host != victim {
				impair(other.Host)
			}
		}
		r.Wait(r.fractionOfDuration(0.2))
		relays.Heal()
	}
	r.History.RecordMarker(markerNetworkRestored, r.Clock.Now())
	r.Wait(r.fractionOfDuration(0.2))
	return nil
}
