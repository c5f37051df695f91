// Package carobsettings holds the settings of a node.
package carobsettings

import (
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/carobknot/carobknot/internal/carobdocument"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcapacity"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobprobelimits"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobquotasettings"
	"github.com/carobknot/carobknot/pkg/carobregion"
	"github.com/carobknot/carobknot/pkg/carobretrylimits"
)

// Settings are the settings of one node, read when it starts.
type Settings struct {
	// Name identifies the node; no two nodes have the same one.
	Name   carobnodeid.ID     `json:"name"`
	Region carobregion.Region `json:"region"`
	Centre carobcentre.Centre `json:"centre"`
	// CallAddress is the address at which the node accepts calls.
	CallAddress carobaddress.Address `json:"call"`
	// PeerAddress is the address at which the node listens for other nodes.
	PeerAddress carobaddress.Address `json:"peer"`
	// PublicAddress is the address at which other nodes reach the node. Empty if it
	// is PeerAddress.
	PublicAddress carobaddress.Address `json:"public,omitempty"`
	// AdminAddress is the address for the targets of the node's VM and for operators.
	AdminAddress carobaddress.Address `json:"admin"`
	// LogURL is the base URL of the platform's log.
	LogURL string `json:"log"`
	// Seeds are peer addresses of nodes to which this node sends its first messages.
	// May be empty.
	Seeds []carobaddress.Address `json:"seeds"`
	// ProbeLimits limits probes, reports and health checks.
	ProbeLimits carobprobelimits.ProbeLimits `json:"measure"`
	// RetryLimits limits how many attempts are sent beyond one for each call.
	RetryLimits carobretrylimits.RetryLimits `json:"retries"`
	// QuotaSettings bounds by how much the calls of an organisation may exceed its quota.
	QuotaSettings carobquotasettings.QuotaSettings `json:"quota"`
	// Capacity is the processor capacity of the node in thousandths of a core, by which the
	// allocator of quotas is chosen; 0 stands for Limits.Cores.
	Capacity carobcapacity.Capacity `json:"capacity,omitempty"`
	// AnnouncementTimeout is the time without an announcement after which a target
	// expires.
	AnnouncementTimeout carobduration.Duration `json:"silence"`
	// ApplyTimeout is the time within which a route table must be in force after the
	// platform's store has acknowledged it.
	ApplyTimeout carobduration.Duration `json:"apply"`
	// RecoveryTimeout is the time after an outage of the platform's store within which the newest
	// route table must be in force.
	RecoveryTimeout carobduration.Duration `json:"recovery"`
	// ShutdownTimeout is the timeout of a graceful shutdown, after which the calls in
	// flight are ended.
	ShutdownTimeout carobduration.Duration `json:"grace"`
	// MinDrainTime is the least time for which the node keeps accepting calls after a
	// graceful shutdown has begun, because callers may not have noticed it yet.
	MinDrainTime carobduration.Duration `json:"stay"`
	// MaxSuccessLines limits the log lines a second about successful decisions.
	MaxSuccessLines int `json:"lines"`
	// Profiles are in force on this node without having been published. May be empty.
	Profiles []carobprofile.Profile `json:"profiles"`
	Limits   caroblimits.Limits     `json:"limits"`
}

// NewSettings returns the default settings. Names and addresses have no defaults.
func NewSettings() Settings {
	return Settings{
		ProbeLimits: carobprobelimits.NewProbeLimits(), RetryLimits: carobretrylimits.NewRetryLimits(), Limits: caroblimits.NewLimits(),
		QuotaSettings:       carobquotasettings.NewQuotaSettings(),
		AnnouncementTimeout: carobduration.Duration(3 * time.Second), ApplyTimeout: carobduration.Duration(2 * time.Second),
		RecoveryTimeout: carobduration.Duration(3 * time.Second), ShutdownTimeout: carobduration.Duration(time.Minute),
	}
}

// Load reads and checks a settings file. Errors are of kind Invalid.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return Settings{}, carobkind.Wrap(carobkind.Invalid, err, "read settings")
	}
	return Parse(file, data)
}

// Parse decodes and checks the contents of a settings file. Keys that are left out
// have their defaults. Errors are of kind Invalid and name the file, and the line and
// column where these are known.
func Parse(file string, data []byte) (Settings, error) {
	settings := NewSettings()
	document := carobdocument.NewDocument(carobdocument.Config{FileName: file, Data: data})
	if err := document.Decode(&settings); err != nil {
		return Settings{}, err
	}
	if err := checkRequired(document); err != nil {
		return Settings{}, document.WithPosition(err)
	}
	if err := settings.check(); err != nil {
		return Settings{}, document.WithPosition(err)
	}
	return settings, nil
}

// checkRequired returns an error that names all required keys that the document lacks.
func checkRequired(document *carobdocument.Document) error {
	var keys []string
	for _, key := range []string{"name", "region", "centre", "call", "peer", "admin", "log"} {
		if !document.Has(key) {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		return carobkind.New(carobkind.Invalid, "missing keys: %s", strings.Join(keys, ", "))
	}
	return nil
}

// check checks the values that their own types do not check.
func (s Settings) check() error {
	if base, err := url.Parse(s.LogURL); err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return carobkind.New(carobkind.Invalid, "log: %q is not a URL such as \"http://127.0.0.1:7100\"", s.LogURL)
	}
	if s.ProbeLimits.ChecksPerSecond < 0 {
		return carobkind.New(carobkind.Invalid, "measure: checks: %d is below 0", s.ProbeLimits.ChecksPerSecond)
	}
	if err := s.QuotaSettings.Check(); err != nil {
		return err
	}
	if err := s.Capacity.Check(); err != nil {
		return err
	}
	return s.Limits.Check()
}
