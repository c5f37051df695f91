// Command standin plays a case of the review with the project's own programs and with
// stand-ins for clients, servers and the platform.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. trouble is false if the disruption is left out.
var cases = map[string]func(rec *record, trouble bool) (bool, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(failed)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	isBroken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("verdict: the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(failed)
	case isBroken:
		rec.add("verdict: broken")
		fmt.Println("broken")
		os.Exit(broken)
	}
	rec.add("verdict: held")
	fmt.Println("held")
	os.Exit(held)
}
