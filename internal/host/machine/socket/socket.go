// Package socket implements a TCP connection for short messages. It makes the system calls for reading and writing without notifying
// the Go scheduler, which is safe because they never block: the descriptor is non-blocking, and waiting is left to the runtime's
// poller. If the scheduler were notified, the runtime would wake a thread that checks every 20 µs for calls that take long, which
// costs more than the call itself.
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

// Conn is a TCP connection. It is safe for concurrent use, like any net.Conn.
//
// Invariant: its descriptor is non-blocking, like that of every connection of package net.
type Conn struct {
	*net.TCPConn
	raw syscall.RawConn

	readLock   sync.Mutex // guards the read state below
	readBuffer []byte
	readCount  int
	readErrno  syscall.Errno
	readFunc   func(descriptor uintptr) bool // the method value readOnce, kept to save an allocation per read

	writeLock  sync.Mutex // guards the write state below
	unwritten  []byte
	writeErrno syscall.Errno
	noWait     bool                          // whether to return instead of waiting for buffer space
	writeFunc  func(descriptor uintptr) bool // the method value writeAll, kept to save an allocation per write
}

// Wrap returns a Conn to use in place of a TCP connection. Other connections are returned unchanged.
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

// rawCall makes a non-blocking system call on a descriptor and a buffer, and repeats it if a signal interrupts it.
func rawCall(number uintptr, descriptor uintptr, content []byte) (int, syscall.Errno) {
	for {
		count, _, errno := syscall.RawSyscall(number, descriptor, uintptr(unsafe.Pointer(unsafe.SliceData(content))), uintptr(len(content)))
		if errno != syscall.EINTR {
			return int(count), errno
		}
	}
}

// readOnce reads once into readBuffer. It returns false if there is nothing to read, which makes the poller wait.
func (c *Conn) readOnce(descriptor uintptr) bool {
	c.readCount, c.readErrno = rawCall(syscall.SYS_READ, descriptor, c.readBuffer)
	return c.readErrno != syscall.EAGAIN
}

// Read reads the bytes that have arrived. If there are none, it waits for some until the read deadline.
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

// maxWriteSize bounds the bytes that one system call writes: a longer call would keep the processor from other tasks.
const maxWriteSize = 1 << 20

// writeAll writes the unwritten bytes. If no buffer space is left, it returns false, which makes the poller wait, unless noWait is
// set.
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
// The caller holds writeLock.
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

// WriteWithin writes all of content within a timeout. It sets the write deadline, which must not be used for anything else, but only if
// the content does not fit into the system's buffer, to save the cost of a timer.
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

// IsIdle reports whether a connection is open and has nothing to read. It neither blocks nor consumes any bytes.
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

// ReadFrom implements io.ReaderFrom by calls of Write. The method of TCPConn would instead let the kernel copy between descriptors.
func (c *Conn) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(onlyWriter{c}, source)
}

// WriteTo implements io.WriterTo by calls of Read.
func (c *Conn) WriteTo(target io.Writer) (int64, error) {
	return io.Copy(target, onlyReader{c})
}

// onlyWriter and onlyReader hide all other methods of a Conn, so that io.Copy does not call ReadFrom and WriteTo again.
type onlyWriter struct{ io.Writer }
type onlyReader struct{ io.Reader }

// listener wraps the connections that it accepts.
type listener struct{ net.Listener }

// WrapListener returns a listener that passes each connection that it accepts through Wrap.
func WrapListener(plain net.Listener) net.Listener { return listener{plain} }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(connection), nil
}
