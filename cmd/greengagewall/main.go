// Command greengagewall runs an entry instance of the cluster scheduler and
// holds the commands of operators and callers.
package main

import "fmt"

// version is set by the linker.
var version = "dev"

func main() { fmt.Println("greengagewall", version) }
