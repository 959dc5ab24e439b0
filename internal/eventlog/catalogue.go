package eventlog

import "github.com/apex/log"

// The events' numbers: 1xx process, 2xx core, 3xx membership, 4xx desired states, 5xx guards, 6xx requests, 7xx disk.
const (
	ProcessStarted     = 101
	ProcessStopped     = 102
	ProcessDraining    = 103
	ProcessDrained     = 104
	MalformedFrame     = 110
	ConnectionLost     = 111
	Frozen             = 112
	ClockStepped       = 113
	TookOver           = 201
	Settled            = 202
	SteppedDown        = 203
	BackupLost         = 204
	VoterJoined        = 205
	Genesis            = 206
	CopyInstalled      = 207
	HandedOver         = 208
	HolderTimeBound    = 209
	VotersDiffer       = 210
	RosterChanged      = 211
	Enrolled           = 212
	MemberReleased     = 213
	MemberNotReleased  = 214
	CopyCaughtUp       = 215
	SessionOpened      = 301
	SessionEnded       = 302
	DirectoryRefused   = 303
	BackendRegistered  = 310
	BackendLeft        = 311
	BackendOverdue     = 312
	BackendEjected     = 313
	BackendReturned    = 314
	DesiredAccepted    = 401
	DesiredRefused     = 402
	DesiredAdopted     = 403
	DesiredTenureLost  = 404
	DesiredSpread      = 405
	DifferenceRefused  = 406
	GuardLocalTrip     = 501
	GuardChanged       = 502
	GuardDegraded      = 503
	GuardRecovered     = 504
	GuardWriteDropped  = 505
	GuardReported      = 506
	GuardControl       = 507
	RequestRefused     = 601
	AnswerBrokenSeen   = 602
	IdentityMismatch   = 603
	CarrierQuiet       = 604
	DiskTornTail       = 701
	DiskDamaged        = 702
	DiskFull           = 703
	DiskSyncFailed     = 704
	DiskSlow           = 705
	ObjectStoreTrouble = 710
)

// Listed is an event's place in the catalogue.
type Listed struct {
	Level log.Level
	Text  string
}

// Catalogue lists every event. docs/events.md is checked against it.
var Catalogue = map[int]Listed{
	ProcessStarted:     {log.InfoLevel, "process started"},
	ProcessStopped:     {log.ErrorLevel, "process stopped by itself"},
	ProcessDraining:    {log.InfoLevel, "draining"},
	ProcessDrained:     {log.InfoLevel, "drained"},
	MalformedFrame:     {log.WarnLevel, "unknown or malformed frame, connection closed"},
	ConnectionLost:     {log.DebugLevel, "connection from a peer lost"},
	Frozen:             {log.WarnLevel, "this process stood still, or its clock leapt"},
	ClockStepped:       {log.ErrorLevel, "the clock stepped back, process stops"},
	TookOver:           {log.WarnLevel, "took over as primary"},
	Settled:            {log.InfoLevel, "two copies in step, answering"},
	SteppedDown:        {log.WarnLevel, "no longer primary"},
	BackupLost:         {log.WarnLevel, "backup lost, writes wait for another"},
	VoterJoined:        {log.InfoLevel, "voter with a blank folder joined"},
	Genesis:            {log.InfoLevel, "first epoch of the group"},
	CopyInstalled:      {log.InfoLevel, "copy of the state installed"},
	HandedOver:         {log.WarnLevel, "handed over to the backup"},
	HolderTimeBound:    {log.WarnLevel, "holder time bound by what passed at the backup"},
	VotersDiffer:       {log.ErrorLevel, "voters differ between two processes, which don't hear one another"},
	RosterChanged:      {log.InfoLevel, "roster of voters changed, or is changing"},
	Enrolled:           {log.InfoLevel, "a process that no roster names keeps the register, and asks to vote"},
	MemberReleased:     {log.InfoLevel, "a process that stops as planned holds no copy and no seat that is counted on"},
	CopyCaughtUp:       {log.InfoLevel, "a copy that was a little behind was given the entries that it missed"},
	MemberNotReleased:  {log.WarnLevel, "a process that stops as planned ends though its copy or seat was not taken over in time"},
	SessionOpened:      {log.InfoLevel, "session opened"},
	SessionEnded:       {log.WarnLevel, "session ended"},
	DirectoryRefused:   {log.WarnLevel, "changes of the directory refused, asking for the whole"},
	BackendRegistered:  {log.InfoLevel, "backend registered"},
	BackendLeft:        {log.InfoLevel, "backend leaving or replaced"},
	BackendOverdue:     {log.WarnLevel, "backend's beats are overdue"},
	BackendEjected:     {log.WarnLevel, "backend does worse than its like, only probes are let in"},
	BackendReturned:    {log.InfoLevel, "ejected backend is well again"},
	DesiredAccepted:    {log.InfoLevel, "desired state accepted"},
	DesiredRefused:     {log.WarnLevel, "desired state refused"},
	DesiredAdopted:     {log.InfoLevel, "desired state adopted"},
	DesiredTenureLost:  {log.WarnLevel, "desired-state tenure ended, refusing requests"},
	DesiredSpread:      {log.InfoLevel, "desired state spread to every tenure holder"},
	DifferenceRefused:  {log.WarnLevel, "difference refused, asking for the whole"},
	GuardLocalTrip:     {log.WarnLevel, "local window tripped"},
	GuardChanged:       {log.WarnLevel, "shared verdict changed"},
	GuardDegraded:      {log.WarnLevel, "shared verdict unreachable, running on the local window"},
	GuardRecovered:     {log.InfoLevel, "shared verdict reachable again"},
	GuardWriteDropped:  {log.WarnLevel, "guard write dropped, lane full or degraded"},
	GuardReported:      {log.InfoLevel, "trip reported, not yet corroborated"},
	GuardControl:       {log.WarnLevel, "manual control of a guard changed"},
	RequestRefused:     {log.DebugLevel, "request refused"},
	AnswerBrokenSeen:   {log.WarnLevel, "backend answer broken"},
	IdentityMismatch:   {log.WarnLevel, "backend at this address is another instance"},
	CarrierQuiet:       {log.WarnLevel, "a carrier that owes answers gave no sign of life"},
	DiskTornTail:       {log.WarnLevel, "torn tail cut"},
	DiskDamaged:        {log.ErrorLevel, "record file damaged, copy discarded"},
	DiskFull:           {log.ErrorLevel, "disk full"},
	DiskSyncFailed:     {log.ErrorLevel, "sync failed, process stops"},
	DiskSlow:           {log.WarnLevel, "disk slow"},
	ObjectStoreTrouble: {log.WarnLevel, "object store of desired states could not be written"},
}
