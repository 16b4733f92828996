// Package routing takes online requests from their arrival to their end.
//
// Settle handles first tokens and ended runs, and retries or ends their requests. Admit queues or
// refuses new requests. Dispatch sends queued requests to runners in weighted fair order across
// tenants, and hedges slow ones.
package routing
