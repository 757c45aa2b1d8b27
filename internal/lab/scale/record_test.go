package scale

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func made(of func(n float64) float64) *Record {
	r := &Record{Role: "members", Kind: KindInProcess}
	for _, n := range []int{25, 50, 100, 200} {
		for play := 1; play <= 3; play++ {
			noise := 1 + 0.03*float64(play-2)
			r.Add(Point{Nodes: n, Run: play, Values: map[string]float64{"calm_bytes": of(float64(n)) * noise}})
		}
	}
	return r
}

// The form is found, and what is predicted for a larger size stands in the record before that is played.
func TestForms(t *testing.T) {
	for want, of := range map[string]func(float64) float64{
		"constant":    func(float64) float64 { return 500 },
		"logarithmic": func(n float64) float64 { return 100 + 400*math.Log(n) },
		"linear":      func(n float64) float64 { return 300 + 20*n },
		"quadratic":   func(n float64) float64 { return 50 + n*n },
	} {
		r := made(of)
		fit, ok := r.FitGrowth("calm_bytes", func(int) bool { return true })
		if !ok || fit.Form != want || math.Abs(fit.Value(900)/of(900)-1) > 0.02 {
			t.Errorf("%s: found %+v, %.0f at 900, not %.0f", want, fit, fit.Value(900), of(900))
		}
		p := r.Predict(900)
		if p == nil || math.Abs(p.Values["calm_bytes"]/of(900)-1) > 0.02 {
			t.Errorf("%s: predicted %+v", want, p)
		}
		r.Add(Point{Nodes: 900, Run: 1, Values: map[string]float64{"calm_bytes": 1}})
		if again := r.Predict(900); again == nil || again.Values["calm_bytes"] != p.Values["calm_bytes"] {
			t.Errorf("%s: the prediction has changed once the size was played", want)
		}
		if late := r.Predict(901); late == nil || len(late.FromSizes) != 5 {
			t.Errorf("%s: %+v", want, late)
		}
	}
	if made(func(float64) float64 { return 1 }).Predict(100) != nil {
		t.Error("a size that was played is predicted after it")
	}
}

// Records come back as they were saved; two runs that save side by side lose nothing; a broken one is one line that names its file.
func TestRecords(t *testing.T) {
	dir := t.TempDir()
	one, other := made(func(float64) float64 { return 5 }), &Record{Role: "members", Kind: KindInProcess}
	other.Add(Point{Nodes: 400, Run: 1, Values: map[string]float64{"calm_bytes": 7}})
	other.Add(Point{Nodes: 400, Run: 2, VoidReason: "late"})
	for _, r := range []*Record{one, other} {
		if err := r.Save(dir); err != nil {
			t.Fatal(err)
		}
	}
	got, err := LoadAll(dir)
	if err != nil || len(got) != 1 || len(got[0].Points) != 14 {
		t.Fatalf("%v, %+v", err, got)
	}
	if sizes := list(got[0].Sizes(func(int) bool { return true })); sizes != "25, 50, 100, 200, 400" {
		t.Errorf("sizes %s", sizes)
	}
	if mean, _, _, plays := got[0].Stats("calm_bytes", 400); mean != 7 || plays != 1 {
		t.Errorf("a void play counts: %v of %d", mean, plays)
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

// The page in docs says what the records beside it say.
func TestPageAgrees(t *testing.T) {
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
		t.Error("docs/CAPACITY.md differs from docs/capacity: canvaslab capacity --write docs/CAPACITY.md makes it anew")
	}
	changed := strings.Replace(string(raw), "| Members |", "| Numbers |", 1)
	if again, _ := ReplaceGenerated(changed, NewPage(records).Render()); changed == string(raw) || again == changed {
		t.Error("a figure that drifts is not seen")
	}
	if _, err := ReplaceGenerated("no marks", ""); err == nil {
		t.Error("a page without marks is taken")
	}
}

// A budget that is passed is told as passed.
func TestBudgets(t *testing.T) {
	r := made(func(n float64) float64 { return 100 * n })
	p := NewPage([]*Record{r})
	table := p.Table()
	if !strings.Contains(table, "calm: **90000** bytes/s (worked out; 180000 at 1,800) **over 4096**") || len(p.OverBudget) != 1 {
		t.Errorf("%v: %s", p.OverBudget, table)
	}
	r = made(func(float64) float64 { return 100 })
	if p = NewPage([]*Record{r}); !strings.Contains(p.Table(), "calm: **100** bytes/s (worked out; 100 at 1,800), under 4096") || len(p.OverBudget) != 0 {
		t.Errorf("%v", p.OverBudget)
	}
}
