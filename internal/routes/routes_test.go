package routes

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
)

func one(pool PoolIndex) []WeightedPool { return []WeightedPool{{pool, 1}} }

func compile(t testing.TB, routes []Route) *Table {
	t.Helper()
	table, _, err := Compile(routes)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

var sample = []Route{
	{Name: "all", PathType: Prefix, Path: "/", Pools: one(0)},
	{Name: "book", PathType: Exact, Path: "/book", Pools: one(1)},
	{Name: "book tree", PathType: Prefix, Path: "/book", Pools: one(2)},
	{Name: "slot", PathType: Template, Path: "/book/{day}/slots", Pools: one(3)},
	{Name: "today", PathType: Template, Path: "/book/today/{what}", Pools: one(4)},
	{Name: "post", PathType: Exact, Path: "/book", Methods: []string{"POST"}, Pools: one(5)},
	{Name: "beta", PathType: Exact, Path: "/book", Headers: []HeaderMatch{{Name: "X-Beta", Value: "1"}}, Pools: one(6)},
	{Name: "host", Host: "a.example.org", PathType: Prefix, Path: "/book", Pools: one(7)},
	{Name: "below", Host: "*.example.org", PathType: Prefix, Path: "/", Pools: one(8)},
	{Name: "deeper", Host: "*.eu.example.org", PathType: Prefix, Path: "/", Pools: one(9)},
	{Name: "escape", PathType: Exact, Path: "/caf%C3%A9", Pools: one(10)},
	{Name: "slash", PathType: Exact, Path: "/end/", Pools: one(11)},
}

// The most specific route first: host, then path, then method, then headers.
func TestLookup(t *testing.T) {
	table := compile(t, sample)
	for _, c := range []struct{ host, method, path, beta, want string }{
		{"", "GET", "/", "", "all"},
		{"", "GET", "/elsewhere/x", "", "all"},
		{"", "GET", "/book", "", "book"},
		{"", "POST", "/book", "", "post"},
		{"", "GET", "/book", "1", "beta"},
		{"", "POST", "/book", "1", "post"}, // a method goes before headers
		{"", "GET", "/book", "1,1", "book"},
		{"", "GET", "/book/", "", "book tree"},
		{"", "GET", "/booking", "", "all"}, // a prefix is of whole segments
		{"", "GET", "/book/monday/slots", "", "slot"},
		{"", "GET", "/book/today/slots", "", "today"}, // plain segments on the left go first
		{"", "GET", "/book/monday/rooms", "", "book tree"},
		{"", "GET", "/book/today/slots/1", "", "book tree"},
		{"a.example.org", "GET", "/book/x", "", "host"},
		{"A.Example.ORG:8443", "GET", "/book", "", "host"},
		{"a.example.org.", "GET", "/book", "", "host"},
		{"a.example.org", "GET", "/other", "", "below"},
		{"b.c.example.org", "GET", "/book", "", "below"},
		{"x.eu.example.org", "GET", "/", "", "deeper"},
		{"example.org", "GET", "/book", "", "book"},
		{"[::1]", "GET", "/book", "", "book"},
		{"", "GET", "/caf%C3%A9", "", "escape"},
		{"", "GET", "/end/", "", "slash"},
		{"", "GET", "/end", "", "all"},
	} {
		q := Request{Host: c.host, Path: c.path, Method: c.method, Header: http.Header{}}
		if c.beta != "" {
			q.Header["X-Beta"] = strings.Split(c.beta, ",")
		}
		n, found, err := table.Lookup(&q)
		if err != nil || !found || table.Route(n).Name != c.want {
			t.Errorf("%+v: %v %v %q", c, err, found, table.Route(n).Name)
		}
	}
	none := compile(t, sample[1:2])
	if _, found, err := none.Lookup(&Request{Path: "/other", Method: "GET"}); found || err != nil {
		t.Errorf("found %v, %v", found, err)
	}
}

// What a server could read otherwise is refused; what is matched is what is sent.
func TestNoWayRound(t *testing.T) {
	table := compile(t, sample)
	for path, want := range map[string]error{
		"":                                   ErrNotAbsolute,
		"book":                               ErrNotAbsolute,
		"*":                                  ErrNotAbsolute,
		"/x/../book":                         ErrDotSegment,
		"/./book":                            ErrDotSegment,
		"/book/..":                           ErrDotSegment,
		"//book":                             ErrEmptySegment,
		"/book//x":                           ErrEmptySegment,
		"/%62ook":                            ErrBadEscape,
		"/%2e%2e/book":                       ErrBadEscape,
		"/x%2Fbook":                          ErrBadEscape,
		"/x%5Cbook":                          ErrBadEscape,
		"/book%00":                           ErrBadEscape,
		"/book%0a":                           ErrBadEscape,
		"/book%":                             ErrBadEscape,
		"/book%2":                            ErrBadEscape,
		"/book%zz":                           ErrBadEscape,
		`/x\book`:                            ErrBadByte,
		"/book\x00":                          ErrBadByte,
		"/caf\xc3\xa9":                       ErrBadByte,
		"/book?x":                            ErrBadByte,
		"/caf%c3%a9":                         ErrLowercaseEscape,
		strings.Repeat("/x", mostSegments+1): ErrTooManySegments,
	} {
		if _, _, err := table.Lookup(&Request{Path: path, Method: "GET"}); !errors.Is(err, want) {
			t.Errorf("%q: %v, want %v", path, err, want)
		}
	}
	for _, path := range []string{"/a%20b", "/a;b=1", "/...", "/.well-known", "/a/b.", "/%25"} {
		if err := ValidatePath(path); err != nil {
			t.Errorf("%q: %v", path, err)
		}
	}
}

func TestCompileErrors(t *testing.T) {
	for want, r := range map[string]Route{
		`route "": has no name`:      {PathType: Prefix, Path: "/", Pools: one(0)},
		"names no pool":              {Name: "x", Path: "/"},
		"weights add up to 0":        {Name: "x", Path: "/", Pools: []WeightedPool{{0, 0}}},
		`host "A"`:                   {Name: "x", Host: "A", Path: "/", Pools: one(0)},
		`host "a:80"`:                {Name: "x", Host: "a:80", Path: "/", Pools: one(0)},
		"begin with a slash":         {Name: "x", Path: "a", Pools: one(0)},
		"dot segment":                {Name: "x", Path: "/a/..", Pools: one(0)},
		"capital letters":            {Name: "x", Path: "/%c3", Pools: one(0)},
		`"{b" is neither`:            {Name: "x", PathType: Template, Path: "/a/{b", Pools: one(0)},
		"more than 8 names":          {Name: "x", PathType: Template, Path: strings.Repeat("/{a}", 9), Pools: one(0)},
		`header "x-beta" is not in`:  {Name: "x", Path: "/", Headers: []HeaderMatch{{Name: "x-beta"}}, Pools: one(0)},
		"there are two of that name": {Name: "all", Path: "/", Pools: one(0)},
	} {
		if _, _, err := Compile([]Route{sample[0], r}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

func TestShadows(t *testing.T) {
	beta := []HeaderMatch{{Name: "X-Beta", Value: "1"}}
	_, warnings, err := Compile([]Route{
		{Name: "a", Path: "/a", Methods: []string{"GET", "POST"}, Pools: one(0)},
		{Name: "b", Path: "/a", Methods: []string{"GET"}, Pools: one(0)},
		{Name: "c", Path: "/a", Headers: beta, Pools: one(0)},
		{Name: "d", Path: "/a", Pools: one(0)},
		{Name: "e", Path: "/a", Pools: one(0)},
		{Name: "f", Path: "/a", Host: "h", Pools: one(0)},
	})
	if err != nil || len(warnings) != 2 || !strings.Contains(string(warnings[0]), `"b" is never reached: "a"`) ||
		!strings.Contains(string(warnings[1]), `"e" is never reached: "d"`) {
		t.Errorf("%v %v", err, warnings)
	}
}

// While a share moves from one pool to the other, each caller moves once, and the split is what the weights say.
func TestShares(t *testing.T) {
	const callers = 20000
	moved := make([]bool, callers)
	for percent := uint32(0); percent <= 100; percent += 5 {
		table := compile(t, []Route{{Name: "canary", Path: "/", PathType: Prefix, Pools: []WeightedPool{{1, 100 - percent}, {2, percent}}}})
		n := 0
		for i := range callers {
			there := table.PickPool(0, fmt.Sprint("caller ", i)) == 2
			if moved[i] && !there {
				t.Fatalf("at %d%% caller %d goes back", percent, i)
			}
			if moved[i] = there; there {
				n++
			}
		}
		if off := float64(n)/callers - float64(percent)/100; math.Abs(off) > 0.015 {
			t.Errorf("at %d%%: %d of %d", percent, n, callers)
		}
	}
}

// many makes routes of all kinds, and requests that hit them.
func many(n int) (routes []Route, requests []Request) {
	for i := range n {
		r := Route{Name: fmt.Sprint("r", i), Pools: one(PoolIndex(i)), Host: []string{"", "api.example.org", "*.example.net"}[i%3]}
		q := Request{Host: []string{"x", "api.example.org:443", "a.example.net"}[i%3], Method: "GET", Header: http.Header{}}
		switch i % 4 {
		case 0:
			r.PathType, r.Path, q.Path = Exact, fmt.Sprintf("/service-%d/list", i), fmt.Sprintf("/service-%d/list", i)
		case 1:
			r.PathType, r.Path, q.Path = Template, fmt.Sprintf("/service-%d/{id}/slots", i), fmt.Sprintf("/service-%d/77/slots", i)
		default:
			r.PathType, r.Path, q.Path = Prefix, fmt.Sprintf("/service-%d", i), fmt.Sprintf("/service-%d/a/b", i)
		}
		routes, requests = append(routes, r), append(requests, q)
	}
	return routes, requests
}

func TestManyAndAllocations(t *testing.T) {
	routes, requests := many(1000)
	table := compile(t, routes)
	for i := range requests {
		if n, found, err := table.Lookup(&requests[i]); err != nil || !found || n != i {
			t.Fatalf("request %d: route %d, %v, %v", i, n, found, err)
		}
	}
	i := 0
	if got := testing.AllocsPerRun(1000, func() {
		n, _, _ := table.Lookup(&requests[i%1000])
		table.PickPool(n, "caller")
		i++
	}); got != 0 {
		t.Errorf("%v allocations a look-up", got)
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			routes, requests := many(n)
			table := compile(b, routes)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.Lookup(&requests[i%n])
			}
		})
	}
}

// FuzzLookup: a target that is matched is plain, and the route's own literal segments are found in it byte for byte.
func FuzzLookup(f *testing.F) {
	for _, path := range []string{"/book/today/slots", "/%62ook", "/x/../book", "/book//", "/caf%C3%A9", "/a%2fb", "/book/%2e"} {
		f.Add("a.example.org:80", path, "GET")
	}
	table, _, err := Compile(sample)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, host, path, method string) {
		n, found, err := table.Lookup(&Request{Host: host, Path: path, Method: method})
		if err != nil || !found {
			return
		}
		r := table.Route(n)
		switch r.PathType {
		case Exact:
			if path != r.Path {
				t.Errorf("%q matched as %q", path, r.Path)
			}
		case Prefix:
			if p := strings.TrimSuffix(r.Path, "/"); path != p && !strings.HasPrefix(path, p+"/") {
				t.Errorf("%q matched as prefix %q", path, r.Path)
			}
		case Template:
			if strings.Count(path, "/") != strings.Count(r.Path, "/") {
				t.Errorf("%q matched as %q", path, r.Path)
			}
		}
		if strings.Contains(path, "/../") || strings.HasSuffix(path, "/..") || strings.Contains(strings.ToLower(path), "%2e") {
			t.Errorf("%q matched", path)
		}
	})
}
