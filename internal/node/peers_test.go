package node

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"canvasrouter/policy"
)

// fakePeers records the calls.
type fakePeers struct{ record func(string) }

func (o *fakePeers) Send(number int, message PeerMessage) {
	o.record(fmt.Sprintf("sent to %d %v", number, message))
}

func (o *fakePeers) PushSent(policy.ServerID, policy.CategoryID) { o.record("push sent") }
func (o *fakePeers) ListChanged(list []policy.ListEntry) {
	o.record(fmt.Sprintf("list of %d", len(list)))
}

func (o *fakePeers) PushEnded(_ policy.ServerID, _ policy.CategoryID, outcome policy.Outcome, _ policy.Micros) {
	o.record("push ended " + outcome.String())
}

// TestPeers checks messages in both directions, the reports on pushes, and the weight factors: they apply to ready servers
// only, also in later lists, and are dropped without peers.
func TestPeers(t *testing.T) {
	var inputs []string
	got := runScenario(t, 10, func(in *policy.Input) []policy.Effect {
		switch in.Kind {
		case policy.ListReceived:
			line := fmt.Sprint("form ", in.Form)
			for _, e := range in.List {
				line += fmt.Sprintf(", %d: %g", e.Server, e.Weight)
			}
			inputs = append(inputs, line)
		case policy.PeerMessageReceived:
			inputs = append(inputs, fmt.Sprint("message ", in.Message))
		case policy.OpArrived:
			return []policy.Effect{pushFor(100), {Kind: policy.SendToPeer, PeerNumber: 3, Message: [3]byte{1, 2, 3}}}
		}
		return nil
	}, func(r *harness) {
		inputs = nil
		entries := []policy.ListEntry{{Server: 7, Weight: 2}, {Server: 8, Weight: 2, State: policy.Draining}, {Server: 9, Weight: 1}}
		r.ListReceived(&List{Form: policy.ListFull, Entries: entries, Addrs: make([]string, 3)})
		r.SetPeers(&fakePeers{r.record})
		factors := map[policy.ServerID]float64{7: 0.25, 8: 0.25, 99: 0.25}
		r.SetWeightFactors(factors)
		r.SetWeightFactors(factors) // unchanged factors are not passed on
		r.ListReceived(&List{Form: policy.ListChanges, Entries: entries[:1], Addrs: make([]string, 1)})
		r.PeerMessagesReceived([]byte{1, 1, 1, 2, 2, 2, 3})
		synctest.Wait()
		r.submitOp()
		r.PushEnded(r.pushes[0], Result{Outcome: policy.Reset})
		r.SetPeers(nil)
		synctest.Wait()
	})
	want := []string{"form 1, 7: 2, 8: 2, 9: 1", "form 4, 7: 0.5", "form 0, 7: 0.5", "message [1 1 1]", "message [2 2 2]", "form 4, 7: 2"}
	if diff := cmp.Diff(want, inputs); diff != "" {
		t.Error(diff)
	}
	for _, line := range []string{"list of 3", "push sent", "sent to 3 [1 2 3]", "push ended reset"} {
		if !strings.Contains(strings.Join(got, "\n"), line) {
			t.Errorf("no %q in %v", line, got)
		}
	}
}
