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
	c := carobbench.Config{Measure: carobprobelimits.NewProbeLimits().BytesPerSecond}
	flags.Func("deployments", "`NAMES` of the deployments to measure, with commas between; all if none", names(&c.Deployments))
	flags.Func("cases", "`NAMES` of the cases to measure; the deciding ones if none", names(&c.Cases))
	flags.Func("variants", "`NAMES` of the variants to compare; the usual ones if none", names(&c.Variants))
	flags.IntVar(&c.Rounds, "rounds", 2, "how often each cell is measured")
	flags.DurationVar(&c.Duration, "duration", 1500*time.Millisecond, "`TIME` that is counted in each cell")
	flags.DurationVar(&c.Mean, "mean", 25*time.Millisecond, "mean `TIME` of a call on its target")
	flags.TextVar(&c.Measure, "measure", c.Measure, "most `BYTES` a second that a node sends for measuring")
	flags.DurationVar(&c.Limit, "limit", 9*time.Minute, "`TIME` after which no cell is begun")
	flags.Uint64Var(&c.Seed, "seed", 1, "`SEED` of load and faults")
	report := flags.String("report", "", "`FILE` for a report as JSON")
	return func(cx context.Context, sd *streams, args []string) error {
		if c.Rounds < 1 || c.Duration <= 0 || c.Mean <= 0 || len(args) > 0 {
			return errUsage("-rounds, -duration and -mean must be above 0, and no operands")
		}
		c.Out = sd.out
		return runBench(cx, c, *report)
	}
}

func names(into *[]string) func(text string) error {
	return func(text string) error {
		*into = strings.Split(text, ",")
		return nil
	}
}

func runBench(cx context.Context, c carobbench.Config, report string) error {
	var err error
	if c.Program, err = os.Executable(); err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "find own program")
	}
	if c.Folder, err = os.MkdirTemp("", "carobknot-bench"); err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "make folder")
	}
	defer func() { _ = os.RemoveAll(c.Folder) }()
	c.Timer = carobtimer.NewTimer()
	inner, cancel := context.WithCancel(context.WithoutCancel(cx))
	defer cancel()
	go c.Timer.Run(inner)
	bn := carobbench.NewBench(c)
	if err := bn.Run(cx); err != nil {
		return err
	}
	if report != "" {
		const mode = 0o750
		if err := os.MkdirAll(filepath.Dir(report), mode); err != nil {
			return carobkind.Wrap(carobkind.Invalid, err, "make folder of report")
		}
	}
	return writeReport(report, bn.Report())
}
