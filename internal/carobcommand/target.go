package carobcommand

import (
	"context"
	"flag"
	"fmt"
	"net"

	"github.com/carobknot/carobknot/internal/carobstandtarget"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobword"
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
	c := carobstandtarget.Config{}
	listen := flags.String("listen", "127.0.0.1:0", "`ADDR` to listen at")
	flags.TextVar(&c.ID, "id", c.ID, "`SERVICE/NAME` of the target")
	flags.Func("profile", "`NAME` of the routing profile that the service picks", func(text string) error {
		c.Profile = carobword.Word(text)
		return c.Profile.Check("profile")
	})
	flags.Func("admin", "`ADDR` of the node's admin side", func(text string) error {
		c.Admin = carobaddress.Address(text)
		return c.Admin.Check()
	})
	flags.IntVar(&c.Slots, "slots", 12, "calls that run at once")
	flags.IntVar(&c.Conns, "conns", 200, "connections that are accepted")
	flags.DurationVar(&c.Latency, "latency", 0, "time that each call takes")
	return func(cx context.Context, sd *streams, args []string) error {
		if c.ID.Service == "" || c.Profile == "" || c.Admin == "" || len(args) > 0 {
			return errUsage("-id, -profile and -admin are needed, and no operands")
		}
		return runTarget(cx, sd, c, *listen)
	}
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
