// Package transcript holds any dialect to approved transcripts of what backends send and what becomes of it. Only tests use it.
package transcript

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/upstream"
	"snowflow/internal/transport/wire"
)

// Suite is a dialect under test.
type Suite struct {
	Dialect upstream.Dialect
	// ResponseHeaders are the header lines that a backend of the dialect writes into every answer to the request, each with its end of
	// line; they stand where a transcript says {marks}. In them {id} is the request's own id.
	ResponseHeaders string
	// OtherHeaders are the header lines of an answer to another request, where a transcript says {other}.
	OtherHeaders string
	// VaryingHeaders are the headers of a request whose values are shown as dots.
	VaryingHeaders []string
}

// script plays a backend: it answers the identity page, then sends its bytes to the first other request of each
// connection and closes, or waits for the next when told to stay.
type fakeBackend struct {
	listener      net.Listener
	identity      string
	response      string
	keepAlive     bool
	formatHeaders func(request *http.Request) string
	lines         chan string
}

func (b *fakeBackend) serve() {
	for number := 1; ; number++ {
		connection, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serveConnection(connection, number)
	}
}

func (b *fakeBackend) serveConnection(connection net.Conn, number int) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		if request.URL.Path == upstream.IdentityPath {
			fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b.identity), b.identity)
			continue
		}
		line := fmt.Sprintf("%s %s on connection %d", request.Method, request.RequestURI, number)
		if len(body) > 0 {
			line += fmt.Sprintf(" with %q", body)
		}
		b.lines <- line + b.formatHeaders(request)
		_, _ = io.WriteString(connection, b.response)
		if !b.keepAlive {
			return
		}
	}
}

// showing lists a request's headers, if it's to.
func (s *Suite) headerFormatter(shown bool) func(request *http.Request) string {
	return func(request *http.Request) string {
		if !shown {
			return ""
		}
		lines := []string{"  Host: " + request.Host}
		for name, values := range request.Header {
			for _, value := range values {
				if slices.Contains(s.VaryingHeaders, name) {
					value = "..."
				}
				lines = append(lines, "  "+name+": "+value)
			}
		}
		slices.Sort(lines)
		return "\n" + strings.Join(lines, "\n")
	}
}

// Run plays a file of transcripts.
func (s *Suite) Run(t *testing.T, path string) {
	t.Helper()
	responseHeaders := strings.ReplaceAll(s.ResponseHeaders, "{id}", "ask")
	escapes := strings.NewReplacer(`\r`, "\r", `\n`, "\n", "\n", "", "{marks}", responseHeaders, "{other}", s.OtherHeaders)
	datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		backend := &fakeBackend{listener: listener, identity: `{"service":"forms","instance":"one"}`, response: escapes.Replace(data.Input), lines: make(chan string, 16)}
		method, times, leaving, once, headers, body, dialect, reuse := "GET", 1, false, false, false, "", s.Dialect, ""
		if name := ""; data.MaybeScanArgs(t, "identity", &name) {
			backend.identity = fmt.Sprintf(`{"service":"forms","instance":%q}`, name)
		}
		data.MaybeScanArgs(t, "method", &method)
		data.MaybeScanArgs(t, "times", &times)
		data.MaybeScanArgs(t, "leaving", &leaving)
		data.MaybeScanArgs(t, "once", &once)
		data.MaybeScanArgs(t, "headers", &headers)
		data.MaybeScanArgs(t, "body", &body)
		data.MaybeScanArgs(t, "stay", &backend.keepAlive)
		if data.MaybeScanArgs(t, "reuse", &reuse) {
			if dialect.MaxIdleForOnce, err = time.ParseDuration(reuse); err != nil {
				t.Fatal(err)
			}
		}
		backend.formatHeaders = s.headerFormatter(headers)
		go backend.serve()
		if data.Cmd == "gone" {
			_ = listener.Close()
		}
		clock := monotonic.NewSystemClock()
		transport := upstream.New(clock, dialect)
		var text strings.Builder
		for number := range times {
			response, fault := transport.RoundTrip(admission.BackendRequest{ID: fmt.Sprintf("ask.%d", number+1), Method: method, Target: "/forms/7?page=2", Body: []byte(body),
				Headers: []*wire.Header{{Name: "Host", Value: "forms.example"}, {Name: "Accept", Value: "*/*"}}, Deadline: clock.Now() + 300*monotonic.Millisecond,
				ResponseLimit: 64, FreshConnection: once, Backend: localbackends.Backend{Service: "forms", Instance: "one", Address: listener.Addr().String()},
				BeforeSend: func() *apierror.Fault {
					if leaving {
						return apierror.New(apierror.BackendLeaving, apierror.NotRun, "leaving")
					}
					return nil
				}})
			if fault != nil {
				fmt.Fprintf(&text, "%d %s %s, the backend's: %v\n", fault.Status(), fault.Cause.Name(), fault.Verdict, fault.Backend)
				continue
			}
			fmt.Fprintf(&text, "answer %d %q", response.Status, response.Body)
			if response.NotRun {
				text.WriteString(", not run")
			}
			text.WriteString("\n")
		}
		for len(backend.lines) > 0 {
			fmt.Fprintf(&text, "backend got %s\n", <-backend.lines)
		}
		return text.String()
	})
}
