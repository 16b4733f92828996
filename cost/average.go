package cost

// Average is a moving average. The first samples count alike, so that it has no start value to forget.
type Average struct {
	Value float64
	// N is the number of samples, up to the length of the window.
	N int
}

// Add adds a sample to an average over a window of about so many samples.
func (a *Average) Add(x float64, window int) {
	a.N = min(a.N+1, window)
	a.Value += (x - a.Value) / float64(a.N)
}

// Or returns the average, or another value before the first sample.
func (a *Average) Or(initial float64) float64 {
	if a.N == 0 {
		return initial
	}
	return a.Value
}
