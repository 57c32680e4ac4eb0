// Command greengagewall runs an entry instance of the cluster scheduler and
// provides the commands of operators and callers.
package main

import (
	"os"

	"gitlab.com/greengagewall/greengagewall/internal/cli/commander"
)

// version is set by the linker.
var version = "dev"

func main() { os.Exit(commander.Main(version, os.Args[1:])) }
