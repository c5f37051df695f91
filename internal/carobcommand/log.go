package carobcommand

import (
	"context"
	"flag"
	"fmt"
	"net"

	"github.com/carobknot/carobknot/internal/carobstandlog"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

func logCommand() Command {
	return Command{
		name:     "log",
		summary:  "Run a stand-in for the platform's log, for tests",
		examples: "  carobknot log -listen 127.0.0.1:7100\n",
		parse:    parseLog,
	}
}

func parseLog(flags *flag.FlagSet) runner {
	listen := flags.String("listen", "127.0.0.1:7100", "`ADDR` to listen at")
	retention := flags.Int("retention", 0, "records kept of each stream; 0 keeps all")
	return func(cx context.Context, sd *streams, args []string) error {
		if len(args) > 0 {
			return errUsage("no operands are taken")
		}
		return runLog(cx, sd, *listen, *retention)
	}
}

func runLog(cx context.Context, sd *streams, listen string, retention int) error {
	var config net.ListenConfig
	ls, err := config.Listen(cx, "tcp", listen)
	if err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "listen")
	}
	timer := carobtimer.NewTimer()
	go timer.Run(cx)
	lg := carobstandlog.NewLog(carobstandlog.Config{Timer: timer, Retention: retention})
	_, _ = fmt.Fprintf(sd.out, "log=http://%s\n", ls.Addr())
	failed := make(chan error, 1)
	go func() { failed <- lg.Serve(ls) }()
	select {
	case err := <-failed:
		return err
	case <-cx.Done():
		return ls.Close()
	}
}
