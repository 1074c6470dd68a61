#!/usr/bin/env python3
"""Takes each mechanism away in a scratch copy and sees that its test fails.

docs/PROOFS.md names the mutants. A mutant counts as caught only if the tests
build and one of them fails, breaks an invariant or hangs. Usage: scripts/mutants.py [--check | NAME ...]
"""
import concurrent.futures
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent

# WORKERS is how many mutants are tried at a time.
WORKERS = 3

# name: (file, old text, new text, package, tests)
MUTANTS = {
    "closedZoneUsed": ("pkg/pool/book.go", "return !p.zoneState.closed && p.listed(now)", "return p.listed(now)", "./pkg/pool", "TestClosedZoneGetsNothing|TestAllZonesClosed"),
    "oldOrderOfAZone": ("pkg/pool/zone.go", "if revision < z.revision || !z.closed {", "if !z.closed {", "./pkg/pool", "TestOrdersOfZonesInAnyOrder"),
    "openedZoneIsWarm": ("pkg/pool/warm.go", "until = later(until, p.zoneState.openedAt.Add(p.warmup.Duration))", "until = later(until, p.zoneState.openedAt)", "./pkg/pool", "TestOpenedZoneWarmsUp"),
    "warmingNotShared": ("pkg/pool/warm.go", "if n == 0 || rank >= allowance {", "if n == 0 {", "./pkg/pool", "TestSharesAddUpToTheAllowance|TestAllProcessesKeepTheAllowance"),
    "warmingNotPaced": ("pkg/pool/warm.go", "!now.Before(p.nextAt) && ", "", "./pkg/pool", "TestAllProcessesKeepTheAllowance"),
    "earlierLifeForgotten": ("pkg/pool/warm.go", " && !now.Before(p.senders.NotBefore)", "", "./pkg/pool", "TestUnknownFleetSendsNothingToAWarmingEndpoint"),
    "closingNotFollowed": ("internal/router/follow.go", "		r.Engine.CloseZone(c.Name, c.Revision)", "		_ = c", "./platform", "TestEvacuatedZoneIsClosedAndReopened"),
    "noClaim": ("internal/entry/serve.go", 'if key != "" && !*eff.Values.Repeatable {', "if false {", "./internal/rig", "TestRepeats"),
    "claimOwnGeneration": ("pkg/claim/bucket.go", "return r.Generation == old.Generation+1", "return r.Generation <= old.Generation+1", "./internal/claims", "TestOneWinner|TestGenerations"),
    "claimUnconditional": ("internal/claims/log.go", "sliceName(b.n, slice), version, body)", "sliceName(b.n, slice), l.newest(call, b.n, slice), body)", "./internal/claims", "TestOneWinner|TestGenerations"),
    "doubtIsNotWritten": ("internal/claims/log.go", "if p.maybeWritten {\n			p.done <- result{err: ErrOutcomeUnknown}", "if false {\n			p.done <- result{err: ErrOutcomeUnknown}", "./internal/claims", "TestOutcomeUnknown"),
    "doubtForgotten": ("internal/entry/keyed.go", "		k.close(run)\n		return", "		k.drop(run)\n		return", "./internal/rig", "TestPlatformDown"),
    "ticketAnywhere": ("internal/entry/ticket.go", "if t.Incarnation == e.Identity.Incarnation {", "if true {", "./internal/rig", "TestRepeats|TestEntryKilled"),
    "keyBindsNothing": ("internal/entry/keyed.go", "case s.bodyHash != hash:", "case false:", "./internal/rig", "TestRepeats"),
    "noAsk": ("internal/entry/send.go", "if errors.Is(err, link.ErrBroken) {\n		reply, err = e.queryRun", "if false {\n		reply, err = e.queryRun", "./internal/rig", "TestLinkCut"),
    "restartedIsNotRun": ("internal/entry/send.go", 'fault.MayHaveRun, "The endpoint was restarted while it had the request.")', 'fault.NotRun, "x")', "./internal/rig", "TestGuardKilled"),
    "silentIsNotRun": ("internal/entry/send.go", """p.link(ctx)
		if err != nil {
			return wire.RunReply{}, fault.New(fault.EndpointLost, fault.MayHaveRun,""", """p.link(ctx)
		if err != nil {
			return wire.RunReply{}, fault.New(fault.EndpointLost, fault.NotRun,""", "./internal/rig", "TestGuardSilent"),
    "anyIncarnation": ("internal/guard/handle.go", "if p.Guard != g.Identity.Incarnation {\n		return nil, wire", "if false {\n		return nil, wire", "./internal/guard", "TestTombstone"),
    "noTombstone": ("internal/guard/handle.go", "	r := g.newRecord(p.Key, wire.Work{Call: wire.Call{Deadline: p.Deadline}}, c)\n	r.cancel()\n	g.tombstone(r,", "	r := &record{}\n	r.reply = (", "./internal/guard", "TestTombstone"),
    "noRunRecord": ("internal/guard/handle.go", "if old, ok := g.runs[p.Key]; ok {", "if old, ok := g.runs[p.Key]; ok && false {", "./internal/guard", "TestRunOnce|TestTombstone"),
    "oldLinkTaken": ("internal/guard/handle.go", "if c.Superseded() {", "if false {", "./internal/guard", "TestSupersededLink"),
    "orphansRun": ("internal/guard/handle.go", "case tasks.IsDone(r.owner.Done()):", "case tasks.IsDone(r.owner.Done()) && false:", "./internal/guard", "TestOrphan"),
    "queuedVersionKept": ("internal/guard/guard.go", "if refused := g.checkAllowed(s, &r.work); refused != nil &&", "if refused := g.checkAllowed(s, &r.work); refused != nil && false &&", "./internal/guard", "TestWithdrawnVersion"),
    "guardTrustsEntry": ("internal/guard/handle.go", "return g.checkAllowed(g.Holder.Current(), &p.Work)", "return nil", "./internal/guard", "TestWithdrawnVersion"),
    "noCatchingUp": ("internal/link/mux.go", "if p.StampedRevision() > c.local.Revision() && m.OnNewerRevision != nil {", "if false {", "./internal/guard", "TestWithdrawnVersion"),
    "leavingTakesWork": ("internal/guard/handle.go", "	if g.leaving {\n		return fault", "	if false {\n		return fault", "./internal/guard", "TestLeavingGuardRefusesWork"),
    "queueKeptWhenLeaving": ("internal/guard/drain.go", "if r.phase == phaseQueued && g.queue.Remove(r.queueID()) {\n			g.tombstone(r, g.refusal(fault.Stopping", "if false {\n			g.tombstone(r, g.refusal(fault.Stopping", "./internal/guard", "TestLeavingGuardRefusesWork"),
    "stopWaitsForNobody": ("internal/guard/drain.go", "running, linked := g.busy()", "running, linked := 0, 0", "./internal/rig", "TestPlannedStop"),
    "stopBeforeEntriesKnow": ("internal/guard/drain.go", "} else if linked == 0 ||", "} else if linked >= 0 ||", "./internal/guard", "TestStopWaitsForEntries"),
    "anyLinkKey": ("internal/link/conn.go", "if !l.Keys.Verifies(proofText(\"answer\"", "if false && !l.Keys.Verifies(proofText(\"answer\"", "./internal/guard", "TestLinkKey"),
    "sessionMoves": ("internal/entry/dispatch.go", "if err := e.resolveSession(r); err != nil {", "if err := e.resolveSession(r); err != nil && false {", "./internal/rig", "TestSession"),
    "anyWorkspacesToken": ("internal/entry/session.go", "if p.Workspace != r.call.Workspace {", "if false {", "./internal/rig", "TestSession"),
    "noResume": ("internal/guard/endpoint.go", "idle < maxIdleResumes &&", "idle < 0 &&", "./internal/rig", "TestCutAnswers"),
    "noEndMarker": ("internal/guard/endpoint.go", 'err == nil && w.Model != ""', "false", "./internal/rig", "TestCutAnswers"),
    "billedTwice": ("pkg/bill/line.go", "		byID[l.ID] = join(old, l)", "		byID[l.ID+l.RequestID+l.At.String()] = join(old, l)", "./pkg/bill", "TestFold"),
    "lostLineWrittenAgain": ("internal/ledger/writer.go", 'name := fmt.Sprintf("%s-%08d", w.opts.Prefix, w.seq)', 'name := fmt.Sprintf("%s-%08d-%d", w.opts.Prefix, w.seq, time.Now().UnixNano())', "./internal/ledger", "TestLostAnswers"),
    "guardNeverBills": ("internal/guard/guard.go", "if now.After(u.writeAt) {", "if false {", "./internal/rig", "TestBills"),
    "ownBillForgets": ("internal/guard/bills.go", "		r.billed = true", "		r.settled = true", "./internal/guard", "TestQueryAfterGuardBilled"),
    "revisionGoesBack": ("pkg/config/snapshot.go", "if head.Revision <= s.Head.Revision {", "if false {", "./internal/spread", "TestRevisionNeverGoesBack"),
    "guardTrustsOrders": ("internal/guard/order.go", "if fence < version || fence < g.fence {", "if false {", "./internal/rig", "TestStaleOrder"),
    "rolloutForgetsLimit": ("pkg/roll/step.go", "|| loads >= maxLoads {", "{", "./internal/rig", "TestRollout"),
    "shareIgnored": ("pkg/route/decide.go", "case req.Draw >= c.Spec.Exposure():", "case false:", "./internal/rig", "TestRollout|TestRolloutAborted"),
    "wavesBeforeLoads": ("pkg/roll/step.go", "if !r.loaded() || len(r.Targets) == 0 ||", "if len(r.Targets) == 0 ||", "./pkg/roll", "TestInterrupted"),
    "frozenDecides": ("internal/entry/serve.go", "	e.catchUp()\n", "", "./internal/rig", "TestFrozenEntry"),
    "silentWatchBelieved": ("internal/spread/watch.go", "		o, err = c.Get(ctx, KindHead, NameHead)\n", "		return version, nil\n", "./internal/rig", "TestChangesUnderFaults"),
    "overlapTaken": ("internal/commit/apply.go", "	if len(o.Paths) == 0 {", "	if true {", "./internal/commit", "TestRace"),
    "changeAppliedTwice": ("internal/commit/apply.go", "if applied, ok := head.Has(e.ID); ok {", "if applied, ok := head.Has(e.ID); ok && false {", "./internal/commit", "TestSameChange|TestManyOperators"),
    "mergedNotChecked": ("internal/commit/apply.go", 'if err := config.CheckNodes("(merged)", snap.Nodes()); err != nil {', 'if err := config.CheckNodes("(merged)", snap.Nodes()); err != nil && false {', "./internal/commit", "TestUnsound"),
    "retiredDroppedAtOnce": ("internal/entry/peer.go", "	if p.inFlight > 0 {\n		return false", "	if false {\n		return false", "./internal/rig", "TestLeavingVMs"),
    "noRetryBudget": ("internal/entry/dispatch.go", "return e.limits.takeRetry(r.call.Workspace)", "return true", "./internal/rig", "TestRetryBudget"),
    "cancelForgotten": ("internal/entry/answer.go", '	if r.key == "" {\n		r.cancel()', '	if false {\n		r.cancel()', "./internal/rig", "TestCallerGone"),
    "headerNotBounded": ("internal/entry/http.go", "ReadBufferSize:               e.settings.MaxHeader,", "ReadBufferSize:               1 << 20,", "./internal/rig", "TestInvalidRequests"),
    "anyAuthority": ("internal/secure/files.go", "VerifyConnection: s.verify,", "", "./internal/rig", "TestTLS"),
}

NEWEST = """
// newest stands in for a write that names no version.
func (l *Log) newest(ctx context.Context, bucket, slice int) int64 {
	o, _ := l.store.Get(ctx, Kind, sliceName(bucket, slice))
	return o.Version
}
"""


def run(name):
    """Returns whether the mutant was caught, and the test's last lines."""
    file, old, new, package, tests = MUTANTS[name]
    with tempfile.TemporaryDirectory() as scratch:
        copy = pathlib.Path(scratch) / "copy"
        shutil.copytree(ROOT, copy, ignore=shutil.ignore_patterns(".git", "bin"))
        path = copy / file
        text = path.read_text()
        if old not in text:
            return False, "the text to change is not in " + file
        text = text.replace(old, new, 1)
        if name == "claimUnconditional":
            text += NEWEST
        path.write_text(text)
        cmd = ["go", "test", "-count=1", "-vet=off", "-timeout", "90s", "-run", "^(" + tests + ")$", package]
        done = subprocess.run(cmd, cwd=copy, capture_output=True, text=True, timeout=300)
        out = done.stdout + done.stderr
        caught = done.returncode != 0 and ("--- FAIL" in out or "invariant broken" in out or "test timed out" in out)
        lines = [line.strip() for line in out.splitlines() if "_test.go" in line or "invariant" in line or "[build failed]" in line or ".go:" in line]
        return caught, "; ".join(lines[:2])[:300]


def check():
    """Exits with 1 unless every mutant's text is in its file."""
    lost = [n for n, (file, old, *_) in MUTANTS.items() if old not in (ROOT / file).read_text()]
    print(f"{len(MUTANTS)} mutants, texts not found: {lost}")
    sys.exit(1 if lost else 0)


def main():
    if sys.argv[1:] == ["--check"]:
        check()
    names = sys.argv[1:] or list(MUTANTS)
    missed = 0
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for name, (caught, why) in zip(names, pool.map(run, names)):
            missed += not caught
            print(("caught " if caught else "MISSED ") + name + ": " + why, flush=True)
    print(f"{len(names) - missed} caught, {missed} missed")
    sys.exit(1 if missed else 0)


main()
