// Package socket is TCP for short messages: its calls can't block, so the scheduler isn't told of them. Told of each, the runtime
// wakes a thread that watches for calls that take long, and that one looks every 20 µs, which costs more than the call itself.
package socket

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Conn is a connection. Invariants: its descriptor doesn't block, as of every connection of the net package; reading belongs to
// whoever reads, writing to whoever holds the lock.
type Conn struct {
	*net.TCPConn
	raw syscall.RawConn

	reading  sync.Mutex
	into     []byte
	got      int
	readTold syscall.Errno
	read     func(descriptor uintptr) bool

	writing   sync.Mutex
	rest      []byte
	writeTold syscall.Errno
	hurried   bool // it's not to wait for room
	write     func(descriptor uintptr) bool
}

// Wrap takes a connection over. One that isn't TCP is left as it is.
func Wrap(connection net.Conn) net.Conn {
	plain, is := connection.(*net.TCPConn)
	if !is {
		return connection
	}
	raw, err := plain.SyscallConn()
	if err != nil {
		return connection
	}
	made := &Conn{TCPConn: plain, raw: raw}
	made.read, made.write = made.readOnce, made.writeAll
	return made
}

// call makes a system call that doesn't block, again if a signal cut it short.
func call(number uintptr, descriptor uintptr, content []byte) (int, syscall.Errno) {
	for {
		count, _, fault := syscall.RawSyscall(number, descriptor, uintptr(unsafe.Pointer(unsafe.SliceData(content))), uintptr(len(content)))
		if fault != syscall.EINTR {
			return int(count), fault
		}
	}
}

func (conn *Conn) readOnce(descriptor uintptr) bool {
	conn.got, conn.readTold = call(syscall.SYS_READ, descriptor, conn.into)
	return conn.readTold != syscall.EAGAIN
}

// Read reads what there is, and waits if there is nothing.
func (conn *Conn) Read(into []byte) (int, error) {
	if len(into) == 0 {
		return 0, nil
	}
	conn.reading.Lock()
	defer conn.reading.Unlock()
	conn.into = into
	err := conn.raw.Read(conn.read)
	conn.into = nil
	switch {
	case err != nil:
		return 0, err
	case conn.readTold != 0:
		return 0, conn.fault("read", conn.readTold)
	case conn.got == 0:
		return 0, io.EOF
	}
	return conn.got, nil
}

// mostAtOnce bounds what one call takes: more would keep the processor from other tasks.
const mostAtOnce = 1 << 20

func (conn *Conn) writeAll(descriptor uintptr) bool {
	for len(conn.rest) > 0 {
		count, fault := call(syscall.SYS_WRITE, descriptor, conn.rest[:min(len(conn.rest), mostAtOnce)])
		if fault == syscall.EAGAIN {
			return conn.hurried
		}
		if conn.writeTold = fault; fault != 0 {
			return true
		}
		conn.rest = conn.rest[count:]
	}
	return true
}

// Write writes all, and waits for room as long as the deadline allows.
func (conn *Conn) Write(content []byte) (int, error) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	return conn.put(content, false)
}

// put writes all, or if hurried as much as there is room for. The lock is held.
func (conn *Conn) put(content []byte, hurried bool) (int, error) {
	conn.rest, conn.writeTold, conn.hurried = content, 0, hurried
	err := conn.raw.Write(conn.write)
	written := len(content) - len(conn.rest)
	conn.rest = nil
	if err == nil && conn.writeTold != 0 {
		err = conn.fault("write", conn.writeTold)
	}
	return written, err
}

// WriteWithin writes all, and only where there is no room for it sets a deadline that far off. It uses the deadline for writing,
// which must not be set otherwise.
func (conn *Conn) WriteWithin(content []byte, patience time.Duration) error {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	written, err := conn.put(content, true)
	if err != nil || written == len(content) {
		return err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(patience))
	_, err = conn.put(content[written:], false)
	_ = conn.SetWriteDeadline(time.Time{})
	return err
}

// WriteWithin writes all to a connection within a span.
func WriteWithin(connection net.Conn, content []byte, patience time.Duration) error {
	if conn, is := connection.(*Conn); is {
		return conn.WriteWithin(content, patience)
	}
	_ = connection.SetWriteDeadline(time.Now().Add(patience))
	_, err := connection.Write(content)
	return err
}

// Quiet tells whether a connection is open with nothing to read on it.
func Quiet(connection syscall.Conn) bool {
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, fault := syscall.RawSyscall6(syscall.SYS_RECVFROM, descriptor, uintptr(unsafe.Pointer(&one[0])), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		silent = fault == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}

func (conn *Conn) fault(what string, fault syscall.Errno) error {
	return &net.OpError{Op: what, Net: "tcp", Source: conn.LocalAddr(), Addr: conn.RemoteAddr(), Err: os.NewSyscallError(what, fault)}
}

// ReadFrom copies without the descriptor being handed to the kernel's own copying.
func (conn *Conn) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(onlyWriter{conn}, source)
}

// WriteTo does the same the other way.
func (conn *Conn) WriteTo(target io.Writer) (int64, error) {
	return io.Copy(target, onlyReader{conn})
}

type onlyWriter struct{ io.Writer }
type onlyReader struct{ io.Reader }

// listener wraps what it accepts.
type listener struct{ net.Listener }

// Listener has all accepted connections wrapped.
func Listener(plain net.Listener) net.Listener { return listener{plain} }

// Accept waits for a connection.
func (listener listener) Accept() (net.Conn, error) {
	connection, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(connection), nil
}
