package carobcommand

import (
	"context"
	"flag"
	"fmt"
	"net"

	"github.com/carobknot/carobknot/internal/carobbehaviour"
	"github.com/carobknot/carobknot/internal/carobfaketarget"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
)

func targetCommand() Command {
	return Command{
		name:     "target",
		summary:  "Run a stand-in for a target, for tests",
		examples: "  carobknot target -id lookups/a -profile lookups -admin 127.0.0.1:7003\n",
		parse:    parseTarget,
	}
}

func parseTarget(flags *flag.FlagSet) runner {
	c := carobfaketarget.Config{Behaviour: carobbehaviour.NewBehaviour()}
	listen := flags.String("listen", "127.0.0.1:0", "`ADDR` to listen at")
	flags.TextVar(&c.ID, "id", c.ID, "`SERVICE/NAME` of the target")
	flags.Func("profile", "`NAME` of the routing profile of the service", func(text string) error {
		c.Profile = carobname.Name(text)
		return c.Profile.Check("profile")
	})
	flags.Func("admin", "`ADDR` of the node's admin server", func(text string) error {
		c.Admin = carobaddress.Address(text)
		return c.Admin.Check()
	})
	flags.IntVar(&c.Slots, "slots", 12, "maximum number of calls that run at once")
	flags.IntVar(&c.Connections, "conns", 200, "maximum number of connections")
	flags.Uint64Var(&c.Seed, "seed", 1, "`SEED` of all random times")
	behaviourFlags(flags, &c.Behaviour)
	return func(ctx context.Context, std *stdStreams, args []string) error {
		if c.ID.Service == "" || c.Profile == "" || c.Admin == "" || len(args) > 0 {
			return usageError("-id, -profile and -admin are needed, and no operands")
		}
		if err := c.Behaviour.Check(); err != nil {
			return usageError(err.Error())
		}
		return runTarget(ctx, std, c, *listen)
	}
}

// behaviourFlags declares the flags of the initial behaviour of the target. All of it
// can be changed while the target runs, by a PUT of JSON to /_behaviour at its address.
func behaviourFlags(flags *flag.FlagSet, behaviour *carobbehaviour.Behaviour) {
	flags.TextVar(&behaviour.Latency, "latency", behaviour.Latency, "mean `TIME` that a call takes")
	flags.StringVar(&behaviour.Shape, "shape", behaviour.Shape, "`NAME` of the distribution of times: fixed, lognormal or pareto")
	flags.Float64Var(&behaviour.Sigma, "sigma", behaviour.Sigma, "width of the log-normal distribution")
	flags.Float64Var(&behaviour.Alpha, "alpha", behaviour.Alpha, "exponent of the bounded Pareto distribution")
	flags.TextVar(&behaviour.JumpInterval, "gap", behaviour.JumpInterval, "mean `TIME` between two jumps of load; 0s is none")
	flags.TextVar(&behaviour.Warmup, "cold", behaviour.Warmup, "`TIME` of the warm-up after the start")
}

// runTarget runs the stand-in for a target until ctx is done.
func runTarget(ctx context.Context, std *stdStreams, c carobfaketarget.Config, listen string) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", listen)
	if err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "listen")
	}
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	c.Timer, c.Logger = carobtimer.NewTimer(), newLogger(std)
	go c.Timer.Run(inner)
	_, _ = fmt.Fprintf(std.out, "target=%s\n", listener.Addr())
	return carobfaketarget.NewFakeTarget(c).Run(ctx, listener)
}
