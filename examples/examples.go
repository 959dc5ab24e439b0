// Package examples holds desired states to start from. The rehearsal fleet uses them too.
package examples

import "embed"

// Files are the examples by file name.
//
//go:embed *.json
var Files embed.FS

// Desired gives an example by its plain name.
func Desired(name string) ([]byte, error) { return Files.ReadFile(name + ".json") }
