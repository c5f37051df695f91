package carobnode

import (
	"math"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobadmitter"
	"github.com/carobknot/carobknot/internal/carobbytebudget"
	"github.com/carobknot/carobknot/internal/carobconnectiontable"
	"github.com/carobknot/carobknot/internal/carobcontrol"
	"github.com/carobknot/carobknot/internal/carobdialectfrontend"
	"github.com/carobknot/carobknot/internal/carobdisconnectwatch"
	"github.com/carobknot/carobknot/internal/carobexchange"
	"github.com/carobknot/carobknot/internal/carobfrontend"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobmembersync"
	"github.com/carobknot/carobknot/internal/carobmeter"
	"github.com/carobknot/carobknot/internal/carobpool"
	"github.com/carobknot/carobknot/internal/carobrelay"
	"github.com/carobknot/carobknot/internal/carobroutepoller"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobshedding"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

const (
	// peerHeaderSpace is the space in read buffers for the headers that nodes add to
	// attempts and to their responses, in bytes.
	peerHeaderSpace = 4096
	// disconnectCheckInterval is the interval at which the connections of callers and
	// entry nodes are checked for disconnects.
	disconnectCheckInterval = 25 * time.Millisecond
)

// What follows applies only while the memory for connections is short.
const (
	// stallWhileShort is how long a client may make no progress with its request. It is
	// longer than a lost packet takes to be sent again.
	stallWhileShort = time.Second
	// unreadWhileShort is how long a client may accept no bytes of its response. A client on
	// a slow link takes a while for the bytes that the kernel has buffered.
	unreadWhileShort = 5 * time.Second
	// maxMemoryWait is how long a connection waits for memory. Clients that stall have
	// yielded before.
	maxMemoryWait = 2 * time.Second
	// progressSize is how many bytes count as progress. The slowest link that is worth an
	// upload carries them in well under stallWhileShort.
	progressSize = carobsize.KiB
)

// Shares of Limits.Descriptors, as divisors, for the idle connections to the node's own
// targets and to other nodes.
const (
	targetIdleShare = 16
	peerIdleShare   = 8
)

// targetPool and peerPool are the pools of connections to the node's own targets and to
// other nodes.
type (
	targetPool struct{ *carobpool.Pool }
	peerPool   struct{ *carobpool.Pool }
)

// attemptServer is the HTTP server for the attempts of other nodes.
type attemptServer struct {
	*fasthttp.Server
}

// provideTraffic adds the constructors of the parts that carry calls.
func (n *Node) provideTraffic(injector do.Injector) {
	settings := n.config.Settings
	do.Provide(injector, func(injector do.Injector) (*carobdisconnectwatch.DisconnectWatch, error) {
		return carobdisconnectwatch.NewDisconnectWatch(carobdisconnectwatch.Config{
			Timer: do.MustInvoke[*carobtimer.Timer](injector), PollInterval: disconnectCheckInterval,
		}), nil
	})
	n.provideBudgets(injector)
	do.Provide(injector, func(injector do.Injector) (targetPool, error) {
		config := carobpool.Config{
			Timer: do.MustInvoke[*carobtimer.Timer](injector), DialTimeout: dialTimeout, IdleTimeout: targetIdleTimeout,
			MaxIdleConns: maxIdleConns, MaxIdleTotal: max(1, settings.Limits.Descriptors/targetIdleShare),
			MaxHeader: int(settings.Limits.HeaderSize), StallTimeout: settings.Limits.StallTimeout.Duration(),
		}
		if n.config.Dialect != nil {
			config.MaxReuseAge, config.KeepAliveInterval, config.AllowCloseDelimited = maxReuseAge, keepAliveInterval, true
			config.MatchesRequest, config.IsRefusal = n.config.Dialect.MatchesRequest, n.isRefusal
		}
		return targetPool{carobpool.NewPool(config)}, nil
	})
	do.Provide(injector, func(injector do.Injector) (peerPool, error) {
		config := carobpool.Config{
			Timer: do.MustInvoke[*carobtimer.Timer](injector), DialTimeout: dialTimeout, IdleTimeout: peerIdleTimeout, ExpectContinue: true,
			MaxIdleConns: maxIdleConns, MaxIdleTotal: max(1, settings.Limits.Descriptors/peerIdleShare),
			MaxHeader: peerHeaderSpace + int(settings.Limits.HeaderSize), StallTimeout: settings.Limits.StallTimeout.Duration(),
		}
		if n.config.Dialect != nil {
			config.DialTimeout, config.MaxReuseAge, config.KeepAliveInterval = peerDialTimeout, maxReuseAge, keepAliveInterval
		}
		return peerPool{carobpool.NewPool(config)}, nil
	})
	do.Provide(injector, func(injector do.Injector) (*carobadmitter.Admitter, error) {
		admitterConfig := carobadmitter.Config{
			Mailbox:         do.MustInvoke[*carobmailbox.Mailbox](injector),
			DisconnectWatch: do.MustInvoke[*carobdisconnectwatch.DisconnectWatch](injector), Timer: do.MustInvoke[*carobtimer.Timer](injector),
			StallTimeout: settings.Limits.StallTimeout.Duration(), TargetClient: do.MustInvoke[targetPool](injector),
		}
		if n.config.Dialect != nil {
			admitterConfig.Dialect, admitterConfig.MaxBufferedAnswer = n.config.Dialect, maxBufferedResponse
			admitterConfig.AnswerBudget = do.MustInvoke[*carobbytebudget.ByteBudget](injector)
		}
		return carobadmitter.NewAdmitter(admitterConfig), nil
	})
	do.Provide(injector, func(injector do.Injector) (*carobrelay.Relay, error) {
		return carobrelay.NewRelay(carobrelay.Config{PeerClient: do.MustInvoke[peerPool](injector), Local: do.MustInvoke[*carobadmitter.Admitter](injector)}), nil
	})
	do.Provide(injector, func(injector do.Injector) (callServer, error) {
		self := do.MustInvoke[carobmember.Member](injector)
		if n.config.Dialect == nil {
			return carobfrontend.NewFrontEnd(carobfrontend.Config{
				Node: self.Node, Incarnation: self.Incarnation, Limits: settings.Limits,
				Mailbox: do.MustInvoke[*carobmailbox.Mailbox](injector), Control: do.MustInvoke[*carobcontrol.Control](injector),
				DisconnectWatch: do.MustInvoke[*carobdisconnectwatch.DisconnectWatch](injector), Timer: do.MustInvoke[*carobtimer.Timer](injector),
				Relay: do.MustInvoke[*carobrelay.Relay](injector),
			}), nil
		}
		return carobdialectfrontend.NewDialectFrontEnd(carobdialectfrontend.Config{
			Node: self.Node, Incarnation: self.Incarnation, Limits: settings.Limits, Dialect: n.config.Dialect,
			Exchanges: carobexchange.NewExchanges(carobexchange.Config{
				Mailbox: do.MustInvoke[*carobmailbox.Mailbox](injector), Relay: do.MustInvoke[*carobrelay.Relay](injector),
				Timer: do.MustInvoke[*carobtimer.Timer](injector), Dialect: n.config.Dialect, MaxBufferedAnswer: maxBufferedResponse,
				AnswerBudget: do.MustInvoke[*carobbytebudget.ByteBudget](injector),
			}),
			Timer: do.MustInvoke[*carobtimer.Timer](injector), Connections: do.MustInvoke[*carobconnectiontable.ConnectionTable](injector),
		}), nil
	})
	n.provideAttemptServer(injector)
}

// provideAttemptServer adds the constructor of the server for the attempts of other nodes.
func (n *Node) provideAttemptServer(injector do.Injector) {
	settings := n.config.Settings
	do.Provide(injector, func(injector do.Injector) (*attemptServer, error) {
		return &attemptServer{Server: &fasthttp.Server{
			Handler:              do.MustInvoke[*carobadmitter.Admitter](injector).Serve,
			HeaderReceived:       do.MustInvoke[*carobadmitter.Admitter](injector).HandleHeader,
			ExpectHandler:        do.MustInvoke[*carobadmitter.Admitter](injector).HandleExpect,
			ErrorHandler:         do.MustInvoke[*carobadmitter.Admitter](injector).HandleError,
			ReadBufferSize:       peerHeaderSpace + int(settings.Limits.HeaderSize),
			MaxRequestBodySize:   math.MaxInt,
			ReadTimeout:          settings.Limits.HeaderTimeout.Duration(),
			IdleTimeout:          2 * peerIdleTimeout,
			WriteTimeout:         settings.Limits.StallTimeout.Duration(),
			StreamRequestBody:    true,
			NoDefaultContentType: true, NoDefaultServerHeader: true, CloseOnShutdown: true,
			DisablePreParseMultipartForm: true,
		}}, nil
	})
}

// provideBudgets adds the constructors of what limits the memory of connections.
func (n *Node) provideBudgets(injector do.Injector) {
	settings := n.config.Settings
	connectionBudget := carobbytebudget.NewByteBudget(carobbytebudget.Config{Limit: settings.Limits.ConnectionMemory})
	do.ProvideValue(injector, carobbytebudget.NewByteBudget(carobbytebudget.Config{Limit: settings.Limits.TotalBufferedSize, Parent: connectionBudget}))
	do.Provide(injector, func(injector do.Injector) (*carobconnectiontable.ConnectionTable, error) {
		return carobconnectiontable.NewConnectionTable(carobconnectiontable.Config{
			Budget: connectionBudget, Limit: settings.Limits.ConnectionMemory, Timer: do.MustInvoke[*carobtimer.Timer](injector),
			Shedding: carobshedding.NewShedding(carobshedding.Config{
				StallTimeout: stallWhileShort, UnreadTimeout: unreadWhileShort, WaitTimeout: maxMemoryWait, ProgressSize: progressSize,
			}),
			Count: do.MustInvoke[*carobmeter.Meter](injector).CountYielded, Logger: logrus.NewEntry(n.config.Logger),
		}), nil
	})
}

// provideStore adds the constructors of the parts that use a platform's store.
func (n *Node) provideStore(injector do.Injector) {
	do.Provide(injector, func(injector do.Injector) (*carobmembersync.MemberSync, error) {
		return carobmembersync.NewMemberSync(carobmembersync.Config{
			Node: n.config.Settings.Name, Directory: n.config.Store,
			Mailbox: do.MustInvoke[*carobmailbox.Mailbox](injector), Timer: do.MustInvoke[*carobtimer.Timer](injector),
			Logger: logrus.NewEntry(n.config.Logger),
		}), nil
	})
	do.Provide(injector, func(injector do.Injector) (*carobroutepoller.RoutePoller, error) {
		return carobroutepoller.NewRoutePoller(carobroutepoller.Config{
			Source: n.config.Store, Mailbox: do.MustInvoke[*carobmailbox.Mailbox](injector),
			Timer: do.MustInvoke[*carobtimer.Timer](injector), Logger: logrus.NewEntry(n.config.Logger),
		}), nil
	})
}

// isRefusal reports whether a target's response states that the target did not run the call.
func (n *Node) isRefusal(resp *fasthttp.Response) bool {
	kind, _ := n.config.Dialect.Classify(resp)
	return kind == carobkind.Shed || kind == carobkind.Misdirected
}
