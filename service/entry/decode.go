package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"

	"peridotpick.example/common/config"
	"peridotpick.example/common/errkind"
	"peridotpick.example/common/label"
	"peridotpick.example/common/settings"
	"peridotpick.example/core/claim"
	"peridotpick.example/core/dispatch"
)

// keyPattern matches valid idempotency keys.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// jobBody is the JSON body of a request that submits a job.
type jobBody struct {
	// Deadline is the time until the answer is due, such as "5s"; the default if it is absent.
	Deadline settings.Duration `json:"deadline"`
	Tasks    []taskBody        `json:"tasks"`
}

// taskBody is one task of a job.
type taskBody struct {
	Service  string `json:"service"`
	Kind     string `json:"kind"`
	Selector string `json:"selector"`
	// Payload is any JSON value; the backend server receives its bytes unchanged.
	Payload json.RawMessage `json:"payload"`
}

// storedRequest is the request of an asynchronous job as stored in its claim, so that another entry
// can resume it.
type storedRequest struct {
	Team string `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

// limits are the limits that decoding enforces; maxBody and maxPayload are in bytes.
type limits struct {
	maxBody, maxTasks, maxPayload int
	defaultDeadline, maxDeadline  time.Duration
}

func (e *Entry) limits() limits {
	l := e.settings.Limits
	return limits{l.MaxBody, l.MaxTasks, l.MaxPayload, l.DefaultDeadline.Std(), l.MaxDeadline.Std()}
}

// decodeJob reads and validates a job. digest is the hash of the bytes of the body.
func decodeJob(body io.Reader, l limits) (job *jobBody, digest uint64, err error) {
	hasher := xxh3.New()
	limited := &io.LimitedReader{R: body, N: int64(l.maxBody) + 1}
	dec := json.NewDecoder(io.TeeReader(limited, hasher))
	dec.DisallowUnknownFields()
	job = new(jobBody)
	if err := dec.Decode(job); err != nil {
		return nil, 0, jsonError(err, limited, l)
	}
	if err := requireEndOfBody(dec, limited, l); err != nil {
		return nil, 0, err
	}
	return job, hasherSum(hasher), job.validate(l)
}

func hasherSum(h hash.Hash64) uint64 { return h.Sum64() }

// requireEndOfBody returns an error if more than white space follows the job.
func requireEndOfBody(dec *json.Decoder, limited *io.LimitedReader, l limits) error {
	_, err := dec.Token()
	switch {
	case limited.N <= 0:
		return tooLarge(l)
	case !errors.Is(err, io.EOF):
		return errkind.NewField(errkind.InvalidRequest, "body", "one JSON object is expected, more follows")
	}
	return nil
}

func tooLarge(l limits) error {
	return errkind.NewField(errkind.TooLarge, "body", fmt.Sprintf("the body has more than %d bytes", l.maxBody))
}

// jsonError converts a decoding error into one that names the offending field where it is known.
func jsonError(err error, limited *io.LimitedReader, l limits) error {
	if limited.N <= 0 {
		return tooLarge(l)
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return errkind.NewField(errkind.InvalidRequest, wrongType.Field,
			fmt.Sprintf("a JSON %s is not allowed here, expected %s (byte %d)", wrongType.Value, wrongType.Type, wrongType.Offset))
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return errkind.NewField(errkind.InvalidRequest, strings.Trim(field, `"`), "unknown field")
	}
	return errkind.NewField(errkind.InvalidRequest, "body", "not valid JSON: "+err.Error())
}

// validate checks the job against the limits and sets the default deadline.
func (j *jobBody) validate(l limits) error {
	if len(j.Tasks) == 0 {
		return errkind.NewField(errkind.InvalidRequest, "tasks", "at least 1 task is required")
	}
	if len(j.Tasks) > l.maxTasks {
		return errkind.NewField(errkind.TooLarge, "tasks", fmt.Sprintf("%d tasks, at most %d", len(j.Tasks), l.maxTasks))
	}
	for i := range j.Tasks {
		if n := len(j.Tasks[i].Payload); n > l.maxPayload {
			return errkind.NewField(errkind.TooLarge, fmt.Sprintf("tasks[%d].payload", i), fmt.Sprintf("%d bytes, at most %d", n, l.maxPayload))
		}
	}
	if j.Deadline == 0 {
		j.Deadline = settings.Duration(l.defaultDeadline)
	}
	return checkDeadline("deadline", j.Deadline.Std(), l)
}

func checkDeadline(field string, d time.Duration, l limits) error {
	if d <= 0 || d > l.maxDeadline {
		return errkind.NewField(errkind.InvalidRequest, field, fmt.Sprintf("%v is not in the range from 1ms to %v", d, l.maxDeadline))
	}
	return nil
}

// bodyStream returns the request's body as a stream.
func bodyStream(ctx *fasthttp.RequestCtx) io.Reader {
	if stream := ctx.RequestBodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(ctx.PostBody())
}

// idempotencyKey returns the idempotency key of a request; empty if there is none and none is
// required.
func idempotencyKey(ctx *fasthttp.RequestCtx, required bool) (string, error) {
	key := string(ctx.Request.Header.Peek(headerKey))
	if key == "" && !required {
		return "", nil
	}
	if !keyPattern.MatchString(key) {
		return "", errkind.NewField(errkind.InvalidRequest, headerKey,
			fmt.Sprintf("%q: 1 to 128 letters, digits, dots, colons, underscores or hyphens are required", key))
	}
	return key, nil
}

// resolveTasks resolves the tasks of a job against the configuration.
func (e *Entry) resolveTasks(conf *config.CompiledDocument, tasks []taskBody) ([]dispatch.TaskSpec, error) {
	specs := make([]dispatch.TaskSpec, len(tasks))
	for i := range tasks {
		spec, err := e.resolveTask(conf, fmt.Sprintf("tasks[%d].", i), &tasks[i])
		if err != nil {
			return nil, err
		}
		specs[i] = spec
	}
	return specs, nil
}

// resolveTask resolves one task against the configuration. path is the prefix of field names in
// errors.
func (e *Entry) resolveTask(conf *config.CompiledDocument, path string, t *taskBody) (dispatch.TaskSpec, error) {
	if !conf.HasService(t.Service) {
		return dispatch.TaskSpec{}, errkind.NewField(errkind.InvalidRequest, path+"service", fmt.Sprintf("unknown service %q", t.Service))
	}
	kind := conf.Kind(t.Service, t.Kind)
	if kind == nil {
		return dispatch.TaskSpec{}, errkind.NewField(errkind.InvalidRequest, path+"kind", fmt.Sprintf("service %q has no kind %q", t.Service, t.Kind))
	}
	selector, err := e.selectors.parse(path+"selector", kind.ServiceSelector, t.Selector)
	if err != nil {
		return dispatch.TaskSpec{}, err
	}
	return dispatch.TaskSpec{
		Service: t.Service, Kind: t.Kind, Selector: selector, Payload: t.Payload,
		Repeatable: kind.Repeatable, Class: kind.Class, MaxRun: kind.MaxRun,
	}, nil
}

// newRequest returns a team's request for resolved tasks. It is claimed in the table service only if
// it has an idempotency key.
func (e *Entry) newRequest(conf *config.CompiledDocument, team, key string, digest uint64, deadline time.Duration, specs []dispatch.TaskSpec) *dispatch.Request {
	r := &dispatch.Request{
		ID: e.nextID(), Team: team, Weight: 1, Digest: digest, Tasks: specs, Deadline: deadline,
	}
	if t := conf.Team(team); t != nil {
		r.Quota = t.Quota
		if t.Weight > 0 {
			r.Weight = t.Weight
		}
	}
	if key == "" {
		r.Submission = e.unkeyedName(r.ID)
		return r
	}
	r.Claimed = true
	r.Submission = claim.KeyedName(team, key)
	return r
}

// decodeStoredRequest returns the request stored in a claim; nil if there is none, or if it is not
// valid under the limits and the configuration in force. Its deadline is at least
// minResumeDeadline from now.
func (e *Entry) decodeStoredRequest(row *claim.Row) *dispatch.Request {
	var stored storedRequest
	conf := e.watcher.Current()
	if len(row.Request) == 0 || conf == nil || cbor.Unmarshal(row.Request, &stored) != nil {
		return nil
	}
	job, digest, err := decodeJob(bytes.NewReader(stored.Body), e.limits())
	if err != nil {
		return nil
	}
	specs, err := e.resolveTasks(conf, job.Tasks)
	if err != nil {
		return nil
	}
	_, key := claim.SplitKeyed(row.Submission)
	remaining := max(time.Until(row.Deadline), minResumeDeadline)
	r := e.newRequest(conf, stored.Team, key, digest, remaining, specs)
	r.Stored = row.Request
	return r
}

// minResumeDeadline is the least time that a resumed submission gets.
const minResumeDeadline = 5 * time.Second

// selectorCache caches parsed selectors by their text.
type selectorCache struct {
	mu     sync.RWMutex
	parsed map[string]label.Selector
}

// maxSelectors is the number of entries at which the cache is cleared.
const maxSelectors = 4096

func (c *selectorCache) init() { c.parsed = make(map[string]label.Selector) }

// parse returns the conjunction of a service's and a task's selector. field is the name of the
// offending input in errors.
func (c *selectorCache) parse(field, service, task string) (label.Selector, error) {
	text := service
	if task != "" {
		if text != "" {
			text += ","
		}
		text += task
	}
	c.mu.RLock()
	s, ok := c.parsed[text]
	c.mu.RUnlock()
	if ok {
		return s, nil
	}
	s, err := label.Parse(field, text)
	if err != nil {
		return s, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.parsed) >= maxSelectors {
		clear(c.parsed)
	}
	c.parsed[text] = s
	return s, nil
}
