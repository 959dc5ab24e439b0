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

// The labels in this file are part of the approved files. They don't change when the constants beside them are renamed.

// labelled is a value with its label in an approved file.
type labelled[T any] struct {
	label string
	value T
}

// sentStrings are strings that are stored or exchanged between processes.
var sentStrings = []labelled[string]{
	{"group of configuration stores", configstore.Group},
	{"group of registries", registry.Group},
	{"apply accepted", versions.Accepted},
	{"apply conflict", versions.Conflict},
	{"apply invalid", versions.Invalid},
	{"apply base unknown", versions.BaseUnknown},
	{"key granted", idempotency.Granted},
	{"key held", idempotency.Pending},
	{"key with another body", idempotency.BodyMismatch},
	{"key not admitted", idempotency.NotAdmitted},
	{"key voided", idempotency.Voided},
	{"key fenced", idempotency.Fenced},
	{"key claimed", idempotency.Claimed},
	{"breaker closed", breakerstore.Closed},
	{"breaker open", breakerstore.Open},
	{"breaker half open", breakerstore.HalfOpen},
	{"backend alive", localbackends.Alive},
	{"backend working", localbackends.Working},
	{"backend leaving", localbackends.Leaving},
	{"control none", string(breaker.ControlNone)},
	{"control force open", string(breaker.ControlForceOpen)},
	{"control disable", string(breaker.ControlDisable)},
	{"control metrics only", string(breaker.ControlMetricsOnly)},
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
	{"finding well", doctor.Healthy},
	{"finding watch", doctor.Warning},
	{"finding ill", doctor.Unhealthy},
}

// messageKinds are the kinds of messages between processes.
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

// rejectionCauses are the causes of rejections, which responses to callers contain.
var rejectionCauses = []labelled[apierror.Cause]{
	{"no key", apierror.MissingKey},
	{"unknown path", apierror.UnknownPath},
	{"body too large", apierror.BodyTooLarge},
	{"other body", apierror.BodyMismatch},
	{"unreadable", apierror.MalformedRequest},
	{"unauthenticated", apierror.Unauthenticated},
	{"not ready", apierror.NotReady},
	{"tenure ended", apierror.ConfigLeaseExpired},
	{"draining", apierror.Draining},
	{"stopped under way", apierror.StoppedInFlight},
	{"key lease expired", apierror.KeyLeaseExpired},
	{"guard open", apierror.BreakerOpen},
	{"no probe", apierror.NoProbeLeft},
	{"no backend", apierror.NoBackend},
	{"overloaded", apierror.Overloaded},
	{"budget spent", apierror.RetryBudgetExhausted},
	{"cutoff reached", apierror.DeadlineExceeded},
	{"pass unreachable", apierror.ForwardUnreachable},
	{"pass lost", apierror.ForwardLost},
	{"serial older", apierror.VersionOlder},
	{"serial behind", apierror.VersionNewer},
	{"backend leaving", apierror.BackendLeaving},
	{"backend unknown", apierror.BackendUnknown},
	{"backend dial", apierror.BackendDialFailed},
	{"backend identity", apierror.BackendIdentityMismatch},
	{"backend ailing", apierror.BackendUnhealthy},
	{"answer broken", apierror.ResponseBroken},
	{"answer too large", apierror.ResponseTooLarge},
	{"answer late", apierror.ResponseTimeout},
	{"not executed", apierror.NotExecuted},
	{"answer unmatched", apierror.ResponseMismatch},
	{"key held", apierror.KeyPending},
	{"claim unreachable", apierror.ClaimUnreachable},
	{"key fenced", apierror.KeyFenced},
	{"claim late", apierror.ClaimTimeout},
	{"answer gone", apierror.ResponseExpired},
	{"caller left", apierror.ClientClosed},
}

// eventNumbers are the numbers of events, which operators' alarms and log queries depend on.
var eventNumbers = []labelled[int]{
	{"process started", eventlog.ProcessStarted},
	{"process stopped", eventlog.ProcessStopped},
	{"process draining", eventlog.ProcessDraining},
	{"process drained", eventlog.ProcessDrained},
	{"malformed frame", eventlog.MalformedFrame},
	{"connection lost", eventlog.ConnectionLost},
	{"frozen", eventlog.ProcessStalled},
	{"clock stepped", eventlog.ClockSteppedBack},
	{"took over", eventlog.BecamePrimary},
	{"settled", eventlog.PrimaryReady},
	{"stepped down", eventlog.SteppedDown},
	{"backup lost", eventlog.BackupLost},
	{"voter joined", eventlog.VoterJoined},
	{"genesis", eventlog.GroupBootstrapped},
	{"copy installed", eventlog.SnapshotInstalled},
	{"handed over", eventlog.LeadershipTransferred},
	{"holder time bound", eventlog.LeaderClockBounded},
	{"voters differ", eventlog.VotersDiffer},
	{"roster changed", eventlog.MembershipChanged},
	{"enrolled", eventlog.VoterEnrolled},
	{"member released", eventlog.MemberReleased},
	{"member not released", eventlog.MemberNotReleased},
	{"copy caught up", eventlog.ReplicaCaughtUp},
	{"session opened", eventlog.SessionOpened},
	{"session ended", eventlog.SessionEnded},
	{"directory refused", eventlog.DirectoryUpdateRejected},
	{"backend registered", eventlog.BackendRegistered},
	{"backend left", eventlog.BackendLeft},
	{"backend overdue", eventlog.BackendHeartbeatOverdue},
	{"backend ejected", eventlog.BackendEjected},
	{"backend returned", eventlog.BackendReinstated},
	{"desired accepted", eventlog.ConfigAccepted},
	{"desired refused", eventlog.ConfigRejected},
	{"desired adopted", eventlog.ConfigAdopted},
	{"desired tenure lost", eventlog.ConfigLeaseExpired},
	{"desired spread", eventlog.ConfigPropagated},
	{"difference refused", eventlog.DeltaRejected},
	{"key lease expired", eventlog.KeyLeaseExpired},
	{"guard local trip", eventlog.BreakerTrippedLocally},
	{"guard changed", eventlog.BreakerStateChanged},
	{"guard degraded", eventlog.BreakerDegraded},
	{"guard recovered", eventlog.BreakerRecovered},
	{"guard write dropped", eventlog.BreakerWriteDropped},
	{"guard reported", eventlog.BreakerTripReported},
	{"guard control", eventlog.BreakerManualControl},
	{"request refused", eventlog.RequestRejected},
	{"answer broken seen", eventlog.ResponseBroken},
	{"identity mismatch", eventlog.IdentityMismatch},
	{"carrier quiet", eventlog.PeerProxySilent},
	{"disk torn tail", eventlog.DiskTornTail},
	{"disk damaged", eventlog.DiskCorrupted},
	{"disk full", eventlog.DiskFull},
	{"disk sync failed", eventlog.DiskSyncFailed},
	{"disk slow", eventlog.DiskSlow},
	{"object store trouble", eventlog.ObjectStoreFailed},
}

// TestSentStrings checks that strings and flags that are stored or sent are as approved.
func TestSentStrings(t *testing.T) {
	text := &strings.Builder{}
	for _, item := range sentStrings {
		fmt.Fprintf(text, "%s = %q\n", item.label, item.value)
	}
	fmt.Fprintf(text, "frame flag reply = %d\nframe flag fault = %d\n", frame.Reply, frame.Fault)
	requireApproved(t, "strings", text.String())
}

// TestMessageKinds checks that the numbers of message kinds are as approved, and that every kind is listed.
func TestMessageKinds(t *testing.T) {
	text := &strings.Builder{}
	for _, item := range messageKinds {
		fmt.Fprintf(text, "%s = %d\n", item.label, item.value)
	}
	if declared := wire.Kind(0).Descriptor().Values().Len(); declared != len(messageKinds) {
		t.Errorf("%d kinds are declared, but %d are listed", declared, len(messageKinds))
	}
	requireApproved(t, "kinds", text.String())
}

// TestRejectionCauses checks that the number, name, status and retry time of each cause are as approved, and that every cause is listed.
func TestRejectionCauses(t *testing.T) {
	text := &strings.Builder{}
	for _, item := range rejectionCauses {
		fault := apierror.New(item.value, apierror.NotRun, "")
		fmt.Fprintf(text, "%s = %d %s status %d, retry after %d us, backend's %v\n", item.label, item.value, item.value.Name(), fault.Status(), fault.RetryAfter, fault.Backend)
	}
	if declared := len(apierror.Causes()); declared != len(rejectionCauses) {
		t.Errorf("%d causes are declared, but %d are listed", declared, len(rejectionCauses))
	}
	requireApproved(t, "causes", text.String())
}

// TestEventNumbers checks that the number and level of each event are as approved, and that every event is listed. Texts may change.
func TestEventNumbers(t *testing.T) {
	text := &strings.Builder{}
	for _, item := range eventNumbers {
		fmt.Fprintf(text, "%s = %d %s\n", item.label, item.value, eventlog.Catalogue[item.value].Level)
	}
	if declared := len(eventlog.Catalogue); declared != len(eventNumbers) {
		t.Errorf("%d events are declared, but %d are listed", declared, len(eventNumbers))
	}
	requireApproved(t, "events", text.String())
}
