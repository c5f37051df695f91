// Package carobkind defines the closed list of error kinds and the table with the
// HTTP status, outcome, retry delay and log level of each kind. Processes send
// each other the kind of an error, not its text.
package carobkind

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/pkg/caroboutcome"
)

// Kind is the kind of an error. It implements error, so that errors.Is and
// errors.As find it in a chain of errors. Its value is part of the wire format
// and of metrics.
type Kind string

// A new kind needs a constant here and a row in the map below.
const (
	// None means no error.
	None Kind = ""
	// Invalid means malformed input, or input with a value out of bounds.
	Invalid Kind = "invalid"
	// TooLarge means that the body of a call exceeds its limit.
	TooLarge Kind = "too-large"
	// HeaderTooLarge means that the header of a call exceeds its limit.
	HeaderTooLarge Kind = "header-too-large"
	// RequestTimeout means that the caller took too long to send its call.
	RequestTimeout Kind = "slow"
	// NotResendable means that no target ran the call, and that its body was
	// streamed and cannot be sent again.
	NotResendable Kind = "spent"
	// NotReady means that the node has no profile or no view of the targets yet.
	NotReady Kind = "not-ready"
	// Unauthenticated means that the call needs an API key of an organisation and has none
	// that is known.
	Unauthenticated Kind = "unauthenticated"
	// Quota means that the organisation of the call has used up its quota.
	Quota Kind = "quota"
	// NoRoute means that the route table in force has no route for the call.
	NoRoute Kind = "no-route"
	// Shed means that the target reported that it did not run the call.
	Shed Kind = "shed"
	// Misdirected means that another target answered at the address, and did
	// not run the call.
	Misdirected Kind = "misdirected"
	// NoTarget means that no target of the service is known and ready.
	NoTarget Kind = "no-target"
	// Busy means that all slots and queues are full.
	Busy Kind = "busy"
	// NotStartedInTime means that the call could not be started before its deadline.
	// See Expired for a deadline that passes later.
	NotStartedInTime Kind = "late"
	// Leaving means that the target or the node is shutting down.
	Leaving Kind = "leaving"
	// Stale means that the message was addressed to another incarnation.
	Stale Kind = "stale"
	// Withdrawn means that the attempt was fenced before it started.
	Withdrawn Kind = "withdrawn"
	// Unreachable means that no connection could be opened, so nothing was sent.
	Unreachable Kind = "unreachable"
	// Expired means that the deadline passed while the call may have been running.
	Expired Kind = "expired"
	// ConnectionLost means that the connection broke while the call may have been
	// running.
	ConnectionLost Kind = "cut"
	// Cancelled means that the caller closed its connection, or that the entry node
	// cancelled an attempt.
	Cancelled Kind = "cancelled"
	// Repeated means that a call with this key has run, and that its answer is not
	// stored.
	Repeated Kind = "repeated"
	// Unclaimed means that the key could not be claimed in the log, so that the
	// call did not run.
	Unclaimed Kind = "unclaimed"
	// KeyUnknown means that another call with this key may have run: its result is
	// unknown.
	KeyUnknown Kind = "key-unknown"
	// Conflict means that another change of the profile was made first.
	Conflict Kind = "conflict"
	// LogUnavailable means that the platform's log is unavailable, so that an append
	// certainly took no effect.
	LogUnavailable Kind = "log-out"
	// AppendUncertain means that an append may or may not have taken effect.
	AppendUncertain Kind = "unsure"
	// Internal means a fault of this program.
	Internal Kind = "internal"
)

// properties holds the HTTP status, outcome, retry delay and log level of a kind.
type properties struct {
	status  int
	outcome caroboutcome.Outcome
	// retry is the delay after which a new call may succeed; 0 if it would not.
	retry time.Duration
	level logrus.Level
}

const (
	shortRetry = time.Second
	longRetry  = 5 * time.Second
	// statusClientClosed is the customary status for a caller that closed its
	// connection before the answer, as nginx logs it.
	statusClientClosed = 499
)

var byKind = map[Kind]properties{
	Invalid:          {http.StatusBadRequest, caroboutcome.NotRun, 0, logrus.InfoLevel},
	TooLarge:         {http.StatusRequestEntityTooLarge, caroboutcome.NotRun, 0, logrus.InfoLevel},
	HeaderTooLarge:   {http.StatusRequestHeaderFieldsTooLarge, caroboutcome.NotRun, 0, logrus.InfoLevel},
	RequestTimeout:   {http.StatusRequestTimeout, caroboutcome.NotRun, shortRetry, logrus.InfoLevel},
	NotResendable:    {http.StatusServiceUnavailable, caroboutcome.NotRun, shortRetry, logrus.InfoLevel},
	NotReady:         {http.StatusServiceUnavailable, caroboutcome.NotRun, shortRetry, logrus.WarnLevel},
	Unauthenticated:  {http.StatusUnauthorized, caroboutcome.NotRun, 0, logrus.InfoLevel},
	Quota:            {http.StatusTooManyRequests, caroboutcome.NotRun, shortRetry, logrus.InfoLevel},
	NoRoute:          {http.StatusNotFound, caroboutcome.NotRun, 0, logrus.InfoLevel},
	Shed:             {http.StatusServiceUnavailable, caroboutcome.NotRun, shortRetry, logrus.InfoLevel},
	Misdirected:      {http.StatusServiceUnavailable, caroboutcome.NotRun, shortRetry, logrus.WarnLevel},
	NoTarget:         {http.StatusServiceUnavailable, caroboutcome.NotRun, shortRetry, logrus.WarnLevel},
	Busy:             {http.StatusServiceUnavailable, caroboutcome.NotRun, shortRetry, logrus.InfoLevel},
	NotStartedInTime: {http.StatusGatewayTimeout, caroboutcome.NotRun, shortRetry, logrus.InfoLevel},
	Leaving:          {http.StatusServiceUnavailable, caroboutcome.NotRun, shortRetry, logrus.InfoLevel},
	Stale:            {http.StatusServiceUnavailable, caroboutcome.NotRun, shortRetry, logrus.InfoLevel},
	Withdrawn:        {http.StatusServiceUnavailable, caroboutcome.NotRun, shortRetry, logrus.InfoLevel},
	Unreachable:      {http.StatusServiceUnavailable, caroboutcome.NotRun, shortRetry, logrus.WarnLevel},
	Expired:          {http.StatusGatewayTimeout, caroboutcome.Unknown, 0, logrus.WarnLevel},
	ConnectionLost:   {http.StatusBadGateway, caroboutcome.Unknown, 0, logrus.WarnLevel},
	Cancelled:        {statusClientClosed, caroboutcome.Unknown, 0, logrus.InfoLevel},
	Repeated:         {http.StatusConflict, caroboutcome.Unknown, 0, logrus.InfoLevel},
	Unclaimed:        {http.StatusServiceUnavailable, caroboutcome.NotRun, longRetry, logrus.WarnLevel},
	KeyUnknown:       {http.StatusConflict, caroboutcome.Unknown, 0, logrus.WarnLevel},
	Conflict:         {http.StatusConflict, caroboutcome.NotRun, 0, logrus.InfoLevel},
	LogUnavailable:   {http.StatusServiceUnavailable, caroboutcome.NotRun, longRetry, logrus.WarnLevel},
	AppendUncertain:  {http.StatusBadGateway, caroboutcome.Unknown, 0, logrus.WarnLevel},
	Internal:         {http.StatusInternalServerError, caroboutcome.Unknown, 0, logrus.ErrorLevel},
}

// Error returns the value of the kind.
func (k Kind) Error() string {
	return string(k)
}

// Status returns the HTTP status of a response with the kind.
func (k Kind) Status() int {
	return k.properties().status
}

// Outcome returns the outcome that the caller gets with the kind.
func (k Kind) Outcome() caroboutcome.Outcome {
	return k.properties().outcome
}

// RetryAfter returns the delay after which a new call may succeed, or 0 if a new
// call would not help.
func (k Kind) RetryAfter() time.Duration {
	return k.properties().retry
}

// Level returns the level at which the kind is logged.
func (k Kind) Level() logrus.Level {
	return k.properties().level
}

// NotRun reports whether the kind guarantees that the call did not run.
func (k Kind) NotRun() bool {
	return k.properties().outcome == caroboutcome.NotRun
}

// Known reports whether the kind is in the list of kinds; None is not.
func (k Kind) Known() bool {
	_, ok := byKind[k]
	return ok
}

// properties returns the properties of the kind, or those of Internal if the kind
// is not in the list.
func (k Kind) properties() properties {
	found, ok := byKind[k]
	if !ok {
		return byKind[Internal]
	}
	return found
}

// kindError is an error with a kind. Its text is the text of its cause.
type kindError struct {
	kind  Kind
	cause error
}

func (e *kindError) Error() string {
	return e.cause.Error()
}

func (e *kindError) Unwrap() error {
	return e.cause
}

func (e *kindError) Is(target error) bool {
	return target == e.kind //nolint:errorlint // a kind is compared, not a chain
}

// New returns an error of a kind with a formatted text.
func New(k Kind, format string, args ...any) error {
	return &kindError{kind: k, cause: errors.NewWithDepthf(1, format, args...)}
}

// Wrap returns err as an error of a kind. Its text is prefixed with the operation
// that failed.
func Wrap(k Kind, err error, operation string) error {
	return &kindError{kind: k, cause: errors.WrapWithDepth(1, err, operation)}
}

// Of returns the kind of an error: the outermost kind in its chain, Internal if
// there is none, and None for nil. A kind given by New or Wrap precedes a bare
// Kind.
func Of(err error) Kind {
	if err == nil {
		return None
	}
	var found *kindError
	if errors.As(err, &found) {
		return found.kind
	}
	var k Kind
	if errors.As(err, &k) {
		return k
	}
	return Internal
}
