package carobejection

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreply"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobword"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

func target(name string) carobtargetid.ID {
	return carobtargetid.ID{Service: "lookups", Name: carobword.Word(name)}
}

// made returns a world with a service of some targets.
func made(loads map[string]carobload.Load) *carobworld.World {
	w := carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()})
	w.Profiles.Put("p", carobrevision.Revision{Change: carobchange.Change{Profile: carobprofile.NewProfile("p")}})
	gp := carobgroup.Group{Profile: "p"}
	for name, ld := range loads {
		gp.Targets = append(gp.Targets, target(name))
		w.Loads.Put(target(name), ld)
	}
	w.Groups.Put("lookups", gp)
	return w
}

// hear runs a tick with one reply of target a.
func hear(w *carobworld.World, now carobinstant.Instant, status int) {
	w.Begin(carobinbox.Inbox{Replies: []carobreply.Reply{{Target: target("a"), Status: status}}})
	NewSystem().Run(w, now)
}

func TestWhoIsEjected(t *testing.T) {
	good, bad := carobload.Load{Successes: 10}, carobload.Load{Successes: 1, Failures: 9}
	gone := carobload.Load{Ejected: carobinstant.Instant(time.Hour)}
	for _, tc := range []struct {
		name  string
		loads map[string]carobload.Load
		want  bool
	}{
		{"fails more than its peers", map[string]carobload.Load{"a": bad, "b": good, "c": good}, true},
		{"fails as often as its peers", map[string]carobload.Load{"a": bad, "b": bad, "c": bad}, false},
		{"fails in a row after many successes", map[string]carobload.Load{"a": {Successes: 90, Failures: 4, Streak: 4}, "b": good}, true},
		{"too few replies", map[string]carobload.Load{"a": {Failures: 2}, "b": good, "c": good}, false},
		{"half are out already", map[string]carobload.Load{"a": bad, "b": good, "c": gone}, false},
		{"the only target", map[string]carobload.Load{"a": bad}, false},
		{"fails a little", map[string]carobload.Load{"a": {Successes: 9, Failures: 1}, "b": good}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := made(tc.loads)
			hear(w, 1, http.StatusInternalServerError)
			require.Equal(t, tc.want, w.Loads.Get(target("a")).Ejected != carobinstant.Never)
		})
	}
}

func TestTrialDecides(t *testing.T) {
	for _, tc := range []struct {
		name   string
		status int
		back   bool
	}{
		{"healed", http.StatusOK, true},
		{"still failing", http.StatusInternalServerError, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := made(map[string]carobload.Load{"a": {Failures: 9}, "b": {Successes: 10}})
			hear(w, 1, http.StatusInternalServerError)
			ld := w.Loads.Get(target("a"))
			require.NotEqual(t, carobinstant.Never, ld.Ejected)
			require.Equal(t, ld.Ejected, w.Wake())
			w.Begin(carobinbox.Inbox{})
			NewSystem().Run(w, ld.Ejected)
			require.True(t, ld.Trial)
			hear(w, ld.Ejected+1, tc.status)
			require.False(t, ld.Trial)
			require.Equal(t, tc.back, ld.Ejected == carobinstant.Never)
		})
	}
}

func TestRefusalsDoNotEndATrial(t *testing.T) {
	w := made(map[string]carobload.Load{"a": {Trial: true}, "b": {Successes: 10}})
	w.Begin(carobinbox.Inbox{Replies: []carobreply.Reply{{Target: target("a"), Kind: carobkind.Busy}}})
	NewSystem().Run(w, 1)
	require.True(t, w.Loads.Get(target("a")).Trial)
}
