package directory

// maxVersions limits the versions whose changes are kept. The history may exceed it by a quarter until old versions are dropped.
const maxVersions = 4096

// version is one change of the published sessions.
type version struct {
	proxy    string // whose session was added, changed or removed
	checksum uint64 // of all published sessions after the change
}

// history holds the latest versions. Versions are numbered from 1 without gaps.
type history struct {
	versions []version // the newest last; never empty
	dropped  uint64    // the number of older versions that were dropped
}

// newHistory returns a history whose version 1 is the empty directory with the given checksum.
func newHistory(checksum uint64) history { return history{versions: []version{{checksum: checksum}}} }

// newest returns the number of the newest version.
func (h *history) newest() uint64 { return h.dropped + uint64(len(h.versions)) }

// checksum returns the checksum of the newest version.
func (h *history) checksum() uint64 { return h.versions[len(h.versions)-1].checksum }

// add appends a version. It drops old versions a quarter of maxVersions at a time, since each removal copies the others.
func (h *history) add(next version) {
	h.versions = append(h.versions, next)
	if excess := len(h.versions) - maxVersions; excess >= maxVersions/4 {
		h.versions = append([]version(nil), h.versions[excess:]...)
		h.dropped += uint64(excess)
	}
}

// findByNumber returns the index of the version with a number, if the version has the given checksum.
func (h *history) findByNumber(number, checksum uint64) (index int, found bool) {
	if number <= h.dropped || number > h.newest() {
		return 0, false
	}
	index = int(number - h.dropped - 1)
	return index, h.versions[index].checksum == checksum
}

// findByChecksum returns the index of the newest version with the given checksum.
func (h *history) findByChecksum(checksum uint64) (index int, found bool) {
	for index = len(h.versions) - 1; index >= 0; index-- {
		if h.versions[index].checksum == checksum {
			return index, true
		}
	}
	return 0, false
}

// changedSince returns the proxies whose sessions changed after the version at an index.
func (h *history) changedSince(index int) map[string]bool {
	changed := map[string]bool{}
	for _, change := range h.versions[index+1:] {
		changed[change.proxy] = true
	}
	return changed
}
