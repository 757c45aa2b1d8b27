package fleet

import (
	"encoding/json"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

var faults = flag.Bool("faults", false, "change the real code and look whether a test sees it")

// Each of these changes to the real code is seen by a test that is green without it. The changed file is laid over the real
// one for one build; nothing in the tree changes.
//
// Danger: builds beside tests that measure time make nodes look late. So this is asked for by -faults alone, after the
// others, as .ci/run does.
func TestFaultsAreSeen(t *testing.T) {
	if !*faults {
		return
	}
	for name, c := range map[string]struct{ file, was, is, pkg, run string }{
		"one node closes a server":             {"judged/judged.go", "witnesses = 2\n", "witnesses = 1\n", "internal/fleet/judged", "TestWeights"},
		"hearsay closes everything":            {"judged/judged.go", "Part = 1.0 / 2\n", "Part = 1.0\n", "internal/fleet/judged", "TestWeights|TestFleet"},
		"a copy is news":                       {"judged/judged.go", "k.Number > all[i].Number", "k.Number >= all[i].Number", "internal/fleet/judged", "TestMerge"},
		"two lives are two witnesses":          {"judged/judged.go", "latest[k.Node]", "latest[uint16(k.Source)]", "internal/fleet/judged", "TestWeights"},
		"own answers don't count":              {"judged/weights.go", "answered > j.Since+margin", "answered < 0", "internal/fleet/judged", "TestWeights"},
		"a doubled frame counts twice":         {"transport/frame.go", "if *word&mask != 0 {", "if false {", "internal/fleet/transport", "TestFirst"},
		"spoilt frames are read":               {"transport/frame.go", "case binary.BigEndian.Uint32(b[sumAt:]) != sum(seal, b[:sumAt], b[headLen:]):", "case false:", "internal/fleet/transport", "TestFrames"},
		"words that came late count":           {"words/words.go", "case late > stale:", "case late < 0:", "internal/fleet/words", "TestWords"},
		"the newest word is dropped":           {"words/words.go", "q.first = (q.first + 1) % mostQueued\n\t\tq.n--", "q.n--", "internal/fleet/words", "TestWords"},
		"a number stays with who had it first": {"members/table.go", "cmp.Compare(b.joined, a.joined)", "cmp.Compare(a.joined, b.joined)", "internal/fleet/members", "TestTable"},
		"a word that one leaves ends here":     {"members/members.go", "if news {", "if news && false {", "internal/fleet/members", "TestPassesOnOnce"},
		"who was found dead did not leave":     {"members/table.go", "if m.State == Dead {", "if false {", "internal/fleet/members", "TestLeavesInAnyOrder"},
		"weights of drained servers change":    {"../node/peers.go", "e.State == policy.Ready && was != is", "was != is", "internal/node", "TestPeers"},
		"weights look like a list that came":   {"../../policy/list.go", "case !s.MustSubscribe || form == ListReweighted:", "case !s.MustSubscribe:", "policy", "TestReweightedList"},
		"older news keeps fresher out":         {"judged/judged.go", "!b.makeRoom(k.at)", "true", "internal/fleet/judged", "TestBounds"},

		"a push goes on for a client that left":    {"../node/op.go", "&& !p.op.stays() {", "&& false {", "internal/node", "TestLeftInMailbox"},
		"the kernel is not asked for the client":   {"../node/op.go", "if o.Client.Left() {", "if false {", "internal/node", "TestKeptBack"},
		"a client counts as there for long":        {"../node/op.go", "askAfter = 10", "askAfter = 110", "internal/node", "TestKeptBack"},
		"a hung call is waited for alone":          {"../registry/registry.go", "if out < 2 {", "if out < 1 {", "internal/registry", "TestToldOnceBack$"},
		"nobody asks where the module does not":    {"../registry/registry.go", "case <-time.After(wait):\n\t\tr.Watch()", "case <-time.After(wait):\n\t\tif r.unasked.Load() {\n\t\t\tr.Watch()\n\t\t}", "internal/registry", "TestToldOnceBackOnSockets"},
		"clients can take every descriptor":        {"../sockets/sockets.go", "reserve = 24", "reserve = -60", "cmd/canvasrouter", "TestIdleCrowd"},
		"a minority decides":                       {"../store/round.go", "r.replicas/2 + 1", "r.replicas / 2", "internal/store", "TestRegisterProperties"},
		"an earlier value is taken for the latest": {"../store/round.go", "best.Value == nil || p.Accepted.Compare(best.Accepted) > 0", "best.Value == nil", "internal/store", "TestRegisterProperties"},
		"a faulty change takes the others with it": {"../store/apply/apply.go", "c, err := Lay(file, trial", "runs = trial\n\t\tc, err := Lay(file, trial", "internal/store/apply", "TestApplier"},
		"a promise is not kept on disk":            {"../store/replica.go", "if err := r.save(key); err != nil {\n\t\t\t*of = before", "if err := error(nil); err != nil {\n\t\t\t*of = before", "internal/store", "TestStartsAnew"},
		"the time left is told as of the push":     {"../servers/peer.go", "\t\t\ttell()\n\t\t\tway.begin", "\t\t\tway.begin", "internal/servers", "TestTimeToldOnALateConnection"},
		"unsent pushes outlive their op":           {"../node/node.go", "if !push.ended {\n\t\t\tpush.keepBack()", "if false {\n\t\t\tpush.keepBack()", "internal/node", "TestKeptBack"},
		"a drain calls nothing back":               {"../node/node.go", "n.callBack(before)\n", "_ = before\n", "internal/node", "TestKeptBack"},
		"ops in hand outlive the process":          {"../node/node.go", "!op.settled {\n\t\t\tn.bound(op)", "!op.settled {\n\t\t\t_ = op", "internal/node", "TestKeptBack"},
		"a push begins whatever it says":           {"../servers/conn.go", "!c.push.Begin()", "!c.push.Begin() && false", "internal/servers", "TestLeavesBeforeTheFirstByte"},
		"an answer before a break is not seen":     {"../servers/conn.go", "c.raw); unread {", "c.raw); unread && false {", "internal/servers", "TestAnsweredAndWriteFailsFirst"},
		"what was answered counts as never run":    {"../servers/peer.go", "!c.replied() && (", "(", "internal/servers", "TestAnsweredBeforeTheWhole"},
		"a client that left is taken":              {"../clients/clients.go", "h.ended || !c.take() {", "!c.take() {", "internal/clients", "TestLeftInBacklog"},
		"a request is taken on a shut connection":  {"../clients/clients.go", "h.ended || !c.take() {", "h.ended {\n\t\t\tc.take()", "internal/clients", "TestWholeAsItIsShut"},
		"the backlog is reset at the end":          {"../clients/listener.go", "by.Before(end);", "by.Before(end) && false;", "internal/clients", "TestBacklogAtTheEnd"},
		"its id is not given back":                 {"../clients/clients.go", "s.ids.give(id)\n\t\t\tbody", "body", "internal/clients", "TestLeftInBacklog"},
		"unread bytes are closed away":             {"../clients/listener.go", " && !unread(c.tcp)", "", "internal/clients", "TestHalfUnread"},
		"a silent watch waits":                     {"../registry/registry.go", "least := 1; errors.Is", "least := 1; false && errors.Is", "internal/registry", "TestWatch"},
		"an older whole list is taken":             {"../registry/registry.go", "if generation < r.generation {", "if false {", "internal/registry", "TestWatch"},
		"a watch comes back ever later":            {"../registry/registry.go", "most = min(most, grace/2)", "_ = grace", "internal/registry", "TestUnaskedSpread"},
		"an op without benefit is nacked":          {"../../policy/op.go", "cmp.Or(n.benefitLevels[len(n.benefitLevels)-1], 1)", "cmp.Or(n.benefitLevels[len(n.benefitLevels)-1], 0)", "policy", "TestZeroBenefit"},
	} {
		t.Run(name, func(t *testing.T) {
			path, err := filepath.Abs(c.file)
			if err != nil {
				t.Fatal(err)
			}
			raw, err := os.ReadFile(path)
			if err != nil || strings.Count(string(raw), c.was) == 0 {
				t.Fatalf("%v: %s has no %q", err, c.file, c.was)
			}
			dir := t.TempDir()
			changed, overlay := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
			laid, _ := json.Marshal(map[string]any{"Replace": map[string]string{path: changed}})
			if err := os.WriteFile(changed, []byte(strings.ReplaceAll(string(raw), c.was, c.is)), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(overlay, laid, 0o600); err != nil {
				t.Fatal(err)
			}
			t.Parallel()
			out, err := exec.Command("go", "test", "-count=1", "-overlay", overlay, "-run", c.run, "canvasrouter/"+c.pkg).CombinedOutput()
			if err == nil || !strings.Contains(string(out), "--- FAIL") {
				t.Errorf("not seen: %v: %s", err, out)
			}
		})
	}
}
