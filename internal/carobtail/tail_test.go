package carobtail_test

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/caroblogpage"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtail"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobstreambounds"
)

// pagedLog is a log of which a read returns one record at most. It passes on how long each
// read may be held, and returns nothing to a held one.
type pagedLog struct {
	end   caroboffset.Offset
	waits chan time.Duration
}

func (l *pagedLog) Read(ctx context.Context, stream carobstream.Stream, from caroboffset.Offset, wait time.Duration) (caroblogpage.LogPage, error) {
	select {
	case l.waits <- wait:
	case <-ctx.Done():
		return caroblogpage.LogPage{}, ctx.Err()
	}
	if from < l.end {
		return caroblogpage.LogPage{Records: []carobrecord.Record{{Stream: stream, Offset: from}}, NextOffset: from + 1}, nil
	}
	if wait > 0 {
		<-ctx.Done()
		return caroblogpage.LogPage{}, ctx.Err()
	}
	return caroblogpage.LogPage{NextOffset: from}, nil
}

// Guards against a node that takes the first page of a stream for all of it, and uses profiles or keys that later records have replaced.
func TestStreamIsAtItsEndOnlyAfterTheLastPage(t *testing.T) {
	timer, mailbox := carobtimer.NewTimer(), carobmailbox.NewMailbox()
	go timer.Run(t.Context())
	logger, _ := test.NewNullLogger()
	log := &pagedLog{end: 3, waits: make(chan time.Duration)}
	go carobtail.NewTail(carobtail.Config{
		Stream: carobstream.Profiles, Log: log, Mailbox: mailbox, Timer: timer, Logger: logrus.NewEntry(logger),
	}).Run(t.Context())
	for range 4 {
		require.Zero(t, <-log.waits, "no read is held before the end is found")
	}
	require.Positive(t, <-log.waits, "reads are held from then on")
	var bounds []carobstreambounds.StreamBounds
	for len(bounds) < 4 {
		require.True(t, mailbox.AwaitTick(t.Context()))
		bounds = append(bounds, mailbox.TakeAll().StreamBounds...)
	}
	for i, b := range bounds {
		require.Equal(t, i == 3, b.AtEnd, "read %d", i)
	}
}
