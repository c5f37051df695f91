package test

import (
	"bytes"
	"io"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each failure comes while callers ask without a break. What they are told must
// match what the targets ran, and calls must be answered again after it.
func TestFailures(t *testing.T) {
	const some = 200
	for _, tc := range []struct {
		name string
		fail func(t *testing.T, c *cluster, tr *traffic)
	}{
		{"none", func(*testing.T, *cluster, *traffic) {}},
		{"node killed and replaced", func(t *testing.T, c *cluster, tr *traffic) {
			t.Helper()
			c.kill(t, 1)
			tr.await(t, some, ended)
			c.startNode(t, 1)
		}},
		{"node stopped past every timeout", func(t *testing.T, c *cluster, tr *traffic) {
			t.Helper()
			c.nodes[1].signal(t, syscall.SIGSTOP)
			tr.await(t, 4, lost)
			c.nodes[1].signal(t, syscall.SIGCONT)
		}},
		{"connections cut", func(t *testing.T, c *cluster, tr *traffic) {
			t.Helper()
			for range 5 {
				c.wires[1].cut()
				tr.await(t, some, ended)
			}
		}},
		{"connections silent", func(t *testing.T, c *cluster, tr *traffic) {
			t.Helper()
			for range 2 {
				c.wires[0].silence()
				c.wires[1].silence()
				tr.await(t, some, ended)
			}
		}},
		{"answers silent", func(t *testing.T, c *cluster, tr *traffic) {
			t.Helper()
			c.wires[1].mute()
			tr.await(t, some, ended)
		}},
		{"log out", func(t *testing.T, c *cluster, tr *traffic) {
			t.Helper()
			fault(t, c.log, `{"out": true}`)
			tr.await(t, some, answered)
			c.kill(t, 2)
			tr.await(t, some, ended)
			fault(t, c.log, `{}`)
			c.startNode(t, 2)
		}},
		{"log slow", func(t *testing.T, c *cluster, tr *traffic) {
			t.Helper()
			fault(t, c.log, `{"slow": "1s"}`)
			tr.await(t, some, answered)
			fault(t, c.log, `{}`)
		}},
		{"target drains unannounced", func(t *testing.T, c *cluster, tr *traffic) {
			t.Helper()
			c.targets[1].behave(t, `{"drain": true}`)
			tr.await(t, some, ended)
			c.targets[1].behave(t, `{"drain": false}`)
		}},
		{"target fails fast", func(t *testing.T, c *cluster, tr *traffic) {
			t.Helper()
			c.targets[0].behave(t, `{"fail": true}`)
			tr.await(t, 3*some, ended)
			c.targets[0].behave(t, `{"fail": false}`)
		}},
		{"target straggles", func(t *testing.T, c *cluster, tr *traffic) {
			t.Helper()
			c.targets[1].behave(t, `{"straggle": 2000}`)
			tr.await(t, some, ended)
			c.targets[1].behave(t, `{"straggle": 1}`)
		}},
		{"target frozen", func(t *testing.T, c *cluster, tr *traffic) {
			t.Helper()
			c.targets[0].signal(t, syscall.SIGSTOP)
			tr.await(t, some, ended)
			c.targets[0].signal(t, syscall.SIGCONT)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := startCluster(t, 3)
			tr := c.traffic(t, direct)
			tr.await(t, some, answered)
			tc.fail(t, c, tr)
			for range 3 {
				tr.await(t, some, answered)
			}
			sc := tr.finish(t)
			if tc.name == "none" {
				require.Equal(t, sc.Calls, sc.Answered)
			}
		})
	}
}

// All nodes are restarted one by one under load, while an upload is open at each:
// nothing is cut.
func TestRollingRestart(t *testing.T) {
	c := startCluster(t, 3)
	tr := c.traffic(t, asking)
	patient := &http.Client{Transport: asking}
	tr.await(t, 200, answered)
	for i, node := range c.nodes {
		body, feed := io.Pipe()
		answer := make(chan told, 1)
		const half = 1 << 18
		want := bytes.Repeat([]byte("deck"), half/2)
		go func() {
			rq, err := http.NewRequest(http.MethodPost, "http://"+node.addresses["call"]+"/deck", body)
			if err != nil {
				panic(err)
			}
			rq.Host = "rota"
			rq.Header.Set("Carobknot-Deadline", "60000")
			rq.Header.Set("Expect", "100-continue") // the body goes once the call is taken in
			rs, err := patient.Do(rq)               //nolint:bodyclose // learn closes it
			answer <- learn(rs, err, "rota", string(want))
		}()
		if _, err := feed.Write(want[:half]); err != nil {
			require.NoError(t, err, "%+v", await(t, answer, "the upload has no answer"))
		}
		node.signal(t, syscall.SIGTERM)
		tr.await(t, 200, answered)
		if _, err := feed.Write(want[half:]); err != nil {
			require.NoError(t, err, "%+v", await(t, answer, "the upload has no answer"))
		}
		require.NoError(t, feed.Close())
		td := await(t, answer, "the upload has no answer")
		require.True(t, answered(td) && !td.mixed, "%+v", td)
		require.NoError(t, node.command.Wait())
		c.startNode(t, i)
		tr.await(t, 200, answered)
	}
	sc := tr.finish(t)
	require.Zero(t, sc.Unknown+sc.Gone, "calls were cut")
}

// Targets leave one by one under load and come back: nothing is cut.
func TestTargetsLeave(t *testing.T) {
	c := startCluster(t, 3)
	tr := c.traffic(t, direct)
	for _, tg := range c.targets {
		tr.await(t, 100, answered)
		tg.behave(t, `{"leave": true}`)
		tr.await(t, 100, answered)
		tg.behave(t, `{"leave": false}`)
	}
	sc := tr.finish(t)
	require.Zero(t, sc.Unknown+sc.Gone, "calls were cut")
}
