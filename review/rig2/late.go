package rig2

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// LateListener is a listener whose connections can be made to come up late: while it is clogged, its queue of connections is
// full, so the kernel drops what asks for a new one, and the client's kernel asks again after a second.
type LateListener struct {
	net.Listener
	mu       sync.Mutex // guards the fields below
	clogged  chan struct{}
	fillers  []net.Conn
	maxQueue int
}

// ListenLate opens a LateListener on a free port.
func (c *Case) ListenLate() *LateListener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	c.Check(err)
	c.Check(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	c.Check(syscall.Listen(fd, 1))
	file := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(file)
	c.Check(err)
	file.Close()
	c.Check(setBacklog(l, 1))
	return &LateListener{Listener: l, maxQueue: 2}
}

// setBacklog sets the length of the queue anew, which net.FileListener has made long.
func setBacklog(l net.Listener, backlog int) error {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), backlog) })
	return err
}

// Accept waits while the listener is clogged.
func (l *LateListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		clogged := l.clogged
		l.mu.Unlock()
		if clogged != nil {
			<-clogged
			continue
		}
		return l.Listener.Accept()
	}
}

// Clog fills the queue of the listener until Unclog. One connection may be accepted meanwhile: the first filler, by the Accept that
// was waiting.
func (l *LateListener) Clog() {
	l.mu.Lock()
	l.clogged = make(chan struct{})
	l.mu.Unlock()
	for range 1 + l.maxQueue {
		if conn, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond); err == nil {
			l.fillers = append(l.fillers, conn)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// Unclog empties the queue again.
func (l *LateListener) Unclog() {
	for _, conn := range l.fillers {
		conn.Close()
	}
	l.mu.Lock()
	l.fillers = nil
	close(l.clogged)
	l.clogged = nil
	l.mu.Unlock()
}

// CheckLate ends the case if connections can't be made to come up late on this machine.
func (c *Case) CheckLate() {
	l := c.ListenLate()
	defer l.Close()
	go func() {
		for {
			if _, err := l.Accept(); err != nil {
				return
			}
		}
	}()
	l.Clog()
	time.AfterFunc(500*time.Millisecond, l.Unclog)
	start := time.Now()
	conn, err := net.DialTimeout("tcp", l.Addr().String(), 2*time.Second)
	if err == nil {
		conn.Close()
	}
	if took := time.Since(start); err != nil || took < 900*time.Millisecond || took > 1150*time.Millisecond {
		c.Check(fmt.Errorf("a late connection took %v: %w", took, errors.Join(errors.New("not about 1 s"), err)))
	}
}
