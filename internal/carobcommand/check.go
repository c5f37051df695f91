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
	return func(_ context.Context, std *stdStreams, args []string) error {
		if len(args) != 1 {
			return usageError("one FILE is needed")
		}
		profile, _, err := readProfile(args[0])
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(std.out, "%s: profile %s is good\n", args[0], profile.Name)
		return nil
	}
}

// readProfile reads and checks the file of a profile. hasBase reports whether the file
// sets the base, the offset of the revision that the profile replaces.
func readProfile(file string) (profile carobprofile.Profile, hasBase bool, err error) {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return profile, false, carobkind.Wrap(carobkind.Invalid, err, "read profile")
	}
	document := carobdocument.NewDocument(carobdocument.Config{FileName: file, Data: data})
	if err := document.Decode(&profile); err != nil {
		return profile, false, err
	}
	if !carobrouting.HasPolicy(profile.Policy) {
		return profile, false, document.WithPosition(carobkind.New(carobkind.Invalid, "policy: there is no policy %q", string(profile.Policy)))
	}
	return profile, document.Has("base"), nil
}
