package live

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// ports gives addresses that stay a run's own, also while nobody listens there: a server that has died and a node that
// restarts come back to theirs.
//
// Danger: a port that was free a moment ago is taken by another run's connection, or its server. So each run has a
// loopback address of its own, from which nobody connects.
type addressPool struct {
	reservation net.Listener
	ip          string
	lastPort    int
}

const (
	firstPort  = 20001 // below those that the kernel gives out
	maxIPTries = 64
)

var poolCount atomic.Uint32

func newAddressPool() (*addressPool, error) {
	for range maxIPTries {
		id := uint32(os.Getpid())*7 + poolCount.Add(1)
		ip := fmt.Sprintf("127.%d.%d.%d", 1+id>>16%254, id>>8&255, 1+id%254)
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, firstPort-1)); err == nil {
			return &addressPool{reservation: l, ip: ip, lastPort: firstPort}, nil
		}
	}
	return nil, fmt.Errorf("no loopback address of 127.0.0.0/8 is free for this run")
}

// addr gives the next address. Danger: to try it out would leave it taken for a moment, by a process that is being
// forked just then and still holds the listener.
func (p *addressPool) nextAddr() string {
	p.lastPort++
	return fmt.Sprintf("%s:%d", p.ip, p.lastPort)
}

// close gives the address back.
func (p *addressPool) close() {
	if p != nil && p.reservation != nil {
		p.reservation.Close()
	}
}
