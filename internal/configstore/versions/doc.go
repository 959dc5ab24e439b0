// Package versions is the replicated state machine of the configuration stores: the accepted configurations by version, with
// the request IDs and version numbers that make repeated applies harmless.
//
// An apply is made idempotent in one of two ways. One that names its version is accepted once per number: the same content under
// a number that was claimed is acknowledged again, another content is rejected, however long ago that was (up to
// maxClaimedVersions numbers). One that leaves the version to the store may carry a request ID, and the same ID with the same
// content gets the same response again for as long as that version is stored.
package versions
