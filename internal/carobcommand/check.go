package carobcommand

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/carobknot/carobknot/internal/carobdocument"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobprofile"
)

func checkCommand() Command {
	return Command{
		name:     "check",
		summary:  "Check a file with a profile",
		operands: "FILE",
		examples: "  carobknot check examples/profiles/lookups.json\n",
		parse:    parseCheck,
	}
}

func parseCheck(*flag.FlagSet) runner {
	return func(_ context.Context, sd *streams, args []string) error {
		if len(args) != 1 {
			return errUsage("one FILE is needed")
		}
		pf, err := readProfile(args[0])
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(sd.out, "%s: profile %s is good\n", args[0], pf.Name)
		return nil
	}
}

func readProfile(file string) (carobprofile.Profile, error) {
	var pf carobprofile.Profile
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return pf, carobkind.Wrap(carobkind.Invalid, err, "read profile")
	}
	err = carobdocument.NewDocument(carobdocument.Config{Name: file, Data: data}).Decode(&pf)
	return pf, err
}
