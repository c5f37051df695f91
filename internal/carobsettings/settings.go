// Package carobsettings holds the settings of a node.
package carobsettings

import (
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/carobknot/carobknot/internal/carobdocument"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobprobelimits"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobregion"
	"github.com/carobknot/carobknot/pkg/carobretrylimits"
)

// Settings is what a node is told about itself.
type Settings struct {
	// Name is the node's; no two nodes share one.
	Name   carobnodeid.ID     `json:"name"`
	Region carobregion.Region `json:"region"`
	Centre carobcentre.Centre `json:"centre"`
	// Call is where callers reach the node.
	Call carobaddress.Address `json:"call"`
	// Peer is where the node listens for other nodes.
	Peer carobaddress.Address `json:"peer"`
	// Public is where other nodes reach the node, if that is not Peer.
	Public carobaddress.Address `json:"public,omitempty"`
	// Admin is where the VM's own targets and operators reach the node.
	Admin carobaddress.Address `json:"admin"`
	// Log is the URL of the platform's log.
	Log string `json:"log"`
	// Seeds are peer addresses of other nodes to begin with. May be empty.
	Seeds   []carobaddress.Address       `json:"seeds"`
	Measure carobprobelimits.ProbeLimits `json:"measure"`
	// Retries bounds what is sent again.
	Retries carobretrylimits.RetryLimits `json:"retries"`
	// Silence is how long a target may go without an announcement.
	Silence carobduration.Duration `json:"silence"`
	// Grace is how long a graceful shutdown waits for what is in flight, and Stay
	// how long it goes on taking calls at least: callers may not know yet.
	Grace carobduration.Duration `json:"grace"`
	Stay  carobduration.Duration `json:"stay"`
	// Lines is how many lines a second are logged of decisions that went well.
	Lines int `json:"lines"`
	// Profiles are in force without having been published. May be empty.
	Profiles []carobprofile.Profile `json:"profiles"`
	Limits   caroblimits.Limits     `json:"limits"`
}

// NewSettings returns the defaults.
func NewSettings() Settings {
	return Settings{
		Measure: carobprobelimits.NewProbeLimits(), Retries: carobretrylimits.NewRetryLimits(), Limits: caroblimits.NewLimits(),
		Silence: carobduration.Duration(3 * time.Second), Grace: carobduration.Duration(time.Minute),
	}
}

// Load reads and checks a file of settings.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return Settings{}, carobkind.Wrap(carobkind.Invalid, err, "read settings")
	}
	return Parse(file, data)
}

// Parse checks settings; the file's name is for errors.
func Parse(file string, data []byte) (Settings, error) {
	st := NewSettings()
	dc := carobdocument.NewDocument(carobdocument.Config{Name: file, Data: data})
	if err := dc.Decode(&st); err != nil {
		return Settings{}, err
	}
	if err := missing(dc); err != nil {
		return Settings{}, dc.Refuse(err)
	}
	if err := st.check(); err != nil {
		return Settings{}, dc.Refuse(err)
	}
	return st, nil
}

// missing names all required keys that the document does not have.
func missing(dc *carobdocument.Document) error {
	var keys []string
	for _, key := range []string{"name", "region", "centre", "call", "peer", "admin", "log"} {
		if !dc.Has(key) {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		return carobkind.New(carobkind.Invalid, "missing keys: %s", strings.Join(keys, ", "))
	}
	return nil
}

func (s Settings) check() error {
	if at, err := url.Parse(s.Log); err != nil || at.Scheme != "http" && at.Scheme != "https" || at.Host == "" {
		return carobkind.New(carobkind.Invalid, "log: %q is not a URL such as \"http://127.0.0.1:7100\"", s.Log)
	}
	if s.Measure.ChecksPerSecond < 0 {
		return carobkind.New(carobkind.Invalid, "measure: checks: %d is below 0", s.Measure.ChecksPerSecond)
	}
	return s.Limits.Check()
}
