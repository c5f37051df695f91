// Package carobkind is the closed list of error kinds, with the table that says
// what each kind answers. An error crosses a process boundary as its kind.
package carobkind

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/pkg/caroboutcome"
)

// Kind is the kind of an error. It is an error itself, so that errors.Is and
// errors.As find it in a chain.
type Kind string

// The kinds. To add one, add its constant here and its row in the table.
const (
	// None is no error.
	None Kind = ""
	// Invalid: what came in breaks its own rules.
	Invalid Kind = "invalid"
	// TooLarge: the body of a call passes the limit.
	TooLarge Kind = "too-large"
	// HeaderTooLarge: the header of a call passes the limit.
	HeaderTooLarge Kind = "header-too-large"
	// Slow: the caller took too long to send its call.
	Slow Kind = "slow"
	// Spent: no target ran the call, and its body cannot be sent again.
	Spent Kind = "spent"
	// NotReady: the node has no profile or no view of the targets yet.
	NotReady Kind = "not-ready"
	// NoRoute: the route table in force has no route for the call.
	NoRoute Kind = "no-route"
	// Shed: the target says that it did not run the call.
	Shed Kind = "shed"
	// Misdirected: another target answered at the address, and ran nothing.
	Misdirected Kind = "misdirected"
	// NoTarget: no target of the service is known and ready.
	NoTarget Kind = "no-target"
	// Busy: slots and queues are full.
	Busy Kind = "busy"
	// Late: the call could not be started before its deadline.
	Late Kind = "late"
	// Leaving: the target or the node is shutting down.
	Leaving Kind = "leaving"
	// Stale: the message was meant for another incarnation.
	Stale Kind = "stale"
	// Withdrawn: the attempt was fenced before it started.
	Withdrawn Kind = "withdrawn"
	// Unreachable: no connection could be opened, so nothing was sent.
	Unreachable Kind = "unreachable"
	// Expired: the deadline passed while the call may have been running.
	Expired Kind = "expired"
	// Cut: the connection broke while the call may have been running.
	Cut Kind = "cut"
	// Cancelled: the caller hung up.
	Cancelled Kind = "cancelled"
	// Repeated: a call with this key has run, and its answer is not kept.
	Repeated Kind = "repeated"
	// Unclaimed: the key could not be claimed in the log, so nothing ran.
	Unclaimed Kind = "unclaimed"
	// KeyUnknown: a call with this key was started and its end is not known.
	KeyUnknown Kind = "key-unknown"
	// Conflict: another change of the profile came first.
	Conflict Kind = "conflict"
	// LogOut: the platform's log does not answer.
	LogOut Kind = "log-out"
	// Unsure: an append may have taken effect.
	Unsure Kind = "unsure"
	// Internal: a fault of this program.
	Internal Kind = "internal"
)

// row is what a kind answers.
type row struct {
	status  int
	outcome caroboutcome.Outcome
	retry   time.Duration
	level   logrus.Level
}

const (
	soon  = time.Second
	later = 5 * time.Second
	// statusClientClosed is the usual status for a caller that hung up.
	statusClientClosed = 499
)

var table = map[Kind]row{
	Invalid:        {http.StatusBadRequest, caroboutcome.NotRun, 0, logrus.InfoLevel},
	TooLarge:       {http.StatusRequestEntityTooLarge, caroboutcome.NotRun, 0, logrus.InfoLevel},
	HeaderTooLarge: {http.StatusRequestHeaderFieldsTooLarge, caroboutcome.NotRun, 0, logrus.InfoLevel},
	Slow:           {http.StatusRequestTimeout, caroboutcome.NotRun, soon, logrus.InfoLevel},
	Spent:          {http.StatusServiceUnavailable, caroboutcome.NotRun, soon, logrus.InfoLevel},
	NotReady:       {http.StatusServiceUnavailable, caroboutcome.NotRun, soon, logrus.WarnLevel},
	NoRoute:        {http.StatusNotFound, caroboutcome.NotRun, 0, logrus.InfoLevel},
	Shed:           {http.StatusServiceUnavailable, caroboutcome.NotRun, soon, logrus.InfoLevel},
	Misdirected:    {http.StatusServiceUnavailable, caroboutcome.NotRun, soon, logrus.WarnLevel},
	NoTarget:       {http.StatusServiceUnavailable, caroboutcome.NotRun, soon, logrus.WarnLevel},
	Busy:           {http.StatusServiceUnavailable, caroboutcome.NotRun, soon, logrus.InfoLevel},
	Late:           {http.StatusGatewayTimeout, caroboutcome.NotRun, soon, logrus.InfoLevel},
	Leaving:        {http.StatusServiceUnavailable, caroboutcome.NotRun, soon, logrus.InfoLevel},
	Stale:          {http.StatusServiceUnavailable, caroboutcome.NotRun, soon, logrus.InfoLevel},
	Withdrawn:      {http.StatusServiceUnavailable, caroboutcome.NotRun, soon, logrus.InfoLevel},
	Unreachable:    {http.StatusServiceUnavailable, caroboutcome.NotRun, soon, logrus.WarnLevel},
	Expired:        {http.StatusGatewayTimeout, caroboutcome.Unknown, 0, logrus.WarnLevel},
	Cut:            {http.StatusBadGateway, caroboutcome.Unknown, 0, logrus.WarnLevel},
	Cancelled:      {statusClientClosed, caroboutcome.Unknown, 0, logrus.InfoLevel},
	Repeated:       {http.StatusConflict, caroboutcome.Unknown, 0, logrus.InfoLevel},
	Unclaimed:      {http.StatusServiceUnavailable, caroboutcome.NotRun, later, logrus.WarnLevel},
	KeyUnknown:     {http.StatusConflict, caroboutcome.Unknown, 0, logrus.WarnLevel},
	Conflict:       {http.StatusConflict, caroboutcome.NotRun, 0, logrus.InfoLevel},
	LogOut:         {http.StatusServiceUnavailable, caroboutcome.NotRun, later, logrus.WarnLevel},
	Unsure:         {http.StatusBadGateway, caroboutcome.Unknown, 0, logrus.WarnLevel},
	Internal:       {http.StatusInternalServerError, caroboutcome.Unknown, 0, logrus.ErrorLevel},
}

// Error returns the kind's name.
func (k Kind) Error() string {
	return string(k)
}

// Status returns the HTTP status that answers the kind.
func (k Kind) Status() int {
	return k.row().status
}

// Outcome returns what the caller is told of its call.
func (k Kind) Outcome() caroboutcome.Outcome {
	return k.row().outcome
}

// Retry returns after how long a new call may help, or zero.
func (k Kind) Retry() time.Duration {
	return k.row().retry
}

// Level returns the level at which the kind is logged.
func (k Kind) Level() logrus.Level {
	return k.row().level
}

// NotRun reports whether the kind says for certain that nothing ran.
func (k Kind) NotRun() bool {
	return k.row().outcome == caroboutcome.NotRun
}

// Known reports whether the kind stands in the list.
func (k Kind) Known() bool {
	_, ok := table[k]
	return ok
}

func (k Kind) row() row {
	r, ok := table[k]
	if !ok {
		return table[Internal]
	}
	return r
}

// fault marks an error with its kind. Its text is that of its cause.
type fault struct {
	kind  Kind
	cause error
}

func (f *fault) Error() string {
	return f.cause.Error()
}

func (f *fault) Unwrap() error {
	return f.cause
}

func (f *fault) Is(target error) bool {
	return target == f.kind //nolint:errorlint // a kind is compared, not a chain
}

// New returns an error of a kind.
func New(k Kind, format string, args ...any) error {
	return &fault{kind: k, cause: errors.NewWithDepthf(1, format, args...)}
}

// Wrap returns err as an error of a kind, with what was being done.
func Wrap(k Kind, err error, doing string) error {
	return &fault{kind: k, cause: errors.WrapWithDepth(1, err, doing)}
}

// Of returns the kind of an error: the outermost one marked on it, Internal if
// none is, and None for nil.
func Of(err error) Kind {
	if err == nil {
		return None
	}
	var f *fault
	if errors.As(err, &f) {
		return f.kind
	}
	var k Kind
	if errors.As(err, &k) {
		return k
	}
	return Internal
}
