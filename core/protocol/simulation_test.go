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

// world is a deployment in virtual time: one event loop, no goroutines.
type world struct {
	rng     *rand.Rand
	now     time.Time
	queue   eventQueue
	seq     uint64
	entries []*simEntry
	agents  []*simAgent
	table   *simTable
	links   []*simLink
	check   *checker
	healed  bool
	trace   []string
}

type simEvent struct {
	at  time.Time
	seq uint64
	do  func()
}

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

func newWorld(seed uint64, entries, agents int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 77)), now: epochStart}
	w.table = &simTable{world: w, rows: make(map[string]stored)}
	w.check = newChecker(w)
	for i := range agents {
		a := &simAgent{world: w, id: fmt.Sprintf("agent-%d", i)}
		w.agents = append(w.agents, a)
		a.start()
	}
	for i := range entries {
		e := &simEntry{world: w, id: fmt.Sprintf("entry-%d", i)}
		w.entries = append(w.entries, e)
		e.start()
	}
	return w
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Sub(epochStart).Seconds())+fmt.Sprintf(format, args...))
}

// after runs do after a delay.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, simEvent{w.now.Add(d), w.seq, do})
}

// run handles events until a time.
func (w *world) run(until time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		e := heap.Pop(&w.queue).(simEvent)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// delay draws a network delay.
func (w *world) delay() time.Duration {
	return time.Duration(200+w.rng.IntN(3000)) * time.Microsecond
}

// process is what can be paused: its inbox waits while it is.
type process struct {
	alive  bool
	paused bool
	inbox  []func()
}

// deliver runs do in the process, now or when it resumes.
func (p *process) deliver(do func()) {
	switch {
	case !p.alive:
	case p.paused:
		p.inbox = append(p.inbox, do)
	default:
		do()
	}
}

func (p *process) resume() {
	p.paused = false
	waiting := p.inbox
	p.inbox = nil
	for _, do := range waiting {
		p.deliver(do)
	}
}

// simLink is a TCP connection between one entry and one agent incarnation.
type simLink struct {
	entry       *simEntry
	entryProc   *process
	agent       *simAgent
	agentProc   *process
	entryID     dispatch.LinkID
	agentID     agentcore.LinkID
	broken      bool
	lastToAgent time.Time
	lastToEntry time.Time
}

// ordered returns the delay of the next message so that none overtakes.
func ordered(w *world, last *time.Time) time.Duration {
	at := w.now.Add(w.delay())
	if at.Before(*last) {
		at = *last
	}
	*last = at
	return at.Sub(w.now)
}

// connect opens a link if both ends are alive.
func (w *world) connect(e *simEntry, a *simAgent) {
	if !e.proc.alive || !a.proc.alive || e.cut[a.id] {
		return
	}
	for _, l := range w.links {
		if !l.broken && l.entryProc == e.proc && l.agentProc == a.proc {
			return
		}
	}
	w.seq++
	l := &simLink{entry: e, entryProc: e.proc, agent: a, agentProc: a.proc, entryID: dispatch.LinkID(w.seq), agentID: agentcore.LinkID(w.seq)}
	w.links = append(w.links, l)
	info := a.core.info
	w.after(ordered(w, &l.lastToAgent), func() {
		l.agentProc.deliver(func() { l.agent.handle(l.agentProc, l.agent.core.LinkUp(w.now, l.agentID, e.self)) })
	})
	w.after(ordered(w, &l.lastToEntry), func() {
		l.entryProc.deliver(func() {
			if l.broken {
				return
			}
			e.core.LinkUp(w.now, l.entryID, &info)
			e.flush()
		})
	})
}

// breakLink cuts a link: what is under way may or may not arrive, and each
// side learns of it in its own time.
func (w *world) breakLink(l *simLink) {
	if l.broken {
		return
	}
	l.broken = true
	w.after(w.delay()*5, func() {
		l.agentProc.deliver(func() { l.agent.handle(l.agentProc, l.agent.core.LinkDown(w.now, l.agentID)) })
	})
	w.after(w.delay()*5, func() {
		l.entryProc.deliver(func() { l.entry.core.LinkDown(w.now, l.entryID); l.entry.flush() })
	})
	w.after(100*time.Millisecond, func() { w.reconnect(l.entry, l.agent) })
}

func (w *world) reconnect(e *simEntry, a *simAgent) {
	if e.cut[a.id] {
		w.after(200*time.Millisecond, func() { w.reconnect(e, a) })
		return
	}
	w.connect(e, a)
}

// agentWrap keeps the announced info beside the core.
type agentWrap struct {
	*agentcore.Core
	info wire.AgentInfo
}

// simAgent is an agent with its backend server.
type simAgent struct {
	world *world
	id    string
	proc  *process
	core  agentWrap
}

const simSlots = 2

func (a *simAgent) start() {
	w := a.world
	w.seq++
	a.proc = &process{alive: true}
	info := wire.AgentInfo{
		ID: a.id, Incarnation: w.seq, Address: a.id, Service: "s", Slots: simSlots, Queue: simSlots,
		Labels: map[string]string{"name": a.id},
	}
	a.core = agentWrap{agentcore.New(agentcore.Settings{
		Info: info, FenceMemory: 90 * time.Second, ResultRetention: 10 * time.Minute, ResultBytes: 1 << 20,
	}), info}
	for _, e := range w.entries {
		w.after(w.delay()*10, func() { w.connect(e, a) })
	}
}

// crash ends the agent's process. What runs in the backend server goes on.
func (a *simAgent) crash() {
	w := a.world
	dead := a.proc
	id := rank.ID{Agent: a.id, Incarnation: a.core.info.Incarnation}
	dead.alive = false
	for _, l := range w.links {
		if l.agentProc == dead {
			w.breakLink(l)
		}
	}
	for _, e := range w.entries {
		proc := e.proc
		w.after(w.delay()*30, func() {
			proc.deliver(func() {
				if e.proc == proc {
					e.core.AgentGone(w.now, id)
					e.flush()
				}
			})
		})
	}
	w.after(time.Duration(100+w.rng.IntN(2000))*time.Millisecond, a.start)
}

func (a *simAgent) handle(proc *process, out agentcore.Output) {
	w := a.world
	for _, send := range out.Sends {
		w.toEntry(proc, send)
	}
	for _, e := range out.Executes {
		a.execute(proc, e)
	}
}

func (w *world) toEntry(proc *process, send agentcore.Send) {
	for _, l := range w.links {
		if l.agentProc != proc || l.agentID != send.Link {
			continue
		}
		msg := send.Msg
		if l.broken && w.rng.IntN(2) == 0 {
			return
		}
		w.after(ordered(w, &l.lastToEntry), func() {
			if l.broken && w.rng.IntN(2) == 0 {
				return
			}
			l.entryProc.deliver(func() { l.entry.core.Receive(w.now, l.entryID, msg); l.entry.flush() })
		})
		return
	}
}

func (w *world) toAgent(e *simEntry, send dispatch.Send) {
	for _, l := range w.links {
		if l.entryProc != e.proc || l.entryID != send.Link {
			continue
		}
		msg := send.Msg
		// Bytes already buffered may still be read after the break.
		w.after(ordered(w, &l.lastToAgent), func() {
			if l.broken && w.rng.IntN(2) == 0 {
				return
			}
			l.agentProc.deliver(func() { l.agent.handle(l.agentProc, l.agent.core.Receive(w.now, l.agentID, msg)) })
		})
		return
	}
}

// execute runs an attempt in the backend server.
func (a *simAgent) execute(proc *process, e agentcore.Execution) {
	w := a.world
	run := time.Duration(20+w.rng.IntN(400)) * time.Millisecond
	started := w.check.started(e, a.id)
	done := agentcore.Completion{Kind: errkind.OK, Payload: []byte(result(e.ID.Submission, e.ID.Index)), RunTime: run}
	if !w.healed && w.rng.IntN(40) == 0 {
		done = agentcore.Completion{Kind: errkind.TaskFailed, RunTime: run}
	}
	core := a.core
	w.after(run, func() {
		w.check.ended(started)
		proc.deliver(func() { a.handle(proc, core.Finished(w.now, e.ID, done)) })
	})
}

func result(submission string, index uint32) string { return fmt.Sprintf("%s/%d", submission, index) }

// simEntry is an entry with its claim writer.
type simEntry struct {
	world   *world
	id      string
	proc    *process
	self    wire.EntryInfo
	core    *dispatch.Core
	grouper *group.Grouper
	cut     map[string]bool
	nextReq uint64
	open    map[uint64]*request
}

func (e *simEntry) start() {
	w := e.world
	w.seq++
	e.proc = &process{alive: true}
	e.self = wire.EntryInfo{ID: e.id, Incarnation: w.seq, Address: e.id}
	settings := dispatch.DefaultSettings()
	settings.HedgeShare = 0.05
	e.core = dispatch.New(settings, e.self, rand.New(rand.NewPCG(w.seq, 3)))
	e.core.SetLease(w.now.Add(time.Hour))
	e.grouper = group.New(group.DefaultParams())
	e.cut = make(map[string]bool)
	e.open = make(map[uint64]*request)
	for _, a := range w.agents {
		w.after(w.delay()*10, func() { w.connect(e, a) })
	}
	proc := e.proc
	var tick func()
	tick = func() {
		if !proc.alive {
			return
		}
		proc.deliver(e.flush)
		w.after(10*time.Millisecond, tick)
	}
	grouper := e.grouper
	var poll func()
	poll = func() {
		if !proc.alive {
			return
		}
		proc.deliver(func() { grouper.Reachable(!w.table.down) })
		w.after(500*time.Millisecond, poll)
	}
	w.after(500*time.Millisecond, poll)
	w.after(time.Millisecond, tick)
}

// crash ends the entry's process; a new incarnation follows.
func (e *simEntry) crash() {
	w := e.world
	e.proc.alive = false
	for _, l := range w.links {
		if l.entryProc == e.proc {
			w.breakLink(l)
		}
	}
	for _, r := range e.open {
		w.check.unanswered(r)
	}
	w.after(time.Duration(50+w.rng.IntN(3000))*time.Millisecond, e.start)
}

// flush lets the core act and carries its output out.
func (e *simEntry) flush() {
	w := e.world
	out := e.core.Flush(w.now)
	for _, send := range out.Sends {
		w.toAgent(e, send)
	}
	for _, write := range out.Writes {
		e.grouper.Add(write)
	}
	for _, submission := range out.Reads {
		w.table.read(e, submission)
	}
	for _, ask := range out.Awaits {
		e.ask(ask)
	}
	for _, answer := range out.Answers {
		if r := e.open[answer.Request]; r != nil {
			delete(e.open, answer.Request)
			w.check.answered(r, answer.Outcome)
		}
	}
	for _, dial := range out.Dials {
		e.dial(dial)
	}
	e.pump()
}

// pump sends what the grouper allows and delivers fates.
func (e *simEntry) pump() {
	for {
		g, _ := e.grouper.Next(e.world.now)
		if g == nil {
			break
		}
		e.world.table.commit(e, g)
	}
	results := e.grouper.Results()
	for _, r := range results {
		e.core.ClaimWritten(e.world.now, r)
	}
	if len(results) > 0 {
		e.flush()
	}
}

// dial reports an agent incarnation that is gone.
func (e *simEntry) dial(d dispatch.Dial) {
	w := e.world
	proc := e.proc
	w.after(w.delay()*3, func() {
		for _, a := range w.agents {
			if a.id == d.ID.Agent && a.proc.alive && a.core.info.Incarnation == d.ID.Incarnation {
				return // a link comes up by itself
			}
		}
		proc.deliver(func() { e.core.AgentGone(w.now, d.ID); e.flush() })
	})
}

// ask carries a question to the owner of a submission.
func (e *simEntry) ask(ask dispatch.PeerAwait) {
	w := e.world
	proc := e.proc
	back := func(fate dispatch.PeerFate, reply *wire.AwaitReply) {
		w.after(w.delay(), func() {
			proc.deliver(func() { e.core.PeerReplied(w.now, ask.Submission, ask.Owner.Incarnation, fate, reply); e.flush() })
		})
	}
	var owner *simEntry
	for _, other := range w.entries {
		if other.proc.alive && other.self.Incarnation == ask.Owner.Incarnation {
			owner = other
		}
	}
	if owner == nil {
		back(dispatch.PeerRefused, nil)
		return
	}
	if owner.proc.paused {
		w.after(500*time.Millisecond, func() { back(dispatch.PeerSilent, nil) })
		return
	}
	w.after(w.delay(), func() { owner.await(ask, back) })
}

// await serves another entry's question.
func (e *simEntry) await(ask dispatch.PeerAwait, back func(dispatch.PeerFate, *wire.AwaitReply)) {
	w := e.world
	if !e.proc.alive {
		back(dispatch.PeerRefused, nil)
		return
	}
	e.nextReq++
	id := e.nextReq
	if !e.core.Watch(ask.Submission, id) {
		back(dispatch.PeerAnswered, &wire.AwaitReply{})
		return
	}
	proc := e.proc
	r := &request{
		submission: ask.Submission,
		peer:       func(o *wire.Outcome) { back(dispatch.PeerAnswered, &wire.AwaitReply{Known: true, Outcome: o}) },
		gone:       func() { back(dispatch.PeerSilent, nil) },
	}
	e.open[id] = r
	w.after(2*time.Second, func() {
		if e.open[id] == nil || e.proc != proc {
			return
		}
		delete(e.open, id)
		proc.deliver(func() { e.core.Unwatch(ask.Submission, id) })
		back(dispatch.PeerAnswered, &wire.AwaitReply{Known: true})
	})
	if ask.Cancel {
		e.core.Cancel(w.now, ask.Submission)
	}
	e.flush()
}

// sweep lets live entries resume what lost ones left.
func (w *world) sweep() {
	names := make([]string, 0, len(w.table.rows))
	for name := range w.table.rows {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		s := w.table.rows[name]
		row, _ := claim.Decode(s.data)
		if row.Phase != claim.Running || w.ownerAlive(row) || w.now.Before(row.Deadline) {
			continue
		}
		e := w.entries[w.rng.IntN(len(w.entries))]
		e.proc.deliver(func() { e.core.Resume(w.now, row, s.version, nil); e.flush() })
	}
	w.after(time.Second, w.sweep)
}

func (w *world) ownerAlive(row *claim.Row) bool {
	for _, e := range w.entries {
		if e.proc.alive && e.self.Incarnation == row.Owner.Incarnation {
			return true
		}
	}
	return false
}
