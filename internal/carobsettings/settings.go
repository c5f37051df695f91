// Package carobsettings holds the settings of a node.
package carobsettings

import (
	"os"

	"github.com/carobknot/carobknot/internal/carobdocument"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmeasure"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobregion"
)

// Settings is what a node is told about itself.
type Settings struct {
	// Name is the node's; no two nodes share one.
	Name   carobnodeid.ID     `json:"name"`
	Region carobregion.Region `json:"region"`
	Centre carobcentre.Centre `json:"centre"`
	// Call is where callers reach the node.
	Call carobaddress.Address `json:"call"`
	// Peer is where other nodes reach the node.
	Peer carobaddress.Address `json:"peer"`
	// Admin is where the VM's own targets and operators reach the node.
	Admin carobaddress.Address `json:"admin"`
	// Log is the URL of the platform's log.
	Log string `json:"log"`
	// Seeds are peer addresses of other nodes to begin with. May be empty.
	Seeds   []carobaddress.Address `json:"seeds"`
	Measure carobmeasure.Measure   `json:"measure"`
	Limits  caroblimits.Limits     `json:"limits"`
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
	st := Settings{Measure: carobmeasure.NewMeasure(), Limits: caroblimits.NewLimits()}
	if err := carobdocument.NewDocument(carobdocument.Config{Name: file, Data: data}).Decode(&st); err != nil {
		return Settings{}, err
	}
	if err := st.check(); err != nil {
		return Settings{}, carobkind.New(carobkind.Invalid, "%s: %s", file, err)
	}
	return st, nil
}

func (s Settings) check() error {
	if err := s.Name.Check(); err != nil {
		return err
	}
	required := []struct{ key, value string }{
		{"region", string(s.Region)},
		{"centre", string(s.Centre)},
		{"call", string(s.Call)},
		{"peer", string(s.Peer)},
		{"admin", string(s.Admin)},
		{"log", s.Log},
	}
	for _, r := range required {
		if r.value == "" {
			return carobkind.New(carobkind.Invalid, "%s: is missing", r.key)
		}
	}
	return nil
}
