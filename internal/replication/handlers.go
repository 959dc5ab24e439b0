package replication

import (
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Register adds the group's handlers.
func (m *Member) Register(table host.Handlers) {
	host.Handle(table, wire.Kind_register_read, func(request *wire.RegisterReadRequest) (*wire.RegisterReadResponse, error) {
		if err := checkAddressee(m, request.To); err != nil {
			return nil, err
		}
		return m.handleRegisterRead(request)
	})
	host.Handle(table, wire.Kind_prepare, func(request *wire.PrepareRequest) (*wire.PrepareResponse, error) {
		if err := checkAddressee(m, request.To); err != nil {
			return nil, err
		}
		return m.handlePrepare(request)
	})
	host.Handle(table, wire.Kind_accept, func(request *wire.AcceptRequest) (*wire.AcceptResponse, error) {
		if err := checkAddressee(m, request.To); err != nil {
			return nil, err
		}
		return m.handleAccept(request)
	})
	host.Handle(table, wire.Kind_lease, func(request *wire.LeaseRequest) (*wire.LeaseResponse, error) {
		if err := checkAddressee(m, request.To); err != nil {
			return nil, err
		}
		return m.handleLease(request)
	})
	host.Handle(table, wire.Kind_join, func(request *wire.JoinRequest) (*wire.JoinResponse, error) {
		if err := checkAddressee(m, request.To); err != nil {
			return nil, err
		}
		return m.handleJoin(request)
	})
	host.Handle(table, wire.Kind_replicate, func(request *wire.ReplicateRequest) (*wire.ReplicateResponse, error) {
		if err := checkAddressee(m, request.To); err != nil {
			return nil, err
		}
		return m.handleReplicate(request)
	})
	host.Handle(table, wire.Kind_install_snapshot, func(request *wire.InstallSnapshotRequest) (*wire.InstallSnapshotResponse, error) {
		if err := checkAddressee(m, request.To); err != nil {
			return nil, err
		}
		return m.handleInstall(request)
	})
	host.Handle(table, wire.Kind_handover, func(request *wire.HandoverRequest) (*wire.HandoverResponse, error) {
		if err := checkAddressee(m, request.To); err != nil {
			return nil, err
		}
		if m.config.OnHandover != nil {
			m.config.OnHandover(request.Epoch, request.Content)
		}
		m.mu.Lock()
		m.lastLeaderContact, m.coldStart = -monotonic.Minute, false
		now := m.config.Host.Now()
		if request.LeavingMember != "" {
			m.leaving[request.LeavingMember] = now
		}
		for _, name := range request.WaitingMembers {
			m.standbys[name] = standby{lastContact: now, hasRegister: true}
		}
		m.mu.Unlock()
		m.wakeup.Fire()
		return &wire.HandoverResponse{Accepted: true}, nil
	})
}
