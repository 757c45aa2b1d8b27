package live

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// addressPool hands out listen addresses that belong to one run, also while no socket listens there, so that a server
// or node that restarts can listen on its old address.
//
// Each run has a loopback IP address of its own, which no outgoing connection uses. On a shared IP address a port that
// was free a moment ago could be taken by a connection or a server of another run.
type addressPool struct {
	reservation net.Listener // holds the IP address for this run
	ip          string
	lastPort    int
}

const (
	firstPort  = 20001 // below the range of ephemeral ports
	maxIPTries = 64    // IP addresses to try
)

// poolCount is the number of IP addresses tried by this process; it makes each try a different address.
var poolCount atomic.Uint32

// newAddressPool claims a loopback IP address that no other run on this machine uses.
func newAddressPool() (*addressPool, error) {
	for range maxIPTries {
		id := uint32(os.Getpid())*7 + poolCount.Add(1)
		ip := fmt.Sprintf("127.%d.%d.%d", 1+id>>16%254, id>>8&255, 1+id%254)
		if listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, firstPort-1)); err == nil {
			return &addressPool{reservation: listener, ip: ip, lastPort: firstPort}, nil
		}
	}
	return nil, fmt.Errorf("no loopback address of 127.0.0.0/8 is free for this run")
}

// nextAddr returns the next address. It doesn't check by listening that the address is free: a process that is forked
// at that moment would inherit the listener and keep the address taken for a while.
func (p *addressPool) nextAddr() string {
	p.lastPort++
	return fmt.Sprintf("%s:%d", p.ip, p.lastPort)
}

// close releases the IP address.
func (p *addressPool) close() {
	if p != nil && p.reservation != nil {
		p.reservation.Close()
	}
}
