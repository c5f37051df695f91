package carobstandlog_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobplatform"
	"github.com/carobknot/carobknot/internal/carobstandlog"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrecord"
)

// start runs a log and returns a client of it and its URL.
func start(t *testing.T, patience time.Duration) (*carobplatform.Client, string) {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	timer := carobtimer.NewTimer()
	go timer.Run(t.Context())
	lg := carobstandlog.NewLog(carobstandlog.Config{Timer: timer})
	go func() { _ = lg.Serve(ls) }()
	t.Cleanup(func() { _ = ls.Close() })
	url := "http://" + ls.Addr().String()
	return carobplatform.NewClient(carobplatform.Config{URL: url, Patience: patience}), url
}

func command(t *testing.T, url, fault string) int {
	t.Helper()
	rq, err := http.NewRequest(http.MethodPut, url+"/fault", strings.NewReader(fault))
	require.NoError(t, err)
	rs, err := http.DefaultClient.Do(rq)
	require.NoError(t, err)
	require.NoError(t, rs.Body.Close())
	return rs.StatusCode
}

func offsets(records []carobrecord.Record) []caroboffset.Offset {
	all := make([]caroboffset.Offset, 0, len(records))
	for _, rc := range records {
		all = append(all, rc.Offset)
	}
	return all
}

func TestAppendsAndReads(t *testing.T) {
	cl, _ := start(t, time.Minute)
	for i := range 3 {
		offset, err := cl.Append(t.Context(), "rota", fmt.Append(nil, i))
		require.NoError(t, err)
		require.EqualValues(t, i, offset)
	}
	pg, err := cl.Read(t.Context(), "rota", 1, 0)
	require.NoError(t, err)
	require.Equal(t, []caroboffset.Offset{1, 2}, offsets(pg.Records))
	require.Equal(t, "1", string(pg.Records[0].Data))
	require.EqualValues(t, 0, pg.First)
	require.EqualValues(t, 3, pg.Next)
}

func TestReadWaitsForARecord(t *testing.T) {
	cl, _ := start(t, time.Minute)
	found := make(chan error, 1)
	go func() {
		pg, err := cl.Read(context.Background(), "rota", 0, time.Minute)
		if err == nil && len(pg.Records) != 1 {
			err = carobkind.New(carobkind.Internal, "%d records", len(pg.Records))
		}
		found <- err
	}()
	_, err := cl.Append(t.Context(), "rota", []byte("x"))
	require.NoError(t, err)
	require.NoError(t, <-found)
}

func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name, fault string
		// appended is the kind of the error of an append, read that of a read.
		appended, read carobkind.Kind
		// there is how many records there are in the end, of two appends.
		there int
	}{
		{"none", `{}`, carobkind.None, carobkind.None, 2},
		{"outage", `{"out": true}`, carobkind.LogUnavailable, carobkind.LogUnavailable, 1},
		{"deaf", `{"deaf": true}`, carobkind.None, carobkind.LogUnavailable, 2},
		{"answer lost", `{"lose": 1}`, carobkind.AppendUncertain, carobkind.None, 2},
		{"append dropped", `{"drop": 1}`, carobkind.AppendUncertain, carobkind.None, 1},
		{"slow", `{"slow": "1h"}`, carobkind.AppendUncertain, carobkind.AppendUncertain, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl, url := start(t, 200*time.Millisecond)
			_, err := cl.Append(t.Context(), "rota", []byte("before"))
			require.NoError(t, err)
			require.Equal(t, http.StatusNoContent, command(t, url, c.fault))
			_, err = cl.Append(t.Context(), "rota", []byte("under the fault"))
			require.Equal(t, c.appended, carobkind.Of(err))
			_, err = cl.Read(t.Context(), "rota", 0, 0)
			require.Equal(t, c.read, carobkind.Of(err))
			require.Equal(t, http.StatusNoContent, command(t, url, `{}`))
			pg, err := cl.Read(t.Context(), "rota", 0, 0)
			require.NoError(t, err)
			require.Len(t, pg.Records, c.there)
		})
	}
}

func TestRecordsExpire(t *testing.T) {
	cl, url := start(t, time.Minute)
	for range 5 {
		_, err := cl.Append(t.Context(), "rota", []byte("x"))
		require.NoError(t, err)
	}
	require.Equal(t, http.StatusNoContent, command(t, url, `{"keep": 2}`))
	pg, err := cl.Read(t.Context(), "rota", 1, 0)
	require.NoError(t, err)
	require.Equal(t, []caroboffset.Offset{3, 4}, offsets(pg.Records))
	require.EqualValues(t, 3, pg.First)
}

func TestBadFaultsAreRefused(t *testing.T) {
	_, url := start(t, time.Minute)
	for _, fault := range []string{``, `[]`, `{"lost": 1}`, `{"lose": -1}`, `{"slow": 2}`, `{"out": "yes"}`} {
		require.Equal(t, http.StatusBadRequest, command(t, url, fault), fault)
	}
}
