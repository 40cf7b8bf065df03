package entry

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"peridotpick.example/common/errkind"
	"peridotpick.example/wire"
)

// problem is an error answer (RFC 9457).
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Kind is the name of the error kind in the interface.
	Kind string `json:"kind"`
	// Ran tells what is known about the execution: not-run, ran or unknown.
	Ran string `json:"ran"`
	// Field is the path of the offending input.
	Field string `json:"field,omitempty"`
	// RetryAfterMs is the time after which to retry; the Retry-After header has it in whole seconds.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Tasks tells for each task of a failed job what is known about its execution.
	Tasks []taskProblem `json:"tasks,omitempty"`
}

// taskProblem is the error kind of one task and what is known about its execution.
type taskProblem struct {
	Kind string `json:"kind"`
	Ran  string `json:"ran"`
}

// typePrefix is the prefix of the URN that names the type of a problem.
const typePrefix = "urn:peridotpick:error:"

// Content types of answers.
const contentProblem = "application/problem+json"
const contentJSON = "application/json"

// jobAnswer is the answer for a job that is complete or still running.
type jobAnswer struct {
	Key string `json:"key,omitempty"`
	// State is complete or running.
	State string       `json:"state"`
	Tasks []taskAnswer `json:"tasks,omitempty"`
}

// States of a job.
const (
	stateComplete = "complete"
	stateRunning  = "running"
	stateFailed   = "failed"
	stateNotRun   = "not-run"
)

// taskAnswer is the result of a task: Result if it is valid JSON, else ResultBytes in base64.
type taskAnswer struct {
	Result      json.RawMessage `json:"result,omitempty"`
	ResultBytes []byte          `json:"resultBytes,omitempty"`
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		writeError(ctx, errkind.New(errkind.Internal, "the answer could not be encoded"))
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentJSON)
	ctx.SetBody(data)
}

// writeError answers with an error for a request that started nothing, or with an internal error.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	e := errkind.From(err)
	writeProblem(ctx, &wire.Outcome{Kind: e.Kind, Detail: e.Detail, RetryAfter: e.RetryAfter}, e.Field)
}

// writeProblem answers with the error of an outcome; field is the path of the offending input or
// empty.
func writeProblem(ctx *fasthttp.RequestCtx, o *wire.Outcome, field string) {
	info := errkind.Of(o.Kind)
	p := problem{
		Type: typePrefix + info.Name, Title: info.Title, Status: info.Status, Detail: o.Detail,
		Kind: info.Name, Ran: o.Ran().String(), Field: field, RetryAfterMs: o.RetryAfter.Milliseconds(),
	}
	for _, t := range o.Tasks {
		p.Tasks = append(p.Tasks, taskProblem{Kind: t.Kind.String(), Ran: t.Ran.String()})
	}
	data, err := json.Marshal(p)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(info.Status)
	ctx.SetContentType(contentProblem)
	ctx.Response.Header.Set(headerRan, p.Ran)
	if o.RetryAfter > 0 {
		seconds := (o.RetryAfter + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	ctx.SetBody(data)
}

// writeJob answers with the outcome of a job; nil means that the job is still running.
func writeJob(ctx *fasthttp.RequestCtx, key string, o *wire.Outcome) {
	switch {
	case o == nil:
		ctx.Response.Header.Set(fasthttp.HeaderLocation, routeJobs+"/"+key)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
		writeJSON(ctx, fasthttp.StatusAccepted, jobAnswer{Key: key, State: stateRunning})
	case o.Kind != errkind.OK:
		writeProblem(ctx, o, "")
	default:
		answer := jobAnswer{Key: key, State: stateComplete, Tasks: make([]taskAnswer, len(o.Tasks))}
		for i, t := range o.Tasks {
			answer.Tasks[i] = newTaskAnswer(t.Payload)
		}
		writeJSON(ctx, fasthttp.StatusOK, answer)
	}
}

func newTaskAnswer(payload []byte) taskAnswer {
	if json.Valid(payload) {
		return taskAnswer{Result: payload}
	}
	return taskAnswer{ResultBytes: payload}
}

// writeCall answers with the result of a call, its bytes as the backend server returned them.
func writeCall(ctx *fasthttp.RequestCtx, o *wire.Outcome) {
	if o.Kind != errkind.OK {
		writeProblem(ctx, o, "")
		return
	}
	ctx.Response.Header.Set(headerRan, errkind.DidRun.String())
	ctx.SetContentType(contentJSON)
	ctx.SetBody(o.Tasks[0].Payload)
}

// stoppedOutcome returns the outcome for a request that is open when the entry is aborted.
func stoppedOutcome() *wire.Outcome {
	return &wire.Outcome{Kind: errkind.FateUnknown, Detail: "this entry stopped; ask again with the same key", RetryAfter: time.Second}
}

// refusalCounts counts the outcomes of refused and failed requests by error kind.
type refusalCounts struct {
	mu     sync.Mutex
	counts map[errkind.Kind]uint64
}

func (r *refusalCounts) add(kind errkind.Kind) {
	if kind == errkind.OK {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[errkind.Kind]uint64)
	}
	r.counts[kind]++
}

// byName returns the counts by the name of the error kind in the interface.
func (r *refusalCounts) byName() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	named := make(map[string]uint64, len(r.counts))
	for kind, n := range r.counts {
		named[kind.String()] = n
	}
	return named
}
