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

// pair gives both ends of a connection.
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
	accepted, err := Listener(plain).Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialled.Close(); _ = accepted.Close() })
	return Wrap(dialled).(*Conn), accepted.(*Conn)
}

// TestMuchArrivesWhole: what is far beyond the windows of a connection arrives whole and in order, whichever way it's written.
func TestMuchArrivesWhole(t *testing.T) {
	one, other := pair(t)
	content := make([]byte, 20<<20)
	for index := range content {
		content[index] = byte(index * 7 >> 3)
	}
	for what, write := range map[string]func() error{
		"write":        func() error { _, err := one.Write(content); return err },
		"write within": func() error { return one.WriteWithin(content, time.Minute) },
		"read from":    func() error { _, err := io.Copy(one, bytes.NewReader(content)); return err },
	} {
		told := make(chan error, 1)
		go func() { told <- write() }()
		arrived := make([]byte, len(content))
		if _, err := io.ReadFull(other, arrived); err != nil || !bytes.Equal(arrived, content) {
			t.Errorf("%s: %v, or other bytes", what, err)
		}
		if err := <-told; err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
}

// TestEnds: an end is told as such, also with bytes before it; a reset is an error.
func TestEnds(t *testing.T) {
	one, other := pair(t)
	if _, err := one.Write([]byte("last")); err != nil {
		t.Fatal(err)
	}
	_ = one.Close()
	if all, err := io.ReadAll(other); err != nil || string(all) != "last" {
		t.Errorf("%q, %v", all, err)
	}
	one, other = pair(t)
	_ = one.SetLinger(0)
	_ = one.Close()
	if _, err := other.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a reset reads as %v", err)
	}
	if _, err := other.Write([]byte("x")); err == nil {
		t.Error("writing after a reset succeeds")
	}
}

// TestDeadlines: reading and writing end at their deadline, and a close wakes who waits.
func TestDeadlines(t *testing.T) {
	one, other := pair(t)
	_ = one.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := one.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("reading ended with %v", err)
	}
	if err := one.WriteWithin(make([]byte, 64<<20), time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("writing to one who doesn't read ended with %v", err)
	}
	told := make(chan error, 1)
	go func() {
		_, err := one.Read(make([]byte, 1))
		told <- err
	}()
	_ = one.SetReadDeadline(time.Time{})
	_ = one.Close()
	if err := <-told; !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a close ended reading with %v", err)
	}
	_ = other.Close()
}

// TestQuiet: bytes that came unasked, and an end, are no quiet.
func TestQuiet(t *testing.T) {
	one, other := pair(t)
	if !Quiet(one) {
		t.Error("nothing came, and it isn't quiet")
	}
	if _, err := other.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for Quiet(one) {
		runtime.Gosched() // it's on its way
	}
	one, other = pair(t)
	_ = other.Close()
	if _, err := one.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	if Quiet(one) {
		t.Error("quiet after its end")
	}
}
