// Package capacity is the capacity model of the system. It measures how the cost
// of each role grows with its size parameter, fits a line to each measurement,
// extrapolates the lines to the planned deployment size, and generates the tables
// and plots of docs/CAPACITY.md.
//
// Measure fills a Slopes value with the benchmarks in the sibling packages;
// UpdatePage updates the page from it.
package capacity

import (
	"fmt"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Point is one measurement: the cost Y at size X.
type Point struct{ X, Y float64 }

// Slope is a cost measured at several values of a size parameter.
type Slope struct {
	// Name identifies the slope in the page and is the base name of its plot file.
	Name string
	// X and Y describe the varied parameter and the measured cost, with units.
	X, Y   string
	Points []Point
}

// Line is a fitted line. R2 is the coefficient of determination; WorstError is the
// largest residual as a fraction of the largest measured value.
type Line struct {
	Intercept, Slope, R2, WorstError float64
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit fits a line to the points by least squares.
func (s Slope) Fit() Line {
	xs := make([]float64, len(s.Points))
	ys := make([]float64, len(s.Points))
	most := 0.0
	for i, p := range s.Points {
		xs[i], ys[i] = p.X, p.Y
		most = max(most, math.Abs(p.Y))
	}
	var l Line
	l.Intercept, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	l.R2 = stat.RSquared(xs, ys, nil, l.Intercept, l.Slope)
	for _, p := range s.Points {
		l.WorstError = max(l.WorstError, math.Abs(p.Y-l.At(p.X))/max(most, math.SmallestNonzeroFloat64))
	}
	return l
}

// Row returns the slope as a row of the page's Markdown table.
func (s Slope) Row() string {
	l := s.Fit()
	points := make([]string, len(s.Points))
	for i, p := range s.Points {
		points[i] = fmt.Sprintf("%s: %s", formatNumber(p.X), formatNumber(p.Y))
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s + %s x | %.2f | %.0f%% |",
		s.Name, s.X, s.Y, strings.Join(points, "; "),
		formatNumber(l.Intercept), formatNumber(l.Slope), l.R2, 100*l.WorstError)
}

// formatNumber formats a number: integers below a million in full, others with three
// significant digits.
func formatNumber(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e6 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// Dimensions of a plot.
const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Plot draws the points and the fitted line to an SVG file.
func (s Slope) Plot(file string) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.X
	p.Y.Label.Text = s.Y
	p.Y.Min = 0
	xys := make(plotter.XYs, len(s.Points))
	for i, pt := range s.Points {
		xys[i] = plotter.XY{X: pt.X, Y: pt.Y}
	}
	scatter, err := plotter.NewScatter(xys)
	if err != nil {
		return err
	}
	l := s.Fit()
	first, last := s.Points[0].X, s.Points[len(s.Points)-1].X
	line, err := plotter.NewLine(plotter.XYs{{X: first, Y: l.At(first)}, {X: last, Y: l.At(last)}})
	if err != nil {
		return err
	}
	p.Add(line, scatter)
	return p.Save(plotWidth, plotHeight, file)
}
