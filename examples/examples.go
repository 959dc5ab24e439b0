// Package examples contains desired states to start from. Rehearsals apply them too.
package examples

import "embed"

// Files holds the examples by file name.
//
//go:embed *.json
var Files embed.FS

// Desired gives the content of an example by its name without the ending.
func Desired(name string) ([]byte, error) { return Files.ReadFile(name + ".json") }
