// Package configclient keeps a proxy's configuration up to date and says whether the proxy may serve by it.
//
// The client long-polls the primary of the configuration stores. Each poll reports the version that the proxy has adopted, which
// applies wait for, and grants a lease, counted from before the poll was sent. A newer version comes as a difference from the
// adopted one or in full, and is compiled, and adopted by replacing the snapshot. A difference that doesn't apply is refused, and
// the full content is asked for until the next adoption.
//
// Without Options.ServeStale a snapshot is served by only while the lease stands. With it a snapshot is served by for as long as
// no newer one is heard of, and a proxy that has none yet may take one from a store that isn't the primary; that one may be out of
// date or never have been acknowledged, so it's unconfirmed: it's not served by for unconfirmedTimeout, while a primary may still be
// found, and any version of a primary replaces it.
//
// Nothing is stored on disk. A proxy that restarts is a new incarnation with no version.
package configclient
