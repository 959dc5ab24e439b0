// Package versions is the replicated state machine of the configuration stores: the accepted configurations by version, with
// the request IDs and version numbers that make applies idempotent.
//
// An apply is idempotent in one of two ways. If the client chooses the version number, the first apply claims the number for its
// content. For as long as the claim is among the last maxClaimedVersions, later applies under that number are acknowledged if they have
// the same content, and rejected otherwise. If the store assigns the number, the apply may have a request ID: a repetition with the
// same ID and content gets the same response for as long as that version is stored.
package versions
