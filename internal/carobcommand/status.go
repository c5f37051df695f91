package carobcommand

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"time"

	"github.com/carobknot/carobknot/internal/carobstatus"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// statusTimeout is the timeout of the request to a node.
const statusTimeout = 5 * time.Second

func statusCommand() Command {
	return Command{
		name:     "status",
		summary:  "Show what a node knows",
		examples: "  carobknot status -admin 127.0.0.1:7003\n  carobknot status -admin 127.0.0.1:7003 -json\n",
		parse:    parseStatus,
	}
}

func parseStatus(flags *flag.FlagSet) runner {
	var admin carobaddress.Address
	flags.Func("admin", "`ADDR` of the node's admin server", func(text string) error {
		admin = carobaddress.Address(text)
		return admin.Check()
	})
	asJSON := flags.Bool("json", false, "print JSON")
	return func(ctx context.Context, std *stdStreams, args []string) error {
		if admin == "" || len(args) > 0 {
			return usageError("-admin ADDR is needed, and no operands")
		}
		return runStatus(ctx, std, admin, *asJSON)
	}
}

// runStatus prints the status of a node as tables, or as the JSON that the node sent.
func runStatus(ctx context.Context, std *stdStreams, admin carobaddress.Address, asJSON bool) error {
	data, err := fetchStatus(ctx, admin)
	if err != nil {
		return err
	}
	if asJSON {
		_, err := std.out.Write(append(data, '\n'))
		return err
	}
	var status carobstatus.Status
	if err := json.Unmarshal(data, &status); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "decode the node's response")
	}
	return status.WriteTables(std.out)
}

// fetchStatus returns the body of the node's response. Errors are of kind Unreachable
// if the request failed, ConnectionLost if the response was truncated, and Internal if
// its status is not 200.
func fetchStatus(ctx context.Context, admin carobaddress.Address) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(admin)+"/status", nil)
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Invalid, err, "create request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Unreachable, err, "request status from the node")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, carobkind.Wrap(carobkind.ConnectionLost, err, "read the node's response")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, carobkind.New(carobkind.Internal, "the node responded with status %d: %.200s", resp.StatusCode, data)
	}
	return data, nil
}
