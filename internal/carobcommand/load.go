package carobcommand

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/carobknot/carobknot/internal/carobloadgenerator"
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
	c := carobloadgenerator.Config{}
	var direct []carobaddress.Address
	flags.Func("nodes", "`ADDRS` at which nodes accept calls, separated by commas", parseAddresses(&c.Nodes))
	flags.Func("direct", "`ADDRS` of targets that get the same load directly, for comparison", parseAddresses(&direct))
	flags.Func("service", "`NAME` of the service that is called", func(text string) error {
		c.Service = carobservice.Service(text)
		return c.Service.Check()
	})
	flags.Float64Var(&c.Rate, "rate", 100, "mean `CALLS` a second")
	flags.IntVar(&c.MaxCalls, "count", 0, "maximum number of `CALLS`; 0 is no limit")
	flags.DurationVar(&c.Duration, "duration", 10*time.Second, "`TIME` for which calls are sent")
	flags.DurationVar(&c.Warmup, "skip", 0, "`TIME` at the start whose calls are not counted")
	flags.Uint64Var(&c.Seed, "seed", 1, "`SEED` of arrivals and bodies")
	flags.TextVar(&c.RequestSize, "size", c.RequestSize, "`SIZE` of each body")
	flags.TextVar(&c.AnswerSize, "answer", c.AnswerSize, "`SIZE` of each answer; 0B makes the target send the body back")
	flags.TextVar(&c.KeyShare, "keys", c.KeyShare, "`SHARE` of calls with an idempotency key")
	flags.DurationVar(&c.Deadline, "deadline", 2*time.Second, "`TIME` until the deadline of a call")
	report := flags.String("report", "", "`FILE` for a report as JSON")
	return func(ctx context.Context, std *stdStreams, args []string) error {
		if len(c.Nodes) == 0 || c.Service == "" || c.Rate <= 0 || c.Deadline <= 0 || len(args) > 0 {
			return usageError("-nodes and -service are needed, -rate and -deadline must be above 0, and no operands are taken")
		}
		return runLoad(ctx, std, c, direct, *report)
	}
}

// parseAddresses returns a flag function that appends a list of addresses, separated
// by commas, to result.
func parseAddresses(result *[]carobaddress.Address) func(text string) error {
	return func(text string) error {
		for part := range strings.SplitSeq(text, ",") {
			address := carobaddress.Address(part)
			if err := address.Check(); err != nil {
				return err
			}
			*result = append(*result, address)
		}
		return nil
	}
}

// runLoad sends the load to the nodes and, at the same time, the same load directly to
// the targets of direct, if there are any. It prints the summaries and writes them to a
// file, if one is named.
func runLoad(ctx context.Context, std *stdStreams, c carobloadgenerator.Config, direct []carobaddress.Address, file string) error {
	c.Timer = carobtimer.NewTimer()
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go c.Timer.Run(inner)
	c.Name = "nodes"
	configs := []carobloadgenerator.Config{c}
	if len(direct) > 0 {
		c.Name, c.Nodes, c.Direct = "direct", direct, true
		configs = append(configs, c)
	}
	summaries := make([]*carobsummary.Summary, len(configs))
	var running sync.WaitGroup
	for i, config := range configs {
		running.Go(func() { summaries[i] = carobloadgenerator.NewLoadGenerator(config).Run(ctx) })
	}
	running.Wait()
	carobsummary.WriteTable(std.out, summaries...)
	if err := writeReport(file, summaries); err != nil {
		return err
	}
	return checkAnswers(summaries)
}

// checkAnswers returns an error if an answer was truncated or belongs to another call.
func checkAnswers(summaries []*carobsummary.Summary) error {
	for _, summary := range summaries {
		if summary.Wrong > 0 {
			return carobkind.New(carobkind.Internal, "%d answers are truncated or belong to other calls", summary.Wrong)
		}
	}
	return nil
}

// writeReport writes a report as JSON to a file. It does nothing if file is empty.
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
