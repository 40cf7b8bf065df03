// Package caller is a client of the callers' interface.
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

// Job is the body of a job.
type Job struct {
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

// Client talks to one entry.
type Client struct {
	base string
	// team is sent in development mode, token otherwise.
	team, token string
	http        *fasthttp.Client
}

// answerMargin is the time beyond a deadline in which the answer must arrive.
const answerMargin = 10 * time.Second

// defaultWait bounds requests without a deadline of their own.
const defaultWait = 40 * time.Second

// maxConns bounds the connections to the entry.
const maxConns = 4096

// New returns a client of an entry in development mode.
func New(address, team string) *Client { return newClient("http://"+address, team, "") }

// NewWithToken returns a client with a bearer token; base is "http(s)://IP:port".
func NewWithToken(base, token string) *Client { return newClient(base, "", token) }

func newClient(base, team, token string) *Client {
	return &Client{base: base, team: team, token: token, http: &fasthttp.Client{
		Name: "peridotpick-caller", MaxConnsPerHost: maxConns, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:       func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, time.Second) },
	}}
}

// Failure is an answer that is not a success.
type Failure struct {
	Status  int    `json:"status"`
	KindRaw string `json:"kind"`
	Detail  string `json:"detail"`
	Ran     string `json:"ran"`
	Field   string `json:"field"`
	// RetryAfterMs is when to come back, in milliseconds.
	RetryAfterMs int64 `json:"retryAfterMs"`
}

// Error implements error.
func (f *Failure) Error() string {
	text := f.KindRaw + " (" + f.Ran + ")"
	if f.Field != "" {
		text += ": " + f.Field
	}
	return text + ": " + f.Detail
}

// Kind returns the error kind.
func (f *Failure) Kind() errkind.Kind {
	kind, _ := errkind.Parse(f.KindRaw)
	return kind
}

// request is one exchange with an entry.
type request struct {
	method, path string
	headers      [][2]string
	body         []byte
	wait         time.Duration
}

// Reply is the raw answer to a request.
type Reply struct {
	Status int
	Body   []byte
	ETag   string
}

// do sends r. Any answer that is not a success comes back as a *Failure.
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
	if err := c.http.DoTimeout(req, resp, r.wait); err != nil {
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

// Call runs one task and returns the backend server's answer. key may be empty.
func (c *Client) Call(service, kind, key string, deadline time.Duration, payload []byte) ([]byte, error) {
	reply, err := c.do(request{
		method: fasthttp.MethodPost, path: "/v1/calls/" + service + "/" + kind, body: payload, wait: deadline + answerMargin,
		headers: [][2]string{{"Idempotency-Key", key}, {"Peridotpick-Deadline", deadline.String()}},
	})
	if err != nil {
		return nil, err
	}
	return reply.Body, nil
}

// jobReply is the answer to a job.
type jobReply struct {
	State string `json:"state"`
	Tasks []struct {
		Result      json.RawMessage `json:"result"`
		ResultBytes []byte          `json:"resultBytes"`
	} `json:"tasks"`
}

// Submit runs a job and returns the results of its tasks in order.
func (c *Client) Submit(key string, job Job) ([]json.RawMessage, error) {
	reply, err := c.post(key, job, "")
	if err != nil {
		return nil, err
	}
	results, done, err := decodeJob(reply.Body)
	if err == nil && !done {
		return nil, eris.New("the job still runs")
	}
	return results, err
}

// SubmitAsync submits a job and returns as soon as it is accepted.
func (c *Client) SubmitAsync(key string, job Job) error {
	_, err := c.post(key, job, "respond-async")
	return err
}

func (c *Client) post(key string, job Job, prefer string) (*Reply, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, eris.Wrap(err, "encode job")
	}
	wait := defaultWait
	if deadline, err := time.ParseDuration(job.Deadline); err == nil {
		wait = deadline + answerMargin
	}
	return c.do(request{
		method: fasthttp.MethodPost, path: "/v1/jobs", body: body, wait: wait,
		headers: [][2]string{{"Idempotency-Key", key}, {"Prefer", prefer}},
	})
}

func decodeJob(body []byte) (results []json.RawMessage, done bool, err error) {
	var reply jobReply
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

// Get returns the results of a job, waiting up to wait; done is false if it still runs.
func (c *Client) Get(key string, wait time.Duration) (results []json.RawMessage, done bool, err error) {
	reply, err := c.do(request{method: fasthttp.MethodGet, path: "/v1/jobs/" + key + "?wait=" + wait.String(), wait: wait + answerMargin})
	if err != nil {
		return nil, false, err
	}
	return decodeJob(reply.Body)
}

// Cancel cancels a job. It returns false if the job had completed.
func (c *Client) Cancel(key string) (canceled bool, err error) {
	reply, err := c.do(request{method: fasthttp.MethodDelete, path: "/v1/jobs/" + key, wait: defaultWait})
	if err != nil {
		return false, err
	}
	return reply.Status == fasthttp.StatusNoContent, nil
}

// Raw sends a request and returns the answer as it is: for operators' commands.
func (c *Client) Raw(method, path, ifMatch string, body []byte) (*Reply, error) {
	return c.do(request{method: method, path: path, body: body, wait: defaultWait, headers: [][2]string{{fasthttp.HeaderIfMatch, ifMatch}}})
}

// RawKeyed is Raw with an idempotency key.
func (c *Client) RawKeyed(method, path, key string, body []byte) (*Reply, error) {
	return c.do(request{method: method, path: path, body: body, wait: defaultWait, headers: [][2]string{{"Idempotency-Key", key}}})
}

// String returns the base address, for messages.
func (c *Client) String() string { return fmt.Sprintf("entry at %s", c.base) }

// Refused reports whether err means that nothing listens at the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// healthWait bounds one health check.
const healthWait = time.Second

// Healthy reports whether the entry asks for callers.
func (c *Client) Healthy() bool {
	reply, err := c.do(request{method: fasthttp.MethodGet, path: "/healthz", wait: healthWait})
	return err == nil && reply.Status == fasthttp.StatusOK
}
