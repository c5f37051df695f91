package carobcommand

import (
	"context"
	"flag"
	"fmt"
	"net"

	"github.com/carobknot/carobknot/internal/carobfakelog"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

func logCommand() Command {
	return Command{
		name:    "log",
		summary: "Run a stand-in for the platform's log, for tests",
		examples: "  carobknot log -listen 127.0.0.1:7100\n" +
			"  curl -X PUT -d '{\"slow\": \"2s\"}' http://127.0.0.1:7100/fault\n" +
			"\nRequests:\n" +
			"  POST /streams/NAME               append the body; answers {\"offset\": N}\n" +
			"  GET /streams/NAME?from=N&wait=MS records from N on, the first kept offset and the next;\n" +
			"                                   waits for records if there are none yet\n" +
			"  PUT /fault                       misbehave from now on; {} ends it\n" +
			"  GET /fault                       the faults in force\n" +
			"\nFaults:\n" +
			"  \"out\": true   refuse every request (status 503)\n" +
			"  \"deaf\": true  refuse reads (status 503)\n" +
			"  \"slow\": \"2s\" take that much longer over every request\n" +
			"  \"lose\": 3     the next 3 appends take effect without an answer (status 504)\n" +
			"  \"drop\": 3     the next 3 appends after those take no effect (status 504)\n" +
			"  \"keep\": 100   let all but the last 100 records of each stream expire\n",
		parse: parseLog,
	}
}

func parseLog(flags *flag.FlagSet) runner {
	listen := flags.String("listen", "127.0.0.1:7100", "`ADDR` to listen at")
	retention := flags.Int("retention", 0, "records kept of each stream; 0 keeps all")
	return func(ctx context.Context, std *stdStreams, args []string) error {
		if len(args) > 0 {
			return usageError("no operands are taken")
		}
		return runLog(ctx, std, *listen, *retention)
	}
}

// runLog serves the stand-in for the log until ctx is done.
func runLog(ctx context.Context, std *stdStreams, listen string, retention int) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", listen)
	if err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "listen")
	}
	timer := carobtimer.NewTimer()
	go timer.Run(ctx)
	server := carobfakelog.NewFakeLog(carobfakelog.Config{Timer: timer, Retention: retention})
	_, _ = fmt.Fprintf(std.out, "log=http://%s\n", listener.Addr())
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return listener.Close()
	}
}
