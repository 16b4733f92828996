package crocusstile

// Named types for units.
type (
	// Tokens counts generated tokens.
	Tokens int32
	// Bytes counts bytes.
	Bytes int64
	// Slots counts requests that a runner runs at once.
	Slots int32
	// Ratio is a share of one.
	Ratio float64
	// PerSecond is a rate.
	PerSecond float64
	// Attempt counts the runs of a request or an item, from 1.
	Attempt int32
)
