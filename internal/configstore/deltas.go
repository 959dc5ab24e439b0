package configstore

import (
	"slices"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/configstore/delta"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// allVotersAcceptDeltas tells whether every voter is known to take contents as differences: copies of an earlier build don't.
func (s *Server) allVotersAcceptDeltas() bool {
	if s.Member == nil {
		return false // the journal is being read
	}
	voters := slices.Clone(s.Member.Voters())
	return s.options.Resolver.AllSupportDeltas(append(voters, s.options.Name)...)
}

// whole gives an apply with its content, if that came as a difference from one that is kept here.
func (s *Server) expandRequest(request *wire.ConfigApplyRequest) (full *wire.ConfigApplyRequest, known bool, err error) {
	if len(request.Delta) == 0 {
		return request, true, nil
	}
	full = &wire.ConfigApplyRequest{ExpectedVersion: request.ExpectedVersion, Request: request.Request, AnyVersion: request.AnyVersion, Version: request.Version}
	var base []byte
	done := s.Member.Read(func(uint64, monotonic.Micros) {
		if stored := s.store.FindDigest(request.Base); stored != nil || request.Base == "" {
			base, known = stored.GetContent(), true
		}
	})
	if !done {
		return nil, false, apierror.Refused.New("not the primary")
	}
	if known {
		full.Content, err = delta.Decode(base, request.Delta, config.MaxContentSize)
		known = err == nil
	}
	return full, known, nil
}

// submit has every copy take an apply, as its difference from the newest state where all of them can.
func (s *Server) replicate(request *wire.ConfigApplyRequest) (*wire.ConfigApplyResponse, error) {
	response := &wire.ConfigApplyResponse{}
	if compact := s.deltaRequest(request); compact != nil {
		err := s.Member.Submit(&wire.ConfigCommand{Apply: compact}, response)
		if err != nil || response.Outcome != versions.BaseUnknown {
			return response, err
		}
		response = &wire.ConfigApplyResponse{} // so many changes came between that the base was let go
	}
	return response, s.Member.Submit(&wire.ConfigCommand{Apply: request}, response)
}

// short is an apply whose content is told by its difference from the newest state, or nothing.
func (s *Server) deltaRequest(request *wire.ConfigApplyRequest) *wire.ConfigApplyRequest {
	if len(request.Content) < minCompressedSize || !s.allVotersAcceptDeltas() {
		return nil
	}
	var latest *wire.StoredConfig
	s.Member.Read(func(uint64, monotonic.Micros) { latest = s.store.Latest() })
	encoded, err := delta.Encode(latest.GetContent(), request.Content)
	if err != nil {
		return nil
	}
	return &wire.ConfigApplyRequest{ExpectedVersion: request.ExpectedVersion, Request: request.Request, AnyVersion: request.AnyVersion, Version: request.Version,
		Delta: encoded, Base: latest.GetDigest()}
}

// shortened tells a state by its difference from one that the asker has, or compressed where it has none that is known here.
func deltaState(stored, base *wire.StoredConfig) *wire.StoredConfig {
	if len(stored.Content) < minCompressedSize {
		return stored
	}
	encoded, err := delta.Encode(base.GetContent(), stored.Content)
	if err != nil {
		return stored
	}
	return &wire.StoredConfig{Version: stored.Version, Digest: stored.Digest, Request: stored.Request, Delta: encoded, Base: base.GetDigest()}
}
