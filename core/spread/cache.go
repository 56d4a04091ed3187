package spread

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/heads"
	"primrosegw/core/host"
)

// find returns a packed document, nil if it is not in the cache.
func (spread *Spread) find(digest string) []byte {
	for _, page := range spread.cache {
		if page.digest == digest && digest != "" {
			return page.packed
		}
	}
	return nil
}

// store puts a document from the service in the cache.
func (spread *Spread) store(digest string, document []byte) {
	if spread.Holds(digest) {
		return
	}
	packed := pack(document)
	spread.mutex.Lock()
	defer spread.mutex.Unlock()
	spread.place(digest, packed)
}

// keep puts a packed document from a peer in the cache if it matches its
// digest, and returns it unpacked; nil if it doesn't match or is there already.
func (spread *Spread) keep(digest string, packed []byte) []byte {
	if digest == "" || spread.Holds(digest) {
		return nil
	}
	document, err := unpack(packed, digest)
	spread.mutex.Lock()
	defer spread.mutex.Unlock()
	if err != nil {
		spread.options.Log.Log(event.SpreadRejected(), logrus.Fields{"digest": digest, "error": err.Error()})
		return nil
	}
	spread.place(digest, packed)
	return document
}

// place puts a page in the cache and drops the oldest one beyond the limit,
// but not the one in force.
func (spread *Spread) place(digest string, packed []byte) {
	spread.cache = slices.DeleteFunc(spread.cache, func(page page) bool { return page.digest == digest })
	spread.cache = append(spread.cache, page{digest, packed})
	for i := 0; len(spread.cache) > cacheLimit; {
		if spread.cache[i].digest == spread.current.Production.Digest {
			i++
			continue
		}
		spread.cache = slices.Delete(spread.cache, i, i+1)
	}
}

// await notes heads whose document is missing and asks for it.
func (spread *Spread) await(next heads.Heads, sender host.Host, now time.Time) {
	if spread.pending != nil && spread.pending.heads.Generation >= next.Generation {
		return
	}
	spread.pending = &pending{heads: next, due: now.Add(wantAgain)}
	if sender.Name != "" {
		spread.want(sender)
	} else {
		spread.pending.due = now
	}
	spread.notify()
}

// pack compresses a document.
func pack(document []byte) []byte {
	var buffer bytes.Buffer
	// The level is valid and a buffer doesn't fail, so no error can come up.
	writer, _ := flate.NewWriter(&buffer, flate.DefaultCompression)
	_, _ = writer.Write(document)
	_ = writer.Close()
	return buffer.Bytes()
}

// unpack returns the document of a digest; no digest, no document. It fails
// with Invalid.
func unpack(packed []byte, digest string) ([]byte, error) {
	const op = "spread.unpack"
	if digest == "" {
		return nil, nil
	}
	document, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), unpackedLimit+1))
	switch {
	case err != nil:
		return nil, fault.Wrap(op, Invalid, err)
	case len(document) > unpackedLimit:
		return nil, fault.New(op, Invalid, "the document is larger than 1 MB")
	case heads.Digest(document) != digest:
		return nil, fault.New(op, Invalid, "the document doesn't match its digest")
	}
	return document, nil
}
