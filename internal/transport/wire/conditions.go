package wire

// BackendLeaving is the condition of a Backend that no longer accepts new requests. It is final for an instance.
const BackendLeaving = "leaving"
