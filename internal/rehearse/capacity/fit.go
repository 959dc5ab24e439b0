// Package capacity works out what the letter's size needs from recorded sweeps, and writes it into the page on capacity.
package capacity

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"snowflow/internal/rehearse/sweep"
)

// Line is a straight line by least squares.
// Invariants: Error is the slope's standard error, from what is left over with Points-2 degrees of freedom; Most is the
// highest value that it was drawn through.
type Line struct {
	Intercept, Slope, Error float64
	Points                  int
	Most                    float64
}

// At is the line's value.
func (l Line) At(value float64) float64 { return l.Intercept + l.Slope*value }

// Certain tells whether the slope is beyond twice its standard error.
func (l Line) Certain() bool { return math.Abs(l.Slope) > 2*l.Error }

// Rises tells whether it rises beyond doubt.
func (l Line) Rises() bool { return l.Certain() && l.Slope > 0 }

// Fit draws the line. There must be three points at least, at two values at least.
func Fit(values, measured []float64) (Line, bool) {
	if len(values) < 3 || slices.Min(values) == slices.Max(values) {
		return Line{}, false
	}
	intercept, slope := stat.LinearRegression(values, measured, nil, false)
	left := 0.0
	for index, value := range values {
		apart := measured[index] - intercept - slope*value
		left += apart * apart
	}
	mean, spread := stat.Mean(values, nil), 0.0
	for _, value := range values {
		spread += (value - mean) * (value - mean)
	}
	return Line{Intercept: intercept, Slope: slope, Error: math.Sqrt(left / float64(len(values)-2) / spread), Points: len(values), Most: slices.Max(values)}, true
}

// Along draws a figure's line along a dimension.
func Along(points []sweep.Point, dimension sweep.Dimension, figure sweep.Figure) (Line, bool) {
	values, measured := Pairs(points, dimension, figure)
	return Fit(values, measured)
}

// Pairs gives what a figure's line is drawn through: nothing if all is of one size, whose windows only differ a little.
func Pairs(points []sweep.Point, dimension sweep.Dimension, figure sweep.Figure) (values, measured []float64) {
	sizes := map[sweep.Size]bool{}
	for _, run := range sweep.Along(points, dimension) {
		if value, known := figure.Of(run); known {
			values, measured = append(values, dimension.Value(run)), append(measured, value)
			sizes[run.Size] = true
		}
	}
	if len(sizes) < 2 {
		return nil, nil
	}
	return values, measured
}
