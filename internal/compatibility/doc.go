// Package compatibility contains tests that compare the data that processes exchange or store with approved (golden) files: the field
// numbers and types of the protobuf messages, the names that operators write in configurations, the strings and numbers that are stored
// or sent, and data folders that an earlier build wrote. A difference means that processes of adjacent builds would not understand each
// other, or that stored data could not be read.
//
// The approved files contain neither Go identifiers nor names of protobuf messages, so that names may change but encodings may not. They
// are written only by
//
//	go test ./internal/compatibility -update
//
// which fails if the environment variable CI is set. It never overwrites the data folders, which TestWriteDataFolders writes.
package compatibility
