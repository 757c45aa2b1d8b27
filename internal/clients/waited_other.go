//go:build !linux

package clients

import (
	"net"
	"time"
)

// waited is not told here: an op's time begins when it is read.
func waited(*net.TCPConn) time.Duration { return 0 }
