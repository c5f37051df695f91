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
	return func(ctx context.Context, std *stdStreams, args []string) error {
		if *file == "" || len(args) > 0 {
			return usageError("-settings FILE is needed, and nothing else")
		}
		return runNode(ctx, std, *file)
	}
}

// runNode runs a node until ctx is done and it has shut down. It prints the addresses
// at which the node listens.
func runNode(ctx context.Context, std *stdStreams, file string) error {
	settings, err := carobsettings.Load(file)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(settings.Limits.Cores)
	node, err := carobnode.NewNode(ctx, carobnode.Config{Settings: settings, Logger: newLogger(std)})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(std.out, "call=%s peer=%s admin=%s\n", node.CallAddress(), node.PeerAddress(), node.AdminAddress())
	return node.Run(ctx)
}

// newLogger returns a logger that writes text lines to standard error.
func newLogger(std *stdStreams) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(std.err)
	logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	return logger
}
