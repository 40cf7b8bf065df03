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

// keyPattern is what an idempotency key may look like.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// jobBody is the body of a job.
type jobBody struct {
	// Deadline is the time to the answer, such as "5s".
	Deadline settings.Duration `json:"deadline"`
	Tasks    []taskBody        `json:"tasks"`
}

// taskBody is one task of a job.
type taskBody struct {
	Service  string `json:"service"`
	Kind     string `json:"kind"`
	Selector string `json:"selector"`
	// Payload is any JSON value; the backend server gets it as it stands.
	Payload json.RawMessage `json:"payload"`
}

// storedRequest is a request as kept in a claim, for another entry to resume.
type storedRequest struct {
	Team string `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

// limits are those that decoding enforces.
type limits struct {
	body, tasks, payload   int
	deadline, deadlineMost time.Duration
}

func (e *Entry) limits() limits {
	l := e.settings.Limits
	return limits{l.MaxBody, l.MaxTasks, l.MaxPayload, l.DefaultDeadline.Std(), l.MaxDeadline.Std()}
}

// decodeJob reads a job from a stream. digest identifies its bytes.
func decodeJob(body io.Reader, l limits) (job *jobBody, digest uint64, err error) {
	hasher := xxh3.New()
	limited := &io.LimitedReader{R: body, N: int64(l.body) + 1}
	dec := json.NewDecoder(io.TeeReader(limited, hasher))
	dec.DisallowUnknownFields()
	job = new(jobBody)
	if err := dec.Decode(job); err != nil {
		return nil, 0, jsonError(err, limited, l)
	}
	if err := endOfBody(dec, limited, l); err != nil {
		return nil, 0, err
	}
	return job, hasherSum(hasher), job.check(l)
}

func hasherSum(h hash.Hash64) uint64 { return h.Sum64() }

// endOfBody makes sure that nothing but white space follows.
func endOfBody(dec *json.Decoder, limited *io.LimitedReader, l limits) error {
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
	return errkind.NewField(errkind.TooLarge, "body", fmt.Sprintf("the body has more than %d bytes", l.body))
}

// jsonError names the field that could not be decoded.
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

func (j *jobBody) check(l limits) error {
	if len(j.Tasks) == 0 {
		return errkind.NewField(errkind.InvalidRequest, "tasks", "at least 1 task is required")
	}
	if len(j.Tasks) > l.tasks {
		return errkind.NewField(errkind.TooLarge, "tasks", fmt.Sprintf("%d tasks, at most %d", len(j.Tasks), l.tasks))
	}
	for i := range j.Tasks {
		if n := len(j.Tasks[i].Payload); n > l.payload {
			return errkind.NewField(errkind.TooLarge, fmt.Sprintf("tasks[%d].payload", i), fmt.Sprintf("%d bytes, at most %d", n, l.payload))
		}
	}
	if j.Deadline == 0 {
		j.Deadline = settings.Duration(l.deadline)
	}
	return checkDeadline("deadline", j.Deadline.Std(), l)
}

func checkDeadline(field string, d time.Duration, l limits) error {
	if d <= 0 || d > l.deadlineMost {
		return errkind.NewField(errkind.InvalidRequest, field, fmt.Sprintf("%v is not in the range from 1ms to %v", d, l.deadlineMost))
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

// keyOf returns the idempotency key of a request; required ones must be given.
func keyOf(ctx *fasthttp.RequestCtx, required bool) (string, error) {
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

// specs resolves the tasks of a job against the configuration.
func (e *Entry) specs(conf *config.Compiled, tasks []taskBody) ([]dispatch.TaskSpec, error) {
	specs := make([]dispatch.TaskSpec, len(tasks))
	for i := range tasks {
		spec, err := e.spec(conf, fmt.Sprintf("tasks[%d].", i), &tasks[i])
		if err != nil {
			return nil, err
		}
		specs[i] = spec
	}
	return specs, nil
}

func (e *Entry) spec(conf *config.Compiled, at string, t *taskBody) (dispatch.TaskSpec, error) {
	if !conf.HasService(t.Service) {
		return dispatch.TaskSpec{}, errkind.NewField(errkind.InvalidRequest, at+"service", fmt.Sprintf("unknown service %q", t.Service))
	}
	kind := conf.Kind(t.Service, t.Kind)
	if kind == nil {
		return dispatch.TaskSpec{}, errkind.NewField(errkind.InvalidRequest, at+"kind", fmt.Sprintf("service %q has no kind %q", t.Service, t.Kind))
	}
	selector, err := e.selectors.parse(at+"selector", kind.ServiceSelector, t.Selector)
	if err != nil {
		return dispatch.TaskSpec{}, err
	}
	return dispatch.TaskSpec{
		Service: t.Service, Kind: t.Kind, Selector: selector, Payload: t.Payload,
		Repeatable: kind.Repeatable, Class: kind.Class, MaxRun: kind.MaxRun,
	}, nil
}

// request builds the request of a team; tasks are resolved already.
func (e *Entry) request(conf *config.Compiled, team, key string, digest uint64, deadline time.Duration, specs []dispatch.TaskSpec) *dispatch.Request {
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
		r.Submission = e.unkeyed(r.ID)
		return r
	}
	r.Claimed = true
	r.Submission = claim.Keyed(team, key)
	return r
}

// storedRequest decodes the request kept in a claim; nil if there is none or
// it can no longer be run.
func (e *Entry) storedRequest(row *claim.Row) *dispatch.Request {
	var stored storedRequest
	conf := e.watcher.Current()
	if len(row.Request) == 0 || conf == nil || cbor.Unmarshal(row.Request, &stored) != nil {
		return nil
	}
	job, digest, err := decodeJob(bytes.NewReader(stored.Body), e.limits())
	if err != nil {
		return nil
	}
	specs, err := e.specs(conf, job.Tasks)
	if err != nil {
		return nil
	}
	_, key := claim.TeamOf(row.Submission)
	remaining := max(time.Until(row.Deadline), resumeDeadline)
	r := e.request(conf, stored.Team, key, digest, remaining, specs)
	r.Stored = row.Request
	return r
}

// resumeDeadline is the least time a resumed submission gets.
const resumeDeadline = 5 * time.Second

// selectorCache keeps parsed selectors by their text.
type selectorCache struct {
	mu     sync.RWMutex
	parsed map[string]label.Selector
}

// maxSelectors bounds the cache.
const maxSelectors = 4096

func (c *selectorCache) init() { c.parsed = make(map[string]label.Selector) }

// parse returns the conjunction of a service's and a task's selector.
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
