package carobroutepoller_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
)

var (
	searchSeeds = flag.Int("searchseeds", 3, "seeds that TestSearchForLateTables plays at each size")
	searchFrom  = flag.Uint64("searchfrom", 25, "the first seed of TestSearchForLateTables")
)

// publication is a version of the route table and when the store acknowledged it.
type publication struct {
	version carobrouteversion.Version
	at      time.Duration
}

// search plays random disturbances and route tables, and checks which table each node has.
type search struct {
	*cluster
	disturbances *disturbances
	published    []publication
	began        carobinstant.Instant
}

const (
	// searchLength is how long disturbances and tables come, and searchEnd how long nodes are
	// checked.
	searchLength, searchEnd = 40 * time.Second, 60 * time.Second
	// checkInterval is the time between two checks of all nodes.
	checkInterval = 50 * time.Millisecond
)

func (s *search) elapsed() time.Duration { return s.timer.Now().Sub(s.began) }

// requireNewest requires that each node that is bound has every table that was acknowledged more
// than applyTimeout ago.
func (s *search) requireNewest() {
	now := s.elapsed()
	due := carobrouteversion.None
	for _, p := range s.published {
		if p.at+applyTimeout+checkInterval <= now {
			due = p.version
		}
	}
	for _, node := range s.nodes {
		if s.disturbances.inTouch(node.id, now-checkInterval) && carobrouteversion.Version(node.version.Load()) < due {
			for _, d := range s.disturbances.all {
				s.t.Log(d, d.nodes[node.id])
			}
			require.Failf(s.t, "late", "at %s node %s has version %d, not %d; published: %v", now, node.id, node.version.Load(), due, s.published)
		}
	}
}

// publishAt draws when tables are published: at any time, and just before and after disturbances
// end.
func (s *search) publishAt(random *rand.Rand) []time.Duration {
	var at []time.Duration
	for range 8 {
		at = append(at, time.Duration(random.Int64N(int64(searchLength))))
	}
	for _, d := range s.disturbances.all {
		at = append(at, d.until+time.Duration(random.Int64N(int64(time.Second)))-500*time.Millisecond)
	}
	return append(at, storm(random)...)
}

// storm returns when tables are published in quick succession.
func storm(random *rand.Rand) []time.Duration {
	const interval = 150 * time.Millisecond
	var at []time.Duration
	for next, left := time.Duration(random.Int64N(int64(searchLength))), random.IntN(30); left > 0; left-- {
		at = append(at, next)
		next += interval
	}
	return at
}

// play draws the disturbances and tables of a seed and checks the nodes until searchEnd.
func (s *search) play(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	for range 2 + random.IntN(6) {
		s.disturbances.all = append(s.disturbances.all, drawDisturbance(random, s.cluster, searchLength))
	}
	due := s.publishAt(random)
	for range random.IntN(3) {
		s.disturbances.all = append(s.disturbances.all, drawBusy(random, s.cluster, searchLength))
	}
	s.disturbances.install(ctx)
	for version := carobrouteversion.Version(2); s.elapsed() < searchEnd; {
		require.NoError(s.t, s.timer.Wait(ctx, checkInterval))
		for i, at := range due {
			if at <= s.elapsed() {
				s.store.publish(routesTo(s.t, version, "new"))
				s.published = append(s.published, publication{version, s.elapsed()})
				version++
				due[i] = searchEnd + 1
			}
		}
		s.requireNewest()
	}
}

// Guards against nodes that keep an old route table for longer than the bound although neither they nor the store are disturbed, whatever else is or was.
func TestSearchForLateTables(t *testing.T) {
	for _, size := range []int{1, 2, 3, 12, 80} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			for seed := *searchFrom; seed < *searchFrom+uint64(*searchSeeds); seed++ { //nolint:gosec // a few seeds
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					runCluster(t, size, func(ctx context.Context, c *cluster) {
						s := &search{cluster: c, began: c.timer.Now()}
						s.disturbances = &disturbances{cluster: c, random: rand.New(rand.NewPCG(seed, 3)), elapsed: s.elapsed}
						s.play(ctx, seed)
					})
				})
			}
		})
	}
}
