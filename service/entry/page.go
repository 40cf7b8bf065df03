package entry

import (
	"bytes"
	_ "embed" // for page.html
	"html/template"
	"time"

	"github.com/valyala/fasthttp"

	"peridotpick.example/common/config"
	"peridotpick.example/common/errkind"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// pageData is the data of the operators' page; page.html refers to its fields by name.
type pageData struct {
	Entry     string
	At        string
	Config    uint64
	Fresh     bool
	Workers   WorkersReply
	Instances []InstanceView
	Teams     []TeamView
	Refusals  map[string]uint64
}

// getPage serves the operators' page.
func (e *Entry) getPage(ctx *fasthttp.RequestCtx, _ config.Identity) {
	data := pageData{
		Entry: e.self.ID, At: time.Now().UTC().Format(time.RFC3339), Config: e.configVersion(),
		Fresh: e.watcher.IsConfirmed(time.Now()), Workers: e.listWorkers(), Instances: e.listInstances(),
		Teams: e.listTeams(), Refusals: e.refusals.byName(),
	}
	var page bytes.Buffer
	if err := pageTemplate.Execute(&page, data); err != nil {
		writeError(ctx, errkind.New(errkind.Internal, err.Error()))
		return
	}
	ctx.SetContentType("text/html; charset=utf-8")
	ctx.SetBody(page.Bytes())
}
