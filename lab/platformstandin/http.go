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

// Server serves the stand-ins over the HTTP protocol that package client speaks.
type Server struct {
	table   table.Table
	objects table.Objects
	workers table.Workers
	http    *fasthttp.Server
}

// NewServer returns a server of the three services; workers may be nil.
func NewServer(t table.Table, o table.Objects, w table.Workers) *Server {
	s := &Server{table: t, objects: o, workers: w}
	s.http = &fasthttp.Server{Handler: s.handle, Name: "platform-standin", IdleTimeout: time.Minute}
	return s
}

// Serve accepts connections until Close.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close stops the server.
func (s *Server) Close() error { return s.http.Shutdown() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == tableclient.PathCommit:
		s.commit(ctx)
	case path == tableclient.PathRow:
		row, err := s.table.Get(ctx, string(ctx.QueryArgs().Peek("key")))
		reply(ctx, row, err)
	case path == tableclient.PathRows:
		limit, _ := ctx.QueryArgs().GetUint("limit")
		rows, err := s.table.List(ctx, string(ctx.QueryArgs().Peek("prefix")), string(ctx.QueryArgs().Peek("after")), limit)
		reply(ctx, rows, err)
	case strings.HasPrefix(path, tableclient.PathObjects):
		s.object(ctx, strings.TrimPrefix(path, tableclient.PathObjects))
	case path == tableclient.PathWorkers:
		list, err := s.workers.List(ctx)
		reply(ctx, list, err)
	case strings.HasPrefix(path, tableclient.PathWorkers+"/"):
		s.power(ctx, strings.Split(strings.TrimPrefix(path, tableclient.PathWorkers+"/"), "/"))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) commit(ctx *fasthttp.RequestCtx) {
	var ops []table.Op
	if err := json.Unmarshal(ctx.PostBody(), &ops); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	result, err := s.table.Commit(ctx, ops)
	reply(ctx, result, err)
}

func (s *Server) object(ctx *fasthttp.RequestCtx, name string) {
	switch string(ctx.Method()) {
	case fasthttp.MethodPut:
		reply(ctx, nil, s.objects.Put(ctx, name, append([]byte(nil), ctx.PostBody()...)))
	case fasthttp.MethodDelete:
		reply(ctx, nil, s.objects.Delete(ctx, name))
	default:
		data, err := s.objects.Get(ctx, name)
		if err != nil {
			reply(ctx, nil, err)
			return
		}
		ctx.SetBody(data)
	}
}

func (s *Server) power(ctx *fasthttp.RequestCtx, parts []string) {
	if len(parts) != 2 {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	change := map[string]func(context.Context, string) error{"wake": s.workers.Wake, "sleep": s.workers.Sleep}[parts[1]]
	if change == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	reply(ctx, nil, change(ctx, parts[0]))
}

// reply writes body as JSON, or closes the connection without an answer if the
// fate of the request is to be unknown to the client.
func reply(ctx *fasthttp.RequestCtx, body any, err error) {
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
