// Package bulk has the systems of batch jobs.
//
// A job, its results and its end are records of the job log, a keyed topic of the platform's store.
// The order of the log decides: the first result of an item counts, and results have the order of their
// records. An append takes effect once, however often it is sent; one that accepts a job close to its
// route's quota names the offset at which the log must end, so that a VM decides on the whole state.
// Every VM follows the log and answers reads. The items of a job are run by the VM that owns the job's
// partition in the store's group; if two VMs take themselves for the owner, an item runs twice, but
// counts once.
package bulk
