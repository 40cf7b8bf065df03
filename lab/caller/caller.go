// Package caller is a client of the HTTP interface that an entry serves to callers and operators.
package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"peridotpick.example/common/errkind"
)

// Job is the body of a request that submits a job.
type Job struct {
	// Deadline is the time from the submission to the answer, as a duration such as "30s"; empty for
	// the entry's default.
	Deadline string `json:"deadline,omitempty"`
	Tasks    []Task `json:"tasks"`
}

// Task is one task of a job.
type Task struct {
	Service  string          `json:"service"`
	Kind     string          `json:"kind"`
	Selector string          `json:"selector,omitempty"`
	Payload  json.RawMessage `json:"payload"`
}

// Client sends requests to one entry. It never repeats a request itself.
type Client struct {
	// base is the entry's URL without a path.
	base string
	// team is sent in development mode, token otherwise.
	team, token string
	http        *fasthttp.Client
}

// answerMargin is how long after a deadline the client still waits for the answer.
const answerMargin = 10 * time.Second

// defaultTimeout bounds requests without a deadline of their own.
const defaultTimeout = 40 * time.Second

// maxConnections bounds the connections to the entry.
const maxConnections = 4096

// New returns a client of an entry in development mode; address is IP:port.
func New(address, team string) *Client { return newClient("http://"+address, team, "") }

// NewWithToken returns a client with a bearer token; base is "http(s)://IP:port".
func NewWithToken(base, token string) *Client { return newClient(base, "", token) }

func newClient(base, team, token string) *Client {
	return &Client{base: base, team: team, token: token, http: &fasthttp.Client{
		Name: "peridotpick-caller", MaxConnsPerHost: maxConnections, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:       func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, time.Second) },
	}}
}

// Failure is an answer with an error status.
type Failure struct {
	Status   int    `json:"status"`
	KindName string `json:"kind"`
	Detail   string `json:"detail"`
	Ran      string `json:"ran"`
	Field    string `json:"field"`
	// RetryAfterMs is the time after which to submit again, in milliseconds; 0 if there is none.
	RetryAfterMs int64 `json:"retryAfterMs"`
}

// Error implements error.
func (f *Failure) Error() string {
	text := f.KindName + " (" + f.Ran + ")"
	if f.Field != "" {
		text += ": " + f.Field
	}
	return text + ": " + f.Detail
}

// Kind returns the error kind; Internal if its name is unknown.
func (f *Failure) Kind() errkind.Kind {
	kind, _ := errkind.Parse(f.KindName)
	return kind
}

// request is one request to an entry. A header with an empty value is not sent.
type request struct {
	method, path string
	headers      [][2]string
	body         []byte
	timeout      time.Duration
}

// Reply is the answer to a request as it was received.
type Reply struct {
	Status int
	Body   []byte
	ETag   string
}

// do sends r and returns the answer. One with a status of 400 or more is also returned as a *Failure;
// any other error means that there was no answer.
func (c *Client) do(r request) (*Reply, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.method)
	req.SetRequestURI(c.base + r.path)
	if c.team != "" {
		req.Header.Set("Peridotpick-Team", c.team)
	}
	if c.token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	}
	for _, h := range r.headers {
		if h[1] != "" {
			req.Header.Set(h[0], h[1])
		}
	}
	req.SetBodyRaw(r.body)
	if err := c.http.DoTimeout(req, resp, r.timeout); err != nil {
		return nil, eris.Wrap(err, "no answer")
	}
	reply := &Reply{
		Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...),
		ETag: string(resp.Header.Peek(fasthttp.HeaderETag)),
	}
	if reply.Status < fasthttp.StatusBadRequest {
		return reply, nil
	}
	failure := &Failure{Status: reply.Status}
	if err := json.Unmarshal(reply.Body, failure); err != nil {
		failure.Detail = string(reply.Body)
	}
	return reply, failure
}

// Call runs one task and returns the backend server's answer. key is the idempotency key and may be
// empty.
func (c *Client) Call(service, kind, key string, deadline time.Duration, payload []byte) ([]byte, error) {
	reply, err := c.do(request{
		method: fasthttp.MethodPost, path: "/v1/calls/" + service + "/" + kind, body: payload, timeout: deadline + answerMargin,
		headers: [][2]string{{"Idempotency-Key", key}, {"Peridotpick-Deadline", deadline.String()}},
	})
	if err != nil {
		return nil, err
	}
	return reply.Body, nil
}

// jobAnswer is the body of an answer about a job.
type jobAnswer struct {
	State string `json:"state"`
	Tasks []struct {
		Result      json.RawMessage `json:"result"`
		ResultBytes []byte          `json:"resultBytes"`
	} `json:"tasks"`
}

// Submit runs a job and returns the results of its tasks in order.
func (c *Client) Submit(key string, job Job) ([]json.RawMessage, error) {
	reply, err := c.postJob(key, job, "")
	if err != nil {
		return nil, err
	}
	results, done, err := decodeJob(reply.Body)
	if err == nil && !done {
		return nil, eris.New("job is still running")
	}
	return results, err
}

// SubmitAsync submits a job and returns as soon as the entry has accepted it.
func (c *Client) SubmitAsync(key string, job Job) error {
	_, err := c.postJob(key, job, "respond-async")
	return err
}

// postJob submits a job; prefer is the value of the Prefer header.
func (c *Client) postJob(key string, job Job, prefer string) (*Reply, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, eris.Wrap(err, "encode job")
	}
	timeout := defaultTimeout
	if deadline, err := time.ParseDuration(job.Deadline); err == nil {
		timeout = deadline + answerMargin
	}
	return c.do(request{
		method: fasthttp.MethodPost, path: "/v1/jobs", body: body, timeout: timeout,
		headers: [][2]string{{"Idempotency-Key", key}, {"Prefer", prefer}},
	})
}

// decodeJob returns the results of a job's tasks in order; done is false if the job still runs.
func decodeJob(body []byte) (results []json.RawMessage, done bool, err error) {
	var reply jobAnswer
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, false, eris.Wrap(err, "decode answer")
	}
	for _, t := range reply.Tasks {
		if t.Result == nil {
			t.Result = t.ResultBytes
		}
		results = append(results, t.Result)
	}
	return results, reply.State == "complete", nil
}

// Get returns the results of a job in the order of its tasks, waiting up to wait for them; done is
// false if it still runs.
func (c *Client) Get(key string, wait time.Duration) (results []json.RawMessage, done bool, err error) {
	reply, err := c.do(request{method: fasthttp.MethodGet, path: "/v1/jobs/" + key + "?wait=" + wait.String(), timeout: wait + answerMargin})
	if err != nil {
		return nil, false, err
	}
	return decodeJob(reply.Body)
}

// Cancel cancels a job. It returns false if the job has completed before.
func (c *Client) Cancel(key string) (canceled bool, err error) {
	reply, err := c.do(request{method: fasthttp.MethodDelete, path: "/v1/jobs/" + key, timeout: defaultTimeout})
	if err != nil {
		return false, err
	}
	return reply.Status == fasthttp.StatusNoContent, nil
}

// Raw sends a request of any kind and returns the answer as received. ifMatch is the value of the
// If-Match header and may be empty.
func (c *Client) Raw(method, path, ifMatch string, body []byte) (*Reply, error) {
	return c.do(request{method: method, path: path, body: body, timeout: defaultTimeout, headers: [][2]string{{fasthttp.HeaderIfMatch, ifMatch}}})
}

// RawKeyed is Raw with an idempotency key in place of the If-Match header.
func (c *Client) RawKeyed(method, path, key string, body []byte) (*Reply, error) {
	return c.do(request{method: method, path: path, body: body, timeout: defaultTimeout, headers: [][2]string{{"Idempotency-Key", key}}})
}

// String returns the base address, for messages.
func (c *Client) String() string { return fmt.Sprintf("entry at %s", c.base) }

// IsConnectionRefused reports whether err means that nothing listens at the address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// healthTimeout bounds one health check.
const healthTimeout = time.Second

// Healthy reports whether the entry's health check succeeds, that is, whether it takes requests.
func (c *Client) Healthy() bool {
	reply, err := c.do(request{method: fasthttp.MethodGet, path: "/healthz", timeout: healthTimeout})
	return err == nil && reply.Status == fasthttp.StatusOK
}
