// Package limit measures runners and limits the load sent to them.
//
// Observe keeps statistics of each runner and ejects outliers. Adapt sets the batch limit of each
// runner for which this VM is the batch sender, the one VM that sends batch items to that runner.
// The retry budget limits retries and hedges.
package limit
