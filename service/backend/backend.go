// Package backend runs tasks in the backend server beside the agent, over HTTP.
//
//	POST /run/{kind}     the payload as body; 200 with the result as body
//	POST /stop           asks to stop one attempt, best effort
//
// The submission, task and attempt travel as headers. Status 429 promises that
// the task was not run. Any other status ended the task with a failure. A
// connection that breaks after the request went out leaves its fate unknown;
// requests are never repeated here.
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
	// HeaderMaxRun is the time in milliseconds after which the task is given up.
	HeaderMaxRun = "Peridotpick-Max-Run-Ms"
)

// Paths of a backend server.
const (
	PathRun  = "/run/"
	PathStop = "/stop"
)

// maxFailureDetail bounds the part of a failure's body that is kept, in bytes.
const maxFailureDetail = 512

// dialTimeout bounds the time to connect to a process on the same worker.
const dialTimeout = time.Second

// Client runs executions in one backend server.
type Client struct {
	address string
	http    *fasthttp.HostClient
	stop    *fasthttp.HostClient
}

// New returns a client with at most the given number of connections.
func New(address string, connections int) *Client {
	return &Client{address: address, http: hostClient(address, connections), stop: hostClient(address, 1)}
}

func hostClient(address string, connections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address, MaxConns: connections, MaxIdemponentCallAttempts: 1,
		MaxIdleConnDuration: time.Minute,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) },
	}
}

// Run runs one attempt to its end.
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
	began := time.Now()
	err := c.http.DoTimeout(req, resp, e.MaxRun)
	run := time.Since(began)
	if err != nil {
		return failed(err, run)
	}
	return completed(resp, run)
}

func setID(req *fasthttp.Request, id agentcore.ExecID) {
	req.Header.Set(HeaderSubmission, id.Submission)
	req.Header.Set(HeaderTask, strconv.FormatUint(uint64(id.Index), 10))
	req.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(id.Attempt), 10))
}

// Stop asks the backend server to stop an attempt. The attempt still ends
// through Run.
func (c *Client) Stop(id agentcore.ExecID) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.address + PathStop)
	setID(req, id)
	_ = c.stop.DoTimeout(req, resp, dialTimeout) // best effort
}

func failed(err error, run time.Duration) agentcore.Completion {
	done := agentcore.Completion{Kind: errkind.FateUnknown, Payload: []byte(err.Error()), RunTime: run}
	var op *net.OpError
	dialFailed := eris.As(err, &op) && op.Op == "dial"
	if dialFailed || eris.Is(err, fasthttp.ErrNoFreeConns) || eris.Is(err, fasthttp.ErrDialTimeout) {
		done.Kind = errkind.Overloaded
		done.NotRun = true
	}
	return done
}

func completed(resp *fasthttp.Response, run time.Duration) agentcore.Completion {
	body := append([]byte(nil), resp.Body()...)
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return agentcore.Completion{Kind: errkind.OK, Payload: body, RunTime: run}
	case fasthttp.StatusTooManyRequests:
		return agentcore.Completion{Kind: errkind.Overloaded, NotRun: true, RunTime: run}
	}
	return agentcore.Completion{Kind: errkind.TaskFailed, Payload: body[:min(len(body), maxFailureDetail)], RunTime: run}
}
