package carobadmitter

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

const (
	// identifyTimeout is the time-out of the health check that identifies a target.
	identifyTimeout = 500 * time.Millisecond
	// identifyRetryDelay is the delay between two tries to connect to a target that
	// does not listen yet, and identifyTries is the number of tries. After the last one
	// the target's own announcements have arrived.
	identifyRetryDelay = 200 * time.Millisecond
	identifyTries      = 8
)

// Discover sends a health check to the address of an announcement, fills in the name
// and the slots of the target that responds, and announces it. A node that restarts
// beside a running target need not wait for the target's next announcement.
// Announcements that the target makes itself take precedence over this one.
//
// The kind of an error is Unreachable if no connection could be opened, NotReady if the
// target responded but is not ready, and Invalid if its name breaks the rules.
// ConnectionLost and Cancelled mean that the response did not arrive whole or in time.
func (a *Admitter) Discover(ctx context.Context, announcement carobannouncement.Announcement) error {
	var err error
	for range identifyTries {
		if err = a.identify(ctx, &announcement); carobkind.Of(err) != carobkind.Unreachable {
			break
		}
		if a.config.Timer.Wait(ctx, identifyRetryDelay) != nil {
			break
		}
	}
	if err != nil {
		return err
	}
	announcement.Confirmed = true
	a.config.Mailbox.Post(func(inbox *carobinbox.Inbox) { inbox.Announcements = append(inbox.Announcements, announcement) })
	return nil
}

// identify fills in the name and the slots of the target at an announcement's
// address.
func (a *Admitter) identify(ctx context.Context, announcement *carobannouncement.Announcement) error {
	answer, err := a.requestHealth(ctx, announcement.Address, identifyTimeout)
	if err != nil {
		return err
	}
	announcement.Target.Name, announcement.Slots = a.config.Dialect.ParseIdentity(answer.Response)
	if status := answer.Response.StatusCode(); status != fasthttp.StatusOK || announcement.Slots < 1 {
		return carobkind.New(carobkind.NotReady, "target answered the health check with status %d", status)
	}
	return announcement.Target.Name.Check("id")
}

// requestHealth sends a health check and returns the response with its whole body.
func (a *Admitter) requestHealth(ctx context.Context, address carobaddress.Address, timeout time.Duration) (*carobanswer.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := &fasthttp.Request{}
	a.config.Dialect.PrepareHealthCheck(req, address)
	answer, err := a.config.TargetClient.Do(ctx, address, req, false)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	return answer, answer.Buffer(maxHealthCheckBody, nil)
}
