// Package tableclient is the client of the platform's HTTP interface with JSON bodies: table service,
// object store and power control. Conditional writes carry the expected version of each row.
//
// A request that could not be sent, or that was answered with a status that rules out any effect,
// fails with table.ErrNotSent, table.ErrThrottled or table.ErrNotFound. After any other error a
// commit may have taken effect; the client never repeats a request.
package tableclient

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"peridotpick.example/common/table"
)

// Paths of the platform's interface.
const (
	PathCommit  = "/v1/commit"
	PathRow     = "/v1/row"
	PathRows    = "/v1/rows"
	PathObjects = "/v1/objects/"
	PathWorkers = "/v1/workers"
)

// Client is a client of the platform. It implements table.Table.
type Client struct {
	baseURL string
	http    *fasthttp.Client
	timeout time.Duration
}

var _ table.Table = (*Client)(nil)

// maxConns is the maximum number of connections to the platform.
const maxConns = 64

// New returns a client of the platform at an IP:port. timeout bounds each request.
func New(address string, timeout time.Duration) *Client {
	return &Client{
		baseURL: "http://" + address,
		timeout: timeout,
		http: &fasthttp.Client{
			Name: "peridotpick", MaxConnsPerHost: maxConns, MaxIdleConnDuration: 30 * time.Second,
			MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry,
			Dial: func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, timeout) },
		},
	}
}

// neverRetry keeps the HTTP library from repeating requests, since a commit whose answer was lost may
// have taken effect.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// Objects returns the object store of the same platform.
func (c *Client) Objects() table.ObjectStore { return objects{c} }

// Workers returns the power control of the same platform.
func (c *Client) Workers() table.Workers { return workers{c} }

// Commit implements table.Table.
func (c *Client) Commit(ctx context.Context, ops []table.Op) (table.CommitResult, error) {
	var result table.CommitResult
	body, err := json.Marshal(ops)
	if err != nil {
		return result, eris.Wrap(err, "encode commit")
	}
	_, err = c.send(ctx, fasthttp.MethodPost, PathCommit, body, &result)
	return result, err
}

// Get implements table.Table.
func (c *Client) Get(ctx context.Context, key string) (*table.Row, error) {
	var row *table.Row
	_, err := c.send(ctx, fasthttp.MethodGet, PathRow+"?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

// List implements table.Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	var rows []table.Row
	query := "?prefix=" + url.QueryEscape(prefix) + "&after=" + url.QueryEscape(after) + "&limit=" + strconv.Itoa(limit)
	_, err := c.send(ctx, fasthttp.MethodGet, PathRows+query, nil, &rows)
	return rows, err
}

// send sends one request. It decodes the JSON answer into out; if out is nil, it returns the body.
func (c *Client) send(ctx context.Context, method, path string, body []byte, out any) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, table.ErrNotSent
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.baseURL + path)
	req.SetBody(body)
	deadline := time.Now().Add(c.timeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, classifySendError(err)
	}
	if err := statusError(resp.StatusCode()); err != nil {
		return nil, err
	}
	if out != nil {
		return nil, eris.Wrap(json.Unmarshal(resp.Body(), out), "decode answer of the platform")
	}
	return append([]byte(nil), resp.Body()...), nil
}

// classifySendError returns ErrNotSent for failures to connect, after which the request certainly had
// no effect, and wraps all other errors.
func classifySendError(err error) error {
	var op *net.OpError
	dialFailed := eris.As(err, &op) && op.Op == "dial"
	if dialFailed || eris.Is(err, fasthttp.ErrNoFreeConns) || eris.Is(err, fasthttp.ErrDialTimeout) {
		return table.ErrNotSent
	}
	return eris.Wrap(err, "platform request")
}

// statusError returns the error for an HTTP status; nil for 200.
func statusError(status int) error {
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusTooManyRequests:
		return table.ErrThrottled
	case fasthttp.StatusNotFound:
		return table.ErrNotFound
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusBadRequest:
		return table.ErrNotSent
	}
	return eris.Errorf("platform answered with status %d", status)
}

// objects implements table.ObjectStore.
type objects struct{ client *Client }

func (o objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.client.send(ctx, fasthttp.MethodPut, PathObjects+url.PathEscape(name), data, nil)
	return err
}

func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.client.send(ctx, fasthttp.MethodGet, PathObjects+url.PathEscape(name), nil, nil)
}

func (o objects) Delete(ctx context.Context, name string) error {
	_, err := o.client.send(ctx, fasthttp.MethodDelete, PathObjects+url.PathEscape(name), nil, nil)
	return err
}

// workers implements table.Workers.
type workers struct{ client *Client }

func (w workers) List(ctx context.Context) ([]table.Worker, error) {
	var list []table.Worker
	_, err := w.client.send(ctx, fasthttp.MethodGet, PathWorkers, nil, &list)
	return list, err
}

func (w workers) Wake(ctx context.Context, id string) error {
	_, err := w.client.send(ctx, fasthttp.MethodPost, PathWorkers+"/"+url.PathEscape(id)+"/wake", nil, nil)
	return err
}

func (w workers) Sleep(ctx context.Context, id string) error {
	_, err := w.client.send(ctx, fasthttp.MethodPost, PathWorkers+"/"+url.PathEscape(id)+"/sleep", nil, nil)
	return err
}
