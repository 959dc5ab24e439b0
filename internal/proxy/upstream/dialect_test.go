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

// TestResponses checks the transcripts of what means the same in every dialect.
func TestResponses(t *testing.T) { suite().Run(t, "testdata/answers") }

// TestDefaultDialectResponses checks those of snowflow's own dialect alone.
func TestDefaultDialectResponses(t *testing.T) { suite().Run(t, "testdata/own") }
