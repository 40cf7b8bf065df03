// Package backend runs tasks in the backend server beside the agent, over HTTP.
//
//	POST /run/{kind}     the payload as body; 200 with the result as body
//	POST /stop           asks to stop one attempt, best effort
//
// Headers identify the submission, task and attempt. Status 429 guarantees that the task was not run;
// any other status but 200 means that it ran and failed. If the connection breaks after the request
// was sent, it is unknown whether the task ran, so this package never repeats a request.
package backend

import (
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/agentcore"
)

// Headers of a request to a backend server.
const (
	HeaderSubmission = "Peridotpick-Submission"
	HeaderTask       = "Peridotpick-Task"
	HeaderAttempt    = "Peridotpick-Attempt"
	// HeaderMaxRun is the maximum run time in milliseconds, after which the agent gives the task up.
	HeaderMaxRun = "Peridotpick-Max-Run-Ms"
)

// Paths of a backend server.
const (
	PathRun  = "/run/"
	PathStop = "/stop"
)

// maxFailureDetail is the maximum size of the failure detail taken from a response body, in bytes.
const maxFailureDetail = 512

// dialTimeout bounds the time to connect to the backend server, which is on the same worker.
const dialTimeout = time.Second

// Client runs tasks in one backend server. Stop requests have their own connection, so that they do
// not wait for a free one.
type Client struct {
	address    string
	runClient  *fasthttp.HostClient
	stopClient *fasthttp.HostClient
}

// New returns a client of the backend server at address with at most the given number of connections
// for runs.
func New(address string, connections int) *Client {
	return &Client{address: address, runClient: hostClient(address, connections), stopClient: hostClient(address, 1)}
}

// hostClient returns an HTTP client that never repeats a request.
func hostClient(address string, connections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address, MaxConns: connections, MaxIdemponentCallAttempts: 1,
		MaxIdleConnDuration: time.Minute,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) },
	}
}

// Run runs one attempt and returns its completion.
func (c *Client) Run(e agentcore.Execution) agentcore.Completion {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.address + PathRun + e.Kind)
	setID(req, e.ID)
	req.Header.Set(HeaderMaxRun, strconv.FormatInt(e.MaxRun.Milliseconds(), 10))
	req.SetBodyRaw(e.Payload)
	startedAt := time.Now()
	err := c.runClient.DoTimeout(req, resp, e.MaxRun)
	runTime := time.Since(startedAt)
	if err != nil {
		return completionOfError(err, runTime)
	}
	return completionOfResponse(resp, runTime)
}

// setID sets the headers that identify an attempt.
func setID(req *fasthttp.Request, id agentcore.ExecID) {
	req.Header.Set(HeaderSubmission, id.Submission)
	req.Header.Set(HeaderTask, strconv.FormatUint(uint64(id.Index), 10))
	req.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(id.Attempt), 10))
}

// Stop asks the backend server to stop an attempt, whose end Run still returns. Errors are ignored.
func (c *Client) Stop(id agentcore.ExecID) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.address + PathStop)
	setID(req, id)
	_ = c.stopClient.DoTimeout(req, resp, dialTimeout) // best effort
}

// completionOfError returns the completion for a failed HTTP request: not run if no connection could
// be opened, else unknown.
func completionOfError(err error, runTime time.Duration) agentcore.Completion {
	completion := agentcore.Completion{Kind: errkind.FateUnknown, Payload: []byte(err.Error()), RunTime: runTime}
	var op *net.OpError
	dialFailed := eris.As(err, &op) && op.Op == "dial"
	if dialFailed || eris.Is(err, fasthttp.ErrNoFreeConns) || eris.Is(err, fasthttp.ErrDialTimeout) {
		completion.Kind = errkind.Overloaded
		completion.NotRun = true
	}
	return completion
}

// completionOfResponse returns the completion for a response of the backend server.
func completionOfResponse(resp *fasthttp.Response, runTime time.Duration) agentcore.Completion {
	body := append([]byte(nil), resp.Body()...)
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return agentcore.Completion{Kind: errkind.OK, Payload: body, RunTime: runTime}
	case fasthttp.StatusTooManyRequests:
		return agentcore.Completion{Kind: errkind.Overloaded, NotRun: true, RunTime: runTime}
	}
	return agentcore.Completion{Kind: errkind.TaskFailed, Payload: body[:min(len(body), maxFailureDetail)], RunTime: runTime}
}
