package platformstandin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"peridotpick.example/common/table"
	"peridotpick.example/service/tableclient"
)

// Server offers the fake services over the HTTP protocol of package tableclient.
type Server struct {
	table   table.Table
	objects table.ObjectStore
	workers table.Workers
	http    *fasthttp.Server
}

// NewServer returns a server of the three services. w may be nil if no client uses the power control.
func NewServer(t table.Table, o table.ObjectStore, w table.Workers) *Server {
	s := &Server{table: t, objects: o, workers: w}
	s.http = &fasthttp.Server{Handler: s.handle, Name: "platform-standin", IdleTimeout: time.Minute}
	return s
}

// Serve accepts connections until Close is called.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close stops the server after it has answered its open requests.
func (s *Server) Close() error { return s.http.Shutdown() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == tableclient.PathCommit:
		s.handleCommit(ctx)
	case path == tableclient.PathRow:
		row, err := s.table.Get(ctx, string(ctx.QueryArgs().Peek("key")))
		writeReply(ctx, row, err)
	case path == tableclient.PathRows:
		limit, _ := ctx.QueryArgs().GetUint("limit")
		rows, err := s.table.List(ctx, string(ctx.QueryArgs().Peek("prefix")), string(ctx.QueryArgs().Peek("after")), limit)
		writeReply(ctx, rows, err)
	case strings.HasPrefix(path, tableclient.PathObjects):
		s.handleObject(ctx, strings.TrimPrefix(path, tableclient.PathObjects))
	case path == tableclient.PathWorkers:
		list, err := s.workers.List(ctx)
		writeReply(ctx, list, err)
	case strings.HasPrefix(path, tableclient.PathWorkers+"/"):
		s.handlePower(ctx, strings.Split(strings.TrimPrefix(path, tableclient.PathWorkers+"/"), "/"))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) handleCommit(ctx *fasthttp.RequestCtx) {
	var ops []table.Op
	if err := json.Unmarshal(ctx.PostBody(), &ops); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	result, err := s.table.Commit(ctx, ops)
	writeReply(ctx, result, err)
}

func (s *Server) handleObject(ctx *fasthttp.RequestCtx, name string) {
	switch string(ctx.Method()) {
	case fasthttp.MethodPut:
		writeReply(ctx, nil, s.objects.Put(ctx, name, append([]byte(nil), ctx.PostBody()...)))
	case fasthttp.MethodDelete:
		writeReply(ctx, nil, s.objects.Delete(ctx, name))
	default:
		data, err := s.objects.Get(ctx, name)
		if err != nil {
			writeReply(ctx, nil, err)
			return
		}
		ctx.SetBody(data)
	}
}

// handlePower handles a request to wake a worker or to put it to sleep; parts are the worker's ID and
// "wake" or "sleep".
func (s *Server) handlePower(ctx *fasthttp.RequestCtx, parts []string) {
	if len(parts) != 2 {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	change := map[string]func(context.Context, string) error{"wake": s.workers.Wake, "sleep": s.workers.Sleep}[parts[1]]
	if change == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	writeReply(ctx, nil, change(ctx, parts[0]))
}

// writeReply answers with body as JSON, or with the status of a known error. For any other error it
// closes the connection without an answer, so that the client cannot tell whether the request took
// effect.
func writeReply(ctx *fasthttp.RequestCtx, body any, err error) {
	switch {
	case errors.Is(err, table.ErrThrottled):
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	case errors.Is(err, table.ErrNotFound):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	case errors.Is(err, table.ErrNotSent):
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case err != nil:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	data, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
