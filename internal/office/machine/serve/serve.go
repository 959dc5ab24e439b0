// Package serve answers HTTP/1.1 for handlers that read a request whole and give its answer whole. Beside the library's server,
// which reads on while a handler works and sends what it writes in parts, it spares a task, a read and mostly a write for each request.
// Nothing is added to an answer but its length, its end and its date, and nothing is guessed.
package serve

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Server answers on any number of listeners.
// Invariants: open holds each connection from its being taken until its end; no request is begun on a connection once closing is
// set and it was seen idle; a connection that is at work is never closed by Shutdown.
type Server struct {
	Handler http.Handler
	// HeaderWithin bounds the time that the head of a request may take from its first byte, BodyWithin its body, IdleFor the
	// time between requests; zero bounds nothing. MostHeader bounds the head in bytes.
	HeaderWithin, BodyWithin, IdleFor time.Duration
	MostHeader                        int

	lock      sync.Mutex
	listeners map[net.Listener]bool
	open      map[*line]bool
	closing   bool
}

// line is one client's connection.
type line struct {
	server  *Server
	net     net.Conn
	limited io.LimitedReader
	reader  *bufio.Reader
	silent  bool // its client is gone, or too slow
	taken   time.Time
	until   time.Time // the deadline for reading that is set; zero if none is
	working bool      // the server's lock guards it, and asked
	asked   bool      // a request has come
}

const (
	// freshFor is how long a connection counts as at work though nothing came on it: its first request may be on its way.
	freshFor = 5 * time.Second
	// mostDrained is how much of a body that its handler left is read, to keep the connection.
	mostDrained = 256 << 10
	// parting is how long a client gets to read an answer while it still sends what nobody reads.
	parting = 500 * time.Millisecond
	// mostCopied is the longest body that goes out in one piece with its head.
	mostCopied = 64 << 10
	// idleStep is how far the deadline of an idle connection may lag behind, so that it isn't moved by each request.
	idleStep = 10 * time.Second
)

// Serve answers on a listener until it's closed.
func (server *Server) Serve(listener net.Listener) error {
	if !server.begin(listener) {
		return http.ErrServerClosed
	}
	defer listener.Close()
	for pause := 5 * time.Millisecond; ; {
		accepted, err := listener.Accept()
		if err == nil {
			pause = 5 * time.Millisecond
			server.take(accepted)
			continue
		}
		if server.ends() {
			return http.ErrServerClosed
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		time.Sleep(pause) // out of descriptors, mostly
		pause = min(2*pause, time.Second)
	}
}

func (server *Server) begin(listener net.Listener) bool {
	server.lock.Lock()
	defer server.lock.Unlock()
	if server.listeners == nil {
		server.listeners, server.open = map[net.Listener]bool{}, map[*line]bool{}
	}
	server.listeners[listener] = true
	return !server.closing
}

func (server *Server) ends() bool {
	server.lock.Lock()
	defer server.lock.Unlock()
	return server.closing
}

func (server *Server) take(accepted net.Conn) {
	fresh := &line{server: server, net: accepted, taken: time.Now(), limited: io.LimitedReader{R: accepted, N: math.MaxInt64}}
	fresh.reader = bufio.NewReaderSize(fresh, 4<<10)
	server.lock.Lock()
	refused := server.closing
	if !refused {
		server.open[fresh] = true
	}
	server.lock.Unlock()
	if refused {
		_ = accepted.Close()
		return
	}
	go fresh.run()
}

// Read reads from the client, and notes if that failed.
func (line *line) Read(into []byte) (int, error) {
	count, err := line.limited.Read(into)
	line.silent = err != nil && err != io.EOF
	return count, err
}

// Shutdown takes no more connections, closes those at rest, and waits until the others have their answers.
func (server *Server) Shutdown(limit context.Context) error {
	for pause := time.Millisecond; ; pause = min(2*pause, 100*time.Millisecond) {
		if server.close(false) {
			return nil
		}
		timer := time.NewTimer(pause)
		select {
		case <-limit.Done():
			timer.Stop()
			return limit.Err()
		case <-timer.C:
		}
	}
}

// Close ends everything at once.
func (server *Server) Close() error {
	server.close(true)
	return nil
}

// close ends what's at rest, or all. It tells whether nothing is left.
func (server *Server) close(all bool) bool {
	server.lock.Lock()
	defer server.lock.Unlock()
	server.closing = true
	for listener := range server.listeners {
		_ = listener.Close()
		delete(server.listeners, listener)
	}
	for line := range server.open {
		if all || !line.working && (line.asked || time.Since(line.taken) >= freshFor) {
			_ = line.net.Close()
			delete(server.open, line)
		}
	}
	return len(server.open) == 0
}

// works marks a connection as at work or at rest. It tells whether the connection goes on.
func (line *line) works(working bool) bool {
	line.server.lock.Lock()
	defer line.server.lock.Unlock()
	line.working = working
	line.asked = line.asked || working
	return line.server.open[line] && (working || !line.server.closing)
}

func (line *line) run() {
	defer func() {
		_ = line.net.Close()
		line.server.lock.Lock()
		defer line.server.lock.Unlock()
		delete(line.server.open, line)
	}()
	for line.next() && line.works(false) {
	}
}

// within sets the deadline for reading; zero clears it. One that is far enough off is left.
func (line *line) within(span, slack time.Duration) {
	if span <= 0 {
		if !line.until.IsZero() {
			line.until = time.Time{}
			_ = line.net.SetReadDeadline(line.until)
		}
		return
	}
	now := time.Now()
	if left := line.until.Sub(now); !line.until.IsZero() && left >= span && left <= span+slack {
		return
	}
	line.until = now.Add(span + slack)
	_ = line.net.SetReadDeadline(line.until)
}

// next takes one request and answers it. It tells whether the connection can take another one.
func (line *line) next() bool {
	line.limited.N = math.MaxInt64
	line.within(line.server.IdleFor, idleStep)
	if _, err := line.reader.Peek(1); err != nil || !line.works(true) {
		return false
	}
	line.limited.N = int64(line.server.MostHeader) + 4<<10
	if !line.headThere() {
		line.within(line.server.HeaderWithin, 0)
	}
	request, err := http.ReadRequest(line.reader)
	if err == nil {
		err = proper(request)
	}
	if err != nil {
		line.unreadable(err)
		return false
	}
	line.limited.N = math.MaxInt64
	if length := request.ContentLength; length < 0 || length > int64(line.reader.Buffered()) {
		line.within(line.server.BodyWithin, 0)
	}
	return line.answer(request)
}

// headThere tells whether the end of a request's head has come already.
func (line *line) headThere() bool {
	content, _ := line.reader.Peek(line.reader.Buffered())
	return bytes.Contains(content, []byte("\r\n\r\n"))
}

// fault is the status of a request that can't be taken.
type fault int

func (fault fault) Error() string { return http.StatusText(int(fault)) }

// proper refuses requests that aren't HTTP/1, and heads with bytes that no head may hold.
func proper(request *http.Request) error {
	if request.ProtoMajor != 1 {
		return fault(http.StatusHTTPVersionNotSupported)
	}
	if !httpguts.ValidHostHeader(request.Host) {
		return fault(http.StatusBadRequest)
	}
	for name, values := range request.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fault(http.StatusBadRequest)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fault(http.StatusBadRequest)
			}
		}
	}
	return nil
}

// unreadable tells a client that its request can't be read. One that is gone, or too slow, isn't told.
func (line *line) unreadable(err error) {
	code, told := http.StatusBadRequest, fault(0)
	switch {
	case line.limited.N <= 0:
		code = http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &told):
		code = int(told)
	case strings.HasPrefix(err.Error(), "unsupported transfer encoding"):
		code = http.StatusNotImplemented
	case line.silent || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return
	}
	_, _ = line.net.Write([]byte("HTTP/1.1 " + strconv.Itoa(code) + " " + http.StatusText(code) + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
	line.part()
}

// part lets a client read what it was sent before the connection ends: an end with bytes unread would take it away.
func (line *line) part() {
	if half, is := line.net.(interface{ CloseWrite() error }); is && half.CloseWrite() == nil {
		time.Sleep(parting)
	}
}

// answer has a request answered.
func (line *line) answer(request *http.Request) bool {
	if expect := request.Header.Get("Expect"); expect != "" && request.ProtoAtLeast(1, 1) {
		if !strings.EqualFold(expect, "100-continue") {
			line.unreadable(fault(http.StatusExpectationFailed))
			return false
		}
		if request.ContentLength != 0 {
			if _, err := io.WriteString(line.net, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
				return false
			}
		}
	}
	writer := &writer{header: http.Header{}}
	if !line.handle(writer, request) {
		return false
	}
	whole := request.Body == http.NoBody
	if !whole {
		left, err := io.CopyN(io.Discard, request.Body, mostDrained+1)
		whole = left <= mostDrained && errors.Is(err, io.EOF)
	}
	keep := whole && !request.Close && !strings.EqualFold(writer.header.Get("Connection"), "close") && !line.server.ends()
	if line.send(writer, request, keep) != nil {
		return false
	}
	if !whole {
		line.part()
	}
	return keep
}

// handle runs the handler. One that panics has its connection end without an answer.
func (line *line) handle(writer *writer, request *http.Request) (done bool) {
	defer func() {
		if !done {
			fmt.Fprintf(os.Stderr, "serve: a handler failed: %v\n%s", recover(), debug.Stack())
		}
	}()
	line.server.Handler.ServeHTTP(writer, request)
	return true
}

// writer gathers an answer.
type writer struct {
	header http.Header
	status int
	body   []byte
}

func (writer *writer) Header() http.Header { return writer.header }

func (writer *writer) WriteHeader(status int) {
	if writer.status == 0 && status >= 200 {
		writer.status = status
	}
}

func (writer *writer) Write(content []byte) (int, error) {
	writer.WriteHeader(http.StatusOK)
	writer.body = append(writer.body, content...)
	return len(content), nil
}

// Give writes a whole body that nobody changes any more: here it needs no copy.
func Give(target http.ResponseWriter, body []byte) {
	own, is := target.(*writer)
	if !is || own.body != nil {
		_, _ = target.Write(body) // a client that has gone can't be told
		return
	}
	own.WriteHeader(http.StatusOK)
	own.body = body[:len(body):len(body)]
}

// pieces are buffers for answers.
var pieces = sync.Pool{New: func() any { return new([]byte) }}

var newlines = strings.NewReplacer("\r", " ", "\n", " ")

// send writes an answer, its head and a body that isn't long in one piece.
func (line *line) send(writer *writer, request *http.Request, keep bool) error {
	writer.WriteHeader(http.StatusOK)
	held := pieces.Get().(*[]byte)
	defer pieces.Put(held)
	piece := append((*held)[:0], "HTTP/1.1 "...)
	if !request.ProtoAtLeast(1, 1) {
		piece = append((*held)[:0], "HTTP/1.0 "...)
	}
	piece = strconv.AppendInt(piece, int64(writer.status), 10)
	piece = append(append(append(piece, ' '), http.StatusText(writer.status)...), "\r\n"...)
	add := func(name, value string) {
		if strings.ContainsAny(value, "\r\n") {
			value = newlines.Replace(value)
		}
		piece = append(append(append(append(piece, name...), ": "...), value...), "\r\n"...)
	}
	bodyless := writer.status == http.StatusNoContent || writer.status == http.StatusNotModified
	for name, values := range writer.header {
		if name == "Connection" || name == "Content-Length" && (bodyless || request.Method != http.MethodHead) {
			continue
		}
		for _, value := range values {
			add(name, value)
		}
	}
	if _, told := writer.header["Date"]; !told {
		add("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	body := writer.body
	if bodyless || request.Method == http.MethodHead {
		body = nil
	} else {
		add("Content-Length", strconv.Itoa(len(body)))
	}
	if !keep {
		add("Connection", "close")
	} else if !request.ProtoAtLeast(1, 1) {
		add("Connection", "keep-alive")
	}
	piece = append(piece, "\r\n"...)
	together := len(body) <= mostCopied
	if together {
		piece = append(piece, body...)
	}
	*held = piece
	if _, err := line.net.Write(piece); err != nil || together {
		return err
	}
	_, err := line.net.Write(body)
	return err
}
