package entry

import (
	"errors"
	"io"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"

	"peridotpick.example/common/config"
	"peridotpick.example/common/errkind"
	"peridotpick.example/core/claim"
	"peridotpick.example/core/dispatch"
	"peridotpick.example/wire"
)

// preferAsync is the preference (RFC 7240) of a caller that wants to poll for the outcome.
const preferAsync = "respond-async"

// postJob submits a job and answers with its outcome, or at once if the caller prefers to poll.
func (e *Entry) postJob(ctx *fasthttp.RequestCtx, identity config.Identity) {
	key, err := idempotencyKey(ctx, true)
	if err != nil {
		writeError(ctx, err)
		return
	}
	async := strings.Contains(string(ctx.Request.Header.Peek("Prefer")), preferAsync)
	r, err := e.decodeJobRequest(ctx, identity.Name, key, async)
	if err != nil {
		writeError(ctx, err)
		return
	}
	outcome := e.submitIfAllowed(r)
	writeJob(ctx, key, outcome)
}

// decodeJobRequest decodes a job. The body of an asynchronous one is stored with its claim, so that
// another entry can resume it.
func (e *Entry) decodeJobRequest(ctx *fasthttp.RequestCtx, team, key string, async bool) (*dispatch.Request, error) {
	conf := e.watcher.Current()
	var recorder *recordingReader
	body := bodyStream(ctx)
	if async {
		recorder = &recordingReader{source: body}
		body = recorder
	}
	job, digest, err := decodeJob(body, e.limits())
	if err != nil {
		return nil, err
	}
	specs, err := e.resolveTasks(conf, job.Tasks)
	if err != nil {
		return nil, err
	}
	r := e.newRequest(conf, team, key, digest, job.Deadline.Std(), specs)
	if !async {
		return r, nil
	}
	r.Async = true
	r.Stored, err = cbor.Marshal(storedRequest{Team: team, Body: recorder.data})
	return r, err
}

// recordingReader records all bytes that are read through it.
type recordingReader struct {
	source io.Reader
	data   []byte
}

// Read implements io.Reader.
func (r *recordingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.data = append(r.data, p[:n]...)
	return n, err
}

// submitIfAllowed submits a request unless the configuration is unconfirmed, and counts outcomes
// that are refusals or failures.
func (e *Entry) submitIfAllowed(r *dispatch.Request) *wire.Outcome {
	if refusal := e.refuseIfUnconfirmed(r); refusal != nil {
		e.refusals.add(refusal.Kind)
		return refusal
	}
	outcome := e.submit(r)
	if outcome != nil {
		e.refusals.add(outcome.Kind)
	}
	return outcome
}

// refuseIfUnconfirmed returns a refusal if the configuration may be outdated and the request is not
// a call without a key whose tasks are all repeatable; else nil.
func (e *Entry) refuseIfUnconfirmed(r *dispatch.Request) *wire.Outcome {
	if e.watcher.IsConfirmed(time.Now()) {
		return nil
	}
	repeatable := !r.Claimed
	for i := range r.Tasks {
		repeatable = repeatable && r.Tasks[i].Repeatable
	}
	if repeatable {
		return nil
	}
	return &wire.Outcome{
		Kind: errkind.StoreUnavailable, Unchecked: r.Claimed, RetryAfter: time.Second,
		Detail: "the configuration could not be confirmed; this request started nothing",
	}
}

// postCall submits a call, which is one task, and answers with its result.
func (e *Entry) postCall(ctx *fasthttp.RequestCtx, identity config.Identity) {
	r, err := e.decodeCallRequest(ctx, identity.Name)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeCall(ctx, e.submitIfAllowed(r))
}

// decodeCallRequest decodes a call. Its payload is the body, the rest is in the path and headers.
func (e *Entry) decodeCallRequest(ctx *fasthttp.RequestCtx, team string) (*dispatch.Request, error) {
	key, err := idempotencyKey(ctx, false)
	if err != nil {
		return nil, err
	}
	l := e.limits()
	deadline := l.defaultDeadline
	if text := string(ctx.Request.Header.Peek(headerDeadline)); text != "" {
		if deadline, err = time.ParseDuration(text); err != nil {
			return nil, errkind.NewField(errkind.InvalidRequest, headerDeadline, text+`: a duration such as "2s" is required`)
		}
	}
	if err := checkDeadline(headerDeadline, deadline, l); err != nil {
		return nil, err
	}
	payload, err := io.ReadAll(io.LimitReader(bodyStream(ctx), int64(l.maxPayload)+1))
	if err != nil {
		return nil, errkind.NewField(errkind.InvalidRequest, "body", err.Error())
	}
	if len(payload) > l.maxPayload {
		return nil, errkind.NewField(errkind.TooLarge, "body", "the payload exceeds maxPayload")
	}
	task := taskBody{
		Service: ctx.UserValue("service").(string), Kind: ctx.UserValue("kind").(string),
		Selector: string(ctx.Request.Header.Peek(headerSelector)), Payload: payload,
	}
	conf := e.watcher.Current()
	spec, err := e.resolveTask(conf, "", &task)
	if err != nil {
		return nil, err
	}
	digest := xxh3.HashString(task.Service + "\x00" + task.Kind + "\x00" + task.Selector + "\x00" + string(payload))
	return e.newRequest(conf, team, key, digest, deadline, []dispatch.TaskSpec{spec}), nil
}

// getJob answers with the outcome of a job. It waits for the outcome for up to ?wait=, at most
// maxPeerWait.
func (e *Entry) getJob(ctx *fasthttp.RequestCtx, identity config.Identity) {
	key := ctx.UserValue("key").(string)
	var wait time.Duration
	if text := string(ctx.QueryArgs().Peek("wait")); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < 0 || parsed > maxPeerWait {
			writeError(ctx, errkind.NewField(errkind.InvalidRequest, "wait", text+": a duration from 0s to "+maxPeerWait.String()+" is required"))
			return
		}
		wait = parsed
	}
	outcome, err := e.findJob(claim.KeyedName(identity.Name, key), wait, false)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJob(ctx, key, outcome)
}

// cancelJob cancels a job. It answers with status 204 if the job was canceled, else with its outcome,
// since the job may complete first.
func (e *Entry) cancelJob(ctx *fasthttp.RequestCtx, identity config.Identity) {
	key := ctx.UserValue("key").(string)
	outcome, err := e.findJob(claim.KeyedName(identity.Name, key), maxPeerWait, true)
	if err != nil {
		writeError(ctx, err)
		return
	}
	if outcome != nil && outcome.Kind == errkind.Canceled {
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	writeJob(ctx, key, outcome)
}

// findJob returns the outcome of a submission from this entry, from its claim or from the entry that
// owns it. The outcome is nil if the submission still runs or its owner does not answer.
func (e *Entry) findJob(submission string, wait time.Duration, cancel bool) (*wire.Outcome, error) {
	if outcome, ok := e.awaitOutcome(submission, wait, cancel); ok {
		return outcome, nil
	}
	row, _, err := e.claims.Read(e.work, submission)
	if err != nil {
		return nil, &errkind.Error{Kind: errkind.StoreUnavailable, Detail: "the claim could not be looked up", RetryAfter: time.Second}
	}
	switch {
	case row == nil:
		return nil, errkind.New(errkind.NotFound, "no job with this key")
	case row.Phase == claim.Closed:
		return row.Outcome, nil
	case row.Phase == claim.Void:
		return nil, errkind.New(errkind.NotFound, "the job with this key was refused and did not run")
	case wait == 0 && !cancel:
		return nil, nil
	}
	_, reply := e.askOwner(dispatch.OwnerQuery{Submission: submission, Owner: row.Owner, Cancel: cancel})
	if reply == nil {
		return nil, nil // the owner is unreachable; a resubmission or the sweep takes the submission over
	}
	return reply.Outcome, nil
}

// jobSummary is one job in a team's list of jobs.
type jobSummary struct {
	Key   string `json:"key"`
	State string `json:"state"`
	Tasks uint32 `json:"tasks"`
	Owner string `json:"owner"`
}

// Limits of the number of items in a list.
const (
	defaultListLimit = 100
	maxListLimit     = 1000
)

// listJobs lists jobs of the caller's team in the order of their keys, from the key after ?after=.
func (e *Entry) listJobs(ctx *fasthttp.RequestCtx, identity config.Identity) {
	limit, err := ctx.QueryArgs().GetUint("limit")
	if errors.Is(err, fasthttp.ErrNoArgValue) {
		limit, err = defaultListLimit, nil
	}
	if err != nil || limit < 1 || limit > maxListLimit {
		writeError(ctx, errkind.NewField(errkind.InvalidRequest, "limit", "a number from 1 to 1000 is required"))
		return
	}
	prefix := claim.TeamPrefix(identity.Name)
	rows, err := e.claims.ListTeam(e.work, prefix, string(ctx.QueryArgs().Peek("after")), limit)
	if err != nil {
		writeError(ctx, &errkind.Error{Kind: errkind.StoreUnavailable, Detail: "the jobs could not be listed", RetryAfter: time.Second})
		return
	}
	list := make([]jobSummary, len(rows))
	for i, row := range rows {
		list[i] = jobSummary{
			Key: strings.TrimPrefix(row.Submission, prefix), State: jobState(row), Tasks: row.Tasks, Owner: row.Owner.ID,
		}
	}
	writeJSON(ctx, fasthttp.StatusOK, list)
}

// jobState returns the state of the job of a claim.
func jobState(row *claim.Row) string {
	switch {
	case row.Phase == claim.Running:
		return stateRunning
	case row.Phase == claim.Void:
		return stateNotRun
	case row.Outcome == nil || row.Outcome.Kind == errkind.OK:
		return stateComplete
	}
	return stateFailed
}
