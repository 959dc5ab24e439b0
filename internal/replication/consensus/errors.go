package consensus

import (
	"errors"
	"fmt"
)

// Reasons why a voter rejects a proposer or a primary. Their texts are part of the protocol, as the Reason of a response,
// and must not change.
var (
	// ErrNotVoting means that the voter has no register yet, or that it waits for leases that it may have granted before a restart.
	ErrNotVoting = errors.New("not voting yet")
	// ErrClockUnsteady means that the voter's clock may have jumped, so it can't tell whether a lease it granted has ended.
	ErrClockUnsteady = errors.New("the clock may have leapt")
	// ErrLeaseGranted means that another member holds a lease granted by the voter.
	ErrLeaseGranted = errors.New("a tenure stands")
	// ErrStaleProposal means that the voter promised a higher proposal number or accepted a higher epoch of another primary, or that
	// an accept request relies on a promise that is too old or was given by an earlier process.
	ErrStaleProposal = errors.New("a higher ballot was promised")
)

// OutdatedConfigError rejects a request whose voters differ from those of a newer value that the voter has accepted.
type OutdatedConfigError struct {
	// Voters are the voters of the newer value.
	Voters []string
}

func (e *OutdatedConfigError) Error() string {
	return fmt.Sprintf("the voters are others by now: %v", e.Voters)
}

// InitialVotersError rejects a member whose settings name other initial voters. With different voters, two disjoint sets
// of members could each believe that they are a quorum.
type InitialVotersError struct {
	// Remote are the initial voters of the requesting member, Local those of this process.
	Remote, Local []string
}

func (e *InitialVotersError) Error() string {
	return fmt.Sprintf("voters differ: there %v, here %v", e.Remote, e.Local)
}
