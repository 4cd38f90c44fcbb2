package choose

import (
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// writePlots writes one plot per service: the 99th percentile latency of every
// strategy against the load, on a logarithmic scale.
func (r *Report) writePlots(dir string) error {
	for _, d := range Deployments() {
		if err := r.writePlot(dir, d.Name); err != nil {
			return errors.Wrapf(err, "plot %s", d.Name)
		}
	}
	return nil
}

func (r *Report) writePlot(dir, name string) error {
	p := plot.New()
	p.Title.Text = name + ", p99"
	p.X.Label.Text = "load, as a share of all slots"
	p.Y.Label.Text = "ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	for i, strategy := range Strategies() {
		line, points, err := plotter.NewLinePoints(r.points(name, strategy))
		if err != nil {
			return errors.Wrap(err, strategy)
		}
		line.Color = plotutil.Color(i)
		points.Color = plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(strategy, line, points)
	}
	file := strings.NewReplacer(" ", "-", ",", "").Replace(name) + ".svg"
	return errors.Wrap(p.Save(plotWidth, plotHeight, filepath.Join(dir, file)), "save")
}

// points returns the p99 by load, for loads below the capacity only: above it,
// latency says little about a strategy.
func (r *Report) points(name, strategy string) plotter.XYs {
	var xys plotter.XYs
	for i := range r.Cases {
		c := &r.Cases[i]
		if c.Name != name || c.Load >= 1 {
			continue
		}
		xys = append(xys, plotter.XY{X: c.Load, Y: max(c.Strategy(strategy).P99ms, 0.1)})
	}
	return xys
}
