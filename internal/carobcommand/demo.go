package carobcommand

import (
	"context"
	"flag"
	"time"

	"github.com/carobknot/carobknot/internal/carobdemo"
)

func demoCommand() Command {
	return Command{
		name:     "demo",
		summary:  "Run log, targets, nodes and load on this machine",
		examples: "  carobknot demo\n  carobknot demo -phase 10s\n",
		parse:    parseDemo,
	}
}

func parseDemo(flags *flag.FlagSet) runner {
	c := carobdemo.Config{}
	flags.DurationVar(&c.PhaseDuration, "phase", 3*time.Second, "`TIME` that each of the three phases takes")
	flags.Uint64Var(&c.Seed, "seed", 1, "`SEED` of arrivals and service times")
	return func(ctx context.Context, std *stdStreams, args []string) error {
		if c.PhaseDuration <= 0 || c.PhaseDuration > 15*time.Second || len(args) > 0 {
			return usageError("-phase must be above 0 and at most 15s, and no operands are taken")
		}
		c.Out = std.out
		return carobdemo.NewDemo(c).Run(ctx)
	}
}
