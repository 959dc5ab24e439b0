package invariants

import (
	"slices"

	"snowflow/internal/monotonic"
)

// OrderOutcome is what an operator was told of an order.
type OrderOutcome string

// The outcomes of orders.
const (
	Confirmed OrderOutcome = "confirmed" // taken, or nothing to be changed
	Declined  OrderOutcome = "declined"  // refused for good: the version stands for another content
	NotTaken  OrderOutcome = "not taken" // no primary has it, and none will
	Uncertain OrderOutcome = "uncertain"
)

// Order is one call of an operator as it saw it: a content sent under a version of its own, or a read of the newest one.
type Order struct {
	Door    string // the process that was asked
	Read    bool
	Version uint64 // sent, or read
	Digest  string
	Sent    monotonic.Micros
	Ended   monotonic.Micros
	Outcome OrderOutcome // of a read: Confirmed if it gave a content
}

// Order notes an operator's call.
func (history *History) Order(order Order) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.Orders = append(history.Orders, order)
}

// OrdersKept holds operators' calls to what one copy that never fails would tell: whoever reads gets everything that was confirmed before it asked,
// a number stands for one content, what was confirmed is confirmed again, and what was declined or not taken never shows.
var OrdersKept = Check{"orders kept", ordersKept}

func ordersKept(history *History) (findings []Finding, seen int) {
	var confirmed, reads []Order
	for _, order := range history.Orders {
		switch {
		case order.Outcome != Confirmed:
		case order.Read:
			reads = append(reads, order)
		default:
			confirmed = append(confirmed, order)
		}
	}
	findings = append(findings, oneContent(confirmed)...)
	findings = append(findings, declinedForGood(history.Orders, confirmed)...)
	findings = append(findings, readsAreNew(confirmed, reads)...)
	findings = append(findings, readsAreTrue(history.Orders, confirmed, reads)...)
	return findings, min(len(confirmed), len(reads))
}

func oneContent(confirmed []Order) (findings []Finding) {
	stands := map[uint64]string{}
	for _, order := range confirmed {
		if digest, known := stands[order.Version]; known && digest != order.Digest {
			findings = append(findings, fault("version %d was confirmed with two contents, the second by %s at %d", order.Version, order.Door, order.Ended))
		}
		stands[order.Version] = order.Digest
	}
	return findings
}

// same tells whether two orders sent the same content under the same version.
func same(one, other Order) bool { return one.Version == other.Version && one.Digest == other.Digest }

func declinedForGood(orders, confirmed []Order) (findings []Finding) {
	for _, order := range orders {
		if order.Read || order.Outcome != Declined {
			continue
		}
		if slices.ContainsFunc(confirmed, func(other Order) bool { return same(order, other) }) {
			findings = append(findings, fault("version %d was both confirmed and declined, with one content, declined by %s at %d", order.Version, order.Door, order.Ended))
		}
	}
	return findings
}

func readsAreNew(confirmed, reads []Order) (findings []Finding) {
	for _, read := range reads {
		for _, order := range confirmed {
			if order.Ended <= read.Sent && order.Version > read.Version {
				findings = append(findings, fault("%s gave version %d at %d, asked at %d; %d was confirmed at %d", read.Door, read.Version, read.Ended, read.Sent, order.Version, order.Ended))
				break
			}
		}
		for _, earlier := range reads {
			if earlier.Ended <= read.Sent && earlier.Version > read.Version {
				findings = append(findings, fault("%s gave version %d at %d, asked at %d; %s had given %d at %d", read.Door, read.Version, read.Ended, read.Sent, earlier.Door, earlier.Version, earlier.Ended))
				break
			}
		}
	}
	return findings
}

func readsAreTrue(orders, confirmed, reads []Order) (findings []Finding) {
	for _, read := range reads {
		possible := slices.ContainsFunc(orders, func(order Order) bool {
			return !order.Read && same(order, read) && (order.Outcome == Confirmed || order.Outcome == Uncertain)
		})
		other := slices.ContainsFunc(confirmed, func(order Order) bool { return order.Version == read.Version && order.Digest != read.Digest })
		if !possible || other {
			findings = append(findings, fault("%s gave a content for version %d at %d that was never taken", read.Door, read.Version, read.Ended))
		}
	}
	return findings
}
