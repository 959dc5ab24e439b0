// Snowctl is the operators' command line.
package main

import (
	"snowflow/internal/daemon"
	"snowflow/internal/snowctl"
)

func main() { daemon.Main(snowctl.Root()) }
