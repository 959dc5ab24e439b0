// Ci runs go test with its arguments and decides by KNOWN-RED.txt whether the run passes. The exit code is 1 if it doesn't pass, and 2 if
// that can't be determined.
package main

import (
	"fmt"
	"os"
	"os/exec"

	"snowflow/internal/knownred"
)

func main() {
	passed, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !passed {
		os.Exit(1)
	}
}

func run(arguments []string) (passed bool, err error) {
	content, err := os.ReadFile("KNOWN-RED.txt")
	if err != nil {
		return false, err
	}
	entries, err := knownred.Parse(string(content))
	if err != nil {
		return false, fmt.Errorf("KNOWN-RED.txt: %w", err)
	}
	command := exec.Command("go", append([]string{"test", "-json"}, arguments...)...)
	command.Stderr = os.Stderr
	stream, err := command.StdoutPipe()
	if err != nil {
		return false, err
	}
	if err := command.Start(); err != nil {
		return false, err
	}
	recorded, err := knownred.Read("snowflow", stream)
	if err != nil {
		_ = command.Process.Kill()
		return false, err
	}
	verdict := knownred.Judge(entries, recorded, command.Wait() != nil)
	fmt.Print(verdict.Text)
	return verdict.Passed, nil
}
