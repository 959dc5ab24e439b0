package scenario

import (
	"errors"
	"fmt"
	"slices"

	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/api"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

const (
	// syncTime is how long after its return or its start a core machine still counts as lost.
	syncTime = 4 * monotonic.Second
	// longCut is how long a core machine is cut off on the worst days.
	longCut = 20 * monotonic.Second
)

// order is a content that an operator sent under a version, and may send again.
type order struct {
	version uint64
	content []byte
}

// operators is what the operators of a run have sent.
// Invariant: versions rise along sent, but that one sent again stands as it stood.
type operators struct {
	next uint64
	sent []order
}

// operate has so many operators send orders and read, each at whichever door it likes, until the callers stop too.
func operate(count int, pause monotonic.Micros) func(mesh *Mesh) {
	return func(mesh *Mesh) {
		shared := &operators{next: 1000}
		for range count {
			mesh.Outside.Go(func() {
				for mesh.serving {
					mesh.Outside.Sleep(mesh.span(pause/2, pause*3/2))
					mesh.act(shared)
				}
			})
		}
	}
}

// act makes one call: a read, a new order, another content under the newest number, or an order that was sent before.
func (mesh *Mesh) act(shared *operators) {
	chance := mesh.World.Chance().IntN(10)
	switch {
	case chance < 4 || len(shared.sent) == 0 && chance >= 7:
		mesh.readAt(pick(mesh, mesh.cores))
		return
	case chance < 7:
		shared.next += 1 + mesh.World.Chance().Uint64N(3)
		shared.sent = append(shared.sent, order{shared.next, Desired(mesh.World.Chance().IntN(1 << 20))})
	case chance == 7:
		shared.sent = append(shared.sent, order{shared.next, Desired(mesh.World.Chance().IntN(1 << 20))})
	case chance == 8:
		shared.sent = append(shared.sent, pick(mesh, shared.sent))
	}
	chosen := shared.sent[len(shared.sent)-1]
	mesh.permit(chosen.content)
	// What was left without a clear answer goes again, unchanged, to any door.
	for range 4 {
		if mesh.orderAt(pick(mesh, mesh.cores), chosen) != invariants.Uncertain {
			return
		}
	}
}

// doorOf is the operators' door on a core machine.
func (mesh *Mesh) doorOf(machine string) *world.Node {
	nodes := mesh.coreNodes(machine)
	return nodes[slices.IndexFunc(nodes, func(node *world.Node) bool { return mesh.masters[node.Name] != nil || mesh.sorters[node.Name] == nil })]
}

func (mesh *Mesh) orderAt(machine string, chosen order) invariants.OrderOutcome {
	node, sent := mesh.doorOf(machine), mesh.World.Now()
	var tell *wire.ConfigApplyResponse
	_, err := mesh.Outside.Transact(node.Address, 5*monotonic.Second, func(node *world.Node) ([]byte, error) {
		told, err := mesh.doors[node.Name].Apply(3500*monotonic.Millisecond, &wire.ConfigApplyRequest{Content: chosen.content, Version: chosen.version})
		tell = told
		return nil, err
	})
	outcome := invariants.Uncertain
	switch {
	case err == nil && tell.Outcome == versions.Accepted:
		outcome = invariants.Confirmed
	case err == nil && tell.Outcome == versions.Conflict:
		outcome = invariants.Declined
	case errors.Is(err, api.ErrNotAccepted):
		outcome = invariants.NotTaken
	}
	if happen := mesh.atOrder; outcome == invariants.Confirmed && happen != nil {
		mesh.atOrder = nil
		mesh.World.At(mesh.World.Now(), happen)
	}
	mesh.History.Order(invariants.Order{Door: node.Name, Version: chosen.version, Digest: config.Digest(chosen.content), Sent: sent, Ended: mesh.World.Now(), Outcome: outcome})
	return outcome
}

func (mesh *Mesh) readAt(machine string) {
	node, sent := mesh.doorOf(machine), mesh.World.Now()
	var kept *wire.StoredConfig
	_, err := mesh.Outside.Transact(node.Address, 3*monotonic.Second, func(node *world.Node) ([]byte, error) {
		found, err := mesh.doors[node.Name].Latest(900 * monotonic.Millisecond)
		kept = found
		return nil, err
	})
	read := invariants.Order{Door: node.Name, Read: true, Sent: sent, Ended: mesh.World.Now(), Outcome: invariants.Uncertain}
	if err == nil && kept != nil && kept.Version >= 1000 {
		read.Version, read.Digest, read.Outcome = kept.Version, config.Digest(kept.Content), invariants.Confirmed
	}
	mesh.History.Order(read)
}

// primaryOr is the machine of the postmasters' primary two times in three, or else any core machine.
func (mesh *Mesh) primaryOr() string {
	if node := mesh.leader("postmaster"); node != nil && mesh.World.Chance().IntN(3) > 0 {
		return node.Machine
	}
	return pick(mesh, mesh.cores)
}

// cutOffFor cuts a core machine off from some others, both ways or one.
func (mesh *Mesh) cutOffFor(machine string, others []string, span monotonic.Micros) {
	way := mesh.World.Chance().IntN(3)
	for _, other := range others {
		switch way {
		case 0:
			mesh.cutFor(machine, other, false, span)
		case 1:
			mesh.cutFor(other, machine, false, span)
		default:
			mesh.cutFor(machine, other, true, span)
		}
	}
}

// untilCalm puts the next loss off until all that is lost now counts no more.
func (mesh *Mesh) untilCalm(span monotonic.Micros) {
	mesh.lossFrom = max(mesh.lossFrom, mesh.World.Now()+span+syncTime)
}

// within brings a fault about only where a loss is allowed now, and says for how long it counts as one.
func within(name string, span monotonic.Micros, bring func(mesh *Mesh)) fault {
	return fault{name, func(mesh *Mesh) {
		if mesh.World.Now() < mesh.lossFrom {
			return
		}
		mesh.untilCalm(span)
		bring(mesh)
	}}
}

var (
	longCutCore = within("cut a core machine off for twenty seconds", longCut, func(mesh *Mesh) {
		mesh.cutOffFor(mesh.primaryOr(), mesh.cores, longCut)
	})
	longCutAll = within("cut a core machine off from everybody for twenty seconds", longCut, func(mesh *Mesh) {
		victim := mesh.primaryOr()
		mesh.cutOffFor(victim, slices.Concat(mesh.cores, mesh.carriers, []string{"outside"}), longCut)
	})
	restartInCut = within("cut a core machine off and restart it meanwhile", longCut, func(mesh *Mesh) {
		victim := mesh.primaryOr()
		mesh.cutOffFor(victim, mesh.cores, longCut)
		mesh.later(mesh.span(monotonic.Second, longCut), func() { mesh.down(mesh.coreNodes(victim), 500*monotonic.Millisecond, mesh.World.Kill) })
	})
	relieveCut = within("cut a core machine off, and kill the others' processes as it comes back", longCut+monotonic.Second, func(mesh *Mesh) {
		victim := mesh.primaryOr()
		mesh.cutOffFor(victim, mesh.cores, longCut)
		mesh.later(longCut+100*monotonic.Millisecond, func() {
			for _, machine := range mesh.cores {
				if machine != victim {
					mesh.down(mesh.coreNodes(machine), monotonic.Second, mesh.World.Kill)
				}
			}
		})
	})
	// Of those that didn't miss the changes, one loses its disk and the others are dark while the cut heals.
	behindCut = within("a core machine misses changes, and the others are dark as it comes back", 16*monotonic.Second, func(mesh *Mesh) {
		victim, away := mesh.primaryOr(), 10*monotonic.Second
		others := slices.DeleteFunc(slices.Clone(mesh.cores), func(name string) bool { return name == victim })
		mesh.cutOffFor(victim, mesh.cores, away)
		mesh.later(away-monotonic.Second, func() {
			wiped := pick(mesh, others)
			for _, machine := range others {
				end := mesh.World.PowerLoss
				if machine == wiped {
					end = mesh.World.LoseDisk
				}
				mesh.down(mesh.coreNodes(machine), 3*monotonic.Second, end)
			}
		})
	})
	halves = within("cut the core into halves", longCut, func(mesh *Mesh) {
		half := mesh.cores[:len(mesh.cores)/2]
		for _, one := range half {
			for _, other := range mesh.cores[len(mesh.cores)/2:] {
				mesh.cutFor(one, other, true, longCut)
			}
		}
	})
	// At the moment in which an operator is told that its order was taken.
	diskAtOrder = fault{"lose the disk of the postmasters' primary at an acknowledgement", func(mesh *Mesh) {
		mesh.atOrder = func() {
			if node := mesh.leader("postmaster"); node != nil && mesh.World.Now() >= mesh.lossFrom {
				mesh.untilCalm(4 * monotonic.Second)
				mesh.down(mesh.coreNodes(node.Machine), mesh.span(200*monotonic.Millisecond, 4*monotonic.Second), mesh.World.LoseDisk)
			}
		}
	}}
	// The disk of one is lost at that moment, and all others lose power.
	diskAndPowerAtOrder = fault{"lose a disk at an acknowledgement, and the power of all others", func(mesh *Mesh) {
		mesh.atOrder = func() {
			if mesh.World.Now() < mesh.lossFrom {
				return
			}
			mesh.untilCalm(4 * monotonic.Second)
			victim := mesh.primaryOr()
			mesh.down(mesh.coreNodes(victim), mesh.span(200*monotonic.Millisecond, 2*monotonic.Second), mesh.World.LoseDisk)
			killEverything.bring(mesh)
		}
	}}
	slowOneDisk     = within("slow a core disk, alone", 8*monotonic.Second, slowDisk.bring)
	plannedExchange = within("exchange a core machine as planned", 8*monotonic.Second, func(mesh *Mesh) { mesh.exchangePlanned() })
	// The successor is in step before the old machine ends, so nothing counts as lost when the next loss comes, in that very moment.
	lossAtExchange = within("exchange a core machine as planned, and lose another's disk as the old one ends", 2*syncTime+4*monotonic.Second, func(mesh *Mesh) {
		oldest := mesh.cores[0]
		mesh.come()
		mesh.later(syncTime+500*monotonic.Millisecond, func() {
			mesh.leaveForGood(oldest, func() {
				victim := mesh.primaryOr()
				mesh.down(mesh.coreNodes(victim), mesh.span(500*monotonic.Millisecond, 2*monotonic.Second), mesh.World.LoseDisk)
			})
		})
	})
	lossForGood      = within("lose a core machine for good", monotonic.Second, func(mesh *Mesh) { mesh.loseForGood() })
	diskThenExchange = within("lose a disk, and exchange a machine right after its return", 10*monotonic.Second, func(mesh *Mesh) {
		mesh.down(mesh.coreNodes(mesh.primaryOr()), 500*monotonic.Millisecond, mesh.World.LoseDisk)
		mesh.later(500*monotonic.Millisecond+syncTime, func() { mesh.exchangePlanned() })
	})
)

// exchangePlanned has a successor start, and the machine that served longest stop as planned some seconds later, for good.
func (mesh *Mesh) exchangePlanned() {
	oldest := mesh.cores[0]
	mesh.come()
	mesh.later(mesh.span(monotonic.Second, 5*monotonic.Second), func() { mesh.leaveForGood(oldest, func() {}) })
}

// loseForGood ends a core machine for good; an empty successor starts a second later.
func (mesh *Mesh) loseForGood() {
	mesh.retire(pick(mesh, mesh.cores))
	mesh.later(monotonic.Second, mesh.come)
}

// leaveForGood stops a core machine's processes as planned, removes the machine once they have ended, and has something happen then.
func (mesh *Mesh) leaveForGood(machine string, then func()) {
	running := len(mesh.coreNodes(machine))
	for _, node := range mesh.coreNodes(machine) {
		mesh.Outside.Go(func() {
			_, _ = mesh.Outside.Transact(node.Address, 6*monotonic.Second, func(*world.Node) ([]byte, error) {
				mesh.member(node.Name).Leave("planned stop", 3*monotonic.Second)
				return nil, nil
			})
			if running--; running == 0 {
				mesh.World.At(mesh.World.Now(), func() {
					mesh.retire(machine)
					then()
				})
			}
		})
	}
}

// worstSizes is a core as the platform has it: found at its first start only, a few configurations kept, carriers that serve on.
func worstSizes(cores, copies int) Sizes {
	return Sizes{Cores: cores, Carriers: 2, Zones: 2, Backends: 1, Found: true, Copies: copies, Gone: syncTime / 2, History: 3, Bounds: configstore.Timeouts{ServeStale: true}}
}

// worstDay is a course of the control side's troubles alone, among operators that order and read at every door.
func worstDay(name, short string, cores, copies int, faults ...fault) Course {
	return Course{Name: name, Short: short, Sizes: worstSizes(cores, copies), Length: 100 * monotonic.Second, Rate: 10, Every: 9 * monotonic.Second, Rules: []int{1, 3, 12},
		Prepare: func(mesh *Mesh) { mesh.serving = true; operate(4, 600*monotonic.Millisecond)(mesh) }, Faults: faults, First: faults[:min(3, len(faults))], Checks: []invariants.Check{invariants.OrdersKept}}
}

func init() {
	for _, size := range []struct{ cores, copies int }{{3, 2}, {4, 2}, {5, 3}} {
		suffix := fmt.Sprint("-", size.cores)
		add(worstDay("cut-off"+suffix, "core machines cut off for twenty seconds, restarted meanwhile, and what comes as they return", size.cores, size.copies,
			longCutCore, restartInCut, relieveCut, longCutAll, behindCut, halves, freezeLeader, killLeader, killAllCore))
		add(worstDay("exchanges"+suffix, "core machines exchanged as planned and lost for good, right after one another", size.cores, size.copies,
			lossAtExchange, plannedExchange, lossForGood, lossAtExchange, diskThenExchange, diskAtOrder, killAllCore, diskAndPowerAtOrder, slowOneDisk, longCutCore))
		add(worstDay("many-changes"+suffix, "hundreds of changes, members that restart behind, lose their disks or find them damaged", size.cores, size.copies,
			diskAtOrder, killLeader, behindCut, diskAndPowerAtOrder, killCore, powerLoss, loseDisk, damageDisk, fullDisk, failSync, killAllCore))
	}
}
