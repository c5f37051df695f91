// Command carobknot is the load balancer's one program.
package main

import (
	"os"

	"github.com/carobknot/carobknot/internal/carobcommand"
)

func main() {
	os.Exit(carobcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
