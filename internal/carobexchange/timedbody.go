package carobexchange

import (
	"io"
	"sync"
)

// timedBody is the body of an answer whose time begins when it is first read. Before, the
// answer may have to wait until those to earlier requests of its connection were sent.
type timedBody struct {
	io.ReadCloser
	once sync.Once
	// start starts the time.
	start func()
}

// Read reads from the body.
func (b *timedBody) Read(into []byte) (int, error) {
	b.once.Do(b.start)
	return b.ReadCloser.Read(into)
}
