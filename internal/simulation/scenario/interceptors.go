package scenario

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// interceptWrites has afterWrite called for each write that a registry acknowledges, at the moment of its response.
func (m *Mesh) interceptWrites(node *world.Node, handlers host.Handlers) {
	for _, kind := range []wire.Kind{wire.Kind_claim, wire.Kind_void_claim, wire.Kind_probe_lease, wire.Kind_breaker_write, wire.Kind_singleton_lease} {
		handle := handlers[kind]
		handlers[kind] = func(content []byte) (proto.Message, error) {
			reply, err := handle(content)
			if err == nil && m.afterWrite != nil {
				m.afterWrite(node, kind)
			}
			return reply, err
		}
	}
}

// interceptDesiredPolls has onDesiredPoll called with each response of a configuration store to a proxy.
func (m *Mesh) interceptDesiredPolls(handlers host.Handlers) {
	intercept(handlers, wire.Kind_config_poll, func() func(*wire.ConfigPollRequest, *wire.ConfigPollResponse) { return m.onDesiredPoll })
}

// interceptRegistryPolls has onRegistryPoll called with each response of a registry to a proxy.
func (m *Mesh) interceptRegistryPolls(registryName string, handlers host.Handlers) {
	intercept(handlers, wire.Kind_registry_poll, func() func(*wire.RegistryPollRequest, *wire.RegistryPollResponse) {
		if m.onRegistryPoll == nil {
			return nil
		}
		return func(request *wire.RegistryPollRequest, response *wire.RegistryPollResponse) {
			m.onRegistryPoll(registryName, request, response)
		}
	})
}

// errMissedAccept is what a proposer gets from a process that misses accept requests.
var errMissedAccept = apierror.Lost.New("the request was lost")

// interceptAccepts loses the accept requests to the processes that missesAccepts names.
func (m *Mesh) interceptAccepts(name string, handlers host.Handlers) {
	handle := handlers[wire.Kind_accept]
	handlers[wire.Kind_accept] = func(content []byte) (proto.Message, error) {
		if m.missesAccepts != nil && m.missesAccepts(name) {
			return nil, errMissedAccept
		}
		return handle(content)
	}
}

// intercept wraps the handler of a kind. Each request and its response are passed to the present hook, unless that is nil. The
// hook may change the response.
func intercept[Request any, RequestPointer interface {
	*Request
	proto.Message
}, Response proto.Message](handlers host.Handlers, kind wire.Kind, hook func() func(RequestPointer, Response)) {
	handle := handlers[kind]
	handlers[kind] = func(content []byte) (proto.Message, error) {
		reply, err := handle(content)
		response, expected := reply.(Response)
		call := hook()
		if err != nil || !expected || call == nil {
			return reply, err
		}
		request := RequestPointer(new(Request))
		if err := proto.Unmarshal(content, request); err != nil {
			return nil, err
		}
		call(request, response)
		return reply, nil
	}
}
