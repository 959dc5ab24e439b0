package replication

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// observedRegister is what a member has seen of its group's register, from its own voter and from messages of others. It is a
// hint: the value may have been accepted by a minority only. The zero value has seen nothing. It isn't safe for concurrent use.
type observedRegister struct {
	// value is the newest value seen, nil if there is none. It was accepted under acceptedProposal.
	value            *wire.RegisterValue
	acceptedProposal uint64
	// highestProposal is the highest proposal number seen, also of proposals that were only promised or never chosen.
	highestProposal uint64
}

// observe takes a value and the proposal under which it was accepted, if it is the newest one seen. A nil value is ignored.
func (o *observedRegister) observe(proposal uint64, value *wire.RegisterValue) {
	if value != nil && (o.value == nil || o.acceptedProposal < proposal) {
		o.value, o.acceptedProposal = value, proposal
	}
}

// observeProposal takes a proposal number.
func (o *observedRegister) observeProposal(proposal uint64) {
	o.highestProposal = max(o.highestProposal, proposal)
}

// nextProposal returns a number higher than any seen, with the proposer's ID in its lowest proposerBits bits.
func (o *observedRegister) nextProposal(proposerID uint64) uint64 {
	o.highestProposal = (o.highestProposal>>proposerBits+1)<<proposerBits | proposerID
	return o.highestProposal
}

// leaderContact is what the election timeout of a member that doesn't lead is counted from. It isn't safe for concurrent use.
type leaderContact struct {
	// last is when this process last had a sign of a live primary. It is set to other times to shorten or extend the timeout.
	last monotonic.Micros
	// coldStart is set until the first such sign, or until this member campaigns.
	coldStart bool
}

// record takes a sign of a live primary.
func (c *leaderContact) record(now monotonic.Micros) { c.last, c.coldStart = now, false }

// expire lets the election timeout end now.
func (c *leaderContact) expire() { c.last, c.coldStart = longAgo, false }

// silence returns for how long there was no sign of a primary. It is negative if the election timeout was extended.
func (c *leaderContact) silence(now monotonic.Micros) monotonic.Micros { return now - c.last }
