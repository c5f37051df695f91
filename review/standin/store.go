package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a record of a topic: a key and its value.
type entry struct {
	key   string
	value []byte
}

// store stands in for the platform's metadata store. It has one partition for each topic,
// and supports the keyed topics only.
type store struct {
	mutex  sync.Mutex
	topics map[string][]entry
	// grown is closed and replaced whenever a record is appended.
	grown   chan struct{}
	address string
}

func startStore(host string) (*store, error) {
	s := &store{topics: map[string][]entry{}, grown: make(chan struct{})}
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.handleAppend)
	mux.HandleFunc("GET /-/log-newest", s.handleNewest)
	mux.HandleFunc("GET /-/log-read", s.handleRead)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) put(topic, key string, value []byte) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.topics[topic] = append(s.topics[topic], entry{key, value})
	close(s.grown)
	s.grown = make(chan struct{})
	return len(s.topics[topic])
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	data, err := io.ReadAll(r.Body)
	if err != nil || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	end := 0
	for len(data) >= 5 {
		length := int(binary.BigEndian.Uint32(data))
		if len(data) < 4+length || length < 1+int(data[4]) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		keyEnd := 5 + int(data[4])
		end = s.put(topic, string(data[5:keyEnd]), append([]byte(nil), data[keyEnd:4+length]...))
		data = data[4+length:]
	}
	writeJSON(w, map[string]int{"offset": end - 1, "end": end})
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mutex.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := map[string]item{}
	for offset, record := range records {
		newest[record.key] = item{record.key, base64.StdEncoding.EncodeToString(record.value), offset}
	}
	items := []item{}
	for _, one := range newest {
		items = append(items, one)
	}
	writeJSON(w, map[string]any{"items": items, "has-more": false, "end": len(records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	waitMs, _ := strconv.Atoi(query.Get("wait-ms"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mutex.Lock()
		records, grown := s.topics[query.Get("topic")], s.grown
		s.mutex.Unlock()
		if len(records) <= from {
			select {
			case <-grown:
				continue
			case <-deadline:
			case <-r.Context().Done():
				return
			}
		}
		data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		data = binary.BigEndian.AppendUint64(data, 0)
		for _, record := range records[min(from, len(records)):] {
			data = binary.BigEndian.AppendUint32(data, uint32(1+len(record.key)+len(record.value)))
			data = append(append(data, byte(len(record.key))), record.key...)
			data = append(data, record.value...)
		}
		_, _ = w.Write(data)
		return
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
