package emulator

import (
	"image/color"
	"os"
	"path/filepath"
	"strconv"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a picture.
const (
	pictureWidth  = 18 * vg.Centimeter
	pictureHeight = 9 * vg.Centimeter
	barWidth      = 7 * vg.Millimeter
	// legendTop leaves room for the legend above bars that end at 1.
	legendTop = 1.4
	dirMode   = 0o755
)

// part is one part of a bar.
type part struct {
	name  string
	color color.Color
}

// fateParts are the parts of a bar, from the bottom to the top.
var fateParts = []part{
	{"in time", color.RGBA{R: 102, G: 166, B: 102, A: 255}}, {"late", color.RGBA{R: 240, G: 200, B: 80, A: 255}},
	{"refused", color.RGBA{R: 90, G: 130, B: 200, A: 255}}, {"failed", color.RGBA{R: 200, G: 70, B: 70, A: 255}},
}

// parts returns the counts in the order of fateParts.
func (c *Count) parts() []int { return []int{c.InTime, c.Late, c.Refused, c.Failed} }

// Draw writes two pictures into dir: what became of the jobs by the time they were
// sent, and by kind. They show the sums over all seeds.
func (o *Outcome) Draw(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrap(err, "create the folder of the report")
	}
	var byTime, byKind []Count
	var kinds, windows []string
	for i := range o.Plays {
		p := &o.Plays[i]
		byTime, byKind = grow(byTime, len(p.Windows)), grow(byKind, len(p.Kinds))
		kinds, windows = kinds[:0], windows[:0]
		for n := range p.Windows {
			byTime[n].sum(&p.Windows[n].Count)
			windows = append(windows, strconv.Itoa(int(p.Windows[n].From)))
		}
		for n := range p.Kinds {
			byKind[n].sum(&p.Kinds[n].Count)
			kinds = append(kinds, p.Kinds[n].Name)
		}
	}
	title := o.Deployment + ", " + o.Scenario
	base := filepath.Join(dir, o.Deployment+"-"+o.Scenario)
	if err := stack(base+"-time.svg", title+": jobs by the second from which they were sent", byTime, windows); err != nil {
		return err
	}
	return stack(base+"-kind.svg", title+": jobs by kind", byKind, kinds)
}

func grow(list []Count, n int) []Count {
	for len(list) < n {
		list = append(list, Count{})
	}
	return list
}

// sum adds the numbers of another count.
func (c *Count) sum(o *Count) {
	c.Jobs, c.InTime, c.Late = c.Jobs+o.Jobs, c.InTime+o.InTime, c.Late+o.Late
	c.Refused, c.Failed = c.Refused+o.Refused, c.Failed+o.Failed
}

// stack draws a bar of stacked shares for each count.
func stack(path, title string, counts []Count, names []string) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "share of jobs"
	p.Y.Max = legendTop
	p.Legend.Top = true
	var below *plotter.BarChart
	for index, part := range fateParts {
		values := make(plotter.Values, len(counts))
		for i := range counts {
			values[i] = float64(counts[i].parts()[index]) / float64(max(counts[i].Jobs, 1))
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return eris.Wrap(err, title)
		}
		bars.Color = part.color
		bars.LineStyle.Width = 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(part.name, bars)
	}
	p.NominalX(names...)
	return eris.Wrap(p.Save(pictureWidth, pictureHeight, path), title)
}
