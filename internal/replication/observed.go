package replication

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// observedRegister is what a member has seen of its group's register, at its own voter and in messages from others. It is only a
// hint: the value may have been accepted by just a minority. The zero value has seen nothing. It isn't safe for concurrent use.
type observedRegister struct {
	// value is the newest value seen, or nil if there is none. It was accepted under acceptedProposal.
	value            *wire.RegisterValue
	acceptedProposal uint64
	// highestProposal is the highest proposal number seen, including proposals that were only promised or never chosen.
	highestProposal uint64
}

// observe records a value, and the proposal under which it was accepted, if it is the newest one seen. It ignores a nil value.
func (o *observedRegister) observe(proposal uint64, value *wire.RegisterValue) {
	if value != nil && (o.value == nil || o.acceptedProposal < proposal) {
		o.value, o.acceptedProposal = value, proposal
	}
}

// observeProposal records a proposal number.
func (o *observedRegister) observeProposal(proposal uint64) {
	o.highestProposal = max(o.highestProposal, proposal)
}

// nextProposal returns a proposal number higher than any seen, with the proposer's ID in its lowest proposerBits bits.
func (o *observedRegister) nextProposal(proposerID uint64) uint64 {
	o.highestProposal = (o.highestProposal>>proposerBits+1)<<proposerBits | proposerID
	return o.highestProposal
}

// leaderContact determines when the election timeout of a member that doesn't lead starts. It isn't safe for concurrent use.
type leaderContact struct {
	// last is when this process last had evidence of a live primary. It is set to other times to shorten or extend the timeout.
	last monotonic.Micros
	// coldStart is set until the first such evidence, or until this member campaigns.
	coldStart bool
}

// record records evidence of a live primary.
func (c *leaderContact) record(now monotonic.Micros) { c.last, c.coldStart = now, false }

// expire ends the election timeout now.
func (c *leaderContact) expire() { c.last, c.coldStart = longAgo, false }

// silence returns how long there has been no evidence of a live primary. It is negative if the election timeout was extended.
func (c *leaderContact) silence(now monotonic.Micros) monotonic.Micros { return now - c.last }
