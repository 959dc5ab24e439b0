package upstream_test

import (
	"testing"

	"snowflow/internal/proxy/upstream"
	"snowflow/internal/proxy/upstream/transcript"
)

func suite() *transcript.Suite {
	return &transcript.Suite{Dialect: upstream.Own(), Other: "X-Snowflow-Request: other.1\r\n"}
}

// TestAnswers keeps transcripts of what means the same in every dialect.
func TestAnswers(t *testing.T) { suite().Run(t, "testdata/answers") }

// TestOwnAnswers keeps those that only this product's own dialect has.
func TestOwnAnswers(t *testing.T) { suite().Run(t, "testdata/own") }
