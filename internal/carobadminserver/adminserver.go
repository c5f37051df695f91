// Package carobadminserver is the HTTP server of a node for its own VM: targets
// announce themselves here, and operators read status, health and metrics.
package carobadminserver

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

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

// querier runs a function on the control goroutine, where it may read the world.
type querier interface {
	Query(ctx context.Context, query func(w *carobworld.World)) error
}

// Config holds the parameters of an admin server.
type Config struct {
	Mailbox *carobmailbox.Mailbox
	Control querier
	Timer   *carobtimer.Timer
	// Metrics serves /metrics.
	Metrics http.Handler
}

// AdminServer serves the admin address.
type AdminServer struct {
	config Config
	app    *fiber.App
}

const (
	// maxBody is the size of the longest request body in bytes. Announcements are far
	// shorter; the HTTP library allocates the announced length.
	maxBody = 64 << 10
	// readTimeout and writeTimeout are how long a request may take to arrive, and a response
	// to be sent.
	readTimeout, writeTimeout = 5 * time.Second, 30 * time.Second
	// idleTimeout is how long a connection may have no request. It is longer than the time
	// between two announcements or two reads of the metrics.
	idleTimeout = 2 * time.Minute
)

// NewAdminServer returns a server that does not listen until Serve is called.
func NewAdminServer(c Config) *AdminServer {
	s := &AdminServer{config: c, app: fiber.New(fiber.Config{
		ErrorHandler: writeError, Immutable: true, BodyLimit: maxBody, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
	})}
	s.app.Put("/targets/:service/:name", s.announce)
	s.app.Delete("/targets/:service/:name", s.withdraw)
	s.app.Get("/health", s.health)
	s.app.Get("/status", s.status)
	s.app.Get("/metrics", adaptor.HTTPHandler(c.Metrics))
	return s
}

// Serve accepts connections until Shutdown is called.
func (s *AdminServer) Serve(listener net.Listener) error {
	return s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown stops accepting connections and waits for the requests in progress, until
// ctx is done at the latest.
func (s *AdminServer) Shutdown(ctx context.Context) error {
	return s.app.ShutdownWithContext(ctx)
}

func (s *AdminServer) announce(c fiber.Ctx) error {
	id, err := parseTarget(c)
	if err != nil {
		return err
	}
	var announcement carobannouncement.Announcement
	if err := json.Unmarshal(c.Body(), &announcement); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "announcement")
	}
	announcement.Target = id
	s.postAnnouncement(announcement)
	return c.SendStatus(http.StatusNoContent)
}

func (s *AdminServer) withdraw(c fiber.Ctx) error {
	id, err := parseTarget(c)
	if err != nil {
		return err
	}
	s.postAnnouncement(carobannouncement.Announcement{Target: id, Withdrawn: true})
	return c.SendStatus(http.StatusNoContent)
}

func (s *AdminServer) postAnnouncement(announcement carobannouncement.Announcement) {
	s.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Announcements = append(in.Announcements, announcement) })
}

// health answers 200 if the node can route calls: it has profiles and is not
// shutting down. Otherwise it answers with the status of Leaving or NotReady.
func (s *AdminServer) health(c fiber.Ctx) error {
	kind := carobkind.None
	err := s.config.Control.Query(c.Context(), func(w *carobworld.World) {
		switch {
		case w.Stopping:
			kind = carobkind.Leaving
		case w.Profiles.Len() == 0:
			kind = carobkind.NotReady
		}
	})
	if err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "query the control goroutine")
	}
	if kind != carobkind.None {
		return kind
	}
	return c.SendString("ready\n")
}

// status answers with the node's status as JSON.
func (s *AdminServer) status(c fiber.Ctx) error {
	var status carobstatus.Status
	err := s.config.Control.Query(c.Context(), func(w *carobworld.World) {
		status = carobstatus.Describe(w, s.config.Timer.Now())
	})
	if err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "query the control goroutine")
	}
	return c.JSON(status)
}

// parseTarget returns the target that the path of a request names. The error is of
// kind Invalid if the names are malformed.
func parseTarget(c fiber.Ctx) (carobtargetid.ID, error) {
	id := carobtargetid.ID{
		Service: carobservice.Service(c.Params("service")), Name: carobname.Name(c.Params("name")),
	}
	var target carobtargetid.ID
	err := target.UnmarshalText([]byte(id.String()))
	return target, err
}

// writeError answers with the HTTP status of the kind of an error, and with the kind
// and the error as text.
func writeError(c fiber.Ctx, err error) error {
	kind := carobkind.Of(err)
	if routerErr, ok := err.(*fiber.Error); ok { //nolint:errorlint // the router returns its own errors unwrapped
		return c.Status(routerErr.Code).SendString(routerErr.Message + "\n")
	}
	return c.Status(kind.Status()).SendString(string(kind) + ": " + err.Error() + "\n")
}
