// Clerk is the operators' command line.
package main

import (
	"snowflow/internal/clerk"
	"snowflow/internal/house"
)

func main() { house.Main(clerk.Root()) }
