package test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The whole path, as separate processes: a caller's request enters at a node
// whose VM has no target of the service, and is answered by the target of
// another node.
func TestPath(t *testing.T) {
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
			answer := askUntilAnswered(t, node, service, "haul 17")
			require.Equal(t, "haul 17", answer.body)
			require.Equal(t, "answered", answer.header.Get("Carobknot-Outcome"))
			require.NotEmpty(t, answer.header.Get("Carobknot-Call"))
			require.True(t, strings.HasPrefix(answer.header.Get("X-Target"), service+"/"))
		}
	}

	for _, node := range []*process{first, second} {
		node.terminate(t)
	}
}

type answer struct {
	status int
	header http.Header
	body   string
}

// ask sends one call.
func ask(node *process, service, body string) (answer, error) {
	rq, err := http.NewRequest(http.MethodPost, "http://"+node.addresses["call"]+"/hauls", strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	rq.Host = service
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	return answer{status: rs.StatusCode, header: rs.Header, body: string(data)}, err
}

// askUntilAnswered asks until the node has heard of the service and its profile.
func askUntilAnswered(t *testing.T, node *process, service, body string) answer {
	t.Helper()
	var an answer
	require.Eventually(t, func() bool {
		var err error
		an, err = ask(node, service, body)
		return err == nil && an.status == http.StatusOK
	}, 10*time.Second, 10*time.Millisecond)
	return an
}
