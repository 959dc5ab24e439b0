// Package examples contains example desired states. Rehearsals apply them too.
package examples

import "embed"

// Files contains the example files.
//
//go:embed *.json
var Files embed.FS

// Desired returns the desired state in an example file, given its name without the extension.
func Desired(name string) ([]byte, error) { return Files.ReadFile(name + ".json") }
