package wire

import (
	"encoding/json"
	"testing"

	"google.golang.org/protobuf/proto"
)

// TestStatusKeys checks that encoding and decoding use the keys that the status pages had before message fields were renamed.
func TestStatusKeys(t *testing.T) {
	for _, one := range []struct {
		name    string
		message proto.Message
		empty   proto.Message
		content string
	}{
		{"session", &Session{Proxy: "p", Incarnation: 1, Heartbeat: 2, ConfigVersion: 3, Backends: []*Backend{{Service: "s", SlowStart: 4}}}, &Session{},
			`{"backends":[{"service":"s","warm":4}],"beat":2,"carrier":"p","desired_serial":3,"incarnation":1}`},
		{"breaker record", &BreakerRecord{Service: "s", Version: 1, ProbeLeases: []*ProbeLease{{Id: "i", Proxy: "p", Until: 2}},
			ProbeResults: []*ProbeResult{{Id: "i", Proxy: "p"}}, EnteredAt: 3, ExpiresAt: 4, RoundCompletedAt: 5, Reports: []*TripReport{{Proxy: "p", At: 6}},
			Settings: &BreakerSettings{ProbeLease: 7, WaitOpen: 8}, Shares: []*ProbeShare{{Proxy: "p", Granted: 9}}}, &BreakerRecord{},
			`{"entered":3,"expires":4,"probes":[{"carrier":"p","id":"i","until":2}],"reports":[{"at":6,"carrier":"p"}],"round_complete":5,"serial":1,"service":"s",` +
				`"shares":[{"carrier":"p","granted":9}],"tallies":[{"carrier":"p","id":"i"}],"terms":{"probe_tenure":7,"wait_open":8}}`},
		{"singleton lease", &SingletonLeaseRecord{Role: "r", Proxy: "p", Until: 1, Instance: "i"}, &SingletonLeaseRecord{},
			`{"carrier":"p","duty":"r","instance":"i","until":1}`},
	} {
		t.Run(one.name, func(t *testing.T) {
			content, err := json.Marshal(one.message)
			if err != nil || string(content) != one.content {
				t.Errorf("written as %s, %v", content, err)
			}
			if err := json.Unmarshal([]byte(one.content), one.empty); err != nil || !proto.Equal(one.empty, one.message) {
				t.Errorf("read as %v, %v", one.empty, err)
			}
		})
	}
}
