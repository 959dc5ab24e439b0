// Package docscheck contains only tests. They check that the documents agree with the code that they describe, and that the whole source
// tree follows rules on declared names, on names of the users' platform, and on who may read the wall clock.
package docscheck
