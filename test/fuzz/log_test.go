package fuzz

import (
	"time"

	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// fakeLog is the platform's log.
type fakeLog struct {
	streams map[carobstream.Stream]*fakeStream
	out     bool
	slow    time.Duration
	// lose is how many appends take effect without an answer.
	lose int
}

type fakeStream struct {
	first   caroboffset.Offset
	records []carobrecord.Record
}

func (l *fakeLog) of(stream carobstream.Stream) *fakeStream {
	if l.streams[stream] == nil {
		l.streams[stream] = &fakeStream{}
	}
	return l.streams[stream]
}

func (st *fakeStream) add(data []byte) caroboffset.Offset {
	offset := st.first + caroboffset.Offset(len(st.records))
	st.records = append(st.records, carobrecord.Record{Offset: offset, Data: append([]byte(nil), data...)})
	return offset
}

// expire drops the oldest records but for the newest keep.
func (st *fakeStream) expire(keep int) {
	gone := max(0, len(st.records)-max(0, keep))
	st.first += caroboffset.Offset(gone)
	st.records = st.records[gone:]
}

// expireProfiles drops what the newest snapshot makes up for. The log keeps
// records for longer than the time between two snapshots.
func (st *fakeStream) expireProfiles() {
	for i := len(st.records) - 1; i >= 0; i-- {
		var record struct {
			Snapshot *struct{ Through caroboffset.Offset }
		}
		mustDecode(st.records[i].Data, &record)
		if record.Snapshot != nil {
			st.expire(len(st.records) - min(i, int(record.Snapshot.Through+1-st.first)))
			return
		}
	}
}
