package carobcommand

import (
	"context"
	"flag"
	"fmt"
	"net"

	"github.com/carobknot/carobknot/internal/carobbehaviour"
	"github.com/carobknot/carobknot/internal/carobstandtarget"
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
	c := carobstandtarget.Config{Behaviour: carobbehaviour.NewBehaviour()}
	listen := flags.String("listen", "127.0.0.1:0", "`ADDR` to listen at")
	flags.TextVar(&c.ID, "id", c.ID, "`SERVICE/NAME` of the target")
	flags.Func("profile", "`NAME` of the routing profile that the service picks", func(text string) error {
		c.Profile = carobname.Name(text)
		return c.Profile.Check("profile")
	})
	flags.Func("admin", "`ADDR` of the node's admin side", func(text string) error {
		c.Admin = carobaddress.Address(text)
		return c.Admin.Check()
	})
	flags.IntVar(&c.Slots, "slots", 12, "calls that run at once")
	flags.IntVar(&c.Conns, "conns", 200, "connections that are accepted")
	flags.Uint64Var(&c.Seed, "seed", 1, "`SEED` of all random times")
	behaviourFlags(flags, &c.Behaviour)
	return func(cx context.Context, sd *streams, args []string) error {
		if c.ID.Service == "" || c.Profile == "" || c.Admin == "" || len(args) > 0 {
			return errUsage("-id, -profile and -admin are needed, and no operands")
		}
		if err := c.Behaviour.Check(); err != nil {
			return errUsage(err.Error())
		}
		return runTarget(cx, sd, c, *listen)
	}
}

// behaviourFlags declares the flags for how the target behaves at first. All of
// it can be changed later by a PUT of JSON to /_behaviour at its address.
func behaviourFlags(flags *flag.FlagSet, bh *carobbehaviour.Behaviour) {
	flags.TextVar(&bh.Latency, "latency", bh.Latency, "mean `TIME` that a call takes")
	flags.StringVar(&bh.Shape, "shape", bh.Shape, "`NAME` of the distribution of times: fixed, lognormal or pareto")
	flags.Float64Var(&bh.Sigma, "sigma", bh.Sigma, "width of the log-normal distribution")
	flags.Float64Var(&bh.Alpha, "alpha", bh.Alpha, "exponent of the bounded Pareto distribution")
	flags.TextVar(&bh.Gap, "gap", bh.Gap, "mean `TIME` between two jumps of load; 0s is none")
	flags.TextVar(&bh.Cold, "cold", bh.Cold, "`TIME` of warming up after the start")
}

func runTarget(cx context.Context, sd *streams, c carobstandtarget.Config, listen string) error {
	var config net.ListenConfig
	ls, err := config.Listen(cx, "tcp", listen)
	if err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "listen")
	}
	inner, cancel := context.WithCancel(context.WithoutCancel(cx))
	defer cancel()
	c.Timer, c.Logger = carobtimer.NewTimer(), newLogger(sd)
	go c.Timer.Run(inner)
	_, _ = fmt.Fprintf(sd.out, "target=%s\n", ls.Addr())
	return carobstandtarget.NewTarget(c).Run(cx, ls)
}
