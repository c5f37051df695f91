package carobroutepoller_test

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobevacuationlist"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
)

// store holds the operator's newest route table.
type store struct {
	timer *carobtimer.Timer
	mutex sync.Mutex
	table *carobroutetable.RouteTable
	// changed is closed and replaced whenever the table changes.
	changed chan struct{}
	// readAt has when each node began its last read, and reads is the number of all reads.
	readAt map[carobnodeid.ID]carobinstant.Instant
	reads  int
	// missingHeld is true if a change does not end the reads that the store holds.
	missingHeld bool
	// evacuated has the data centres that the operator has evacuated, as of the position end.
	evacuated []carobcentre.Centre
	end       caroboffset.Offset
	// silent has the nodes that get no response.
	silent map[carobnodeid.ID]bool
	// failRead returns how a read of a node fails or is delayed; nil if none does.
	failRead func(node carobnodeid.ID) readFault
}

// readFault is what happens to a read besides its usual delay. The zero value is nothing.
type readFault struct {
	// refused is true if the store responds with an error, and lost if it does not respond.
	refused, lost bool
	// delay is how much longer the response takes.
	delay time.Duration
}

// errRefused is the response of a store that turns a read away.
var errRefused = errors.New("the store responded with status 503")

// fault returns what happens to a read of a node that begins now.
func (s *store) fault(node carobnodeid.ID) readFault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failRead == nil {
		return readFault{}
	}
	return s.failRead(node)
}

// failReads sets what happens to reads.
func (s *store) failReads(fail func(node carobnodeid.ID) readFault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failRead = fail
}

// publish replaces the route table by a newer one and wakes the reads that are held. A table
// that is not newer is ignored, since two publishers may act at the same instant.
func (s *store) publish(table *carobroutetable.RouteTable) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if table.Version <= s.table.Version {
		return
	}
	s.table = table
	if !s.missingHeld {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// missHeld makes the store end the reads that it holds only when their time is over.
func (s *store) missHeld() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.missingHeld = true
}

func (s *store) readCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reads
}

// begin records a read of a node.
func (s *store) begin(node carobnodeid.ID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readAt[node] = s.timer.Now()
	s.reads++
}

// silenceLastReaders makes the store give no response to the n nodes that read last.
func (s *store) silenceLastReaders(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for range n {
		var last carobnodeid.ID
		for node, at := range s.readAt {
			if !s.silent[node] && (last == "" || s.readAt[last].Before(at)) {
				last = node
			}
		}
		s.silent[last] = true
	}
}

// state returns the table, the channel that is closed when it changes, and whether a node
// gets responses.
func (s *store) state(node carobnodeid.ID) (*carobroutetable.RouteTable, chan struct{}, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table, s.changed, !s.silent[node]
}

// storeReader reads the store for one node.
type storeReader struct {
	store *store
	node  carobnodeid.ID
	mutex sync.Mutex
	// newest is the newest table that was returned; nil before the first.
	newest *carobroutetable.RouteTable
	// evacuations are what the last response had of them.
	evacuations carobevacuationlist.EvacuationList
}

// Evacuations returns what the last successful read found.
func (r *storeReader) Evacuations() carobevacuationlist.EvacuationList {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.evacuations
}

// AwaitRoutes returns the store's table once it is newer than the last one returned, or
// after wait. A node that the store gives no response gets an error after the timeout.
func (r *storeReader) AwaitRoutes(ctx context.Context, wait time.Duration) (*carobroutetable.RouteTable, error) {
	r.store.begin(r.node)
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	held, release := context.WithTimeout(ctx, wait)
	defer release()
	fault := r.store.fault(r.node)
	switch {
	case fault.lost:
		<-ctx.Done()
		return nil, ctx.Err()
	case fault.refused:
		_ = r.store.timer.Wait(ctx, storeDelay)
		return nil, errRefused
	}
	for {
		table, changed, answers := r.store.state(r.node)
		if !answers {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if table.Version > r.version() || held.Err() != nil {
			return r.respond(ctx, table, fault.delay)
		}
		select {
		case <-held.Done():
		case <-changed:
		}
	}
}

// respond returns the table, or the last one returned if that is newer. The response takes the
// usual time and the delay.
func (r *storeReader) respond(ctx context.Context, table *carobroutetable.RouteTable, delay time.Duration) (*carobroutetable.RouteTable, error) {
	evacuations := r.store.listEvacuations()
	if err := r.store.timer.Wait(ctx, storeDelay+delay); err != nil {
		return nil, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.evacuations = evacuations
	if r.newest == nil || table.Version > r.newest.Version {
		r.newest = table
	}
	return r.newest, nil
}

func (r *storeReader) version() carobrouteversion.Version {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.newest == nil {
		return carobrouteversion.None
	}
	return r.newest.Version
}
