// Package configclient keeps a proxy's configuration up to date and decides whether the proxy may serve from it.
//
// The client long-polls the primary of the configuration stores. Each poll reports the version that the proxy has adopted: an
// operator's apply call waits until the proxies have adopted its version. The response grants a lease, counted from before the poll
// was sent. A newer version arrives as a difference from the adopted version or in full. It is compiled, and adopted by replacing
// the snapshot. A difference that doesn't apply is rejected, and the full content is requested until the next adoption.
//
// Without Options.ServeStale the proxy may serve only while its lease is active. With ServeStale it serves from its snapshot until it
// receives a newer one, and a proxy without a snapshot may adopt one from a store that isn't the primary. Such a version is
// unconfirmed, since it may be outdated or may never have been acknowledged: the proxy doesn't serve from it for unconfirmedTimeout,
// while a primary may still be found, and any version of a primary replaces it.
//
// Nothing is stored on disk. A proxy that restarts is a new incarnation without a version.
package configclient
