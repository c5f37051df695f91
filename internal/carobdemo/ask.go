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

// pause is the time between two looks whether the nodes answer.
const pause = 20 * time.Millisecond

// await returns when every node answers calls of every service.
func (d *Demo) await(cx context.Context) error {
	for _, nd := range d.nodes {
		for _, sv := range services {
			for {
				hd, _, err := ask(cx, http.MethodPost, nd.call, "/", string(sv.name), nil)
				if err == nil && hd.Get(carobheader.Outcome) == string(caroboutcome.Answered) {
					break
				}
				if err := d.timer.Wait(cx, pause); err != nil {
					return carobkind.Wrap(carobkind.NotReady, err, "wait for the nodes")
				}
			}
		}
	}
	return nil
}

// slow makes a target take longer from now on.
func (d *Demo) slow(cx context.Context, tg runningTarget, factor float64) error {
	body := fmt.Appendf(nil, `{"straggle": %g}`, factor)
	_, answer, err := ask(cx, http.MethodPost, tg.address, "/_behaviour", "", body)
	if err == nil && !json.Valid(answer) {
		return carobkind.New(carobkind.Internal, "the target does not take the change: %.200s", answer)
	}
	return err
}

// doubled counts the calls and keys that ran more often than their service
// allows.
func (d *Demo) doubled(cx context.Context) (int, error) {
	keys, doubled := map[string]int{}, 0
	for _, tg := range d.targets {
		_, data, err := ask(cx, http.MethodGet, tg.address, "/_runs", "", nil)
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
		if tg.once == carobguarantee.Idempotent {
			continue
		}
		for _, n := range runs.Calls {
			doubled += n - 1
		}
		for key, n := range runs.Keys {
			keys[key] += n
		}
	}
	for _, n := range keys {
		doubled += n - 1
	}
	return doubled, nil
}

// ask sends one request and reads its answer.
func ask(cx context.Context, method string, ad carobaddress.Address, path, host string, body []byte) (http.Header, []byte, error) {
	cx, cancel := context.WithTimeout(cx, deadline)
	defer cancel()
	rq, err := http.NewRequestWithContext(cx, method, "http://"+string(ad)+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, carobkind.Wrap(carobkind.Invalid, err, "make request")
	}
	rq.Host = host
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return nil, nil, carobkind.Wrap(carobkind.Unreachable, err, "ask")
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		return nil, nil, carobkind.Wrap(carobkind.ConnectionLost, err, "read answer")
	}
	return rs.Header, data, nil
}
