package carobfakelog_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobfakelog"
	"github.com/carobknot/carobknot/internal/caroblogclient"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrecord"
)

// startLog runs a log and returns a client for it, with the given request timeout, and
// its URL.
func startLog(t *testing.T, timeout time.Duration) (*caroblogclient.LogClient, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	timer := carobtimer.NewTimer()
	go timer.Run(t.Context())
	log := carobfakelog.NewFakeLog(carobfakelog.Config{Timer: timer})
	go func() { _ = log.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	url := "http://" + listener.Addr().String()
	return caroblogclient.NewLogClient(caroblogclient.Config{URL: url, Timeout: timeout}), url
}

// setFault sends a fault to the log and returns the status of the response.
func setFault(t *testing.T, url, fault string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, url+"/fault", strings.NewReader(fault))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

func offsets(records []carobrecord.Record) []caroboffset.Offset {
	all := make([]caroboffset.Offset, 0, len(records))
	for _, record := range records {
		all = append(all, record.Offset)
	}
	return all
}

func TestReadReturnsAppendedRecords(t *testing.T) {
	client, _ := startLog(t, time.Minute)
	for i := range 3 {
		offset, err := client.Append(t.Context(), "rota", fmt.Append(nil, i))
		require.NoError(t, err)
		require.EqualValues(t, i, offset)
	}
	page, err := client.Read(t.Context(), "rota", 1, 0)
	require.NoError(t, err)
	require.Equal(t, []caroboffset.Offset{1, 2}, offsets(page.Records))
	require.Equal(t, "1", string(page.Records[0].Data))
	require.EqualValues(t, 0, page.FirstOffset)
	require.EqualValues(t, 3, page.NextOffset)
}

// Guards against reads that return an empty page before a record is appended, or miss
// the append.
func TestReadWaitsForAppend(t *testing.T) {
	client, _ := startLog(t, time.Minute)
	found := make(chan error, 1)
	go func() {
		page, err := client.Read(context.Background(), "rota", 0, time.Minute)
		if err == nil && len(page.Records) != 1 {
			err = carobkind.New(carobkind.Internal, "%d records", len(page.Records))
		}
		found <- err
	}()
	_, err := client.Append(t.Context(), "rota", []byte("x"))
	require.NoError(t, err)
	require.NoError(t, <-found)
}

// Guards against faults that give the client the wrong kind of error or leave the
// wrong number of records. Tests of other packages rely on these effects.
func TestFaultsOfAppendsAndReads(t *testing.T) {
	for _, c := range []struct {
		name, fault string
		// appended is the expected kind of the error of an append, read that of a read.
		appended, read carobkind.Kind
		// records is the expected number of records after two appends.
		records int
	}{
		{"none", `{}`, carobkind.None, carobkind.None, 2},
		{"outage", `{"out": true}`, carobkind.LogUnavailable, carobkind.LogUnavailable, 1},
		{"deaf", `{"deaf": true}`, carobkind.None, carobkind.LogUnavailable, 2},
		{"answer lost", `{"lose": 1}`, carobkind.AppendUncertain, carobkind.None, 2},
		{"append dropped", `{"drop": 1}`, carobkind.AppendUncertain, carobkind.None, 1},
		{"slow", `{"slow": "1h"}`, carobkind.AppendUncertain, carobkind.AppendUncertain, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, url := startLog(t, 200*time.Millisecond)
			_, err := client.Append(t.Context(), "rota", []byte("before"))
			require.NoError(t, err)
			require.Equal(t, http.StatusNoContent, setFault(t, url, c.fault))
			_, err = client.Append(t.Context(), "rota", []byte("under the fault"))
			require.Equal(t, c.appended, carobkind.Of(err))
			_, err = client.Read(t.Context(), "rota", 0, 0)
			require.Equal(t, c.read, carobkind.Of(err))
			require.Equal(t, http.StatusNoContent, setFault(t, url, `{}`))
			page, err := client.Read(t.Context(), "rota", 0, 0)
			require.NoError(t, err)
			require.Len(t, page.Records, c.records)
		})
	}
}

func TestRetentionFaultExpiresOldestRecords(t *testing.T) {
	client, url := startLog(t, time.Minute)
	for range 5 {
		_, err := client.Append(t.Context(), "rota", []byte("x"))
		require.NoError(t, err)
	}
	require.Equal(t, http.StatusNoContent, setFault(t, url, `{"keep": 2}`))
	page, err := client.Read(t.Context(), "rota", 1, 0)
	require.NoError(t, err)
	require.Equal(t, []caroboffset.Offset{3, 4}, offsets(page.Records))
	require.EqualValues(t, 3, page.FirstOffset)
}

func TestInvalidFaultsAreRejected(t *testing.T) {
	_, url := startLog(t, time.Minute)
	for _, fault := range []string{``, `[]`, `{"lost": 1}`, `{"lose": -1}`, `{"slow": 2}`, `{"out": "yes"}`} {
		require.Equal(t, http.StatusBadRequest, setFault(t, url, fault), fault)
	}
}
