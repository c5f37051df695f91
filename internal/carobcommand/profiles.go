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

	"github.com/carobknot/carobknot/internal/caroblogclient"
	"github.com/carobknot/carobknot/internal/carobprofilehistory"
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
	timeout := flags.Duration("patience", logTimeout, "longest `TIME` that one request to the log may take")
	return func(ctx context.Context, std *stdStreams, args []string) error {
		if *url == "" || len(args) > 0 {
			return usageError("-log URL is needed, and no operands")
		}
		client := caroblogclient.NewLogClient(caroblogclient.Config{URL: *url, Timeout: *timeout})
		history := carobprofilehistory.NewProfileHistory(carobprofilehistory.Config{Log: client})
		if err := history.Read(ctx); err != nil {
			return carobkind.Wrap(carobkind.AppendUncertain, err, "the log cannot be read")
		}
		switch {
		case *settle != "":
			return settleChange(std, history, *settle)
		case *asJSON:
			return printJSON(std.out, history)
		default:
			return printTables(std, history)
		}
	}
}

// settleChange prints the result of the change with an ID.
func settleChange(std *stdStreams, history *carobprofilehistory.ProfileHistory, id string) error {
	result, ok := history.FindResult(id)
	if ok {
		return reportResult(std, result)
	}
	if !history.Complete() {
		return carobkind.New(carobkind.AppendUncertain, "unknown: the log no longer keeps the first changes")
	}
	return carobkind.New(carobkind.LogUnavailable, "not accepted: the log has no change %s up to offset %d; publish it again", id, history.NextOffset()-1)
}

// printJSON prints the revisions in force as a JSON list.
func printJSON(out io.Writer, history *carobprofilehistory.ProfileHistory) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(sortedRevisions(history)); err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "print profiles")
	}
	return nil
}

// printTables prints the profiles in force and the history of changes as tables.
func printTables(std *stdStreams, history *carobprofilehistory.ProfileHistory) error {
	if !history.Complete() {
		_, _ = fmt.Fprintln(std.err, "carobknot profiles: the log keeps neither the first changes nor a snapshot of them; the output is incomplete")
	}
	table := tabwriter.NewWriter(std.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "PROFILE\tREVISION\tONCE\tDEADLINE\tTRIES\tWHO\tWHEN")
	for _, revision := range sortedRevisions(history) {
		profile := revision.Change.Profile
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%d\t%s\t%s\n", profile.Name, revision.Offset, profile.Guarantee, profile.Deadline, profile.Attempts,
			revision.Change.Who, revision.Change.When.Format(time.RFC3339))
	}
	_, _ = fmt.Fprintln(table, "\nCHANGE\tPROFILE\tBASE\tEND\tWHO\tWHEN")
	for _, result := range history.Results {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\n", result.Offset, result.Change.Profile.Name, formatBase(result.Change.Profile.Base),
			formatResult(result), result.Change.Who, result.Change.When.Format(time.RFC3339))
	}
	return table.Flush()
}

// sortedRevisions returns the revisions in force, sorted by the names of the profiles.
func sortedRevisions(history *carobprofilehistory.ProfileHistory) []carobrevision.Revision {
	revisions := history.RevisionsInForce()
	slices.SortFunc(revisions, func(a, b carobrevision.Revision) int {
		return cmp.Compare(a.Change.Profile.Name, b.Change.Profile.Name)
	})
	return revisions
}

// formatBase formats the offset of a base.
func formatBase(offset caroboffset.Offset) string {
	if offset == caroboffset.BeforeFirst {
		return "none"
	}
	return fmt.Sprint(offset)
}

// formatResult formats the result of a change for the history.
func formatResult(result carobchangeresult.ChangeResult) string {
	if result.Applied {
		return "accepted"
	}
	return fmt.Sprintf("conflict with %s", formatBase(result.Previous.Offset))
}
