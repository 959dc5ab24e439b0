package wire

// BackendLeaving is the condition of a Backend that takes no new requests any more. It is final for an instance.
const BackendLeaving = "leaving"
