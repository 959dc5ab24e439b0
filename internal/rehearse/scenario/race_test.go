//go:build race

package scenario

func init() { raced = true }
