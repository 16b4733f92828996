package job

import cs "github.com/crocusstile/crocusstile"

// Sizes of encoded items, results and records without their variable-length fields, rounded up.
const (
	itemOverhead   = cs.Bytes(64)
	resultOverhead = cs.Bytes(32)
	recordOverhead = cs.Bytes(256)
)

// sizeOfItem estimates the encoded size of an item.
func sizeOfItem(it cs.Item) cs.Bytes {
	switch target := it.Target.(type) {
	case cs.Generation:
		n := len(target.Model) + len(target.Adapter) + len(target.Version) + len(target.Prompt)
		return itemOverhead + cs.Bytes(n)
	case cs.ServiceCall:
		return itemOverhead + cs.Bytes(len(target.Service)+len(target.Method)+len(target.Body))
	}
	return itemOverhead
}

func sizeOfResult(r cs.ItemResult) cs.Bytes {
	return resultOverhead + cs.Bytes(len(r.Output)+len(r.Error))
}

// sizeOf estimates the encoded size of a record.
func sizeOf(r cs.Record) cs.Bytes {
	size := recordOverhead
	switch r := r.(type) {
	case cs.JobItems:
		for i := range r.Items {
			size += sizeOfItem(r.Items[i])
		}
	case cs.JobSnapshot:
		for i := range r.Items {
			size += sizeOfItem(r.Items[i]) + sizeOfResult(r.Results[i])
		}
	case cs.ItemEnded:
		size += sizeOfResult(r.Result)
	case cs.CallEnded:
		size += cs.Bytes(len(r.Answer))
	default:
	}
	return size
}
