// Package routes selects the pool of an op by the host, path, method and headers of its request. The most specific
// route is tried first. A table of routes is compiled once; looking up a request in it does no I/O and allocates nothing.
//
// Paths are compared byte for byte, as they are forwarded to the server. A path that a server could interpret
// differently (one with dot segments, empty segments or unnecessary escapes) is rejected, so that no client can bypass
// a route by writing its path in another way.
package routes

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PoolIndex is the index of a pool in the configuration.
type PoolIndex uint16

// PathType determines how the path of a route is compared with that of a request.
type PathType uint8

const (
	Exact    PathType = iota // the whole path is equal
	Template                 // the same number of segments; {name} stands for any non-empty one
	Prefix                   // the first segments are equal; "/" matches every path
)

// String returns the name of the path type.
func (t PathType) String() string { return [...]string{"exact", "template", "prefix"}[t] }

// HeaderMatch is a condition on one header. A header that occurs more than once in a request never matches.
type HeaderMatch struct {
	Name     string // in canonical form
	Value    string // the value it must have
	AnyValue bool   // matches any value; Value is ignored
}

// WeightedPool is a pool of a route with its share of the callers.
type WeightedPool struct {
	Pool   PoolIndex
	Weight uint32 // relative to the sum of the route's weights
}

// Route is one route of the configuration. A request matches it if host, path, method and all headers match.
type Route struct {
	Name     string // unique in a table
	Host     string // in lower case, without port; "*.example.org" matches all its subdomains, "" any host
	PathType PathType
	Path     string
	Methods  []string       // empty matches any method
	Headers  []HeaderMatch  // all of them must match
	Pools    []WeightedPool // at least one; callers are assigned to them in this order
	Mirror   *PoolIndex     // receives a copy of each read, and its answer is discarded; nil for none
}

// Request holds the parts of a request that routes are matched with. Host, path and method are unchanged from the
// request line and the Host header; the path excludes the query.
type Request struct {
	Host, Path, Method string
	Header             http.Header
}

// Table is a compiled set of routes. It is immutable and safe for concurrent use.
type Table struct {
	routes        []Route
	weightSums    []uint32 // sum of the weights of each route
	exactHosts    map[string]*segmentNode
	wildcardHosts map[string]*segmentNode // "*.example.org" has the key "example.org"
	anyHost       *segmentNode
	hasEscapes    bool // whether a route's path has an escape, so that the case of escapes matters
}

// segmentNode is a node in the tree of path segments. The routes that end at a node are tried in the order of its lists.
type segmentNode struct {
	children     map[string]*segmentNode // by literal segment
	param        *segmentNode            // for a segment that is a template parameter
	routes       []int32                 // indexes of exact and template routes
	prefixRoutes []int32                 // indexes of prefix routes
}

const (
	maxSegments = 64 // of a request's path; bounds the recursion of match
	maxParams   = 8  // of a template, because matching may try two branches at each
)

// Warning describes a part of a valid configuration that is probably a mistake.
type Warning string

// Compile builds a table. An error names the route that is invalid. Each route that no request can reach gets a warning.
func Compile(routes []Route) (*Table, []Warning, error) {
	t := &Table{
		routes:        slices.Clone(routes),
		exactHosts:    make(map[string]*segmentNode),
		wildcardHosts: make(map[string]*segmentNode),
		anyHost:       &segmentNode{},
	}
	names := make(map[string]bool, len(routes))
	for i := range t.routes {
		route := &t.routes[i]
		if err := route.validate(); err != nil {
			return nil, nil, fmt.Errorf("route %q: %w", route.Name, err)
		}
		if names[route.Name] {
			return nil, nil, fmt.Errorf("route %q: the name is used twice", route.Name)
		}
		names[route.Name] = true
		t.hasEscapes = t.hasEscapes || strings.Contains(route.Path, "%")
		sum := uint32(0)
		for _, pool := range route.Pools {
			sum += pool.Weight
		}
		t.weightSums = append(t.weightSums, sum)
		t.insert(route, int32(i))
	}
	var warnings []Warning
	for _, root := range t.roots() {
		t.sortRoutes(root, &warnings)
	}
	return t, warnings, nil
}

// roots returns the tree of each host in a fixed order, so that warnings come in a fixed order.
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

// validate checks a route on its own.
func (r *Route) validate() error {
	host := strings.TrimPrefix(r.Host, "*.")
	switch {
	case r.Name == "":
		return errors.New("the name is missing")
	case strings.ToLower(host) != host || strings.ContainsAny(host, ":/*"):
		return fmt.Errorf("host %q must be in lower case, without a port and without a star other than a leading \"*.\"", r.Host)
	case len(r.Pools) == 0:
		return errors.New("no pool is given")
	}
	totalWeight := uint64(0)
	for _, pool := range r.Pools {
		totalWeight += uint64(pool.Weight)
	}
	if totalWeight == 0 || totalWeight > 1<<31 {
		return fmt.Errorf("the weights add up to %d; 1 to 2147483648 is allowed", totalWeight)
	}
	path := r.Path
	if r.PathType == Template {
		params := 0
		for segment := range strings.SplitSeq(path, "/") {
			switch {
			case strings.HasPrefix(segment, "{") && strings.HasSuffix(segment, "}") && len(segment) > 2:
				params++
			case strings.ContainsAny(segment, "{}"):
				return fmt.Errorf("path %q: segment %q is neither a {name} nor a literal", r.Path, segment)
			}
		}
		if params > maxParams {
			return fmt.Errorf("path %q has more than %d parameters", r.Path, maxParams)
		}
		path = strings.NewReplacer("{", "", "}", "").Replace(path)
	}
	if err := ValidatePath(path); err != nil {
		return fmt.Errorf("path %q: %w", r.Path, err)
	}
	if strings.Contains(path, "%") && hasLowercaseEscape(path) {
		return fmt.Errorf("path %q: escapes must be in upper case", r.Path)
	}
	for _, header := range r.Headers {
		if header.Name == "" || http.CanonicalHeaderKey(header.Name) != header.Name {
			return fmt.Errorf("header %q is not in canonical form", header.Name)
		}
	}
	return nil
}

// insert adds a route to the node at which its path ends.
func (t *Table) insert(route *Route, index int32) {
	node := t.anyHost
	if route.Host != "" {
		roots := t.exactHosts
		name := route.Host
		if suffix, isWildcard := strings.CutPrefix(route.Host, "*."); isWildcard {
			roots = t.wildcardHosts
			name = suffix
		}
		if roots[name] == nil {
			roots[name] = &segmentNode{}
		}
		node = roots[name]
	}
	path := route.Path[1:]
	if route.PathType == Prefix {
		path = strings.TrimSuffix(path, "/")
	}
	if path != "" || route.PathType != Prefix {
		for segment := range strings.SplitSeq(path, "/") {
			if route.PathType == Template && strings.HasPrefix(segment, "{") {
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
	if route.PathType == Prefix {
		node.prefixRoutes = append(node.prefixRoutes, index)
	} else {
		node.routes = append(node.routes, index)
	}
}

// sortRoutes sorts the routes that end at a node and at all nodes below it: those for certain methods come first, then
// those with more headers, then those that come first in the configuration. It adds a warning for each route that
// follows one which matches all its requests.
func (t *Table) sortRoutes(node *segmentNode, warnings *[]Warning) {
	for _, candidates := range [][]int32{node.routes, node.prefixRoutes} {
		slices.SortStableFunc(candidates, func(a, b int32) int {
			first := &t.routes[a]
			second := &t.routes[b]
			if (len(first.Methods) > 0) != (len(second.Methods) > 0) {
				if len(first.Methods) > 0 {
					return -1
				}
				return 1
			}
			return len(second.Headers) - len(first.Headers)
		})
		for i, index := range candidates {
			for _, earlier := range candidates[:i] {
				if t.routes[earlier].covers(&t.routes[index]) {
					*warnings = append(*warnings, Warning(fmt.Sprintf("route %q is unreachable: route %q matches all its requests",
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

// covers reports whether r matches every request that other matches. Both must end at the same node.
func (r *Route) covers(other *Route) bool {
	if len(r.Methods) > 0 {
		if len(other.Methods) == 0 {
			return false
		}
		for _, method := range other.Methods {
			if !slices.Contains(r.Methods, method) {
				return false
			}
		}
	}
	for _, header := range r.Headers {
		if !slices.ContainsFunc(other.Headers, func(otherHeader HeaderMatch) bool {
			return otherHeader == header || header.AnyValue && otherHeader.Name == header.Name
		}) {
			return false
		}
	}
	return true
}

// Route returns the route with the given index, as returned by Lookup.
func (t *Table) Route(index int) *Route { return &t.routes[index] }

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// Errors for paths that are rejected because servers may interpret them differently.
var (
	ErrNotAbsolute     = errors.New("the path does not begin with a slash")
	ErrDotSegment      = errors.New("the path has a dot segment")
	ErrEmptySegment    = errors.New("the path has an empty segment")
	ErrBadEscape       = errors.New("the path has an escape that is malformed, unnecessary or not allowed")
	ErrBadByte         = errors.New("the path has a byte that is not allowed in a path")
	ErrTooManySegments = errors.New("the path has too many segments")
	ErrLowercaseEscape = errors.New("the path has an escape in lower case")
)

// Lookup returns the index of the route that a request matches. Routes for the exact host come first, then those for a
// wildcard, the longest suffix first, then those for any host. Found is false if no route matches. An error means that
// the path is rejected; the request should be answered with status 400.
func (t *Table) Lookup(request *Request) (index int, found bool, err error) {
	if err := ValidatePath(request.Path); err != nil {
		return 0, false, err
	}
	if t.hasEscapes && hasLowercaseEscape(request.Path) {
		// It would otherwise bypass a route whose path has the same escape in upper case.
		return 0, false, ErrLowercaseEscape
	}
	var buffer [maxHostBytes]byte
	host := normalizeHost(request.Host, &buffer)
	if root := t.exactHosts[string(host)]; root != nil { // the compiler avoids the allocation of a string here
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

// maxHostBytes is the maximum length of a host name.
const maxHostBytes = 255

// normalizeHost returns a host in lower case, without its port and without a trailing dot. For a host that is too long
// it returns nil, which matches no configured host. The result uses the buffer.
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

// match returns the index of the most specific route below a node for the rest of a path, or -1 if none matches. A
// literal segment goes before a parameter, and a longer path before a shorter prefix.
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

// firstMatch returns the first candidate whose method and headers match, or -1.
func (t *Table) firstMatch(candidates []int32, request *Request) int32 {
	for _, index := range candidates {
		route := &t.routes[index]
		if (len(route.Methods) == 0 || slices.Contains(route.Methods, request.Method)) && route.matchesHeaders(request.Header) {
			return index
		}
	}
	return -1
}

// matchesHeaders reports whether a request's headers meet all conditions of the route.
func (r *Route) matchesHeaders(header http.Header) bool {
	for i := range r.Headers {
		match := &r.Headers[i]
		// A header that occurs twice matches nothing, because a server may use either value.
		if values := header[match.Name]; len(values) != 1 || !match.AnyValue && values[0] != match.Value {
			return false
		}
	}
	return true
}

// PickPool returns the pool of a caller for the route with the given index. The choice is a stable hash: while the
// weight of the first pool shrinks, callers only leave it, and while it grows, they only return.
func (t *Table) PickPool(index int, caller string) PoolIndex {
	route := &t.routes[index]
	if len(route.Pools) == 1 {
		return route.Pools[0].Pool
	}
	// The route's name is hashed too. Otherwise the same callers would be the first to try each new version.
	hash := xxhash.Digest{}
	hash.Reset()
	hash.WriteString(route.Name)
	hash.WriteString("\x00")
	hash.WriteString(caller)
	point := uint64(uint32(hash.Sum64()>>32)) * uint64(t.weightSums[index]) >> 32
	for _, pool := range route.Pools {
		if point < uint64(pool.Weight) {
			return pool.Pool
		}
		point -= uint64(pool.Weight)
	}
	return route.Pools[len(route.Pools)-1].Pool
}

// ValidatePath returns an error for a path that servers may interpret differently.
func ValidatePath(path string) error {
	if path == "" || path[0] != '/' {
		return ErrNotAbsolute
	}
	segments := 0
	start := 1 // of the current segment
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
		segments++
		if segments > maxSegments {
			return ErrTooManySegments
		}
		start = i + 1
	}
	return nil
}

// isAllowedEscape reports whether s starts with a complete escape of a character that needs one. Escaped letters,
// digits, dots, slashes and backslashes are not allowed, because some servers decode them before they interpret the
// path and others do not.
func isAllowedEscape(s string) bool {
	if len(s) < 3 {
		return false
	}
	high := hexDigit(s[1])
	low := hexDigit(s[2])
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

// hexDigit returns the value of a hexadecimal digit, or -1 if c is none.
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

// hasLowercaseEscape reports whether a path has an escape with a lower-case digit.
func hasLowercaseEscape(path string) bool {
	for i := 0; i+2 < len(path); i++ {
		if path[i] == '%' && (path[i+1] >= 'a' || path[i+2] >= 'a') {
			return true
		}
	}
	return false
}
