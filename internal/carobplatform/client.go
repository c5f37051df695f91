// Package carobplatform speaks to the platform's log. Another log is another
// file here that gives the same methods.
package carobplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/carobknot/carobknot/internal/carobpage"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// Config is how a client is made.
type Config struct {
	// URL is where the log answers.
	URL string
	// Patience is how long one request may take, the wait for records aside.
	Patience time.Duration
}

// Client reads and appends records.
type Client struct {
	config Config
	http   *http.Client
}

// longest is the most bytes of one answer.
const longest = 64 << 20

// NewClient returns a client.
func NewClient(c Config) *Client {
	return &Client{config: c, http: &http.Client{}}
}

// Append appends a record. An error is LogOut if the record is certainly not in
// the log, and Unsure if it may be.
func (c *Client) Append(cx context.Context, stream carobstream.Stream, data []byte) (caroboffset.Offset, error) {
	cx, cancel := context.WithTimeout(cx, c.config.Patience)
	defer cancel()
	var answer struct {
		Offset caroboffset.Offset `json:"offset"`
	}
	err := c.do(cx, http.MethodPost, c.path(stream), data, &answer)
	return answer.Offset, err
}

// Read returns the records from an offset on, waiting for some if there are
// none yet, with the first kept offset and the next one to come.
func (c *Client) Read(cx context.Context, stream carobstream.Stream, from caroboffset.Offset, wait time.Duration) (carobpage.Page, error) {
	cx, cancel := context.WithTimeout(cx, c.config.Patience+wait)
	defer cancel()
	query := url.Values{}
	query.Set("from", strconv.FormatInt(int64(from), 10))
	query.Set("wait", strconv.FormatInt(int64(wait/time.Millisecond), 10))
	var pg carobpage.Page
	if err := c.do(cx, http.MethodGet, c.path(stream)+"?"+query.Encode(), nil, &pg); err != nil {
		return pg, err
	}
	for i := range pg.Records {
		pg.Records[i].Stream = stream
	}
	return pg, nil
}

func (c *Client) path(stream carobstream.Stream) string {
	return c.config.URL + "/streams/" + url.PathEscape(string(stream))
}

func (c *Client) do(cx context.Context, method, path string, body []byte, into any) error {
	rq, err := http.NewRequestWithContext(cx, method, path, bytes.NewReader(body))
	if err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "make request to the log")
	}
	rs, err := c.http.Do(rq)
	if err != nil {
		return carobkind.Wrap(unsent(err), err, "ask the log")
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(rs.Body, longest))
	if err != nil {
		return carobkind.Wrap(carobkind.AppendUncertain, err, "read the log's answer")
	}
	if rs.StatusCode == http.StatusServiceUnavailable {
		return carobkind.New(carobkind.LogUnavailable, "the log answers status %d", rs.StatusCode)
	}
	if rs.StatusCode != http.StatusOK {
		return carobkind.New(carobkind.AppendUncertain, "the log answers status %d", rs.StatusCode)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return carobkind.Wrap(carobkind.AppendUncertain, err, "decode the log's answer")
	}
	return nil
}
