package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"snowflow/internal/apierror"
	"snowflow/internal/proxy/admission"
	"snowflow/internal/proxy/request"
)

// maxInterim bounds the number of interim responses (status below 200) before the final one.
const maxInterim = 4

// message is one complete HTTP response.
type message struct {
	head     *http.Response
	body     []byte
	bodyless bool // it has no body, even if its headers announce one
}

// readResponse reads the response to a request, and reports whether the connection may be used again. It discards one duplicate
// response to an earlier request.
func (c *backendConn) readResponse(req admission.BackendRequest, dialect Dialect) (*request.Response, bool, *apierror.Error) {
	c.readLimit, c.limited.N = 0, 0
	received, fault := c.readMessage(req)
	if fault == nil && c.isDuplicate(req, dialect, received.head) {
		received, fault = c.readMessage(req)
	}
	if fault != nil {
		return nil, false, fault
	}
	trailing := c.reader.Buffered()
	if trailing > 0 && !dialect.AllowsTrailingBytes {
		return nil, false, malformed(req, "%d bytes after the end of the response", trailing)
	}
	head := received.head
	notRun, err := dialect.CheckResponse(req, head)
	if err != nil {
		return nil, false, apierror.New(apierror.ResponseMismatch, apierror.MayHaveRun, "%s: %v", req.Backend.Instance, err)
	}
	c.applyKeepAlive(head.Header)
	response := &request.Response{
		Status:  uint32(head.StatusCode),
		Headers: EndToEndHeaders(head.Header),
		Body:    received.body,
		NotRun:  notRun,
	}
	return response, !head.Close && !received.bodyless && trailing == 0, nil
}

// isDuplicate reports whether a response belongs to an earlier request on this connection, so that the response to req may follow it.
// After a HEAD request it reports false: responses are then read without a body, so the end of one to another method is unknown.
func (c *backendConn) isDuplicate(req admission.BackendRequest, dialect Dialect, head *http.Response) bool {
	id := dialect.ResponseID(head)
	return id != "" && id != dialect.RequestID(req) && !head.Close && req.Method != http.MethodHead && c.history.contains(id)
}

// readMessage reads one complete response.
func (c *backendConn) readMessage(req admission.BackendRequest) (message, *apierror.Error) {
	head, fault := c.readHead(req)
	if fault != nil {
		return message{}, fault
	}
	bodyless := req.Method == http.MethodHead || head.StatusCode == http.StatusNoContent || head.StatusCode == http.StatusNotModified
	if head.ContentLength < 0 && len(head.TransferEncoding) == 0 && !bodyless {
		return message{}, malformed(req, "the answer's end can't be told from a broken connection")
	}
	body, fault := readBody(req, head)
	if fault != nil {
		return message{}, fault
	}
	return message{head: head, body: body, bodyless: bodyless}, nil
}

// readHead reads the status and the headers of a response, and skips interim responses.
func (c *backendConn) readHead(req admission.BackendRequest) (*http.Response, *apierror.Error) {
	limit := int64(req.ResponseLimit) + maxHeaderBytes
	c.readLimit += limit
	c.limited.N += limit
	httpRequest := &http.Request{Method: req.Method}
	for interim := 0; ; interim++ {
		head, err := http.ReadResponse(c.reader, httpRequest)
		if isTimeout(err) {
			return nil, apierror.New(apierror.ResponseTimeout, apierror.MayHaveRun, "%s gave no response before the deadline", req.Backend.Instance)
		}
		if err != nil {
			return nil, malformed(req, "%v", err)
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
		if head.StatusCode == http.StatusSwitchingProtocols || interim >= maxInterim {
			return nil, malformed(req, "interim status %d", head.StatusCode)
		}
	}
}

func readBody(req admission.BackendRequest, head *http.Response) ([]byte, *apierror.Error) {
	limit := int64(req.ResponseLimit)
	if head.ContentLength > limit {
		return nil, apierror.New(apierror.ResponseTooLarge, apierror.MayHaveRun,
			"%s announced %d bytes, limit %d", req.Backend.Instance, head.ContentLength, limit)
	}
	body, err := ReadAll(io.LimitReader(head.Body, limit+1), head.ContentLength)
	if isTimeout(err) {
		return nil, apierror.New(apierror.ResponseTimeout, apierror.MayHaveRun,
			"%s did not finish its response before the deadline", req.Backend.Instance)
	}
	if err != nil {
		return nil, malformed(req, "%v", err)
	}
	if int64(len(body)) > limit {
		return nil, apierror.New(apierror.ResponseTooLarge, apierror.MayHaveRun, "%s sent more than %d bytes", req.Backend.Instance, limit)
	}
	return body, nil
}

// malformed returns the error for a response that is incomplete, is not valid HTTP, or is longer than announced.
func malformed(req admission.BackendRequest, format string, arguments ...any) *apierror.Error {
	return apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "%s: %s", req.Backend.Instance, fmt.Sprintf(format, arguments...))
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
