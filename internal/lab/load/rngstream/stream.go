// Package rngstream derives independent random number streams from one seed.
package rngstream

import "math/rand/v2"

// New returns the random stream of a seed and a name, of which the first 24 bytes count. Streams of the same seed with
// different names are independent: draws from one do not change another.
func New(seed uint64, name string) *rand.Rand {
	var key [32]byte
	for i := range 8 {
		key[i] = byte(seed >> (8 * i))
	}
	copy(key[8:], name)
	return rand.New(rand.NewChaCha8(key))
}
