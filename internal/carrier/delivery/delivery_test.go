package delivery_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"snowflow/internal/carrier/delivery"
	"snowflow/internal/carrier/gate"
	"snowflow/internal/carrier/hutch"
	"snowflow/internal/postmark"
	"snowflow/internal/seal"
)

// script plays a backend: it answers the identity page, then sends its bytes to the first other request of each
// connection and closes, or waits for the next when told to stay.
type script struct {
	listener net.Listener
	identity string
	answer   string
	stay     bool
	lines    chan string
}

func (script *script) serve() {
	for {
		connection, err := script.listener.Accept()
		if err != nil {
			return
		}
		go script.talk(connection)
	}
}

func (script *script) talk(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path == delivery.IdentityPath {
			fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(script.identity), script.identity)
			continue
		}
		script.lines <- request.Method + " " + request.RequestURI
		_, _ = io.WriteString(connection, script.answer)
		if !script.stay {
			return
		}
	}
}

var escapes = strings.NewReplacer(`\r`, "\r", `\n`, "\n", "\n", "")

// TestAnswers keeps transcripts of what backends send and what becomes of it.
func TestAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/answers", func(t *testing.T, data *datadriven.TestData) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		backend := &script{listener: listener, identity: `{"service":"forms","instance":"one"}`, answer: escapes.Replace(data.Input), lines: make(chan string, 16)}
		method, times, leaving, once := "GET", 1, false, false
		if name := ""; data.MaybeScanArgs(t, "identity", &name) {
			backend.identity = fmt.Sprintf(`{"service":"forms","instance":%q}`, name)
		}
		data.MaybeScanArgs(t, "method", &method)
		data.MaybeScanArgs(t, "times", &times)
		data.MaybeScanArgs(t, "leaving", &leaving)
		data.MaybeScanArgs(t, "once", &once)
		data.MaybeScanArgs(t, "stay", &backend.stay)
		go backend.serve()
		if data.Cmd == "gone" {
			_ = listener.Close()
		}
		clock := postmark.NewMachine()
		courier := delivery.New(clock, delivery.Own())
		var text strings.Builder
		for number := range times {
			answer, fault := courier.Deliver(gate.Order{ID: fmt.Sprintf("ask.%d", number+1), Method: method, Target: "/forms/7?page=2", Cutoff: clock.Now() + 300*postmark.Millisecond,
				AnswerLimit: 64, Fresh: once, Backend: hutch.Backend{Service: "forms", Instance: "one", Address: listener.Addr().String()},
				Still: func() *seal.Fault {
					if leaving {
						return seal.New(seal.BackendLeaving, seal.NotRun, "leaving")
					}
					return nil
				}})
			if fault != nil {
				fmt.Fprintf(&text, "%d %s %s, the backend's: %v\n", fault.Status(), fault.Cause.Name(), fault.Verdict, fault.Backend)
			} else {
				fmt.Fprintf(&text, "answer %d %q\n", answer.Status, answer.Body)
			}
		}
		for len(backend.lines) > 0 {
			fmt.Fprintf(&text, "backend got %s\n", <-backend.lines)
		}
		return text.String()
	})
}
