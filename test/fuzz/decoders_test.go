package fuzz

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobcodec"
	"github.com/carobknot/carobknot/internal/carobdocument"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobsettings"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobrecordfetchreply"
	"github.com/carobknot/carobknot/pkg/carobsnapshot"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// The tests of this file feed arbitrary bytes to each decoder. It must not panic, and
// what it accepts must not change when it is encoded and decoded again.

// checkRoundTrip checks that encoding a value as JSON and decoding it yields the same value.
func checkRoundTrip[T any](t *testing.T, value T) {
	t.Helper()
	data, err := json.Marshal(value)
	require.NoError(t, err, "%+v", value)
	var copied T
	require.NoError(t, json.Unmarshal(data, &copied), "%s", data)
	repeated, err := json.Marshal(copied)
	require.NoError(t, err)
	require.JSONEq(t, string(data), string(repeated))
}

const changeJSON = `{"id":"a1","profile":{"name":"payouts","once":"key","deadline":"2s","hedge":"99%","keep":"64KiB","base":3},"who":"op","when":"2026-01-02T03:04:05Z"}`

func FuzzProfile(f *testing.F) {
	files, err := filepath.Glob("../../examples/profiles/*.json")
	require.NoError(f, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(data)
	}
	for _, text := range []string{`{}`, `{"name":"a","tries":0}`, `{"name":"a","deadline":"-1s"}`, `{"name":"a","keep":"9EiB"}`, `[1]`, `{"name":"a",}`, "\x00"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var profile carobprofile.Profile
		if carobdocument.NewDocument(carobdocument.Config{FileName: "p", Data: data}).Decode(&profile) == nil {
			require.NoError(t, profile.Check())
			checkRoundTrip(t, profile)
		}
	})
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"name":"a","region":"r","centre":"c","log":"http://127.0.0.1:1","call":"127.0.0.1:0","peer":"127.0.0.1:0","admin":"127.0.0.1:0","seeds":["10.0.0.1:7"],"measure":{"rate":"2KiB/s","share":"1%"}}`))
	f.Add([]byte(`{"name":"A"}`))
	f.Add([]byte(`{"limits":{"calls":-1}} // comment`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if settings, err := carobsettings.Parse("s", data); err == nil {
			require.NoError(t, settings.Name.Check())
			checkRoundTrip(t, settings)
		}
	})
}

func FuzzCallID(f *testing.F) {
	for _, text := range []string{"n1~1~a", "n1~~", "~1~1", "n~zzzzzzzzzzzzzzzz~1", "n1~-1~1", "n1~1~1~1", ""} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := carobcallid.Parse(text)
		if err != nil {
			return
		}
		same, err := carobcallid.Parse(id.String())
		require.NoError(t, err)
		require.Equal(t, id, same)
	})
}

func FuzzReport(f *testing.F) {
	for _, text := range []string{"1 2 12 3000000", "1 2 3", "-1 0 0 0", "1 2 3 99999999999999999999", ""} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		target := carobtargetid.ID{Service: "a", Name: "b"}
		if report := carobheader.ParseReport(target, text); report != nil {
			require.Equal(t, report, carobheader.ParseReport(target, carobheader.FormatReport(*report)))
		}
	})
}

func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"address":"127.0.0.1:80","profile":"lookups","slots":12,"conns":200,"state":"leaving"}`))
	f.Add([]byte(`{"address":"","profile":"-"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var announcement carobannouncement.Announcement
		if json.Unmarshal(data, &announcement) == nil {
			checkRoundTrip(t, announcement)
		}
	})
}

// FuzzRecord decodes records of the log: changes, snapshots and members.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(changeJSON))
	f.Add([]byte(`{"through":9,"revisions":[{"change":` + changeJSON + `,"offset":4}]}`))
	f.Add([]byte(`{"node":"n1","incarnation":7,"region":"r","centre":"c","peer":"10.0.0.1:7","targets":[{"id":"a/b","node":"n1","slots":1,"state":"ready"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var change carobchange.Change
		if json.Unmarshal(data, &change) == nil {
			require.NoError(t, change.Check())
			checkRoundTrip(t, change)
		}
		var snapshot carobsnapshot.Snapshot
		if json.Unmarshal(data, &snapshot) == nil && snapshot.Check() == nil {
			checkRoundTrip(t, snapshot)
		}
		var member carobmember.Member
		if json.Unmarshal(data, &member) == nil && member.Check() == nil {
			checkRoundTrip(t, member)
		}
	})
}

// FuzzMessage decodes CBOR messages between nodes.
func FuzzMessage(f *testing.F) {
	codec, err := carobcodec.NewCodec()
	require.NoError(f, err)
	base := carobmessage.Message{From: "n1", Incarnation: 7, ReplyTo: "10.0.0.1:7"}
	gossip, recordFetchReply := base, base
	gossip.Gossip = &carobgossip.Gossip{Members: []carobmember.Member{{Node: "n2", Region: "r", Centre: "c", PeerAddress: "10.0.0.2:7", Targets: []carobtarget.Target{
		{ID: carobtargetid.ID{Service: "a", Name: "b"}, Node: "n2", Profile: "a", Slots: 1, Connections: 1, Readiness: carobreadiness.Ready},
	}}}}
	recordFetchReply.RecordFetchReply = &carobrecordfetchreply.RecordFetchReply{Snapshot: &carobsnapshot.Snapshot{LastOffset: 3}}
	for _, message := range []carobmessage.Message{base, gossip, recordFetchReply, fullMessage()} {
		data, err := codec.Marshal(message)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var message, copied carobmessage.Message
		if codec.Unmarshal(data, &message) != nil || message.Check() != nil {
			return
		}
		encoded, err := codec.Marshal(message)
		require.NoError(t, err)
		require.NoError(t, codec.Unmarshal(encoded, &copied))
		repeated, err := codec.Marshal(copied)
		require.NoError(t, err)
		require.Equal(t, encoded, repeated)
	})
}

// fullMessage returns a message with a zero value in every pointer field. It uses
// reflection so that fields added later are covered too.
func fullMessage() carobmessage.Message {
	message := carobmessage.Message{From: "n1", ReplyTo: carobaddress.Address("10.0.0.1:7")}
	value := reflect.ValueOf(&message).Elem()
	for i := range value.NumField() {
		if field := value.Field(i); field.Kind() == reflect.Pointer {
			field.Set(reflect.New(field.Type().Elem()))
		}
	}
	return message
}
