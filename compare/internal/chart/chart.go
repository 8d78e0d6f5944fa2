// Package chart draws what became of jobs, by load pattern.
//
// # Usage
//
//	err := chart.Write("placing.svg", results)
package chart

import (
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/pollenfront/pollenfront/compare/internal/table"
)

// Sizes of the plot.
const (
	height   = 28 * vg.Centimeter
	width    = 20 * vg.Centimeter
	barWidth = 3.2 * vg.Millimeter
	// legendRows is the number of empty rows above the bars, for the legend.
	legendRows = 2
)

// Write draws the worth of the answers, as a share of what was owed, as bars
// for each pattern and way.
func Write(path string, results []table.Result) error {
	p := plot.New()
	p.Title.Text = "Worth of the answers, as a share of what was owed"
	p.X.Min, p.X.Max = 0, 1
	p.Legend.Top = true
	p.Legend.Left = true
	patterns, ways := labels(results)
	for i, way := range ways {
		bars, err := plotter.NewBarChart(earnedShares(results, way), barWidth)
		if err != nil {
			return fmt.Errorf("draw the bars of %s: %w", way, err)
		}
		bars.Horizontal = true
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(len(ways)/2-i)
		p.Add(bars)
		p.Legend.Add(way, bars)
	}
	p.NominalY(append(patterns, make([]string, legendRows)...)...)
	p.Y.Max = float64(len(patterns) + legendRows)
	return p.Save(width, height, path)
}

// labels returns the patterns, the last one first, and the ways.
func labels(results []table.Result) (patterns, ways []string) {
	for i := range results {
		if !slices.Contains(patterns, results[i].Pattern) {
			patterns = append(patterns, results[i].Pattern)
		}
		if !slices.Contains(ways, results[i].Policy) {
			ways = append(ways, results[i].Policy)
		}
	}
	slices.Reverse(patterns)
	return patterns, ways
}

// earnedShares returns the worth of a way's answers for each pattern, the last one first.
func earnedShares(results []table.Result, way string) plotter.Values {
	var all plotter.Values
	for i := range results {
		if results[i].Policy == way {
			worth, _ := results[i].ValueShares()
			all = append(all, worth)
		}
	}
	slices.Reverse(all)
	return all
}
