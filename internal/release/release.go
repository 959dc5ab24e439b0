// Package release names this build.
package release

// Version is this build's version.
const Version = "0.1.0"
