package discovery

import (
	"bytes"
	"errors"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
	"snowflow/internal/wal"
)

// addressFile is the name of the file that stores the addresses, in one wire.RegisterRecord.
const addressFile = "addresses"

// store saves the addresses to disk. Its zero value stores nothing.
type store struct {
	log         *wal.Log // nil if there is no disk or it failed
	written     bool     // whether lastWritten is the file's content
	lastWritten []byte
}

// open opens the file and returns the stored addresses. A file that cannot be read is replaced by an empty one.
func (s *store) open(disk wal.Disk) (addresses []*wire.PeerAddress) {
	log, err := wal.Open(disk, addressFile, func(content []byte) error {
		record := &wire.RegisterRecord{}
		if err := proto.Unmarshal(content, record); err != nil {
			return err
		}
		addresses = append(addresses, record.Known...)
		return nil
	})
	if err != nil {
		log, err = wal.Recreate(disk, addressFile)
	}
	if err == nil {
		s.log = log
	}
	return addresses
}

// save writes the addresses if they differ from those last written. After a failed sync, the store stops writing.
func (s *store) save(addresses []*wire.PeerAddress) {
	if s.log == nil {
		return
	}
	content, err := proto.Marshal(&wire.RegisterRecord{Known: addresses})
	if err != nil || s.written && bytes.Equal(content, s.lastWritten) {
		return
	}
	err = s.log.Rewrite(content)
	if err == nil {
		s.written, s.lastWritten = true, content
	} else if errors.Is(err, wal.ErrSyncFailed) {
		s.log = nil
	}
}
