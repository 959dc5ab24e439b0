package compatibility

import (
	"fmt"
	"strings"
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/config/changes"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/api"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/eventlog"
	"snowflow/internal/proxy/breaker"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/upstream"
	"snowflow/internal/registry"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/registry/idempotency"
	"snowflow/internal/snowctl/doctor"
	"snowflow/internal/transport/frame"
	"snowflow/internal/transport/wire"
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
	{"key granted", idempotency.Granted},
	{"key held", idempotency.Held},
	{"key with another body", idempotency.OtherBody},
	{"key voided", idempotency.Voided},
	{"key fenced", idempotency.Fenced},
	{"key claimed", idempotency.Claimed},
	{"breaker closed", breakerstore.Closed},
	{"breaker open", breakerstore.Open},
	{"breaker half open", breakerstore.HalfOpen},
	{"backend alive", localbackends.Alive},
	{"backend working", localbackends.Working},
	{"backend leaving", localbackends.Leaving},
	{"control none", breaker.ControlNone},
	{"control force open", breaker.ControlForceOpen},
	{"control disable", breaker.ControlDisable},
	{"control metrics only", breaker.ControlMetricsOnly},
	{"verdict not run", string(apierror.NotRun)},
	{"verdict may have run", string(apierror.MayHaveRun)},
	{"path of a backend's identity", upstream.IdentityPath},
	{"query expected", api.ExpectedQuery},
	{"query request", api.RequestQuery},
	{"query from", api.FromQuery},
	{"query to", api.ToQuery},
	{"resource route", changes.KindRoute},
	{"resource service", changes.KindService},
	{"resource path", changes.KindPath},
	{"finding well", doctor.Well},
	{"finding watch", doctor.Watch},
	{"finding ill", doctor.Ill},
}

// kinds of messages between processes.
var messageKinds = []labelled[wire.Kind]{
	{"kind unset", wire.Kind_kind_unset},
	{"whois", wire.Kind_discover},
	{"register read", wire.Kind_register_read},
	{"register promise", wire.Kind_prepare},
	{"register accept", wire.Kind_accept},
	{"tenure ask", wire.Kind_lease},
	{"replicate", wire.Kind_replicate},
	{"install", wire.Kind_install_snapshot},
	{"handover", wire.Kind_handover},
	{"sessions tell", wire.Kind_sessions},
	{"enroll", wire.Kind_join},
	{"sorter poll", wire.Kind_registry_poll},
	{"claim", wire.Kind_claim},
	{"void", wire.Kind_void_claim},
	{"claim settle", wire.Kind_complete_claim},
	{"probe lease", wire.Kind_probe_lease},
	{"guard write", wire.Kind_breaker_write},
	{"duty", wire.Kind_singleton_lease},
	{"sorter status", wire.Kind_registry_status},
	{"sorter batch", wire.Kind_registry_batch},
	{"desired poll", wire.Kind_config_poll},
	{"desired apply", wire.Kind_config_apply},
	{"desired read", wire.Kind_config_read},
	{"postmaster status", wire.Kind_configstore_status},
	{"pass", wire.Kind_forward},
	{"recall", wire.Kind_replay},
	{"pass bulk", wire.Kind_forward_bulk},
	{"pass cancel", wire.Kind_forward_cancel},
}

// causes of refusals, which callers are told.
var refusalCauses = []labelled[apierror.Cause]{
	{"no key", apierror.NoKey},
	{"unknown path", apierror.UnknownPath},
	{"body too large", apierror.BodyTooLarge},
	{"other body", apierror.OtherBody},
	{"unreadable", apierror.Unreadable},
	{"not ready", apierror.NotReady},
	{"tenure ended", apierror.TenureEnded},
	{"draining", apierror.Draining},
	{"stopped under way", apierror.StoppedUnderWay},
	{"guard open", apierror.GuardOpen},
	{"no probe", apierror.NoProbe},
	{"no backend", apierror.NoBackend},
	{"overloaded", apierror.Overloaded},
	{"budget spent", apierror.BudgetSpent},
	{"cutoff reached", apierror.CutoffReached},
	{"pass unreachable", apierror.PassUnreachable},
	{"pass lost", apierror.PassLost},
	{"serial older", apierror.SerialOlder},
	{"serial behind", apierror.SerialBehind},
	{"backend leaving", apierror.BackendLeaving},
	{"backend unknown", apierror.BackendUnknown},
	{"backend dial", apierror.BackendDial},
	{"backend identity", apierror.BackendIdentity},
	{"backend ailing", apierror.BackendAiling},
	{"answer broken", apierror.AnswerBroken},
	{"answer too large", apierror.AnswerTooLarge},
	{"answer late", apierror.AnswerLate},
	{"not executed", apierror.NotExecuted},
	{"answer unmatched", apierror.AnswerUnmatched},
	{"key held", apierror.KeyHeld},
	{"claim unreachable", apierror.ClaimUnreachable},
	{"key fenced", apierror.KeyFenced},
	{"claim late", apierror.ClaimLate},
	{"answer gone", apierror.AnswerGone},
	{"caller left", apierror.CallerLeft},
}

// numbers of events, which operators' alarms and queries of logs go by.
var eventNumbers = []labelled[int]{
	{"process started", eventlog.ProcessStarted},
	{"process stopped", eventlog.ProcessStopped},
	{"process draining", eventlog.ProcessDraining},
	{"process drained", eventlog.ProcessDrained},
	{"malformed frame", eventlog.MalformedFrame},
	{"connection lost", eventlog.ConnectionLost},
	{"frozen", eventlog.Frozen},
	{"clock stepped", eventlog.ClockStepped},
	{"took over", eventlog.TookOver},
	{"settled", eventlog.Settled},
	{"stepped down", eventlog.SteppedDown},
	{"backup lost", eventlog.BackupLost},
	{"voter joined", eventlog.VoterJoined},
	{"genesis", eventlog.Genesis},
	{"copy installed", eventlog.CopyInstalled},
	{"handed over", eventlog.HandedOver},
	{"holder time bound", eventlog.HolderTimeBound},
	{"voters differ", eventlog.VotersDiffer},
	{"roster changed", eventlog.RosterChanged},
	{"enrolled", eventlog.Enrolled},
	{"member released", eventlog.MemberReleased},
	{"member not released", eventlog.MemberNotReleased},
	{"copy caught up", eventlog.CopyCaughtUp},
	{"session opened", eventlog.SessionOpened},
	{"session ended", eventlog.SessionEnded},
	{"directory refused", eventlog.DirectoryRefused},
	{"backend registered", eventlog.BackendRegistered},
	{"backend left", eventlog.BackendLeft},
	{"backend overdue", eventlog.BackendOverdue},
	{"backend ejected", eventlog.BackendEjected},
	{"backend returned", eventlog.BackendReturned},
	{"desired accepted", eventlog.DesiredAccepted},
	{"desired refused", eventlog.DesiredRefused},
	{"desired adopted", eventlog.DesiredAdopted},
	{"desired tenure lost", eventlog.DesiredTenureLost},
	{"desired spread", eventlog.DesiredSpread},
	{"difference refused", eventlog.DifferenceRefused},
	{"guard local trip", eventlog.GuardLocalTrip},
	{"guard changed", eventlog.GuardChanged},
	{"guard degraded", eventlog.GuardDegraded},
	{"guard recovered", eventlog.GuardRecovered},
	{"guard write dropped", eventlog.GuardWriteDropped},
	{"guard reported", eventlog.GuardReported},
	{"guard control", eventlog.GuardControl},
	{"request refused", eventlog.RequestRefused},
	{"answer broken seen", eventlog.AnswerBrokenSeen},
	{"identity mismatch", eventlog.IdentityMismatch},
	{"carrier quiet", eventlog.CarrierQuiet},
	{"disk torn tail", eventlog.DiskTornTail},
	{"disk damaged", eventlog.DiskDamaged},
	{"disk full", eventlog.DiskFull},
	{"disk sync failed", eventlog.DiskSyncFailed},
	{"disk slow", eventlog.DiskSlow},
	{"object store trouble", eventlog.ObjectStoreTrouble},
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
		fault := apierror.New(one.value, apierror.NotRun, "")
		fmt.Fprintf(text, "%s = %d %s status %d, retry after %d us, backend's %v\n", one.label, one.value, one.value.Name(), fault.Status(), fault.RetryAfter, fault.Backend)
	}
	if declared := len(apierror.Causes()); declared != len(refusalCauses) {
		t.Errorf("%d causes are declared and %d listed", declared, len(refusalCauses))
	}
	requireApproved(t, "causes", text.String())
}

// TestEventNumbers: number and level of each event are as approved, and each event is listed. Texts may change.
func TestEventNumbers(t *testing.T) {
	text := &strings.Builder{}
	for _, one := range eventNumbers {
		fmt.Fprintf(text, "%s = %d %s\n", one.label, one.value, eventlog.Catalogue[one.value].Level)
	}
	if declared := len(eventlog.Catalogue); declared != len(eventNumbers) {
		t.Errorf("%d events are declared and %d listed", declared, len(eventNumbers))
	}
	requireApproved(t, "events", text.String())
}
