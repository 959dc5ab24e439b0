package discovery

import (
	"bytes"
	"errors"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
	"snowflow/internal/wal"
)

// addressFile is the name of the file that holds the addresses, as one wire.RegisterRecord.
const addressFile = "addresses"

// store holds the addresses on disk. Its zero value stores nothing.
type store struct {
	log         *wal.Log // nil where there is no disk, or where it failed
	written     bool     // whether lastWritten is the file's content
	lastWritten []byte
}

// open opens the file and returns the addresses in it. A file that cannot be read is replaced by an empty one.
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

// save writes the addresses if they differ from those last written. After a failed sync it writes no more.
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
