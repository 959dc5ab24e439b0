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
	dialPatience = time.Second
	idleLife     = 20 * time.Second
	mostIdle     = 32
	headRoom     = 64 << 10
	// IdentityPath is the page that every backend answers with its service and instance.
	IdentityPath = "/.snowflow/identity"
)

// Courier keeps connections to backends, by instance.
// Invariant: every kept connection had its instance's identity checked when it was dialled, and nothing unread on it.
type Courier struct {
	clock   monotonic.Clock
	dialect Dialect
	lock    sync.Mutex
	idle    map[string][]*line
	rests   rests
}

// Dialect is how one kind of backend is spoken to. Own is this product's; another is put together by its adapter, and held to
// the same tests.
type Dialect struct {
	// Greets has every freshly dialled connection asked for the identity page; without it Head must name the instance.
	Greets bool
	// Head lists the headers of a request, with what is left until its cutoff; a "Host" among them names whom it's for.
	Head func(order admission.Order, left monotonic.Micros) []*wire.Header
	// Judge looks at a whole answer: notRun tells that the backend certainly did not run the request, an error that the bytes
	// aren't the backend's own whole answer to it.
	Judge func(order admission.Order, response *http.Response) (notRun bool, err error)
	// Surplus lets a whole answer count though more bytes came behind it; the connection isn't used again.
	Surplus bool
	// ReuseOnce is how long a kept connection may have been idle to carry a run-once request, which can't be sent again when
	// the backend closes it meanwhile; zero has such requests take a fresh one.
	ReuseOnce time.Duration
}

// Own is the product's own dialect.
func Own() Dialect {
	return Dialect{Greets: true,
		Head: func(order admission.Order, _ monotonic.Micros) []*wire.Header {
			return append(order.Headers[:len(order.Headers):len(order.Headers)], &wire.Header{Name: request.RequestIDHeader, Value: order.ID})
		},
		Judge: func(order admission.Order, response *http.Response) (bool, error) {
			if echoed := response.Header.Get(request.RequestIDHeader); echoed != "" && echoed != order.ID {
				return false, fmt.Errorf("answered request %s, not %s", echoed, order.ID)
			}
			return response.Header.Get(request.NotExecutedHeader) != "", nil
		}}
}

type line struct {
	connection net.Conn
	limited    *io.LimitedReader
	rested     time.Duration // how long it had been idle before this request; zero for a fresh one
	reader     *bufio.Reader
	since      time.Time
	life       time.Duration // how long it may be idle, as far as the backend told
	buffer     bytes.Buffer
	allowed    int64 // of limited, before anything of the answer was read
}

// New makes a courier.
func New(clock monotonic.Clock, dialect Dialect) *Courier {
	return &Courier{clock: clock, dialect: dialect, idle: map[string][]*line{}, rests: rests{}}
}

// Deliver hands one request over and reads the whole answer.
func (courier *Courier) Deliver(order admission.Order) (*request.Response, *apierror.Fault) {
	cutoff := time.Now().Add((order.Cutoff - courier.clock.Now()).Duration())
	connection, fault := courier.line(order, cutoff)
	if fault != nil {
		return nil, fault
	}
	keep := false
	defer func() {
		if keep {
			_ = connection.connection.SetDeadline(time.Time{}) // or its end would wake this process
			courier.put(order.Backend.Instance, connection)
		} else {
			_ = connection.connection.Close()
		}
	}()
	if fault := order.Still(); fault != nil {
		keep = true
		return nil, fault
	}
	if order.Cancelled != nil {
		defer order.Cancelled(func() { _ = connection.connection.Close() })() // most backends drop a request whose connection has closed
	}
	_ = connection.connection.SetDeadline(cutoff)
	if written, err := connection.connection.Write(courier.encode(connection, order)); err != nil {
		verdict := apierror.MayHaveRun
		if written == 0 {
			verdict = apierror.NotRun
		}
		fault := apierror.New(apierror.ResponseBroken, verdict, "sending to %s: %v", order.Backend.Instance, err)
		fault.Local = courier.forgot(order.Backend.Instance, connection.rested)
		return nil, fault
	}
	answer, reusable, fault := connection.read(order, courier.dialect)
	keep = reusable && fault == nil
	if fault != nil && fault.Cause == apierror.ResponseBroken && connection.limited.N == connection.allowed {
		fault.Local = courier.forgot(order.Backend.Instance, connection.rested)
	}
	return answer, fault
}

// line takes a kept connection or dials one and checks who answers there.
func (courier *Courier) line(order admission.Order, cutoff time.Time) (*line, *apierror.Fault) {
	if reuse := courier.dialect.ReuseOnce; !order.Fresh || reuse > 0 {
		for kept := courier.take(order.Backend.Instance); kept != nil; kept = courier.take(order.Backend.Instance) {
			kept.rested = time.Since(kept.since)
			if kept.quiet() && (!order.Fresh || kept.rested < reuse) && courier.rested(order.Backend.Instance, kept.rested) {
				return kept, nil
			}
			_ = kept.connection.Close()
		}
	}
	// A connection that is used again is looked at first, and an answer has its cutoff: it needs no probes of the system's.
	dialer := net.Dialer{Timeout: min(dialPatience, time.Until(cutoff)), KeepAlive: -1}
	connection, err := dialer.Dial("tcp", order.Backend.Address)
	if err != nil {
		return nil, apierror.New(apierror.BackendDialFailed, apierror.NotRun, "%v", err)
	}
	connection = socket.Wrap(connection)
	limited := &io.LimitedReader{R: connection, N: headRoom}
	fresh := &line{connection: connection, limited: limited, reader: bufio.NewReaderSize(limited, 16<<10), life: idleLife}
	if !courier.dialect.Greets {
		return fresh, nil
	}
	_ = connection.SetDeadline(minTime(cutoff, time.Now().Add(dialPatience)))
	if err := fresh.identify(order); err != nil {
		_ = connection.Close()
		return nil, apierror.New(apierror.BackendIdentityMismatch, apierror.NotRun, "%s: %v", order.Backend.Address, err)
	}
	return fresh, nil
}

func minTime(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

// rested tells whether a connection that was idle so long may still be used; a fresh one always may.
func (courier *Courier) rested(instance string, rested time.Duration) bool {
	courier.lock.Lock()
	defer courier.lock.Unlock()
	return courier.rests.fresh(time.Now(), instance, rested)
}

// forgot notes a connection that ended without a byte of an answer, and tells whether its backend had only forgotten it.
func (courier *Courier) forgot(instance string, rested time.Duration) bool {
	courier.lock.Lock()
	defer courier.lock.Unlock()
	return courier.rests.forgot(time.Now(), instance, rested)
}

func (courier *Courier) take(instance string) *line {
	courier.lock.Lock()
	defer courier.lock.Unlock()
	kept := courier.idle[instance]
	if len(kept) == 0 {
		delete(courier.idle, instance)
		return nil
	}
	last := kept[len(kept)-1]
	courier.idle[instance] = kept[:len(kept)-1]
	return last
}

func (courier *Courier) put(instance string, used *line) {
	courier.lock.Lock()
	defer courier.lock.Unlock()
	kept := courier.idle[instance]
	for len(kept) > 0 && (len(kept) >= mostIdle || time.Since(kept[0].since) > idleLife) {
		_ = kept[0].connection.Close()
		kept = kept[1:]
	}
	used.since = time.Now()
	courier.idle[instance] = append(kept, used)
}

// quiet tells whether a kept connection is open with nothing to read on it: bytes that came unasked would be taken
// for the next answer.
func (line *line) quiet() bool {
	if line.reader.Buffered() > 0 || time.Since(line.since) > line.life {
		return false
	}
	known, is := line.connection.(syscall.Conn)
	return is && socket.IsIdle(known)
}

type identity struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
}

func (line *line) identify(order admission.Order) error {
	req := "GET " + IdentityPath + " HTTP/1.1\r\nHost: " + order.Backend.Address + "\r\n\r\n"
	if _, err := io.WriteString(line.connection, req); err != nil {
		return err
	}
	line.limited.N = headRoom
	response, err := http.ReadResponse(line.reader, &http.Request{Method: "GET"})
	if err != nil {
		return err
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	var told identity
	if response.StatusCode != http.StatusOK || json.Unmarshal(content, &told) != nil {
		return fmt.Errorf("no identity page (status %d)", response.StatusCode)
	}
	if told.Service != order.Backend.Service || told.Instance != order.Backend.Instance {
		return fmt.Errorf("it's %s of %s, not %s of %s", told.Instance, told.Service, order.Backend.Instance, order.Backend.Service)
	}
	if response.Close || line.reader.Buffered() > 0 {
		return errors.New("the identity page ended the connection or said more than it should")
	}
	return nil
}

func (courier *Courier) encode(line *line, order admission.Order) []byte {
	buffer := &line.buffer
	buffer.Reset()
	headers, host := courier.dialect.Head(order, order.Cutoff-courier.clock.Now()), order.Backend.Address
	for _, header := range headers {
		if header.Name == "Host" {
			host = header.Value
		}
	}
	for _, part := range []string{order.Method, " ", order.Target, " HTTP/1.1\r\nHost: ", host, "\r\n"} {
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
	if len(order.Body) > 0 || order.Method == http.MethodPost || order.Method == http.MethodPut || order.Method == http.MethodPatch {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(order.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(order.Body)
	return buffer.Bytes()
}

// read takes the answer off the connection. Whatever isn't whole, or says more than it announced, is no answer.
func (line *line) read(order admission.Order, dialect Dialect) (answer *request.Response, reusable bool, fault *apierror.Fault) {
	broken := func(format string, arguments ...any) (*request.Response, bool, *apierror.Fault) {
		return nil, false, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "%s: %s", order.Backend.Instance, fmt.Sprintf(format, arguments...))
	}
	line.allowed = int64(order.AnswerLimit) + headRoom
	line.limited.N = line.allowed
	req := &http.Request{Method: order.Method}
	var response *http.Response
	for interim := 0; ; interim++ {
		var err error
		if response, err = http.ReadResponse(line.reader, req); err != nil {
			if late(err) {
				return nil, false, apierror.New(apierror.ResponseTimeout, apierror.MayHaveRun, "%s gave no answer before the cutoff", order.Backend.Instance)
			}
			return broken("%v", err)
		}
		if response.StatusCode >= 200 {
			break
		}
		if response.StatusCode == http.StatusSwitchingProtocols || interim >= 4 {
			return broken("interim status %d", response.StatusCode)
		}
	}
	bodyless := order.Method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !bodyless {
		return broken("the answer's end can't be told from a broken connection")
	}
	if response.ContentLength > int64(order.AnswerLimit) {
		return nil, false, apierror.New(apierror.ResponseTooLarge, apierror.MayHaveRun, "%s announced %d bytes, limit %d", order.Backend.Instance, response.ContentLength, order.AnswerLimit)
	}
	body, err := Whole(io.LimitReader(response.Body, int64(order.AnswerLimit)+1), response.ContentLength)
	if err != nil {
		if late(err) {
			return nil, false, apierror.New(apierror.ResponseTimeout, apierror.MayHaveRun, "%s did not finish its answer before the cutoff", order.Backend.Instance)
		}
		return broken("%v", err)
	}
	if uint64(len(body)) > order.AnswerLimit {
		return nil, false, apierror.New(apierror.ResponseTooLarge, apierror.MayHaveRun, "%s sent more than %d bytes", order.Backend.Instance, order.AnswerLimit)
	}
	line.since = time.Now()
	surplus := line.reader.Buffered()
	if surplus > 0 && !dialect.Surplus {
		return broken("%d bytes behind the end of the answer", surplus)
	}
	notRun, err := dialect.Judge(order, response)
	if err != nil {
		return nil, false, apierror.New(apierror.ResponseMismatch, apierror.MayHaveRun, "%s: %v", order.Backend.Instance, err)
	}
	if seconds, told := strings.CutPrefix(response.Header.Get("Keep-Alive"), "timeout="); told {
		seconds, _, _ = strings.Cut(seconds, ",")
		if count, err := strconv.Atoi(strings.TrimSpace(seconds)); err == nil {
			line.life = min(idleLife, time.Duration(count)*time.Second-idleMargin)
		}
	}
	return &request.Response{Status: uint32(response.StatusCode), Headers: Kept(response.Header), Body: body, NotRun: notRun},
		!response.Close && !bodyless && surplus == 0, nil
}

// mostAhead bounds the room that is made for a body on the word of its sender.
const mostAhead = 256 << 10

// Whole reads all that comes, into room for what was announced; a negative length says that nothing was.
func Whole(source io.Reader, announced int64) ([]byte, error) {
	if announced < 0 {
		return io.ReadAll(source)
	}
	var body bytes.Buffer
	body.Grow(int(min(announced, mostAhead)) + bytes.MinRead) // with room to see the end
	_, err := body.ReadFrom(source)
	return body.Bytes(), err
}

// idleMargin is how much earlier than its backend says a connection is no longer used.
const idleMargin = time.Second

func late(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// hopByHop are the headers that belong to one connection, or that this mesh writes itself.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
	"Proxy-Connection": true, request.DeadlineHeader: true}

// Kept lists the headers that are passed on.
func Kept(headers http.Header) (kept []*wire.Header) {
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
			kept = append(kept, &wire.Header{Name: name, Value: value})
		}
	}
	return kept
}
