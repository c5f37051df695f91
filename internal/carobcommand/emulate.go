package carobcommand

import (
	"context"
	"flag"
	"time"

	"github.com/carobknot/carobknot/internal/carobemulator"
	"github.com/carobknot/carobknot/internal/carobscenario"
	"github.com/carobknot/carobknot/internal/carobsummary"
	"github.com/carobknot/carobknot/pkg/carobname"
)

func emulateCommand() Command {
	return Command{
		name:    "emulate",
		summary: "Play a scenario in virtual time, with the nodes' own decisions",
		examples: "  carobknot emulate -scenario examples/emulate/noisy.json -duration 60s\n" +
			"  carobknot emulate -scenario examples/emulate/noisy.json -checks 0 -seed 7\n",
		parse: parseEmulate,
	}
}

func parseEmulate(flags *flag.FlagSet) runner {
	file := flags.String("scenario", "", "`FILE` of the scenario, JSON with comments")
	duration := flags.Duration("duration", 20*time.Second, "virtual `TIME` that is played")
	seed := flags.Uint64("seed", 1, "`SEED` of load and noise")
	policy := flags.String("policy", "", "`NAME` of the routing policy, in place of the scenario's")
	checks := flags.Int("checks", -1, "health checks a second, in place of the scenario's")
	queue := flags.Int("queue", -1, "length of targets' queues, in place of the scenario's")
	return func(_ context.Context, std *stdStreams, args []string) error {
		if *file == "" || *duration <= 0 || len(args) > 0 {
			return usageError("-scenario FILE and a -duration above 0 are needed, and no operands")
		}
		scenario, err := carobscenario.Load(*file)
		if err != nil {
			return err
		}
		if *policy != "" {
			scenario.Profile.Policy = carobname.Name(*policy)
		}
		if *checks >= 0 {
			scenario.ProbeLimits.ChecksPerSecond = *checks
		}
		if *queue >= 0 {
			scenario.Profile.QueueLimit = *queue
		}
		if err := scenario.Check(); err != nil {
			return err
		}
		emulator, err := carobemulator.NewEmulator(carobemulator.Config{Scenario: scenario, Seed: *seed})
		if err != nil {
			return err
		}
		carobsummary.WriteTable(std.out, emulator.Run(*duration)...)
		return nil
	}
}
