//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"snowflow/internal/monotonic"
	"snowflow/platform"
)

const (
	archiveHost, archiveService = "archiv.example", "archiv"
	// batchBytes is the size of a scanned batch, and linkBytes what a client's link carries in a second. The system's own buffers
	// take some megabytes of an answer, which a client still gets when the process that wrote them has ended.
	batchBytes = 14 << 20
	linkBytes  = 4 << 20
	// linkWindow is the client's receive window.
	linkWindow = 128 << 10
	// batchWork is how long the backend works on a batch, and batchDeadline how long a client waits for one.
	batchWork     = 50 * time.Millisecond
	batchDeadline = 5 * time.Second
	// batchClients is the number of clients, and batchInterval the time between their requests.
	batchClients  = 4
	batchInterval = 300 * time.Millisecond
	// readPause is the time between two reads from a link.
	readPause = 10 * time.Millisecond
)

// slowReader downloads batches over links slower than the machines' own while the platform stops the proxy that took the requests. Each
// client has its answer well before the deadline and the end of the grace period if the proxy goes on sending it.
func slowReader(fleet *fleet, trouble bool) ([]string, error) {
	batch := bytes.Repeat([]byte("0123456789abcdef"), batchBytes/16)
	if err := deployArchive(fleet, batch); err != nil {
		return nil, err
	}
	// No start or stop within contactWindowS before the first request.
	time.Sleep(4 * time.Second)
	var stopped sync.WaitGroup
	if trouble {
		taker := fleet.running["proxy-11"]
		stopped.Go(func() { fleet.terminate(taker) })
		time.Sleep(batchInterval)
	}
	results := make([]string, batchClients)
	var clients sync.WaitGroup
	for index := range results {
		clients.Go(func() { results[index] = download(fleet, index, len(batch)) })
		time.Sleep(batchInterval)
	}
	clients.Wait()
	stopped.Wait()
	var breaks []string
	for _, text := range results {
		if text != "" {
			breaks = append(breaks, "LOST: "+text)
		}
	}
	return breaks, nil
}

// deployArchive starts three application machines: that of the clients, and two with a backend of the service.
func deployArchive(fleet *fleet, batch []byte) error {
	if err := fleet.startAll(map[int]string{11: "katalog", 12: archiveService, 13: archiveService}); err != nil {
		return err
	}
	routes := []route{{Name: "davky", Host: archiveHost, Prefix: "/davky/", Type: "download", Service: archiveService, TimeoutS: 5, TargetS: 0.6}}
	if err := fleet.configure(3, routes, "katalog", archiveService); err != nil {
		return err
	}
	handle := func(connection *backendConnection, request *http.Request, _ []byte) bool {
		id := request.Header.Get(platform.RequestHeader)
		time.Sleep(batchWork)
		_, err := connection.Write(answer{status: http.StatusOK, id: id, stamp: "stamp-" + id, body: batch}.encode())
		fleet.record.line("archiv has answered request %s whole: %d bytes, error %v", id, len(batch), err)
		return err == nil
	}
	for _, machine := range []int{12, 13} {
		if _, err := fleet.startBackend(machine, archiveService, 6, handle); err != nil {
			return err
		}
	}
	if err := fleet.awaitReady(11); err != nil {
		return err
	}
	return fleet.retry("a first download", func() error {
		request := clientRequest{method: http.MethodGet, host: archiveHost, path: "/davky/first", id: newID(), deadline: batchDeadline}
		got, err := request.send(fleet.outbound(11))
		if err == nil && len(got.body) != len(batch) {
			err = fmt.Errorf("status %d, %d bytes", got.status, len(got.body))
		}
		return err
	})
}

// slowLink reads a connection as fast as a slow link carries it.
type slowLink struct {
	net.Conn
	clock *monotonic.SystemClock
	start monotonic.Micros
	count int // bytes read
}

func (l *slowLink) Read(buffer []byte) (int, error) {
	elapsed := float64(l.clock.Now()-l.start) / float64(monotonic.Second)
	for float64(l.count) > linkBytes*elapsed {
		time.Sleep(readPause)
		elapsed = float64(l.clock.Now()-l.start) / float64(monotonic.Second)
	}
	count, err := l.Conn.Read(buffer)
	l.count += count
	return count, err
}

// dialSlowLink connects with the small window of a slow link.
func dialSlowLink(clock *monotonic.SystemClock, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(descriptor uintptr) {
			err = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindow)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	connection, err := dialer.Dial("tcp", address)
	return &slowLink{Conn: connection, clock: clock, start: clock.Now()}, err
}

// download reads one batch over a slow link. It returns how the rule was broken, or nothing.
func download(fleet *fleet, index, size int) string {
	request := clientRequest{method: http.MethodGet, host: archiveHost, path: fmt.Sprintf("/davky/%d", index), id: newID(), deadline: batchDeadline}
	connection, err := dialSlowLink(fleet.record.clock, fleet.outbound(11))
	if err != nil {
		fleet.record.line("client %d: not sent: %v", index, err)
		return ""
	}
	defer func() { _ = connection.Close() }()
	if _, err := io.WriteString(connection, request.encode()); err != nil {
		fleet.record.line("client %d: not sent: %v", index, err)
		return ""
	}
	started := fleet.record.seconds()
	fleet.record.line("client %d: request %s sent", index, request.id)
	got, err := readAnswer(bufio.NewReaderSize(connection, 64<<10), request.method)
	took := fleet.record.seconds() - started
	fleet.record.line("client %d: request %s: status %d, %d bytes of %d, after %.2f s, error %v", index, request.id, got.status, len(got.body), size, took, err)
	if err == nil || took >= batchDeadline.Seconds() {
		return ""
	}
	return fmt.Sprintf("request %s was read and answered by its backend, and its connection ended after %.2f s and %d of %d bytes", request.id, took, len(got.body), size)
}
