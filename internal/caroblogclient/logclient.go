// Package caroblogclient is the HTTP client of the platform's log. To support
// another log, add a client with the same methods in a file of this package.
package caroblogclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/caroblogpage"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// Config holds the parameters of a client.
type Config struct {
	// URL is the base URL of the log.
	URL string
	// Timeout is the time-out of a request, not counting the time for which Read
	// waits for records.
	Timeout time.Duration
}

// LogClient appends records to the log and reads them.
type LogClient struct {
	config Config
	http   *http.Client
}

// maxResponseSize is the maximum size of a response in bytes.
const maxResponseSize = 64 << 20

// NewLogClient returns a client of the log at c.URL. It opens no connection yet.
func NewLogClient(c Config) *LogClient {
	return &LogClient{config: c, http: &http.Client{}}
}

// Append appends a record to a stream and returns its offset. The error is of kind
// LogUnavailable if the record was certainly not appended, and AppendUncertain if it
// may have been.
func (c *LogClient) Append(ctx context.Context, stream carobstream.Stream, data []byte) (caroboffset.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	var response struct {
		Offset caroboffset.Offset `json:"offset"`
	}
	err := c.do(ctx, http.MethodPost, c.path(stream), data, &response)
	return response.Offset, err
}

// Read returns the records of a stream from an offset on. If there are none yet,
// the log holds the request until one is appended, for at most the duration wait.
func (c *LogClient) Read(ctx context.Context, stream carobstream.Stream, from caroboffset.Offset, wait time.Duration) (caroblogpage.LogPage, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout+wait)
	defer cancel()
	query := url.Values{}
	query.Set("from", strconv.FormatInt(int64(from), 10))
	query.Set("wait", strconv.FormatInt(int64(wait/time.Millisecond), 10))
	var page caroblogpage.LogPage
	if err := c.do(ctx, http.MethodGet, c.path(stream)+"?"+query.Encode(), nil, &page); err != nil {
		return page, err
	}
	for i := range page.Records {
		page.Records[i].Stream = stream
	}
	return page, nil
}

func (c *LogClient) path(stream carobstream.Stream) string {
	return c.config.URL + "/streams/" + url.PathEscape(string(stream))
}

func (c *LogClient) do(ctx context.Context, method, path string, body []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, path, bytes.NewReader(body))
	if err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "create request to the log")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return carobkind.Wrap(kindOfFailure(err), err, "ask the log")
	}
	defer func() { _ = resp.Body.Close() }()
	if err := carobheader.CheckNames(resp.Header); err != nil {
		return carobkind.Wrap(carobkind.AppendUncertain, err, "read the log's response header")
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	if err != nil {
		return carobkind.Wrap(carobkind.AppendUncertain, err, "read the log's response body")
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return carobkind.New(carobkind.LogUnavailable, "the log responded with status %d", resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		return carobkind.New(carobkind.AppendUncertain, "the log responded with status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return carobkind.Wrap(carobkind.AppendUncertain, err, "decode the log's response")
	}
	return nil
}
