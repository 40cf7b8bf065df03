package entry

import (
	"crypto/subtle"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"peridotpick.example/common/config"
	"peridotpick.example/common/errkind"
	"peridotpick.example/common/logs"
)

// Routes of the interface, version 1. docs/openapi.json describes them.
const (
	routeJobs    = "/v1/jobs"
	routeJob     = "/v1/jobs/{key}"
	routeCall    = "/v1/calls/{service}/{kind}"
	routeConfig  = "/v1/admin/config"
	routeHistory = "/v1/admin/config/history"
	routeVersion = "/v1/admin/config/history/{version}"
	routeCheck   = "/v1/admin/config/validate"
	routeWorkers = "/v1/admin/workers"
	routeMembers = "/v1/admin/instances"
	routeTeams   = "/v1/admin/teams"
	routeMetrics = "/v1/admin/metrics"
	routeHealth  = "/healthz"
	routePage    = "/"
)

// Headers of the interface.
const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "Peridotpick-Deadline"
	headerSelector = "Peridotpick-Selector"
	// headerTeam names the team in development mode, in place of a credential.
	headerTeam = "Peridotpick-Team"
	headerRan  = "Peridotpick-Ran"
)

// Limits of the HTTP server that are not settings.
const (
	headerBytes  = 16 << 10
	idleTimeout  = 75 * time.Second
	writeTimeout = 30 * time.Second
	devIdentity  = "dev"
	// bootstrapIdentity is the author of the first configuration.
	bootstrapIdentity = "bootstrap"
)

// handler serves one route for an authenticated caller.
type handler func(ctx *fasthttp.RequestCtx, who config.Identity)

func (e *Entry) newHTTPServer() *fasthttp.Server {
	r := router.New()
	r.RedirectTrailingSlash = false
	r.POST(routeJobs, e.as(e.postJob, config.RoleCaller))
	r.GET(routeJobs, e.as(e.listJobs, config.RoleCaller))
	r.GET(routeJob, e.as(e.getJob, config.RoleCaller))
	r.DELETE(routeJob, e.as(e.cancelJob, config.RoleCaller))
	r.POST(routeCall, e.as(e.postCall, config.RoleCaller))
	r.GET(routeConfig, e.as(e.getConfig, config.RoleOperator, config.RoleReadOnly))
	r.PUT(routeConfig, e.as(e.putConfig, config.RoleOperator))
	r.GET(routeHistory, e.as(e.getHistory, config.RoleOperator, config.RoleReadOnly))
	r.GET(routeVersion, e.as(e.getVersion, config.RoleOperator, config.RoleReadOnly))
	r.POST(routeCheck, e.as(e.checkConfig, config.RoleOperator, config.RoleReadOnly))
	r.GET(routeWorkers, e.as(e.getWorkers, config.RoleOperator, config.RoleReadOnly))
	r.GET(routeMembers, e.as(e.getInstances, config.RoleOperator, config.RoleReadOnly))
	r.GET(routeTeams, e.as(e.getTeams, config.RoleOperator, config.RoleReadOnly))
	r.GET(routeMetrics, e.as(e.getMetrics, config.RoleOperator, config.RoleReadOnly))
	r.GET(routePage, e.as(e.getPage, config.RoleOperator, config.RoleReadOnly))
	r.GET(routeHealth, e.getHealth)
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		writeError(ctx, errkind.New(errkind.NotFound, "no such resource: "+string(ctx.Path())))
	}
	r.PanicHandler = func(ctx *fasthttp.RequestCtx, cause any) {
		e.log.Error().Interface("panic", cause).Msg("entry: handler failed")
		writeError(ctx, errkind.New(errkind.Internal, "internal error"))
	}
	limits := e.settings.Limits
	return &fasthttp.Server{
		Handler: e.counted(r.Handler), Name: "peridotpick", ReadTimeout: limits.ReadTimeout.Std(),
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, ReadBufferSize: headerBytes,
		MaxRequestBodySize: limits.MaxBody, StreamRequestBody: true, CloseOnShutdown: true,
		Concurrency: limits.MaxConnections, ErrorHandler: badRequest, Logger: quiet{},
	}
}

// quiet drops the HTTP library's own log lines; failures are answered and counted.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// badRequest answers what the library could not parse.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	kind := errkind.InvalidRequest
	if strings.Contains(err.Error(), "small read buffer") {
		kind = errkind.TooLarge
	}
	writeError(ctx, errkind.NewField(kind, "request", err.Error()))
}

// counted tracks open requests, for a graceful end.
func (e *Entry) counted(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		e.open.Add(1)
		defer e.open.Add(-1)
		next(ctx)
		if e.draining.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// as lets callers with one of the roles through.
func (e *Entry) as(next handler, roles ...config.Role) fasthttp.RequestHandler {
	log := e.deps.Logs.For(logs.HTTP)
	return func(ctx *fasthttp.RequestCtx) {
		who, err := e.identify(ctx, roles)
		if err != nil {
			log.Warn().Str("path", string(ctx.Path())).Str("remote", ctx.RemoteAddr().String()).Stringer("kind", err.Kind).Msg("http: refused")
			writeError(ctx, err)
			return
		}
		next(ctx, who)
	}
}

// identify returns the caller's identity if it has one of the roles.
func (e *Entry) identify(ctx *fasthttp.RequestCtx, roles []config.Role) (config.Identity, *errkind.Error) {
	conf := e.watcher.Current()
	if conf == nil && roles[0] != config.RoleCaller && e.mayBootstrap(ctx) {
		return config.Identity{Role: config.RoleOperator, Name: bootstrapIdentity}, nil
	}
	if conf == nil {
		return config.Identity{}, &errkind.Error{Kind: errkind.StoreUnavailable, Detail: "this entry has not read the configuration yet", RetryAfter: time.Second}
	}
	if e.settings.Dev {
		return devCaller(ctx, conf, roles)
	}
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return config.Identity{}, errkind.NewField(errkind.Unauthorized, fasthttp.HeaderAuthorization, "a bearer token is required")
	}
	who, ok := conf.Authenticate(token, time.Now())
	if !ok {
		return config.Identity{}, errkind.NewField(errkind.Unauthorized, fasthttp.HeaderAuthorization, "the token is unknown or expired")
	}
	for _, role := range roles {
		if who.Role == role {
			return who, nil
		}
	}
	return config.Identity{}, errkind.New(errkind.Forbidden, "the role "+string(who.Role)+" does not permit this")
}

// mayBootstrap reports whether a request may put the first configuration: in
// development mode, or with the token whose hash the settings name. It is asked
// only while no configuration was ever read.
func (e *Entry) mayBootstrap(ctx *fasthttp.RequestCtx) bool {
	path := string(ctx.Path())
	if path != routeConfig && path != routeCheck {
		return false
	}
	if e.settings.Dev {
		return true
	}
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	want := e.settings.BootstrapSHA256
	return ok && want != "" && subtle.ConstantTimeCompare([]byte(config.HashToken(token)), []byte(want)) == 1
}

// devCaller takes the word of a caller on loopback, in development mode only.
func devCaller(ctx *fasthttp.RequestCtx, conf *config.Compiled, roles []config.Role) (config.Identity, *errkind.Error) {
	if roles[0] != config.RoleCaller {
		return config.Identity{Role: config.RoleOperator, Name: devIdentity}, nil
	}
	team := string(ctx.Request.Header.Peek(headerTeam))
	if conf.Team(team) == nil {
		return config.Identity{}, errkind.NewField(errkind.Unauthorized, headerTeam, "unknown team: "+team)
	}
	return config.Identity{Role: config.RoleCaller, Name: team}, nil
}

func (e *Entry) configVersion() uint64 {
	if conf := e.watcher.Current(); conf != nil {
		return conf.Version
	}
	return 0
}
