// Command carobknot runs the nodes of the load balancer, publishes and shows profiles,
// and provides stand-ins and load for tests.
package main

import (
	"os"

	"github.com/carobknot/carobknot/internal/carobcommand"
)

func main() {
	os.Exit(carobcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
