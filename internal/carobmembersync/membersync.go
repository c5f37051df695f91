// Package carobmembersync writes the description of this node (its member) into a
// directory that all nodes share, and reads the descriptions of the others there.
package carobmembersync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobstoreera"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// directory holds the newest member of each node, encoded.
type directory interface {
	// PutMember writes the member of a node.
	PutMember(ctx context.Context, node carobnodeid.ID, member []byte) error
	// Members returns the members of all nodes.
	Members(ctx context.Context) ([][]byte, error)
}

// eraDirectory is a directory in a store that names its era.
type eraDirectory interface {
	// Era returns the highest era that a response of the store has named.
	Era() carobstoreera.Era
}

// Config holds the parameters of a member sync.
type Config struct {
	// Node is the node whose member is written.
	Node      carobnodeid.ID
	Directory directory
	Mailbox   *carobmailbox.Mailbox
	Timer     *carobtimer.Timer
	Logger    *logrus.Entry
}

const (
	// The backoff grows from the first value to the second. Jitter of up to the same
	// time is added, so that nodes that start together do not retry together.
	minBackoff, maxBackoff = 200 * time.Millisecond, 2 * time.Second
	// requestTimeout is the timeout of one request to the directory.
	requestTimeout = time.Second
)

// MemberSync writes this node's member to the directory and reads the members of all
// nodes from it.
type MemberSync struct {
	config Config
	mutex  sync.Mutex
	// member is the newest member of this node, encoded; nil before the first Execute
	// that has one.
	member []byte
	// era is the highest one that was posted; None if none was. Only Run uses it.
	era carobstoreera.Era
	// wake holds one element after member has changed.
	wake chan struct{}
}

// NewMemberSync returns a member sync that accesses the directory only once Run is
// called.
func NewMemberSync(c Config) *MemberSync {
	return &MemberSync{config: c, wake: make(chan struct{}, 1)}
}

// Execute stores the newest member that the tick appends to the stream of nodes, for
// Run to write. It does not wait for the directory.
func (s *MemberSync) Execute(out *caroboutbox.Outbox) {
	for _, ap := range out.RetriedAppends {
		if ap.Stream != carobstream.Nodes {
			continue
		}
		s.mutex.Lock()
		s.member = ap.Data
		s.mutex.Unlock()
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// Run writes the node's member after each change and then reads those of all nodes,
// until ctx is done. It writes before it reads, so that of two nodes that start
// together at least one finds the other.
func (s *MemberSync) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.retry(ctx, "directory: own member cannot be written", s.write)
		s.retry(ctx, "directory: members cannot be read", s.read)
	}
}

// retry repeats an operation with backoff until it succeeds or ctx is done. It logs
// only the first failure.
func (s *MemberSync) retry(ctx context.Context, failureText string, operation func(ctx context.Context) error) {
	backoff := minBackoff
	for tries := 0; ctx.Err() == nil; tries++ {
		inner, cancel := context.WithTimeout(ctx, requestTimeout)
		err := operation(inner)
		cancel()
		s.postEra()
		if err == nil {
			return
		}
		if tries == 0 {
			s.config.Logger.WithError(err).Warn(failureText)
		}
		_ = s.config.Timer.Wait(ctx, backoff+time.Duration(rand.Int64N(int64(backoff)))) //nolint:gosec // jitter need not be secret
		backoff = min(2*backoff, maxBackoff)
	}
}

func (s *MemberSync) write(ctx context.Context) error {
	s.mutex.Lock()
	member := s.member
	s.mutex.Unlock()
	return s.config.Directory.PutMember(ctx, s.config.Node, member)
}

// read posts the members of all nodes as records of the stream of nodes.
func (s *MemberSync) read(ctx context.Context) error {
	members, err := s.config.Directory.Members(ctx)
	if err != nil {
		return err
	}
	s.config.Mailbox.Post(func(in *carobinbox.Inbox) {
		for _, member := range members {
			in.Records = append(in.Records, carobrecord.Record{Stream: carobstream.Nodes, Data: member})
		}
	})
	return nil
}

// postEra posts the era of the store if it has risen.
func (s *MemberSync) postEra() {
	directory, ok := s.config.Directory.(eraDirectory)
	if !ok {
		return
	}
	era := directory.Era()
	if era <= s.era {
		return
	}
	s.era = era
	s.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.StoreEras = append(in.StoreEras, era) })
}
