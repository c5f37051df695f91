// Package carobconnectiontable keeps the open connections of a process and the memory that
// they hold.
//
// A connection reserves bytes before it reads them. If there is no room, it waits, which
// makes its client wait in turn. Meanwhile, connections yield in the order that
// carobshedding decides. A connection that waits too long has its request refused.
package carobconnectiontable

import (
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobbytebudget"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobconnection"
	"github.com/carobknot/carobknot/pkg/carobconnectionid"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// shedding decides which connections yield.
type shedding interface {
	Receive(now carobinstant.Instant, row *carobconnection.Connection, size carobsize.Size)
	Closed(now carobinstant.Instant, rows []carobconnection.Connection, needed carobsize.Size) []carobconnectionid.ID
	Refused(now carobinstant.Instant, rows []carobconnection.Connection) []carobconnectionid.ID
}

// connection is an open connection.
type connection interface {
	// Yield makes the connection call Close soon. receiving is true if its client makes no
	// progress with a request. Yield reports false, and does nothing, if a request has begun
	// on an idle connection meanwhile. It must not block, nor call the table.
	Yield(receiving bool) bool
	// BlockedSince returns the value of the field of that name.
	BlockedSince() carobinstant.Instant
}

// Config holds the parameters of a ConnectionTable.
type Config struct {
	// Budget counts the bytes of all connections. Its limit is Limit.
	Budget *carobbytebudget.ByteBudget
	// Limit is the number of bytes that all connections may hold.
	Limit    carobsize.Size
	Shedding shedding
	Timer    *carobtimer.Timer
	// Count counts connections that yielded, by reason. It may be nil.
	Count func(reason string)
	// Logger receives a line each logInterval at most while connections wait. It may be nil.
	Logger *logrus.Entry
}

// ConnectionTable has a row for each open connection. A nil ConnectionTable has no limit
// and no rows.
type ConnectionTable struct {
	config Config
	mutex  sync.Mutex
	rows   map[carobconnectionid.ID]*row
	// newest is the ID that was given out last.
	newest carobconnectionid.ID
	// waiting has the connections that wait for memory, in the order in which they began to.
	waiting []*row
	// stepAt sets when step runs next.
	stepAt func(at carobinstant.Instant)
	// stepped is when step ran last.
	stepped carobinstant.Instant
	// nextLog is when the next line may be logged; Never before the first.
	nextLog carobinstant.Instant
	// yielded counts the connections that yielded and the requests that were refused since
	// the last line.
	yielded int
}

// row is a connection in the table.
type row struct {
	carobconnection.Connection
	owner connection
	// yielding is true once the owner was told to yield.
	yielding bool
	// granted receives nil when the connection has got the bytes that it waits for, and
	// the reason when it has not. It has room for one element.
	granted chan error
}

// Reasons for Config.Count.
const (
	reasonStalled = "stalled"
	reasonUnread  = "unread"
	reasonIdle    = "idle"
	reasonMemory  = "memory"
)

const (
	// logInterval is the shortest time between two log lines.
	logInterval = 5 * time.Second
	// stepInterval is the time between two decisions while connections wait.
	stepInterval = 50 * time.Millisecond
	// smallSize is the number of bytes up to which a connection may use the whole limit. A
	// connection that holds more may use largeShare of it only, so that requests with short
	// bodies are still received while long ones fill the rest.
	smallSize = 128 * carobsize.KiB
	// largeShare, as a fraction of largeWhole, is the share of the limit for connections
	// that hold more than smallSize.
	largeShare, largeWhole = 17, 20
)

// NewConnectionTable returns a table without rows.
func NewConnectionTable(c Config) *ConnectionTable {
	t := &ConnectionTable{config: c, rows: map[carobconnectionid.ID]*row{}}
	t.stepAt = c.Timer.Subscribe(t.step)
	return t
}

// Open adds a connection that holds size bytes. It reports false if the limit is exceeded
// and no connection can yield, so that the first request of the new one should be refused.
// Open does not wait, and the number of connections has a limit of its own.
func (t *ConnectionTable) Open(size carobsize.Size, owner connection) (carobconnectionid.ID, bool) {
	if t == nil {
		return carobconnectionid.None, true
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.newest++
	now := t.config.Timer.Now()
	t.config.Budget.Add(int(size))
	excess := carobsize.Size(t.config.Budget.Reserved()) - t.config.Limit
	ok := excess <= 0 || t.shed(now, excess)
	t.rows[t.newest] = &row{
		Connection: carobconnection.Connection{ID: t.newest, Held: size, BeganAt: now, ProgressAt: now},
		owner:      owner, granted: make(chan error, 1),
	}
	if !ok {
		t.count(reasonMemory)
	}
	return t.newest, ok
}

// Close removes a connection and releases what it holds.
func (t *ConnectionTable) Close(id carobconnectionid.ID) {
	t.update(id, func(r *row, _ carobinstant.Instant) {
		t.config.Budget.Release(int(r.Held))
		delete(t.rows, id)
		t.grant()
	})
}

// BeginRequest records that the first byte of a request has arrived.
func (t *ConnectionTable) BeginRequest(id carobconnectionid.ID) {
	t.update(id, func(r *row, now carobinstant.Instant) {
		r.Receiving, r.Received, r.BeganAt, r.ProgressAt = true, 0, now, now
	})
}

// Receive records that bytes of a request have arrived.
func (t *ConnectionTable) Receive(id carobconnectionid.ID, size carobsize.Size) {
	t.update(id, func(r *row, now carobinstant.Instant) { t.config.Shedding.Receive(now, &r.Connection, size) })
}

// EndRequest records that a request is complete or refused, and that its call or refusal is
// under way.
func (t *ConnectionTable) EndRequest(id carobconnectionid.ID) {
	t.update(id, func(r *row, _ carobinstant.Instant) {
		r.Receiving = false
		r.Pending++
	})
}

// Respond records that the call of a request has ended, and that its complete response is
// to be sent.
func (t *ConnectionTable) Respond(id carobconnectionid.ID) {
	t.update(id, func(r *row, _ carobinstant.Instant) {
		r.Pending--
		r.Unsent++
	})
}

// Finish records that a request has ended. responded is true if Respond was called for it.
func (t *ConnectionTable) Finish(id carobconnectionid.ID, responded bool) {
	t.update(id, func(r *row, now carobinstant.Instant) {
		if responded {
			r.Unsent--
		} else {
			r.Pending--
		}
		if !r.Receiving {
			r.BeganAt = now
		}
		// The client may have waited for this request to end before it could send the next.
		r.ProgressAt = now
	})
}

// Release returns bytes that were reserved for a connection.
func (t *ConnectionTable) Release(id carobconnectionid.ID, size carobsize.Size) {
	t.update(id, func(r *row, _ carobinstant.Instant) {
		r.Held -= size
		t.config.Budget.Release(int(size))
		t.grant()
	})
}

// Reserve reserves bytes for a connection until Release or Close. It waits if there is no
// room. The error has the kind Busy if there is none in time, RequestTimeout if the
// connection is to yield, and wraps net.ErrClosed if it is not in the table.
func (t *ConnectionTable) Reserve(id carobconnectionid.ID, size carobsize.Size) error {
	if t == nil || size == 0 {
		return nil
	}
	t.mutex.Lock()
	r := t.rows[id]
	if r == nil || r.yielding {
		t.mutex.Unlock()
		if r == nil {
			return carobkind.Wrap(carobkind.Internal, net.ErrClosed, "reserve memory")
		}
		return carobkind.New(carobkind.RequestTimeout, "the request made no progress while memory was short")
	}
	if t.reserve(r, size) {
		t.mutex.Unlock()
		return nil
	}
	now := t.config.Timer.Now()
	r.WaitingSince, r.Needed = now, size
	t.waiting = append(t.waiting, r)
	due := t.stepped.Add(stepInterval)
	if due.Reached(now) {
		due = now
	}
	t.mutex.Unlock()
	t.stepAt(due)
	err := <-r.granted
	t.update(id, func(r *row, now carobinstant.Instant) { r.ProgressAt = now })
	return err
}

// update changes a row, if there is one.
func (t *ConnectionTable) update(id carobconnectionid.ID, change func(r *row, now carobinstant.Instant)) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if r := t.rows[id]; r != nil {
		change(r, t.config.Timer.Now())
	}
}

// reserve reserves bytes if there is room. The mutex is held.
func (t *ConnectionTable) reserve(r *row, size carobsize.Size) bool {
	if carobsize.Size(t.config.Budget.Reserved())+size > t.limitOf(r.Held+size) || !t.config.Budget.Reserve(int(size)) {
		return false
	}
	r.Held += size
	return true
}

// limitOf returns up to which number of reserved bytes a connection may reserve more if it
// then holds the given number.
func (t *ConnectionTable) limitOf(held carobsize.Size) carobsize.Size {
	if held <= smallSize {
		return t.config.Limit
	}
	return t.config.Limit * largeShare / largeWhole
}

// grant gives waiting connections their bytes, as far as there is room. Those that wait for
// longest come first; one that needs much does not hold up the others. The mutex is held.
func (t *ConnectionTable) grant() {
	left := t.waiting[:0]
	for _, r := range t.waiting {
		if !t.reserve(r, r.Needed) {
			left = append(left, r)
			continue
		}
		r.WaitingSince = carobinstant.Never
		r.granted <- nil
	}
	clear(t.waiting[len(left):])
	t.waiting = left
}

// step decides for the connections that wait, and runs again as long as there are any.
func (t *ConnectionTable) step() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.config.Timer.Now()
	t.stepped = now
	t.grant()
	if len(t.waiting) == 0 {
		return
	}
	t.stepAt(now.Add(stepInterval))
	t.shed(now, t.shortage())
	for _, id := range t.config.Shedding.Refused(now, t.snapshot()) {
		t.refuse(id)
	}
	t.log(now)
}

// log writes how short the memory is. The mutex is held, so that the line is written by
// another goroutine.
func (t *ConnectionTable) log(now carobinstant.Instant) {
	if t.config.Logger == nil || t.nextLog != carobinstant.Never && !t.nextLog.Reached(now) {
		return
	}
	entry := t.config.Logger.WithFields(logrus.Fields{
		"held": t.config.Budget.Reserved(), "limit": int64(t.config.Limit), "connections": len(t.rows), "waiting": len(t.waiting), "yielded": t.yielded,
	})
	go entry.Warn("connections: their memory is short")
	t.nextLog, t.yielded = now.Add(logInterval), 0
}

// shortage returns how many bytes have to become free for all that wait. The mutex is held.
func (t *ConnectionTable) shortage() carobsize.Size {
	limit, needed := t.config.Limit, carobsize.Size(0)
	for _, r := range t.waiting {
		needed += r.Needed
		limit = min(limit, t.limitOf(r.Held+r.Needed))
	}
	return carobsize.Size(t.config.Budget.Reserved()) + needed - limit
}

// shed tells connections to yield until size bytes are about to become free. It reports
// false if no connection can yield. The mutex is held.
func (t *ConnectionTable) shed(now carobinstant.Instant, size carobsize.Size) bool {
	for _, r := range t.rows {
		// A request that was completed before its connection yielded runs to its end.
		if r.yielding && r.Pending == 0 {
			size -= r.Held
		}
	}
	if size <= 0 {
		return true
	}
	yielded := false
	for _, id := range t.config.Shedding.Closed(now, t.snapshot(), size) {
		r := t.rows[id]
		if r.yielding = r.owner.Yield(r.Receiving); !r.yielding {
			continue
		}
		yielded = true
		t.count(r.reason())
	}
	return yielded
}

// reason returns the reason for which the connection yields.
func (r *row) reason() string {
	switch {
	case r.Receiving:
		return reasonStalled
	case r.Unsent > 0:
		return reasonUnread
	default:
		return reasonIdle
	}
}

// refuse ends the wait of a connection. The mutex is held.
func (t *ConnectionTable) refuse(id carobconnectionid.ID) {
	for i, r := range t.waiting {
		if r.ID == id {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			r.WaitingSince = carobinstant.Never
			r.granted <- carobkind.New(carobkind.Busy, "the memory for requests is in use")
			t.count(reasonMemory)
			return
		}
	}
}

// snapshot returns the connections that are not being closed. The mutex is held.
func (t *ConnectionTable) snapshot() []carobconnection.Connection {
	rows := make([]carobconnection.Connection, 0, len(t.rows))
	for _, r := range t.rows {
		if !r.yielding {
			r.BlockedSince = r.owner.BlockedSince()
			rows = append(rows, r.Connection)
		}
	}
	return rows
}

func (t *ConnectionTable) count(reason string) {
	t.yielded++
	if t.config.Count != nil {
		t.config.Count(reason)
	}
}
