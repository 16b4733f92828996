package limit

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	cs "github.com/crocusstile/crocusstile"
)

// prefixBytes is the length of the part of a prompt that decides which runner may have it in its
// cache.
const prefixBytes = 256

// PrefixKey returns the rendezvous key of a prompt's prefix; ok is false for a service call.
func PrefixKey(target cs.Target) (key uint64, ok bool) {
	g, ok := target.(cs.Generation)
	if !ok {
		return 0, false
	}
	return xxhash.Sum64String(g.Prompt[:min(len(g.Prompt), prefixBytes)]), true
}

// RunnerKey returns the key of a runner for Weight.
func RunnerKey(id cs.RunnerID) uint64 { return xxhash.Sum64String(string(id)) }

// Weight returns the rendezvous weight of a runner for a key; the highest is ranked first.
func Weight(key, runner uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], runner)
	return xxhash.Sum64(b[:])
}
