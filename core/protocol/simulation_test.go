package protocol

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/agentcore"
	"peridotpick.example/core/claim"
	"peridotpick.example/core/dispatch"
	"peridotpick.example/core/group"
	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

// simulation is a deployment of entries, agents and a table service in virtual time, with a single
// event loop and no goroutines.
type simulation struct {
	rng   *rand.Rand
	now   time.Time
	queue eventQueue
	// seq is the last number given to an event, a link or an incarnation.
	seq     uint64
	entries []*simEntry
	agents  []*simAgent
	table   *simTable
	links   []*simLink
	check   *checker
	// faultsEnded is set in the last phase of a schedule.
	faultsEnded bool
	// trace lists the events, to explain a violation.
	trace []string
}

// simEvent is a function due at a time. seq orders events of the same time.
type simEvent struct {
	at  time.Time
	seq uint64
	do  func()
}

// eventQueue implements heap.Interface in the order of time.
type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

var epochStart = time.Unix(1_000_000, 0)

func newSimulation(seed uint64, entries, agents int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 77)), now: epochStart}
	sim.table = &simTable{sim: sim, rows: make(map[string]storedRow)}
	sim.check = newChecker(sim)
	for i := range agents {
		a := &simAgent{sim: sim, id: fmt.Sprintf("agent-%d", i)}
		sim.agents = append(sim.agents, a)
		a.start()
	}
	for i := range entries {
		e := &simEntry{sim: sim, id: fmt.Sprintf("entry-%d", i)}
		sim.entries = append(sim.entries, e)
		e.start()
	}
	return sim
}

// tracef writes a line to the trace, with the time since the start in seconds.
func (sim *simulation) tracef(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%8.3f ", sim.now.Sub(epochStart).Seconds())+fmt.Sprintf(format, args...))
}

// schedule runs do after the delay d.
func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, simEvent{sim.now.Add(d), sim.seq, do})
}

// runUntil handles the events up to a time.
func (sim *simulation) runUntil(until time.Time) {
	for len(sim.queue) > 0 && !sim.queue[0].at.After(until) {
		e := heap.Pop(&sim.queue).(simEvent)
		sim.now = e.at
		e.do()
	}
	sim.now = until
}

// networkDelay draws a random delay of a message, 0.2 to 3.2 ms.
func (sim *simulation) networkDelay() time.Duration {
	return time.Duration(200+sim.rng.IntN(3000)) * time.Microsecond
}

// process is an operating system process that may be paused or have crashed. While it is paused,
// its inbox collects what is delivered to it.
type process struct {
	alive  bool
	paused bool
	inbox  []func()
}

// deliver runs do in the process, at once or when it resumes. A process that has crashed ignores
// it.
func (p *process) deliver(do func()) {
	switch {
	case !p.alive:
	case p.paused:
		p.inbox = append(p.inbox, do)
	default:
		do()
	}
}

// resume ends a pause and runs what was delivered meanwhile.
func (p *process) resume() {
	p.paused = false
	waiting := p.inbox
	p.inbox = nil
	for _, do := range waiting {
		p.deliver(do)
	}
}

// simLink is a TCP connection between an entry incarnation and an agent incarnation.
type simLink struct {
	entry     *simEntry
	entryProc *process
	agent     *simAgent
	agentProc *process
	entryID   dispatch.LinkID
	agentID   agentcore.LinkID
	broken    bool
	// lastToAgent and lastToEntry are the arrival times of the last messages, to keep their order.
	lastToAgent time.Time
	lastToEntry time.Time
}

// orderedDelay draws the delay of the next message such that it does not overtake the previous one.
func orderedDelay(sim *simulation, last *time.Time) time.Duration {
	at := sim.now.Add(sim.networkDelay())
	if at.Before(*last) {
		at = *last
	}
	*last = at
	return at.Sub(sim.now)
}

// connect opens a link unless it exists, an end is down or the link is cut.
func (sim *simulation) connect(e *simEntry, a *simAgent) {
	if !e.proc.alive || !a.proc.alive || e.cutAgents[a.id] {
		return
	}
	for _, l := range sim.links {
		if !l.broken && l.entryProc == e.proc && l.agentProc == a.proc {
			return
		}
	}
	sim.seq++
	l := &simLink{entry: e, entryProc: e.proc, agent: a, agentProc: a.proc, entryID: dispatch.LinkID(sim.seq), agentID: agentcore.LinkID(sim.seq)}
	sim.links = append(sim.links, l)
	info := a.core.info
	sim.schedule(orderedDelay(sim, &l.lastToAgent), func() {
		l.agentProc.deliver(func() { l.agent.handle(l.agentProc, l.agent.core.LinkUp(sim.now, l.agentID, e.self)) })
	})
	sim.schedule(orderedDelay(sim, &l.lastToEntry), func() {
		l.entryProc.deliver(func() {
			if l.broken {
				return
			}
			e.core.LinkUp(sim.now, l.entryID, &info)
			e.flush()
		})
	})
}

// breakLink breaks a link. Messages in transit may or may not arrive, and each end notices the
// break after a delay of its own.
func (sim *simulation) breakLink(l *simLink) {
	if l.broken {
		return
	}
	l.broken = true
	sim.schedule(sim.networkDelay()*5, func() {
		l.agentProc.deliver(func() { l.agent.handle(l.agentProc, l.agent.core.LinkDown(sim.now, l.agentID)) })
	})
	sim.schedule(sim.networkDelay()*5, func() {
		l.entryProc.deliver(func() { l.entry.core.LinkDown(sim.now, l.entryID); l.entry.flush() })
	})
	sim.schedule(100*time.Millisecond, func() { sim.reconnect(l.entry, l.agent) })
}

// reconnect opens a link again as soon as it is no longer cut.
func (sim *simulation) reconnect(e *simEntry, a *simAgent) {
	if e.cutAgents[a.id] {
		sim.schedule(200*time.Millisecond, func() { sim.reconnect(e, a) })
		return
	}
	sim.connect(e, a)
}

// announcedCore is an agent core with the info that it announces.
type announcedCore struct {
	*agentcore.Core
	info wire.AgentInfo
}

// simAgent simulates an agent and its backend server.
type simAgent struct {
	sim  *simulation
	id   string
	proc *process
	core announcedCore
}

// simSlots is the number of slots and the queue length of each agent.
const simSlots = 2

// start starts a new incarnation of the agent.
func (a *simAgent) start() {
	sim := a.sim
	sim.seq++
	a.proc = &process{alive: true}
	info := wire.AgentInfo{
		ID: a.id, Incarnation: sim.seq, Address: a.id, Service: "s", Slots: simSlots, Queue: simSlots,
		Labels: map[string]string{"name": a.id},
	}
	a.core = announcedCore{agentcore.New(agentcore.Settings{
		Info: info, TombstoneRetention: 90 * time.Second, ResultRetention: 10 * time.Minute, MaxResultBytes: 1 << 20,
	}), info}
	for _, e := range sim.entries {
		sim.schedule(sim.networkDelay()*10, func() { sim.connect(e, a) })
	}
}

// crash ends the process of the agent and schedules its next incarnation. Executions in the backend
// server continue.
func (a *simAgent) crash() {
	sim := a.sim
	dead := a.proc
	id := rank.ID{Agent: a.id, Incarnation: a.core.info.Incarnation}
	dead.alive = false
	for _, l := range sim.links {
		if l.agentProc == dead {
			sim.breakLink(l)
		}
	}
	for _, e := range sim.entries {
		proc := e.proc
		sim.schedule(sim.networkDelay()*30, func() {
			proc.deliver(func() {
				if e.proc == proc {
					e.core.AgentEnded(sim.now, id)
					e.flush()
				}
			})
		})
	}
	sim.schedule(time.Duration(100+sim.rng.IntN(2000))*time.Millisecond, a.start)
}

// handle carries out the output of the core.
func (a *simAgent) handle(proc *process, out agentcore.Output) {
	sim := a.sim
	for _, send := range out.Sends {
		sim.sendToEntry(proc, send)
	}
	for _, e := range out.Executions {
		a.execute(proc, e)
	}
}

// sendToEntry sends a message of an agent; it may be lost if the link is broken.
func (sim *simulation) sendToEntry(proc *process, send agentcore.Send) {
	for _, l := range sim.links {
		if l.agentProc != proc || l.agentID != send.Link {
			continue
		}
		msg := send.Msg
		if l.broken && sim.rng.IntN(2) == 0 {
			return
		}
		sim.schedule(orderedDelay(sim, &l.lastToEntry), func() {
			if l.broken && sim.rng.IntN(2) == 0 {
				return
			}
			l.entryProc.deliver(func() { l.entry.core.Receive(sim.now, l.entryID, msg); l.entry.flush() })
		})
		return
	}
}

// sendToAgent sends a message of an entry; it may be lost if the link is broken.
func (sim *simulation) sendToAgent(e *simEntry, send dispatch.Send) {
	for _, l := range sim.links {
		if l.entryProc != e.proc || l.entryID != send.Link {
			continue
		}
		msg := send.Msg
		// Buffered bytes may be read after the link is broken.
		sim.schedule(orderedDelay(sim, &l.lastToAgent), func() {
			if l.broken && sim.rng.IntN(2) == 0 {
				return
			}
			l.agentProc.deliver(func() { l.agent.handle(l.agentProc, l.agent.core.Receive(sim.now, l.agentID, msg)) })
		})
		return
	}
}

// execute runs an attempt in the backend server and reports its end to the core.
func (a *simAgent) execute(proc *process, e agentcore.Execution) {
	sim := a.sim
	run := time.Duration(20+sim.rng.IntN(400)) * time.Millisecond
	started := sim.check.checkStart(e, a.id)
	done := agentcore.Completion{Kind: errkind.OK, Payload: []byte(payloadOf(e.ID.Submission, e.ID.Index)), RunTime: run}
	if !sim.faultsEnded && sim.rng.IntN(40) == 0 {
		done = agentcore.Completion{Kind: errkind.TaskFailed, RunTime: run}
	}
	core := a.core
	sim.schedule(run, func() {
		sim.check.recordEnd(started)
		proc.deliver(func() { a.handle(proc, core.ExecutionFinished(sim.now, e.ID, done)) })
	})
}

// payloadOf returns the result payload of a task.
func payloadOf(submission string, index uint32) string {
	return fmt.Sprintf("%s/%d", submission, index)
}

// simEntry simulates an entry with its group commit of claims.
type simEntry struct {
	sim     *simulation
	id      string
	proc    *process
	self    wire.EntryInfo
	core    *dispatch.Core
	grouper *group.Grouper
	// cutAgents are the agents, by ID, to which the entry cannot connect at present.
	cutAgents map[string]bool
	nextReq   uint64
	// openRequests are the unanswered requests, by ID.
	openRequests map[uint64]*request
}

// start starts a new incarnation of the entry.
func (e *simEntry) start() {
	sim := e.sim
	sim.seq++
	e.proc = &process{alive: true}
	e.self = wire.EntryInfo{ID: e.id, Incarnation: sim.seq, Address: e.id}
	settings := dispatch.DefaultSettings()
	settings.HedgeShare = 0.05
	e.core = dispatch.New(settings, e.self, rand.New(rand.NewPCG(sim.seq, 3)))
	e.core.SetLease(sim.now.Add(time.Hour))
	e.grouper = group.New(group.DefaultParams())
	e.cutAgents = make(map[string]bool)
	e.openRequests = make(map[uint64]*request)
	for _, a := range sim.agents {
		sim.schedule(sim.networkDelay()*10, func() { sim.connect(e, a) })
	}
	proc := e.proc
	var tick func()
	tick = func() {
		if !proc.alive {
			return
		}
		proc.deliver(e.flush)
		sim.schedule(10*time.Millisecond, tick)
	}
	grouper := e.grouper
	var poll func()
	poll = func() {
		if !proc.alive {
			return
		}
		proc.deliver(func() { grouper.ReportReachable(!sim.table.down) })
		sim.schedule(500*time.Millisecond, poll)
	}
	sim.schedule(500*time.Millisecond, poll)
	sim.schedule(time.Millisecond, tick)
}

// crash ends the process of the entry and schedules its next incarnation.
func (e *simEntry) crash() {
	sim := e.sim
	e.proc.alive = false
	for _, l := range sim.links {
		if l.entryProc == e.proc {
			sim.breakLink(l)
		}
	}
	for _, r := range e.openRequests {
		sim.check.recordUnanswered(r)
	}
	sim.schedule(time.Duration(50+sim.rng.IntN(3000))*time.Millisecond, e.start)
}

// flush lets the core act and carries out its output.
func (e *simEntry) flush() {
	sim := e.sim
	out := e.core.Flush(sim.now)
	for _, send := range out.Sends {
		sim.sendToAgent(e, send)
	}
	for _, write := range out.Writes {
		e.grouper.Add(write)
	}
	for _, submission := range out.Reads {
		sim.table.read(e, submission)
	}
	for _, req := range out.OwnerQueries {
		e.askOwner(req)
	}
	for _, answer := range out.Answers {
		if r := e.openRequests[answer.Request]; r != nil {
			delete(e.openRequests, answer.Request)
			sim.check.checkAnswer(r, answer.Outcome)
		}
	}
	for _, dial := range out.Dials {
		e.dial(dial)
	}
	e.commitGroups()
}

// commitGroups sends the groups of writes that are due, and passes the results of writes to the
// core.
func (e *simEntry) commitGroups() {
	for {
		g, _ := e.grouper.Next(e.sim.now)
		if g == nil {
			break
		}
		e.sim.table.commit(e, g)
	}
	results := e.grouper.Results()
	for _, r := range results {
		e.core.ClaimWritten(e.sim.now, r)
	}
	if len(results) > 0 {
		e.flush()
	}
}

// dial tries to reach an agent incarnation and reports to the core if it has ended.
func (e *simEntry) dial(d dispatch.Dial) {
	sim := e.sim
	proc := e.proc
	sim.schedule(sim.networkDelay()*3, func() {
		for _, a := range sim.agents {
			if a.id == d.ID.Agent && a.proc.alive && a.core.info.Incarnation == d.ID.Incarnation {
				return // a link comes up by itself
			}
		}
		proc.deliver(func() { e.core.AgentEnded(sim.now, d.ID); e.flush() })
	})
}

// askOwner asks the owner of a submission for its outcome.
func (e *simEntry) askOwner(req dispatch.OwnerQuery) {
	sim := e.sim
	proc := e.proc
	respond := func(status dispatch.PeerStatus, reply *wire.AwaitReply) {
		sim.schedule(sim.networkDelay(), func() {
			proc.deliver(func() { e.core.PeerReplied(sim.now, req.Submission, req.Owner.Incarnation, status, reply); e.flush() })
		})
	}
	var owner *simEntry
	for _, other := range sim.entries {
		if other.proc.alive && other.self.Incarnation == req.Owner.Incarnation {
			owner = other
		}
	}
	if owner == nil {
		respond(dispatch.PeerRefused, nil)
		return
	}
	if owner.proc.paused {
		sim.schedule(500*time.Millisecond, func() { respond(dispatch.PeerTimedOut, nil) })
		return
	}
	sim.schedule(sim.networkDelay(), func() { owner.serveAwait(req, respond) })
}

// serveAwait answers a request of another entry when the submission ends, after two seconds at the
// latest.
func (e *simEntry) serveAwait(req dispatch.OwnerQuery, respond func(dispatch.PeerStatus, *wire.AwaitReply)) {
	sim := e.sim
	if !e.proc.alive {
		respond(dispatch.PeerRefused, nil)
		return
	}
	e.nextReq++
	id := e.nextReq
	if !e.core.AddWaiter(req.Submission, id) {
		respond(dispatch.PeerAnswered, &wire.AwaitReply{})
		return
	}
	proc := e.proc
	r := &request{
		submission: req.Submission,
		answerPeer: func(o *wire.Outcome) { respond(dispatch.PeerAnswered, &wire.AwaitReply{Known: true, Outcome: o}) },
		failPeer:   func() { respond(dispatch.PeerTimedOut, nil) },
	}
	e.openRequests[id] = r
	sim.schedule(2*time.Second, func() {
		if e.openRequests[id] == nil || e.proc != proc {
			return
		}
		delete(e.openRequests, id)
		proc.deliver(func() { e.core.RemoveWaiter(req.Submission, id) })
		respond(dispatch.PeerAnswered, &wire.AwaitReply{Known: true})
	})
	if req.Cancel {
		e.core.Cancel(sim.now, req.Submission)
	}
	e.flush()
}

// resumeLostSubmissions has a random entry resume each submission whose owner has ended and whose
// deadline has passed. It repeats every second.
func (sim *simulation) resumeLostSubmissions() {
	names := make([]string, 0, len(sim.table.rows))
	for name := range sim.table.rows {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		s := sim.table.rows[name]
		row, _ := claim.Decode(s.data)
		if row.Phase != claim.Running || sim.isOwnerAlive(row) || sim.now.Before(row.Deadline) {
			continue
		}
		e := sim.entries[sim.rng.IntN(len(sim.entries))]
		e.proc.deliver(func() { e.core.Resume(sim.now, row, s.version, nil); e.flush() })
	}
	sim.schedule(time.Second, sim.resumeLostSubmissions)
}

// isOwnerAlive reports whether the owner incarnation of a claim is running.
func (sim *simulation) isOwnerAlive(row *claim.Row) bool {
	for _, e := range sim.entries {
		if e.proc.alive && e.self.Incarnation == row.Owner.Incarnation {
			return true
		}
	}
	return false
}
