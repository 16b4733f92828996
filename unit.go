package crocusstile

// Named types for units.
type (
	// Tokens counts generated tokens.
	Tokens int32
	// Bytes is a size in bytes.
	Bytes int64
	// Slots counts concurrent requests on a runner.
	Slots int32
	// Ratio is a dimensionless quotient, such as a share of a total.
	Ratio float64
	// PerSecond is a rate in events per second.
	PerSecond float64
	// Attempt numbers the executions of a request or an item, from 1.
	Attempt int32
)
