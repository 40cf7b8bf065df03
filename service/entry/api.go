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
	routeJobs      = "/v1/jobs"
	routeJob       = "/v1/jobs/{key}"
	routeCall      = "/v1/calls/{service}/{kind}"
	routeConfig    = "/v1/admin/config"
	routeHistory   = "/v1/admin/config/history"
	routeVersion   = "/v1/admin/config/history/{version}"
	routeValidate  = "/v1/admin/config/validate"
	routeWorkers   = "/v1/admin/workers"
	routeInstances = "/v1/admin/instances"
	routeTeams     = "/v1/admin/teams"
	routeMetrics   = "/v1/admin/metrics"
	routeHealth    = "/healthz"
	routePage      = "/"
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

// Limits of the HTTP server that are not configurable, and identities that need no credential.
const (
	maxHeaderBytes = 16 << 10
	idleTimeout    = 75 * time.Second
	writeTimeout   = 30 * time.Second
	devIdentity    = "dev"
	// bootstrapIdentity is the name of the operator who puts the first configuration.
	bootstrapIdentity = "bootstrap"
)

// handler serves one route for an authenticated caller.
type handler func(ctx *fasthttp.RequestCtx, identity config.Identity)

// newHTTPServer returns the server of the callers' and operators' interface with all its routes.
func (e *Entry) newHTTPServer() *fasthttp.Server {
	r := router.New()
	r.RedirectTrailingSlash = false
	r.POST(routeJobs, e.requireRole(e.postJob, config.RoleCaller))
	r.GET(routeJobs, e.requireRole(e.listJobs, config.RoleCaller))
	r.GET(routeJob, e.requireRole(e.getJob, config.RoleCaller))
	r.DELETE(routeJob, e.requireRole(e.cancelJob, config.RoleCaller))
	r.POST(routeCall, e.requireRole(e.postCall, config.RoleCaller))
	r.GET(routeConfig, e.requireRole(e.getConfig, config.RoleOperator, config.RoleReadOnly))
	r.PUT(routeConfig, e.requireRole(e.putConfig, config.RoleOperator))
	r.GET(routeHistory, e.requireRole(e.getHistory, config.RoleOperator, config.RoleReadOnly))
	r.GET(routeVersion, e.requireRole(e.getVersion, config.RoleOperator, config.RoleReadOnly))
	r.POST(routeValidate, e.requireRole(e.checkConfig, config.RoleOperator, config.RoleReadOnly))
	r.GET(routeWorkers, e.requireRole(e.getWorkers, config.RoleOperator, config.RoleReadOnly))
	r.GET(routeInstances, e.requireRole(e.getInstances, config.RoleOperator, config.RoleReadOnly))
	r.GET(routeTeams, e.requireRole(e.getTeams, config.RoleOperator, config.RoleReadOnly))
	r.GET(routeMetrics, e.requireRole(e.getMetrics, config.RoleOperator, config.RoleReadOnly))
	r.GET(routePage, e.requireRole(e.getPage, config.RoleOperator, config.RoleReadOnly))
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
		Handler: e.trackOpenRequests(r.Handler), Name: "peridotpick", ReadTimeout: limits.ReadTimeout.Std(),
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, ReadBufferSize: maxHeaderBytes,
		MaxRequestBodySize: limits.MaxBody, StreamRequestBody: true, CloseOnShutdown: true,
		Concurrency: limits.MaxConnections, ErrorHandler: answerParseError, Logger: discardLogger{},
	}
}

// discardLogger discards the log lines of the HTTP library; failed requests are answered anyway.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// answerParseError answers requests that the HTTP library could not parse. The library reports
// headers that are too large only by the text of its error.
func answerParseError(ctx *fasthttp.RequestCtx, err error) {
	kind := errkind.InvalidRequest
	if strings.Contains(err.Error(), "small read buffer") {
		kind = errkind.TooLarge
	}
	writeError(ctx, errkind.NewField(kind, "request", err.Error()))
}

// trackOpenRequests counts open requests, so that draining can wait for them, and closes each
// connection after its answer while the entry drains.
func (e *Entry) trackOpenRequests(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		e.openRequests.Add(1)
		defer e.openRequests.Add(-1)
		next(ctx)
		if e.draining.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// requireRole passes on requests of identities that have one of the roles and refuses all others.
func (e *Entry) requireRole(next handler, roles ...config.Role) fasthttp.RequestHandler {
	log := e.deps.Logs.For(logs.HTTP)
	return func(ctx *fasthttp.RequestCtx) {
		identity, err := e.identify(ctx, roles)
		if err != nil {
			log.Warn().Str("path", string(ctx.Path())).Str("remote", ctx.RemoteAddr().String()).Stringer("kind", err.Kind).Msg("http: refused")
			writeError(ctx, err)
			return
		}
		next(ctx, identity)
	}
}

// identify returns the identity that sent the request if it has one of the roles.
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
	identity, ok := conf.Authenticate(token, time.Now())
	if !ok {
		return config.Identity{}, errkind.NewField(errkind.Unauthorized, fasthttp.HeaderAuthorization, "the token is unknown or expired")
	}
	for _, role := range roles {
		if identity.Role == role {
			return identity, nil
		}
	}
	return config.Identity{}, errkind.New(errkind.Forbidden, "the role "+string(identity.Role)+" does not permit this")
}

// mayBootstrap reports whether a request may validate or put the first configuration: in
// development mode, or with the token whose hash is in the settings. It may only be called while
// this entry has read no configuration.
func (e *Entry) mayBootstrap(ctx *fasthttp.RequestCtx) bool {
	path := string(ctx.Path())
	if path != routeConfig && path != routeValidate {
		return false
	}
	if e.settings.Dev {
		return true
	}
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	want := e.settings.BootstrapSHA256
	return ok && want != "" && subtle.ConstantTimeCompare([]byte(config.HashToken(token)), []byte(want)) == 1
}

// devCaller returns the identity that a request claims without proof. Development mode accepts it
// since it listens on loopback only.
func devCaller(ctx *fasthttp.RequestCtx, conf *config.CompiledDocument, roles []config.Role) (config.Identity, *errkind.Error) {
	if roles[0] != config.RoleCaller {
		return config.Identity{Role: config.RoleOperator, Name: devIdentity}, nil
	}
	team := string(ctx.Request.Header.Peek(headerTeam))
	if conf.Team(team) == nil {
		return config.Identity{}, errkind.NewField(errkind.Unauthorized, headerTeam, "unknown team: "+team)
	}
	return config.Identity{Role: config.RoleCaller, Name: team}, nil
}

// configVersion returns the configuration version in force here; 0 if none was read.
func (e *Entry) configVersion() uint64 {
	if conf := e.watcher.Current(); conf != nil {
		return conf.Version
	}
	return 0
}
