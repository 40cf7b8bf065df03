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

// Size of a chart.
const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 9 * vg.Centimeter
	barWidth    = 7 * vg.Millimeter
	// yAxisMax leaves space for the legend above bars that end at 1.
	yAxisMax = 1.4
	dirMode  = 0o755
)

// barSegment is one segment of a stacked bar.
type barSegment struct {
	name  string
	color color.Color
}

// barSegments are the segments of a bar, from bottom to top.
var barSegments = []barSegment{
	{"in time", color.RGBA{R: 102, G: 166, B: 102, A: 255}}, {"late", color.RGBA{R: 240, G: 200, B: 80, A: 255}},
	{"refused", color.RGBA{R: 90, G: 130, B: 200, A: 255}}, {"failed", color.RGBA{R: 200, G: 70, B: 70, A: 255}},
}

// segments returns the counts in the order of barSegments.
func (c *Count) segments() []int { return []int{c.InTime, c.Late, c.Refused, c.Failed} }

// Draw writes two charts into dir: the outcomes of the jobs by the time at which they were
// submitted, and by kind. They show the sums over all seeds.
func (r *ExperimentResult) Draw(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrap(err, "create the report directory")
	}
	var byTime, byKind []Count
	var kinds, windows []string
	for i := range r.Trials {
		s := &r.Trials[i]
		byTime, byKind = extend(byTime, len(s.Windows)), extend(byKind, len(s.Kinds))
		kinds, windows = kinds[:0], windows[:0]
		for n := range s.Windows {
			byTime[n].addCount(&s.Windows[n].Count)
			windows = append(windows, strconv.Itoa(int(s.Windows[n].StartSeconds)))
		}
		for n := range s.Kinds {
			byKind[n].addCount(&s.Kinds[n].Count)
			kinds = append(kinds, s.Kinds[n].Name)
		}
	}
	title := r.Deployment + ", " + r.Scenario
	base := filepath.Join(dir, r.Deployment+"-"+r.Scenario)
	if err := drawStackedBars(base+"-time.svg", title+": jobs by the second from which they were sent", byTime, windows); err != nil {
		return err
	}
	return drawStackedBars(base+"-kind.svg", title+": jobs by kind", byKind, kinds)
}

func extend(list []Count, n int) []Count {
	for len(list) < n {
		list = append(list, Count{})
	}
	return list
}

// addCount adds the numbers of jobs of another count.
func (c *Count) addCount(other *Count) {
	c.Jobs, c.InTime, c.Late = c.Jobs+other.Jobs, c.InTime+other.InTime, c.Late+other.Late
	c.Refused, c.Failed = c.Refused+other.Refused, c.Failed+other.Failed
}

// drawStackedBars draws a bar of stacked shares for each count and writes the chart to path.
func drawStackedBars(path, title string, counts []Count, names []string) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "share of jobs"
	p.Y.Max = yAxisMax
	p.Legend.Top = true
	var below *plotter.BarChart
	for index, segment := range barSegments {
		values := make(plotter.Values, len(counts))
		for i := range counts {
			values[i] = float64(counts[i].segments()[index]) / float64(max(counts[i].Jobs, 1))
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return eris.Wrap(err, title)
		}
		bars.Color = segment.color
		bars.LineStyle.Width = 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(segment.name, bars)
	}
	p.NominalX(names...)
	return eris.Wrap(p.Save(chartWidth, chartHeight, path), title)
}
