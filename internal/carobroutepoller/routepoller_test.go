package carobroutepoller_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobroutepoller"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
)

// stubSource sends the wait of each read to reads and returns what the test sends
// to answers: an error, or nil for the table.
type stubSource struct {
	reads   chan time.Duration
	answers chan error
	table   *carobroutetable.RouteTable
}

func (s *stubSource) AwaitRoutes(ctx context.Context, wait time.Duration) (*carobroutetable.RouteTable, error) {
	s.reads <- wait
	select {
	case err := <-s.answers:
		if err != nil {
			return nil, err
		}
		return s.table, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against reads that are not repeated, held for too long, or not cancelled
// once the control goroutine no longer needs tables, and against a store whose
// failure or recovery is not posted.
func TestTablesAreReadWhileEnabled(t *testing.T) {
	table, err := carobroutetable.NewRouteTable(1, nil)
	require.NoError(t, err)
	timer, mailbox := carobtimer.NewTimer(), carobmailbox.NewMailbox()
	go timer.Run(t.Context())
	routeSource := &stubSource{reads: make(chan time.Duration), answers: make(chan error), table: table}
	logger, logged := test.NewNullLogger()
	poller := carobroutepoller.NewRoutePoller(carobroutepoller.Config{
		Source: routeSource, Mailbox: mailbox, Timer: timer, Logger: logrus.NewEntry(logger),
	})
	go poller.Run(t.Context())
	const hold = time.Second
	poller.Execute(&caroboutbox.Outbox{AwaitingTable: true, LongPollTimeout: hold})
	held := <-routeSource.reads
	require.GreaterOrEqual(t, held, hold/2, "the store must hold a read that finds nothing")
	require.LessOrEqual(t, held, hold*3/2, "a read must not be held longer than its jitter allows")
	routeSource.answers <- nil
	require.True(t, mailbox.AwaitTick(t.Context()))
	require.Len(t, mailbox.TakeAll().RouteTables, 1)

	// After two consecutive failures the store counts as unreadable, until a read
	// succeeds.
	for range 2 {
		<-routeSource.reads
		routeSource.answers <- errors.New("refused")
	}
	require.True(t, mailbox.AwaitTick(t.Context()))
	require.Equal(t, []bool{true}, mailbox.TakeAll().StoreUnreadable)
	require.Contains(t, logged.LastEntry().Message, "cannot be read")
	<-routeSource.reads
	routeSource.answers <- nil
	require.True(t, mailbox.AwaitTick(t.Context()))
	require.Equal(t, []bool{false}, mailbox.TakeAll().StoreUnreadable)

	// A read ends when the poller is disabled, and another one begins when it is
	// enabled again.
	<-routeSource.reads
	poller.Execute(&caroboutbox.Outbox{})
	poller.Execute(&caroboutbox.Outbox{AwaitingTable: true})
	<-routeSource.reads
}

// Guards against a table that is lost since its read was cancelled after the store had responded; the source returns it only once.
func TestTableOfACancelledReadIsKept(t *testing.T) {
	table, err := carobroutetable.NewRouteTable(1, nil)
	require.NoError(t, err)
	timer, mailbox := carobtimer.NewTimer(), carobmailbox.NewMailbox()
	go timer.Run(t.Context())
	logger, _ := test.NewNullLogger()
	var poller *carobroutepoller.RoutePoller
	source := sourceFunc(func(ctx context.Context) (*carobroutetable.RouteTable, error) {
		poller.Execute(&caroboutbox.Outbox{})
		<-ctx.Done()
		return table, nil
	})
	poller = carobroutepoller.NewRoutePoller(carobroutepoller.Config{Source: source, Mailbox: mailbox, Timer: timer, Logger: logrus.NewEntry(logger)})
	poller.Execute(&caroboutbox.Outbox{AwaitingTable: true, LongPollTimeout: time.Second})
	go poller.Run(t.Context())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.True(t, mailbox.AwaitTick(ctx))
	require.Len(t, mailbox.TakeAll().RouteTables, 1)
}

// sourceFunc is a source that calls a function for each read.
type sourceFunc func(ctx context.Context) (*carobroutetable.RouteTable, error)

func (f sourceFunc) AwaitRoutes(ctx context.Context, _ time.Duration) (*carobroutetable.RouteTable, error) {
	return f(ctx)
}

// Guards against a node that counts as unable to read the store for good, since it found so while it did not have to read tables.
func TestIdleNodeChecksAnUnreadableStoreAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		timer, mailbox := carobtimer.NewTimer(), carobmailbox.NewMailbox()
		go timer.Run(ctx)
		logger, _ := test.NewNullLogger()
		failing := true
		poller := carobroutepoller.NewRoutePoller(carobroutepoller.Config{
			Source: sourceFunc(func(context.Context) (*carobroutetable.RouteTable, error) {
				if failing {
					return nil, errors.New("refused")
				}
				return nil, nil
			}), Mailbox: mailbox, Timer: timer, Logger: logrus.NewEntry(logger),
		})
		go poller.Run(ctx)
		for range 2 {
			synctest.Wait()
			poller.Execute(&caroboutbox.Outbox{ConfirmRoutes: true})
		}
		synctest.Wait()
		require.Equal(t, []bool{true}, mailbox.TakeAll().StoreUnreadable)
		failing = false
		require.NoError(t, timer.Wait(ctx, time.Minute))
		require.Equal(t, []bool{false}, mailbox.TakeAll().StoreUnreadable)
	})
}
