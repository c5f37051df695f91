package carobdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboutcome"
)

// pollInterval is the time between two attempts to get an answer from a node.
const pollInterval = 20 * time.Millisecond

// waitUntilReady returns when every node answers calls of every service, or with an
// error of kind NotReady when ctx ends.
func (d *Demo) waitUntilReady(ctx context.Context) error {
	for _, node := range d.nodes {
		for _, service := range services {
			for {
				header, _, err := send(ctx, http.MethodPost, node.call, "/", string(service.name), nil)
				if err == nil && header.Get(carobheader.Outcome) == string(caroboutcome.Answered) {
					break
				}
				if err := d.timer.Wait(ctx, pollInterval); err != nil {
					return carobkind.Wrap(carobkind.NotReady, err, "wait for the nodes")
				}
			}
		}
	}
	return nil
}

// setSlowness multiplies the service times of a target by a factor from now on.
func (d *Demo) setSlowness(ctx context.Context, target runningTarget, factor float64) error {
	body := fmt.Appendf(nil, `{"straggle": %g}`, factor)
	_, answer, err := send(ctx, http.MethodPost, target.address, "/_behaviour", "", body)
	if err == nil && !json.Valid(answer) {
		return carobkind.New(carobkind.Internal, "target rejected the change of behaviour: %.200s", answer)
	}
	return err
}

// countDuplicates returns the number of runs beyond the first of each call and of
// each idempotency key, over all services whose calls may run only once.
func (d *Demo) countDuplicates(ctx context.Context) (int, error) {
	keys, duplicates := map[string]int{}, 0
	for _, target := range d.targets {
		_, data, err := send(ctx, http.MethodGet, target.address, "/_runs", "", nil)
		if err != nil {
			return 0, err
		}
		var runs struct {
			Calls map[string]int `json:"calls"`
			Keys  map[string]int `json:"keys"`
		}
		if err := json.Unmarshal(data, &runs); err != nil {
			return 0, carobkind.Wrap(carobkind.Invalid, err, "decode runs")
		}
		if target.guarantee == carobguarantee.Idempotent {
			continue
		}
		for _, runCount := range runs.Calls {
			duplicates += runCount - 1
		}
		for key, runCount := range runs.Keys {
			keys[key] += runCount
		}
	}
	for _, runCount := range keys {
		duplicates += runCount - 1
	}
	return duplicates, nil
}

// send sends one HTTP request and returns the headers and the body of its response,
// of any status.
func send(ctx context.Context, method string, address carobaddress.Address, path, host string, body []byte) (http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+string(address)+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, carobkind.Wrap(carobkind.Invalid, err, "make request")
	}
	req.Host = host
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, carobkind.Wrap(carobkind.Unreachable, err, "ask")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, carobkind.Wrap(carobkind.ConnectionLost, err, "read answer")
	}
	return resp.Header, data, nil
}
