package carobcommand

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"os/user"
	"time"

	"github.com/carobknot/carobknot/internal/caroblogclient"
	"github.com/carobknot/carobknot/internal/carobprofilehistory"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobchangeresult"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

const (
	// logTimeout is the default timeout of a request to the log.
	logTimeout = 5 * time.Second
	// maxAppends is how often a change is appended at most while it is not known
	// whether it is in the log.
	maxAppends = 3
)

func publishCommand() Command {
	return Command{
		name:     "publish",
		summary:  "Publish a profile",
		operands: "FILE",
		examples: "  carobknot publish -log http://127.0.0.1:7100 examples/profiles/lookups.json\n" +
			"\nExit codes:\n" +
			"  0  accepted: the change is in force\n" +
			"  3  conflict: another change of the profile came first\n" +
			"  4  not accepted, since the log is out\n" +
			"  5  unknown; the command that settles it is printed\n",
		parse: parsePublish,
	}
}

func parsePublish(flags *flag.FlagSet) runner {
	url := flags.String("log", "", "`URL` of the platform's log")
	timeout := flags.Duration("patience", logTimeout, "longest `TIME` that one request to the log may take")
	return func(ctx context.Context, std *stdStreams, args []string) error {
		if *url == "" || len(args) != 1 {
			return usageError("-log URL and one FILE are needed")
		}
		client := caroblogclient.NewLogClient(caroblogclient.Config{URL: *url, Timeout: *timeout})
		p := &publisher{
			std: std, url: *url, log: client,
			history: carobprofilehistory.NewProfileHistory(carobprofilehistory.Config{Log: client}),
		}
		return p.publish(ctx, args[0])
	}
}

// publisher publishes one change of a profile.
type publisher struct {
	std     *stdStreams
	url     string
	log     *caroblogclient.LogClient
	history *carobprofilehistory.ProfileHistory
	// change is empty until publish has read the file.
	change carobchange.Change
}

// publish publishes the profile of a file. Without a base in the file, the base is the
// revision in force.
func (p *publisher) publish(ctx context.Context, file string) error {
	profile, hasBase, err := readProfile(file)
	if err != nil {
		return err
	}
	if err := p.history.Read(ctx); err != nil {
		return carobkind.New(carobkind.LogUnavailable, "not accepted: the log cannot be read: %s", err)
	}
	if !p.history.Complete() {
		return carobkind.New(carobkind.LogUnavailable, "not accepted: the log keeps neither the first changes nor a snapshot of them; "+
			"nodes that run append one within seconds, so try again")
	}
	if !hasBase {
		profile.Base = p.history.CurrentOffset(profile.Name)
	}
	p.change = carobchange.Change{ID: rand.Text(), Profile: profile, Who: operator(), When: carobtimer.NewTimer().WallTime().UTC()}
	data, err := json.Marshal(p.change)
	if err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "encode change")
	}
	return p.appendChange(ctx, data)
}

// appendChange appends the change and reads its result from the log. If the response to
// the append is lost and the change is not in the log, it is appended again. Both
// records have the same base, so at most one of them is accepted, even if the first one
// reaches the log late.
func (p *publisher) appendChange(ctx context.Context, data []byte) error {
	uncertain := false
	for range maxAppends {
		_, err := p.log.Append(ctx, carobstream.Profiles, data)
		if carobkind.Of(err) == carobkind.LogUnavailable && !uncertain {
			return carobkind.New(carobkind.LogUnavailable, "not accepted: the log is out: %s", err)
		}
		uncertain = uncertain || err != nil
		if err := p.history.Read(ctx); err != nil {
			break
		}
		if result, ok := p.history.FindResult(p.change.ID); ok {
			return reportResult(p.std, result)
		}
	}
	return carobkind.New(carobkind.AppendUncertain, "unknown: the log's answer is lost; settle it with:\n  carobknot profiles -log %s -settle %s",
		p.url, p.change.ID)
}

// reportResult prints that a change was accepted, or returns an error of kind Conflict.
func reportResult(std *stdStreams, result carobchangeresult.ChangeResult) error {
	name := result.Change.Profile.Name
	if result.Applied {
		_, _ = fmt.Fprintf(std.out, "accepted: profile %s at offset %d\n", name, result.Offset)
		return nil
	}
	if result.Previous.Offset < 0 {
		return carobkind.New(carobkind.Conflict, "conflict: profile %s has no revision %d", name, result.Change.Profile.Base)
	}
	winner := result.Previous.Change
	return carobkind.New(carobkind.Conflict, "conflict: profile %s is at offset %d, published by %s at %s, and not at %d",
		name, result.Previous.Offset, winner.Who, winner.When.Format(time.RFC3339), result.Change.Profile.Base)
}

// operator returns the name of the user who runs the command, or "unknown".
func operator() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
