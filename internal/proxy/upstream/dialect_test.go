package upstream_test

import (
	"testing"

	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/upstream"
	"snowflow/internal/proxy/upstream/transcript"
)

func suite() *transcript.Suite {
	return &transcript.Suite{
		Dialect:      upstream.DefaultDialect(),
		IDHeader:     request.RequestIDHeader,
		OtherHeaders: "X-Snowflow-Request: other.1\r\n",
	}
}

// TestResponses checks the transcripts whose outcome is the same in every dialect.
func TestResponses(t *testing.T) { suite().Run(t, "testdata/answers") }

// TestDefaultDialectResponses checks the transcripts that apply only to snowflow's own dialect.
func TestDefaultDialectResponses(t *testing.T) { suite().Run(t, "testdata/own") }
