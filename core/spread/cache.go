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

// findCompressed returns a compressed document, or nil if it is not cached.
func (distributor *Distributor) findCompressed(digest string) []byte {
	for _, cached := range distributor.cache {
		if cached.digest == digest && digest != "" {
			return cached.compressed
		}
	}
	return nil
}

// Document returns a document, or nil if it is not cached.
func (distributor *Distributor) Document(digest string) []byte {
	distributor.mutex.Lock()
	compressed := distributor.findCompressed(digest)
	distributor.mutex.Unlock()
	if compressed == nil {
		return nil
	}
	document, err := decompress(compressed, digest)
	if err != nil {
		distributor.options.Log.Log(event.SpreadRejected(), logrus.Fields{"digest": digest, "error": err.Error()})
		return nil
	}
	return document
}

// cacheDocument caches a document from the key-value service.
func (distributor *Distributor) cacheDocument(digest string, document []byte) {
	if distributor.HasDocument(digest) {
		return
	}
	compressed := compress(document)
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	distributor.addToCache(digest, compressed)
}

// cacheReceived caches a compressed document from a peer if it matches its
// digest, and returns it decompressed. It returns nil if the document doesn't
// match or is already cached.
func (distributor *Distributor) cacheReceived(digest string, compressed []byte) []byte {
	if digest == "" || distributor.HasDocument(digest) {
		return nil
	}
	document, err := decompress(compressed, digest)
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	if err != nil {
		distributor.options.Log.Log(event.SpreadRejected(), logrus.Fields{"digest": digest, "error": err.Error()})
		return nil
	}
	distributor.addToCache(digest, compressed)
	return document
}

// addToCache adds a document to the cache and evicts the oldest ones beyond the
// limit, except the one in force.
func (distributor *Distributor) addToCache(digest string, compressed []byte) {
	distributor.cache = slices.DeleteFunc(distributor.cache, func(cached cachedDocument) bool { return cached.digest == digest })
	distributor.cache = append(distributor.cache, cachedDocument{digest, compressed})
	for i := 0; len(distributor.cache) > maxCachedDocuments; {
		if distributor.cache[i].digest == distributor.current.Production.Digest {
			i++
			continue
		}
		distributor.cache = slices.Delete(distributor.cache, i, i+1)
	}
}

// awaitDocument records heads whose document is missing and requests it.
func (distributor *Distributor) awaitDocument(next heads.Heads, sender host.Host, now time.Time) {
	if distributor.pending != nil && distributor.pending.heads.Generation >= next.Generation {
		return
	}
	distributor.pending = &pendingHeads{heads: next, due: now.Add(documentRetryInterval)}
	if sender.Name != "" {
		distributor.requestDocument(sender)
	} else {
		distributor.pending.due = now
	}
	distributor.wakeRun()
}

// compress compresses a document with DEFLATE.
func compress(document []byte) []byte {
	var buffer bytes.Buffer
	// Errors are ignored: the level is valid and writes to a buffer don't fail.
	writer, _ := flate.NewWriter(&buffer, flate.DefaultCompression)
	_, _ = writer.Write(document)
	_ = writer.Close()
	return buffer.Bytes()
}

// decompress returns the document and verifies its digest. An empty digest
// means no document. It fails with Invalid.
func decompress(compressed []byte, digest string) ([]byte, error) {
	const op = "spread.unpack"
	if digest == "" {
		return nil, nil
	}
	document, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDocumentBytes+1))
	switch {
	case err != nil:
		return nil, fault.Wrap(op, Invalid, err)
	case len(document) > maxDocumentBytes:
		return nil, fault.New(op, Invalid, "the document is larger than 1 MB")
	case heads.Digest(document) != digest:
		return nil, fault.New(op, Invalid, "the document doesn't match its digest")
	}
	return document, nil
}
