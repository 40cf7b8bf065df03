package load

import (
	"encoding/json"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"sort"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Files of a report and their permissions.
const (
	reportFile = "report.json"
	pageFile   = "index.html"
	fileMode   = 0o644
	dirMode    = 0o755
)

// Save writes report.json, the plots and a page that shows them into a folder, which it creates if
// necessary. report.json has a list if there are several reports.
func Save(dir string, reports []*Report) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrap(err, "create report folder")
	}
	var body any = reports
	if len(reports) == 1 {
		body = reports[0]
	}
	data, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	if err := os.WriteFile(filepath.Join(dir, reportFile), append(data, '\n'), fileMode); err != nil {
		return eris.Wrap(err, "write report")
	}
	plots := []struct {
		file, title, y string
		draw           func(*plot.Plot, []*Report) error
	}{
		{"ratio.svg", "p99 response ratio over time", "response / ideal", drawRatio},
		{"classes.svg", "p99 response ratio by class", "response / ideal", drawClasses},
		{"load.svg", "busy seconds of each worker", "seconds", drawLoad},
		{"wasted.svg", "wasted messages by cause", "messages a task", drawWasted},
		{"awake.svg", "awake workers against ideal", "workers", drawAwake},
	}
	var files []string
	for _, p := range plots {
		if err := savePlot(filepath.Join(dir, p.file), p.title, p.y, p.draw, reports); err != nil {
			return err
		}
		files = append(files, p.file)
	}
	return savePage(filepath.Join(dir, pageFile), files, reports)
}

// savePlot draws a plot and writes it to a file, in the format of the file's extension.
func savePlot(path, title, yLabel string, draw func(*plot.Plot, []*Report) error, reports []*Report) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = yLabel
	p.Y.Min = 0
	p.Legend.Top = true
	if err := draw(p, reports); err != nil {
		return eris.Wrap(err, title)
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), title)
}

// addLine adds a line to a plot, with a value for each second; index selects its color.
func addLine(p *plot.Plot, name string, index int, values []float64) error {
	points := make(plotter.XYs, len(values))
	for i, v := range values {
		points[i] = plotter.XY{X: float64(i), Y: v}
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	l.Color = plotutil.Color(index)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// addBars adds one bar for each name and report to a plot, in one color for each report.
func addBars(p *plot.Plot, reports []*Report, names []string, value func(*Report, string) float64) error {
	width := vg.Points(40 / float64(max(1, len(reports))))
	for i, r := range reports {
		values := make(plotter.Values, len(names))
		for k, name := range names {
			values[k] = value(r, name)
		}
		chart, err := plotter.NewBarChart(values, width)
		if err != nil {
			return err
		}
		chart.Color = plotutil.Color(i)
		chart.Offset = width * vg.Length(i)
		p.Add(chart)
		p.Legend.Add(fmt.Sprintf("%s, seed %d", r.Policy, r.Seed), chart)
	}
	p.NominalX(names...)
	return nil
}

func drawRatio(p *plot.Plot, reports []*Report) error {
	p.X.Label.Text = "seconds"
	for i, r := range reports {
		values := make([]float64, len(r.RatioByTime))
		for k, q := range r.RatioByTime {
			values[k] = q.P99
		}
		if err := addLine(p, fmt.Sprintf("%s, seed %d", r.Policy, r.Seed), i, values); err != nil {
			return err
		}
	}
	return nil
}

func drawClasses(p *plot.Plot, reports []*Report) error {
	return addBars(p, reports, sortedClasses(reports[0]), func(r *Report, class string) float64 { return r.ResponseRatio.Class[class].P99 })
}

func drawLoad(p *plot.Plot, reports []*Report) error {
	return addBars(p, reports, sortedKeys(reports[0].BusyByWorker), func(r *Report, worker string) float64 { return r.BusyByWorker[worker] })
}

func drawWasted(p *plot.Plot, reports []*Report) error {
	return addBars(p, reports, sortedKeys(reports[0].WastedByCause), func(r *Report, cause string) float64 { return r.WastedByCause[cause] })
}

func drawAwake(p *plot.Plot, reports []*Report) error {
	p.X.Label.Text = "seconds"
	for i, r := range reports {
		if err := addLine(p, "awake, "+r.Policy, 2*i, r.AwakeByTime); err != nil {
			return err
		}
		if err := addLine(p, "ideal, "+r.Policy, 2*i+1, r.IdealAwakeByTime); err != nil {
			return err
		}
	}
	return nil
}

// sortedKeys returns the keys of a map in alphabetical order.
func sortedKeys(m map[string]float64) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>peridotpick load report</title>
<style>body{font:15px/1.4 system-ui,sans-serif;margin:2rem}table{border-collapse:collapse}td,th{padding:.2rem .7rem;border-bottom:1px solid #ddd;text-align:right}</style>
</head><body><h1>Load report</h1>
<table><tr><th>policy</th><th>seed</th><th>p50</th><th>p99</th><th>p99.9</th><th>wasted / task</th><th>completed</th><th>refused</th><th>failed</th><th>starts twice</th><th>partial</th><th>false "not run"</th><th>cut</th></tr>
{{range .Reports}}<tr><td>{{.Policy}}</td><td>{{.Seed}}</td><td>{{printf "%.3f" .ResponseRatio.P50}}</td><td>{{printf "%.3f" .ResponseRatio.P99}}</td><td>{{printf "%.3f" .ResponseRatio.P999}}</td><td>{{printf "%.4f" .WastedPerTask}}</td><td>{{.Completed}}</td><td>{{.Refused}}</td><td>{{.Failed}}</td><td>{{.StartsTwice}}</td><td>{{.PartialAnswers}}</td><td>{{.FalseNotRun}}</td><td>{{.CutInShutdown}}</td></tr>
{{end}}</table>
{{range .Files}}<p><img src="{{.}}" alt="{{.}}"></p>
{{end}}</body></html>
`))

// savePage writes an HTML page with a table of the reports and the plots.
func savePage(path string, files []string, reports []*Report) error {
	out, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create page")
	}
	defer func() { _ = out.Close() }()
	return eris.Wrap(pageTemplate.Execute(out, struct {
		Files   []string
		Reports []*Report
	}{files, reports}), "write page")
}
