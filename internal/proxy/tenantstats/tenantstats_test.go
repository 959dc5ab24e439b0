package tenantstats

import (
	"fmt"
	"testing"
)

// TestReportIsBounded checks for various numbers of tenants that a bounded number is reported by name in descending order, and that the
// report includes all requests.
func TestReportIsBounded(t *testing.T) {
	for _, count := range []int{0, 1, maxReported, maxReported + 1, maxCounted + 500} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			counters, requests := New(), uint64(0)
			for number := range count {
				for range 1 + number%3 {
					counters.CountRequest(fmt.Sprint("tenant-", number), number%2 == 0)
					requests++
				}
			}
			report, sum, previous := counters.Report(), uint64(0), ^uint64(0)
			for _, counts := range report.Largest {
				if counts.Requests > previous {
					t.Errorf("%v follows a tenant with %d requests", counts, previous)
				}
				previous = counts.Requests
				sum += counts.Requests
			}
			if len(report.Largest) != min(count, maxReported) || len(counters.tenants) > maxCounted || sum+report.Rest.Requests != requests {
				t.Errorf("%d tenants reported, %d counted; %d requests by tenant and %d in the rest, want %d in total", len(report.Largest), len(counters.tenants), sum, report.Rest.Requests, requests)
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	counters := New()
	counters.CountRefusal(UnknownKey)
	counters.CountRefusal(UnknownKey)
	counters.CountRefusal(LeaseExpired)
	if report := counters.Report(); report.Refused[UnknownKey] != 2 || report.Refused[LeaseExpired] != 1 || report.Refused[NoKey] != 0 {
		t.Errorf("%+v", report.Refused)
	}
}
