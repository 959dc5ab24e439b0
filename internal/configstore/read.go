package configstore

import (
	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// ReadVersions returns one stored version, the newest for version zero, or a list of all versions without their contents. Only the
// primary answers; other processes return an apierror.Refused.
func (s *Server) ReadVersions(request *wire.ConfigReadRequest) (*wire.ConfigReadResponse, error) {
	if request.List {
		return s.listVersions()
	}
	response := &wire.ConfigReadResponse{}
	var base *wire.StoredConfig
	done := s.Member.Read(func(uint64, monotonic.Micros) {
		version := request.Version
		if version == 0 {
			version = s.store.LatestVersion()
		}
		if stored := s.store.Find(version); stored != nil {
			response.Found, response.Versions = true, []*wire.StoredConfig{stored}
			base = s.store.FindDigest(request.BaseDigest)
		}
	})
	if !done {
		return nil, errNotPrimary()
	}
	if request.Deltas && response.Found {
		response.Versions[0] = encodeForRead(response.Versions[0], base)
	}
	return response, nil
}

// listVersions returns all stored versions without their contents, oldest first.
func (s *Server) listVersions() (*wire.ConfigReadResponse, error) {
	response := &wire.ConfigReadResponse{Found: true}
	done := s.Member.Read(func(uint64, monotonic.Micros) {
		for _, stored := range s.store.All() {
			response.Versions = append(response.Versions, &wire.StoredConfig{Version: stored.Version, Digest: stored.Digest, Request: stored.Request})
		}
	})
	if !done {
		return nil, errNotPrimary()
	}
	return response, nil
}

// errNotPrimary returns the error for a request that was rejected without any effect, so that the client may try another process.
func errNotPrimary() error { return apierror.Refused.New("not the primary") }
