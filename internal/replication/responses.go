package replication

import "snowflow/internal/replication/quorum"

// grantedBy returns the names of those whose response grants a request.
func grantedBy[Reply any](replies map[string]Reply, granted func(reply Reply) bool) (names []string) {
	for name, reply := range replies {
		if granted(reply) {
			names = append(names, name)
		}
	}
	return names
}

// HasQuorum reports whether some names include a quorum of a group's voters.
func HasQuorum(voters, names []string) bool { return quorum.Voters(voters).HasQuorum(names) }
