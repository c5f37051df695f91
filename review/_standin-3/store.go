package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// item is the newest record of a key.
type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

// store is a metadata store with keyed topics, as PROTOCOL.md describes it: log-append, log-read
// and log-newest. It has no history limit.
type store struct {
	mutex  sync.Mutex
	topics map[string][]storedRecord
	server *http.Server
}

// storedRecord is a record of a keyed topic.
type storedRecord struct {
	key   string
	value []byte
}

func startStore(address string) (*store, error) {
	s := &store{topics: map[string][]storedRecord{}}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.appendRecords)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.newest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a record as the operator does.
func (s *store) put(topic, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.topics[topic] = append(s.topics[topic], storedRecord{key, value})
}

func (s *store) appendRecords(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := len(s.topics[topic])
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		if length < 1 || len(body) < 4+length {
			http.Error(w, "malformed record", http.StatusBadRequest)
			return
		}
		record := body[4 : 4+length]
		key := 1 + int(record[0])
		s.topics[topic] = append(s.topics[topic], storedRecord{string(record[1:key]), append([]byte(nil), record[key:]...)})
		body = body[4+length:]
	}
	writeJSON(w, map[string]int{"offset": first, "end": len(s.topics[topic])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for s.length(topic) <= from && time.Now().Before(end) && r.Context().Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	records := s.topics[topic]
	data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for i := from; i < len(records); i++ {
		record := records[i]
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(record.key)+len(record.value)))
		data = append(data, byte(len(record.key)))
		data = append(data, record.key...)
		data = append(data, record.value...)
	}
	_, _ = w.Write(data)
}

// pageItems is the largest number of records in a page of the newest ones.
const pageItems = 500

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	topic, after := r.URL.Query().Get("topic"), r.URL.Query().Get("after")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	newest := map[string]item{}
	for offset, record := range s.topics[topic] {
		newest[record.key] = item{record.key, base64.StdEncoding.EncodeToString(record.value), offset}
	}
	items := []item{}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if key > after {
			items = append(items, newest[key])
		}
	}
	more := len(items) > pageItems
	writeJSON(w, map[string]any{"items": items[:min(len(items), pageItems)], "has-more": more, "end": len(s.topics[topic])})
}

// newestOf returns the value of the newest record of a key.
func (s *store) newestOf(topic, key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, record := range slices.Backward(s.topics[topic]) {
		if record.key == key {
			return record.value
		}
	}
	return nil
}

func (s *store) length(topic string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.topics[topic])
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
