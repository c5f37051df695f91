// Command carobplatform runs a node on the users' platform.
package main

import (
	"os"

	"github.com/carobknot/carobknot/platform/carobsidecar"
)

func main() {
	os.Exit(carobsidecar.Main())
}
