// Package carobacceptor provides a listener that outlives passing errors of Accept.
//
// A server that ends when Accept fails takes the process with it, although such errors
// pass: descriptors or kernel memory are short, or a caller reset its connection before
// it was accepted.
package carobacceptor

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Config holds the parameters of an Acceptor.
type Config struct {
	Listener net.Listener
	Timer    *carobtimer.Timer
	Logger   *logrus.Entry
	// Name names the listener in the log.
	Name string
	// Relieve closes connections without a call under way, so that descriptors become
	// free. It is called when descriptors are short, must not block, and may be nil.
	Relieve func()
}

// Acceptor is a listener whose Accept returns an error only if the listener is closed or
// cannot be used any more.
type Acceptor struct {
	config Config
	// ctx ends with Close.
	ctx    context.Context
	cancel context.CancelFunc
	mutex  sync.Mutex
	// nextLog is when the next failure is logged; Never before the first.
	nextLog carobinstant.Instant
	// failures counts the failures since the last logged one.
	failures int
}

const (
	// The backoff after consecutive failures grows from the first value to the second.
	minBackoff, maxBackoff = 5 * time.Millisecond, 200 * time.Millisecond
	// logInterval is the shortest time between two log lines of a listener.
	logInterval = time.Second
)

// passingErrors are the errors after which a listener can be used on.
var passingErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EAGAIN, syscall.EPROTO, syscall.EPERM,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
}

// NewAcceptor returns an Acceptor that accepts from Config.Listener.
func NewAcceptor(c Config) *Acceptor {
	ctx, cancel := context.WithCancel(context.Background())
	return &Acceptor{config: c, ctx: ctx, cancel: cancel}
}

// Accept waits for the next connection. After a passing error it waits and tries again.
func (a *Acceptor) Accept() (net.Conn, error) {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		conn, err := a.config.Listener.Accept()
		if err == nil || !isPassing(err) {
			return conn, err
		}
		a.logFailure(err)
		if isShortage(err) && a.config.Relieve != nil {
			a.config.Relieve()
		}
		if a.config.Timer.Wait(a.ctx, backoff) != nil {
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener and ends a wait of Accept.
func (a *Acceptor) Close() error {
	a.cancel()
	return a.config.Listener.Close()
}

// Addr returns the address of the listener.
func (a *Acceptor) Addr() net.Addr {
	return a.config.Listener.Addr()
}

// logFailure logs a failure at most once in logInterval, with the number of failures.
func (a *Acceptor) logFailure(err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.failures++
	now := a.config.Timer.Now()
	if a.nextLog != carobinstant.Never && !a.nextLog.Reached(now) {
		return
	}
	a.config.Logger.WithError(err).WithFields(logrus.Fields{"listener": a.config.Name, "failures": a.failures}).Warn("listener: connection not accepted")
	a.nextLog, a.failures = now.Add(logInterval), 0
}

// isPassing reports whether the listener can be used after an error.
func isPassing(err error) bool {
	for _, passing := range passingErrors {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// isShortage reports whether an error means that descriptors are short.
func isShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
