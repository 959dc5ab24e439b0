//go:build race

package scenario

func init() { raceDetector = true }
