// Package report writes the result of an experiment as one self-contained HTML page, and its plots also as PNG files.
package report

import (
	"bytes"
	_ "embed"
	"encoding/base64"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/scenario"
)

//go:embed page.html
var pageTemplate string

// figure is one plot of the page.
type figure struct {
	Title, File string
	Data        template.URL // the PNG as a data URL
}

// Write creates the directory, writes index.html and the plots into it, and returns the path of the page. The page is
// about the first result; the others are shown next to it for comparison.
func Write(dir string, experiment *scenario.Scenario, results []*ledger.Result) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	var figures []figure
	addPlot := func(title, file string, p *plot.Plot) error {
		entry, err := renderPlot(dir, title, file, p)
		if err == nil {
			figures = append(figures, entry)
		}
		return err
	}
	result := results[0]
	for i, category := range experiment.Categories {
		if err := addPlot("Ops of "+category.Name+" a second", fmt.Sprintf("ops-%d.png", i), opsPlot(result, experiment, i)); err != nil {
			return "", err
		}
	}
	for _, entry := range []struct {
		title, file string
		plot        *plot.Plot
	}{
		{"Latency from the intended send", "latency.png", latencyPlot(result, experiment)},
		{"Core time spent on answers that no client received", "wasted.png", wastedWorkPlot(result, experiment)},
		{"Rate that the throttles admit at the cutoff level, at node 0", "rate.png", throttlePlot(result, false)},
		{"Cutoff level of the throttles (benefit level), at node 0", "cut.png", throttlePlot(result, true)},
		{"Served benefit over time, by policy", "policies.png", policiesPlot(results)},
	} {
		if err := addPlot(entry.title, entry.file, entry.plot); err != nil {
			return "", err
		}
	}
	t, err := template.New("page").Parse(pageTemplate)
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	if err := t.Execute(&out, map[string]any{"S": experiment, "R": result, "All": results, "Figures": figures}); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "index.html")
	return path, os.WriteFile(path, out.Bytes(), 0o644)
}

// Size of a plot.
const (
	width  = 18 * vg.Centimeter
	height = 6 * vg.Centimeter
)

// renderPlot adds title, axes and legend to a plot, and writes it as a PNG file.
func renderPlot(dir, title, file string, p *plot.Plot) (figure, error) {
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.X.Min = 0
	p.Y.Min = min(0, p.Y.Min)
	p.Legend.Top = true
	p.Y.Max += (p.Y.Max - p.Y.Min) / 2 // space for the legend above the curves
	p.Add(plotter.NewGrid())
	w, err := p.WriterTo(width, height, "png")
	if err != nil {
		return figure{}, fmt.Errorf("plot %s: %w", file, err)
	}
	var raw bytes.Buffer
	if _, err := w.WriteTo(&raw); err != nil {
		return figure{}, err
	}
	if err := os.WriteFile(filepath.Join(dir, file), raw.Bytes(), 0o644); err != nil {
		return figure{}, err
	}
	return figure{title, file, template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(raw.Bytes()))}, nil
}

// addCurve adds a curve in the colour with this index. A curve without points is left out.
func addCurve(p *plot.Plot, index int, name string, points plotter.XYs) {
	if len(points) == 0 {
		return
	}
	curve, err := plotter.NewLine(points)
	if err != nil {
		return // a value is NaN or infinite
	}
	curve.LineStyle = draw.LineStyle{
		Color:  plotutil.Color(index),
		Width:  vg.Points(1.2),
		Dashes: plotutil.Dashes(index / 7), // there are seven colours
	}
	p.Add(curve)
	p.Legend.Add(name, curve)
}

// bucketValues returns a value of each bucket of a category over time. With category -1 it sums the values of all
// categories.
func bucketValues(result *ledger.Result, category int, value func(*ledger.Bucket) float64) plotter.XYs {
	var out plotter.XYs
	for i := range result.Series {
		bucket := &result.Series[i]
		if category >= 0 && bucket.Category != category {
			continue
		}
		if n := len(out); n > 0 && out[n-1].X == bucket.AtMs/1000 {
			out[n-1].Y += value(bucket)
			continue
		}
		out = append(out, plotter.XY{X: bucket.AtMs / 1000, Y: value(bucket)})
	}
	return out
}

// bucketsPerSecond returns how many buckets of the result make a second.
func bucketsPerSecond(result *ledger.Result) float64 {
	for i := range result.Series {
		if result.Series[i].AtMs > 0 {
			return 1000 / result.Series[i].AtMs
		}
	}
	return 1
}

// opsPlot shows the offered, served and nacked ops of a category per second.
func opsPlot(result *ledger.Result, experiment *scenario.Scenario, category int) *plot.Plot {
	p := plot.New()
	scale := bucketsPerSecond(result)
	for i, series := range []struct {
		name  string
		value func(*ledger.Bucket) float64
	}{
		{"offered", func(bucket *ledger.Bucket) float64 { return float64(bucket.Offered) * scale }},
		{"served", func(bucket *ledger.Bucket) float64 { return float64(bucket.Served) * scale }},
		{"nacked tries", func(bucket *ledger.Bucket) float64 { return float64(bucket.Nacked) * scale }},
	} {
		addCurve(p, i, series.name, bucketValues(result, category, series.value))
	}
	return p
}

// latencyPlot shows the median and 99th percentile of the latency of each category.
func latencyPlot(result *ledger.Result, experiment *scenario.Scenario) *plot.Plot {
	p := plot.New()
	p.Y.Label.Text = "ms"
	for i, category := range experiment.Categories {
		addCurve(p, 2*i, category.Name+" p50", bucketValues(result, i, func(bucket *ledger.Bucket) float64 { return bucket.P50Ms }))
		addCurve(p, 2*i+1, category.Name+" p99", bucketValues(result, i, func(bucket *ledger.Bucket) float64 { return bucket.P99Ms }))
	}
	return p
}

// wastedWorkPlot shows the core time per second that served no client, for each category.
func wastedWorkPlot(result *ledger.Result, experiment *scenario.Scenario) *plot.Plot {
	p := plot.New()
	scale := bucketsPerSecond(result)
	p.Y.Label.Text = "ms a second"
	for i, category := range experiment.Categories {
		addCurve(p, i, category.Name, bucketValues(result, i, func(bucket *ledger.Bucket) float64 { return bucket.WastedMs * scale }))
	}
	return p
}

// maxCurves is how many servers a throttle plot shows. More would hide each other.
const maxCurves = 10

// throttlePlot shows the rate or the cutoff level of the throttles, for the servers with the most samples.
func throttlePlot(result *ledger.Result, showCutoff bool) *plot.Plot {
	p := plot.New()
	servers := map[string]plotter.XYs{}
	for _, t := range result.Throttles {
		y := t.Rate
		if showCutoff {
			y = float64(t.CutoffLevel)
		}
		servers[t.Server] = append(servers[t.Server], plotter.XY{X: t.AtMs / 1000, Y: y})
	}
	names := make([]string, 0, len(servers))
	for name := range servers {
		names = append(names, name)
	}
	sort.Strings(names)
	sort.SliceStable(names, func(i, j int) bool { return len(servers[names[i]]) > len(servers[names[j]]) })
	for n, name := range names[:min(maxCurves, len(names))] {
		if dots, err := plotter.NewScatter(servers[name]); err == nil { // points, since a throttle is active only part of the time
			dots.GlyphStyle = draw.GlyphStyle{Color: plotutil.Color(n), Radius: vg.Points(1.5), Shape: draw.CircleGlyph{}}
			p.Add(dots)
			p.Legend.Add(name, dots)
		}
	}
	if len(names) == 0 {
		p.Legend.Add("no throttle was active")
		p.X.Max = 1
		p.Y.Max = 1
		p.BackgroundColor = color.White
	}
	return p
}

// policiesPlot shows the served benefit of each policy over time. Of several results of a policy it takes the first.
func policiesPlot(results []*ledger.Result) *plot.Plot {
	p := plot.New()
	names := []string{}
	for n, result := range results {
		if slices.Contains(names, result.Policy) {
			continue
		}
		names = append(names, result.Policy)
		addCurve(p, n, result.Policy, bucketValues(result, -1, func(bucket *ledger.Bucket) float64 {
			return bucket.Benefit * bucketsPerSecond(result)
		}))
	}
	return p
}
