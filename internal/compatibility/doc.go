// Package compatibility holds tests that compare what leaves a process, or outlives it, with approved files: the numbers, types and shapes of the
// protobuf messages, the names that operators write in configurations, the strings and numbers that are stored or sent, and data folders that an earlier
// build wrote. A difference means that processes of adjacent builds would not understand one another, or that stored data could not be read.
//
// The approved files name neither Go identifiers nor protobuf messages, so that names may change and encodings may not. They are only written by
//
//	go test ./internal/compatibility -update
//
// which is refused where the environment variable CI is set. The data folders are never written over by it; TestWriteDataFolders tells how.
package compatibility
