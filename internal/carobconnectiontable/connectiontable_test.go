package carobconnectiontable_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobbytebudget"
	"github.com/carobknot/carobknot/internal/carobconnectiontable"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobconnectionid"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobshedding"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

const (
	stallTimeout = 100 * time.Millisecond
	waitTimeout  = 300 * time.Millisecond
	limit        = carobsize.MiB
)

// fixture is a table with the connections of a test.
type fixture struct {
	table  *carobconnectiontable.ConnectionTable
	budget *carobbytebudget.ByteBudget
	timer  *carobtimer.Timer
	mutex  sync.Mutex
	// yielded has the connections that were told to yield.
	yielded []string
	reasons map[string]int
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{reasons: map[string]int{}, budget: carobbytebudget.NewByteBudget(carobbytebudget.Config{Limit: limit})}
	timer := carobtimer.NewTimer()
	f.timer = timer
	go timer.Run(t.Context())
	f.table = carobconnectiontable.NewConnectionTable(carobconnectiontable.Config{
		Budget: f.budget, Limit: limit, Timer: timer,
		Shedding: carobshedding.NewShedding(carobshedding.Config{
			StallTimeout: stallTimeout, UnreadTimeout: stallTimeout, WaitTimeout: waitTimeout, ProgressSize: 10,
		}),
		Count: func(reason string) { f.reasons[reason]++ },
	})
	return f
}

// conn is a connection that closes as soon as it yields.
type conn struct {
	fixture *fixture
	name    string
	id      carobconnectionid.ID
}

func (c *conn) Yield(bool) bool {
	c.fixture.mutex.Lock()
	defer c.fixture.mutex.Unlock()
	c.fixture.yielded = append(c.fixture.yielded, c.name)
	go c.fixture.table.Close(c.id)
	return true
}

func (c *conn) BlockedSince() carobinstant.Instant { return carobinstant.Never }

// open adds a connection, which holds size bytes for a request if size is above 0.
func (f *fixture) open(t *testing.T, name string, size carobsize.Size) *conn {
	t.Helper()
	c := &conn{fixture: f, name: name}
	id, ok := f.table.Open(0, c)
	require.True(t, ok)
	c.id = id
	if size > 0 {
		f.table.BeginRequest(id)
		require.NoError(t, f.table.Reserve(id, size))
	}
	return c
}

// Guards against a connection that does not go on when memory becomes free.
func TestReserveWaitsForMemory(t *testing.T) {
	f := newFixture(t)
	first, second := f.open(t, "first", 600*carobsize.KiB), f.open(t, "second", carobsize.KiB)
	f.table.EndRequest(first.id)
	granted := make(chan error)
	go func() { granted <- f.table.Reserve(second.id, 500*carobsize.KiB) }()
	require.NoError(t, f.timer.Wait(t.Context(), waitTimeout/3))
	select {
	case err := <-granted:
		t.Fatal("bytes above the limit were reserved", err)
	default:
	}
	f.table.Release(first.id, 600*carobsize.KiB)
	require.NoError(t, <-granted)
	require.Empty(t, f.yielded, "a connection with a call under way does not yield")
	f.table.Close(first.id)
	f.table.Close(second.id)
	require.Zero(t, f.budget.Reserved())
}

// Guards against a connection that waits without an end, and against a refusal that is not a true "not run".
func TestReserveRefusesInTheEnd(t *testing.T) {
	f := newFixture(t)
	first, second := f.open(t, "first", 600*carobsize.KiB), f.open(t, "second", carobsize.KiB)
	f.table.EndRequest(first.id)
	err := f.table.Reserve(second.id, 500*carobsize.KiB)
	require.Equal(t, carobkind.Busy, carobkind.Of(err))
	require.Equal(t, map[string]int{"memory": 1}, f.reasons)
	require.NoError(t, f.table.Reserve(second.id, carobsize.KiB), "what fits is still granted")
}

// Guards against memory that stays with clients that stopped half-way.
func TestStalledConnectionsYieldFirst(t *testing.T) {
	f := newFixture(t)
	f.open(t, "idle", 0)
	f.open(t, "stalled", 600*carobsize.KiB)
	busy := f.open(t, "with a call", 100*carobsize.KiB)
	f.table.EndRequest(busy.id)
	last := f.open(t, "last", carobsize.KiB)
	require.NoError(t, f.timer.Wait(t.Context(), stallTimeout))
	require.NoError(t, f.table.Reserve(last.id, 500*carobsize.KiB))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	require.Equal(t, []string{"stalled"}, f.yielded)
}

// Guards against long bodies that keep out requests with short ones.
func TestLongBodiesLeaveRoomForShortOnes(t *testing.T) {
	f := newFixture(t)
	long := f.open(t, "long", 800*carobsize.KiB)
	f.table.EndRequest(long.id)
	other := f.open(t, "other long", 60*carobsize.KiB)
	require.Equal(t, carobkind.Busy, carobkind.Of(f.table.Reserve(other.id, 100*carobsize.KiB)))
	f.open(t, "short", 60*carobsize.KiB)
}

// Guards against new connections that come in although all memory is in use, and against closing one whose call is under way for them.
func TestOpenReportsThatNothingIsLeft(t *testing.T) {
	f := newFixture(t)
	busy := f.open(t, "busy", 100*carobsize.KiB)
	f.table.EndRequest(busy.id)
	f.budget.Add(int(limit))
	id, ok := f.table.Open(1, &conn{fixture: f, name: "new"})
	require.NotEqual(t, carobconnectionid.None, id)
	require.False(t, ok)
}

// Guards against refusing a client that could not go on with its next request before the
// call of the one before had ended.
func TestTimeOfTheCallBeforeIsNoStall(t *testing.T) {
	f := newFixture(t)
	c := f.open(t, "next request", 100*carobsize.KiB)
	f.table.EndRequest(c.id)
	f.table.BeginRequest(c.id)
	require.NoError(t, f.timer.Wait(t.Context(), 2*stallTimeout))
	f.table.Respond(c.id)
	f.table.Finish(c.id, true)
	f.budget.Add(int(limit))
	_, ok := f.table.Open(1, &conn{fixture: f, name: "new"})
	require.False(t, ok)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	require.Empty(t, f.yielded)
}

// completedConn is a connection whose request is completed although it was told to yield.
type completedConn struct {
	*conn
}

func (c completedConn) Yield(bool) bool { return true }

// Guards against taking the memory of a call under way for memory that becomes free soon,
// so that no other connection would yield until the call has ended.
func TestCallsUnderWayFreeNothingSoon(t *testing.T) {
	f := newFixture(t)
	completed, ok := f.table.Open(0, completedConn{&conn{fixture: f}})
	require.True(t, ok)
	f.table.BeginRequest(completed)
	require.NoError(t, f.table.Reserve(completed, 600*carobsize.KiB))
	require.NoError(t, f.timer.Wait(t.Context(), stallTimeout/10))
	f.open(t, "stalled", 100*carobsize.KiB)
	require.NoError(t, f.timer.Wait(t.Context(), 2*stallTimeout))
	f.budget.Add(int(limit - 700*carobsize.KiB))
	_, ok = f.table.Open(1, &conn{fixture: f, name: "first new one"})
	require.True(t, ok)
	f.table.EndRequest(completed)
	_, ok = f.table.Open(1, &conn{fixture: f, name: "second new one"})
	require.True(t, ok)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	require.Equal(t, []string{"stalled"}, f.yielded)
}
