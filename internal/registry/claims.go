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

// answerClaim answers a claim that needs no write, and returns nil for any other.
func (r *Registry) answerClaim(request *wire.ClaimRequest) *wire.ClaimResponse {
	if response := r.repeatedGrant(request); response != nil {
		return response
	}
	return r.rejectByBreaker(request)
}

// rejectByBreaker rejects the claim of an attempt that its proxy admitted by its own breaker, if the shared one doesn't admit it: the
// attempt would reach its backend among the probes. It returns nil for any other claim.
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

// repeatedGrant answers a claim that was granted before without a write, and returns nil for any other. On a slow disk the
// first request may take longer than the requester's timeout; its retry must not wait for another sync.
func (r *Registry) repeatedGrant(request *wire.ClaimRequest) (response *wire.ClaimResponse) {
	if !r.Member.Read(func(uint64, monotonic.Micros) { response = r.machine.Claims.RepeatedGrant(request) }) {
		return nil
	}
	return response
}
