package compatibility

import (
	"fmt"
	"strings"
	"testing"

	"snowflow/internal/bulletin"
	"snowflow/internal/carrier/delivery"
	"snowflow/internal/carrier/hutch"
	"snowflow/internal/carrier/wicket"
	"snowflow/internal/clerk/doctor"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/api"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/franking/changes"
	"snowflow/internal/parcel/frame"
	"snowflow/internal/parcel/wire"
	"snowflow/internal/registry"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/registry/claims"
	"snowflow/internal/seal"
)

// Labels in this file are part of the approved files and stay as they are, whatever the constants beside them are called.

type labelled[T any] struct {
	label string
	value T
}

// strings that are stored, sent to another process, or taken from one.
var sentStrings = []labelled[string]{
	{"group of configuration stores", configstore.Group},
	{"group of registries", registry.Group},
	{"apply accepted", versions.Accepted},
	{"apply conflict", versions.Conflict},
	{"apply invalid", versions.Invalid},
	{"apply base unknown", versions.BaseUnknown},
	{"key granted", claims.Granted},
	{"key held", claims.Held},
	{"key with another body", claims.OtherBody},
	{"key voided", claims.Voided},
	{"key fenced", claims.Fenced},
	{"key claimed", claims.Claimed},
	{"breaker closed", breakerstore.Closed},
	{"breaker open", breakerstore.Open},
	{"breaker half open", breakerstore.HalfOpen},
	{"backend alive", hutch.Alive},
	{"backend working", hutch.Working},
	{"backend leaving", hutch.Leaving},
	{"control none", wicket.ControlNone},
	{"control force open", wicket.ControlForceOpen},
	{"control disable", wicket.ControlDisable},
	{"control metrics only", wicket.ControlMetricsOnly},
	{"verdict not run", string(seal.NotRun)},
	{"verdict may have run", string(seal.MayHaveRun)},
	{"path of a backend's identity", delivery.IdentityPath},
	{"query expected", api.ExpectedQuery},
	{"query request", api.RequestQuery},
	{"query from", api.FromQuery},
	{"query to", api.ToQuery},
	{"resource route", changes.Route},
	{"resource service", changes.Service},
	{"resource path", changes.Path},
	{"finding well", doctor.Well},
	{"finding watch", doctor.Watch},
	{"finding ill", doctor.Ill},
}

// kinds of messages between processes.
var messageKinds = []labelled[wire.Kind]{
	{"kind unset", wire.Kind_kind_unset},
	{"whois", wire.Kind_whois},
	{"register read", wire.Kind_register_read},
	{"register promise", wire.Kind_register_promise},
	{"register accept", wire.Kind_register_accept},
	{"tenure ask", wire.Kind_tenure_ask},
	{"replicate", wire.Kind_replicate},
	{"install", wire.Kind_install},
	{"handover", wire.Kind_handover},
	{"sessions tell", wire.Kind_sessions_tell},
	{"enroll", wire.Kind_enroll},
	{"sorter poll", wire.Kind_sorter_poll},
	{"claim", wire.Kind_claim},
	{"void", wire.Kind_void},
	{"claim settle", wire.Kind_claim_settle},
	{"probe lease", wire.Kind_probe_lease},
	{"guard write", wire.Kind_guard_write},
	{"duty", wire.Kind_duty},
	{"sorter status", wire.Kind_sorter_status},
	{"sorter batch", wire.Kind_sorter_batch},
	{"desired poll", wire.Kind_desired_poll},
	{"desired apply", wire.Kind_desired_apply},
	{"desired read", wire.Kind_desired_read},
	{"postmaster status", wire.Kind_postmaster_status},
	{"pass", wire.Kind_pass},
	{"recall", wire.Kind_recall},
	{"pass bulk", wire.Kind_pass_bulk},
	{"pass cancel", wire.Kind_pass_cancel},
}

// causes of refusals, which callers are told.
var refusalCauses = []labelled[seal.Cause]{
	{"no key", seal.NoKey},
	{"unknown path", seal.UnknownPath},
	{"body too large", seal.BodyTooLarge},
	{"other body", seal.OtherBody},
	{"unreadable", seal.Unreadable},
	{"not ready", seal.NotReady},
	{"tenure ended", seal.TenureEnded},
	{"draining", seal.Draining},
	{"stopped under way", seal.StoppedUnderWay},
	{"guard open", seal.GuardOpen},
	{"no probe", seal.NoProbe},
	{"no backend", seal.NoBackend},
	{"overloaded", seal.Overloaded},
	{"budget spent", seal.BudgetSpent},
	{"cutoff reached", seal.CutoffReached},
	{"pass unreachable", seal.PassUnreachable},
	{"pass lost", seal.PassLost},
	{"serial older", seal.SerialOlder},
	{"serial behind", seal.SerialBehind},
	{"backend leaving", seal.BackendLeaving},
	{"backend unknown", seal.BackendUnknown},
	{"backend dial", seal.BackendDial},
	{"backend identity", seal.BackendIdentity},
	{"backend ailing", seal.BackendAiling},
	{"answer broken", seal.AnswerBroken},
	{"answer too large", seal.AnswerTooLarge},
	{"answer late", seal.AnswerLate},
	{"not executed", seal.NotExecuted},
	{"answer unmatched", seal.AnswerUnmatched},
	{"key held", seal.KeyHeld},
	{"claim unreachable", seal.ClaimUnreachable},
	{"key fenced", seal.KeyFenced},
	{"claim late", seal.ClaimLate},
	{"answer gone", seal.AnswerGone},
	{"caller left", seal.CallerLeft},
}

// numbers of events, which operators' alarms and queries of logs go by.
var eventNumbers = []labelled[int]{
	{"process started", bulletin.ProcessStarted},
	{"process stopped", bulletin.ProcessStopped},
	{"process draining", bulletin.ProcessDraining},
	{"process drained", bulletin.ProcessDrained},
	{"malformed frame", bulletin.MalformedFrame},
	{"connection lost", bulletin.ConnectionLost},
	{"frozen", bulletin.Frozen},
	{"clock stepped", bulletin.ClockStepped},
	{"took over", bulletin.TookOver},
	{"settled", bulletin.Settled},
	{"stepped down", bulletin.SteppedDown},
	{"backup lost", bulletin.BackupLost},
	{"voter joined", bulletin.VoterJoined},
	{"genesis", bulletin.Genesis},
	{"copy installed", bulletin.CopyInstalled},
	{"handed over", bulletin.HandedOver},
	{"holder time bound", bulletin.HolderTimeBound},
	{"voters differ", bulletin.VotersDiffer},
	{"roster changed", bulletin.RosterChanged},
	{"enrolled", bulletin.Enrolled},
	{"member released", bulletin.MemberReleased},
	{"member not released", bulletin.MemberNotReleased},
	{"copy caught up", bulletin.CopyCaughtUp},
	{"session opened", bulletin.SessionOpened},
	{"session ended", bulletin.SessionEnded},
	{"directory refused", bulletin.DirectoryRefused},
	{"backend registered", bulletin.BackendRegistered},
	{"backend left", bulletin.BackendLeft},
	{"backend overdue", bulletin.BackendOverdue},
	{"backend ejected", bulletin.BackendEjected},
	{"backend returned", bulletin.BackendReturned},
	{"desired accepted", bulletin.DesiredAccepted},
	{"desired refused", bulletin.DesiredRefused},
	{"desired adopted", bulletin.DesiredAdopted},
	{"desired tenure lost", bulletin.DesiredTenureLost},
	{"desired spread", bulletin.DesiredSpread},
	{"difference refused", bulletin.DifferenceRefused},
	{"guard local trip", bulletin.GuardLocalTrip},
	{"guard changed", bulletin.GuardChanged},
	{"guard degraded", bulletin.GuardDegraded},
	{"guard recovered", bulletin.GuardRecovered},
	{"guard write dropped", bulletin.GuardWriteDropped},
	{"guard reported", bulletin.GuardReported},
	{"guard control", bulletin.GuardControl},
	{"request refused", bulletin.RequestRefused},
	{"answer broken seen", bulletin.AnswerBrokenSeen},
	{"identity mismatch", bulletin.IdentityMismatch},
	{"carrier quiet", bulletin.CarrierQuiet},
	{"disk torn tail", bulletin.DiskTornTail},
	{"disk damaged", bulletin.DiskDamaged},
	{"disk full", bulletin.DiskFull},
	{"disk sync failed", bulletin.DiskSyncFailed},
	{"disk slow", bulletin.DiskSlow},
	{"object store trouble", bulletin.ObjectStoreTrouble},
}

// TestSentStrings: strings and flags that are stored or sent are as approved.
func TestSentStrings(t *testing.T) {
	text := &strings.Builder{}
	for _, one := range sentStrings {
		fmt.Fprintf(text, "%s = %q\n", one.label, one.value)
	}
	fmt.Fprintf(text, "frame flag reply = %d\nframe flag fault = %d\n", frame.Reply, frame.Fault)
	requireApproved(t, "strings", text.String())
}

// TestMessageKinds: the numbers of the kinds of messages are as approved, and each kind is listed.
func TestMessageKinds(t *testing.T) {
	text := &strings.Builder{}
	for _, one := range messageKinds {
		fmt.Fprintf(text, "%s = %d\n", one.label, one.value)
	}
	if declared := wire.Kind(0).Descriptor().Values().Len(); declared != len(messageKinds) {
		t.Errorf("%d kinds are declared and %d listed", declared, len(messageKinds))
	}
	requireApproved(t, "kinds", text.String())
}

// TestRefusalCauses: number, name, status and time to come back of each cause are as approved, and each cause is listed.
func TestRefusalCauses(t *testing.T) {
	text := &strings.Builder{}
	for _, one := range refusalCauses {
		fault := seal.New(one.value, seal.NotRun, "")
		fmt.Fprintf(text, "%s = %d %s status %d, retry after %d us, backend's %v\n", one.label, one.value, one.value.Name(), fault.Status(), fault.RetryAfter, fault.Backend)
	}
	if declared := len(seal.Causes()); declared != len(refusalCauses) {
		t.Errorf("%d causes are declared and %d listed", declared, len(refusalCauses))
	}
	requireApproved(t, "causes", text.String())
}

// TestEventNumbers: number and level of each event are as approved, and each event is listed. Texts may change.
func TestEventNumbers(t *testing.T) {
	text := &strings.Builder{}
	for _, one := range eventNumbers {
		fmt.Fprintf(text, "%s = %d %s\n", one.label, one.value, bulletin.Catalogue[one.value].Level)
	}
	if declared := len(bulletin.Catalogue); declared != len(eventNumbers) {
		t.Errorf("%d events are declared and %d listed", declared, len(eventNumbers))
	}
	requireApproved(t, "events", text.String())
}
