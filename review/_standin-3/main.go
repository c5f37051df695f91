package main

import (
	"fmt"
	"os"
)

// cases has the cases by the name that run.sh passes.
var cases = map[string]func(*rig) (broken bool, err error){
	"closing":  closing,
	"drained":  drained,
	"names":    names,
	"pipeline": pipeline,
	"slots":    slots,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, record string) int {
	r, err := newRig(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.stop()
	broken, err := cases[name](r)
	switch {
	case err != nil:
		r.note("could not run:", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		return 1
	default:
		return 0
	}
}
