// Package routing takes online requests from arrival to their end.
//
// Settle takes ended runs, Admit takes or refuses new requests, and Dispatch sends queued requests
// to runners in weighted fair order across tenants and hedges slow ones.
package routing
