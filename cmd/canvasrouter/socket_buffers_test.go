package main

import (
	"encoding/binary"
	"net"
	"strconv"
	"testing"

	"golang.org/x/sys/unix"
)

// Layout of the kernel's sock_diag messages (linux/inet_diag.h, linux/sock_diag.h).
const (
	sockDiagByFamily    = 20
	diagRequestSize     = 56
	diagMessageSize     = 72
	diagExtensionMemory = 7 // INET_DIAG_SKMEMINFO
	diagPortOffset      = 4 // of the source port, in network byte order
	memoryReceived      = 0 // index of the bytes that the receive buffer takes
	memorySent          = 2 // the same of the send buffer
	memoryForward       = 4 // bytes that the socket holds in reserve
)

// socketBuffers returns the kernel memory that the buffers of all connections of a listener's port take, in bytes.
func socketBuffers(t *testing.T, addr string) (total int) {
	t.Helper()
	_, portText, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	port, _ := strconv.Atoi(portText)
	socket, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM, unix.NETLINK_INET_DIAG)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(socket)
	request := make([]byte, unix.NLMSG_HDRLEN+diagRequestSize)
	order := binary.NativeEndian
	order.PutUint32(request[0:], uint32(len(request)))
	order.PutUint16(request[4:], sockDiagByFamily)
	order.PutUint16(request[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	body := request[unix.NLMSG_HDRLEN:]
	body[0] = unix.AF_INET
	body[1] = unix.IPPROTO_TCP
	body[2] = 1 << (diagExtensionMemory - 1)
	order.PutUint32(body[4:], 1<<unix.BPF_TCP_ESTABLISHED|1<<unix.BPF_TCP_CLOSE_WAIT|1<<unix.BPF_TCP_FIN_WAIT1|1<<unix.BPF_TCP_FIN_WAIT2|1<<unix.BPF_TCP_LAST_ACK|1<<unix.BPF_TCP_CLOSING)
	if err := unix.Sendto(socket, request, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 1<<16)
	for {
		n, _, err := unix.Recvfrom(socket, buffer, 0)
		if err != nil {
			t.Fatal(err)
		}
		for messages := buffer[:n]; len(messages) >= unix.NLMSG_HDRLEN; {
			length := int(order.Uint32(messages))
			if kind := order.Uint16(messages[4:]); kind == unix.NLMSG_DONE || kind == unix.NLMSG_ERROR {
				return total
			}
			total += connectionBuffers(messages[unix.NLMSG_HDRLEN:length], port)
			messages = messages[min((length+3)&^3, len(messages)):]
		}
	}
}

// connectionBuffers returns the memory of one connection, or 0 if its local port is another one.
func connectionBuffers(message []byte, port int) int {
	if int(binary.BigEndian.Uint16(message[diagPortOffset:])) != port {
		return 0
	}
	order := binary.NativeEndian
	for attributes := message[diagMessageSize:]; len(attributes) >= unix.SizeofRtAttr; {
		length := int(order.Uint16(attributes))
		if order.Uint16(attributes[2:]) == diagExtensionMemory {
			value := func(i int) int { return int(order.Uint32(attributes[unix.SizeofRtAttr+4*i:])) }
			return value(memoryReceived) + value(memorySent) + value(memoryForward)
		}
		attributes = attributes[min((length+3)&^3, len(attributes)):]
	}
	return 0
}
