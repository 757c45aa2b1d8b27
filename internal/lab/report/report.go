// Package report writes what an experiment came to as one self-contained page, with its plots also as PNG files.
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
var page string

// figure is one plot as the page shows it.
type figure struct {
	Title, File string
	Data        template.URL
}

// Write writes index.html and the plots to a folder, which it makes, and gives the page's path. The first result is
// the one that the page is about; the others are beside it for comparison.
func Write(dir string, s *scenario.Scenario, results []*ledger.Result) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	var figures []figure
	add := func(title, file string, p *plot.Plot) error {
		f, err := render(dir, title, file, p)
		if err == nil {
			figures = append(figures, f)
		}
		return err
	}
	r := results[0]
	for i, c := range s.Categories {
		if err := add("Ops of "+c.Name+" a second", fmt.Sprintf("ops-%d.png", i), ops(r, s, i)); err != nil {
			return "", err
		}
	}
	for _, f := range []struct {
		title, file string
		plot        *plot.Plot
	}{
		{"Latency from the intended send", "latency.png", latency(r, s)},
		{"Core time whose answer reached nobody", "wasted.png", wasted(r, s)},
		{"Rate that the throttles let pass at the cut, at node 0", "rate.png", throttles(r, false)},
		{"Cut of the throttles (level of benefit), at node 0", "cut.png", throttles(r, true)},
		{"Served benefit over time, by policy", "policies.png", policies(results)},
	} {
		if err := add(f.title, f.file, f.plot); err != nil {
			return "", err
		}
	}
	t, err := template.New("page").Parse(page)
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	if err := t.Execute(&out, map[string]any{"S": s, "R": r, "All": results, "Figures": figures}); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "index.html")
	return path, os.WriteFile(path, out.Bytes(), 0o644)
}

const width, height = 18 * vg.Centimeter, 6 * vg.Centimeter

func render(dir, title, file string, p *plot.Plot) (figure, error) {
	p.Title.Text, p.X.Label.Text, p.X.Min = title, "seconds", 0
	p.Y.Min = min(0, p.Y.Min)
	p.Legend.Top = true
	p.Y.Max += (p.Y.Max - p.Y.Min) / 2 // room for the legend above the curves
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

// line adds one curve; an empty one is left out.
func line(p *plot.Plot, n int, name string, points plotter.XYs) {
	if len(points) == 0 {
		return
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return // a point that is no number
	}
	l.LineStyle = draw.LineStyle{Color: plotutil.Color(n), Width: vg.Points(1.2), Dashes: plotutil.Dashes(n / 7)}
	p.Add(l)
	p.Legend.Add(name, l)
}

// curve takes one figure of each bucket of a category, or of all with -1.
func curve(r *ledger.Result, category int, of func(*ledger.Bucket) float64) plotter.XYs {
	var out plotter.XYs
	for i := range r.Series {
		b := &r.Series[i]
		if category >= 0 && b.Category != category {
			continue
		}
		if n := len(out); n > 0 && out[n-1].X == b.AtMs/1000 {
			out[n-1].Y += of(b)
			continue
		}
		out = append(out, plotter.XY{X: b.AtMs / 1000, Y: of(b)})
	}
	return out
}

// perSecond is how many buckets make a second.
func perSecond(r *ledger.Result) float64 {
	for i := range r.Series {
		if r.Series[i].AtMs > 0 {
			return 1000 / r.Series[i].AtMs
		}
	}
	return 1
}

func ops(r *ledger.Result, s *scenario.Scenario, category int) *plot.Plot {
	p, scale := plot.New(), perSecond(r)
	for n, f := range []struct {
		name string
		of   func(*ledger.Bucket) float64
	}{
		{"offered", func(b *ledger.Bucket) float64 { return float64(b.Offered) * scale }},
		{"served", func(b *ledger.Bucket) float64 { return float64(b.Served) * scale }},
		{"nacked tries", func(b *ledger.Bucket) float64 { return float64(b.Nacked) * scale }},
	} {
		line(p, n, f.name, curve(r, category, f.of))
	}
	return p
}

func latency(r *ledger.Result, s *scenario.Scenario) *plot.Plot {
	p := plot.New()
	p.Y.Label.Text = "ms"
	for i, c := range s.Categories {
		line(p, 2*i, c.Name+" p50", curve(r, i, func(b *ledger.Bucket) float64 { return b.P50Ms }))
		line(p, 2*i+1, c.Name+" p99", curve(r, i, func(b *ledger.Bucket) float64 { return b.P99Ms }))
	}
	return p
}

func wasted(r *ledger.Result, s *scenario.Scenario) *plot.Plot {
	p, scale := plot.New(), perSecond(r)
	p.Y.Label.Text = "ms a second"
	for i, c := range s.Categories {
		line(p, i, c.Name, curve(r, i, func(b *ledger.Bucket) float64 { return b.WastedMs * scale }))
	}
	return p
}

// mostCurves is how many servers one plot shows; the rest would hide them.
const mostCurves = 10

func throttles(r *ledger.Result, cut bool) *plot.Plot {
	p := plot.New()
	servers := map[string]plotter.XYs{}
	for _, t := range r.Throttles {
		y := t.Rate
		if cut {
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
	for n, name := range names[:min(mostCurves, len(names))] {
		if dots, err := plotter.NewScatter(servers[name]); err == nil { // a throttle acts for a while, and not between
			dots.GlyphStyle = draw.GlyphStyle{Color: plotutil.Color(n), Radius: vg.Points(1.5), Shape: draw.CircleGlyph{}}
			p.Add(dots)
			p.Legend.Add(name, dots)
		}
	}
	if len(names) == 0 {
		p.Legend.Add("no throttle acted")
		p.X.Max, p.Y.Max = 1, 1
		p.BackgroundColor = color.White
	}
	return p
}

func policies(results []*ledger.Result) *plot.Plot {
	p := plot.New()
	names := []string{}
	for n, r := range results {
		if slices.Contains(names, r.Policy) {
			continue
		}
		names = append(names, r.Policy)
		line(p, n, r.Policy, curve(r, -1, func(b *ledger.Bucket) float64 { return b.Benefit * perSecond(r) }))
	}
	return p
}
