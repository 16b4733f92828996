// Package batchjob contains the systems that accept batch jobs, run their items and serve their results.
//
// A job, its results and its end are records of the job log, a keyed topic of the platform's store.
// The order of the log is authoritative: the first result of an item counts, and results are ordered as
// their records. An append is sent once; if its outcome is unknown, a fence makes sure that it can no longer take effect.
// An append that accepts a job close to its route's quota is also conditional: it names the offset at
// which the log must end, so that the quota is checked against the complete log.
//
// Every VM reads the log and answers queries from it. The items of a job are run by the VM that owns the
// job's partition in the store's consumer group. If two VMs both believe that they own a partition, an
// item may run twice, but only its first result counts.
package batchjob
