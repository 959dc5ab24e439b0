// Package socket is a TCP connection for short messages. It makes the system calls for reading and writing without notifying the Go
// scheduler, which is safe because they never block: the descriptor is non-blocking, and waiting is left to the runtime's poller.
// If the scheduler is notified, the runtime wakes a thread that checks every 20 µs for calls that take long, which costs more than
// the call itself.
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

// Conn is a TCP connection. It is safe for concurrent use, as any net.Conn.
//
// Invariant: its descriptor is non-blocking, as that of every connection of package net.
type Conn struct {
	*net.TCPConn
	raw syscall.RawConn

	readLock   sync.Mutex // guards the following
	readBuffer []byte
	readCount  int
	readErrno  syscall.Errno
	readFunc   func(descriptor uintptr) bool // readOnce as a value, to save an allocation per read

	writeLock  sync.Mutex // guards the following
	unwritten  []byte
	writeErrno syscall.Errno
	noWait     bool                          // whether to return instead of waiting for buffer space
	writeFunc  func(descriptor uintptr) bool // writeAll as a value, to save an allocation per write
}

// Wrap returns a connection that replaces the given one. A connection that is not TCP is returned as it is.
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

// rawCall makes a non-blocking system call on a descriptor and a buffer, again if a signal interrupted it.
func rawCall(number uintptr, descriptor uintptr, content []byte) (int, syscall.Errno) {
	for {
		count, _, errno := syscall.RawSyscall(number, descriptor, uintptr(unsafe.Pointer(unsafe.SliceData(content))), uintptr(len(content)))
		if errno != syscall.EINTR {
			return int(count), errno
		}
	}
}

// readOnce reads once into readBuffer. It reports false if there was nothing, which makes the poller wait.
func (c *Conn) readOnce(descriptor uintptr) bool {
	c.readCount, c.readErrno = rawCall(syscall.SYS_READ, descriptor, c.readBuffer)
	return c.readErrno != syscall.EAGAIN
}

// Read reads what there is, and waits if there is nothing, until the read deadline.
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

// writeAll writes what is unwritten. It reports false if there is no buffer space and it may wait for it.
func (c *Conn) writeAll(descriptor uintptr) bool {
	for len(c.unwritten) > 0 {
		count, errno := rawCall(syscall.SYS_WRITE, descriptor, c.unwritten[:min(len(c.unwritten), maxWriteSize)])
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

// Write writes all of content, and waits for buffer space until the write deadline.
func (c *Conn) Write(content []byte) (int, error) {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	return c.writeLocked(content, false)
}

// writeLocked writes all of content, or with noWait as much as there is buffer space for. It returns the number of bytes written.
// The lock is held.
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

// WriteWithin writes all of content within a timeout. It uses the write deadline, which must not be set otherwise, and sets it only
// if the content does not fit into the system's buffer, to save the cost of a timer.
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

// WriteWithin writes all of content to a connection within a timeout. It uses the connection's write deadline.
func WriteWithin(connection net.Conn, content []byte, timeout time.Duration) error {
	if conn, ok := connection.(*Conn); ok {
		return conn.WriteWithin(content, timeout)
	}
	_ = connection.SetWriteDeadline(time.Now().Add(timeout))
	_, err := connection.Write(content)
	return err
}

// IsIdle reports whether a connection is open and has nothing to read. It doesn't block and reads nothing.
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

// ReadFrom implements io.ReaderFrom by plain writes. TCPConn's would pass the descriptor to the kernel to copy.
func (c *Conn) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(onlyWriter{c}, source)
}

// WriteTo implements io.WriterTo by plain reads.
func (c *Conn) WriteTo(target io.Writer) (int64, error) {
	return io.Copy(target, onlyReader{c})
}

// onlyWriter and onlyReader hide all other methods, so that io.Copy does not call ReadFrom and WriteTo again.
type onlyWriter struct{ io.Writer }
type onlyReader struct{ io.Reader }

// listener wraps the connections that it accepts.
type listener struct{ net.Listener }

// WrapListener returns a listener whose connections are replaced as by Wrap.
func WrapListener(plain net.Listener) net.Listener { return listener{plain} }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(connection), nil
}
