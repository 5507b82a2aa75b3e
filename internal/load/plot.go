package load

import (
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// plotMargin widens the X axis, which must span more than one value.
	plotMargin = 1.1
)

// Plot writes the distributions of the time to the first token and of the time
// between tokens to a PNG file. It fails if no answer has started.
func (r *Report) Plot(path string) error {
	if r.firstToken.TotalCount() == 0 {
		return errors.New("no answer has started, so there is nothing to plot; see the refusals and failures")
	}
	p := plot.New()
	p.Title.Text = "Requests up to a latency"
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "fraction"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	lines := []any{"first token", distribution(r.firstToken)}
	if r.betweenTokens.TotalCount() > 0 {
		lines = append(lines, "between tokens", distribution(r.betweenTokens))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Trace(err)
	}
	p.X.Min /= plotMargin
	p.X.Max *= plotMargin
	p.Legend.Left = true
	p.Legend.Top = true
	return errors.Annotatef(p.Save(plotWidth, plotHeight, path), "writing the plot to %s", path)
}

// distribution returns the points of a histogram's cumulative distribution,
// with milliseconds as X and fractions as Y.
func distribution(h *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	for _, bracket := range h.CumulativeDistribution() {
		if len(points) == 0 {
			points = append(points, plotter.XY{X: milliseconds(bracket.ValueAt)})
		}
		points = append(points, plotter.XY{X: milliseconds(bracket.ValueAt), Y: bracket.Quantile / 100})
	}
	return points
}
