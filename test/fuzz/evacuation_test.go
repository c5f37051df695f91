package fuzz

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobevacuationlist"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobstoreera"
)

const (
	// maxEvacuationDelay is the time from the acknowledgement of an evacuation until no job may
	// start at a target of the data centre.
	maxEvacuationDelay = 5 * time.Second
	// storeTimeout is the time after which a read of the store without an answer fails.
	storeTimeout = time.Second
	// recheckDelay is the delay after which a node reads the store again that could not.
	recheckDelay = 10 * time.Second
	// maxRewriteDelay is the time within which the operator writes again what the store has lost.
	maxRewriteDelay = 2 * time.Second
	// failuresToReport is the number of failed reads after which a node says that it cannot
	// read the store.
	failuresToReport = 2
	centreCount      = 2
)

// centreOf returns the data centre of a place in a simulation with evacuations.
func centreOf(place int) carobcentre.Centre {
	return carobcentre.Centre(fmt.Sprintf("c%d", place%centreCount))
}

// storeState is what the store holds of the operator's records.
type storeState struct {
	// configured is true if the record of the configuration is there.
	configured bool
	// active and removed have the data centres with a record, with and without a value.
	active, removed map[carobcentre.Centre]bool
	end             caroboffset.Offset
	at              time.Duration
}

// fakeStore simulates a platform's store with a route table and evacuations.
type fakeStore struct {
	sim   *simulation
	state storeState
	// history has earlier states, to one of which restore goes back.
	history []storeState
	era     carobstoreera.Era
	// down is true if no node gets answers, and cut has the places that get none. changedAt is
	// when either last changed for a place.
	down      bool
	cut       map[int]bool
	changedAt map[int]time.Duration
	// wanted has the evacuations that the operator has requested, and when each was
	// acknowledged; 0 if it was not yet.
	wanted map[carobcentre.Centre]time.Duration
	table  *carobroutetable.RouteTable
}

func newFakeStore(sim *simulation) *fakeStore {
	table, err := carobroutetable.NewRouteTable(1, nil)
	if err != nil {
		panic(err)
	}
	return &fakeStore{
		sim: sim, table: table, era: carobstoreera.FromNumber(0), cut: map[int]bool{}, changedAt: map[int]time.Duration{}, wanted: map[carobcentre.Centre]time.Duration{},
		state: storeState{configured: true, end: 1, active: map[carobcentre.Centre]bool{}, removed: map[carobcentre.Centre]bool{}},
	}
}

// change appends a record, and keeps the state before.
func (s *fakeStore) change(apply func(state *storeState)) {
	s.history = append(s.history, s.state)
	s.state.active, s.state.removed = maps.Clone(s.state.active), maps.Clone(s.state.removed)
	s.state.end++
	s.state.at = s.sim.elapsed()
	apply(&s.state)
}

// write makes the store have what the operator wants. It is repeated while the store is down.
func (s *fakeStore) write() {
	if s.down {
		s.sim.after(retryDelay, s.write)
		return
	}
	if !s.state.configured {
		s.change(func(state *storeState) { state.configured = true })
	}
	for _, centre := range []carobcentre.Centre{centreOf(0), centreOf(1)} {
		acknowledgedAt, wanted := s.wanted[centre]
		switch {
		case wanted && !s.state.active[centre]:
			s.change(func(state *storeState) {
				state.active[centre] = true
				delete(state.removed, centre)
			})
			if acknowledgedAt == 0 {
				s.wanted[centre] = s.sim.elapsed()
			}
		case !wanted && s.state.active[centre]:
			explicit := s.sim.chance(0.5)
			s.change(func(state *storeState) {
				delete(state.active, centre)
				if explicit {
					state.removed[centre] = true
				}
			})
		}
	}
}

// lose makes evacuations count as not acknowledged that the store has lost before all nodes had
// to know them.
func (s *fakeStore) lose() {
	for centre, acknowledgedAt := range s.wanted {
		if !s.state.active[centre] && s.sim.elapsed()-acknowledgedAt < maxEvacuationDelay {
			s.wanted[centre] = 0
		}
	}
	s.sim.after(time.Duration(s.sim.random.Int64N(int64(maxRewriteDelay))), s.write)
}

// restore goes back to the state of some time ago and begins a new era.
func (s *fakeStore) restore(ago time.Duration) {
	for len(s.history) > 0 && s.state.at > s.sim.elapsed()-ago {
		s.state, s.history = s.history[len(s.history)-1], s.history[:len(s.history)-1]
	}
	s.era++
	s.lose()
}

// drop loses all records. The configuration is written again first.
func (s *fakeStore) drop() {
	s.change(func(state *storeState) {
		state.configured, state.active, state.removed = false, map[carobcentre.Centre]bool{}, map[carobcentre.Centre]bool{}
	})
	s.sim.after(time.Duration(s.sim.random.Int64N(int64(maxRewriteDelay/2))), func() {
		s.change(func(state *storeState) { state.configured = true })
	})
	s.lose()
}

// setDown changes whether the store answers, and setCut whether it answers one place.
func (s *fakeStore) setDown(down bool) {
	s.down = down
	for place := range s.sim.nodes {
		s.changedAt[place] = s.sim.elapsed()
	}
}

func (s *fakeStore) setCut(place int, cut bool) {
	s.cut[place] = cut
	s.changedAt[place] = s.sim.elapsed()
}

// list returns the evacuations as a read finds them.
func (s *fakeStore) list() carobevacuationlist.EvacuationList {
	return carobevacuationlist.EvacuationList{
		Era: s.era, End: s.state.end, Complete: s.state.configured,
		Active: slices.Sorted(maps.Keys(s.state.active)), Removed: slices.Sorted(maps.Keys(s.state.removed)),
	}
}

// readStore reads the store, unless a read is under way.
func (n *node) readStore() {
	if n.readingStore {
		return
	}
	n.readingStore = true
	began, store := n.clock(), n.sim.store
	n.after(n.sim.jitter(networkDelay), func() {
		if store.down || store.cut[n.place] {
			n.after(storeTimeout, n.failStoreRead)
			return
		}
		list, era := store.list(), store.era
		n.after(n.sim.jitter(networkDelay), func() {
			n.readingStore, list.ReadAt = false, began
			n.enqueue(func(in *carobinbox.Inbox) {
				in.StoreReads, in.StoreEras = append(in.StoreReads, began), append(in.StoreEras, era)
				in.EvacuationLists, in.RouteTables = append(in.EvacuationLists, list), append(in.RouteTables, store.table)
				if n.storeFailures >= failuresToReport {
					in.StoreUnreadable = append(in.StoreUnreadable, false)
				}
				n.storeFailures = 0
			})
		})
	})
}

func (n *node) failStoreRead() {
	n.readingStore = false
	n.storeFailures++
	if n.storeFailures == failuresToReport {
		n.enqueue(func(in *carobinbox.Inbox) { in.StoreUnreadable = append(in.StoreUnreadable, true) })
	}
	if n.storeFailures >= failuresToReport {
		n.after(recheckDelay, n.readStore)
	}
}

// applyStoreEffects carries out the effects of a tick that concern the store.
func (n *node) applyStoreEffects(out *caroboutbox.Outbox) {
	if n.sim.store != nil && (out.ConfirmRoutes || out.AwaitingTable) {
		n.readStore()
	}
}

// readStoreSince reports whether the node has run without a pause since an instant and could
// read the store all the time.
func (n *node) readStoreSince(since time.Duration) bool {
	store := n.sim.store
	return n.runningSince(since) && !store.down && !store.cut[n.place] && store.changedAt[n.place] <= since
}

// reachedStoreSince reports whether the node could read the store since an instant, or was
// connected to a node that could.
func (n *node) reachedStoreSince(since time.Duration) bool {
	if n.readStoreSince(since) {
		return true
	}
	for _, other := range n.sim.nodes {
		if other != n && n.runningSince(since) && other.readStoreSince(since) && n.sim.connectedSince(n.place, other.place) <= since {
			return true
		}
	}
	return false
}

// checkEvacuated checks the start of a job at a target of a node.
func (n *node) checkEvacuated(job string) {
	if n.sim.store == nil {
		return
	}
	acknowledgedAt, wanted := n.sim.store.wanted[centreOf(n.place)]
	since := n.sim.elapsed() - maxEvacuationDelay
	if wanted && acknowledgedAt != 0 && acknowledgedAt < since {
		n.sim.evacuatedChecks++
		if n.reachedStoreSince(since) {
			n.sim.oracle.recordViolation("job %s starts at node %s, whose data centre has been evacuated for %s", job, n.self.Node, n.sim.elapsed()-acknowledgedAt)
		}
	}
}

// evacuationActions returns what the operator and the store do.
func evacuationActions(sim *simulation) map[string]func(*rapid.T) {
	if sim.store == nil {
		return nil
	}
	centre := func(t *rapid.T) carobcentre.Centre {
		return centreOf(rapid.IntRange(0, centreCount-1).Draw(t, "centre"))
	}
	place := rapid.IntRange(0, len(sim.nodes)-1)
	evacuate := func(t *rapid.T) {
		evacuated := centre(t)
		if _, wanted := sim.store.wanted[evacuated]; !wanted {
			sim.store.wanted[evacuated] = 0
		}
		sim.store.write()
	}
	return map[string]func(*rapid.T){
		"evacuate":       evacuate,
		"evacuate often": evacuate,
		"take back": func(t *rapid.T) {
			delete(sim.store.wanted, centre(t))
			sim.store.write()
		},
		"store down": func(*rapid.T) { sim.store.setDown(true) },
		"store up":   func(*rapid.T) { sim.store.setDown(false) },
		"cut store":  func(t *rapid.T) { sim.store.setCut(place.Draw(t, "place"), true) },
		"mend store": func(t *rapid.T) { sim.store.setCut(place.Draw(t, "place"), false) },
		"store back": func(t *rapid.T) {
			sim.store.restore(time.Duration(rapid.IntRange(1, 60).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"drop records": func(*rapid.T) { sim.store.drop() },
	}
}

// endStoreFaults ends the faults of the store and takes all evacuations back.
func (s *simulation) endStoreFaults() {
	if s.store == nil {
		return
	}
	s.store.setDown(false)
	s.store.cut = map[int]bool{}
	clear(s.store.wanted)
	s.store.write()
}

// evacuationPlan runs evacuations with cuts of the store and of links.
func evacuationPlan() plan {
	return plan{evacuations: true, onlyActions: evacuationActionNames}
}

var evacuationActionNames = []string{
	"evacuate", "evacuate often", "take back", "store down", "store up", "cut store", "mend store", "store back", "drop records",
	"call", "call often", "wait", "wait a little", "fault a link", "mend links", "kill", "replace", "restart stopped", "freeze", "thaw",
}

// TestEvacuations checks that no job starts in an evacuated data centre after the bound, at
// nodes that reach the store or a node that does.
func TestEvacuations(t *testing.T) {
	var total summary
	rapid.Check(t, func(rt *rapid.T) { runSimulation(rt, evacuationPlan(), &total) })
	t.Log(total.String(), total.evacuatedChecks, "starts in evacuated data centres by nodes that could not know")
}

// Guards against an oracle that finds nothing since no call meets an evacuation.
func TestEvacuationOracleFindsStarts(t *testing.T) {
	sim := newSimulation(1, 2, evacuationPlan())
	sim.advance(time.Second)
	sim.store.wanted[centreOf(0)] = 0
	sim.store.write()
	sim.advance(maxEvacuationDelay + time.Second)
	sim.nodes[0].startCall(0, "", 0)
	sim.nodes[1].startCall(0, "", 0)
	sim.advance(time.Second)
	require.Empty(t, sim.oracle.violation)
	require.Equal(t, 2, sim.oracle.tally.Answered)
	sim.nodes[0].core.World().Evacuations.Delete(centreOf(0))
	sim.nodes[0].startCall(0, "", 0)
	sim.nodes[0].startCall(0, "", 0)
	sim.advance(10 * time.Millisecond)
	require.Contains(t, sim.oracle.violation, "has been evacuated for")
}
