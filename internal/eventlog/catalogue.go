package eventlog

import "github.com/apex/log"

// The numbers of the events. They are stable across releases and never reused: 1xx process, 2xx replication, 3xx sessions and
// backends, 4xx configurations, 5xx breakers, 6xx requests, 7xx disk. docs/events.md says what operators do about each.
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
	KeyLeaseExpired         = 407
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

// Event is an entry of the Catalogue.
type Event struct {
	Level log.Level
	Text  string // of the log line
}

// Catalogue holds every event by its number. A test compares docs/events.md with it.
var Catalogue = map[int]Event{
	ProcessStarted:          {log.InfoLevel, "process started"},
	ProcessStopped:          {log.ErrorLevel, "process stopped by itself"},
	ProcessDraining:         {log.InfoLevel, "draining"},
	ProcessDrained:          {log.InfoLevel, "drained"},
	MalformedFrame:          {log.WarnLevel, "unknown or malformed frame, connection closed"},
	ConnectionLost:          {log.DebugLevel, "connection from a peer lost"},
	ProcessStalled:          {log.WarnLevel, "process stalled, or its clock jumped ahead"},
	ClockSteppedBack:        {log.ErrorLevel, "the clock stepped back, process stops"},
	BecamePrimary:           {log.WarnLevel, "became primary"},
	PrimaryReady:            {log.InfoLevel, "primary serving, a backup is in sync"},
	SteppedDown:             {log.WarnLevel, "no longer primary"},
	BackupLost:              {log.WarnLevel, "backup lost, writes wait for another one"},
	VoterJoined:             {log.InfoLevel, "voter with an empty data folder joined"},
	GroupBootstrapped:       {log.InfoLevel, "group bootstrapped, first epoch"},
	SnapshotInstalled:       {log.InfoLevel, "snapshot installed"},
	LeadershipTransferred:   {log.WarnLevel, "leadership transferred to the backup"},
	LeaderClockBounded:      {log.WarnLevel, "leader clock bounded by the backup's clock"},
	VotersDiffer:            {log.ErrorLevel, "voters differ between two processes, which ignore each other"},
	MembershipChanged:       {log.InfoLevel, "membership changed, or is changing"},
	VoterEnrolled:           {log.InfoLevel, "process outside the membership keeps the register, and asks to become a voter"},
	MemberReleased:          {log.InfoLevel, "process that shuts down has no replica or voter seat that the group relies on"},
	ReplicaCaughtUp:         {log.InfoLevel, "replica caught up from the log"},
	MemberNotReleased:       {log.WarnLevel, "process shuts down though its replica or voter seat was not replaced in time"},
	SessionOpened:           {log.InfoLevel, "session opened"},
	SessionEnded:            {log.WarnLevel, "session ended"},
	DirectoryUpdateRejected: {log.WarnLevel, "directory update rejected, requesting the full directory"},
	BackendRegistered:       {log.InfoLevel, "backend registered"},
	BackendLeft:             {log.InfoLevel, "backend leaving or replaced"},
	BackendHeartbeatOverdue: {log.WarnLevel, "backend's heartbeats are overdue"},
	BackendEjected:          {log.WarnLevel, "backend ejected as an outlier, only probes are admitted"},
	BackendReinstated:       {log.InfoLevel, "ejected backend reinstated"},
	ConfigAccepted:          {log.InfoLevel, "configuration accepted"},
	ConfigRejected:          {log.WarnLevel, "configuration rejected"},
	ConfigAdopted:           {log.InfoLevel, "configuration adopted"},
	ConfigLeaseExpired:      {log.WarnLevel, "configuration lease expired, rejecting requests"},
	ConfigPropagated:        {log.InfoLevel, "configuration adopted by every lease holder"},
	DeltaRejected:           {log.WarnLevel, "configuration delta rejected, requesting the full configuration"},
	KeyLeaseExpired:         {log.WarnLevel, "lease on tenants' keys expired, rejecting their requests"},
	BreakerTrippedLocally:   {log.WarnLevel, "local breaker tripped"},
	BreakerStateChanged:     {log.WarnLevel, "shared breaker state changed"},
	BreakerDegraded:         {log.WarnLevel, "shared breaker state unreachable, using the local window"},
	BreakerRecovered:        {log.InfoLevel, "shared breaker state reachable again"},
	BreakerWriteDropped:     {log.WarnLevel, "breaker write dropped, queue full or degraded"},
	BreakerTripReported:     {log.InfoLevel, "breaker trip reported, not yet confirmed by others"},
	BreakerManualControl:    {log.WarnLevel, "manual control of a breaker changed"},
	RequestRejected:         {log.DebugLevel, "request rejected"},
	ResponseBroken:          {log.WarnLevel, "backend response broken"},
	IdentityMismatch:        {log.WarnLevel, "backend at this address is another instance"},
	PeerProxySilent:         {log.WarnLevel, "proxy with requests in flight failed its health check"},
	DiskTornTail:            {log.WarnLevel, "torn record at the end of a file truncated"},
	DiskCorrupted:           {log.ErrorLevel, "record file corrupted, replica discarded"},
	DiskFull:                {log.ErrorLevel, "disk full"},
	DiskSyncFailed:          {log.ErrorLevel, "sync failed, process stops"},
	DiskSlow:                {log.WarnLevel, "disk slow"},
	ObjectStoreFailed:       {log.WarnLevel, "object store of configurations could not be written"},
}
