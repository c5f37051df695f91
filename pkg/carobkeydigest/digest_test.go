package carobkeydigest_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobkeydigest"
)

// Guards against digests that other nodes compute or read differently: a key would be unknown
// there. The expected text is the first test vector of FIPS 180-2.
func TestDigestIsSHA256InHexadecimal(t *testing.T) {
	digest := carobkeydigest.Of([]byte("abc"))
	text, err := digest.MarshalText()
	require.NoError(t, err)
	require.Equal(t, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", string(text))
	var decoded carobkeydigest.Digest
	require.NoError(t, decoded.UnmarshalText(text))
	require.Equal(t, digest, decoded)
}

// Guards against logs that hold a whole digest, by which a short key could be found.
func TestLoggedDigestIsShort(t *testing.T) {
	require.Equal(t, "ba7816bf", carobkeydigest.Of([]byte("abc")).String())
}

func TestMalformedDigestIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"empty":           "",
		"short":           "ba7816bf",
		"long":            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad00",
		"not hexadecimal": "xx7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
	} {
		t.Run(name, func(t *testing.T) {
			var digest carobkeydigest.Digest
			require.Error(t, digest.UnmarshalText([]byte(text)))
		})
	}
}
