package carobpipelinedrequest

import (
	"bufio"
	"strconv"
)

// writeChunk sends a chunk of a body in chunked transfer encoding, and flushes.
func writeChunk(writer *bufio.Writer, data []byte) error {
	const base = 16
	for _, part := range [][]byte{strconv.AppendInt(nil, int64(len(data)), base), []byte("\r\n"), data, []byte("\r\n")} {
		if _, err := writer.Write(part); err != nil {
			return err
		}
	}
	return writer.Flush()
}
