// Command caroblogclient runs a node on the users' platform, as its deployment file
// describes.
package main

import (
	"os"

	"github.com/carobknot/carobknot/platform/carobsidecar"
)

func main() {
	os.Exit(carobsidecar.Main())
}
