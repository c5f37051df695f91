package carobcommand

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/carobknot/carobknot/internal/carobbench"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobprobelimits"
)

func benchCommand() Command {
	return Command{
		name:     "bench",
		summary:  "Measure the decisions under shifting load, on loopback",
		examples: "  carobknot bench -cases steady80,straggler -rounds 3 -report reports/bench.json\n",
		parse:    parseBench,
	}
}

func parseBench(flags *flag.FlagSet) runner {
	c := carobbench.Config{ProbeRate: carobprobelimits.NewProbeLimits().BytesPerSecond}
	flags.Func("deployments", "`NAMES` of the deployments to measure, separated by commas; all if none", parseNames(&c.Deployments))
	flags.Func("cases", "`NAMES` of the cases to measure, separated by commas; the default ones if none", parseNames(&c.Cases))
	flags.Func("variants", "`NAMES` of the variants to compare, separated by commas; the default ones if none", parseNames(&c.Variants))
	flags.IntVar(&c.Rounds, "rounds", 2, "how often each cell is measured")
	flags.DurationVar(&c.Duration, "duration", 1500*time.Millisecond, "`TIME` of each cell whose calls are counted")
	flags.DurationVar(&c.MeanLatency, "mean", 25*time.Millisecond, "mean `TIME` of a call on its target")
	flags.TextVar(&c.ProbeRate, "measure", c.ProbeRate, "maximum `BYTES` a second that a node sends for probes and reports")
	flags.DurationVar(&c.TimeLimit, "limit", 9*time.Minute, "`TIME` after which no further cell is started")
	flags.Uint64Var(&c.Seed, "seed", 1, "`SEED` of load and faults")
	report := flags.String("report", "", "`FILE` for a report as JSON")
	return func(ctx context.Context, std *stdStreams, args []string) error {
		if c.Rounds < 1 || c.Duration <= 0 || c.MeanLatency <= 0 || len(args) > 0 {
			return usageError("-rounds, -duration and -mean must be above 0, and no operands are taken")
		}
		c.Out = std.out
		return runBench(ctx, c, *report)
	}
}

// parseNames returns a flag function that splits a list at its commas into result.
func parseNames(result *[]string) func(text string) error {
	return func(text string) error {
		*result = strings.Split(text, ",")
		return nil
	}
}

// runBench runs the bench in a temporary folder. It uses the executable of this process
// for the nodes and targets. The report goes to a file, if one is named.
func runBench(ctx context.Context, c carobbench.Config, report string) error {
	var err error
	if c.Program, err = os.Executable(); err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "find the executable")
	}
	if c.Folder, err = os.MkdirTemp("", "carobknot-bench"); err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "create temporary folder")
	}
	defer func() { _ = os.RemoveAll(c.Folder) }()
	c.Timer = carobtimer.NewTimer()
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go c.Timer.Run(inner)
	bench := carobbench.NewBench(c)
	if err := bench.Run(ctx); err != nil {
		return err
	}
	if report != "" {
		const mode = 0o750
		if err := os.MkdirAll(filepath.Dir(report), mode); err != nil {
			return carobkind.Wrap(carobkind.Invalid, err, "create folder of the report")
		}
	}
	return writeReport(report, bench.Report())
}
