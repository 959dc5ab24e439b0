package standin

import (
	"bytes"
	"encoding/json"
	"hash/crc32"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"go.uber.org/atomic"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/ingress"
	"snowflow/internal/proxy/request"
	"snowflow/internal/rehearse/fleet"
)

// Headers that backends set on their responses and callers check.
const (
	EchoHeader     = "X-Standin-Attempt"  // the ID of the attempt that the response belongs to
	ChecksumHeader = "X-Standin-Sum"      // the checksum of the body
	InstanceHeader = "X-Standin-Instance" // the backend's instance
)

// Checksum returns the value of ChecksumHeader for a body.
func Checksum(content []byte) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE(content)), 16)
}

// sender sends requests to proxies and records their results.
type sender struct {
	client  *http.Client
	history *invariants.History
	clock   monotonic.Clock
}

// send sends one attempt to a proxy, waits for the response, and records the result in the attempt.
func (s *sender) send(process *fleet.Process, attempt *invariants.Attempt, body []byte) {
	s.history.RecordAttempt(attempt)
	req, err := http.NewRequest(attempt.Method, "http://"+process.CallerAddress+attempt.Path, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set(request.RequestIDHeader, attempt.ID)
	if attempt.Key != "" {
		req.Header.Set(request.IdempotencyKeyHeader, attempt.Key)
	}
	if attempt.TenantKey != "" {
		req.Header.Set(request.TenantKeyHeader, attempt.TenantKey)
	}
	var wrote, reused atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { reused.Store(info.Reused) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { wrote.Store(info.Err == nil) },
	}
	response, err := s.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	var content []byte
	if err == nil {
		content, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	ended := s.clock.Now()
	killed := process.Killed()
	s.history.Update(func() {
		attempt.Ended = ended
		if err != nil {
			attempt.TransportError = "lost"
			// A proxy may close a reused connection before it has read anything of the next request.
			attempt.ReadByProxy = wrote.Load() && !reused.Load() && !killed && ended-attempt.Sent < monotonic.FromDuration(s.client.Timeout)
			return
		}
		recordResponse(attempt, response, content)
	})
}

// recordResponse records a response in its attempt. A response without EchoHeader comes from the mesh itself.
func recordResponse(attempt *invariants.Attempt, response *http.Response, content []byte) {
	attempt.Status = response.StatusCode
	attempt.RetryAfterSet = response.Header.Get("Retry-After") != ""
	attempt.Version, _ = strconv.ParseUint(response.Header.Get(request.ConfigVersionHeader), 10, 64)
	attempt.Instance = response.Header.Get(InstanceHeader)
	attempt.Echo = response.Header.Get(EchoHeader)
	attempt.Sum = Checksum(content)
	attempt.Complete = response.Header.Get(ChecksumHeader) == attempt.Sum
	if attempt.Echo != "" {
		return
	}
	var rejection ingress.ErrorBody
	if json.Unmarshal(content, &rejection) == nil && rejection.Cause > 0 {
		attempt.RejectedByMesh, attempt.Cause, attempt.NotRun = true, int(rejection.Cause), rejection.Verdict == "not_run"
	}
}
