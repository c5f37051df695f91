package carobvisit

import (
	"bufio"
	"strconv"
)

// writeChunk sends a piece of a body of unknown length.
func writeChunk(into *bufio.Writer, data []byte) error {
	const base = 16
	for _, part := range [][]byte{strconv.AppendInt(nil, int64(len(data)), base), []byte("\r\n"), data, []byte("\r\n")} {
		if _, err := into.Write(part); err != nil {
			return err
		}
	}
	return into.Flush()
}
