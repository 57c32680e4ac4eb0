// Command standin runs small stand-ins for the platform, and the demo, soak,
// chaos and measuring runs that use them.
package main

import "fmt"

func main() { fmt.Println("standin") }
