package carobcommand

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/carobknot/carobknot/internal/carobledger"
	"github.com/carobknot/carobknot/internal/carobplatform"
	"github.com/carobknot/carobknot/pkg/carobchangeresult"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrevision"
)

func profilesCommand() Command {
	return Command{
		name:    "profiles",
		summary: "Show the profiles in force, and who changed what",
		examples: "  carobknot profiles -log http://127.0.0.1:7100\n" +
			"  carobknot profiles -log http://127.0.0.1:7100 -json\n" +
			"  carobknot profiles -log http://127.0.0.1:7100 -settle ID\n" +
			"\nExit codes of -settle:\n" +
			"  0  accepted: the change is in force, or was\n" +
			"  3  conflict: another change of the profile came first\n" +
			"  4  not accepted: the log has no such change; publish it again\n" +
			"  5  unknown: the log cannot be read\n",
		parse: parseProfiles,
	}
}

func parseProfiles(flags *flag.FlagSet) runner {
	url := flags.String("log", "", "`URL` of the platform's log")
	settle := flags.String("settle", "", "say what became of the change with this `ID`")
	asJSON := flags.Bool("json", false, "print the profiles in force as JSON, whole")
	patience := flags.Duration("patience", logPatience, "longest `TIME` that one request to the log may take")
	return func(cx context.Context, sd *streams, args []string) error {
		if *url == "" || len(args) > 0 {
			return errUsage("-log URL is needed, and no operands")
		}
		client := carobplatform.NewClient(carobplatform.Config{URL: *url, Patience: *patience})
		lg := carobledger.NewLedger(carobledger.Config{Log: client})
		if err := lg.Read(cx); err != nil {
			return carobkind.Wrap(carobkind.AppendUncertain, err, "the log cannot be read")
		}
		switch {
		case *settle != "":
			return settleChange(sd, lg, *settle)
		case *asJSON:
			return printJSON(sd.out, lg)
		default:
			return printLedger(sd, lg)
		}
	}
}

func settleChange(sd *streams, lg *carobledger.Ledger, id string) error {
	cr, ok := lg.Find(id)
	if ok {
		return tell(sd, cr)
	}
	if !lg.Whole() {
		return carobkind.New(carobkind.AppendUncertain, "unknown: the log does not keep the first changes any more")
	}
	return carobkind.New(carobkind.LogUnavailable, "not accepted: the log has no change %s up to offset %d; publish it again", id, lg.Next()-1)
}

func printJSON(out io.Writer, lg *carobledger.Ledger) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(inForce(lg)); err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "print profiles")
	}
	return nil
}

func printLedger(sd *streams, lg *carobledger.Ledger) error {
	if !lg.Whole() {
		_, _ = fmt.Fprintln(sd.err, "carobknot profiles: the log keeps neither the first changes nor a snapshot; what follows is not whole")
	}
	table := tabwriter.NewWriter(sd.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "PROFILE\tREVISION\tONCE\tDEADLINE\tTRIES\tWHO\tWHEN")
	for _, rv := range inForce(lg) {
		pf := rv.Change.Profile
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%d\t%s\t%s\n", pf.Name, rv.Offset, pf.Guarantee, pf.Deadline, pf.Attempts,
			rv.Change.Who, rv.Change.When.Format(time.RFC3339))
	}
	_, _ = fmt.Fprintln(table, "\nCHANGE\tPROFILE\tBASE\tEND\tWHO\tWHEN")
	for _, cr := range lg.History {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\n", cr.Offset, cr.Change.Profile.Name, base(cr.Change.Profile.Base),
			end(cr), cr.Change.Who, cr.Change.When.Format(time.RFC3339))
	}
	return table.Flush()
}

func inForce(lg *carobledger.Ledger) []carobrevision.Revision {
	all := lg.InForce()
	slices.SortFunc(all, func(a, b carobrevision.Revision) int {
		return cmp.Compare(a.Change.Profile.Name, b.Change.Profile.Name)
	})
	return all
}

func base(offset caroboffset.Offset) string {
	if offset == caroboffset.BeforeFirst {
		return "none"
	}
	return fmt.Sprint(offset)
}

func end(cr carobchangeresult.ChangeResult) string {
	if cr.Applied {
		return "accepted"
	}
	return fmt.Sprintf("conflict with %s", base(cr.Previous.Offset))
}
