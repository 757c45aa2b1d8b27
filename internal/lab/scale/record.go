// Package scale measures what each part of a fleet costs at several numbers of nodes, stores the measurements as small
// records, and generates the capacity page from them. Real processes give the processor time and memory. Many in-process
// nodes ("hollow" in the records) give the growth with the number of nodes.
package scale

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
)

// Kinds of nodes of a measurement.
const (
	KindReal      = "real"   // processes of the program
	KindInProcess = "hollow" // the program's code without sockets for clients and servers, many nodes in one process
)

// Record holds the measurements of one role with one kind of node.
type Record struct {
	Role        string       `json:"role"`
	Kind        string       `json:"kind"`
	Command     string       `json:"command"` // reproduces the figures
	Cores       int          `json:"cores"`   // of the machine
	Points      []Point      `json:"points"`
	Predictions []Prediction `json:"predictions,omitempty"`
}

// Point is one run of a measurement at one size.
type Point struct {
	Nodes         int                `json:"nodes"`
	Run           int                `json:"play"`
	Values        map[string]float64 `json:"values"`
	ClockSlowdown int                `json:"slowed,omitempty"` // factor by which all clocks of the run were slowed; 0 and 1: real time
	VoidReason    string             `json:"void,omitempty"`   // why the run does not count; "": it counts
}

// Prediction holds the values that smaller sizes predict for a larger one, recorded before that size was measured.
type Prediction struct {
	Nodes     int                `json:"nodes"`
	FromSizes []int              `json:"from"`
	Values    map[string]float64 `json:"values"`
}

// recordPath returns the path of a record in a directory.
func recordPath(dir, role, kind string) string { return filepath.Join(dir, role+"-"+kind+".json") }

// Load reads a record; if there is none yet, it returns an empty one. An error is one line that names the file.
func Load(dir, role, kind string) (*Record, error) {
	r := &Record{Role: role, Kind: kind}
	path := recordPath(dir, role, kind)
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return r, nil
	}
	if err != nil {
		return nil, err
	}
	return r, r.parse(path, raw)
}

// parse decodes and checks a record.
func (r *Record) parse(path string, raw []byte) error {
	if err := json.Unmarshal(raw, r); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if r.Role == "" || r.Kind != KindReal && r.Kind != KindInProcess {
		return fmt.Errorf("%s: no record: role %q, kind %q", path, r.Role, r.Kind)
	}
	for _, p := range r.Points {
		if p.Nodes < 1 || p.ClockSlowdown < 0 || p.VoidReason == "" && len(p.Values) == 0 {
			return fmt.Errorf("%s: a point of %d nodes, clocks slowed by %d, has no values", path, p.Nodes, p.ClockSlowdown)
		}
	}
	return nil
}

// LoadAll reads all records of a directory, in the order of their file names.
func LoadAll(dir string) ([]*Record, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	var records []*Record
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		r := &Record{}
		if err := r.parse(path, raw); err != nil {
			return nil, err
		}
		if want := filepath.Base(recordPath(dir, r.Role, r.Kind)); want != filepath.Base(path) {
			return nil, fmt.Errorf("%s: holds role %s of %s nodes", path, r.Role, r.Kind)
		}
		records = append(records, r)
	}
	return records, nil
}

// Save writes the record. Points and predictions that other processes have added to the file meanwhile are kept; a lock on
// the directory serializes concurrent calls.
func (r *Record) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	lock, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return err
	}
	saved, err := Load(dir, r.Role, r.Kind)
	if err != nil {
		return err
	}
	for _, p := range saved.Points {
		if !slices.ContainsFunc(r.Points, func(own Point) bool { return own.Nodes == p.Nodes && own.Run == p.Run }) {
			r.Points = append(r.Points, p)
		}
	}
	for _, p := range saved.Predictions {
		if !slices.ContainsFunc(r.Predictions, func(own Prediction) bool { return own.Nodes == p.Nodes }) {
			r.Predictions = append(r.Predictions, p)
		}
	}
	slices.SortStableFunc(r.Points, func(a, b Point) int { return cmp.Or(cmp.Compare(a.Nodes, b.Nodes), cmp.Compare(a.Run, b.Run)) })
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(recordPath(dir, r.Role, r.Kind), append(raw, '\n'), 0o644)
}

// Add adds a run. It replaces an earlier run with the same size and number.
func (r *Record) Add(p Point) {
	for i := range r.Points {
		if r.Points[i].Nodes == p.Nodes && r.Points[i].Run == p.Run {
			r.Points[i] = p
			return
		}
	}
	r.Points = append(r.Points, p)
}

// Predict returns the prediction for a size. Unless there is one already, it is computed from the smaller sizes and
// recorded. It returns nil if fewer than three smaller sizes were measured, or if the size itself was measured before.
func (r *Record) Predict(nodes int) *Prediction {
	for i := range r.Predictions {
		if r.Predictions[i].Nodes == nodes {
			return &r.Predictions[i]
		}
	}
	sizes := r.Sizes(func(n int) bool { return n < nodes })
	if len(sizes) < 3 || slices.ContainsFunc(r.Points, func(p Point) bool { return p.Nodes == nodes && p.VoidReason == "" }) {
		return nil
	}
	p := Prediction{Nodes: nodes, FromSizes: sizes, Values: map[string]float64{}}
	for _, name := range r.ValueNames() {
		if fit, ok := r.FitGrowth(name, func(n int) bool { return n < nodes }); ok {
			p.Values[name] = roundFigure(fit.Value(float64(nodes)))
		}
	}
	r.Predictions = append(r.Predictions, p)
	return &r.Predictions[len(r.Predictions)-1]
}

// Sizes returns the measured sizes that include selects, in order.
func (r *Record) Sizes(include func(nodes int) bool) (sizes []int) {
	for _, p := range r.Points {
		if p.VoidReason == "" && include(p.Nodes) && !slices.Contains(sizes, p.Nodes) {
			sizes = append(sizes, p.Nodes)
		}
	}
	slices.Sort(sizes)
	return sizes
}

// ValueNames returns the names of all values, in order.
func (r *Record) ValueNames() (names []string) {
	for _, p := range r.Points {
		for name := range p.Values {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// Stats returns the mean, the lowest and the highest of a value over the runs at a size, and the number of these runs.
func (r *Record) Stats(name string, nodes int) (mean, lowest, highest float64, runs int) {
	lowest = math.Inf(1)
	highest = math.Inf(-1)
	for _, p := range r.Points {
		if v, has := p.Values[name]; has && p.Nodes == nodes && p.VoidReason == "" {
			mean += v
			lowest = min(lowest, v)
			highest = max(highest, v)
			runs++
		}
	}
	return mean / float64(max(1, runs)), lowest, highest, runs
}

// GrowthFit describes how a value grows with the number of nodes.
type GrowthFit struct {
	Form             string  // "constant", "logarithmic", "linear", "quadratic"
	Intercept, Slope float64 // the value is Intercept + Slope * f(nodes), where f depends on Form
	MaxRelativeError float64 // largest deviation from the mean at a size, as a share of it
}

// growthForms are the forms of growth, from the simplest on.
var growthForms = []struct {
	name string
	of   func(n float64) float64
}{
	{"constant", func(float64) float64 { return 0 }},
	{"logarithmic", math.Log},
	{"linear", func(n float64) float64 { return n }},
	{"quadratic", func(n float64) float64 { return n * n }},
}

// Value returns the fitted value at a size.
func (f GrowthFit) Value(nodes float64) float64 {
	for _, form := range growthForms {
		if form.name == f.Form {
			return f.Intercept + f.Slope*form.of(nodes)
		}
	}
	return math.NaN()
}

// maxFormError is the largest relative error with which a simpler form is preferred to a better fitting one.
const maxFormError = 0.1

// FitGrowth finds the simplest form whose error is at most maxFormError at every size, or else the form with the smallest
// error. Only sizes that include selects count.
func (r *Record) FitGrowth(name string, include func(nodes int) bool) (best GrowthFit, ok bool) {
	var xs, ys []float64
	for _, n := range r.Sizes(include) {
		if mean, _, _, runs := r.Stats(name, n); runs > 0 {
			xs = append(xs, float64(n))
			ys = append(ys, mean)
		}
	}
	if len(xs) < 2 {
		return best, false
	}
	best.MaxRelativeError = math.Inf(1)
	for _, form := range growthForms {
		fit := GrowthFit{Form: form.name}
		fit.Intercept, fit.Slope = leastSquares(xs, ys, form.of)
		for i, x := range xs {
			fit.MaxRelativeError = max(fit.MaxRelativeError, math.Abs(fit.Value(x)-ys[i])/max(1e-9, math.Abs(ys[i])))
		}
		if fit.MaxRelativeError < best.MaxRelativeError {
			best = fit
		}
		if fit.MaxRelativeError <= maxFormError {
			return fit, true
		}
	}
	return best, true
}

// leastSquares fits y = intercept + slope * transform(x) with the least sum of squared relative errors. With relative
// errors, small sizes count as much as large ones.
func leastSquares(xs, ys []float64, transform func(float64) float64) (intercept, slope float64) {
	var sumW, sumWX, sumWY, sumWXX, sumWXY float64
	for i, x := range xs {
		weight := 1 / max(1e-18, ys[i]*ys[i])
		transformed := transform(x)
		sumW += weight
		sumWX += weight * transformed
		sumWY += weight * ys[i]
		sumWXX += weight * transformed * transformed
		sumWXY += weight * transformed * ys[i]
	}
	if determinant := sumW*sumWXX - sumWX*sumWX; math.Abs(determinant) > 1e-12*sumW*sumWXX {
		slope = (sumW*sumWXY - sumWX*sumWY) / determinant
	}
	return (sumWY - slope*sumWX) / sumW, slope
}

// roundFigure rounds to four significant digits, as further ones would be noise. It returns 0 for what is no finite
// number.
func roundFigure(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	x, _ = strconv.ParseFloat(strconv.FormatFloat(x, 'g', 4, 64), 64)
	return x
}

// ValidateSizes checks the sizes given on the command line.
func ValidateSizes(sizes []int, maximum int) error {
	for _, n := range sizes {
		if n < 1 || n > maximum {
			return fmt.Errorf("--nodes %d is not from 1 to %d", n, maximum)
		}
	}
	if len(sizes) == 0 {
		return errors.New("--nodes names no size")
	}
	return nil
}

// formatFigure formats a figure for the page, with at most three decimals.
func formatFigure(x float64) string {
	switch {
	case x == 0:
		return "0"
	case math.Abs(x) >= 100:
		return fmt.Sprintf("%.0f", x)
	case math.Abs(x) >= 10:
		return fmt.Sprintf("%.1f", x)
	}
	return strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.3f", x), "0"), ".")
}
