// Package carobadmin is the VM's own side of a node: targets announce
// themselves here, and operators look.
package carobadmin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"

	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobstatus"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// asker runs a question on the control goroutine.
type asker interface {
	Ask(cx context.Context, question func(w *carobworld.World)) error
}

// Config is how an admin side is made.
type Config struct {
	Mailbox *carobmailbox.Mailbox
	Control asker
	Timer   *carobtimer.Timer
	// Metrics answers with the counts.
	Metrics http.Handler
}

// Admin answers at the admin address.
type Admin struct {
	config Config
	app    *fiber.App
}

// NewAdmin returns an admin side that does not listen yet.
func NewAdmin(c Config) *Admin {
	a := &Admin{config: c, app: fiber.New(fiber.Config{ErrorHandler: fail, Immutable: true})}
	a.app.Put("/targets/:service/:name", a.announce)
	a.app.Delete("/targets/:service/:name", a.withdraw)
	a.app.Get("/health", a.health)
	a.app.Get("/status", a.status)
	a.app.Get("/metrics", adaptor.HTTPHandler(c.Metrics))
	return a
}

// Serve answers until Shutdown.
func (a *Admin) Serve(ls net.Listener) error {
	return a.app.Listener(ls, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown stops answering.
func (a *Admin) Shutdown(cx context.Context) error {
	return a.app.ShutdownWithContext(cx)
}

func (a *Admin) announce(c fiber.Ctx) error {
	id, err := targetOf(c)
	if err != nil {
		return err
	}
	var an carobannouncement.Announcement
	if err := json.Unmarshal(c.Body(), &an); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "announcement")
	}
	an.Target = id
	a.post(an)
	return c.SendStatus(http.StatusNoContent)
}

func (a *Admin) withdraw(c fiber.Ctx) error {
	id, err := targetOf(c)
	if err != nil {
		return err
	}
	a.post(carobannouncement.Announcement{Target: id, Withdrawn: true})
	return c.SendStatus(http.StatusNoContent)
}

func (a *Admin) post(an carobannouncement.Announcement) {
	a.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Announcements = append(in.Announcements, an) })
}

// health says whether the node can route: it knows profiles and is not leaving.
func (a *Admin) health(c fiber.Ctx) error {
	kind := carobkind.None
	err := a.config.Control.Ask(c.Context(), func(w *carobworld.World) {
		switch {
		case w.Stopping:
			kind = carobkind.Leaving
		case w.Profiles.Len() == 0:
			kind = carobkind.NotReady
		}
	})
	if err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "ask control")
	}
	if kind != carobkind.None {
		return kind
	}
	return c.SendString("ready\n")
}

// status shows what the node knows.
func (a *Admin) status(c fiber.Ctx) error {
	var st carobstatus.Status
	err := a.config.Control.Ask(c.Context(), func(w *carobworld.World) {
		st = carobstatus.Describe(w, a.config.Timer.Now())
	})
	if err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "ask control")
	}
	return c.JSON(st)
}

func targetOf(c fiber.Ctx) (carobtargetid.ID, error) {
	id := carobtargetid.ID{
		Service: carobservice.Service(c.Params("service")), Name: carobname.Name(c.Params("name")),
	}
	var checked carobtargetid.ID
	err := checked.UnmarshalText([]byte(id.String()))
	return checked, err
}

// fail answers an error as its kind.
func fail(c fiber.Ctx, err error) error {
	kind := carobkind.Of(err)
	if fe, ok := err.(*fiber.Error); ok { //nolint:errorlint // the router's own errors come unwrapped
		return c.Status(fe.Code).SendString(fe.Message + "\n")
	}
	return c.Status(kind.Status()).SendString(string(kind) + ": " + err.Error() + "\n")
}
