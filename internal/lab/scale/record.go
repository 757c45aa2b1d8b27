// Package scale measures what a part of the fleet costs at several sizes, keeps what was measured as small records, and works
// the page of capacity out from them. Real processes give processor time and memory; hollow nodes, many in this process, give the
// growth with their number.
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

// Kinds of node that a size was played with.
const (
	KindReal      = "real"   // processes of the program
	KindInProcess = "hollow" // the program's own parts without clients' and servers' sockets, many in a process
)

// Record is what was measured of one role with one kind of node.
type Record struct {
	Role        string       `json:"role"`
	Kind        string       `json:"kind"`
	Command     string       `json:"command"` // gives the figures again
	Cores       int          `json:"cores"`   // of the machine
	Points      []Point      `json:"points"`
	Predictions []Prediction `json:"predictions,omitempty"`
}

// Point is one play at one size.
type Point struct {
	Nodes         int                `json:"nodes"`
	Run           int                `json:"play"`
	Values        map[string]float64 `json:"values"`
	ClockSlowdown int                `json:"slowed,omitempty"` // all clocks of the play, by this factor; 0 and 1: real time
	VoidReason    string             `json:"void,omitempty"`   // why it does not count
}

// Prediction is what smaller sizes gave for a larger one, written down before it was played.
type Prediction struct {
	Nodes     int                `json:"nodes"`
	FromSizes []int              `json:"from"` // sizes
	Values    map[string]float64 `json:"values"`
}

// file is where a record stands in a directory.
func file(dir, role, kind string) string { return filepath.Join(dir, role+"-"+kind+".json") }

// Load reads a record; one that is not there yet is empty. A fault is one line that names the file.
func Load(dir, role, kind string) (*Record, error) {
	r := &Record{Role: role, Kind: kind}
	path := file(dir, role, kind)
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return r, nil
	}
	if err != nil {
		return nil, err
	}
	return r, r.parse(path, raw)
}

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

// All reads the records of a directory, by file name.
func LoadAll(dir string) ([]*Record, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	var all []*Record
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		r := &Record{}
		if err := r.parse(path, raw); err != nil {
			return nil, err
		}
		if want := filepath.Base(file(dir, r.Role, r.Kind)); want != filepath.Base(path) {
			return nil, fmt.Errorf("%s: holds role %s of %s nodes", path, r.Role, r.Kind)
		}
		all = append(all, r)
	}
	return all, nil
}

// Save writes the record, with what other runs have added to its file meanwhile.
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
	now, err := Load(dir, r.Role, r.Kind)
	if err != nil {
		return err
	}
	for _, p := range now.Points {
		if !slices.ContainsFunc(r.Points, func(own Point) bool { return own.Nodes == p.Nodes && own.Run == p.Run }) {
			r.Points = append(r.Points, p)
		}
	}
	for _, p := range now.Predictions {
		if !slices.ContainsFunc(r.Predictions, func(own Prediction) bool { return own.Nodes == p.Nodes }) {
			r.Predictions = append(r.Predictions, p)
		}
	}
	slices.SortStableFunc(r.Points, func(a, b Point) int { return cmp.Or(cmp.Compare(a.Nodes, b.Nodes), cmp.Compare(a.Run, b.Run)) })
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file(dir, r.Role, r.Kind), append(raw, '\n'), 0o644)
}

// Add takes a play in. One of the same size and number takes the place of the earlier.
func (r *Record) Add(p Point) {
	for i := range r.Points {
		if r.Points[i].Nodes == p.Nodes && r.Points[i].Run == p.Run {
			r.Points[i] = p
			return
		}
	}
	r.Points = append(r.Points, p)
}

// Predict writes down what the sizes below give for one, unless it was played or predicted before.
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
			p.Values[name] = round(fit.Value(float64(nodes)))
		}
	}
	r.Predictions = append(r.Predictions, p)
	return &r.Predictions[len(r.Predictions)-1]
}

// Sizes are those played, in order.
func (r *Record) Sizes(which func(nodes int) bool) (all []int) {
	for _, p := range r.Points {
		if p.VoidReason == "" && which(p.Nodes) && !slices.Contains(all, p.Nodes) {
			all = append(all, p.Nodes)
		}
	}
	slices.Sort(all)
	return all
}

// Names are those of the values, in order.
func (r *Record) ValueNames() (all []string) {
	for _, p := range r.Points {
		for name := range p.Values {
			if !slices.Contains(all, name) {
				all = append(all, name)
			}
		}
	}
	slices.Sort(all)
	return all
}

// At is the mean of a value at a size over its plays, and the spread: the least and the most.
func (r *Record) Stats(name string, nodes int) (mean, least, most float64, plays int) {
	least, most = math.Inf(1), math.Inf(-1)
	for _, p := range r.Points {
		if v, has := p.Values[name]; has && p.Nodes == nodes && p.VoidReason == "" {
			mean += v
			least, most = min(least, v), max(most, v)
			plays++
		}
	}
	return mean / float64(max(1, plays)), least, most, plays
}

// Fit is how a value grows with the number of nodes.
type GrowthFit struct {
	Form             string  // "constant", "logarithmic", "linear", "quadratic"
	Intercept, Slope float64 // A + B x f(nodes)
	MaxRelativeError float64 // largest distance from a size's mean, as a share of it
}

var forms = []struct {
	name string
	of   func(n float64) float64
}{
	{"constant", func(float64) float64 { return 0 }},
	{"logarithmic", math.Log},
	{"linear", func(n float64) float64 { return n }},
	{"quadratic", func(n float64) float64 { return n * n }},
}

// At is the value at a size.
func (f GrowthFit) Value(nodes float64) float64 {
	for _, form := range forms {
		if form.name == f.Form {
			return f.Intercept + f.Slope*form.of(nodes)
		}
	}
	return math.NaN()
}

// nearEnough is how far from every size's mean a simpler form may lie to be taken.
const nearEnough = 0.1

// Fit finds the simplest form that passes near every size's mean, or else the nearest.
func (r *Record) FitGrowth(name string, which func(nodes int) bool) (best GrowthFit, ok bool) {
	var xs, ys []float64
	for _, n := range r.Sizes(which) {
		if mean, _, _, plays := r.Stats(name, n); plays > 0 {
			xs, ys = append(xs, float64(n)), append(ys, mean)
		}
	}
	if len(xs) < 2 {
		return best, false
	}
	best.MaxRelativeError = math.Inf(1)
	for _, form := range forms {
		fit := GrowthFit{Form: form.name}
		fit.Intercept, fit.Slope = line(xs, ys, form.of)
		for i, x := range xs {
			fit.MaxRelativeError = max(fit.MaxRelativeError, math.Abs(fit.Value(x)-ys[i])/max(1e-9, math.Abs(ys[i])))
		}
		if fit.MaxRelativeError < best.MaxRelativeError {
			best = fit
		}
		if fit.MaxRelativeError <= nearEnough {
			return fit, true
		}
	}
	return best, true
}

// line is the least squares of y over of(x), each distance as a share of y, so that small sizes count like large ones.
func line(xs, ys []float64, of func(float64) float64) (a, b float64) {
	var w, wx, wy, wxx, wxy float64
	for i, x := range xs {
		weight := 1 / max(1e-18, ys[i]*ys[i])
		fx := of(x)
		w += weight
		wx += weight * fx
		wy += weight * ys[i]
		wxx += weight * fx * fx
		wxy += weight * fx * ys[i]
	}
	if d := w*wxx - wx*wx; math.Abs(d) > 1e-12*w*wxx {
		b = (w*wxy - wx*wy) / d
	}
	return (wy - b*wx) / w, b
}

// round keeps four digits: more would be noise.
func round(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	x, _ = strconv.ParseFloat(strconv.FormatFloat(x, 'g', 4, 64), 64)
	return x
}

// ParseSizes reads sizes such as 25,50,100.
func ValidateSizes(sizes []int, most int) error {
	for _, n := range sizes {
		if n < 1 || n > most {
			return fmt.Errorf("--nodes %d is not from 1 to %d", n, most)
		}
	}
	if len(sizes) == 0 {
		return errors.New("--nodes names no size")
	}
	return nil
}

// text writes a figure for a person.
func text(x float64) string {
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
