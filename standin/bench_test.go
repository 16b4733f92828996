package standin_test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/crocusstile/crocusstile/standin"
)

// cpuTime returns the CPU time that this process has used.
func cpuTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	qt.Assert(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkTwelveRunners reports the CPU cores used by 12 runners with 8 slots each, all of them in use,
// at 10 ms per step, together with the clients that read the streams in the same process.
func BenchmarkTwelveRunners(b *testing.B) {
	const runners, slots, tokens = 12, 8, 100
	var urls []string
	for range runners {
		urls = append(urls, serve(b, newRunner(func(c *standin.RunnerConfig) {
			c.Slots, c.StepBase, c.StepPerRequest = slots, 2, 1
		})))
	}
	start, cpu := time.Now(), cpuTime(b)
	for b.Loop() {
		var clients sync.WaitGroup
		for _, url := range urls {
			for i := range slots {
				clients.Go(func() { generate(b, url, newGeneration(fmt.Sprint(i), "prompt", tokens)) })
			}
		}
		clients.Wait()
	}
	elapsed := time.Since(start)
	b.ReportMetric(float64(cpuTime(b)-cpu)/float64(elapsed), "cores")
	b.ReportMetric(float64(b.N*runners*slots*tokens)/elapsed.Seconds(), "tokens/s")
}
