// Package wire has the messages that snowflow's processes send each other and the records that the core keeps on disk, generated from
// wire.proto and desired.proto. A frame of package frame carries one message and its Kind.
//
// Processes of adjacent builds exchange messages during an upgrade, and stored records outlive builds. So fields are only added; numbers
// and types of the present ones never change. Names may change: they are neither sent nor stored, but for two exceptions. The fields
// of DesiredState are the keys of the JSON form that operators write, and status pages show sessions and records under the keys of
// status_json.go.
//
// After a change to a .proto file:
//
//	go test ./internal/transport/wire -run TestGeneratedCode -update
package wire
