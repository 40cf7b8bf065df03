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

// getConfig answers with the configuration version in force according to the table service.
func (e *Entry) getConfig(ctx *fasthttp.RequestCtx, _ config.Identity) {
	version, _, err := e.configStore.Current(e.work)
	if err != nil {
		writeError(ctx, storeUnavailable("the configuration could not be read"))
		return
	}
	if version == nil {
		writeError(ctx, errkind.New(errkind.NotFound, "no configuration was ever put"))
		return
	}
	writeVersion(ctx, version)
}

// storeUnavailable returns a store-unavailable error that asks the caller to retry after a second.
func storeUnavailable(detail string) error {
	return &errkind.Error{Kind: errkind.StoreUnavailable, Detail: detail, RetryAfter: time.Second}
}

// writeVersion answers with a configuration version and its entity tag.
func writeVersion(ctx *fasthttp.RequestCtx, v *config.Version) {
	ctx.Response.Header.Set(fasthttp.HeaderETag, etag(v.Number))
	writeJSON(ctx, fasthttp.StatusOK, v)
}

// etag returns the entity tag of a configuration version (RFC 9110).
func etag(number uint64) string { return `"` + strconv.FormatUint(number, 10) + `"` }

// baseVersion returns the number of the version that a change replaces, from the If-Match header;
// 0 means that no configuration exists yet.
func baseVersion(ctx *fasthttp.RequestCtx) (uint64, error) {
	text := string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch))
	number, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return 0, errkind.NewField(errkind.InvalidRequest, fasthttp.HeaderIfMatch, `the version to replace is required, such as "7"; "0" if there is none`)
	}
	return number, nil
}

// configConflict is the answer to an operator whose change was based on a version that is no longer
// in force.
type configConflict struct {
	problem
	// Winner is the version in force.
	Winner *config.Version `json:"winner"`
}

// putConfig replaces the whole configuration. If another change was accepted first, it answers
// with the config-conflict error and the version in force.
func (e *Entry) putConfig(ctx *fasthttp.RequestCtx, identity config.Identity) {
	base, err := baseVersion(ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	document, err := readDocument(ctx, e.settings.Limits.MaxBody)
	if err != nil {
		writeError(ctx, err)
		return
	}
	version, err := e.configStore.Put(e.work, base, identity.Name, time.Now().UTC(), document)
	var conflict *confwatch.Conflict
	switch {
	case errors.As(err, &conflict):
		info := errkind.Of(errkind.ConfigConflict)
		ctx.Response.Header.Set(fasthttp.HeaderETag, etag(conflict.Winner.Number))
		writeJSON(ctx, info.Status, configConflict{
			problem: problem{Type: typePrefix + info.Name, Title: info.Title, Status: info.Status, Detail: conflict.Error(), Kind: info.Name, Ran: info.Ran.String()},
			Winner:  conflict.Winner,
		})
	case err != nil:
		writeError(ctx, err)
	default:
		e.log.Info().Uint64("version", version.Number).Str("author", identity.Name).Msg("entry: configuration accepted")
		writeVersion(ctx, version)
	}
}

// readDocument returns the configuration document of the request after it has passed all checks.
// maxBytes bounds its size.
func readDocument(ctx *fasthttp.RequestCtx, maxBytes int) ([]byte, error) {
	body := append([]byte(nil), ctx.PostBody()...)
	if len(body) > maxBytes {
		return nil, errkind.NewField(errkind.TooLarge, "body", "the document exceeds maxBody")
	}
	_, err := config.Parse(body)
	var problems settings.Problems
	if errors.As(err, &problems) {
		return nil, problems.AsInvalidRequest()
	}
	if err != nil {
		return nil, errkind.New(errkind.InvalidRequest, err.Error())
	}
	return body, nil
}

// checkConfig validates a configuration document without putting it in force.
func (e *Entry) checkConfig(ctx *fasthttp.RequestCtx, _ config.Identity) {
	if _, err := readDocument(ctx, e.settings.Limits.MaxBody); err != nil {
		writeError(ctx, err)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// getHistory lists up to defaultListLimit configuration versions with numbers above ?after=, oldest
// first, with their authors.
func (e *Entry) getHistory(ctx *fasthttp.RequestCtx, _ config.Identity) {
	after := ctx.QueryArgs().GetUintOrZero("after")
	versions, err := e.configStore.History(e.work, uint64(after), defaultListLimit)
	if err != nil {
		writeError(ctx, storeUnavailable("the history could not be read"))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, versions)
}

// getVersion answers with one version of the configuration history.
func (e *Entry) getVersion(ctx *fasthttp.RequestCtx, _ config.Identity) {
	number, err := strconv.ParseUint(ctx.UserValue("version").(string), 10, 64)
	if err != nil {
		writeError(ctx, errkind.NewField(errkind.InvalidRequest, "version", "a number is required"))
		return
	}
	version, err := e.configStore.Version(e.work, number)
	switch {
	case err != nil:
		writeError(ctx, storeUnavailable("the version could not be read"))
	case version == nil:
		writeError(ctx, errkind.New(errkind.NotFound, "no such version"))
	default:
		writeVersion(ctx, version)
	}
}

// WorkerView is a backend server and its worker as this entry sees them.
type WorkerView struct {
	Agent      string `json:"agent"`
	Worker     string `json:"worker"`
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	Slots      int    `json:"slots"`
	// Load is the estimated number of tasks at the agent, those of other entries included.
	Load float64 `json:"load"`
	// Slowness is the measured ratio of run times here to those of the same kinds elsewhere.
	Slowness float64 `json:"slowness"`
	// State is up, down, leaving or ejected.
	State string `json:"state"`
}

// WorkersReply is the answer to a request for the list of workers.
type WorkersReply struct {
	Backends []WorkerView `json:"backends"`
	// Asleep are the IDs of workers that are asleep or waking.
	Asleep []string `json:"asleep"`
}

func (e *Entry) getWorkers(ctx *fasthttp.RequestCtx, _ config.Identity) {
	writeJSON(ctx, fasthttp.StatusOK, e.listWorkers())
}

// listWorkers returns the linked backend servers and the workers that are asleep or waking. The list
// of backend servers is empty if the entry stops meanwhile.
func (e *Entry) listWorkers() WorkersReply {
	reply := WorkersReply{Backends: []WorkerView{}, Asleep: []string{}}
	views := make(chan []WorkerView, 1)
	e.post(func(core *dispatch.Core, now time.Time) { views <- agentViews(core.Pool(), now) })
	select {
	case reply.Backends = <-views:
	case <-e.work.Done():
	}
	for _, w := range *e.sleepingWorkers.Load() {
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
	case a.IsDown:
		return "down"
	case a.NotAccepting:
		return "leaving"
	case a.IsEjected():
		return "ejected"
	}
	return "up"
}

// InstanceView is a live entry and the configuration version in force there.
type InstanceView struct {
	Entry   string `json:"entry"`
	Address string `json:"address"`
	Config  uint64 `json:"config"`
	// Fresh tells whether the version is confirmed: false for the answering entry if it could not
	// confirm its version recently, always true for other entries.
	Fresh bool `json:"fresh"`
}

func (e *Entry) getInstances(ctx *fasthttp.RequestCtx, _ config.Identity) {
	writeJSON(ctx, fasthttp.StatusOK, e.listInstances())
}

// listInstances returns the live entries. The versions of other entries are those that they last
// wrote to their rows in the table service.
func (e *Entry) listInstances() []InstanceView {
	versions := *e.configVersions.Load()
	var list []InstanceView
	for _, entry := range *e.liveEntries.Load() {
		view := InstanceView{Entry: entry.ID, Address: entry.Address, Config: versions[entry.ID], Fresh: true}
		if entry.ID == e.self.ID {
			view.Config = e.configVersion()
			view.Fresh = e.watcher.IsConfirmed(time.Now())
		}
		list = append(list, view)
	}
	return list
}

// TeamView is a team's quota and its use at this entry.
type TeamView struct {
	Team   string  `json:"team"`
	Weight float64 `json:"weight"`
	// Quota is the team's limit of open tasks, as configured.
	Quota int `json:"quota"`
	// Open is the number of the team's open tasks at this entry.
	Open int `json:"open"`
}

func (e *Entry) getTeams(ctx *fasthttp.RequestCtx, _ config.Identity) {
	writeJSON(ctx, fasthttp.StatusOK, e.listTeams())
}

// listTeams returns all configured teams with their open tasks at this entry.
func (e *Entry) listTeams() []TeamView {
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

// getMetrics answers with all metrics as JSON, those of the claim store brought up to date.
func (e *Entry) getMetrics(ctx *fasthttp.RequestCtx, _ config.Identity) {
	e.publishClaimStats()
	data, err := e.deps.Metrics.(*metrics.StandardRegistry).MarshalJSON()
	if err != nil {
		writeError(ctx, err)
		return
	}
	ctx.SetContentType(contentJSON)
	ctx.SetBody(data)
}

// getHealth is the health check of the load balancer: status 503 while the entry drains or has no
// configuration, else 200.
func (e *Entry) getHealth(ctx *fasthttp.RequestCtx) {
	status, state := fasthttp.StatusOK, "ok"
	switch {
	case e.draining.Load():
		status, state = fasthttp.StatusServiceUnavailable, "draining"
	case e.watcher.Current() == nil:
		status, state = fasthttp.StatusServiceUnavailable, "no configuration"
	case !e.watcher.IsConfirmed(time.Now()):
		state = "configuration not confirmed: repeatable calls only"
	}
	writeJSON(ctx, status, map[string]string{"state": state})
}

// LinkedAgents returns the number of agents with an open link.
func (e *Entry) LinkedAgents() int { return e.links.openLinks() }

// IsConfigured reports whether this entry has read a configuration.
func (e *Entry) IsConfigured() bool { return e.watcher.Current() != nil }

// ConfigVersion returns the configuration version in force here; 0 if none.
func (e *Entry) ConfigVersion() uint64 { return e.configVersion() }

// UsableAgents returns the number of agents that are up and accept new work; 0 if the entry has
// stopped.
func (e *Entry) UsableAgents() int {
	count := make(chan int, 1)
	e.post(func(core *dispatch.Core, _ time.Time) {
		n := 0
		for _, a := range core.Pool().Agents() {
			if !a.IsDown && !a.NotAccepting {
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
