package routes

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
)

func singlePool(pool PoolIndex) []WeightedPool { return []WeightedPool{{pool, 1}} }

func compile(t testing.TB, routes []Route) *Table {
	t.Helper()
	table, _, err := Compile(routes)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

var sampleRoutes = []Route{
	{Name: "all", PathType: Prefix, Path: "/", Pools: singlePool(0)},
	{Name: "book", PathType: Exact, Path: "/book", Pools: singlePool(1)},
	{Name: "book tree", PathType: Prefix, Path: "/book", Pools: singlePool(2)},
	{Name: "slot", PathType: Template, Path: "/book/{day}/slots", Pools: singlePool(3)},
	{Name: "today", PathType: Template, Path: "/book/today/{what}", Pools: singlePool(4)},
	{Name: "post", PathType: Exact, Path: "/book", Methods: []string{"POST"}, Pools: singlePool(5)},
	{Name: "beta", PathType: Exact, Path: "/book", Headers: []HeaderMatch{{Name: "X-Beta", Value: "1"}}, Pools: singlePool(6)},
	{Name: "host", Host: "a.example.org", PathType: Prefix, Path: "/book", Pools: singlePool(7)},
	{Name: "below", Host: "*.example.org", PathType: Prefix, Path: "/", Pools: singlePool(8)},
	{Name: "deeper", Host: "*.eu.example.org", PathType: Prefix, Path: "/", Pools: singlePool(9)},
	{Name: "escape", PathType: Exact, Path: "/caf%C3%A9", Pools: singlePool(10)},
	{Name: "slash", PathType: Exact, Path: "/end/", Pools: singlePool(11)},
}

// TestLookup checks that the most specific route is found: by host, then path, then method, then headers.
func TestLookup(t *testing.T) {
	table := compile(t, sampleRoutes)
	for _, c := range []struct{ host, method, path, beta, want string }{
		{"", "GET", "/", "", "all"},
		{"", "GET", "/elsewhere/x", "", "all"},
		{"", "GET", "/book", "", "book"},
		{"", "POST", "/book", "", "post"},
		{"", "GET", "/book", "1", "beta"},
		{"", "POST", "/book", "1", "post"}, // a method has precedence over headers
		{"", "GET", "/book", "1,1", "book"},
		{"", "GET", "/book/", "", "book tree"},
		{"", "GET", "/booking", "", "all"}, // a prefix matches whole segments only
		{"", "GET", "/book/monday/slots", "", "slot"},
		{"", "GET", "/book/today/slots", "", "today"}, // a literal further left has precedence
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
		request := Request{Host: c.host, Path: c.path, Method: c.method, Header: http.Header{}}
		if c.beta != "" {
			request.Header["X-Beta"] = strings.Split(c.beta, ",")
		}
		index, found, err := table.Lookup(&request)
		if err != nil || !found || table.Route(index).Name != c.want {
			t.Errorf("%+v: %v %v %q", c, err, found, table.Route(index).Name)
		}
	}
	partial := compile(t, sampleRoutes[1:2])
	if _, found, err := partial.Lookup(&Request{Path: "/other", Method: "GET"}); found || err != nil {
		t.Errorf("found %v, %v", found, err)
	}
}

// TestAmbiguousPaths checks that paths are rejected by which a client could bypass a route, because a server may
// interpret them differently, and that unusual but unambiguous paths are accepted.
func TestAmbiguousPaths(t *testing.T) {
	table := compile(t, sampleRoutes)
	for path, want := range map[string]error{
		"":                                  ErrNotAbsolute,
		"book":                              ErrNotAbsolute,
		"*":                                 ErrNotAbsolute,
		"/x/../book":                        ErrDotSegment,
		"/./book":                           ErrDotSegment,
		"/book/..":                          ErrDotSegment,
		"//book":                            ErrEmptySegment,
		"/book//x":                          ErrEmptySegment,
		"/%62ook":                           ErrBadEscape,
		"/%2e%2e/book":                      ErrBadEscape,
		"/x%2Fbook":                         ErrBadEscape,
		"/x%5Cbook":                         ErrBadEscape,
		"/book%00":                          ErrBadEscape,
		"/book%0a":                          ErrBadEscape,
		"/book%":                            ErrBadEscape,
		"/book%2":                           ErrBadEscape,
		"/book%zz":                          ErrBadEscape,
		`/x\book`:                           ErrBadByte,
		"/book\x00":                         ErrBadByte,
		"/caf\xc3\xa9":                      ErrBadByte,
		"/book?x":                           ErrBadByte,
		"/caf%c3%a9":                        ErrLowercaseEscape,
		strings.Repeat("/x", maxSegments+1): ErrTooManySegments,
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

// TestCompileErrors checks that each kind of invalid route is rejected with an error that names the problem.
func TestCompileErrors(t *testing.T) {
	for want, route := range map[string]Route{
		`route "": the name is missing`: {PathType: Prefix, Path: "/", Pools: singlePool(0)},
		"no pool is given":              {Name: "x", Path: "/"},
		"weights add up to 0":           {Name: "x", Path: "/", Pools: []WeightedPool{{0, 0}}},
		`host "A"`:                      {Name: "x", Host: "A", Path: "/", Pools: singlePool(0)},
		`host "a:80"`:                   {Name: "x", Host: "a:80", Path: "/", Pools: singlePool(0)},
		"begin with a slash":            {Name: "x", Path: "a", Pools: singlePool(0)},
		"dot segment":                   {Name: "x", Path: "/a/..", Pools: singlePool(0)},
		"escapes must be in upper case": {Name: "x", Path: "/%c3", Pools: singlePool(0)},
		`"{b" is neither`:               {Name: "x", PathType: Template, Path: "/a/{b", Pools: singlePool(0)},
		"more than 8 parameters":        {Name: "x", PathType: Template, Path: strings.Repeat("/{a}", 9), Pools: singlePool(0)},
		`header "x-beta" is not in`:     {Name: "x", Path: "/", Headers: []HeaderMatch{{Name: "x-beta"}}, Pools: singlePool(0)},
		"the name is used twice":        {Name: "all", Path: "/", Pools: singlePool(0)},
	} {
		if _, _, err := Compile([]Route{sampleRoutes[0], route}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// TestUnreachableRoutes checks that a route gets a warning if an earlier one matches all its requests.
func TestUnreachableRoutes(t *testing.T) {
	beta := []HeaderMatch{{Name: "X-Beta", Value: "1"}}
	_, warnings, err := Compile([]Route{
		{Name: "a", Path: "/a", Methods: []string{"GET", "POST"}, Pools: singlePool(0)},
		{Name: "b", Path: "/a", Methods: []string{"GET"}, Pools: singlePool(0)},
		{Name: "c", Path: "/a", Headers: beta, Pools: singlePool(0)},
		{Name: "d", Path: "/a", Pools: singlePool(0)},
		{Name: "e", Path: "/a", Pools: singlePool(0)},
		{Name: "f", Path: "/a", Host: "h", Pools: singlePool(0)},
	})
	if err != nil || len(warnings) != 2 || !strings.Contains(string(warnings[0]), `"b" is unreachable: route "a"`) ||
		!strings.Contains(string(warnings[1]), `"e" is unreachable: route "d"`) {
		t.Errorf("%v %v", err, warnings)
	}
}

// TestWeightedPools checks that callers are split as the weights say, and that no caller returns to the first pool while
// the weight of the second one grows.
func TestWeightedPools(t *testing.T) {
	const callers = 20000
	inSecondPool := make([]bool, callers)
	for percent := uint32(0); percent <= 100; percent += 5 {
		table := compile(t, []Route{{Name: "canary", Path: "/", PathType: Prefix, Pools: []WeightedPool{{1, 100 - percent}, {2, percent}}}})
		count := 0
		for i := range callers {
			isSecond := table.PickPool(0, fmt.Sprint("caller ", i)) == 2
			if inSecondPool[i] && !isSecond {
				t.Fatalf("at %d%% caller %d returns to the first pool", percent, i)
			}
			inSecondPool[i] = isSecond
			if isSecond {
				count++
			}
		}
		if deviation := float64(count)/callers - float64(percent)/100; math.Abs(deviation) > 0.015 {
			t.Errorf("at %d%%: %d of %d callers in the second pool", percent, count, callers)
		}
	}
}

// generateRoutes returns n routes of all path types, and for each a request that matches it.
func generateRoutes(n int) (routes []Route, requests []Request) {
	for i := range n {
		route := Route{Name: fmt.Sprint("r", i), Pools: singlePool(PoolIndex(i)), Host: []string{"", "api.example.org", "*.example.net"}[i%3]}
		request := Request{Host: []string{"x", "api.example.org:443", "a.example.net"}[i%3], Method: "GET", Header: http.Header{}}
		switch i % 4 {
		case 0:
			route.PathType = Exact
			route.Path = fmt.Sprintf("/service-%d/list", i)
			request.Path = fmt.Sprintf("/service-%d/list", i)
		case 1:
			route.PathType = Template
			route.Path = fmt.Sprintf("/service-%d/{id}/slots", i)
			request.Path = fmt.Sprintf("/service-%d/77/slots", i)
		default:
			route.PathType = Prefix
			route.Path = fmt.Sprintf("/service-%d", i)
			request.Path = fmt.Sprintf("/service-%d/a/b", i)
		}
		routes = append(routes, route)
		requests = append(requests, request)
	}
	return routes, requests
}

// TestLookupManyRoutesWithoutAllocation checks that each of many routes is found, without allocation.
func TestLookupManyRoutesWithoutAllocation(t *testing.T) {
	routes, requests := generateRoutes(1000)
	table := compile(t, routes)
	for i := range requests {
		if index, found, err := table.Lookup(&requests[i]); err != nil || !found || index != i {
			t.Fatalf("request %d: route %d, %v, %v", i, index, found, err)
		}
	}
	i := 0
	if allocations := testing.AllocsPerRun(1000, func() {
		index, _, _ := table.Lookup(&requests[i%1000])
		table.PickPool(index, "caller")
		i++
	}); allocations != 0 {
		t.Errorf("%v allocations per lookup", allocations)
	}
}

// BenchmarkLookup measures lookups in tables of several sizes.
func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			routes, requests := generateRoutes(n)
			table := compile(b, routes)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.Lookup(&requests[i%n])
			}
		})
	}
}

// FuzzLookup checks that a path that matches is unambiguous, and that it fits the path of the matched route byte for
// byte.
func FuzzLookup(f *testing.F) {
	for _, path := range []string{"/book/today/slots", "/%62ook", "/x/../book", "/book//", "/caf%C3%A9", "/a%2fb", "/book/%2e"} {
		f.Add("a.example.org:80", path, "GET")
	}
	table, _, err := Compile(sampleRoutes)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, host, path, method string) {
		index, found, err := table.Lookup(&Request{Host: host, Path: path, Method: method})
		if err != nil || !found {
			return
		}
		route := table.Route(index)
		switch route.PathType {
		case Exact:
			if path != route.Path {
				t.Errorf("%q matched as %q", path, route.Path)
			}
		case Prefix:
			if p := strings.TrimSuffix(route.Path, "/"); path != p && !strings.HasPrefix(path, p+"/") {
				t.Errorf("%q matched as prefix %q", path, route.Path)
			}
		case Template:
			if strings.Count(path, "/") != strings.Count(route.Path, "/") {
				t.Errorf("%q matched as %q", path, route.Path)
			}
		}
		if strings.Contains(path, "/../") || strings.HasSuffix(path, "/..") || strings.Contains(strings.ToLower(path), "%2e") {
			t.Errorf("%q matched", path)
		}
	})
}
