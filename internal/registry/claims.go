package registry

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/idempotency"
	"snowflow/internal/transport/wire"
)

// handleClaim replicates a claim of an idempotency key and returns its outcome (idempotency.Table.Claim).
func (r *Registry) handleClaim(request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	if response := r.answerClaim(request); response != nil {
		return response, nil
	}
	result, err := r.propose(&wire.RegistryCommand{Claim: request})
	return result.GetClaim(), err
}

// handleVoidClaim replicates the voiding of an attempt and returns its outcome (idempotency.Table.Void).
func (r *Registry) handleVoidClaim(request *wire.VoidClaimRequest) (*wire.VoidClaimResponse, error) {
	result, err := r.propose(&wire.RegistryCommand{Void: request})
	return result.GetVoid(), err
}

// handleCompleteClaim replicates the end of a claim (idempotency.Table.Complete).
func (r *Registry) handleCompleteClaim(request *wire.CompleteClaimRequest) (*wire.CompleteClaimResponse, error) {
	result, err := r.propose(&wire.RegistryCommand{Complete: request})
	return result.GetComplete(), err
}

// handleSingletonLease replicates a request to acquire, renew or release a singleton lease (leases.Table.Acquire).
func (r *Registry) handleSingletonLease(request *wire.SingletonLeaseRequest) (*wire.SingletonLeaseResponse, error) {
	result, err := r.propose(&wire.RegistryCommand{Singleton: request})
	return result.GetSingleton(), err
}

// answerClaim returns the response to a claim that needs no write, and nil for any other claim.
func (r *Registry) answerClaim(request *wire.ClaimRequest) *wire.ClaimResponse {
	if response := r.repeatedGrant(request); response != nil {
		return response
	}
	return r.rejectByBreaker(request)
}

// rejectByBreaker rejects the claim of an attempt that the proxy's local breaker admitted while the shared breaker is not closed.
// Such an attempt would reach the backend in addition to the leased probes. It returns nil for any other claim.
func (r *Registry) rejectByBreaker(request *wire.ClaimRequest) *wire.ClaimResponse {
	if request.LocallyAdmittedService == "" {
		return nil
	}
	closed := true
	r.Member.Read(func(uint64, monotonic.Micros) { closed = r.machine.Breakers.IsClosed(request.LocallyAdmittedService) })
	if closed {
		return nil
	}
	return &wire.ClaimResponse{Outcome: idempotency.NotAdmitted}
}

// repeatedGrant returns the response to a claim that was already granted, and nil for any other claim. It needs no write: on a slow disk
// the first request may take longer than the requester's timeout, and its retry must not wait for another sync.
func (r *Registry) repeatedGrant(request *wire.ClaimRequest) (response *wire.ClaimResponse) {
	if !r.Member.Read(func(uint64, monotonic.Micros) { response = r.machine.Claims.RepeatedGrant(request) }) {
		return nil
	}
	return response
}
