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

// statusPatience is how long a node may take to answer.
const statusPatience = 5 * time.Second

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
	flags.Func("admin", "`ADDR` of the node's admin side", func(text string) error {
		admin = carobaddress.Address(text)
		return admin.Check()
	})
	plain := flags.Bool("json", false, "print JSON")
	return func(cx context.Context, sd *streams, args []string) error {
		if admin == "" || len(args) > 0 {
			return errUsage("-admin ADDR is needed, and no operands")
		}
		return runStatus(cx, sd, admin, *plain)
	}
}

func runStatus(cx context.Context, sd *streams, admin carobaddress.Address, plain bool) error {
	data, err := fetchStatus(cx, admin)
	if err != nil {
		return err
	}
	if plain {
		_, err := sd.out.Write(append(data, '\n'))
		return err
	}
	var st carobstatus.Status
	if err := json.Unmarshal(data, &st); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "decode the node's answer")
	}
	return st.Write(sd.out)
}

func fetchStatus(cx context.Context, admin carobaddress.Address) ([]byte, error) {
	cx, cancel := context.WithTimeout(cx, statusPatience)
	defer cancel()
	rq, err := http.NewRequestWithContext(cx, http.MethodGet, "http://"+string(admin)+"/status", nil)
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Invalid, err, "make request")
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Unreachable, err, "ask the node")
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		return nil, carobkind.Wrap(carobkind.ConnectionLost, err, "read the node's answer")
	}
	if rs.StatusCode != http.StatusOK {
		return nil, carobkind.New(carobkind.Internal, "the node answers status %d: %.200s", rs.StatusCode, data)
	}
	return data, nil
}
