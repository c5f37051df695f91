package test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each service has one target, at one of two nodes. A call of either service is
// answered by that target whichever node receives the call.
func TestCallIsForwardedToNodeOfTarget(t *testing.T) {
	log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	first := startNode(t, "first", log)
	second := startNode(t, "second", log)
	start(t, "target", "-id", "lookups/a", "-profile", "lookups", "-admin", first.addresses["admin"])
	start(t, "target", "-id", "payouts/b", "-profile", "lookups", "-admin", second.addresses["admin"])

	output, code := run("publish", "-log", log, "../examples/profiles/lookups.json")
	require.Equal(t, 0, code, output)
	require.Equal(t, "accepted: profile lookups at offset 0\n", output)

	for _, service := range []string{"lookups", "payouts"} {
		for _, node := range []*process{first, second} {
			resp := callUntilAnswered(t, node, service, "haul 17")
			require.Equal(t, "haul 17", resp.body)
			require.Equal(t, "answered", resp.header.Get("Carobknot-Outcome"))
			require.NotEmpty(t, resp.header.Get("Carobknot-Call"))
			require.True(t, strings.HasPrefix(resp.header.Get("X-Target"), service+"/"))
		}
	}

	for _, node := range []*process{first, second} {
		node.terminate(t)
	}
}

// response is a response whose body was read.
type response struct {
	status int
	header http.Header
	body   string
}

// sendCall sends one call to a node and reads the response.
func sendCall(node *process, service, body string) (response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+node.addresses["call"]+"/hauls", strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Host = service
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data)}, err
}

// callUntilAnswered repeats a call until its status is 200, which takes until the
// node has the service's targets and profile. It fails the test after 10 s.
func callUntilAnswered(t *testing.T, node *process, service, body string) response {
	t.Helper()
	var resp response
	require.Eventually(t, func() bool {
		var err error
		resp, err = sendCall(node, service, body)
		return err == nil && resp.status == http.StatusOK
	}, 10*time.Second, 10*time.Millisecond)
	return resp
}
