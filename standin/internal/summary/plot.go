package summary

import (
	"fmt"
	"path/filepath"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/pollenfront/pollenfront/standin/internal/load"
)

// Size of a plot.
const (
	plotHeight = 4 * vg.Inch
	plotWidth  = 6 * vg.Inch
)

// Plot writes two kinds of plots into a directory: the p95 of response over
// ideal by utilization for each deployment and mix, and the work done in each
// second for each run with an event.
func Plot(dir string, rows []Row) error {
	for _, deployment := range []string{"andino", "tainan"} {
		for _, mix := range []string{"evening", "morning"} {
			if err := plotMix(dir, rows, deployment, mix); err != nil {
				return err
			}
		}
		if err := plotWork(dir, rows, deployment); err != nil {
			return err
		}
	}
	return nil
}

// plotMix plots the p95 of each policy by utilization.
func plotMix(dir string, rows []Row, deployment, mix string) error {
	lines := make(map[string]plotter.XYs)
	for _, r := range rows {
		if r.Deployment != deployment || r.Mix != mix || r.Event != "" {
			continue
		}
		utilization, err := strconv.ParseFloat(r.Utilization, 64)
		if err != nil {
			return err
		}
		lines[r.Policy] = append(lines[r.Policy], plotter.XY{X: utilization, Y: r.OverIdeal.P95})
		if r.Policy == "expected" {
			lines["clairvoyant queue"] = append(lines["clairvoyant queue"], plotter.XY{X: utilization, Y: r.Clairvoyant.P95})
		}
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s: p95 of response over ideal", deployment, mix)
	p.X.Label.Text = "utilization"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	return save(p, lines, filepath.Join(dir, deployment+"-"+mix+".png"))
}

// plotWork plots the work done in each second while a zone is out.
func plotWork(dir string, rows []Row, deployment string) error {
	lines := make(map[string]plotter.XYs)
	for _, r := range rows {
		if r.Deployment == deployment && r.Event == "zone" {
			lines[r.Policy] = work(r.Seconds)
		}
	}
	p := plot.New()
	p.Title.Text = deployment + ": work done while a zone leaves and returns"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "work-seconds a second"
	return save(p, lines, filepath.Join(dir, deployment+"-zone.png"))
}

// work returns the work done in each second.
func work(seconds []load.Second) plotter.XYs {
	points := make(plotter.XYs, 0, len(seconds))
	for _, s := range seconds {
		points = append(points, plotter.XY{X: float64(s.At), Y: s.Work})
	}
	return points
}

// save draws the lines and writes a file. Without lines, it writes none.
func save(p *plot.Plot, lines map[string]plotter.XYs, file string) error {
	if len(lines) == 0 {
		return nil
	}
	var named []any
	for _, name := range []string{"expected", "least-outstanding", "two-choices", "round-robin", "random", "clairvoyant queue"} {
		if points, ok := lines[name]; ok {
			named = append(named, name, points)
		}
	}
	if err := plotutil.AddLinePoints(p, named...); err != nil {
		return err
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(plotWidth, plotHeight, file)
}
