package uplink_test

import (
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/uplink"
)

// TestUplink: large responses are admitted as far as the link sends them in time, small ones always, and a link without a limit admits
// all.
func TestUplink(t *testing.T) {
	const ms = monotonic.Millisecond
	now := monotonic.Minute
	narrow := uplink.New(8) // a megabyte a second
	size, _, admitted := narrow.Admit(now, "packs", 100*ms)
	if !admitted || size != 0 {
		t.Fatalf("before any response: %v %v", size, admitted)
	}
	narrow.Done(now, "packs", size, 100_000)
	now += 200 * ms // the link is free again
	sizes, admittedCount := []float64{}, 0
	for range 5 {
		if size, wait, admitted := narrow.Admit(now, "packs", 480*ms); admitted {
			sizes, admittedCount = append(sizes, size), admittedCount+1
		} else if wait < 430*ms || wait > 470*ms {
			t.Errorf("to be retried after %d", wait)
		}
	}
	if admittedCount != 3 {
		t.Fatalf("%d of 100 kB admitted within 480 ms", admittedCount)
	}
	if _, _, admitted := narrow.Admit(now, "lookup", ms); !admitted {
		t.Error("a small response was rejected")
	}
	for _, size := range sizes {
		narrow.Done(now, "packs", size, 0) // without responses
	}
	if _, wait, admitted := narrow.Admit(now, "packs", 480*ms); !admitted || wait != 0 {
		t.Errorf("with nothing in flight: %d %v", wait, admitted)
	}
	wide := uplink.New(0)
	for range 1000 {
		if _, _, admitted := wide.Admit(now, "packs", 1); !admitted {
			t.Fatal("a link without a limit rejected a response")
		}
		wide.Done(now, "packs", 0, 1<<20)
	}
}
