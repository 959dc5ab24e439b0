package replication

import (
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Register adds the group's handlers.
func (member *Member) Register(table host.Table) {
	host.Handle(table, wire.Kind_register_read, func(ask *wire.RegisterReadRequest) (*wire.RegisterReadResponse, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		return member.answerRegisterRead(ask)
	})
	host.Handle(table, wire.Kind_prepare, func(ask *wire.PrepareRequest) (*wire.PrepareResponse, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		return member.answerPromise(ask)
	})
	host.Handle(table, wire.Kind_accept, func(ask *wire.AcceptRequest) (*wire.AcceptResponse, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		return member.answerAccept(ask)
	})
	host.Handle(table, wire.Kind_lease, func(ask *wire.LeaseRequest) (*wire.LeaseResponse, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		return member.answerTenure(ask)
	})
	host.Handle(table, wire.Kind_join, func(ask *wire.JoinRequest) (*wire.JoinResponse, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		return member.answerEnroll(ask)
	})
	host.Handle(table, wire.Kind_replicate, func(ask *wire.ReplicateRequest) (*wire.ReplicateResponse, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		return member.answerReplicate(ask)
	})
	host.Handle(table, wire.Kind_install_snapshot, func(ask *wire.InstallSnapshotRequest) (*wire.InstallSnapshotResponse, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		return member.answerInstall(ask)
	})
	host.Handle(table, wire.Kind_handover, func(ask *wire.HandoverRequest) (*wire.HandoverResponse, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		if member.env.Handed != nil {
			member.env.Handed(ask.Epoch, ask.Content)
		}
		member.lock.Lock()
		member.lastHeard, member.young = -monotonic.Minute, false
		now := member.env.Place.Now()
		if ask.LeavingMember != "" {
			member.leavers[ask.LeavingMember] = now
		}
		for _, name := range ask.WaitingMembers {
			member.applicants[name] = applicant{at: now, joined: true}
		}
		member.lock.Unlock()
		member.nudge.Fire()
		return &wire.HandoverResponse{Accepted: true}, nil
	})
}
