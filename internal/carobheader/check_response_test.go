package carobheader_test

import (
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// responseGrammar is the grammar of RFC 9112 for the head of a response, with the statuses of
// RFC 9110. A character of the text stands for a byte.
var responseGrammar = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9]{2}( [\t -~\x80-\xff]*)?\r\n` +
	"([!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[\\t -~\\x80-\\xff]*\\r\\n)*\r\n$")

// matchesGrammar reports whether responseGrammar matches a head.
func matchesGrammar(head []byte) bool {
	runes := make([]rune, len(head))
	for i, c := range head {
		runes[i] = rune(c)
	}
	return responseGrammar.MatchString(string(runes))
}

// Guards against a malformed head that is accepted and a valid one that is rejected: each byte is inserted at each place of a head, and replaces each of its bytes.
func TestResponsesAreCheckedByTheGrammar(t *testing.T) {
	head := []byte("HTTP/1.1 200 OK\r\nX-Odd: a b\r\nEmpty:\r\n\r\n")
	require.NoError(t, carobheader.CheckResponse(head))
	for position := range head {
		for c := range 256 {
			inserted := slices.Insert(slices.Clone(head), position, byte(c))
			replaced := slices.Clone(head)
			replaced[position] = byte(c)
			for _, changed := range [][]byte{inserted, replaced} {
				require.Equal(t, matchesGrammar(changed), carobheader.CheckResponse(changed) == nil, "%q", changed)
			}
		}
		require.Error(t, carobheader.CheckResponse(head[:position]), "%q", head[:position])
	}
}

// Guards against responses whose status does not exist, or whose body could end in two places.
func TestResponsesWithoutADefiniteMeaningAreRejected(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":            "HTTP/1.1 000 OK\r\n\r\n",
		"status 600":            "HTTP/1.1 600 OK\r\n\r\n",
		"four digits":           "HTTP/1.1 2000 OK\r\n\r\n",
		"no status":             "HTTP/1.1 \r\n\r\n",
		"HTTP/2":                "HTTP/2.0 200 OK\r\n\r\n",
		"empty line first":      "\r\nHTTP/1.1 200 OK\r\n\r\n",
		"two empty lines first": "\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"line feeds":            "HTTP/1.1 200 OK\nX-Odd: 1\n\n",
		"continued line":        "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n\t2\r\n\r\n",
		"two lengths":           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\ncontent-length: 6\r\n\r\n",
		"list of lengths":       "HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\n",
		"signed length":         "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n",
		"empty length":          "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n",
		"blank of Unicode":      "HTTP/1.1 200 OK\r\nContent-Length: 5\u00a0\r\n\r\n",
		"length and chunks":     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
		"unknown encoding":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
		"chunks of HTTP/1.0":    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, carobkind.Invalid, carobkind.Of(carobheader.CheckResponse([]byte(head))))
		})
	}
}

// Guards against sound responses that are rejected because they are rare.
func TestRareResponsesAreAccepted(t *testing.T) {
	for name, head := range map[string]string{
		"all characters of names": "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n\r\n",
		"bytes above ASCII":       "HTTP/1.1 200 \xe9\r\nX-Odd: \xe9\xff\r\n\r\n",
		"blanks and tabs":         "HTTP/1.1 200 O \tK\r\nX-Odd:\t  a\tb \t\r\nContent-Length: \t5 \r\n\r\n",
		"no reason":               "HTTP/1.1 204 \r\n\r\n",
		"no blank behind status":  "HTTP/1.1 204\r\n\r\n",
		"HTTP/1.0":                "HTTP/1.0 599 Odd\r\nContent-Length: 0\r\n\r\n",
		"chunks":                  "HTTP/1.1 200 OK\r\ntransfer-ENCODING:Chunked\r\n\r\n",
		"repeated fields":         "HTTP/1.1 200 OK\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n\r\n",
		"protected option":        "HTTP/1.1 200 OK\r\nConnection: close, Content-Type\r\n\r\n",
		"long":                    "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Odd: "+strings.Repeat("x", 100)+"\r\n", 100) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, carobheader.CheckResponse([]byte(head)))
		})
	}
}
