// Package directory implements the registry's table of sessions: one session per proxy, with the backends on its machine.
//
// The directory is not replicated through the log. Each proxy sends its session to one registry with every poll, about once a
// second; registries exchange the sessions that proxies sent to them directly; and a registry that lost its directory has a
// full one again after a poll of every proxy. Nothing of it is persisted.
//
// A session that was not received again for SessionTimeout ends. It is remembered for a while, so that an outdated one from another
// registry does not bring it back.
//
// Polling proxies get the published part of the sessions: all of them, or only what changed since the version that they have.
// Versions are numbered by each incarnation of each registry on its own, and named by the number and that incarnation's source.
package directory
