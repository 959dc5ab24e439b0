package socket

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"testing"
	"time"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (*Conn, *Conn) {
	t.Helper()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	dialled, err := net.Dial("tcp", plain.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := WrapListener(plain).Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialled.Close(); _ = accepted.Close() })
	return Wrap(dialled).(*Conn), accepted.(*Conn)
}

// TestLargeTransferArrivesComplete checks that content much larger than a connection's buffers arrives complete and in order,
// whichever method writes it.
func TestLargeTransferArrivesComplete(t *testing.T) {
	client, server := pair(t)
	content := make([]byte, 20<<20)
	for index := range content {
		content[index] = byte(index * 7 >> 3)
	}
	for name, write := range map[string]func() error{
		"write":        func() error { _, err := client.Write(content); return err },
		"write within": func() error { return client.WriteWithin(content, time.Minute) },
		"read from":    func() error { _, err := io.Copy(client, bytes.NewReader(content)); return err },
	} {
		result := make(chan error, 1)
		go func() { result <- write() }()
		arrived := make([]byte, len(content))
		if _, err := io.ReadFull(server, arrived); err != nil || !bytes.Equal(arrived, content) {
			t.Errorf("%s: reading ended with %v, or other bytes arrived", name, err)
		}
		if err := <-result; err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestEndOfStreamAndReset checks that Read returns io.EOF at the end of the stream, also after content, and another error after a
// reset.
func TestEndOfStreamAndReset(t *testing.T) {
	client, server := pair(t)
	if _, err := client.Write([]byte("last")); err != nil {
		t.Fatal(err)
	}
	_ = client.Close()
	if all, err := io.ReadAll(server); err != nil || string(all) != "last" {
		t.Errorf("read %q, %v", all, err)
	}
	client, server = pair(t)
	_ = client.SetLinger(0)
	_ = client.Close()
	if _, err := server.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a reset reads as %v", err)
	}
	if _, err := server.Write([]byte("x")); err == nil {
		t.Error("writing after a reset succeeds")
	}
}

// TestDeadlines checks that reads and writes end at their deadline, and that closing a connection ends a read.
func TestDeadlines(t *testing.T) {
	client, server := pair(t)
	_ = client.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("reading ended with %v", err)
	}
	if err := client.WriteWithin(make([]byte, 64<<20), time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("writing to a peer that doesn't read ended with %v", err)
	}
	result := make(chan error, 1)
	go func() {
		_, err := client.Read(make([]byte, 1))
		result <- err
	}()
	_ = client.SetReadDeadline(time.Time{})
	_ = client.Close()
	if err := <-result; !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after a close, reading ended with %v", err)
	}
	_ = server.Close()
}

// TestIsIdle checks that a connection with unread content, or one that has ended, is not idle.
func TestIsIdle(t *testing.T) {
	client, server := pair(t)
	if !IsIdle(client) {
		t.Error("an open connection without unread content is not idle")
	}
	if _, err := server.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for IsIdle(client) {
		runtime.Gosched() // the byte has not arrived yet
	}
	client, server = pair(t)
	_ = server.Close()
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	if IsIdle(client) {
		t.Error("a connection that has ended is idle")
	}
}
