// Package routes says which pool an op goes to: by host, path, method and headers, the most specific route first. It is
// compiled once and looked up without allocation, and it does no I/O.
//
// A request is matched by the bytes of its target as they go on to the server. A target that a server could read
// otherwise than this package does (dot segments, empty segments, escapes of characters that need none) is refused, so
// that no route can be got round.
package routes

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Pool is a pool's place in the configuration.
type PoolIndex uint16

// Kind says how a route's path is compared.
type PathType uint8

const (
	Exact    PathType = iota // the whole path
	Template                 // as many segments, {name} for any one
	Prefix                   // whole segments at the front; "/" is every path
)

func (k PathType) String() string { return [...]string{"exact", "template", "prefix"}[k] }

// Header is a condition on one header.
type HeaderMatch struct {
	Name     string // in canonical form
	Value    string // equal to the one value; of a header that is given twice neither counts
	AnyValue bool   // it is enough that it is there
}

// Share is a pool's part of a route.
type WeightedPool struct {
	Pool   PoolIndex
	Weight uint32 // of the sum of the route's weights
}

// Route is one line of the configuration.
type Route struct {
	Name     string
	Host     string // lower case, no port; "*.example.org" is any host below; "" is any
	PathType PathType
	Path     string
	Methods  []string // none: any
	Headers  []HeaderMatch
	Pools    []WeightedPool // in the order in which callers fill them; at least one
	Mirror   *PoolIndex     // gets a copy of reads, whose answer is thrown away
}

// Request is what is matched.
type Request struct {
	Host, Path, Method string // as they came; the path without its query
	Header             http.Header
}

// Table is a set of routes, ready to be looked up. It never changes and may be used from any goroutine.
type Table struct {
	routes  []Route
	sums    []uint32 // of each route's weights
	hosts   map[string]*branch
	suffix  map[string]*branch // of "*.example.org", by "example.org"
	any     *branch
	escaped bool // a path has an escape, so that their letters' case matters
}

// branch is a place in the tree of path segments. Routes that end in one place are tried in their order.
type branch struct {
	next   map[string]*branch
	param  *branch
	exact  []int32 // routes
	prefix []int32
}

const (
	mostSegments = 64 // of a request's path
	mostParams   = 8  // of a template; each can cost a second look
)

// Warning is something that works and is hardly meant.
type Warning string

// Compile makes a table. An error names the route. A route that can never be reached is a warning.
func Compile(routes []Route) (*Table, []Warning, error) {
	t := &Table{routes: slices.Clone(routes), hosts: make(map[string]*branch), suffix: make(map[string]*branch), any: &branch{}}
	names := make(map[string]bool, len(routes))
	for i := range t.routes {
		r := &t.routes[i]
		if err := r.check(); err != nil {
			return nil, nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
		if names[r.Name] {
			return nil, nil, fmt.Errorf("route %q: there are two of that name", r.Name)
		}
		names[r.Name] = true
		t.escaped = t.escaped || strings.Contains(r.Path, "%")
		sum := uint32(0)
		for _, s := range r.Pools {
			sum += s.Weight
		}
		t.sums = append(t.sums, sum)
		t.place(r, int32(i))
	}
	var warnings []Warning
	for _, root := range t.roots() {
		t.order(root, &warnings)
	}
	return t, warnings, nil
}

func (t *Table) roots() []*branch {
	out := []*branch{t.any}
	for _, of := range []map[string]*branch{t.hosts, t.suffix} {
		names := make([]string, 0, len(of))
		for name := range of {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			out = append(out, of[name])
		}
	}
	return out
}

func (r *Route) check() error {
	host := strings.TrimPrefix(r.Host, "*.")
	switch {
	case r.Name == "":
		return errors.New("has no name")
	case strings.ToLower(host) != host || strings.ContainsAny(host, ":/*"):
		return fmt.Errorf("host %q is not in lower case, or has a port or a star inside", r.Host)
	case len(r.Pools) == 0:
		return errors.New("names no pool")
	}
	whole := uint64(0)
	for _, s := range r.Pools {
		whole += uint64(s.Weight)
	}
	if whole == 0 || whole > 1<<31 {
		return fmt.Errorf("its weights add up to %d", whole)
	}
	path := r.Path
	if r.PathType == Template {
		params := 0
		for segment := range strings.SplitSeq(path, "/") {
			switch {
			case strings.HasPrefix(segment, "{") && strings.HasSuffix(segment, "}") && len(segment) > 2:
				params++
			case strings.ContainsAny(segment, "{}"):
				return fmt.Errorf("path %q: %q is neither a {name} nor plain", r.Path, segment)
			}
		}
		if params > mostParams {
			return fmt.Errorf("path %q has more than %d names", r.Path, mostParams)
		}
		path = strings.NewReplacer("{", "", "}", "").Replace(path)
	}
	if err := ValidatePath(path); err != nil {
		return fmt.Errorf("path %q: %w", r.Path, err)
	}
	if strings.Contains(path, "%") && lowerEscape(path) {
		return fmt.Errorf("path %q: escapes are written with capital letters", r.Path)
	}
	for _, h := range r.Headers {
		if h.Name == "" || http.CanonicalHeaderKey(h.Name) != h.Name {
			return fmt.Errorf("header %q is not in its canonical form", h.Name)
		}
	}
	return nil
}

// place puts a route where its path ends.
func (t *Table) place(r *Route, number int32) {
	at := t.any
	if r.Host != "" {
		of, name := t.hosts, r.Host
		if below, wild := strings.CutPrefix(r.Host, "*."); wild {
			of, name = t.suffix, below
		}
		if of[name] == nil {
			of[name] = &branch{}
		}
		at = of[name]
	}
	path := r.Path[1:]
	if r.PathType == Prefix {
		path = strings.TrimSuffix(path, "/")
	}
	if path != "" || r.PathType != Prefix {
		for segment := range strings.SplitSeq(path, "/") {
			if r.PathType == Template && strings.HasPrefix(segment, "{") {
				if at.param == nil {
					at.param = &branch{}
				}
				at = at.param
				continue
			}
			if at.next == nil {
				at.next = make(map[string]*branch)
			}
			if at.next[segment] == nil {
				at.next[segment] = &branch{}
			}
			at = at.next[segment]
		}
	}
	if r.PathType == Prefix {
		at.prefix = append(at.prefix, number)
	} else {
		at.exact = append(at.exact, number)
	}
}

// order sorts the routes that end in one place: those with a method before those for any, more headers first, then as
// they stand in the file. Two that differ in nothing shadow one another.
func (t *Table) order(at *branch, warnings *[]Warning) {
	for _, list := range [][]int32{at.exact, at.prefix} {
		slices.SortStableFunc(list, func(a, b int32) int {
			x, y := &t.routes[a], &t.routes[b]
			if (len(x.Methods) > 0) != (len(y.Methods) > 0) {
				if len(x.Methods) > 0 {
					return -1
				}
				return 1
			}
			return len(y.Headers) - len(x.Headers)
		})
		for i, number := range list {
			for _, before := range list[:i] {
				if t.routes[before].covers(&t.routes[number]) {
					*warnings = append(*warnings, Warning(fmt.Sprintf("route %q is never reached: %q takes all that it would",
						t.routes[number].Name, t.routes[before].Name)))
					break
				}
			}
		}
	}
	if at.param != nil {
		t.order(at.param, warnings)
	}
	segments := make([]string, 0, len(at.next))
	for segment := range at.next {
		segments = append(segments, segment)
	}
	slices.Sort(segments)
	for _, segment := range segments {
		t.order(at.next[segment], warnings)
	}
}

// covers says that r takes every request that other would, both ending in one place.
func (r *Route) covers(other *Route) bool {
	if len(r.Methods) > 0 {
		if len(other.Methods) == 0 {
			return false
		}
		for _, m := range other.Methods {
			if !slices.Contains(r.Methods, m) {
				return false
			}
		}
	}
	for _, h := range r.Headers {
		if !slices.ContainsFunc(other.Headers, func(o HeaderMatch) bool { return o == h || h.AnyValue && o.Name == h.Name }) {
			return false
		}
	}
	return true
}

// Route gives a route by the number that Lookup gave.
func (t *Table) Route(number int) *Route { return &t.routes[number] }

// Len is how many routes there are.
func (t *Table) Len() int { return len(t.routes) }

// ErrPath says that a path is not matched, since a server may read it otherwise.
var (
	ErrNotAbsolute     = errors.New("the path does not begin with a slash")
	ErrDotSegment      = errors.New("the path has a dot segment")
	ErrEmptySegment    = errors.New("the path has an empty segment")
	ErrBadEscape       = errors.New("the path has an escape that is broken, or of a character that needs none or may not be there")
	ErrBadByte         = errors.New("the path has a byte that has no place in one")
	ErrTooManySegments = errors.New("the path has too many segments")
	ErrLowercaseEscape = errors.New("the path has an escape in small letters")
)

// Lookup finds the route of a request. found is false if none fits; err says why the request can't be matched at all,
// and is to be answered with a 400.
func (t *Table) Lookup(q *Request) (number int, found bool, err error) {
	if err := ValidatePath(q.Path); err != nil {
		return 0, false, err
	}
	if t.escaped && lowerEscape(q.Path) {
		return 0, false, ErrLowercaseEscape // Danger: it would pass by the route that is written with capitals
	}
	var buffer [maxHost]byte
	host := bare(q.Host, &buffer)
	if root := t.hosts[string(host)]; root != nil { // the compiler makes no string of it
		if n := t.walk(root, q.Path[1:], q); n >= 0 {
			return int(n), true, nil
		}
	}
	if len(t.suffix) > 0 {
		for rest := host; ; { // the longest suffix first
			dot := slices.Index(rest, '.')
			if dot < 0 {
				break
			}
			rest = rest[dot+1:]
			if root := t.suffix[string(rest)]; root != nil {
				if n := t.walk(root, q.Path[1:], q); n >= 0 {
					return int(n), true, nil
				}
			}
		}
	}
	if n := t.walk(t.any, q.Path[1:], q); n >= 0 {
		return int(n), true, nil
	}
	return 0, false, nil
}

// maxHost is the longest host name that there is.
const maxHost = 255

// bare is a host in small letters without its port and without a dot at its end. One that is too long is no host of
// ours.
func bare(host string, buffer *[maxHost]byte) []byte {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	if len(host) > maxHost {
		return nil
	}
	for i := range len(host) {
		c := host[i]
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		buffer[i] = c
	}
	return buffer[:len(host)]
}

// walk goes down the tree: a plain segment before a name, and what is longer before a prefix. It gives -1 if nothing
// fits.
func (t *Table) walk(at *branch, rest string, q *Request) int32 {
	segment, after, more := strings.Cut(rest, "/")
	for _, next := range [2]*branch{at.next[segment], at.param} {
		if next == nil || next == at.param && segment == "" {
			continue
		}
		if more {
			if n := t.walk(next, after, q); n >= 0 {
				return n
			}
			continue
		}
		if n := t.first(next.exact, q); n >= 0 {
			return n
		}
		if n := t.first(next.prefix, q); n >= 0 {
			return n
		}
	}
	return t.first(at.prefix, q)
}

// first is the first route of a place whose method and headers fit.
func (t *Table) first(list []int32, q *Request) int32 {
	for _, n := range list {
		r := &t.routes[n]
		if (len(r.Methods) == 0 || slices.Contains(r.Methods, q.Method)) && r.headersFit(q.Header) {
			return n
		}
	}
	return -1
}

func (r *Route) headersFit(header http.Header) bool {
	for i := range r.Headers {
		h := &r.Headers[i]
		// Danger: of a header that is given twice a server may take either.
		if values := header[h.Name]; len(values) != 1 || !h.AnyValue && values[0] != h.Value {
			return false
		}
	}
	return true
}

// Pick gives the pool of a caller. One caller stays with one pool while shares move: as the first pool's share shrinks,
// callers only leave it, and as it grows they only come back.
func (t *Table) PickPool(number int, caller string) PoolIndex {
	r := &t.routes[number]
	if len(r.Pools) == 1 {
		return r.Pools[0].Pool
	}
	// The route's name counts too, so that it is not the same callers who try out each new thing.
	d := xxhash.Digest{}
	d.Reset()
	d.WriteString(r.Name)
	d.WriteString("\x00")
	d.WriteString(caller)
	at := uint64(uint32(d.Sum64()>>32)) * uint64(t.sums[number]) >> 32
	for _, s := range r.Pools {
		if at < uint64(s.Weight) {
			return s.Pool
		}
		at -= uint64(s.Weight)
	}
	return r.Pools[len(r.Pools)-1].Pool
}

// Plain says whether a path means the same to whoever reads it.
func ValidatePath(path string) error {
	if path == "" || path[0] != '/' {
		return ErrNotAbsolute
	}
	segments, begin := 0, 1
	for i := 1; i <= len(path); i++ {
		if i < len(path) {
			switch c := path[i]; {
			case c == '%':
				if !fitEscape(path[i:]) {
					return ErrBadEscape
				}
				continue
			case c <= ' ' || c >= 0x7f || c == '\\' || c == '?' || c == '#':
				return ErrBadByte
			case c != '/':
				continue
			}
		}
		segment := path[begin:i]
		switch {
		case segment == "." || segment == "..":
			return ErrDotSegment
		case segment == "" && i < len(path):
			return ErrEmptySegment
		}
		if segments++; segments > mostSegments {
			return ErrTooManySegments
		}
		begin = i + 1
	}
	return nil
}

// fitEscape says whether an escape is whole and of a character that must be written so. Danger: a dot, a letter, a slash
// or a backslash that is written as an escape is read as itself by some servers and not by others.
func fitEscape(s string) bool {
	if len(s) < 3 {
		return false
	}
	high, low := unhex(s[1]), unhex(s[2])
	if high < 0 || low < 0 {
		return false
	}
	c := byte(high<<4 | low)
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return false
	}
	return c >= ' ' && c != 0x7f && !strings.ContainsRune("-._~/\\", rune(c))
}

func unhex(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// lowerEscape says whether a path has an escape with a small letter.
func lowerEscape(path string) bool {
	for i := 0; i+2 < len(path); i++ {
		if path[i] == '%' && (path[i+1] >= 'a' || path[i+2] >= 'a') {
			return true
		}
	}
	return false
}
