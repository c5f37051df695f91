package carobnode

import (
	"cmp"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobadmin"
	"github.com/carobknot/carobknot/internal/carobcodec"
	"github.com/carobknot/carobknot/internal/carobcontrol"
	"github.com/carobknot/carobknot/internal/carobeventlog"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobmeter"
	"github.com/carobknot/carobknot/internal/carobplatform"
	"github.com/carobknot/carobknot/internal/carobsplitter"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/internal/carobtracewriter"
	"github.com/carobknot/carobknot/internal/carobtransport"
	"github.com/carobknot/carobknot/pkg/carobcore"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// wire says how each part is made. Parts are made when they are first asked for.
func (n *Node) wire() do.Injector {
	st := n.config.Settings
	i := do.New()
	do.ProvideValue(i, carobtimer.NewTimer())
	do.ProvideValue(i, carobmailbox.NewMailbox())
	do.ProvideValue(i, carobmeter.NewMeter())
	do.Provide(i, func(i do.Injector) (carobmember.Member, error) {
		born := do.MustInvoke[*carobtimer.Timer](i).Wall()
		return carobmember.Member{
			Node: st.Name, Incarnation: carobincarnation.Incarnation(born.UnixNano()), //nolint:gosec // the year is past 1970
			Region: st.Region, Centre: st.Centre, PeerAddress: cmp.Or(st.Public, n.Peer()),
		}, nil
	})
	do.Provide(i, func(i do.Injector) (*carobcore.Core, error) {
		self := do.MustInvoke[carobmember.Member](i)
		return carobcore.NewCore(carobcore.Config{
			World: carobworld.Config{Self: self, Limits: st.Limits, ProbeLimits: st.Measure, RetryLimits: st.Retries, Seed: uint64(self.Incarnation)},
			Seeds: st.Seeds, Profiles: st.Profiles, AnnouncementTimeout: st.Silence.Duration(),
			NoTracePropagation: n.config.Dialect != nil,
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*carobeventlog.EventLog, error) {
		return carobeventlog.NewEventLog(carobeventlog.Config{
			Logger: n.config.Logger, Timer: do.MustInvoke[*carobtimer.Timer](i), Usual: st.Lines, Failures: failureLines,
			Audits: n.config.Store != nil,
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*carobcontrol.Control, error) {
		return carobcontrol.NewControl(carobcontrol.Config{
			Core: do.MustInvoke[*carobcore.Core](i), Mailbox: do.MustInvoke[*carobmailbox.Mailbox](i),
			Timer: do.MustInvoke[*carobtimer.Timer](i),
		}), nil
	})
	n.wireTraffic(i)
	if n.config.Store != nil {
		n.wireStore(i)
	}
	do.Provide(i, func(i do.Injector) (*carobtransport.Transport, error) {
		codec, err := carobcodec.NewCodec()
		if err != nil {
			return nil, err
		}
		return carobtransport.NewTransport(carobtransport.Config{
			Mailbox: do.MustInvoke[*carobmailbox.Mailbox](i), Codec: codec,
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*carobsplitter.Splitter, error) {
		return carobsplitter.NewSplitter(carobsplitter.Config{
			Listener: n.peer, Timer: do.MustInvoke[*carobtimer.Timer](i), Patience: sortPatience,
		}), nil
	})
	do.Provide(i, func(do.Injector) (*carobplatform.Client, error) {
		return carobplatform.NewClient(carobplatform.Config{URL: st.Log, Patience: logPatience}), nil
	})
	do.Provide(i, func(i do.Injector) (*carobtracewriter.TraceWriter, error) {
		return carobtracewriter.NewTraceWriter(carobtracewriter.Config{
			Self: do.MustInvoke[carobmember.Member](i), Log: do.MustInvoke[*carobplatform.Client](i),
			Timer: do.MustInvoke[*carobtimer.Timer](i), Logger: logrus.NewEntry(n.config.Logger), Kept: tracesKept,
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*carobadmin.Admin, error) {
		return carobadmin.NewAdmin(carobadmin.Config{
			Mailbox: do.MustInvoke[*carobmailbox.Mailbox](i), Control: do.MustInvoke[*carobcontrol.Control](i),
			Timer: do.MustInvoke[*carobtimer.Timer](i), Metrics: do.MustInvoke[*carobmeter.Meter](i).Handler(),
		}), nil
	})
	return i
}
