package carobcommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os/user"
	"time"

	"github.com/carobknot/carobknot/internal/carobplatform"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobfold"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const logPatience = 5 * time.Second

func publishCommand() Command {
	return Command{
		name:     "publish",
		summary:  "Publish a profile",
		operands: "FILE",
		examples: "  carobknot publish -log http://127.0.0.1:7100 examples/profiles/lookups.json\n",
		parse:    parsePublish,
	}
}

func parsePublish(flags *flag.FlagSet) runner {
	url := flags.String("log", "", "`URL` of the platform's log")
	return func(cx context.Context, sd *streams, args []string) error {
		if *url == "" || len(args) != 1 {
			return errUsage("-log URL and one FILE are needed")
		}
		return runPublish(cx, sd, *url, args[0])
	}
}

func runPublish(cx context.Context, sd *streams, url, file string) error {
	pf, err := readProfile(file)
	if err != nil {
		return err
	}
	ch := carobchange.Change{Profile: pf, Who: operator(), When: carobtimer.NewTimer().Wall()}
	data, err := json.Marshal(ch)
	if err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "encode change")
	}
	client := carobplatform.NewClient(carobplatform.Config{URL: url, Patience: logPatience})
	offset, err := client.Append(cx, carobstream.Profiles, data)
	if err != nil {
		return err
	}
	return confirm(cx, sd, client, pf, offset)
}

// confirm reads back whether the change at an offset won.
func confirm(cx context.Context, sd *streams, client *carobplatform.Client, pf carobprofile.Profile, offset caroboffset.Offset) error {
	w := carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()})
	fold := carobfold.NewSystem()
	for w.ProfilesRead < offset {
		pg, err := client.Read(cx, carobstream.Profiles, w.ProfilesRead+1, 0)
		if err != nil {
			return carobkind.Wrap(carobkind.Unsure, err, "read back")
		}
		w.Begin(carobinbox.Inbox{Records: pg.Records})
		fold.Run(w, 1)
	}
	rv := w.Profiles.Get(pf.Name)
	if rv == nil || rv.Offset != offset {
		return carobkind.New(carobkind.Conflict, "conflict on profile %s", pf.Name)
	}
	_, _ = fmt.Fprintf(sd.out, "accepted: profile %s at offset %d\n", pf.Name, offset)
	return nil
}

func operator() string {
	us, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return us.Username
}
