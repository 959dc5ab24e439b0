package ingress

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/host/machine"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/shutdown"
	"snowflow/internal/transport/wire"
)

type fakeClock struct{}

func (fakeClock) Now() monotonic.Micros { return monotonic.Minute }

// fakeForwarder records the request that it is given, and returns the response or fault.
type fakeForwarder struct {
	forwarded *request.Request
	response  *request.Response
	fault     *apierror.Error
}

func (f *fakeForwarder) Forward(req *request.Request) (*request.Response, *apierror.Error) {
	f.forwarded = req
	return f.response, f.fault
}

func serve(forwarder *fakeForwarder, incoming *http.Request) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	serveTo(recorder, forwarder, incoming, shutdown.NewInFlight(machine.New(nil, nil, nil)))
	return recorder
}

func serveTo(writer http.ResponseWriter, forwarder *fakeForwarder, incoming *http.Request, inFlight *shutdown.InFlight) {
	newHandler(&Handler{
		forwarder:   forwarder,
		clock:       fakeClock{},
		leaderClock: func() *wire.LeaderTimestamp { return &wire.LeaderTimestamp{Epoch: 3, Time: 7} },
		inFlight:    inFlight,
	}).ServeHTTP(writer, incoming)
}

// countingWriter records how many requests were in flight during each write and flush of a response.
type countingWriter struct {
	*httptest.ResponseRecorder
	inFlight *shutdown.InFlight
	counts   []int64
}

func (w *countingWriter) Write(content []byte) (int, error) {
	w.counts = append(w.counts, w.inFlight.Count())
	return w.ResponseRecorder.Write(content)
}

func (w *countingWriter) Flush() { w.counts = append(w.counts, w.inFlight.Count()) }

// TestInFlightUntilWritten guards against a planned stop that cuts off responses while they are written to callers. That happened when a
// request counted as in flight only until its response was available, not until it was written.
func TestInFlightUntilWritten(t *testing.T) {
	for name, test := range map[string]struct {
		forwarder *fakeForwarder
		incoming  *http.Request
	}{
		"a response": {
			&fakeForwarder{response: &request.Response{Status: 200, Body: []byte("done")}},
			httptest.NewRequest(http.MethodGet, "/forms/1", nil),
		},
		"a rejection": {
			&fakeForwarder{fault: apierror.New(apierror.Overloaded, apierror.NotRun, "full")},
			httptest.NewRequest(http.MethodGet, "/forms/1", nil),
		},
		"a body that is too long": {
			&fakeForwarder{},
			httptest.NewRequest(http.MethodPost, "/forms/1", strings.NewReader(strings.Repeat("a", maxBodyBytes+1))),
		},
	} {
		t.Run(name, func(t *testing.T) {
			inFlight := shutdown.NewInFlight(machine.New(nil, nil, nil))
			writer := &countingWriter{ResponseRecorder: httptest.NewRecorder(), inFlight: inFlight}
			serveTo(writer, test.forwarder, test.incoming, inFlight)
			if len(writer.counts) < 2 || slices.Min(writer.counts) != 1 || inFlight.Count() != 0 {
				t.Errorf("in flight during writes and flushes: %v, then %d", writer.counts, inFlight.Count())
			}
		})
	}
}

func TestRequestIsRead(t *testing.T) {
	forwarder := &fakeForwarder{response: &request.Response{Status: 201, Body: []byte("done"), Headers: []*wire.Header{{Name: "X-Own", Value: "1"}}, ConfigVersion: 9}}
	incoming := httptest.NewRequest(http.MethodPost, "/forms/1?q=2", strings.NewReader("body"))
	incoming.Header.Set(request.RequestIDHeader, "id-1")
	incoming.Header.Set(request.IdempotencyKeyHeader, "key-1")
	incoming.Header.Set(request.DeadlineHeader, "500")
	recorder := serve(forwarder, incoming)
	got := forwarder.forwarded
	if got.ID != "id-1" || got.Method != http.MethodPost || got.Target != "/forms/1?q=2" || string(got.Body) != "body" || got.IdempotencyKey != "key-1" {
		t.Errorf("forwarded %+v", got)
	}
	if got.Deadline != monotonic.Minute+500 || got.ReadAt.GetEpoch() != 3 || got.ReadAt.GetTime() != 7 {
		t.Errorf("deadline %d, read at %v", got.Deadline, got.ReadAt)
	}
	if request.HeaderValue(got.Headers, request.RequestIDHeader) != "" || request.HeaderValue(got.Headers, request.DeadlineHeader) != "" {
		t.Errorf("mesh headers were forwarded: %v", got.Headers)
	}
	if recorder.Code != 201 || recorder.Body.String() != "done" || recorder.Header().Get("X-Own") != "1" || recorder.Header().Get("Content-Length") != "4" {
		t.Errorf("responded %d %v %q", recorder.Code, recorder.Header(), recorder.Body)
	}
	if recorder.Header().Get(request.ConfigVersionHeader) != "9" || recorder.Header().Get(request.RequestIDHeader) != "id-1" {
		t.Errorf("headers of the response: %v", recorder.Header())
	}
}

func TestUnusableRequestIDIsReplaced(t *testing.T) {
	for name, id := range map[string]string{"none": "", "too long": strings.Repeat("x", 101)} {
		t.Run(name, func(t *testing.T) {
			forwarder := &fakeForwarder{response: &request.Response{Status: 200}}
			incoming := httptest.NewRequest(http.MethodGet, "/", nil)
			incoming.Header.Set(request.RequestIDHeader, id)
			recorder := serve(forwarder, incoming)
			if got := forwarder.forwarded.ID; got == "" || got == id || recorder.Header().Get(request.RequestIDHeader) != got {
				t.Errorf("request ID %q", got)
			}
		})
	}
}

func TestInvalidDeadlineIsRejected(t *testing.T) {
	for _, value := range []string{"0", "-1", "soon"} {
		t.Run(value, func(t *testing.T) {
			forwarder := &fakeForwarder{}
			incoming := httptest.NewRequest(http.MethodGet, "/", nil)
			incoming.Header.Set(request.DeadlineHeader, value)
			recorder := serve(forwarder, incoming)
			var body ErrorBody
			if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
				t.Fatal(err)
			}
			if forwarder.forwarded != nil || recorder.Code != 400 || body.Cause != uint32(apierror.MalformedRequest) || body.Verdict != string(apierror.NotRun) {
				t.Errorf("responded %d %+v", recorder.Code, body)
			}
		})
	}
}

func TestFaultIsWritten(t *testing.T) {
	fault := apierror.New(apierror.Draining, apierror.NotRun, "stopping")
	fault.RetryAfter = monotonic.Second + 1
	recorder := serve(&fakeForwarder{fault: fault}, httptest.NewRequest(http.MethodGet, "/", nil))
	var body ErrorBody
	if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	if recorder.Code != 503 || body.RetryAfterMicros != int64(fault.RetryAfter) || body.Detail != "stopping" || body.Name != "draining" {
		t.Errorf("responded %d %+v", recorder.Code, body)
	}
	for name, value := range map[string]string{"Retry-After": "2", request.NotExecutedHeader: "1", "Connection": "close", "Content-Type": "application/json"} {
		if got := recorder.Header().Get(name); got != value {
			t.Errorf("%s is %q, not %q", name, got, value)
		}
	}
}

// TestTenantHeadersAreNotForwarded guards against forwarding tenant keys, or tenant names that a caller forged, to backends.
func TestTenantHeadersAreNotForwarded(t *testing.T) {
	forwarder := &fakeForwarder{response: &request.Response{Status: 200}}
	incoming := httptest.NewRequest(http.MethodGet, "/forms/1", nil)
	incoming.Header.Add(request.TenantKeyHeader, "key-1")
	incoming.Header.Add(strings.ToLower(request.TenantKeyHeader), "key-2")
	incoming.Header.Set(request.TenantHeader, "forged")
	incoming.Header.Set("Accept", "text/plain")
	serve(forwarder, incoming)
	if keys := forwarder.forwarded.TenantKeys; !slices.Equal(keys, []string{"key-1", "key-2"}) {
		t.Errorf("tenant keys %q", keys)
	}
	if headers := forwarder.forwarded.Headers; len(headers) != 1 || headers[0].Name != "Accept" {
		t.Errorf("forwarded headers %v", headers)
	}
}
