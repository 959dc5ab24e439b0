package directory

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/resource"
	"snowflow/internal/transport/wire"
)

// publish updates the published part of a proxy's session, and adds a version if that part changed. The lock is held.
func (d *Directory) publish(proxy string) {
	previous, current := d.published.Get(proxy), d.sessions[proxy]
	var next *resource.Set
	var err error
	switch listed := current != nil && !current.ended; {
	case !listed && previous == nil:
		return
	case !listed:
		next, err = d.published.With(nil, []string{proxy}, d.published.Len()-1)
	default:
		visible := d.publicSession(current.session)
		if previous != nil && proto.Equal(previous.Message, visible) {
			return
		}
		next, err = d.withSession(proxy, visible, previous == nil)
	}
	if err != nil {
		return // cannot happen: the session can be encoded, and the size passed to With is correct
	}
	d.published = next
	d.history.add(version{proxy: proxy, checksum: next.Sum().Short()})
}

// withSession returns the published set with a session added or replaced.
func (d *Directory) withSession(proxy string, session *wire.Session, isNew bool) (*resource.Set, error) {
	updated, err := resource.New(proxy, session)
	if err != nil {
		return nil, err
	}
	size := d.published.Len()
	if isNew {
		size++
	}
	return d.published.With([]*resource.Resource{updated}, nil, size)
}

// publicSession returns the part of a session that is sent to other proxies. It omits what changes with every heartbeat, and reduces the
// remaining slow start to whether there is one. The lock is held.
func (d *Directory) publicSession(session *wire.Session) *wire.Session {
	now := d.clock.Now()
	public := &wire.Session{Proxy: session.Proxy, Incarnation: session.Incarnation, Address: session.Address,
		Domain: session.Domain, Leaving: session.Leaving}
	for _, backend := range session.Backends {
		public.Backends = append(public.Backends, &wire.Backend{Service: backend.Service, Instance: backend.Instance,
			Address: backend.Address, Condition: d.departures.condition(backend, now), Slots: backend.Slots, SlowStart: min(backend.SlowStart, 1)})
	}
	return public
}

// Base identifies the published sessions that a polling proxy has.
type Base struct {
	// Source and Version are those of the Update that the proxy last applied; both zero if there was none.
	Source, Version uint64
	// Checksum is the checksum of the proxy's sessions; zero if it accepts no incremental updates.
	Checksum uint64
	// Complete means that the proxy's sessions are complete. The proxy then ignores a directory younger than SessionTimeout, which may
	// not know every proxy yet.
	Complete bool
}

// Update is the directory's part of a poll response. Exactly one of three cases applies:
//   - Unchanged: the proxy has the newest version, or it has complete sessions and this directory is too young (Base.Complete).
//   - Incremental: the proxy removes Removed from the base's sessions, and adds or replaces Sessions.
//   - Otherwise: Sessions has all published sessions.
//
// In the last two cases Digest is the digest of all published sessions, so that the proxy can check the result.
type Update struct {
	Source, Version uint64
	Unchanged       bool
	Incremental     bool
	Sessions        []*wire.Session // shared; must not be changed
	Removed         []string
	Digest          []byte
}

// UpdateSince returns the changes since a base. It returns all sessions if the history has no version that matches the base's number and
// checksum, or if more than half of the sessions changed since.
func (d *Directory) UpdateSince(base Base) Update {
	d.lock.Lock()
	defer d.lock.Unlock()
	update := Update{Source: d.source, Version: d.history.newest()}
	if d.unchanged(base) {
		update.Unchanged = true
		return update
	}
	update.Digest = d.published.Digest()
	if index, found := d.findVersion(base); found {
		changed := d.history.changedSince(index)
		if update.Incremental = len(changed) <= d.published.Len()/2; update.Incremental {
			update.Sessions, update.Removed = d.publishedOf(slices.Sorted(maps.Keys(changed)))
			return update
		}
	}
	for _, entry := range d.published.All() {
		update.Sessions = append(update.Sessions, sessionOf(entry))
	}
	return update
}

// unchanged reports whether a proxy with this base is sent nothing, because it has the newest version or would ignore this directory
// (Base.Complete).
func (d *Directory) unchanged(base Base) bool {
	if base.Source != d.source {
		return base.Complete && d.clock.Now()-d.createdAt < SessionTimeout
	}
	return base.Version == d.history.newest() && (base.Checksum == 0 || base.Checksum == d.history.checksum())
}

// publishedOf returns the published sessions of the given proxies, and the proxies that have no published session.
func (d *Directory) publishedOf(proxies []string) (sessions []*wire.Session, removed []string) {
	for _, proxy := range proxies {
		if entry := d.published.Get(proxy); entry != nil {
			sessions = append(sessions, sessionOf(entry))
		} else {
			removed = append(removed, proxy)
		}
	}
	return sessions, removed
}

// sessionOf returns the session in a published resource. Published resources contain nothing else.
func sessionOf(published *resource.Resource) *wire.Session {
	session, ok := published.Message.(*wire.Session)
	if !ok {
		panic(fmt.Sprintf("published resource %s is a %T", published.Key, published.Message))
	}
	return session
}

// findVersion returns the index of the version that matches a base. It compares number and checksum if this incarnation assigned the
// number. Otherwise it compares only the checksum, since another registry, or an earlier incarnation of this one, may have published the
// same sessions.
func (d *Directory) findVersion(base Base) (index int, found bool) {
	switch {
	case base.Checksum == 0:
		return 0, false
	case base.Source != d.source:
		return d.history.findByChecksum(base.Checksum)
	default:
		return d.history.findByNumber(base.Version, base.Checksum)
	}
}
