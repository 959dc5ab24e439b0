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

// allTakeDeltas tells whether every voter is known to take contents as differences: copies of an earlier build don't.
func (master *Postmaster) allTakeDeltas() bool {
	if master.Member == nil {
		return false // the journal is being read
	}
	voters := slices.Clone(master.Member.Voters())
	return master.env.Book.TakeDeltas(append(voters, master.env.Name)...)
}

// whole gives an apply with its content, if that came as a difference from one that is kept here.
func (master *Postmaster) whole(ask *wire.ConfigApplyRequest) (whole *wire.ConfigApplyRequest, known bool, err error) {
	if len(ask.Delta) == 0 {
		return ask, true, nil
	}
	whole = &wire.ConfigApplyRequest{ExpectedVersion: ask.ExpectedVersion, Request: ask.Request, AnyVersion: ask.AnyVersion, Version: ask.Version}
	var base []byte
	done := master.Member.Read(func(uint64, monotonic.Micros) {
		if kept := master.store.WithDigest(ask.Base); kept != nil || ask.Base == "" {
			base, known = kept.GetContent(), true
		}
	})
	if !done {
		return nil, false, apierror.Refused.New("not the primary")
	}
	if known {
		whole.Content, err = delta.Decode(base, ask.Delta, config.Longest)
		known = err == nil
	}
	return whole, known, nil
}

// submit has every copy take an apply, as its difference from the newest state where all of them can.
func (master *Postmaster) submit(ask *wire.ConfigApplyRequest) (*wire.ConfigApplyResponse, error) {
	tell := &wire.ConfigApplyResponse{}
	if short := master.short(ask); short != nil {
		err := master.Member.Submit(&wire.ConfigCommand{Apply: short}, tell)
		if err != nil || tell.Outcome != versions.BaseUnknown {
			return tell, err
		}
		tell = &wire.ConfigApplyResponse{} // so many changes came between that the base was let go
	}
	return tell, master.Member.Submit(&wire.ConfigCommand{Apply: ask}, tell)
}

// short is an apply whose content is told by its difference from the newest state, or nothing.
func (master *Postmaster) short(ask *wire.ConfigApplyRequest) *wire.ConfigApplyRequest {
	if len(ask.Content) < packFrom || !master.allTakeDeltas() {
		return nil
	}
	var newest *wire.StoredConfig
	master.Member.Read(func(uint64, monotonic.Micros) { newest = master.store.Newest() })
	encoded, err := delta.Encode(newest.GetContent(), ask.Content)
	if err != nil {
		return nil
	}
	return &wire.ConfigApplyRequest{ExpectedVersion: ask.ExpectedVersion, Request: ask.Request, AnyVersion: ask.AnyVersion, Version: ask.Version,
		Delta: encoded, Base: newest.GetDigest()}
}

// shortened tells a state by its difference from one that the asker has, or compressed where it has none that is known here.
func shortened(kept, base *wire.StoredConfig) *wire.StoredConfig {
	if len(kept.Content) < packFrom {
		return kept
	}
	encoded, err := delta.Encode(base.GetContent(), kept.Content)
	if err != nil {
		return kept
	}
	return &wire.StoredConfig{Version: kept.Version, Digest: kept.Digest, Request: kept.Request, Delta: encoded, Base: base.GetDigest()}
}
