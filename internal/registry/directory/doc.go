// Package directory implements the registry's table of sessions: one session per proxy, with the backends on its machine.
//
// The directory is neither replicated through the log nor persisted. Each proxy sends its session to one registry with every poll, about
// once a second, and registries exchange the sessions that proxies sent to them directly. A registry that lost its directory has a full
// one again once every proxy has polled.
//
// A session ends if it was not received again for SessionTimeout. It is kept for a while after that, so that an outdated copy from
// another registry does not restore it. A proxy is a member while its session has not ended.
//
// Polling proxies get the published part of the sessions: all of them, or only the changes since the version that they have. Each
// incarnation of each registry numbers its versions independently. A version is identified by its number and by the source, which
// identifies the incarnation.
package directory
