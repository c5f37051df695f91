package carobnode

import (
	"cmp"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobadminserver"
	"github.com/carobknot/carobknot/internal/carobbytebudget"
	"github.com/carobknot/carobknot/internal/carobcodec"
	"github.com/carobknot/carobknot/internal/carobcontrol"
	"github.com/carobknot/carobknot/internal/carobeventlog"
	"github.com/carobknot/carobknot/internal/caroblogclient"
	"github.com/carobknot/carobknot/internal/caroblogwriter"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobmeter"
	"github.com/carobknot/carobknot/internal/carobsplitter"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/internal/carobtransport"
	"github.com/carobknot/carobknot/pkg/carobcapacity"
	"github.com/carobknot/carobknot/pkg/carobcore"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// confirmationTimeouts is how many announcement timeouts an announcement may be late that
// a target sent before it withdrew at the process before this one.
const confirmationTimeouts = 2

// controlShare is the share, as a divisor, of Limits.ConnectionMemory that control messages
// may hold beside it while they are received. They are short, apart from the first ones
// after a start.
const controlShare = 8

// provide returns an injector with the constructors of all parts. A part is made when
// it is first invoked.
func (n *Node) provide() do.Injector {
	settings := n.config.Settings
	injector := do.New()
	do.ProvideValue(injector, carobtimer.NewTimer())
	do.ProvideValue(injector, carobmailbox.NewMailbox())
	do.ProvideValue(injector, carobmeter.NewMeter())
	do.Provide(injector, func(injector do.Injector) (carobmember.Member, error) {
		startTime := do.MustInvoke[*carobtimer.Timer](injector).WallTime()
		return carobmember.Member{
			Node: settings.Name, Incarnation: carobincarnation.Incarnation(startTime.UnixNano()), //nolint:gosec // the year is past 1970
			Region: settings.Region, Centre: settings.Centre, PeerAddress: cmp.Or(settings.PublicAddress, n.PeerAddress()),
		}, nil
	})
	do.Provide(injector, func(injector do.Injector) (*carobcore.Core, error) {
		self := do.MustInvoke[carobmember.Member](injector)
		confirmationPeriod := time.Duration(0)
		if n.config.LocalTarget.Address != "" {
			confirmationPeriod = confirmationTimeouts * settings.AnnouncementTimeout.Duration()
		}
		return carobcore.NewCore(carobcore.Config{
			World: carobworld.Config{
				Self: self, Limits: settings.Limits, ProbeLimits: settings.ProbeLimits, RetryLimits: settings.RetryLimits, Seed: uint64(self.Incarnation),
				QuotaSettings: settings.QuotaSettings, Capacity: cmp.Or(settings.Capacity, carobcapacity.OfCores(settings.Limits.Cores)),
			},
			Seeds: settings.Seeds, Profiles: settings.Profiles, AnnouncementTimeout: settings.AnnouncementTimeout.Duration(),
			ConfirmationPeriod: confirmationPeriod, NoTracePropagation: n.config.Dialect != nil,
			ApplyTimeout: settings.ApplyTimeout.Duration(), RecoveryTimeout: settings.RecoveryTimeout.Duration(),
		}), nil
	})
	do.Provide(injector, func(injector do.Injector) (*carobeventlog.EventLog, error) {
		return carobeventlog.NewEventLog(carobeventlog.Config{
			Logger: n.config.Logger, Timer: do.MustInvoke[*carobtimer.Timer](injector), MaxSuccessLines: settings.MaxSuccessLines, MaxFailureLines: maxFailureLines,
			LogAudits: n.config.Store != nil,
		}), nil
	})
	do.Provide(injector, func(injector do.Injector) (*carobcontrol.Control, error) {
		return carobcontrol.NewControl(carobcontrol.Config{
			Core: do.MustInvoke[*carobcore.Core](injector), Mailbox: do.MustInvoke[*carobmailbox.Mailbox](injector),
			Timer: do.MustInvoke[*carobtimer.Timer](injector),
		}), nil
	})
	n.provideTraffic(injector)
	if n.config.Store != nil {
		n.provideStore(injector)
	}
	do.Provide(injector, func(injector do.Injector) (*carobtransport.Transport, error) {
		codec, err := carobcodec.NewCodec()
		if err != nil {
			return nil, err
		}
		return carobtransport.NewTransport(carobtransport.Config{
			Mailbox: do.MustInvoke[*carobmailbox.Mailbox](injector), Codec: codec,
			ReceiveBudget: carobbytebudget.NewByteBudget(carobbytebudget.Config{Limit: settings.Limits.ConnectionMemory / controlShare}),
		}), nil
	})
	do.Provide(injector, func(injector do.Injector) (*carobsplitter.Splitter, error) {
		return carobsplitter.NewSplitter(carobsplitter.Config{
			Listener: n.peerListener, Timer: do.MustInvoke[*carobtimer.Timer](injector), DetectionTimeout: protocolDetectionTimeout,
		}), nil
	})
	do.Provide(injector, func(do.Injector) (*caroblogclient.LogClient, error) {
		return caroblogclient.NewLogClient(caroblogclient.Config{URL: settings.LogURL, Timeout: logTimeout}), nil
	})
	do.Provide(injector, func(injector do.Injector) (*caroblogwriter.LogWriter, error) {
		return caroblogwriter.NewLogWriter(caroblogwriter.Config{
			Self: do.MustInvoke[carobmember.Member](injector), Log: do.MustInvoke[*caroblogclient.LogClient](injector),
			Timer: do.MustInvoke[*carobtimer.Timer](injector), Logger: logrus.NewEntry(n.config.Logger), MaxBufferedSize: maxBufferedSize,
		}), nil
	})
	do.Provide(injector, func(injector do.Injector) (*carobadminserver.AdminServer, error) {
		return carobadminserver.NewAdminServer(carobadminserver.Config{
			Mailbox: do.MustInvoke[*carobmailbox.Mailbox](injector), Control: do.MustInvoke[*carobcontrol.Control](injector),
			Timer: do.MustInvoke[*carobtimer.Timer](injector), Metrics: do.MustInvoke[*carobmeter.Meter](injector).Handler(),
		}), nil
	})
	return injector
}
