// Package release defines the version of this build.
package release

// Version is the release version that processes report.
const Version = "0.1.0"
