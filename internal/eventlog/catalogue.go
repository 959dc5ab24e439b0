package eventlog

import "github.com/apex/log"

// The events' numbers: 1xx process, 2xx core, 3xx membership, 4xx desired states, 5xx guards, 6xx requests, 7xx disk.
const (
	ProcessStarted          = 101
	ProcessStopped          = 102
	ProcessDraining         = 103
	ProcessDrained          = 104
	MalformedFrame          = 110
	ConnectionLost          = 111
	ProcessStalled          = 112
	ClockSteppedBack        = 113
	BecamePrimary           = 201
	PrimaryReady            = 202
	SteppedDown             = 203
	BackupLost              = 204
	VoterJoined             = 205
	GroupBootstrapped       = 206
	SnapshotInstalled       = 207
	LeadershipTransferred   = 208
	LeaderClockBounded      = 209
	VotersDiffer            = 210
	MembershipChanged       = 211
	VoterEnrolled           = 212
	MemberReleased          = 213
	MemberNotReleased       = 214
	ReplicaCaughtUp         = 215
	SessionOpened           = 301
	SessionEnded            = 302
	DirectoryUpdateRejected = 303
	BackendRegistered       = 310
	BackendLeft             = 311
	BackendHeartbeatOverdue = 312
	BackendEjected          = 313
	BackendReinstated       = 314
	ConfigAccepted          = 401
	ConfigRejected          = 402
	ConfigAdopted           = 403
	ConfigLeaseExpired      = 404
	ConfigPropagated        = 405
	DeltaRejected           = 406
	BreakerTrippedLocally   = 501
	BreakerStateChanged     = 502
	BreakerDegraded         = 503
	BreakerRecovered        = 504
	BreakerWriteDropped     = 505
	BreakerTripReported     = 506
	BreakerManualControl    = 507
	RequestRejected         = 601
	ResponseBroken          = 602
	IdentityMismatch        = 603
	PeerProxySilent         = 604
	DiskTornTail            = 701
	DiskCorrupted           = 702
	DiskFull                = 703
	DiskSyncFailed          = 704
	DiskSlow                = 705
	ObjectStoreFailed       = 710
)

// Event is an event's place in the catalogue.
type Event struct {
	Level log.Level
	Text  string
}

// Catalogue lists every event. docs/events.md is checked against it.
var Catalogue = map[int]Event{
	ProcessStarted:          {log.InfoLevel, "process started"},
	ProcessStopped:          {log.ErrorLevel, "process stopped by itself"},
	ProcessDraining:         {log.InfoLevel, "draining"},
	ProcessDrained:          {log.InfoLevel, "drained"},
	MalformedFrame:          {log.WarnLevel, "unknown or malformed frame, connection closed"},
	ConnectionLost:          {log.DebugLevel, "connection from a peer lost"},
	ProcessStalled:          {log.WarnLevel, "this process stood still, or its clock leapt"},
	ClockSteppedBack:        {log.ErrorLevel, "the clock stepped back, process stops"},
	BecamePrimary:           {log.WarnLevel, "took over as primary"},
	PrimaryReady:            {log.InfoLevel, "two copies in step, answering"},
	SteppedDown:             {log.WarnLevel, "no longer primary"},
	BackupLost:              {log.WarnLevel, "backup lost, writes wait for another"},
	VoterJoined:             {log.InfoLevel, "voter with a blank folder joined"},
	GroupBootstrapped:       {log.InfoLevel, "first epoch of the group"},
	SnapshotInstalled:       {log.InfoLevel, "copy of the state installed"},
	LeadershipTransferred:   {log.WarnLevel, "handed over to the backup"},
	LeaderClockBounded:      {log.WarnLevel, "holder time bound by what passed at the backup"},
	VotersDiffer:            {log.ErrorLevel, "voters differ between two processes, which don't hear one another"},
	MembershipChanged:       {log.InfoLevel, "roster of voters changed, or is changing"},
	VoterEnrolled:           {log.InfoLevel, "a process that no roster names keeps the register, and asks to vote"},
	MemberReleased:          {log.InfoLevel, "a process that stops as planned holds no copy and no seat that is counted on"},
	ReplicaCaughtUp:         {log.InfoLevel, "a copy that was a little behind was given the entries that it missed"},
	MemberNotReleased:       {log.WarnLevel, "a process that stops as planned ends though its copy or seat was not taken over in time"},
	SessionOpened:           {log.InfoLevel, "session opened"},
	SessionEnded:            {log.WarnLevel, "session ended"},
	DirectoryUpdateRejected: {log.WarnLevel, "changes of the directory refused, asking for the whole"},
	BackendRegistered:       {log.InfoLevel, "backend registered"},
	BackendLeft:             {log.InfoLevel, "backend leaving or replaced"},
	BackendHeartbeatOverdue: {log.WarnLevel, "backend's beats are overdue"},
	BackendEjected:          {log.WarnLevel, "backend does worse than its like, only probes are let in"},
	BackendReinstated:       {log.InfoLevel, "ejected backend is well again"},
	ConfigAccepted:          {log.InfoLevel, "desired state accepted"},
	ConfigRejected:          {log.WarnLevel, "desired state refused"},
	ConfigAdopted:           {log.InfoLevel, "desired state adopted"},
	ConfigLeaseExpired:      {log.WarnLevel, "desired-state tenure ended, refusing requests"},
	ConfigPropagated:        {log.InfoLevel, "desired state spread to every tenure holder"},
	DeltaRejected:           {log.WarnLevel, "difference refused, asking for the whole"},
	BreakerTrippedLocally:   {log.WarnLevel, "local window tripped"},
	BreakerStateChanged:     {log.WarnLevel, "shared verdict changed"},
	BreakerDegraded:         {log.WarnLevel, "shared verdict unreachable, running on the local window"},
	BreakerRecovered:        {log.InfoLevel, "shared verdict reachable again"},
	BreakerWriteDropped:     {log.WarnLevel, "guard write dropped, lane full or degraded"},
	BreakerTripReported:     {log.InfoLevel, "trip reported, not yet corroborated"},
	BreakerManualControl:    {log.WarnLevel, "manual control of a guard changed"},
	RequestRejected:         {log.DebugLevel, "request refused"},
	ResponseBroken:          {log.WarnLevel, "backend answer broken"},
	IdentityMismatch:        {log.WarnLevel, "backend at this address is another instance"},
	PeerProxySilent:         {log.WarnLevel, "a carrier that owes answers gave no sign of life"},
	DiskTornTail:            {log.WarnLevel, "torn tail cut"},
	DiskCorrupted:           {log.ErrorLevel, "record file damaged, copy discarded"},
	DiskFull:                {log.ErrorLevel, "disk full"},
	DiskSyncFailed:          {log.ErrorLevel, "sync failed, process stops"},
	DiskSlow:                {log.WarnLevel, "disk slow"},
	ObjectStoreFailed:       {log.WarnLevel, "object store of desired states could not be written"},
}
