package fairness_test

import (
	"math/rand/v2"
	"testing"

	"github.com/crocusstile/crocusstile/fairness"
)

// BenchmarkLevel computes the level of all workspaces of the largest site, which happens at most ten times a second while requests wait.
func BenchmarkLevel(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	offered, shuffled := make([]fairness.Work, 11_000), make([]fairness.Work, 11_000)
	for i := range shuffled {
		shuffled[i] = fairness.Work(random.ExpFloat64())
	}
	for b.Loop() {
		copy(offered, shuffled)
		fairness.Level(offered, 5000)
	}
}
