//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"snowflow/platform"
)

// clientRequest is one try of a client.
type clientRequest struct {
	method, host, path string
	id                 string
	key                string // empty for none
	deadline           time.Duration
	body               string
}

// newID returns a new id of a request, a key or an instance.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (r clientRequest) encode() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", r.method, r.path, r.host, platform.RequestHeader, r.id)
	fmt.Fprintf(&text, "%s: %d\r\n", platform.DeadlineRemainingHeader, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&text, "%s: %s\r\n", platform.OperationKeyHeader, r.key)
	}
	if r.body != "" || r.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	return text.String() + "\r\n" + r.body
}

// clientAnswer is what a client got.
type clientAnswer struct {
	status     int
	stamp      string
	body       []byte
	retryAfter time.Duration
}

// send sends one try on a new connection and reads its answer.
func (r clientRequest) send(address string) (clientAnswer, error) {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return clientAnswer{}, err
	}
	defer func() { _ = connection.Close() }()
	timer := time.AfterFunc(r.deadline, func() { _ = connection.Close() })
	defer timer.Stop()
	if _, err := io.WriteString(connection, r.encode()); err != nil {
		return clientAnswer{}, err
	}
	return readAnswer(bufio.NewReader(connection), r.method)
}

// readAnswer reads one answer to its end.
func readAnswer(reader *bufio.Reader, method string) (clientAnswer, error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return clientAnswer{}, err
	}
	body, err := io.ReadAll(response.Body)
	got := clientAnswer{status: response.StatusCode, stamp: response.Header.Get(platform.ServerSealHeader), body: body}
	if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
		got.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return got, err
}
