package carobcommand

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/carobknot/carobknot/internal/carobdocument"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobrouting"
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
		pf, _, err := readProfile(args[0])
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(sd.out, "%s: profile %s is good\n", args[0], pf.Name)
		return nil
	}
}

// readProfile reads a file, and reports whether it names the base.
func readProfile(file string) (pf carobprofile.Profile, based bool, err error) {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return pf, false, carobkind.Wrap(carobkind.Invalid, err, "read profile")
	}
	dc := carobdocument.NewDocument(carobdocument.Config{Name: file, Data: data})
	if err := dc.Decode(&pf); err != nil {
		return pf, false, err
	}
	if !carobrouting.HasPolicy(pf.Policy) {
		return pf, false, dc.Refuse(carobkind.New(carobkind.Invalid, "policy: there is no policy %q", string(pf.Policy)))
	}
	return pf, dc.Has("base"), nil
}
