//go:build review

package main

import (
	"fmt"
	"os"
	"sync"

	"snowflow/internal/monotonic"
)

// record writes what was sent, answered and run, each line with the seconds since the start.
type record struct {
	clock *monotonic.SystemClock
	start monotonic.Micros

	mu   sync.Mutex // guards file
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	clock := monotonic.NewSystemClock()
	return &record{clock: clock, start: clock.Now(), file: file}, nil
}

// seconds is the time since the start.
func (r *record) seconds() float64 {
	return float64(r.clock.Now()-r.start) / float64(monotonic.Second)
}

// line writes one line, also to standard output.
func (r *record) line(format string, arguments ...any) {
	text := fmt.Sprintf("%8.3f s  %s\n", r.seconds(), fmt.Sprintf(format, arguments...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(text)
	fmt.Print(text)
}

func (r *record) close() { _ = r.file.Close() }
