package consensus

import (
	"errors"
	"fmt"
)

// Reasons for which a voter rejects a proposer or a primary. Their texts are sent as the Reason of a response, so they
// stay as they are.
var (
	// ErrNotVoting means that the voter has no register yet, or restarted and may have granted a lease that hasn't ended.
	ErrNotVoting = errors.New("not voting yet")
	// ErrClockUnsteady means that the voter's clock may have jumped, so it can't tell whether a lease it granted has ended.
	ErrClockUnsteady = errors.New("the clock may have leapt")
	// ErrLeaseGranted means that another member holds a lease granted by the voter.
	ErrLeaseGranted = errors.New("a tenure stands")
	// ErrStaleProposal means that the voter promised a higher proposal number, or accepted a higher epoch of another primary; or the
	// promise that an accept request relies on is too old or from an earlier process.
	ErrStaleProposal = errors.New("a higher ballot was promised")
)

// OutdatedConfigError is returned to a member whose request names other voters than a newer value, which the voter accepted.
type OutdatedConfigError struct {
	// Voters are those of the newer value.
	Voters []string
}

func (e *OutdatedConfigError) Error() string {
	return fmt.Sprintf("the voters are others by now: %v", e.Voters)
}

// InitialVotersError is returned to a member whose settings name other initial voters. Members of two groups of voters
// could each believe they had a quorum.
type InitialVotersError struct {
	// Remote are the voters of the requesting member, Local those of this process.
	Remote, Local []string
}

func (e *InitialVotersError) Error() string {
	return fmt.Sprintf("voters differ: there %v, here %v", e.Remote, e.Local)
}
