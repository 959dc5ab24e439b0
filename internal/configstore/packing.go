package configstore

import (
	"bytes"
	"compress/flate"
	"sync"

	"snowflow/internal/transport/wire"
)

// packFrom is the length from which a content is packed, in bytes.
const packFrom = 2 << 10

// packing keeps the newest content as it goes to carriers: on a narrow link thousands of routes take seconds, and their words repeat.
// Invariant: packed is the content of serial, deflated.
type packing struct {
	lock   sync.Mutex
	serial uint64
	digest string
	packed []byte
}

// fill puts a content into an answer, packed once for all who ask for it.
func (packing *packing) fill(tell *wire.ConfigPollResponse, kept *wire.StoredConfig, packs bool) {
	if !packs || len(kept.Content) < packFrom {
		tell.Content = kept.Content
		return
	}
	packing.lock.Lock()
	defer packing.lock.Unlock()
	if packing.serial != kept.Version || packing.digest != kept.Digest {
		var buffer bytes.Buffer
		writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
		if err == nil {
			_, err = writer.Write(kept.Content)
		}
		if err == nil {
			err = writer.Close()
		}
		if err != nil {
			tell.Content = kept.Content
			return
		}
		packing.serial, packing.digest, packing.packed = kept.Version, kept.Digest, buffer.Bytes()
	}
	tell.Compressed = packing.packed
}
