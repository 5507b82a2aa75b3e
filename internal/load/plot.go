package load

import (
	"time"

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
)

// Plot writes the distributions of the first-token time and the time between
// tokens to a PNG file.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "Requests up to a latency"
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "fraction"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	err := plotutil.AddLines(p, "first token", distribution(r.firstToken), "between tokens", distribution(r.between))
	if err != nil {
		return errors.Trace(err)
	}
	p.Legend.Left = true
	p.Legend.Top = true
	return errors.Annotatef(p.Save(plotWidth, plotHeight, path), "writing the plot to %s", path)
}

// distribution returns the points of a histogram's cumulative distribution.
func distribution(h *hdrhistogram.Histogram) plotter.XYs {
	points := plotter.XYs{{X: 1, Y: 0}}
	for _, bracket := range h.CumulativeDistribution() {
		micros := max(float64(bracket.ValueAt), minMicros)
		points = append(points, plotter.XY{
			X: micros / float64(time.Millisecond/time.Microsecond),
			Y: bracket.Quantile / 100,
		})
	}
	return points
}
