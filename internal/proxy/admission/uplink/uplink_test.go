package uplink_test

import (
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/uplink"
)

// TestUplink: large answers are admitted as far as the link carries them in time, small ones always, and a link whose rate isn't
// known carries all.
func TestUplink(t *testing.T) {
	const ms = monotonic.Millisecond
	now := monotonic.Minute
	narrow := uplink.New(8) // a megabyte a second
	size, _, admitted := narrow.Admit(now, "packs", 100*ms)
	if !admitted || size != 0 {
		t.Fatalf("before any was seen: %v %v", size, admitted)
	}
	narrow.Done(now, "packs", size, 100_000)
	now += 200 * ms // it's sent
	sizes, admittedCount := []float64{}, 0
	for range 5 {
		if size, wait, admitted := narrow.Admit(now, "packs", 480*ms); admitted {
			sizes, admittedCount = append(sizes, size), admittedCount+1
		} else if wait < 430*ms || wait > 470*ms {
			t.Errorf("told to come back after %d", wait)
		}
	}
	if admittedCount != 3 {
		t.Fatalf("%d of 100 kB admitted within 480 ms", admittedCount)
	}
	if _, _, admitted := narrow.Admit(now, "lookup", ms); !admitted {
		t.Error("a small one was refused")
	}
	for _, size := range sizes {
		narrow.Done(now, "packs", size, 0) // none had an answer
	}
	if _, wait, admitted := narrow.Admit(now, "packs", 480*ms); !admitted || wait != 0 {
		t.Errorf("with nothing under way: %d %v", wait, admitted)
	}
	wide := uplink.New(0)
	for range 1000 {
		if _, _, admitted := wide.Admit(now, "packs", 1); !admitted {
			t.Fatal("a link that isn't counted refused")
		}
		wide.Done(now, "packs", 0, 1<<20)
	}
}
