package gram_test

import (
	"crypto/hmac"
	"crypto/sha256"
	"testing"

	"primrosegw/io/gram"
)

// sign returns the content as a datagram that is signed with the shared key.
func sign(content []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(content)
	return append(mac.Sum(nil)[:16:16], content...)
}

// FuzzSignedContent guards against signed datagrams that end the process.
func FuzzSignedContent(f *testing.F) {
	for _, envelope := range []gram.Envelope[body]{
		{Host: "a", Incarnation: 1, Sequence: 1, Body: body{Text: "x"}},
		{Host: "a", Sequence: 2, Part: &gram.Part{Message: 1, Index: 1, Count: 2, Data: []byte("x")}},
	} {
		data, err := gram.Encode(key, envelope)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data[16:])
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		if _, err := gram.Decode[body]([]byte("another key"), sign(content)); err == nil {
			t.Fatal("a datagram with a wrong signature was accepted")
		}
		_, _ = gram.Decode[body](key, sign(content))
	})
}
