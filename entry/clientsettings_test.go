package entry_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/crocusstile/crocusstile/entry"
)

// Guards against limits of clients that are out of their range, or that leave nothing of the memory or the descriptors of the VM.
func TestClientSettingsAreChecked(t *testing.T) {
	for clients, problem := range map[string]string{
		`{}`: "",
		`{"maxBodies":1000000,"maxHeaders":1000000,"maxResponses":1000000,"maxCallers":100,"maxChecks":20,"maxHeader":20000,"maxFields":100,"window":"5s","progressBytes":100}`: "",
		`{"maxBodies":-1}`:        "clients.maxBodies: must be positive",
		`{"window":"-1s"}`:        "clients.window: must be positive",
		`{"maxFields":-5}`:        "clients.maxFields: must be positive",
		`{"maxBodies":150000000}`: "clients: maxBodies, maxHeaders and maxResponses must not exceed memoryMB together",
		`{"maxCallers":2850}`:     "clients: maxCallers and maxChecks must not exceed maxDescriptors together",
	} {
		_, err := entry.ParseSettings(fmt.Appendf(nil, `{"vm":"v","dataCentre":"a","ip":"127.0.0.1",
			"listen":{"callers":"127.0.0.1:1","ready":"127.0.0.1:2","peerPort":3,"metricsPort":4},
			"store":{"address":"127.0.0.1:5","partitions":8,"maxRecord":262144,"maxAppend":2097152,"minGroup":"1s"},
			"grace":"8s","resultLife":"120s","memoryMB":136,"maxDescriptors":2870,"clients":%s}`, clients))
		message := ""
		if err != nil {
			message = err.Error()
		}
		qt.Check(t, message, qt.Equals, problem, qt.Commentf("%s", clients))
	}
}
