// Package wire defines the messages between entries and agents, their codec,
// and the two drpc services that carry them.
//
// An agent announces itself to its entries with Announce. Each entry then opens one long-lived
// Link to the agent. All other traffic is batched on that link: ToAgent from the entry to the
// agent, ToEntry in the other direction. Every ToEntry carries the agent's load, so an active
// link needs no separate heartbeats.
//
// A submission is one job of a caller, split into tasks. The entry that owns a submission sends
// its tasks to agents; each start of a task is an attempt. The owner may change: the epoch of a
// submission is a fencing token that rises with each change of its owner, and agents reject
// messages with a lower epoch than the highest that they have seen.
//
// Payloads carry an xxh3 checksum that both ends verify; drpc checks the length of its frames.
// Messages are immutable once sent, since the decision cores share them by pointer.
package wire

import (
	"time"

	"peridotpick.example/common/errkind"
)

// AgentInfo describes an agent and its backend server.
type AgentInfo struct {
	// ID is the configured name of the agent; it stays the same across restarts.
	ID string `cbor:"1,keyasint"`
	// Incarnation identifies one run of the agent process: a random number, never 0.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Address is the IP:port at which the agent accepts links.
	Address string `cbor:"3,keyasint"`
	// Worker names the worker that hosts the backend server.
	Worker string `cbor:"4,keyasint"`
	// DataCentre and Rack locate the worker.
	DataCentre string `cbor:"5,keyasint"`
	Rack       string `cbor:"6,keyasint"`
	// Service is the service that the backend server offers.
	Service string `cbor:"7,keyasint"`
	// Labels are the labels of the worker, overridden by those of the backend server.
	Labels map[string]string `cbor:"8,keyasint"`
	// Slots is the number of tasks that may run concurrently; at least 1.
	Slots int `cbor:"9,keyasint"`
	// Queue is the number of tasks that may wait for a slot.
	Queue int `cbor:"10,keyasint"`
}

// AnnounceRequest asks an entry to open a link to the agent.
type AnnounceRequest struct {
	Agent AgentInfo `cbor:"1,keyasint"`
	// OnlyEntries asks for the list of live entries without opening a link.
	OnlyEntries bool `cbor:"2,keyasint,omitempty"`
}

// EntryInfo identifies a live entry.
type EntryInfo struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Address is the entry's IP:port for agents and other entries.
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
}

// AnnounceReply tells the agent which entries are alive.
type AnnounceReply struct {
	Entries []EntryInfo `cbor:"1,keyasint"`
}

// Hello is the entry's first message on a link.
type Hello struct {
	Entry EntryInfo `cbor:"1,keyasint"`
	// Agent and Incarnation identify the agent that the entry wants to reach; an agent
	// with another identity closes the link.
	Agent       string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	// Heartbeat is the longest time without a message that is allowed in either direction.
	// The entry derives it from its number of links.
	Heartbeat time.Duration `cbor:"4,keyasint"`
	// Entries are the live entries of the region.
	Entries []EntryInfo `cbor:"5,keyasint"`
}

// TaskStart requests one attempt of one task.
type TaskStart struct {
	Index   uint32 `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
	// Kind is the operation that the backend server performs, such as "tray-scan".
	Kind    string `cbor:"3,keyasint"`
	Payload []byte `cbor:"4,keyasint"`
	// Checksum is the xxh3 checksum of Payload.
	Checksum uint64 `cbor:"5,keyasint"`
	// MaxRun is the time after which the backend server aborts the attempt.
	MaxRun time.Duration `cbor:"6,keyasint"`
}

// StartBatch requests attempts of several tasks of one submission.
type StartBatch struct {
	Submission string `cbor:"1,keyasint"`
	// Epoch is the fencing token of the sender's ownership; at least 1.
	Epoch uint64 `cbor:"2,keyasint"`
	// Remaining is the time left until the deadline when the batch was created.
	Remaining time.Duration `cbor:"3,keyasint"`
	// Class is the priority in the agent's queue: lower values go first.
	Class uint8       `cbor:"4,keyasint"`
	Tasks []TaskStart `cbor:"5,keyasint"`
	// NoWait asks the agent to refuse tasks instead of queueing them if no slot is free,
	// since the sender knows other agents that may have one.
	NoWait bool `cbor:"6,keyasint,omitempty"`
	// Spare is the number of slots that must stay free after a task with NoWait has started.
	Spare int `cbor:"7,keyasint,omitempty"`
}

// Cancel removes queued tasks of a submission and stops running ones. Empty Tasks means all
// tasks of the submission.
type Cancel struct {
	Submission string   `cbor:"1,keyasint"`
	Epoch      uint64   `cbor:"2,keyasint"`
	Tasks      []uint32 `cbor:"3,keyasint"`
}

// Fence raises the epoch of a submission at an agent and asks which attempts the agent knows.
// With the epoch that the agent already has it is a plain query.
type Fence struct {
	Submission string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
}

// Ack tells an agent that the outcome of a submission is recorded; the agent then drops the
// results and keeps only a tombstone.
type Ack struct {
	Submission string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
}

// ToAgent is one message from an entry to an agent.
type ToAgent struct {
	Hello   *Hello        `cbor:"1,keyasint,omitempty"`
	Starts  []*StartBatch `cbor:"2,keyasint,omitempty"`
	Cancels []Cancel      `cbor:"3,keyasint,omitempty"`
	Fences  []Fence       `cbor:"4,keyasint,omitempty"`
	Acks    []Ack         `cbor:"5,keyasint,omitempty"`
	// ConfigVersion is the newest configuration version that the entry has confirmed.
	ConfigVersion uint64 `cbor:"6,keyasint,omitempty"`
	// RestFor asks the agent to refuse new work for this time, so that its worker can be put
	// to sleep. The agent accepts work again when the time is over.
	RestFor time.Duration `cbor:"9,keyasint,omitempty"`
	// Heartbeat replaces Hello.Heartbeat, if not 0.
	Heartbeat time.Duration `cbor:"7,keyasint,omitempty"`
	// Entries replaces the list of live entries, if not empty.
	Entries []EntryInfo `cbor:"8,keyasint,omitempty"`
}

// Result is the final report on one attempt of one task.
type Result struct {
	Submission string       `cbor:"1,keyasint"`
	Index      uint32       `cbor:"2,keyasint"`
	Attempt    uint32       `cbor:"3,keyasint"`
	Epoch      uint64       `cbor:"4,keyasint"`
	Kind       errkind.Kind `cbor:"5,keyasint"`
	// NotRun guarantees that this incarnation of the agent never started the attempt.
	NotRun  bool   `cbor:"6,keyasint"`
	Payload []byte `cbor:"7,keyasint"`
	// Checksum is the xxh3 checksum of Payload.
	Checksum uint64 `cbor:"8,keyasint"`
	// RunTime is the time spent in the backend server, Waited the time in the agent's queue.
	RunTime time.Duration `cbor:"9,keyasint"`
	Waited  time.Duration `cbor:"10,keyasint"`
}

// Phase is the state of an attempt at an agent.
type Phase uint8

const (
	PhaseQueued Phase = iota
	PhaseRunning
	PhaseDone
	// PhaseResultDropped means that the attempt started and that its result was dropped.
	PhaseResultDropped
)

// TaskState reports one attempt in answer to a Fence.
type TaskState struct {
	Index   uint32  `cbor:"1,keyasint"`
	Attempt uint32  `cbor:"2,keyasint"`
	Phase   Phase   `cbor:"3,keyasint"`
	Result  *Result `cbor:"4,keyasint,omitempty"`
}

// FenceReply answers a Fence.
type FenceReply struct {
	Submission string `cbor:"1,keyasint"`
	// Epoch is the epoch of the Fence that is answered.
	Epoch uint64 `cbor:"2,keyasint"`
	// HighestEpoch is the highest epoch that the agent has seen. If it exceeds Epoch, another
	// entry owns the submission.
	HighestEpoch uint64 `cbor:"3,keyasint"`
	// Tasks are the attempts that the agent knows. Unless Partial is set, the agent has
	// received no others.
	Tasks []TaskState `cbor:"4,keyasint"`
	// Partial is true if the agent does not know this submission and has at some time
	// dropped an unacknowledged one because of its age or a lack of memory. A task that is
	// missing from Tasks may then have run.
	Partial bool `cbor:"5,keyasint,omitempty"`
}

// Load is the load of an agent at the time of sending, in tasks.
type Load struct {
	Running int `cbor:"1,keyasint"`
	Queued  int `cbor:"2,keyasint"`
	// OwnedByReceiver is the number of running and queued tasks that the receiving entry owns.
	OwnedByReceiver int `cbor:"3,keyasint"`
}

// ToEntry is one message from an agent to an entry.
type ToEntry struct {
	// Info is set on the first message of a link.
	Info    *AgentInfo   `cbor:"1,keyasint,omitempty"`
	Results []*Result    `cbor:"2,keyasint,omitempty"`
	Fences  []FenceReply `cbor:"3,keyasint,omitempty"`
	Load    Load         `cbor:"4,keyasint"`
	// NotAccepting is true while the agent accepts no new work: it drains, or pauses after RestFor.
	NotAccepting bool `cbor:"5,keyasint,omitempty"`
	// ConfigVersion is the newest configuration version that the agent knows.
	ConfigVersion uint64 `cbor:"6,keyasint,omitempty"`
}

// AwaitRequest asks the owner of a submission for its outcome, or to cancel it.
type AwaitRequest struct {
	Submission string `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the entry that the request is meant for.
	Incarnation uint64 `cbor:"2,keyasint"`
	Cancel      bool   `cbor:"3,keyasint"`
	// Wait is the longest time until the reply.
	Wait time.Duration `cbor:"4,keyasint"`
}

// AwaitReply carries the outcome of a submission.
type AwaitReply struct {
	// Known is false if the entry does not currently own the submission.
	Known bool `cbor:"1,keyasint"`
	// Outcome is nil if the submission did not end within AwaitRequest.Wait.
	Outcome *Outcome `cbor:"2,keyasint,omitempty"`
	// Incarnation is the incarnation of the replying entry.
	Incarnation uint64 `cbor:"3,keyasint"`
}

// TaskOutcome is the outcome of one task as callers see it.
type TaskOutcome struct {
	Kind    errkind.Kind `cbor:"1,keyasint"`
	Ran     errkind.Ran  `cbor:"2,keyasint"`
	Payload []byte       `cbor:"3,keyasint"`
}

// Outcome is the final answer to a submission: complete, or failed with a cause.
type Outcome struct {
	// Kind is OK only if every task completed.
	Kind   errkind.Kind `cbor:"1,keyasint"`
	Detail string       `cbor:"2,keyasint"`
	// Tasks has one element per task, in order of their index; empty if nothing started.
	Tasks []TaskOutcome `cbor:"3,keyasint"`
	// RetryAfter is the time after which the caller should retry; 0 if a retry is pointless.
	RetryAfter time.Duration `cbor:"4,keyasint"`
	// Unchecked marks a refusal without a check for an earlier submission with the same key:
	// this request started nothing, but the earlier one may have run.
	Unchecked bool `cbor:"5,keyasint,omitempty"`
}

// Ran returns what is known about whether the submission was executed.
func (o *Outcome) Ran() errkind.Ran {
	if o.Unchecked {
		return errkind.MaybeRan
	}
	return errkind.Of(o.Kind).Ran
}
