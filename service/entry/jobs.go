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

// preferAsync is the preference (RFC 7240) of a caller that polls later.
const preferAsync = "respond-async"

// postJob accepts a job and answers with its outcome.
func (e *Entry) postJob(ctx *fasthttp.RequestCtx, who config.Identity) {
	key, err := keyOf(ctx, true)
	if err != nil {
		writeError(ctx, err)
		return
	}
	async := strings.Contains(string(ctx.Request.Header.Peek("Prefer")), preferAsync)
	r, err := e.jobRequest(ctx, who.Name, key, async)
	if err != nil {
		writeError(ctx, err)
		return
	}
	outcome := e.serve(r)
	writeJob(ctx, key, outcome)
}

func (e *Entry) jobRequest(ctx *fasthttp.RequestCtx, team, key string, async bool) (*dispatch.Request, error) {
	conf := e.watcher.Current()
	var kept *keeper
	body := bodyStream(ctx)
	if async {
		kept = &keeper{r: body}
		body = kept
	}
	job, digest, err := decodeJob(body, e.limits())
	if err != nil {
		return nil, err
	}
	specs, err := e.specs(conf, job.Tasks)
	if err != nil {
		return nil, err
	}
	r := e.request(conf, team, key, digest, job.Deadline.Std(), specs)
	if !async {
		return r, nil
	}
	r.Async = true
	r.Stored, err = cbor.Marshal(storedRequest{Team: team, Body: kept.data})
	return r, err
}

// keeper keeps what is read through it.
type keeper struct {
	r    io.Reader
	data []byte
}

// Read implements io.Reader.
func (k *keeper) Read(p []byte) (int, error) {
	n, err := k.r.Read(p)
	k.data = append(k.data, p[:n]...)
	return n, err
}

// serve submits a request if this entry may take it.
func (e *Entry) serve(r *dispatch.Request) *wire.Outcome {
	if refusal := e.stale(r); refusal != nil {
		e.refusals.add(refusal.Kind)
		return refusal
	}
	outcome := e.submit(r)
	if outcome != nil {
		e.refusals.add(outcome.Kind)
	}
	return outcome
}

// stale refuses what must not run under a configuration that may be outdated.
// Repeatable calls go on.
func (e *Entry) stale(r *dispatch.Request) *wire.Outcome {
	if e.watcher.Fresh(time.Now()) {
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

// postCall runs one task and answers with its result.
func (e *Entry) postCall(ctx *fasthttp.RequestCtx, who config.Identity) {
	r, err := e.callRequest(ctx, who.Name)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeCall(ctx, e.serve(r))
}

func (e *Entry) callRequest(ctx *fasthttp.RequestCtx, team string) (*dispatch.Request, error) {
	key, err := keyOf(ctx, false)
	if err != nil {
		return nil, err
	}
	l := e.limits()
	deadline := l.deadline
	if text := string(ctx.Request.Header.Peek(headerDeadline)); text != "" {
		if deadline, err = time.ParseDuration(text); err != nil {
			return nil, errkind.NewField(errkind.InvalidRequest, headerDeadline, text+`: a duration such as "2s" is required`)
		}
	}
	if err := checkDeadline(headerDeadline, deadline, l); err != nil {
		return nil, err
	}
	payload, err := io.ReadAll(io.LimitReader(bodyStream(ctx), int64(l.payload)+1))
	if err != nil {
		return nil, errkind.NewField(errkind.InvalidRequest, "body", err.Error())
	}
	if len(payload) > l.payload {
		return nil, errkind.NewField(errkind.TooLarge, "body", "the payload exceeds maxPayload")
	}
	task := taskBody{
		Service: ctx.UserValue("service").(string), Kind: ctx.UserValue("kind").(string),
		Selector: string(ctx.Request.Header.Peek(headerSelector)), Payload: payload,
	}
	conf := e.watcher.Current()
	spec, err := e.spec(conf, "", &task)
	if err != nil {
		return nil, err
	}
	digest := xxh3.HashString(task.Service + "\x00" + task.Kind + "\x00" + task.Selector + "\x00" + string(payload))
	return e.request(conf, team, key, digest, deadline, []dispatch.TaskSpec{spec}), nil
}

// getJob answers with the outcome of a job, waiting for it up to ?wait=.
func (e *Entry) getJob(ctx *fasthttp.RequestCtx, who config.Identity) {
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
	outcome, err := e.findJob(claim.Keyed(who.Name, key), wait, false)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJob(ctx, key, outcome)
}

// cancelJob cancels a job and answers with its outcome, which may still be its
// completion.
func (e *Entry) cancelJob(ctx *fasthttp.RequestCtx, who config.Identity) {
	key := ctx.UserValue("key").(string)
	outcome, err := e.findJob(claim.Keyed(who.Name, key), maxPeerWait, true)
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

// findJob returns the outcome of a submission, wherever it is; nil if it runs.
func (e *Entry) findJob(submission string, wait time.Duration, cancel bool) (*wire.Outcome, error) {
	if outcome, ok := e.watch(submission, wait, cancel); ok {
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
	_, reply := e.askPeer(dispatch.PeerAwait{Submission: submission, Owner: row.Owner, Cancel: cancel})
	if reply == nil {
		return nil, nil // its owner is out of reach: a resubmission or the sweep takes it over
	}
	return reply.Outcome, nil
}

// jobSummary is one line of a team's list of jobs.
type jobSummary struct {
	Key   string `json:"key"`
	State string `json:"state"`
	Tasks uint32 `json:"tasks"`
	Owner string `json:"owner"`
}

// Bounds of a list.
const (
	defaultListLimit = 100
	maxListLimit     = 1000
)

// listJobs lists the jobs of the caller's team, by key.
func (e *Entry) listJobs(ctx *fasthttp.RequestCtx, who config.Identity) {
	limit, err := ctx.QueryArgs().GetUint("limit")
	if errors.Is(err, fasthttp.ErrNoArgValue) {
		limit, err = defaultListLimit, nil
	}
	if err != nil || limit < 1 || limit > maxListLimit {
		writeError(ctx, errkind.NewField(errkind.InvalidRequest, "limit", "a number from 1 to 1000 is required"))
		return
	}
	prefix := claim.TeamPrefix(who.Name)
	rows, err := e.claims.ListTeam(e.work, prefix, string(ctx.QueryArgs().Peek("after")), limit)
	if err != nil {
		writeError(ctx, &errkind.Error{Kind: errkind.StoreUnavailable, Detail: "the jobs could not be listed", RetryAfter: time.Second})
		return
	}
	list := make([]jobSummary, len(rows))
	for i, row := range rows {
		list[i] = jobSummary{
			Key: strings.TrimPrefix(row.Submission, prefix), State: stateOf(row), Tasks: row.Tasks, Owner: row.Owner.ID,
		}
	}
	writeJSON(ctx, fasthttp.StatusOK, list)
}

func stateOf(row *claim.Row) string {
	switch {
	case row.Phase == claim.Running:
		return stateRunning
	case row.Phase == claim.Void:
		return stateVoid
	case row.Outcome == nil || row.Outcome.Kind == errkind.OK:
		return stateComplete
	}
	return stateFailed
}
