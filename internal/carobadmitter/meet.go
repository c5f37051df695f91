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
	// meetPatience is how long a target may take to say who it is.
	meetPatience = 500 * time.Millisecond
	// meetPause is the time between two attempts to reach one that does not listen yet,
	// and meetings how many there are. By then its own announcements have come.
	meetPause = 200 * time.Millisecond
	meetings  = 8
)

// Meet asks the target at an announcement's address who it is, and announces it. So a
// node that starts again beside a living target need not wait for its next
// announcement. Those that the target makes itself go before this one.
func (a *Admitter) Meet(cx context.Context, an carobannouncement.Announcement) error {
	var err error
	for range meetings {
		if err = a.identify(cx, &an); carobkind.Of(err) != carobkind.Unreachable {
			break
		}
		if a.config.Timer.Wait(cx, meetPause) != nil {
			break
		}
	}
	if err != nil {
		return err
	}
	a.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Announcements = append(in.Announcements, an) })
	return nil
}

// identify fills in the target's name and slots.
func (a *Admitter) identify(cx context.Context, an *carobannouncement.Announcement) error {
	answer, err := a.health(cx, an.Address, meetPatience)
	if err != nil {
		return err
	}
	an.Target.Name, an.Slots = a.config.Dialect.Identity(answer.Response)
	if status := answer.Response.StatusCode(); status != fasthttp.StatusOK || an.Slots < 1 {
		return carobkind.New(carobkind.NotReady, "the target answers status %d", status)
	}
	return an.Target.Name.Check("id")
}

// health returns the whole answer to a health check.
func (a *Admitter) health(cx context.Context, address carobaddress.Address, patience time.Duration) (*carobanswer.Answer, error) {
	cx, cancel := context.WithTimeout(cx, patience)
	defer cancel()
	rq := &fasthttp.Request{}
	a.config.Dialect.Check(rq, address)
	an, err := a.config.Targets.Do(cx, address, rq, false)
	if err != nil {
		return nil, err
	}
	defer func() { _ = an.Body.Close() }()
	return an, an.Gather(checkBody)
}
