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

	readLock   sync.Mutex
	readBuffer []byte
	readCount  int
	readErrno  syscall.Errno
	readFunc   func(descriptor uintptr) bool

	writeLock  sync.Mutex
	unwritten  []byte
	writeErrno syscall.Errno
	noWait     bool // it's not to wait for room
	writeFunc  func(descriptor uintptr) bool
}

// Wrap takes a connection over. One that isn't TCP is left as it is.
func Wrap(connection net.Conn) net.Conn {
	plain, ok := connection.(*net.TCPConn)
	if !ok {
		return connection
	}
	raw, err := plain.SyscallConn()
	if err != nil {
		return connection
	}
	wrapped := &Conn{TCPConn: plain, raw: raw}
	wrapped.readFunc, wrapped.writeFunc = wrapped.readOnce, wrapped.writeAll
	return wrapped
}

// call makes a system call that doesn't block, again if a signal cut it short.
func retryCall(number uintptr, descriptor uintptr, content []byte) (int, syscall.Errno) {
	for {
		count, _, errno := syscall.RawSyscall(number, descriptor, uintptr(unsafe.Pointer(unsafe.SliceData(content))), uintptr(len(content)))
		if errno != syscall.EINTR {
			return int(count), errno
		}
	}
}

func (c *Conn) readOnce(descriptor uintptr) bool {
	c.readCount, c.readErrno = retryCall(syscall.SYS_READ, descriptor, c.readBuffer)
	return c.readErrno != syscall.EAGAIN
}

// Read reads what there is, and waits if there is nothing.
func (c *Conn) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	c.readLock.Lock()
	defer c.readLock.Unlock()
	c.readBuffer = buffer
	err := c.raw.Read(c.readFunc)
	c.readBuffer = nil
	switch {
	case err != nil:
		return 0, err
	case c.readErrno != 0:
		return 0, c.opError("read", c.readErrno)
	case c.readCount == 0:
		return 0, io.EOF
	}
	return c.readCount, nil
}

// maxWriteSize bounds what one call takes: more would keep the processor from other tasks.
const maxWriteSize = 1 << 20

func (c *Conn) writeAll(descriptor uintptr) bool {
	for len(c.unwritten) > 0 {
		count, errno := retryCall(syscall.SYS_WRITE, descriptor, c.unwritten[:min(len(c.unwritten), maxWriteSize)])
		if errno == syscall.EAGAIN {
			return c.noWait
		}
		if c.writeErrno = errno; errno != 0 {
			return true
		}
		c.unwritten = c.unwritten[count:]
	}
	return true
}

// Write writes all, and waits for room as long as the deadline allows.
func (c *Conn) Write(content []byte) (int, error) {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	return c.writeLocked(content, false)
}

// put writes all, or if hurried as much as there is room for. The lock is held.
func (c *Conn) writeLocked(content []byte, noWait bool) (int, error) {
	c.unwritten, c.writeErrno, c.noWait = content, 0, noWait
	err := c.raw.Write(c.writeFunc)
	written := len(content) - len(c.unwritten)
	c.unwritten = nil
	if err == nil && c.writeErrno != 0 {
		err = c.opError("write", c.writeErrno)
	}
	return written, err
}

// WriteWithin writes all, and only where there is no room for it sets a deadline that far off. It uses the deadline for writing,
// which must not be set otherwise.
func (c *Conn) WriteWithin(content []byte, timeout time.Duration) error {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	written, err := c.writeLocked(content, true)
	if err != nil || written == len(content) {
		return err
	}
	_ = c.SetWriteDeadline(time.Now().Add(timeout))
	_, err = c.writeLocked(content[written:], false)
	_ = c.SetWriteDeadline(time.Time{})
	return err
}

// WriteWithin writes all to a connection within a span.
func WriteWithin(connection net.Conn, content []byte, timeout time.Duration) error {
	if conn, ok := connection.(*Conn); ok {
		return conn.WriteWithin(content, timeout)
	}
	_ = connection.SetWriteDeadline(time.Now().Add(timeout))
	_, err := connection.Write(content)
	return err
}

// IsIdle tells whether a connection is open with nothing to read on it.
func IsIdle(connection syscall.Conn) bool {
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, descriptor, uintptr(unsafe.Pointer(&buffer[0])), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		idle = errno == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}

func (c *Conn) opError(operation string, errno syscall.Errno) error {
	return &net.OpError{Op: operation, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(operation, errno)}
}

// ReadFrom copies without the descriptor being handed to the kernel's own copying.
func (c *Conn) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(onlyWriter{c}, source)
}

// WriteTo does the same the other way.
func (c *Conn) WriteTo(target io.Writer) (int64, error) {
	return io.Copy(target, onlyReader{c})
}

type onlyWriter struct{ io.Writer }
type onlyReader struct{ io.Reader }

// listener wraps what it accepts.
type listener struct{ net.Listener }

// WrapListener has all accepted connections wrapped.
func WrapListener(plain net.Listener) net.Listener { return listener{plain} }

// Accept waits for a connection.
func (l listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(connection), nil
}
