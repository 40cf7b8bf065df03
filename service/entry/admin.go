package entry

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"peridotpick.example/common/config"
	"peridotpick.example/common/errkind"
	"peridotpick.example/common/settings"
	"peridotpick.example/core/dispatch"
	"peridotpick.example/core/rank"
	"peridotpick.example/service/confwatch"
)

// getConfig answers with the version in force in the table service.
func (e *Entry) getConfig(ctx *fasthttp.RequestCtx, _ config.Identity) {
	version, _, err := e.confs.Current(e.work)
	if err != nil {
		writeError(ctx, unavailable("the configuration could not be read"))
		return
	}
	if version == nil {
		writeError(ctx, errkind.New(errkind.NotFound, "no configuration was ever put"))
		return
	}
	writeVersion(ctx, version)
}

func unavailable(detail string) error {
	return &errkind.Error{Kind: errkind.StoreUnavailable, Detail: detail, RetryAfter: time.Second}
}

func writeVersion(ctx *fasthttp.RequestCtx, v *config.Version) {
	ctx.Response.Header.Set(fasthttp.HeaderETag, etag(v.Number))
	writeJSON(ctx, fasthttp.StatusOK, v)
}

// etag is the entity tag of a version (RFC 9110).
func etag(number uint64) string { return `"` + strconv.FormatUint(number, 10) + `"` }

// baseOf returns the version that a change replaces, from If-Match.
func baseOf(ctx *fasthttp.RequestCtx) (uint64, error) {
	text := string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch))
	number, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return 0, errkind.NewField(errkind.InvalidRequest, fasthttp.HeaderIfMatch, `the version to replace is required, such as "7"; "0" if there is none`)
	}
	return number, nil
}

// configConflict is the answer to an operator who lost a race.
type configConflict struct {
	problem
	// Winner is the version in force.
	Winner *config.Version `json:"winner"`
}

// putConfig replaces the configuration as a whole.
func (e *Entry) putConfig(ctx *fasthttp.RequestCtx, who config.Identity) {
	base, err := baseOf(ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	document, err := readDocument(ctx, e.settings.Limits.MaxBody)
	if err != nil {
		writeError(ctx, err)
		return
	}
	version, err := e.confs.Put(e.work, base, who.Name, time.Now().UTC(), document)
	var lost *confwatch.Conflict
	switch {
	case errors.As(err, &lost):
		row := errkind.Of(errkind.ConfigConflict)
		ctx.Response.Header.Set(fasthttp.HeaderETag, etag(lost.Winner.Number))
		writeJSON(ctx, row.Status, configConflict{
			problem: problem{Type: typePrefix + row.Name, Title: row.Title, Status: row.Status, Detail: lost.Error(), Kind: row.Name, Ran: row.Ran.String()},
			Winner:  lost.Winner,
		})
	case err != nil:
		writeError(ctx, err)
	default:
		e.log.Info().Uint64("version", version.Number).Str("author", who.Name).Msg("entry: configuration accepted")
		writeVersion(ctx, version)
	}
}

// readDocument returns a configuration that passed all checks.
func readDocument(ctx *fasthttp.RequestCtx, most int) ([]byte, error) {
	body := append([]byte(nil), ctx.PostBody()...)
	if len(body) > most {
		return nil, errkind.NewField(errkind.TooLarge, "body", "the document exceeds maxBody")
	}
	_, err := config.Parse(body)
	var mistakes settings.Problems
	if errors.As(err, &mistakes) {
		return nil, mistakes.Kind()
	}
	if err != nil {
		return nil, errkind.New(errkind.InvalidRequest, err.Error())
	}
	return body, nil
}

// checkConfig checks a document without putting it in force.
func (e *Entry) checkConfig(ctx *fasthttp.RequestCtx, _ config.Identity) {
	if _, err := readDocument(ctx, e.settings.Limits.MaxBody); err != nil {
		writeError(ctx, err)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// getHistory lists versions after ?after=, oldest first: who changed what.
func (e *Entry) getHistory(ctx *fasthttp.RequestCtx, _ config.Identity) {
	after := ctx.QueryArgs().GetUintOrZero("after")
	versions, err := e.confs.History(e.work, uint64(after), defaultListLimit)
	if err != nil {
		writeError(ctx, unavailable("the history could not be read"))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, versions)
}

func (e *Entry) getVersion(ctx *fasthttp.RequestCtx, _ config.Identity) {
	number, err := strconv.ParseUint(ctx.UserValue("version").(string), 10, 64)
	if err != nil {
		writeError(ctx, errkind.NewField(errkind.InvalidRequest, "version", "a number is required"))
		return
	}
	version, err := e.confs.Version(e.work, number)
	switch {
	case err != nil:
		writeError(ctx, unavailable("the version could not be read"))
	case version == nil:
		writeError(ctx, errkind.New(errkind.NotFound, "no such version"))
	default:
		writeVersion(ctx, version)
	}
}

// WorkerView is a backend server and its worker as this entry sees them.
type WorkerView struct {
	Agent      string  `json:"agent"`
	Worker     string  `json:"worker"`
	Service    string  `json:"service"`
	DataCentre string  `json:"dataCentre"`
	Rack       string  `json:"rack"`
	Slots      int     `json:"slots"`
	Load       float64 `json:"load"`
	// Slowness is the learned ratio of run times to those elsewhere.
	Slowness float64 `json:"slowness"`
	// State is up, down, leaving, ejected or asleep.
	State string `json:"state"`
}

// WorkersReply is the answer to a question for the workers.
type WorkersReply struct {
	Backends []WorkerView `json:"backends"`
	// Asleep are the names of sleeping or waking workers.
	Asleep []string `json:"asleep"`
}

func (e *Entry) getWorkers(ctx *fasthttp.RequestCtx, _ config.Identity) {
	writeJSON(ctx, fasthttp.StatusOK, e.workersView())
}

func (e *Entry) workersView() WorkersReply {
	reply := WorkersReply{Backends: []WorkerView{}, Asleep: []string{}}
	got := make(chan []WorkerView, 1)
	e.post(func(core *dispatch.Core, now time.Time) { got <- agentViews(core.Pool(), now) })
	select {
	case reply.Backends = <-got:
	case <-e.work.Done():
	}
	for _, w := range *e.sleeping.Load() {
		reply.Asleep = append(reply.Asleep, w.ID)
	}
	return reply
}

func agentViews(pool *rank.Pool, now time.Time) []WorkerView {
	views := make([]WorkerView, 0, len(pool.Agents()))
	for _, a := range pool.Agents() {
		views = append(views, WorkerView{
			Agent: a.ID.Agent, Worker: a.Worker, Service: a.Service, DataCentre: a.DataCentre, Rack: a.Rack,
			Slots: a.Slots, Load: pool.Load(now, a), Slowness: a.Slowness(), State: agentState(a),
		})
	}
	return views
}

func agentState(a *rank.Agent) string {
	switch {
	case a.Down:
		return "down"
	case a.Leaving:
		return "leaving"
	case a.Ejected():
		return "ejected"
	}
	return "up"
}

// InstanceView is an entry and the configuration version in force there.
type InstanceView struct {
	Entry   string `json:"entry"`
	Address string `json:"address"`
	Config  uint64 `json:"config"`
	// Fresh is false on this entry if its version could not be confirmed lately.
	Fresh bool `json:"fresh"`
}

func (e *Entry) getInstances(ctx *fasthttp.RequestCtx, _ config.Identity) {
	writeJSON(ctx, fasthttp.StatusOK, e.instances())
}

func (e *Entry) instances() []InstanceView {
	versions := *e.versions.Load()
	var list []InstanceView
	for _, entry := range *e.live.Load() {
		view := InstanceView{Entry: entry.ID, Address: entry.Address, Config: versions[entry.ID], Fresh: true}
		if entry.ID == e.self.ID {
			view.Config = e.configVersion()
			view.Fresh = e.watcher.Fresh(time.Now())
		}
		list = append(list, view)
	}
	return list
}

// TeamView is a team's quota and its use at this entry.
type TeamView struct {
	Team   string  `json:"team"`
	Weight float64 `json:"weight"`
	Quota  int     `json:"quota"`
	Open   int     `json:"open"`
}

func (e *Entry) getTeams(ctx *fasthttp.RequestCtx, _ config.Identity) {
	writeJSON(ctx, fasthttp.StatusOK, e.teams())
}

func (e *Entry) teams() []TeamView {
	open := make(chan map[string]int, 1)
	e.post(func(core *dispatch.Core, _ time.Time) { open <- core.OpenByTeam() })
	var counts map[string]int
	select {
	case counts = <-open:
	case <-e.work.Done():
	}
	var list []TeamView
	for _, team := range e.watcher.Current().Document.Teams {
		list = append(list, TeamView{Team: team.Name, Weight: max(team.Weight, 0), Quota: team.Quota, Open: counts[team.Name]})
	}
	return list
}

func (e *Entry) getMetrics(ctx *fasthttp.RequestCtx, _ config.Identity) {
	e.publishClaims()
	data, err := e.deps.Metrics.(*metrics.StandardRegistry).MarshalJSON()
	if err != nil {
		writeError(ctx, err)
		return
	}
	ctx.SetContentType(contentJSON)
	ctx.SetBody(data)
}

// getHealth tells the balancer whether to send callers here.
func (e *Entry) getHealth(ctx *fasthttp.RequestCtx) {
	status, state := fasthttp.StatusOK, "ok"
	switch {
	case e.draining.Load():
		status, state = fasthttp.StatusServiceUnavailable, "draining"
	case e.watcher.Current() == nil:
		status, state = fasthttp.StatusServiceUnavailable, "no configuration"
	case !e.watcher.Fresh(time.Now()):
		state = "configuration not confirmed: repeatable calls only"
	}
	writeJSON(ctx, status, map[string]string{"state": state})
}

// Linked returns the number of agents with an open link.
func (e *Entry) Linked() int { return e.links.count() }

// Configured reports whether a configuration is in force here.
func (e *Entry) Configured() bool { return e.watcher.Current() != nil }

// ConfigVersion returns the configuration version in force here; 0 if none.
func (e *Entry) ConfigVersion() uint64 { return e.configVersion() }

// Usable returns the number of agents that are up and take new work.
func (e *Entry) Usable() int {
	count := make(chan int, 1)
	e.post(func(core *dispatch.Core, _ time.Time) {
		n := 0
		for _, a := range core.Pool().Agents() {
			if !a.Down && !a.Leaving {
				n++
			}
		}
		count <- n
	})
	select {
	case n := <-count:
		return n
	case <-e.work.Done():
		return 0
	}
}
