package frontend

import "sync"

// opIDSet holds the ids of the pending ops.
type opIDSet struct {
	mu       sync.Mutex // guards reserved
	reserved map[string]bool
}

// reserve reserves an id until it is released. It returns false if the id is already reserved.
func (s *opIDSet) reserve(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved[id] {
		return false
	}
	if s.reserved == nil {
		s.reserved = make(map[string]bool)
	}
	s.reserved[id] = true
	return true
}

// release releases a reserved id.
func (s *opIDSet) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reserved, id)
}
