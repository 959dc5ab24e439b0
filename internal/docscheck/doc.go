// Package docscheck holds tests alone. They keep the documents in step with the code that they describe, and hold rules of the whole
// source tree: declared names, names of the users' platform, and who may read the wall clock.
package docscheck
