// Package carobenroller has a node put its word into a directory that all nodes
// share, and read there where the others are.
package carobenroller

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
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// directory keeps the newest word of each node.
type directory interface {
	Enrol(cx context.Context, node carobnodeid.ID, word []byte) error
	Words(cx context.Context) ([][]byte, error)
}

// Config is how an enroller is made.
type Config struct {
	Node      carobnodeid.ID
	Directory directory
	Mailbox   *carobmailbox.Mailbox
	Timer     *carobtimer.Timer
	Logger    *logrus.Entry
}

const (
	// The time between two tries grows from the first to the last, and each is up to
	// twice as long by chance, so that nodes that start together spread.
	firstPause, lastPause = 200 * time.Millisecond, 2 * time.Second
	// patience is how long one request may take.
	patience = time.Second
)

// Enroller writes and reads the directory.
type Enroller struct {
	config Config
	mutex  sync.Mutex
	// word is the newest that is to be written; nil if there is none.
	word []byte
	rung chan struct{}
}

// NewEnroller returns an enroller that does nothing yet.
func NewEnroller(c Config) *Enroller {
	return &Enroller{config: c, rung: make(chan struct{}, 1)}
}

// Carry takes note of a word to be written.
func (e *Enroller) Carry(out *caroboutbox.Outbox) {
	for _, ap := range out.Appends {
		if ap.Stream != carobstream.Nodes {
			continue
		}
		e.mutex.Lock()
		e.word = ap.Data
		e.mutex.Unlock()
		select {
		case e.rung <- struct{}{}:
		default:
		}
	}
}

// Run writes each word and then reads those of the others, until cx ends. In this
// order, of two nodes that start together one finds the other.
func (e *Enroller) Run(cx context.Context) {
	for {
		select {
		case <-cx.Done():
			return
		case <-e.rung:
		}
		e.persist(cx, "directory: own word is not written", e.enrol)
		e.persist(cx, "directory: words are not read", e.list)
	}
}

// persist tries until it works or cx ends.
func (e *Enroller) persist(cx context.Context, complaint string, try func(cx context.Context) error) {
	pause := firstPause
	for tries := 0; cx.Err() == nil; tries++ {
		inner, cancel := context.WithTimeout(cx, patience)
		err := try(inner)
		cancel()
		if err == nil {
			return
		}
		if tries == 0 {
			e.config.Logger.WithError(err).Warn(complaint)
		}
		_ = e.config.Timer.Wait(cx, pause+time.Duration(rand.Int64N(int64(pause)))) //nolint:gosec // spreads load
		pause = min(2*pause, lastPause)
	}
}

func (e *Enroller) enrol(cx context.Context) error {
	e.mutex.Lock()
	word := e.word
	e.mutex.Unlock()
	return e.config.Directory.Enrol(cx, e.config.Node, word)
}

func (e *Enroller) list(cx context.Context) error {
	words, err := e.config.Directory.Words(cx)
	if err != nil {
		return err
	}
	e.config.Mailbox.Post(func(in *carobinbox.Inbox) {
		for _, word := range words {
			in.Records = append(in.Records, carobrecord.Record{Stream: carobstream.Nodes, Data: word})
		}
	})
	return nil
}
