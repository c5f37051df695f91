package carobcommand

import (
	"context"
	"flag"
	"fmt"
	"runtime"

	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobnode"
	"github.com/carobknot/carobknot/internal/carobsettings"
)

func nodeCommand() Command {
	return Command{
		name:     "node",
		summary:  "Run the node beside a target",
		examples: "  carobknot node -settings examples/node.json\n",
		parse:    parseNode,
	}
}

func parseNode(flags *flag.FlagSet) runner {
	file := flags.String("settings", "", "`FILE` of settings, JSON with comments")
	return func(cx context.Context, sd *streams, args []string) error {
		if *file == "" || len(args) > 0 {
			return errUsage("-settings FILE is needed, and nothing else")
		}
		return runNode(cx, sd, *file)
	}
}

func runNode(cx context.Context, sd *streams, file string) error {
	st, err := carobsettings.Load(file)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(st.Limits.Cores)
	nd, err := carobnode.NewNode(cx, carobnode.Config{Settings: st, Logger: newLogger(sd)})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(sd.out, "call=%s peer=%s admin=%s\n", nd.Call(), nd.Peer(), nd.Admin())
	return nd.Run(cx)
}

func newLogger(sd *streams) *logrus.Logger {
	lg := logrus.New()
	lg.SetOutput(sd.err)
	lg.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	return lg
}
