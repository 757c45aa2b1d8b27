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

var faults = flag.Bool("faults", false, "check that tests detect faults laid over the real code")

// Each row describes a small change to the real code that makes it faulty. The test checks that a test that passes without the
// change fails with it. The changed file replaces the real one by a build overlay, so that no file in the tree changes.
//
// The builds load the machine, and tests that measure time would see late nodes beside them. So the test runs with -faults
// only, after all others, as .ci/run does.
func TestFaultsAreSeen(t *testing.T) {
	if !*faults {
		return
	}
	for name, c := range map[string]struct{ file, was, is, pkg, run string }{
		"one node ejects a server":             {"outlier/report_table.go", "minReporters = 2\n", "minReporters = 1\n", "internal/fleet/outlier", "TestWeightReductions"},
		"peers eject every server":             {"outlier/report_table.go", "MaxEjectedFraction = 1.0 / 2\n", "MaxEjectedFraction = 1.0\n", "internal/fleet/outlier", "TestWeightReductions|TestSimulatedFleet"},
		"a copy replaces the stored report":    {"outlier/report_table.go", "incoming.Sequence > stored[i].Sequence", "incoming.Sequence >= stored[i].Sequence", "internal/fleet/outlier", "TestMerge"},
		"two incarnations are two reporters":   {"outlier/report_table.go", "latest[r.NodeNumber]", "latest[uint16(r.Reporter)]", "internal/fleet/outlier", "TestWeightReductions"},
		"own answers do not count":             {"outlier/weights.go", "answeredAt > assessment.Since+answerMargin", "answeredAt < 0", "internal/fleet/outlier", "TestWeightReductions"},
		"a duplicate frame is accepted":        {"transport/frame.go", "if *word&mask != 0 {", "if false {", "internal/fleet/transport", "TestFirst"},
		"corrupted frames are decoded":         {"transport/frame.go", "case binary.BigEndian.Uint32(b[checksumOffset:]) != checksum(seed, b[:checksumOffset], b[headerSize:]):", "case false:", "internal/fleet/transport", "TestFrameEncoding"},
		"late peer messages are delivered":     {"peermsg/messenger.go", "case late > maxDelay:", "case late < 0:", "internal/fleet/peermsg", "TestMessenger"},
		"the newest message is dropped":        {"peermsg/messenger.go", "q.first = (q.first + 1) % maxQueued\n\t\tq.length--", "q.length--", "internal/fleet/peermsg", "TestMessenger"},
		"the first owner of a number keeps it": {"members/table.go", "cmp.Compare(b.joinOrder, a.joinOrder)", "cmp.Compare(a.joinOrder, b.joinOrder)", "internal/fleet/members", "TestTable"},
		"a leave message is not forwarded":     {"members/members.go", "if isNew {", "if isNew && false {", "internal/fleet/members", "TestLeaveForwardedOnce"},
		"a dead member does not become left":   {"members/table.go", "if m.State == Dead {", "if false {", "internal/fleet/members", "TestLeaveAndDepartureInAnyOrder"},
		"weights of drained servers change":    {"../node/peers.go", "e.State == policy.Ready && before != after", "before != after", "internal/node", "TestPeers"},
		"new weights look like a new list":     {"../../policy/list.go", "case !s.MustSubscribe || form == ListReweighted:", "case !s.MustSubscribe:", "policy", "TestReweightedList"},
		"older reports keep newer ones out":    {"outlier/report_table.go", "!t.evictServer(incoming.evidenceAt)", "true", "internal/fleet/outlier", "TestBounds"},

		"a push continues after its client left":         {"../node/op.go", "p.clock.Now() < p.beginBefore && p.op.clientConnected()", "p.clock.Now() < p.beginBefore", "internal/node", "TestClientLeavesWhileActorIsBusy"},
		"the client's connection is not checked":         {"../node/op.go", "if o.Client.Disconnected() {", "if false {", "internal/node", "TestWithdraw"},
		"a push begins past its time":                    {"../node/op.go", "p.clock.Now() < p.beginBefore && p.op", "p.op", "internal/node", "TestWithdraw"},
		"a push goes to another process":                 {"../node/withdraw.go", "t.addr == other.addr && ", "", "internal/node", "TestWithdraw"},
		"accepting keeps the core":                       {"../frontend/listener.go", "runtime.Gosched()", "runtime.NumCPU()", "internal/frontend", "TestAcceptTakesTurns"},
		"heads of any number of fields are read":         {"../frontend/head_scanner.go", "s.lines > 1+maxHeaderFields", "false", "internal/frontend", "TestHeadLimits"},
		"a client far ahead counts as connected":         {"../frontend/conn.go", "unread >= capacity/2", "unread < 0", "internal/frontend", "TestPendingAheadOfClose"},
		"a client is assumed present too long":           {"../node/op.go", "clientCheckInterval = 10", "clientCheckInterval = 110", "internal/node", "TestWithdraw"},
		"no second call is made beside a hung one":       {"../registry/stream.go", "if pending < 2 {", "if pending < 1 {", "internal/registry", "TestReportsAfterOutage$"},
		"no watch unless the module asks for it":         {"../registry/registry.go", "case <-time.After(delay):\n\t\tc.Watch()", "case <-time.After(delay):\n\t\tif c.autoWatch.Load() {\n\t\t\tc.Watch()\n\t\t}", "internal/registry", "TestReportsAfterOutageOnSockets"},
		"clients can use every file descriptor":          {"../memory/plan.go", "reservedFiles = 24", "reservedFiles = -60", "cmd/canvasrouter", "TestIdleCrowd"},
		"half of the replicas are a majority":            {"../store/round.go", "r.replicas/2 + 1", "r.replicas / 2", "internal/store", "TestRegisterProperties"},
		"an earlier value is taken for the latest":       {"../store/round.go", "latest.Value == nil || reply.Accepted.Compare(latest.Accepted) > 0", "latest.Value == nil", "internal/store", "TestRegisterProperties"},
		"one faulty change rejects the others too":       {"../store/apply/apply.go", "parsed, err := ParseWithChanges(baseFile, withValue", "applied = withValue\n\t\tparsed, err := ParseWithChanges(baseFile, withValue", "internal/store/apply", "TestApplier"},
		"a promise is not written to disk":               {"../store/replica.go", "if err := r.save(key); err != nil {\n\t\t\t*register = previous", "if err := error(nil); err != nil {\n\t\t\t*register = previous", "internal/store", "TestRestart"},
		"the remaining time is computed too early":       {"../servers/actor.go", "\t\t\tsetRemaining()\n\t\t\tattempt.assigned", "\t\t\tattempt.assigned", "internal/servers", "TestRemainingTimeOnLateConnection"},
		"unsent pushes outlive their op":                 {"../node/answer.go", "!push.withdraw() {\n\t\t\tanswer.MayRunYet", "false {\n\t\t\tanswer.MayRunYet", "internal/node", "TestWithdraw"},
		"a drain recalls no unsent pushes":               {"../node/node.go", "n.withdrawUnsent()\n", "\n", "internal/node", "TestWithdraw"},
		"pending ops outlive the process":                {"../node/answer.go", "!op.settled {\n\t\t\tn.setAnswerTimer(op)", "!op.settled {\n\t\t\t_ = op", "internal/node", "TestWithdraw"},
		"a push that may not begin is sent":              {"../servers/conn.go", "!c.push.TryBegin()", "!c.push.TryBegin() && false", "internal/servers", "TestClientLeavesBeforeFirstByte"},
		"an answer before a broken write is lost":        {"../servers/conn.go", "c.rawConn); unread {", "c.rawConn); unread && false {", "internal/servers", "TestWriteFailsBeforeAnswerIsRead"},
		"an answered push counts as never run":           {"../servers/actor.go", "!c.hasAnswerStarted() && (", "(", "internal/servers", "TestAnswerBeforeWholeRequest"},
		"a disconnected client is accepted":              {"../frontend/request.go", "state.clientClosed || !c.claimRequest() {", "!c.claimRequest() {", "internal/frontend", "TestDisconnectInBacklog"},
		"a closed connection's request is taken":         {"../frontend/request.go", "state.clientClosed || !c.claimRequest() {", "state.clientClosed {\n\t\t\tc.claimRequest()", "internal/frontend", "TestCompletedWhileClosing|TestCloseCrossesLastByte"},
		"the backlog is reset at shutdown":               {"../frontend/listener.go", "acceptDeadline.Before(end);", "acceptDeadline.Before(end) && false;", "internal/frontend", "TestBacklogRefused"},
		"the ID of a lost client's op is kept":           {"../frontend/request.go", "s.opIDs.release(header.id)\n\t\tbody", "body", "internal/frontend", "TestDisconnectInBacklog"},
		"a connection with unread bytes is closed":       {"../frontend/conn.go", " && !hasUnread(c.tcp)", "", "internal/frontend", "TestIncompleteWithUnreadBytes"},
		"clients that stop in a request keep sockets":    {"../frontend/reclaim.go", "time.Since(since) < times[rank] {", "time.Since(since) < times[rank] || rank == reclaimStalled {", "internal/frontend", "TestOthersServedAmongStoppedClients"},
		"an unfinished request is closed unanswered":     {"../frontend/refusal.go", "if c.requestStarted.IsZero() {\n\t\treturn", "if true {\n\t\treturn", "internal/frontend", "TestCloseCrossesLastByte"},
		"idle connections make room for stopped ones":    {"../frontend/reclaim.go", "rank == reclaimIdle && s.sparesIdle()", "false", "internal/frontend", "TestSlowClientsAmongStoppedClients"},
		"the end closes requests without an answer":      {"../frontend/conn.go", "c.state.Swap(connClosed) == connNoRequest && c.ending.Load()", "c.state.Swap(connClosed) == connNoRequest && false", "internal/frontend", "TestCompletedDuringShutdown"},
		"a request is read after its connection's close": {"../frontend/conn.go", "if c.state.Load() != connClosed {", "if true {", "internal/frontend", "TestCloseCrossesLastByte"},
		"slow requests are closed before stopped ones":   {"../frontend/reclaim.go", "if stuck > usual {", "if true {", "internal/frontend", "TestSlowClientsAmongStoppedClients"},
		"clients that pause are taken for stopped":       {"../frontend/conn.go", "c.resumed = true", "c.resumed = false", "internal/frontend", "TestPausingClientsAmongStoppedClients"},
		"a silent watch is not reopened at once":         {"../registry/registry.go", "minLines := 1; errors.Is", "minLines := 1; false && errors.Is", "internal/registry", "TestWatch"},
		"an older full list is accepted":                 {"../registry/registry.go", "if generation < c.generation && !startedAnew {", "if false {", "internal/registry", "TestWatch"},
		"the delay of a watch grows too long":            {"../registry/registry.go", "limit = min(limit, grace/2)", "_ = grace", "internal/registry", "TestAutoWatchBackoff"},
		"an answered id is free at once":                 {"../frontend/answer.go", "answer.Verdict == node.Acked && op", "false && op", "cmd/canvasrouter", "TestIDAfterAnswer"},
		"a repeat arrives after its window":              {"../servers/conn.go", "c.endLateWrite(c.push)", "_ = c.push", "internal/servers", "TestRepeatWrittenSlowly"},
		"bytes behind a request are not counted":         {"../frontend/tcpinfo_linux.go", "memoryReceived  = 0", "memoryReceived  = 2", "internal/frontend", "TestPendingAheadOfClose"},
		"a log without a reader ends the process":        {"../serve/serve.go", "signal.Ignore(syscall.SIGPIPE)", "signal.Ignore(syscall.SIGWINCH)", "cmd/canvasrouter", "TestLogReaderLeaves"},
		"the bounds exceed the memory":                   {"../memory/plan.go", "unit := min(maxBuffer, max(minBuffer,", "unit := max(maxBuffer, max(minBuffer,", "internal/memory", "TestPlan"},
		"a shortage of sockets takes servers out":        {"../sockets/sockets.go", "IsShortage(err) && ctx.Err() == nil", "false", "internal/sockets", "TestDialDuringShortage"},
		"an op without benefit is nacked":                {"../../policy/op.go", "cmp.Or(n.benefitLevels[len(n.benefitLevels)-1], 1)", "cmp.Or(n.benefitLevels[len(n.benefitLevels)-1], 0)", "policy", "TestZeroBenefit"},
	} {
		t.Run(name, func(t *testing.T) {
			path, err := filepath.Abs(c.file)
			if err != nil {
				t.Fatal(err)
			}
			raw, err := os.ReadFile(path)
			if err != nil || strings.Count(string(raw), c.was) == 0 {
				t.Fatalf("%v: %s does not contain %q", err, c.file, c.was)
			}
			dir := t.TempDir()
			changed := filepath.Join(dir, "changed.go")
			overlay := filepath.Join(dir, "overlay.json")
			overlayJSON, _ := json.Marshal(map[string]any{"Replace": map[string]string{path: changed}})
			if err := os.WriteFile(changed, []byte(strings.ReplaceAll(string(raw), c.was, c.is)), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(overlay, overlayJSON, 0o600); err != nil {
				t.Fatal(err)
			}
			t.Parallel()
			out, err := exec.Command("go", "test", "-count=1", "-overlay", overlay, "-run", c.run, "canvasrouter/"+c.pkg).CombinedOutput()
			if err == nil || !strings.Contains(string(out), "--- FAIL") {
				t.Errorf("no test detects the fault: %v: %s", err, out)
			}
		})
	}
}
