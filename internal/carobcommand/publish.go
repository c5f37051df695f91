package carobcommand

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"os/user"
	"time"

	"github.com/carobknot/carobknot/internal/carobledger"
	"github.com/carobknot/carobknot/internal/carobplatform"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobchangeresult"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

const (
	// logPatience is how long one request to the log may take.
	logPatience = 5 * time.Second
	// appends is how often a change is appended while its end is not known.
	appends = 3
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
	patience := flags.Duration("patience", logPatience, "longest `TIME` that one request to the log may take")
	return func(cx context.Context, sd *streams, args []string) error {
		if *url == "" || len(args) != 1 {
			return errUsage("-log URL and one FILE are needed")
		}
		client := carobplatform.NewClient(carobplatform.Config{URL: *url, Patience: *patience})
		p := &publisher{
			streams: sd, url: *url, log: client,
			ledger: carobledger.NewLedger(carobledger.Config{Log: client}),
		}
		return p.publish(cx, args[0])
	}
}

// publisher publishes one change.
type publisher struct {
	streams *streams
	url     string
	log     *carobplatform.Client
	ledger  *carobledger.Ledger
	change  carobchange.Change
}

func (p *publisher) publish(cx context.Context, file string) error {
	pf, based, err := readProfile(file)
	if err != nil {
		return err
	}
	if err := p.ledger.Read(cx); err != nil {
		return carobkind.New(carobkind.LogUnavailable, "not accepted: the log cannot be read: %s", err)
	}
	if !p.ledger.Whole() {
		return carobkind.New(carobkind.LogUnavailable, "not accepted: the log keeps neither the first changes nor a snapshot of them; "+
			"nodes that run append one within seconds, so try again")
	}
	if !based {
		pf.Base = p.ledger.Of(pf.Name)
	}
	p.change = carobchange.Change{ID: rand.Text(), Profile: pf, Who: operator(), When: carobtimer.NewTimer().Wall().UTC()}
	data, err := json.Marshal(p.change)
	if err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "encode change")
	}
	return p.settle(cx, data)
}

// settle appends the change and reads back what became of it. If the answer to
// the append is lost and the change is not in the log, it is appended again: both
// have the same base, so at most one can win, also if the first comes late.
func (p *publisher) settle(cx context.Context, data []byte) error {
	unsure := false
	for range appends {
		_, err := p.log.Append(cx, carobstream.Profiles, data)
		if carobkind.Of(err) == carobkind.LogUnavailable && !unsure {
			return carobkind.New(carobkind.LogUnavailable, "not accepted: the log is out: %s", err)
		}
		unsure = unsure || err != nil
		if err := p.ledger.Read(cx); err != nil {
			break
		}
		if cr, ok := p.ledger.Find(p.change.ID); ok {
			return tell(p.streams, cr)
		}
	}
	return carobkind.New(carobkind.AppendUncertain, "unknown: the log's answer is lost; settle it with:\n  carobknot profiles -log %s -settle %s",
		p.url, p.change.ID)
}

// tell says what became of a change.
func tell(sd *streams, cr carobchangeresult.ChangeResult) error {
	name := cr.Change.Profile.Name
	if cr.Applied {
		_, _ = fmt.Fprintf(sd.out, "accepted: profile %s at offset %d\n", name, cr.Offset)
		return nil
	}
	if cr.Previous.Offset < 0 {
		return carobkind.New(carobkind.Conflict, "conflict: profile %s has no revision %d", name, cr.Change.Profile.Base)
	}
	winner := cr.Previous.Change
	return carobkind.New(carobkind.Conflict, "conflict: profile %s is at offset %d, published by %s at %s, and not at %d",
		name, cr.Previous.Offset, winner.Who, winner.When.Format(time.RFC3339), cr.Change.Profile.Base)
}

func operator() string {
	us, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return us.Username
}
