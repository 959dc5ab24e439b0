package replication

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/transport/wire"
)

// Register adds the handlers of the group's messages to handlers.
func (m *Member) Register(handlers host.Handlers) {
	handle(m, handlers, wire.Kind_register_read, m.handleRegisterRead)
	handle(m, handlers, wire.Kind_prepare, m.handlePrepare)
	handle(m, handlers, wire.Kind_accept, m.handleAccept)
	handle(m, handlers, wire.Kind_lease, m.handleLease)
	handle(m, handlers, wire.Kind_join, m.handleJoin)
	handle(m, handlers, wire.Kind_replicate, m.handleReplicate)
	handle(m, handlers, wire.Kind_install_snapshot, m.handleInstall)
	handle(m, handlers, wire.Kind_handover, m.handleHandover)
}

// handle adds the handler of one kind of message. It rejects messages that are addressed to another process, because an address
// may be reused by a different process.
func handle[Request any, RequestPointer interface {
	*Request
	proto.Message
	GetTo() string
}, Response proto.Message](m *Member, handlers host.Handlers, kind wire.Kind, answer func(RequestPointer) (Response, error)) {
	host.Handle(handlers, kind, func(request RequestPointer) (response Response, err error) {
		if request.GetTo() != m.config.Name {
			return response, apierror.Refused.New("message addressed to %s reached %s", request.GetTo(), m.config.Name)
		}
		return answer(request)
	})
}
