package fuzz

import (
	"time"

	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// fakeLog simulates the platform's log.
type fakeLog struct {
	streams map[carobstream.Stream]*fakeStream
	// unavailable makes reads and appends fail.
	unavailable bool
	extraDelay  time.Duration
	// lostResponses is the number of appends that still take effect without a response.
	lostResponses int
}

// fakeStream holds the records of a stream that have not expired; first is the offset of
// the oldest.
type fakeStream struct {
	first   caroboffset.Offset
	records []carobrecord.Record
}

// stream returns a stream; an unknown one is empty.
func (l *fakeLog) stream(stream carobstream.Stream) *fakeStream {
	if l.streams[stream] == nil {
		l.streams[stream] = &fakeStream{}
	}
	return l.streams[stream]
}

func (st *fakeStream) appendRecord(data []byte) caroboffset.Offset {
	offset := st.first + caroboffset.Offset(len(st.records))
	st.records = append(st.records, carobrecord.Record{Offset: offset, Data: append([]byte(nil), data...)})
	return offset
}

// expire removes all records except the newest ones; keep is their number.
func (st *fakeStream) expire(keep int) {
	expired := max(0, len(st.records)-max(0, keep))
	st.first += caroboffset.Offset(expired)
	st.records = st.records[expired:]
}

// expireProfiles removes the records that the newest snapshot includes, and nothing if
// there is no snapshot. The log keeps records for longer than the time between two
// snapshots, so it never expires others.
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
