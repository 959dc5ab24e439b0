// Package upstream hands requests to backends over HTTP/1.1 and only takes whole, well-formed answers for answers.
package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"snowflow/internal/apierror"
	"snowflow/internal/host/machine/socket"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission"
	"snowflow/internal/proxy/request"
	"snowflow/internal/transport/wire"
)

const (
	dialTimeout        = time.Second
	maxIdleTime        = 20 * time.Second
	maxIdlePerInstance = 32
	maxHeaderBytes     = 64 << 10
	// IdentityPath is the page that every backend answers with its service and instance.
	IdentityPath = "/.snowflow/identity"
)

// Transport keeps connections to backends, by instance.
// Invariant: every kept connection had its instance's identity checked when it was dialled, and nothing unread on it.
type Transport struct {
	clock      monotonic.Clock
	dialect    Dialect
	mu         sync.Mutex
	idle       map[string][]*backendConn
	idleLimits idleLimits
}

// Dialect is how one kind of backend is spoken to. Own is this product's; another is put together by its adapter, and held to
// the same tests.
type Dialect struct {
	// ChecksIdentity has every freshly dialled connection asked for the identity page; without it Head must name the instance.
	ChecksIdentity bool
	// Headers lists the headers of a request, with what is left until its cutoff; a "Host" among them names whom it's for.
	Headers func(backendRequest admission.BackendRequest, left monotonic.Micros) []*wire.Header
	// CheckResponse looks at a whole answer: notRun tells that the backend certainly did not run the request, an error that the bytes
	// aren't the backend's own whole answer to it.
	CheckResponse func(backendRequest admission.BackendRequest, response *http.Response) (notRun bool, err error)
	// AllowsTrailingBytes lets a whole answer count though more bytes came behind it; the connection isn't used again.
	AllowsTrailingBytes bool
	// MaxIdleForOnce is how long a kept connection may have been idle to carry a run-once request, which can't be sent again when
	// the backend closes it meanwhile; zero has such requests take a fresh one.
	MaxIdleForOnce time.Duration
}

// DefaultDialect is the product's own dialect.
func DefaultDialect() Dialect {
	return Dialect{ChecksIdentity: true,
		Headers: func(backendRequest admission.BackendRequest, _ monotonic.Micros) []*wire.Header {
			return append(backendRequest.Headers[:len(backendRequest.Headers):len(backendRequest.Headers)], &wire.Header{Name: request.RequestIDHeader, Value: backendRequest.ID})
		},
		CheckResponse: func(backendRequest admission.BackendRequest, response *http.Response) (bool, error) {
			if echoed := response.Header.Get(request.RequestIDHeader); echoed != "" && echoed != backendRequest.ID {
				return false, fmt.Errorf("answered request %s, not %s", echoed, backendRequest.ID)
			}
			return response.Header.Get(request.NotExecutedHeader) != "", nil
		}}
}

type backendConn struct {
	conn      net.Conn
	limited   *io.LimitedReader
	idleFor   time.Duration // how long it had been idle before this request; zero for a fresh one
	reader    *bufio.Reader
	idleSince time.Time
	maxIdle   time.Duration // how long it may be idle, as far as the backend told
	buffer    bytes.Buffer
	readLimit int64 // of limited, before anything of the answer was read
}

// New makes a courier.
func New(clock monotonic.Clock, dialect Dialect) *Transport {
	return &Transport{clock: clock, dialect: dialect, idle: map[string][]*backendConn{}, idleLimits: idleLimits{}}
}

// RoundTrip hands one request over and reads the whole answer.
func (t *Transport) RoundTrip(backendRequest admission.BackendRequest) (*request.Response, *apierror.Fault) {
	deadline := time.Now().Add((backendRequest.Deadline - t.clock.Now()).Duration())
	conn, fault := t.connect(backendRequest, deadline)
	if fault != nil {
		return nil, fault
	}
	keep := false
	defer func() {
		if keep {
			_ = conn.conn.SetDeadline(time.Time{}) // or its end would wake this process
			t.putIdle(backendRequest.Backend.Instance, conn)
		} else {
			_ = conn.conn.Close()
		}
	}()
	if fault := backendRequest.BeforeSend(); fault != nil {
		keep = true
		return nil, fault
	}
	if backendRequest.OnCancel != nil {
		defer backendRequest.OnCancel(func() { _ = conn.conn.Close() })() // most backends drop a request whose connection has closed
	}
	_ = conn.conn.SetDeadline(deadline)
	if written, err := conn.conn.Write(t.encode(conn, backendRequest)); err != nil {
		verdict := apierror.MayHaveRun
		if written == 0 {
			verdict = apierror.NotRun
		}
		fault := apierror.New(apierror.ResponseBroken, verdict, "sending to %s: %v", backendRequest.Backend.Instance, err)
		fault.Local = t.closedWhileIdle(backendRequest.Backend.Instance, conn.idleFor)
		return nil, fault
	}
	response, reusable, fault := conn.readResponse(backendRequest, t.dialect)
	keep = reusable && fault == nil
	if fault != nil && fault.Cause == apierror.ResponseBroken && conn.limited.N == conn.readLimit {
		fault.Local = t.closedWhileIdle(backendRequest.Backend.Instance, conn.idleFor)
	}
	return response, fault
}

// line takes a kept connection or dials one and checks who answers there.
func (t *Transport) connect(backendRequest admission.BackendRequest, deadline time.Time) (*backendConn, *apierror.Fault) {
	if reuse := t.dialect.MaxIdleForOnce; !backendRequest.FreshConnection || reuse > 0 {
		for idle := t.takeIdle(backendRequest.Backend.Instance); idle != nil; idle = t.takeIdle(backendRequest.Backend.Instance) {
			idle.idleFor = time.Since(idle.idleSince)
			if idle.reusable() && (!backendRequest.FreshConnection || idle.idleFor < reuse) && t.mayReuse(backendRequest.Backend.Instance, idle.idleFor) {
				return idle, nil
			}
			_ = idle.conn.Close()
		}
	}
	// A connection that is used again is looked at first, and an answer has its cutoff: it needs no probes of the system's.
	dialer := net.Dialer{Timeout: min(dialTimeout, time.Until(deadline)), KeepAlive: -1}
	connection, err := dialer.Dial("tcp", backendRequest.Backend.Address)
	if err != nil {
		return nil, apierror.New(apierror.BackendDialFailed, apierror.NotRun, "%v", err)
	}
	connection = socket.Wrap(connection)
	limited := &io.LimitedReader{R: connection, N: maxHeaderBytes}
	dialled := &backendConn{conn: connection, limited: limited, reader: bufio.NewReaderSize(limited, 16<<10), maxIdle: maxIdleTime}
	if !t.dialect.ChecksIdentity {
		return dialled, nil
	}
	_ = connection.SetDeadline(earlierTime(deadline, time.Now().Add(dialTimeout)))
	if err := dialled.identify(backendRequest); err != nil {
		_ = connection.Close()
		return nil, apierror.New(apierror.BackendIdentityMismatch, apierror.NotRun, "%s: %v", backendRequest.Backend.Address, err)
	}
	return dialled, nil
}

func earlierTime(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

// rested tells whether a connection that was idle so long may still be used; a fresh one always may.
func (t *Transport) mayReuse(instance string, idleFor time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idleLimits.allows(time.Now(), instance, idleFor)
}

// forgot notes a connection that ended without a byte of an answer, and tells whether its backend had only forgotten it.
func (t *Transport) closedWhileIdle(instance string, idleFor time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idleLimits.observeClosed(time.Now(), instance, idleFor)
}

func (t *Transport) takeIdle(instance string) *backendConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := t.idle[instance]
	if len(idle) == 0 {
		delete(t.idle, instance)
		return nil
	}
	last := idle[len(idle)-1]
	t.idle[instance] = idle[:len(idle)-1]
	return last
}

func (t *Transport) putIdle(instance string, used *backendConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := t.idle[instance]
	for len(idle) > 0 && (len(idle) >= maxIdlePerInstance || time.Since(idle[0].idleSince) > maxIdleTime) {
		_ = idle[0].conn.Close()
		idle = idle[1:]
	}
	used.idleSince = time.Now()
	t.idle[instance] = append(idle, used)
}

// quiet tells whether a kept connection is open with nothing to read on it: bytes that came unasked would be taken
// for the next answer.
func (c *backendConn) reusable() bool {
	if c.reader.Buffered() > 0 || time.Since(c.idleSince) > c.maxIdle {
		return false
	}
	known, ok := c.conn.(syscall.Conn)
	return ok && socket.IsIdle(known)
}

type identity struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
}

func (c *backendConn) identify(backendRequest admission.BackendRequest) error {
	head := "GET " + IdentityPath + " HTTP/1.1\r\nHost: " + backendRequest.Backend.Address + "\r\n\r\n"
	if _, err := io.WriteString(c.conn, head); err != nil {
		return err
	}
	c.limited.N = maxHeaderBytes
	response, err := http.ReadResponse(c.reader, &http.Request{Method: "GET"})
	if err != nil {
		return err
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	var page identity
	if response.StatusCode != http.StatusOK || json.Unmarshal(content, &page) != nil {
		return fmt.Errorf("no identity page (status %d)", response.StatusCode)
	}
	if page.Service != backendRequest.Backend.Service || page.Instance != backendRequest.Backend.Instance {
		return fmt.Errorf("it's %s of %s, not %s of %s", page.Instance, page.Service, backendRequest.Backend.Instance, backendRequest.Backend.Service)
	}
	if response.Close || c.reader.Buffered() > 0 {
		return errors.New("the identity page ended the connection or said more than it should")
	}
	return nil
}

func (t *Transport) encode(conn *backendConn, backendRequest admission.BackendRequest) []byte {
	buffer := &conn.buffer
	buffer.Reset()
	headers, host := t.dialect.Headers(backendRequest, backendRequest.Deadline-t.clock.Now()), backendRequest.Backend.Address
	for _, header := range headers {
		if header.Name == "Host" {
			host = header.Value
		}
	}
	for _, part := range []string{backendRequest.Method, " ", backendRequest.Target, " HTTP/1.1\r\nHost: ", host, "\r\n"} {
		buffer.WriteString(part)
	}
	for _, header := range headers {
		if header.Name == "Host" {
			continue
		}
		for _, part := range []string{header.Name, ": ", header.Value, "\r\n"} {
			buffer.WriteString(part)
		}
	}
	if len(backendRequest.Body) > 0 || backendRequest.Method == http.MethodPost || backendRequest.Method == http.MethodPut || backendRequest.Method == http.MethodPatch {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(backendRequest.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(backendRequest.Body)
	return buffer.Bytes()
}

// read takes the answer off the connection. Whatever isn't whole, or says more than it announced, is no answer.
func (c *backendConn) readResponse(backendRequest admission.BackendRequest, dialect Dialect) (result *request.Response, reusable bool, fault *apierror.Fault) {
	malformed := func(format string, arguments ...any) (*request.Response, bool, *apierror.Fault) {
		return nil, false, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "%s: %s", backendRequest.Backend.Instance, fmt.Sprintf(format, arguments...))
	}
	c.readLimit = int64(backendRequest.ResponseLimit) + maxHeaderBytes
	c.limited.N = c.readLimit
	httpRequest := &http.Request{Method: backendRequest.Method}
	var httpResponse *http.Response
	for interim := 0; ; interim++ {
		var err error
		if httpResponse, err = http.ReadResponse(c.reader, httpRequest); err != nil {
			if isTimeout(err) {
				return nil, false, apierror.New(apierror.ResponseTimeout, apierror.MayHaveRun, "%s gave no answer before the cutoff", backendRequest.Backend.Instance)
			}
			return malformed("%v", err)
		}
		if httpResponse.StatusCode >= 200 {
			break
		}
		if httpResponse.StatusCode == http.StatusSwitchingProtocols || interim >= 4 {
			return malformed("interim status %d", httpResponse.StatusCode)
		}
	}
	bodyless := backendRequest.Method == http.MethodHead || httpResponse.StatusCode == http.StatusNoContent || httpResponse.StatusCode == http.StatusNotModified
	if httpResponse.ContentLength < 0 && len(httpResponse.TransferEncoding) == 0 && !bodyless {
		return malformed("the answer's end can't be told from a broken connection")
	}
	if httpResponse.ContentLength > int64(backendRequest.ResponseLimit) {
		return nil, false, apierror.New(apierror.ResponseTooLarge, apierror.MayHaveRun, "%s announced %d bytes, limit %d", backendRequest.Backend.Instance, httpResponse.ContentLength, backendRequest.ResponseLimit)
	}
	body, err := ReadAll(io.LimitReader(httpResponse.Body, int64(backendRequest.ResponseLimit)+1), httpResponse.ContentLength)
	if err != nil {
		if isTimeout(err) {
			return nil, false, apierror.New(apierror.ResponseTimeout, apierror.MayHaveRun, "%s did not finish its answer before the cutoff", backendRequest.Backend.Instance)
		}
		return malformed("%v", err)
	}
	if uint64(len(body)) > backendRequest.ResponseLimit {
		return nil, false, apierror.New(apierror.ResponseTooLarge, apierror.MayHaveRun, "%s sent more than %d bytes", backendRequest.Backend.Instance, backendRequest.ResponseLimit)
	}
	c.idleSince = time.Now()
	trailing := c.reader.Buffered()
	if trailing > 0 && !dialect.AllowsTrailingBytes {
		return malformed("%d bytes behind the end of the answer", trailing)
	}
	notRun, err := dialect.CheckResponse(backendRequest, httpResponse)
	if err != nil {
		return nil, false, apierror.New(apierror.ResponseMismatch, apierror.MayHaveRun, "%s: %v", backendRequest.Backend.Instance, err)
	}
	if seconds, found := strings.CutPrefix(httpResponse.Header.Get("Keep-Alive"), "timeout="); found {
		seconds, _, _ = strings.Cut(seconds, ",")
		if count, err := strconv.Atoi(strings.TrimSpace(seconds)); err == nil {
			c.maxIdle = min(maxIdleTime, time.Duration(count)*time.Second-idleMargin)
		}
	}
	return &request.Response{Status: uint32(httpResponse.StatusCode), Headers: EndToEndHeaders(httpResponse.Header), Body: body, NotRun: notRun},
		!httpResponse.Close && !bodyless && trailing == 0, nil
}

// maxPreallocation bounds the room that is made for a body on the word of its sender.
const maxPreallocation = 256 << 10

// ReadAll reads all that comes, into room for what was announced; a negative length says that nothing was.
func ReadAll(source io.Reader, announced int64) ([]byte, error) {
	if announced < 0 {
		return io.ReadAll(source)
	}
	var body bytes.Buffer
	body.Grow(int(min(announced, maxPreallocation)) + bytes.MinRead) // with room to see the end
	_, err := body.ReadFrom(source)
	return body.Bytes(), err
}

// idleMargin is how much earlier than its backend says a connection is no longer used.
const idleMargin = time.Second

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// hopByHop are the headers that belong to one connection, or that this mesh writes itself.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
	"Proxy-Connection": true, request.DeadlineHeader: true}

// EndToEndHeaders lists the headers that are passed on.
func EndToEndHeaders(headers http.Header) (endToEnd []*wire.Header) {
	named := map[string]bool{}
	for _, value := range headers.Values("Connection") {
		for _, name := range bytes.Split([]byte(value), []byte(",")) {
			named[http.CanonicalHeaderKey(string(bytes.TrimSpace(name)))] = true
		}
	}
	for name, values := range headers {
		if hopByHop[name] || named[name] {
			continue
		}
		for _, value := range values {
			endToEnd = append(endToEnd, &wire.Header{Name: name, Value: value})
		}
	}
	return endToEnd
}
