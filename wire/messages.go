// Package wire defines the messages between entries and agents, their codec,
// and the two drpc services that carry them.
//
// An agent announces itself to its entries with Announce. Each entry then
// opens one long-lived Link to the agent. Everything else travels as batches
// on that link: ToAgent downwards, ToEntry upwards. An agent's load rides on
// every ToEntry, so that an active link needs no heartbeats.
//
// Payloads carry an xxh3 checksum that both ends verify; drpc checks the
// length of its frames. Messages are immutable once sent: the decision cores
// share them by pointer.
package wire

import (
	"time"

	"peridotpick.example/common/errkind"
)

// AgentInfo describes an agent and its backend server.
type AgentInfo struct {
	// ID is the stable name of the backend server's slot.
	ID string `cbor:"1,keyasint"`
	// Incarnation is drawn anew at each start of the agent process; never 0.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Address is the agent's IP:port for links.
	Address string `cbor:"3,keyasint"`
	// Worker is the machine that hosts the backend server.
	Worker string `cbor:"4,keyasint"`
	// DataCentre and Rack locate the worker.
	DataCentre string `cbor:"5,keyasint"`
	Rack       string `cbor:"6,keyasint"`
	// Service is the service that the backend server offers.
	Service string `cbor:"7,keyasint"`
	// Labels are those of the backend server merged over those of its worker.
	Labels map[string]string `cbor:"8,keyasint"`
	// Slots is the number of tasks that may run at once; at least 1.
	Slots int `cbor:"9,keyasint"`
	// Queue is the number of tasks that may wait for a slot.
	Queue int `cbor:"10,keyasint"`
}

// AnnounceRequest asks an entry to open a link to the agent.
type AnnounceRequest struct {
	Agent AgentInfo `cbor:"1,keyasint"`
	// OnlyEntries asks for the live entries and no link.
	OnlyEntries bool `cbor:"2,keyasint,omitempty"`
}

// EntryInfo names a live entry.
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

// Hello opens a link in the direction of the agent.
type Hello struct {
	Entry EntryInfo `cbor:"1,keyasint"`
	// Agent and Incarnation are those the entry means to reach; an agent with
	// another identity closes the link.
	Agent       string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	// Heartbeat is the longest silence allowed on the link in either
	// direction. The entry derives it from its number of links.
	Heartbeat time.Duration `cbor:"4,keyasint"`
	// Entries are the live entries of the region.
	Entries []EntryInfo `cbor:"5,keyasint"`
}

// TaskStart asks for one attempt of one task.
type TaskStart struct {
	Index   uint32 `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
	// Kind is the operation of the backend server, such as "tray-scan".
	Kind    string `cbor:"3,keyasint"`
	Payload []byte `cbor:"4,keyasint"`
	// Sum is the xxh3 checksum of Payload.
	Sum uint64 `cbor:"5,keyasint"`
	// MaxRun is the time after which the backend server gives the attempt up.
	MaxRun time.Duration `cbor:"6,keyasint"`
}

// StartBatch asks for attempts of several tasks of one submission.
type StartBatch struct {
	Submission string `cbor:"1,keyasint"`
	// Epoch is the fencing token of the sender's ownership; at least 1.
	Epoch uint64 `cbor:"2,keyasint"`
	// Remaining is the time to the deadline when the batch was made.
	Remaining time.Duration `cbor:"3,keyasint"`
	// Class orders the agent's queue: lower values first.
	Class uint8       `cbor:"4,keyasint"`
	Tasks []TaskStart `cbor:"5,keyasint"`
	// NoWait asks to refuse tasks that find no free slot, since the sender knows
	// other agents that may have one.
	NoWait bool `cbor:"6,keyasint,omitempty"`
	// Spare is the number of slots that tasks with NoWait must leave free.
	Spare int `cbor:"7,keyasint,omitempty"`
}

// Cancel withdraws tasks of a submission that have not started and asks to
// stop those that have. Empty Tasks means all of them.
type Cancel struct {
	Submission string   `cbor:"1,keyasint"`
	Epoch      uint64   `cbor:"2,keyasint"`
	Tasks      []uint32 `cbor:"3,keyasint"`
}

// Fence raises the epoch of a submission at an agent and asks what the agent
// started. With the epoch that the agent already has it is a plain query.
type Fence struct {
	Submission string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
}

// Ack tells an agent that the outcome of a submission is recorded; the agent
// forgets its results and keeps only a tombstone.
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
	// ConfigVersion is the newest configuration version the entry confirmed.
	ConfigVersion uint64 `cbor:"6,keyasint,omitempty"`
	// RestFor asks the agent to refuse new work for a while, so that its worker
	// can be put to sleep; the agent resumes by itself.
	RestFor time.Duration `cbor:"9,keyasint,omitempty"`
	// Heartbeat replaces that of the Hello, if not 0.
	Heartbeat time.Duration `cbor:"7,keyasint,omitempty"`
	// Entries replaces the list of live entries, if not empty.
	Entries []EntryInfo `cbor:"8,keyasint,omitempty"`
}

// Result ends one attempt of one task.
type Result struct {
	Submission string       `cbor:"1,keyasint"`
	Index      uint32       `cbor:"2,keyasint"`
	Attempt    uint32       `cbor:"3,keyasint"`
	Epoch      uint64       `cbor:"4,keyasint"`
	Kind       errkind.Kind `cbor:"5,keyasint"`
	// NotRun is a proof by this incarnation that the attempt never started.
	NotRun  bool   `cbor:"6,keyasint"`
	Payload []byte `cbor:"7,keyasint"`
	// Sum is the xxh3 checksum of Payload.
	Sum uint64 `cbor:"8,keyasint"`
	// RunTime is the time in the backend server; Waited the time in the queue.
	RunTime time.Duration `cbor:"9,keyasint"`
	Waited  time.Duration `cbor:"10,keyasint"`
}

// Phase is the state of an attempt at an agent.
type Phase uint8

// Phases of an attempt.
const (
	Queued Phase = iota
	Running
	Done
	// Lost is an attempt that started and whose result was dropped.
	Lost
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
	// Epoch is that of the Fence answered.
	Epoch uint64 `cbor:"2,keyasint"`
	// Highest is the epoch now in force at the agent. If it exceeds Epoch the
	// sender has lost the submission.
	Highest uint64 `cbor:"3,keyasint"`
	// Tasks are the attempts the agent knows; others never reached it.
	Tasks []TaskState `cbor:"4,keyasint"`
	// Partial is true if the agent has ever dropped an unacknowledged
	// submission for lack of memory or by age and does not know this one:
	// absence from Tasks is then no proof.
	Partial bool `cbor:"5,keyasint,omitempty"`
}

// Load is an agent's load at the time of sending.
type Load struct {
	Running int `cbor:"1,keyasint"`
	Queued  int `cbor:"2,keyasint"`
	// Mine is the part of Running and Queued that belongs to the receiver.
	Mine int `cbor:"3,keyasint"`
}

// ToEntry is one message from an agent to an entry.
type ToEntry struct {
	// Info is set on the first message of a link.
	Info    *AgentInfo   `cbor:"1,keyasint,omitempty"`
	Results []*Result    `cbor:"2,keyasint,omitempty"`
	Fences  []FenceReply `cbor:"3,keyasint,omitempty"`
	Load    Load         `cbor:"4,keyasint"`
	// Leaving announces that the agent accepts no new work.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// ConfigVersion is the newest configuration version the agent has heard of.
	ConfigVersion uint64 `cbor:"6,keyasint,omitempty"`
}

// AwaitRequest asks the owner of a submission for its answer, or to cancel it.
type AwaitRequest struct {
	Submission string `cbor:"1,keyasint"`
	// Incarnation is that of the owner meant.
	Incarnation uint64 `cbor:"2,keyasint"`
	Cancel      bool   `cbor:"3,keyasint"`
	// Wait bounds the time until the reply.
	Wait time.Duration `cbor:"4,keyasint"`
}

// AwaitReply carries the outcome of a submission.
type AwaitReply struct {
	// Known is false if the entry does not own the submission now.
	Known bool `cbor:"1,keyasint"`
	// Outcome is nil if the submission did not end within the wait.
	Outcome *Outcome `cbor:"2,keyasint,omitempty"`
	// Incarnation is that of the entry that replies.
	Incarnation uint64 `cbor:"3,keyasint"`
}

// TaskOutcome is the end of one task as callers see it.
type TaskOutcome struct {
	Kind    errkind.Kind `cbor:"1,keyasint"`
	Ran     errkind.Ran  `cbor:"2,keyasint"`
	Payload []byte       `cbor:"3,keyasint"`
}

// Outcome is the final answer of a submission: complete, or failed with a cause.
type Outcome struct {
	// Kind is OK only if every task completed.
	Kind   errkind.Kind `cbor:"1,keyasint"`
	Detail string       `cbor:"2,keyasint"`
	// Tasks has one element for each task, in order; empty if nothing started.
	Tasks []TaskOutcome `cbor:"3,keyasint"`
	// RetryAfter tells the caller when to come back; zero if there is no point.
	RetryAfter time.Duration `cbor:"4,keyasint"`
	// Unchecked weakens a refusal: this request started nothing, but an earlier
	// submission with the same key could not be looked up.
	Unchecked bool `cbor:"5,keyasint,omitempty"`
}

// Ran states what is known about the execution of the whole submission.
func (o *Outcome) Ran() errkind.Ran {
	if o.Unchecked {
		return errkind.Unknown
	}
	return errkind.Of(o.Kind).Ran
}
