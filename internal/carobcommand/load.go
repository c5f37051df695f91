package carobcommand

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/carobknot/carobknot/internal/carobloader"
	"github.com/carobknot/carobknot/internal/carobsummary"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobservice"
)

func loadCommand() Command {
	return Command{
		name:     "load",
		summary:  "Send a load of calls and check every answer",
		examples: "  carobknot load -nodes 127.0.0.1:7001,127.0.0.1:7011 -service lookups -rate 200 -duration 10s\n",
		parse:    parseLoad,
	}
}

func parseLoad(flags *flag.FlagSet) runner {
	c := carobloader.Config{}
	var direct []carobaddress.Address
	flags.Func("nodes", "`ADDRS` that nodes take calls at, with commas between", addresses(&c.Nodes))
	flags.Func("direct", "`ADDRS` of targets for a second load beside the first, to compare with", addresses(&direct))
	flags.Func("service", "`NAME` of the service that is called", func(text string) error {
		c.Service = carobservice.Service(text)
		return c.Service.Check()
	})
	flags.Float64Var(&c.Rate, "rate", 100, "mean `CALLS` a second")
	flags.IntVar(&c.Count, "count", 0, "most `CALLS` that are sent; 0 is no bound")
	flags.DurationVar(&c.Duration, "duration", 10*time.Second, "`TIME` for which calls are sent")
	flags.DurationVar(&c.Skip, "skip", 0, "`TIME` at the beginning in which calls are not counted")
	flags.Uint64Var(&c.Seed, "seed", 1, "`SEED` of arrivals and bodies")
	flags.TextVar(&c.Size, "size", c.Size, "`SIZE` of each body")
	flags.TextVar(&c.Answer, "answer", c.Answer, "`SIZE` of each answer; 0B has the body sent back")
	flags.TextVar(&c.Keys, "keys", c.Keys, "`SHARE` of calls with an idempotency key")
	flags.DurationVar(&c.Deadline, "deadline", 2*time.Second, "`TIME` that callers wait")
	report := flags.String("report", "", "`FILE` for a report as JSON")
	return func(cx context.Context, sd *streams, args []string) error {
		if len(c.Nodes) == 0 || c.Service == "" || c.Rate <= 0 || c.Deadline <= 0 || len(args) > 0 {
			return errUsage("-nodes and -service are needed, -rate and -deadline above 0, and no operands")
		}
		return runLoad(cx, sd, c, direct, *report)
	}
}

// addresses returns what reads a list of addresses.
func addresses(into *[]carobaddress.Address) func(text string) error {
	return func(text string) error {
		for part := range strings.SplitSeq(text, ",") {
			ad := carobaddress.Address(part)
			if err := ad.Check(); err != nil {
				return err
			}
			*into = append(*into, ad)
		}
		return nil
	}
}

func runLoad(cx context.Context, sd *streams, c carobloader.Config, direct []carobaddress.Address, file string) error {
	c.Timer = carobtimer.NewTimer()
	inner, cancel := context.WithCancel(context.WithoutCancel(cx))
	defer cancel()
	go c.Timer.Run(inner)
	c.Name = "nodes"
	loads := []carobloader.Config{c}
	if len(direct) > 0 {
		c.Name, c.Nodes, c.Direct = "direct", direct, true
		loads = append(loads, c)
	}
	summaries := make([]*carobsummary.Summary, len(loads))
	var running sync.WaitGroup
	for i, ld := range loads {
		running.Go(func() { summaries[i] = carobloader.NewLoader(ld).Run(cx) })
	}
	running.Wait()
	carobsummary.Table(sd.out, summaries...)
	if err := writeReport(file, summaries); err != nil {
		return err
	}
	return checkAnswers(summaries)
}

// checkAnswers is an error if an answer was cut or not the call's own.
func checkAnswers(summaries []*carobsummary.Summary) error {
	for _, sm := range summaries {
		if sm.Wrong > 0 {
			return carobkind.New(carobkind.Internal, "%d answers are cut or belong to other calls", sm.Wrong)
		}
	}
	return nil
}

// writeReport writes a value as JSON, if a file is named.
func writeReport(file string, report any) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "encode report")
	}
	const mode = 0o600
	if err := os.WriteFile(file, append(data, '\n'), mode); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "write report")
	}
	return nil
}
