package standin

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ExpectedText returns the complete text that a Runner generates for a prompt. It has maxTokens tokens;
// each depends only on the other arguments and on its position, counted from 1, so that a checker can
// predict it.
func ExpectedText(model, adapter, version, prompt string, maxTokens int) string {
	seed := textSeed(model, adapter, version, prompt)
	var text []byte
	for i := 1; i <= maxTokens; i++ {
		text = appendToken(text, seed, i)
	}
	return string(text)
}

// textSeed hashes the inputs that all tokens of a text depend on.
func textSeed(model, adapter, version, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + adapter + "\x00" + version + "\x00" + prompt)
}

// appendToken appends token i, counted from 1: a word, preceded by a space unless it is the first.
func appendToken(dst []byte, seed uint64, i int) []byte {
	if i > 1 {
		dst = append(dst, ' ')
	}
	dst = append(dst, 'w')
	dst = strconv.AppendInt(dst, int64(i), 10)
	dst = append(dst, '-')
	mixed := (seed ^ uint64(i)) * 0x9E3779B97F4A7C15 // multiplier of Fibonacci hashing
	return strconv.AppendUint(dst, mixed>>32, 16)
}
