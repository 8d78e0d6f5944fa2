// Package chart draws the results of the comparison as a bar chart.
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

// Sizes of the chart.
const (
	height   = 28 * vg.Centimeter
	width    = 20 * vg.Centimeter
	barWidth = 3.2 * vg.Millimeter
	// legendRows is the number of empty rows above the bars that make room for the legend.
	legendRows = 2
)

// Write writes a chart to a file, in the format of its extension. A bar for each pattern
// and policy shows the earned value as a share of the offered value.
func Write(path string, results []table.Result) error {
	p := plot.New()
	p.Title.Text = "Worth of the answers, as a share of what was owed"
	p.X.Min, p.X.Max = 0, 1
	p.Legend.Top = true
	p.Legend.Left = true
	patterns, policies := labels(results)
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(earnedShares(results, policy), barWidth)
		if err != nil {
			return fmt.Errorf("draw the bars of policy %s: %w", policy, err)
		}
		bars.Horizontal = true
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(len(policies)/2-i)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalY(append(patterns, make([]string, legendRows)...)...)
	p.Y.Max = float64(len(patterns) + legendRows)
	return p.Save(width, height, path)
}

// labels returns the names of the patterns in reverse order, as the axis starts at the
// bottom, and the names of the policies.
func labels(results []table.Result) (patterns, policies []string) {
	for i := range results {
		if !slices.Contains(patterns, results[i].Pattern) {
			patterns = append(patterns, results[i].Pattern)
		}
		if !slices.Contains(policies, results[i].Policy) {
			policies = append(policies, results[i].Policy)
		}
	}
	slices.Reverse(patterns)
	return patterns, policies
}

// earnedShares returns the shares of the offered value that a policy earned, in the
// order of the patterns that labels returns.
func earnedShares(results []table.Result, policy string) plotter.Values {
	var shares plotter.Values
	for i := range results {
		if results[i].Policy == policy {
			share, _ := results[i].ValueShares()
			shares = append(shares, share)
		}
	}
	slices.Reverse(shares)
	return shares
}
