// Package wire contains the messages that snowflow's processes send each other, and the records that the core (the registry and the
// configuration store) stores on disk. They are generated from wire.proto and desired.proto. A frame of package frame carries one message and its Kind.
//
// Processes of adjacent releases exchange messages during an upgrade, and stored records outlive releases. Therefore fields are only added;
// the numbers and types of existing fields never change. Names may change, since they are neither sent nor stored, with two exceptions:
// the fields of DesiredState are the keys of the JSON that operators write, and status pages show sessions and records under the keys
// in status_json.go.
//
// After a change to a .proto file:
//
//	go test ./internal/transport/wire -run TestGeneratedCode -update
package wire
