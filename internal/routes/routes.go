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
	routes        []Route
	weightSums    []uint32 // of each route's weights
	exactHosts    map[string]*segmentNode
	wildcardHosts map[string]*segmentNode // of "*.example.org", by "example.org"
	anyHost       *segmentNode
	hasEscapes    bool // a path has an escape, so that their letters' case matters
}

// branch is a place in the tree of path segments. Routes that end in one place are tried in their order.
type segmentNode struct {
	children     map[string]*segmentNode
	param        *segmentNode
	routes       []int32 // routes
	prefixRoutes []int32
}

const (
	maxSegments = 64 // of a request's path
	maxParams   = 8  // of a template; each can cost a second look
)

// Warning is something that works and is hardly meant.
type Warning string

// Compile makes a table. An error names the route. A route that can never be reached is a warning.
func Compile(routes []Route) (*Table, []Warning, error) {
	t := &Table{routes: slices.Clone(routes), exactHosts: make(map[string]*segmentNode), wildcardHosts: make(map[string]*segmentNode), anyHost: &segmentNode{}}
	names := make(map[string]bool, len(routes))
	for i := range t.routes {
		r := &t.routes[i]
		if err := r.validate(); err != nil {
			return nil, nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
		if names[r.Name] {
			return nil, nil, fmt.Errorf("route %q: there are two of that name", r.Name)
		}
		names[r.Name] = true
		t.hasEscapes = t.hasEscapes || strings.Contains(r.Path, "%")
		sum := uint32(0)
		for _, s := range r.Pools {
			sum += s.Weight
		}
		t.weightSums = append(t.weightSums, sum)
		t.insert(r, int32(i))
	}
	var warnings []Warning
	for _, root := range t.roots() {
		t.sortRoutes(root, &warnings)
	}
	return t, warnings, nil
}

func (t *Table) roots() []*segmentNode {
	roots := []*segmentNode{t.anyHost}
	for _, byName := range []map[string]*segmentNode{t.exactHosts, t.wildcardHosts} {
		names := make([]string, 0, len(byName))
		for name := range byName {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			roots = append(roots, byName[name])
		}
	}
	return roots
}

func (r *Route) validate() error {
	host := strings.TrimPrefix(r.Host, "*.")
	switch {
	case r.Name == "":
		return errors.New("has no name")
	case strings.ToLower(host) != host || strings.ContainsAny(host, ":/*"):
		return fmt.Errorf("host %q is not in lower case, or has a port or a star inside", r.Host)
	case len(r.Pools) == 0:
		return errors.New("names no pool")
	}
	totalWeight := uint64(0)
	for _, s := range r.Pools {
		totalWeight += uint64(s.Weight)
	}
	if totalWeight == 0 || totalWeight > 1<<31 {
		return fmt.Errorf("its weights add up to %d", totalWeight)
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
		if params > maxParams {
			return fmt.Errorf("path %q has more than %d names", r.Path, maxParams)
		}
		path = strings.NewReplacer("{", "", "}", "").Replace(path)
	}
	if err := ValidatePath(path); err != nil {
		return fmt.Errorf("path %q: %w", r.Path, err)
	}
	if strings.Contains(path, "%") && hasLowercaseEscape(path) {
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
func (t *Table) insert(r *Route, index int32) {
	node := t.anyHost
	if r.Host != "" {
		roots, name := t.exactHosts, r.Host
		if suffix, isWildcard := strings.CutPrefix(r.Host, "*."); isWildcard {
			roots, name = t.wildcardHosts, suffix
		}
		if roots[name] == nil {
			roots[name] = &segmentNode{}
		}
		node = roots[name]
	}
	path := r.Path[1:]
	if r.PathType == Prefix {
		path = strings.TrimSuffix(path, "/")
	}
	if path != "" || r.PathType != Prefix {
		for segment := range strings.SplitSeq(path, "/") {
			if r.PathType == Template && strings.HasPrefix(segment, "{") {
				if node.param == nil {
					node.param = &segmentNode{}
				}
				node = node.param
				continue
			}
			if node.children == nil {
				node.children = make(map[string]*segmentNode)
			}
			if node.children[segment] == nil {
				node.children[segment] = &segmentNode{}
			}
			node = node.children[segment]
		}
	}
	if r.PathType == Prefix {
		node.prefixRoutes = append(node.prefixRoutes, index)
	} else {
		node.routes = append(node.routes, index)
	}
}

// order sorts the routes that end in one place: those with a method before those for any, more headers first, then as
// they stand in the file. Two that differ in nothing shadow one another.
func (t *Table) sortRoutes(node *segmentNode, warnings *[]Warning) {
	for _, candidates := range [][]int32{node.routes, node.prefixRoutes} {
		slices.SortStableFunc(candidates, func(a, b int32) int {
			x, y := &t.routes[a], &t.routes[b]
			if (len(x.Methods) > 0) != (len(y.Methods) > 0) {
				if len(x.Methods) > 0 {
					return -1
				}
				return 1
			}
			return len(y.Headers) - len(x.Headers)
		})
		for i, index := range candidates {
			for _, earlier := range candidates[:i] {
				if t.routes[earlier].covers(&t.routes[index]) {
					*warnings = append(*warnings, Warning(fmt.Sprintf("route %q is never reached: %q takes all that it would",
						t.routes[index].Name, t.routes[earlier].Name)))
					break
				}
			}
		}
	}
	if node.param != nil {
		t.sortRoutes(node.param, warnings)
	}
	segments := make([]string, 0, len(node.children))
	for segment := range node.children {
		segments = append(segments, segment)
	}
	slices.Sort(segments)
	for _, segment := range segments {
		t.sortRoutes(node.children[segment], warnings)
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
func (t *Table) Route(index int) *Route { return &t.routes[index] }

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
func (t *Table) Lookup(request *Request) (index int, found bool, err error) {
	if err := ValidatePath(request.Path); err != nil {
		return 0, false, err
	}
	if t.hasEscapes && hasLowercaseEscape(request.Path) {
		return 0, false, ErrLowercaseEscape // Danger: it would pass by the route that is written with capitals
	}
	var buffer [maxHostBytes]byte
	host := normalizeHost(request.Host, &buffer)
	if root := t.exactHosts[string(host)]; root != nil { // the compiler makes no string of it
		if match := t.match(root, request.Path[1:], request); match >= 0 {
			return int(match), true, nil
		}
	}
	if len(t.wildcardHosts) > 0 {
		for rest := host; ; { // the longest suffix first
			dot := slices.Index(rest, '.')
			if dot < 0 {
				break
			}
			rest = rest[dot+1:]
			if root := t.wildcardHosts[string(rest)]; root != nil {
				if match := t.match(root, request.Path[1:], request); match >= 0 {
					return int(match), true, nil
				}
			}
		}
	}
	if match := t.match(t.anyHost, request.Path[1:], request); match >= 0 {
		return int(match), true, nil
	}
	return 0, false, nil
}

// maxHost is the longest host name that there is.
const maxHostBytes = 255

// bare is a host in small letters without its port and without a dot at its end. One that is too long is no host of
// ours.
func normalizeHost(host string, buffer *[maxHostBytes]byte) []byte {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	if len(host) > maxHostBytes {
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
func (t *Table) match(node *segmentNode, path string, request *Request) int32 {
	segment, rest, hasMore := strings.Cut(path, "/")
	for _, child := range [2]*segmentNode{node.children[segment], node.param} {
		if child == nil || child == node.param && segment == "" {
			continue
		}
		if hasMore {
			if index := t.match(child, rest, request); index >= 0 {
				return index
			}
			continue
		}
		if index := t.firstMatch(child.routes, request); index >= 0 {
			return index
		}
		if index := t.firstMatch(child.prefixRoutes, request); index >= 0 {
			return index
		}
	}
	return t.firstMatch(node.prefixRoutes, request)
}

// first is the first route of a place whose method and headers fit.
func (t *Table) firstMatch(candidates []int32, request *Request) int32 {
	for _, index := range candidates {
		r := &t.routes[index]
		if (len(r.Methods) == 0 || slices.Contains(r.Methods, request.Method)) && r.matchesHeaders(request.Header) {
			return index
		}
	}
	return -1
}

func (r *Route) matchesHeaders(header http.Header) bool {
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
func (t *Table) PickPool(index int, caller string) PoolIndex {
	r := &t.routes[index]
	if len(r.Pools) == 1 {
		return r.Pools[0].Pool
	}
	// The route's name counts too, so that it is not the same callers who try out each new thing.
	hash := xxhash.Digest{}
	hash.Reset()
	hash.WriteString(r.Name)
	hash.WriteString("\x00")
	hash.WriteString(caller)
	point := uint64(uint32(hash.Sum64()>>32)) * uint64(t.weightSums[index]) >> 32
	for _, pool := range r.Pools {
		if point < uint64(pool.Weight) {
			return pool.Pool
		}
		point -= uint64(pool.Weight)
	}
	return r.Pools[len(r.Pools)-1].Pool
}

// Plain says whether a path means the same to whoever reads it.
func ValidatePath(path string) error {
	if path == "" || path[0] != '/' {
		return ErrNotAbsolute
	}
	segments, start := 0, 1
	for i := 1; i <= len(path); i++ {
		if i < len(path) {
			switch c := path[i]; {
			case c == '%':
				if !isAllowedEscape(path[i:]) {
					return ErrBadEscape
				}
				continue
			case c <= ' ' || c >= 0x7f || c == '\\' || c == '?' || c == '#':
				return ErrBadByte
			case c != '/':
				continue
			}
		}
		segment := path[start:i]
		switch {
		case segment == "." || segment == "..":
			return ErrDotSegment
		case segment == "" && i < len(path):
			return ErrEmptySegment
		}
		if segments++; segments > maxSegments {
			return ErrTooManySegments
		}
		start = i + 1
	}
	return nil
}

// fitEscape says whether an escape is whole and of a character that must be written so. Danger: a dot, a letter, a slash
// or a backslash that is written as an escape is read as itself by some servers and not by others.
func isAllowedEscape(s string) bool {
	if len(s) < 3 {
		return false
	}
	high, low := hexDigit(s[1]), hexDigit(s[2])
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

func hexDigit(c byte) int {
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
func hasLowercaseEscape(path string) bool {
	for i := 0; i+2 < len(path); i++ {
		if path[i] == '%' && (path[i+1] >= 'a' || path[i+2] >= 'a') {
			return true
		}
	}
	return false
}
