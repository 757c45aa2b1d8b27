package memory

import (
	"fmt"
	"testing"
)

// TestPlan checks that the bounds of all parts are within the limits, for the smallest and largest that operators have.
func TestPlan(t *testing.T) {
	for _, c := range []struct {
		megabytes, descriptors int
	}{{32, 256}, {32, 1024}, {64, 512}, {96, 1024}, {192, 256}, {192, 1024}, {2048, 4096}} {
		limit := int64(c.megabytes) << 20
		p := NewPlan(limit, c.descriptors)
		t.Logf("%d MB, %d descriptors: %+v", c.megabytes, c.descriptors, p)
		name := fmt.Sprintf("%d MB, %d descriptors", c.megabytes, c.descriptors)
		if sum := int64(programBytes) + p.HeapLimit + p.KernelBytes; sum > limit {
			t.Errorf("%s: program, heap and kernel may take %d bytes", name, sum)
		}
		live := p.HeadBytes + p.BodyBytes + p.AnswerBytes +
			int64(p.ClientSockets*clientConnBytes+p.PendingOps*pendingOpBytes+p.ServerSockets*serverConnBytes)
		if heap := float64(p.HeapLimit-fixedHeapBytes) * (1 - garbageShare); float64(live) > heap {
			t.Errorf("%s: what is held may take %d bytes of %.0f", name, live, heap)
		}
		if sockets := reservedFiles + p.ClientSockets + p.ServerSockets + p.RegistrySockets; sockets > c.descriptors {
			t.Errorf("%s: %d descriptors", name, sockets)
		}
		if p.PendingOps >= p.ServerSockets || p.PendingOps >= p.ClientSockets {
			t.Errorf("%s: %d pending ops with %d and %d sockets", name, p.PendingOps, p.ClientSockets, p.ServerSockets)
		}
	}
}
