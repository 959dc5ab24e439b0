package uplink_test

import (
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/uplink"
)

// TestUplink checks that large responses are admitted only as far as the link can send them in time, that small ones are always
// admitted, and that a link without a limit admits all.
func TestUplink(t *testing.T) {
	const ms = monotonic.Millisecond
	now := monotonic.Minute
	narrow := uplink.New(8) // one megabyte per second
	size, _, admitted := narrow.Admit(now, "packs", 100*ms)
	if !admitted || size != 0 {
		t.Fatalf("before any response: size %v, admitted %v", size, admitted)
	}
	narrow.Done(now, "packs", size, 100_000)
	now += 200 * ms // the link is free again
	sizes, admittedCount := []float64{}, 0
	for range 5 {
		if size, wait, admitted := narrow.Admit(now, "packs", 480*ms); admitted {
			sizes, admittedCount = append(sizes, size), admittedCount+1
		} else if wait < 430*ms || wait > 470*ms {
			t.Errorf("a wait of %d us until the link is free", wait)
		}
	}
	if admittedCount != 3 {
		t.Fatalf("%d responses of 100 kB admitted within 480 ms", admittedCount)
	}
	if _, _, admitted := narrow.Admit(now, "lookup", ms); !admitted {
		t.Error("a small response was rejected")
	}
	for _, size := range sizes {
		narrow.Done(now, "packs", size, 0) // the request ended without a response
	}
	if _, wait, admitted := narrow.Admit(now, "packs", 480*ms); !admitted || wait != 0 {
		t.Errorf("with nothing in flight: wait %d, admitted %v", wait, admitted)
	}
	wide := uplink.New(0)
	for range 1000 {
		if _, _, admitted := wide.Admit(now, "packs", 1); !admitted {
			t.Fatal("a link without a limit rejected a response")
		}
		wide.Done(now, "packs", 0, 1<<20)
	}
}
