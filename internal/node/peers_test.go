package node

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"canvasrouter/policy"
)

// others is a stand-in for the other nodes.
type others struct{ note func(string) }

func (o *others) Send(number int, w PeerMessage)              { o.note(fmt.Sprintf("told %d %v", number, w)) }
func (o *others) PushSent(policy.ServerID, policy.CategoryID) { o.note("sent") }
func (o *others) ListChanged(list []policy.ListEntry)         { o.note(fmt.Sprintf("follows %d", len(list))) }
func (o *others) PushEnded(_ policy.ServerID, _ policy.CategoryID, how policy.Outcome, _ policy.Micros) {
	o.note("ended " + how.String())
}

// What others hear and what comes from them: words out and in, ends of pushes, parts of weights of servers that are ready
// and of no others, also in lists that come later; with nobody to hear, all weights are whole again.
func TestPeers(t *testing.T) {
	var lists []string
	got := play(t, 10, func(in *policy.Input) []policy.Effect {
		switch in.Kind {
		case policy.ListReceived:
			line := fmt.Sprint("form ", in.Form)
			for _, e := range in.List {
				line += fmt.Sprintf(", %d: %g", e.Server, e.Weight)
			}
			lists = append(lists, line)
		case policy.PeerMessageReceived:
			lists = append(lists, fmt.Sprint("said ", in.Message))
		case policy.OpArrived:
			return []policy.Effect{pushFor(100), {Kind: policy.SendToPeer, PeerNumber: 3, Message: [3]byte{1, 2, 3}}}
		}
		return nil
	}, func(r *rig) {
		lists = nil
		entries := []policy.ListEntry{{Server: 7, Weight: 2}, {Server: 8, Weight: 2, State: policy.Draining}, {Server: 9, Weight: 1}}
		r.ListReceived(&List{Form: policy.ListFull, Entries: entries, Addrs: make([]string, 3)})
		r.SetPeers(&others{r.note})
		parts := map[policy.ServerID]float64{7: 0.25, 8: 0.25, 99: 0.25}
		r.SetWeightFactors(parts)
		r.SetWeightFactors(parts) // the same again is nothing new
		r.ListReceived(&List{Form: policy.ListChanges, Entries: entries[:1], Addrs: make([]string, 1)})
		r.PeerMessagesReceived([]byte{1, 1, 1, 2, 2, 2, 3})
		synctest.Wait()
		r.take()
		r.PushEnded(r.pushes[0], Result{Outcome: policy.Reset})
		r.SetPeers(nil)
		synctest.Wait()
	})
	want := []string{"form 1, 7: 2, 8: 2, 9: 1", "form 4, 7: 0.5", "form 0, 7: 0.5", "said [1 1 1]", "said [2 2 2]", "form 4, 7: 2"}
	if diff := cmp.Diff(want, lists); diff != "" {
		t.Error(diff)
	}
	for _, line := range []string{"follows 3", "sent", "told 3 [1 2 3]", "ended reset"} {
		if !strings.Contains(strings.Join(got, "\n"), line) {
			t.Errorf("no %q in %v", line, got)
		}
	}
}
