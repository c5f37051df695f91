package carobfollower_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobfollower"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
)

// source answers as a test tells it to.
type source struct {
	reads   chan time.Duration
	answers chan error
	table   *carobroutetable.RouteTable
}

func (s *source) Routes(cx context.Context, wait time.Duration) (*carobroutetable.RouteTable, error) {
	s.reads <- wait
	select {
	case err := <-s.answers:
		if err != nil {
			return nil, err
		}
		return s.table, nil
	case <-cx.Done():
		return nil, cx.Err()
	}
}

func TestFollowerReadsWhileItIsWanted(t *testing.T) {
	table, err := carobroutetable.NewRouteTable(1, nil)
	require.NoError(t, err)
	timer, mailbox := carobtimer.NewTimer(), carobmailbox.NewMailbox()
	go timer.Run(t.Context())
	sc := &source{reads: make(chan time.Duration), answers: make(chan error), table: table}
	logger, lines := test.NewNullLogger()
	f := carobfollower.NewFollower(carobfollower.Config{
		Source: sc, Mailbox: mailbox, Timer: timer, Logger: logrus.NewEntry(logger),
	})
	go f.Run(t.Context())
	const hold = time.Second
	f.Carry(&caroboutbox.Outbox{ReadingStore: true, LongPollTimeout: hold})
	held := <-sc.reads
	require.GreaterOrEqual(t, held, hold/2, "a follower waits for what is new")
	require.LessOrEqual(t, held, hold*3/2, "but not for long")
	sc.answers <- nil
	require.True(t, mailbox.Await(t.Context()))
	require.Len(t, mailbox.Take().RouteTables, 1)

	// Failures in a row make it blind, and an answer makes it see again.
	for range 2 {
		<-sc.reads
		sc.answers <- errors.New("refused")
	}
	require.True(t, mailbox.Await(t.Context()))
	require.Equal(t, []bool{true}, mailbox.Take().StoreUnreadable)
	require.Contains(t, lines.LastEntry().Message, "cannot be read")
	<-sc.reads
	sc.answers <- nil
	require.True(t, mailbox.Await(t.Context()))
	require.Equal(t, []bool{false}, mailbox.Take().StoreUnreadable)

	// A read that is not wanted any more ends, and no other begins.
	<-sc.reads
	f.Carry(&caroboutbox.Outbox{})
	f.Carry(&caroboutbox.Outbox{ReadingStore: true})
	<-sc.reads
}
