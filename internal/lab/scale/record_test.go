package scale

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// sampleRecord returns a record with three runs at each of four sizes; the values follow growth with some noise.
func sampleRecord(growth func(n float64) float64) *Record {
	record := &Record{Role: "members", Kind: KindInProcess}
	for _, n := range []int{25, 50, 100, 200} {
		for run := 1; run <= 3; run++ {
			noise := 1 + 0.03*float64(run-2)
			record.Add(Point{Nodes: n, Run: run, Values: map[string]float64{"calm_bytes": growth(float64(n)) * noise}})
		}
	}
	return record
}

// FitGrowth finds the form of the growth. A prediction for a larger size does not change once that size is measured, and a
// size that is measured already gets no prediction.
func TestGrowthForms(t *testing.T) {
	for want, growth := range map[string]func(float64) float64{
		"constant":    func(float64) float64 { return 500 },
		"logarithmic": func(n float64) float64 { return 100 + 400*math.Log(n) },
		"linear":      func(n float64) float64 { return 300 + 20*n },
		"quadratic":   func(n float64) float64 { return 50 + n*n },
	} {
		r := sampleRecord(growth)
		fit, ok := r.FitGrowth("calm_bytes", func(int) bool { return true })
		if !ok || fit.Form != want || math.Abs(fit.Value(900)/growth(900)-1) > 0.02 {
			t.Errorf("%s: found %+v, %.0f at 900, want %.0f", want, fit, fit.Value(900), growth(900))
		}
		prediction := r.Predict(900)
		if prediction == nil || math.Abs(prediction.Values["calm_bytes"]/growth(900)-1) > 0.02 {
			t.Errorf("%s: predicted %+v", want, prediction)
		}
		r.Add(Point{Nodes: 900, Run: 1, Values: map[string]float64{"calm_bytes": 1}})
		if repeated := r.Predict(900); repeated == nil || repeated.Values["calm_bytes"] != prediction.Values["calm_bytes"] {
			t.Errorf("%s: the prediction has changed after the size was measured", want)
		}
		if later := r.Predict(901); later == nil || len(later.FromSizes) != 5 {
			t.Errorf("%s: %+v", want, later)
		}
	}
	if sampleRecord(func(float64) float64 { return 1 }).Predict(100) != nil {
		t.Error("a size that was measured already gets a prediction")
	}
}

// Saved records load unchanged. Two records that save to the same file lose nothing. The error for an invalid record is
// one line that names its file.
func TestRecords(t *testing.T) {
	dir := t.TempDir()
	first := sampleRecord(func(float64) float64 { return 5 })
	second := &Record{Role: "members", Kind: KindInProcess}
	second.Add(Point{Nodes: 400, Run: 1, Values: map[string]float64{"calm_bytes": 7}})
	second.Add(Point{Nodes: 400, Run: 2, VoidReason: "late"})
	for _, r := range []*Record{first, second} {
		if err := r.Save(dir); err != nil {
			t.Fatal(err)
		}
	}
	got, err := LoadAll(dir)
	if err != nil || len(got) != 1 || len(got[0].Points) != 14 {
		t.Fatalf("%v, %+v", err, got)
	}
	if sizes := joinSizes(got[0].Sizes(func(int) bool { return true })); sizes != "25, 50, 100, 200, 400" {
		t.Errorf("sizes %s", sizes)
	}
	if mean, _, _, runs := got[0].Stats("calm_bytes", 400); mean != 7 || runs != 1 {
		t.Errorf("a void run counts: %v of %d", mean, runs)
	}
	for name, raw := range map[string]string{"members-real.json": `{"role": "members"`, "list-real.json": `{"role":"list","kind":"some"}`,
		"path-real.json":    `{"role":"path","kind":"real","points":[{"nodes":0}]}`,
		"changes-real.json": `{"role":"changes","kind":"real","points":[{"nodes":5,"slowed":-1,"values":{"all_s":1}}]}`,
		"start-real.json":   `{"role":"path","kind":"real"}`} {
		bad := t.TempDir()
		if err := os.WriteFile(filepath.Join(bad, name), []byte(raw), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadAll(bad); err == nil || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// The capacity page in docs matches the records.
func TestPageMatchesRecords(t *testing.T) {
	records, err := LoadAll("../../../docs/capacity")
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile("../../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	want, err := ReplaceGenerated(string(raw), NewPage(records).Render())
	if err != nil {
		t.Fatal(err)
	}
	if want != string(raw) {
		t.Error("docs/CAPACITY.md differs from docs/capacity: canvaslab capacity --write docs/CAPACITY.md generates it again")
	}
	changed := strings.Replace(string(raw), "| Members |", "| Numbers |", 1)
	if regenerated, _ := ReplaceGenerated(changed, NewPage(records).Render()); changed == string(raw) || regenerated == changed {
		t.Error("a changed page is not detected")
	}
	if _, err := ReplaceGenerated("no marks", ""); err == nil {
		t.Error("a page without marks is accepted")
	}
}

// The table marks a figure above its budget, and OverBudget lists it.
func TestBudgets(t *testing.T) {
	r := sampleRecord(func(n float64) float64 { return 100 * n })
	p := NewPage([]*Record{r})
	table := p.Table()
	if !strings.Contains(table, "calm: **90000** bytes/s (worked out; 180000 at 1,800) **over 4096**") || len(p.OverBudget) != 1 {
		t.Errorf("%v: %s", p.OverBudget, table)
	}
	r = sampleRecord(func(float64) float64 { return 100 })
	if p = NewPage([]*Record{r}); !strings.Contains(p.Table(), "calm: **100** bytes/s (worked out; 100 at 1,800), under 4096") || len(p.OverBudget) != 0 {
		t.Errorf("%v", p.OverBudget)
	}
}
