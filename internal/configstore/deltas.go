package configstore

import (
	"slices"

	"snowflow/internal/config"
	"snowflow/internal/configstore/delta"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// allVotersAcceptDeltas reports whether every voter is known to accept contents as deltas. Early builds don't support them.
func (s *Server) allVotersAcceptDeltas() bool {
	if s.Member == nil {
		return false // the log is still being replayed
	}
	voters := slices.Clone(s.Member.Voters())
	return s.options.Resolver.AllSupportDeltas(append(voters, s.options.Name)...)
}

// expandRequest returns an apply request with its full content, decoded if it was sent as a delta. The result known is false if the
// delta's base isn't stored here; the client then has to send the full content.
func (s *Server) expandRequest(request *wire.ConfigApplyRequest) (full *wire.ConfigApplyRequest, known bool, err error) {
	if len(request.Delta) == 0 {
		return request, true, nil
	}
	var base []byte
	done := s.Member.Read(func(uint64, monotonic.Micros) {
		if stored := s.store.FindDigest(request.Base); stored != nil || request.Base == "" {
			base, known = stored.GetContent(), true
		}
	})
	if !done {
		return nil, false, errNotPrimary()
	}
	if !known {
		return nil, false, nil
	}
	content, err := delta.Decode(base, request.Delta, config.MaxContentSize)
	if err != nil {
		return nil, false, err
	}
	full = versions.WithoutContent(request)
	full.Content = content
	return full, true, nil
}

// replicate commits an apply request, as a delta from the newest version if all voters accept deltas.
func (s *Server) replicate(request *wire.ConfigApplyRequest) (*wire.ConfigApplyResponse, error) {
	if compact := s.deltaRequest(request); compact != nil {
		response, err := s.submit(compact)
		if err != nil || response.Outcome != versions.BaseUnknown {
			return response, err
		}
		// The base has been removed, because enough other versions were accepted in the meantime.
	}
	return s.submit(request)
}

// submit commits an apply request and returns the state machine's response. Its errors are those of Member.Submit.
func (s *Server) submit(request *wire.ConfigApplyRequest) (*wire.ConfigApplyResponse, error) {
	response := &wire.ConfigApplyResponse{}
	return response, s.Member.Submit(&wire.ConfigCommand{Apply: request}, response)
}

// deltaRequest returns an apply request with its content as a delta from the newest version. It returns nil if the content is short,
// a voter doesn't accept deltas, or the delta can't be encoded.
func (s *Server) deltaRequest(request *wire.ConfigApplyRequest) *wire.ConfigApplyRequest {
	if len(request.Content) < delta.MinContentSize || !s.allVotersAcceptDeltas() {
		return nil
	}
	var latest *wire.StoredConfig
	s.Member.Read(func(uint64, monotonic.Micros) { latest = s.store.Latest() })
	encoded, err := delta.Encode(latest.GetContent(), request.Content)
	if err != nil {
		return nil
	}
	compact := versions.WithoutContent(request)
	compact.Delta, compact.Base = encoded, latest.GetDigest()
	return compact
}

// encodeForRead returns a stored version in the form in which it's sent to a reader: with its content as a delta from a base that the
// reader has, or compressed if base is nil. Short contents are sent in full.
func encodeForRead(stored, base *wire.StoredConfig) *wire.StoredConfig {
	if len(stored.Content) < delta.MinContentSize {
		return stored
	}
	return versions.EncodeDelta(stored, base)
}
