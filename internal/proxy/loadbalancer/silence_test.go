package loadbalancer

import (
	"testing"

	"snowflow/internal/monotonic"
)

// TestSilenceDetector: a proxy with an attempt in flight is probed once it has been silent for the timeout, and is unresponsive
// only if it doesn't pass the probe in time.
func TestSilenceDetector(t *testing.T) {
	start := monotonic.Minute
	detector := newSilenceDetector(700 * ms)
	first := detector.begin("b", "address-b", start)
	detector.begin("a", "address-a", start)
	if silent := detector.beginProbes(start + 699*ms); len(silent) != 0 {
		t.Errorf("%d probes before the timeout", len(silent))
	}
	silent := detector.beginProbes(start + 700*ms)
	if len(silent) != 2 || silent[0].address != "address-a" || silent[1].address != "address-b" {
		t.Fatalf("probes of %v", silent)
	}
	if again := detector.beginProbes(start + 800*ms); len(again) != 0 {
		t.Errorf("%d more probes while they are in flight", len(again))
	}
	silent[0].endProbe(true, start+750*ms)
	if until := start + 950*ms; detector.isUnresponsive("a", until) || !detector.isUnresponsive("b", until) || detector.isUnresponsive("b", until-1) {
		t.Error("a passed its probe but is unresponsive, or b isn't unresponsive from exactly 950 ms on")
	}
	silent[1].endProbe(false, start+1200*ms)
	if again := detector.beginProbes(start + 1200*ms); len(again) != 1 || again[0] != first {
		t.Errorf("%d probes after a failed one, want one of b", len(again))
	}
	detector.end("b", first, start+1300*ms)
	if len(detector.pending) != 1 || detector.isUnresponsive("b", start+2*monotonic.Second) {
		t.Error("a proxy without attempts in flight is still tracked")
	}
}
