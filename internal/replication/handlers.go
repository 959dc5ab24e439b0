package replication

import (
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Register adds the group's handlers.
func (member *Member) Register(table host.Table) {
	host.Handle(table, wire.Kind_register_read, func(ask *wire.RegisterReadAsk) (*wire.RegisterReadTell, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		return member.answerRegisterRead(ask)
	})
	host.Handle(table, wire.Kind_register_promise, func(ask *wire.PromiseAsk) (*wire.PromiseTell, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		return member.answerPromise(ask)
	})
	host.Handle(table, wire.Kind_register_accept, func(ask *wire.AcceptAsk) (*wire.AcceptTell, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		return member.answerAccept(ask)
	})
	host.Handle(table, wire.Kind_tenure_ask, func(ask *wire.TenureAsk) (*wire.TenureTell, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		return member.answerTenure(ask)
	})
	host.Handle(table, wire.Kind_enroll, func(ask *wire.EnrollAsk) (*wire.EnrollTell, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		return member.answerEnroll(ask)
	})
	host.Handle(table, wire.Kind_replicate, func(ask *wire.ReplicateAsk) (*wire.ReplicateTell, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		return member.answerReplicate(ask)
	})
	host.Handle(table, wire.Kind_install, func(ask *wire.InstallAsk) (*wire.InstallTell, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		return member.answerInstall(ask)
	})
	host.Handle(table, wire.Kind_handover, func(ask *wire.HandoverAsk) (*wire.HandoverTell, error) {
		if err := addressed(member, ask.To); err != nil {
			return nil, err
		}
		if member.env.Handed != nil {
			member.env.Handed(ask.Epoch, ask.Content)
		}
		member.lock.Lock()
		member.lastHeard, member.young = -monotonic.Minute, false
		now := member.env.Place.Now()
		if ask.Leaving != "" {
			member.leavers[ask.Leaving] = now
		}
		for _, name := range ask.Waiting {
			member.applicants[name] = applicant{at: now, joined: true}
		}
		member.lock.Unlock()
		member.nudge.Fire()
		return &wire.HandoverTell{Taken: true}, nil
	})
}
