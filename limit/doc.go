// Package limit measures runners and bounds what is sent to them.
//
// Observe keeps the statistics of each runner and ejects outliers, Adapt sets the batch limit of
// each runner of which this VM is the batch sender, and the budget bounds retries and hedges.
package limit
