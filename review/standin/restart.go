//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// restartDelay is the time after which the platform starts a program that has ended.
	restartDelay = 300 * time.Millisecond
	// contactWindow is the time without trouble after which a machine is in touch.
	contactWindow = 3 * time.Second
)

// proxy returns the proxy of a machine.
func (f *fleet) proxy(machine int) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[fmt.Sprintf("proxy-%d", machine)]
}

// killProxy kills the proxy of a machine. The platform starts it again after a short delay.
func (f *fleet) killProxy(machine int, service string) error {
	killed := f.proxy(machine)
	f.record.line("SIGKILL to %s", killed.name)
	_ = killed.command.Process.Kill()
	<-killed.ended
	time.Sleep(restartDelay)
	_, err := f.start("proxy", machine, service, false)
	f.record.line("%s started again", killed.name)
	return err
}
