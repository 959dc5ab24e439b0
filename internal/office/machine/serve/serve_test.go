package serve

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// echo answers with what it was asked.
var echo = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, 1<<20))
	if err != nil {
		writer.Header().Set("Content-Length", "0")
		writer.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	headers := writer.Header()
	headers["Date"], headers["Content-Type"] = nil, nil
	headers["X-Two"] = []string{"one", "two"}
	switch request.URL.Path {
	case "/nothing":
		writer.WriteHeader(http.StatusNoContent)
	case "/unread":
		writer.WriteHeader(http.StatusForbidden)
	case "/close":
		headers.Set("Connection", "close")
	}
	Give(writer, []byte(fmt.Sprintf("%s %s %s %d %s", request.Method, request.Host, request.RequestURI, len(body), request.Header.Get("X-One"))))
})

type server interface {
	Serve(listener net.Listener) error
	Shutdown(limit context.Context) error
	Close() error
}

func served(t *testing.T, server server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(time.Minute))
	return connection
}

func ours() *Server { return &Server{Handler: echo, MostHeader: 64 << 10} }

// TestAsTheLibrary sends the same bytes to the library's server and to this one: both answer with the same statuses, headers and
// bodies, as often, and keep the connection or end it alike.
func TestAsTheLibrary(t *testing.T) {
	library, own := served(t, &http.Server{Handler: echo, MaxHeaderBytes: 64 << 10}), served(t, ours())
	long := strings.Repeat("x", 300<<10)
	for what, sent := range map[string]string{
		"one":                   "GET /a?b=c%20d HTTP/1.1\r\nHost: one.example\r\nX-One: 1\r\n\r\n",
		"two at once":           "GET /a HTTP/1.1\r\nHost: a\r\n\r\nPOST /b HTTP/1.1\r\nHost: b\r\nContent-Length: 3\r\n\r\nabc",
		"a body in chunks":      "PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
		"length and chunks":     "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: a\r\n\r\n",
		"two lengths":           "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"a length of signs":     "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc",
		"another encoding":      "PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nabc",
		"a head":                "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n",
		"no content":            "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n",
		"asked to close":        "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n",
		"told to close":         "GET /close HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n",
		"the old version":       "GET /a HTTP/1.0\r\nHost: a\r\n\r\n",
		"old, kept":             "GET /a HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\nGET /b HTTP/1.0\r\nHost: a\r\n\r\n",
		"expects":               "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\nabc",
		"expects what nobody":   "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: wonders\r\n\r\nabc",
		"a line of no sense":    "hello\r\n\r\n",
		"a header of no sense":  "GET /a HTTP/1.1\r\nHost: a\r\nX One: 1\r\n\r\n",
		"a control sign":        "GET /a HTTP/1.1\r\nHost: a\r\nX-One: 1\x01\r\n\r\n",
		"a folded line":         "GET /a HTTP/1.1\r\nHost: a\r\n X-One: 1\r\n\r\n",
		"two hosts":             "GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"a malformed host":      "GET /a HTTP/1.1\r\nHost: a b\r\n\r\n",
		"a head that's too big": "GET /a HTTP/1.1\r\nHost: a\r\nX-One: " + long + "\r\n\r\n",
		"much":                  fmt.Sprintf("PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%sGET /b HTTP/1.1\r\nHost: a\r\n\r\n", len(long), long),
		"cut off":               "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\nabc",
		"cut off in the head":   "GET /a HTTP/1.1\r\nHo",
		"nothing":               "",
		"lines before":          "\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n",
		"any method":            "BREW /a HTTP/1.1\r\nHost: a\r\n\r\n",
		"an absolute target":    "GET http://b.example/a HTTP/1.1\r\nHost: a\r\n\r\n",
		"another protocol":      "GET /a HTTP/3.7\r\nHost: a\r\n\r\n",
	} {
		if want, got := exchange(t, library, sent), exchange(t, own, sent); want != got {
			t.Errorf("%s: the library says\n%s\nthis server\n%s", what, want, got)
		}
	}
}

// exchange tells all answers to what was sent until the connection ends. What the library says of malformed requests in its own
// words is left out.
func exchange(t *testing.T, address, sent string) string {
	t.Helper()
	connection := dial(t, address)
	go func() {
		_, _ = io.WriteString(connection, sent)
		_ = connection.(*net.TCPConn).CloseWrite()
	}()
	var told strings.Builder
	reader := bufio.NewReader(connection)
	for _, method := range append(methods(sent), "GET") {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			break
		}
		for response.StatusCode == http.StatusContinue {
			if response, err = http.ReadResponse(reader, &http.Request{Method: method}); err != nil {
				return told.String()
			}
		}
		body, err := io.ReadAll(response.Body)
		if response.StatusCode >= 400 {
			body = nil
		}
		fmt.Fprintf(&told, "%d %q close %v %v %d %v\n", response.StatusCode, body, response.Close, response.Header["X-Two"], len(response.TransferEncoding), err)
	}
	return told.String()
}

// methods lists those of the requests that were sent.
func methods(sent string) (found []string) {
	for _, line := range strings.Split(sent, "\n") {
		if method, rest, _ := strings.Cut(line, " "); strings.Contains(rest, " HTTP/") {
			found = append(found, strings.TrimLeft(method, "abcde"))
		}
	}
	return found
}

// TestLongAnswers come whole, though they don't go out in one piece.
func TestLongAnswers(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789"), 1<<20)
	address := served(t, &Server{MostHeader: 64 << 10, Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write(content[:3])
		Give(writer, content[3:])
	})})
	for range 3 {
		response, err := http.Get("http://" + address + "/")
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || !bytes.Equal(got, content) {
			t.Errorf("%d of %d bytes, %v", len(got), len(content), err)
		}
	}
}

// TestShutdown: requests under way are answered and their connections told to end; those at rest end; no new ones are taken.
func TestShutdown(t *testing.T) {
	began, goOn := make(chan struct{}), make(chan struct{})
	own := &Server{MostHeader: 64 << 10, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/wait" {
			close(began)
			<-goOn
		}
		_, _ = writer.Write([]byte("whole"))
	})}
	address := served(t, own)
	atRest, atWork := dial(t, address), dial(t, address)
	for connection, path := range map[net.Conn]string{atRest: "/", atWork: "/wait"} {
		_, _ = io.WriteString(connection, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	resting := bufio.NewReader(atRest)
	if response, err := http.ReadResponse(resting, nil); err != nil || response.Close {
		t.Fatalf("%v", err)
	} else if _, err := io.ReadAll(response.Body); err != nil {
		t.Fatal(err)
	}
	<-began
	ended := make(chan error, 1)
	go func() { ended <- own.Shutdown(context.Background()) }()
	if _, err := resting.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection at rest: %v", err)
	}
	select {
	case <-ended:
		t.Error("the shutdown didn't wait")
	default:
	}
	close(goOn)
	response, err := http.ReadResponse(bufio.NewReader(atWork), nil)
	if err != nil || !response.Close {
		t.Fatalf("the request under way: %v", err)
	}
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "whole" {
		t.Errorf("%q %v", body, err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if connection, err := net.Dial("tcp", address); err == nil {
		_ = connection.Close()
		t.Error("a connection was taken after the shutdown")
	}
}

// TestSlowClients: a head or a body that doesn't come in time, and a client that asks nothing more, have their connections ended.
func TestSlowClients(t *testing.T) {
	own := ours()
	own.HeaderWithin, own.BodyWithin, own.IdleFor = time.Millisecond, time.Millisecond, time.Minute
	address := served(t, own)
	for sent, want := range map[string]int{"GET /a HTTP/1.1\r\nHo": 0, "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc": http.StatusRequestEntityTooLarge} {
		connection := dial(t, address)
		_, _ = io.WriteString(connection, sent)
		answer, err := io.ReadAll(connection)
		if err != nil || want == 0 && len(answer) > 0 || want > 0 && !strings.HasPrefix(string(answer), fmt.Sprintf("HTTP/1.1 %d ", want)) {
			t.Errorf("%q: answered with %q, %v", sent, answer, err)
		}
	}
	waiting := &line{server: own}
	one, other := net.Pipe()
	defer other.Close()
	waiting.net = one
	waiting.within(time.Minute, idleStep)
	first := waiting.until
	waiting.within(time.Minute, idleStep)
	if waiting.until != first {
		t.Error("a deadline that is far enough off was moved")
	}
	waiting.within(time.Nanosecond, 0)
	if _, err := one.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("reading beyond the deadline: %v", err)
	}
}
