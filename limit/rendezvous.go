package limit

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	cs "github.com/crocusstile/crocusstile"
)

// prefixBytes is the length of the part of a prompt that is hashed to choose the runner likely to
// have it in its prefix cache.
const prefixBytes = 256

// PrefixKey returns the rendezvous-hashing key of a prompt's prefix; ok is false for a service
// call.
func PrefixKey(target cs.Target) (key uint64, ok bool) {
	g, ok := target.(cs.Generation)
	if !ok {
		return 0, false
	}
	return xxhash.Sum64String(g.Prompt[:min(len(g.Prompt), prefixBytes)]), true
}

// RunnerKey returns the hash of a runner's ID, for use with RunnerWeight.
func RunnerKey(id cs.RunnerID) uint64 { return xxhash.Sum64String(string(id)) }

// RunnerWeight returns the rendezvous-hashing weight of a runner for a key; the runner with the
// highest weight is ranked first.
func RunnerWeight(key, runner uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], key)
	binary.LittleEndian.PutUint64(buf[8:], runner)
	return xxhash.Sum64(buf[:])
}
