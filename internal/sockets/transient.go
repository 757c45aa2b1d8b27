package sockets

import (
	"errors"
	"syscall"
	"time"
)

// TransientPause is the time after which a call that failed for a moment is made again.
const TransientPause = 5 * time.Millisecond

// defects are the errors of accept that tell of a defect of this process. All others pass: Linux reports errors of the network and of
// the connection that was to be accepted, and a shortage of files or memory.
var defects = []error{syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP}

// shortages are the errors of opening a socket that say nothing about its peer: this machine lacks something for a moment.
var shortages = []error{syscall.EAGAIN, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// isAny reports whether an error is one of several.
func isAny(err error, targets []error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// AcceptMayPass reports whether accept may succeed after an error.
func AcceptMayPass(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && !isAny(err, defects)
}

// IsShortage reports whether a socket could not be opened because this machine lacks something for a moment.
func IsShortage(err error) bool { return isAny(err, shortages) }
